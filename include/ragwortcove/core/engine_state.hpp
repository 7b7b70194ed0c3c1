/// \file
/// What a placement owner knows of one upstream: permits out, rates, health, cache.
#pragma once

#include "ragwortcove/core/adaptive_limit.hpp"
#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/prefix_cache_estimate.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_health.hpp"

#include <map>

namespace ragwortcove::core {

/// A permit that is out.
struct held_permit {
    node_name entry;
    std::uint32_t rank = 0;
    bool is_long = false;
    std::uint32_t uncached_tokens = 0;
    std::uint32_t output_tokens = 0;
    time_point granted;
    /// Whether the prompt is still to be computed and is long enough to hold up others.
    bool computing = false;
    /// Tokens to compute on the upstream when this permit was granted, its own among them.
    std::uint32_t backlog_tokens = 0;
};

/// Rates of one upstream, learned from finished work.
class learned_rates {
public:
    void learn(const permit_release& release);
    /// So many prompt tokens, those ahead among them, were computed in that time.
    void learn_prefill(std::uint32_t tokens, duration taken);
    /// Time to compute so many prompt tokens.
    [[nodiscard]] duration prefill_time(std::uint32_t tokens) const;
    [[nodiscard]] duration between_tokens() const;

private:
    double prefill_tokens_per_second = 4000.0;
    double between_tokens_us = 25000.0;
};

/// One upstream of an owned cell.
struct engine_state {
    explicit engine_state(const cell_upstream& from);

    cell_upstream info;
    std::map<request_id, held_permit> held;
    adaptive_limit limit;
    learned_rates rates;
    prefix_cache_estimate cache;
    upstream_health health;
    std::uint64_t cache_events_seen = 0;

    /// A permit is out; `permit.uncached_tokens` are to be computed.
    void hold(const request_id& request, held_permit&& permit);
    /// The prompt has been computed.
    void started(const request_id& request, time_point now);
    [[nodiscard]] std::uint32_t free_permits() const;
    /// Prompt tokens granted and not computed yet.
    [[nodiscard]] std::uint32_t prefill_backlog() const;
    [[nodiscard]] std::uint32_t held_long() const;
    /// Estimated time until a prompt that is sent now begins to be computed.
    [[nodiscard]] duration prefill_wait() const;
    /// Estimated time for a request here, from now to its last token.
    [[nodiscard]] duration time_to_finish(std::uint32_t uncached_tokens,
                                          std::uint32_t output_tokens) const;
};

} // namespace ragwortcove::core
