/// \file
/// State of one upstream at its placement owner: granted permits, rates, health, cache.
#pragma once

#include "ragwortcove/core/adaptive_limit.hpp"
#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/prefix_cache_estimate.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_health.hpp"

#include <map>

namespace ragwortcove::core {

/// A permit that was granted and has not been released.
struct held_permit {
    node_name entry;
    std::uint32_t rank = 0;
    bool is_long = false;
    std::uint32_t uncached_tokens = 0;
    std::uint32_t output_tokens = 0;
    time_point granted_at;
    /// Whether the prompt is not computed yet and long enough to delay other requests.
    bool computing = false;
    /// Prompt tokens that the upstream had yet to compute when this permit was granted, including
    /// those of this permit.
    std::uint32_t backlog_tokens = 0;
};

/// Speed of one upstream, estimated from finished requests.
class estimated_rates {
public:
    /// Updates the time between tokens.
    void update(const permit_release& release);
    /// Updates the prefill rate: `tokens` prompt tokens, including those of requests ahead, took
    /// the time `taken`.
    void update_prefill_rate(std::uint32_t tokens, duration taken);
    /// Estimated time to compute this many prompt tokens.
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
    estimated_rates rates;
    prefix_cache_estimate cache;
    upstream_health health;
    std::uint64_t cache_events_seen = 0;

    /// Adds a granted permit, for which the upstream has to compute `permit.uncached_tokens`.
    void add_permit(const request_id& request, held_permit&& permit);
    /// Records that the prompt of a request has been computed.
    void started(const request_id& request, time_point now);
    [[nodiscard]] std::uint32_t free_permits() const;
    /// Prompt tokens of granted permits that are not computed yet.
    [[nodiscard]] std::uint32_t prefill_backlog() const;
    /// Number of permits for long requests.
    [[nodiscard]] std::uint32_t held_long_permits() const;
    /// Estimated time until the upstream starts to compute a prompt that is sent now.
    [[nodiscard]] duration prefill_wait() const;
    /// Estimated time from now to the last token of a request that is sent now.
    [[nodiscard]] duration time_to_finish(std::uint32_t uncached_tokens,
                                          std::uint32_t output_tokens) const;
};

} // namespace ragwortcove::core
