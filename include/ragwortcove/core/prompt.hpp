/// \file
/// How a prompt's text is counted and hashed, the same for entries, placement and engines.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::core {

/// Bytes of text that stand for one token where no tokenizer is at hand.
inline constexpr std::uint32_t bytes_per_token = 4;

/// Appends one chat message to a prompt's text, in the only format that is counted and hashed.
void append_message(std::string& prompt, std::string_view role, std::string_view content);
/// Estimated tokens of a text; at least one for a text that is not empty.
[[nodiscard]] std::uint32_t estimate_tokens(std::string_view text);
/// Hashes of the text's complete blocks, each chained over all blocks before it.
[[nodiscard]] std::vector<prefix_hash> prefix_hashes(std::string_view text);

} // namespace ragwortcove::core
