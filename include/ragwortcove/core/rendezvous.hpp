/// \file
/// Rendezvous hashing (Thaler and Ravishankar, 1998): assigns a key to one of several candidates
/// without coordination. When a candidate is added or removed, few keys are reassigned.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::core {

/// 64-bit hash of a text that is the same on every machine.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

/// Index of the key's most preferred candidate; `candidates` must not be empty.
[[nodiscard]] std::size_t rendezvous_first(std::string_view key,
                                           std::span<const std::string> candidates);

/// Indices of the candidates in the key's order of preference.
[[nodiscard]] std::vector<std::size_t> rendezvous_order(std::string_view key,
                                                        std::span<const std::string> candidates);

} // namespace ragwortcove::core
