#include "ragwortcove/gateway/call_handler.hpp"

#include <algorithm>
#include <limits>

// What a call handler tells of each attempt, for and against the version of its upstream.

namespace ragwortcove::gateway {

using core::duration;
using event_kind = core::rollout_observation::event_kind;

/// Events of a stream after which the mean time between them is observed.
static constexpr std::uint32_t observed_events = 8;
static constexpr std::uint64_t max_tokens = std::numeric_limits<std::uint32_t>::max();

void call_handler::observe(const open_call& call, event_kind kind, duration time)
{
    core::rollout_observation seen;
    seen.target = call.target;
    seen.version = call.active_dispatch->version;
    seen.route = call.route->name;
    seen.kind = kind;
    seen.time = time;
    // The first part also waits for the prompts that the upstream got before.
    seen.uncached_tokens = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(call.uncached_tokens + call.ahead_tokens, max_tokens));
    seen.is_warming_up = call.active_dispatch->is_warming_up;
    seen.upstream = call.active_dispatch->upstream;
    this->env.rollouts.split().observe(seen, this->now());
}

void call_handler::observe_event(const open_call& call)
{
    const dispatch& active_dispatch = *call.active_dispatch;
    if (active_dispatch.events == 1)
        this->observe(call, event_kind::first_part,
                      active_dispatch.first_event_at - active_dispatch.sent_at);
    if (active_dispatch.events == observed_events)
        this->observe(call, event_kind::between_events,
                      (active_dispatch.last_event_at - active_dispatch.first_event_at) /
                          static_cast<std::int64_t>(observed_events - 1));
}

/// What an end says of the version. An upstream that had too little time is not blamed for its
/// silence.
static event_kind kind_of(core::placement_outcome outcome, bool had_time)
{
    switch (outcome) {
    case core::placement_outcome::completed:
        return event_kind::passed;
    case core::placement_outcome::error_answer:
    case core::placement_outcome::broken:
        return event_kind::failed;
    case core::placement_outcome::silent:
        return had_time ? event_kind::failed : event_kind::abandoned;
    case core::placement_outcome::refused:
    case core::placement_outcome::unreachable:
    case core::placement_outcome::cancelled:
        return event_kind::abandoned;
    }
    return event_kind::abandoned;
}

void call_handler::observe_end(open_call& call, core::placement_outcome outcome)
{
    if (!call.active_dispatch || call.active_dispatch->end_observed)
        return;
    call.active_dispatch->end_observed = true;
    const duration elapsed = this->now() - call.active_dispatch->sent_at;
    const bool had_time = elapsed >= call.route->goal;
    const bool was_awaited =
        outcome == core::placement_outcome::silent || outcome == core::placement_outcome::cancelled;
    // The response of a plain service is its first part. One that has not come in good time is
    // known to take longer than that, also when the caller does not wait for it.
    const bool is_first_part =
        outcome == core::placement_outcome::completed || (was_awaited && had_time);
    if (call.active_dispatch->events == 0 && is_first_part)
        this->observe(call, event_kind::first_part, elapsed);
    this->observe(call, kind_of(outcome, had_time));
}

void call_handler::count_bytes_between_domains(const open_call& call, std::size_t bytes)
{
    if (call.left_domain != core::departure::none)
        this->env.metrics.count("bytes_left_domain", "reason", core::to_string(call.left_domain),
                                bytes);
}

} // namespace ragwortcove::gateway
