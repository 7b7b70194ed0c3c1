/// \file
/// Runs of seeded fault schedules, and the smallest schedule that still breaks a promise.
#pragma once

#include "ragwortcove/bench/deployment.hpp"
#include "ragwortcove/bench/fault.hpp"
#include "ragwortcove/bench/result.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace ragwortcove::bench {

/// Time in which faults begin.
inline constexpr core::duration fault_run_length = std::chrono::seconds{12};

/// Runs a small site under the faults, then lets it end what is open.
[[nodiscard]] run_result run_faults(const std::vector<timed_fault>& schedule, std::uint64_t seed);
/// The schedule that a seed stands for.
[[nodiscard]] std::vector<timed_fault> schedule_of(std::uint64_t seed);
/// Leaves out faults as long as the promise is still broken.
[[nodiscard]] std::vector<timed_fault> shrink_schedule(std::vector<timed_fault> schedule,
                                                       std::uint64_t seed, promise broken);
/// The first broken promise of a seed with its smallest schedule, for people; empty when all hold.
[[nodiscard]] std::string explain_seed(std::uint64_t seed);

} // namespace ragwortcove::bench
