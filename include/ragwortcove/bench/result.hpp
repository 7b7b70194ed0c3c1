/// \file
/// What a run came to: promises broken, and figures.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/verdict.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::bench {

/// What must always hold, as far as it is seen from outside the core.
enum class promise {
    /// A request is live on at most one upstream at a time.
    dispatched_once,
    /// A request that may not be repeated runs at most once.
    key_runs_once,
    /// A refusal that says `not_run` is true.
    not_run_is_true,
    /// An answer reaches only the request that it belongs to.
    own_answer,
    /// An answer that is reported whole is whole.
    whole_answer,
    /// No tier is shed while a lower one is admitted.
    tier_order,
    /// A leaving upstream gets no new work after a few seconds.
    leaving_gets_nothing,
    /// A node's configuration never goes back.
    revision_never_reverts,
    /// A graceful shutdown cuts no request.
    drain_cuts_nothing,
};
[[nodiscard]] std::string_view to_string(promise value);

struct violation {
    promise broken = promise::dispatched_once;
    core::time_point at;
    std::string detail;
};

struct percentiles {
    core::duration p50{0};
    core::duration p95{0};
    core::duration p99{0};
    std::size_t count = 0;
};
[[nodiscard]] percentiles percentiles_of(std::vector<core::duration> values);

/// What became of the calls of one route.
struct route_result {
    std::string route;
    std::uint32_t rank = 0;
    std::uint64_t offered = 0;
    /// Answered whole within the timeout.
    std::uint64_t answered = 0;
    std::uint64_t cut = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t connection_lost = 0;
    std::map<core::refusal_reason, std::uint64_t> refused;
    percentiles latency;
    percentiles first_token;
    percentiles between_tokens;
};

struct traffic_result {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

struct run_result {
    std::vector<violation> violations;
    std::vector<route_result> routes;
    core::duration length{0};
    std::uint64_t prefilled_tokens = 0;
    /// Prefilled for the answers that callers got whole.
    std::uint64_t delivered_prefill_tokens = 0;
    /// Prefilled for answers that were not delivered.
    std::uint64_t undelivered_prefill_tokens = 0;
    /// Prefilled though another engine that was up had the prefix cached.
    std::uint64_t repeated_prefill_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t output_tokens = 0;
    /// Permit messages between nodes, and all others.
    traffic_result permits;
    traffic_result control;
    std::uint64_t platform_calls = 0;
    /// Longest time from an accepted change to its being in force on all live nodes.
    core::duration slowest_configuration{0};
    std::uint64_t caller_retries = 0;
    std::uint64_t core_steps = 0;

    [[nodiscard]] std::uint64_t wasted_prefill_tokens() const
    {
        return this->undelivered_prefill_tokens + this->repeated_prefill_tokens;
    }
    /// Calls offered and answered whole in time, of all routes whose tier has this rank.
    [[nodiscard]] std::uint64_t offered_of_rank(std::uint32_t rank) const;
    [[nodiscard]] std::uint64_t answered_of_rank(std::uint32_t rank) const;
    [[nodiscard]] std::uint64_t offered() const;
    [[nodiscard]] std::uint64_t answered() const;
};

} // namespace ragwortcove::bench
