#include "placement_limits.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <algorithm>

namespace ragwortcove::core {

using namespace std::chrono_literals;

engine_work placement_scheduler::work_on(const upstream_state& state, std::uint32_t output_tokens,
                                         std::uint32_t uncached_tokens)
{
    engine_work created;
    created.uncached_tokens = uncached_tokens;
    created.output_events = static_cast<double>(output_tokens) / state.event_tokens;
    created.ahead_tokens = static_cast<double>(state.backlog_tokens);
    created.running = static_cast<std::uint32_t>(state.in_flight);
    return created;
}

bool placement_scheduler::ends_in_time(const candidate& option, const queued_request& waiting,
                                       time_point now) const
{
    const placement_request& request = waiting.request;
    if (request.time_left <= 0s || !option.state->is_engine)
        return true;
    const speed_estimates& known = option.estimates;
    const engine_pace pace{known.first_event_us, known.event_us, known.prefill_us_per_token};
    const duration left = waiting.arrived_at + request.time_left - now;
    const engine_work work = work_on(*option.state, request.output_tokens, option.uncached_tokens);
    return completion_time_us(pace, work) <= to_us(left) * safe_share;
}

// The wait is estimated as if no other request wanted those slots: one that waits in vain begins on
// a slower engine after that, when the other requests of its rank have had their turn.
bool placement_scheduler::is_worth_waiting(std::span<const candidate> candidates,
                                           const queued_request& waiting, time_point now) const
{
    double releases = 0.0;
    for (const candidate& each : candidates) {
        if (!each.state->is_engine || !is_allowed(*each.state, waiting.request) ||
            !this->ends_in_time(each, waiting, now))
            continue;
        // Prompts are computed there now, so the slot is free for this request soon.
        if (each.has_free_slot && has_memory_for(*each.state, waiting.request))
            return true;
        const speed_estimates& known = each.estimates;
        releases += releases_per_second(
            {known.first_event_us, known.event_us, known.prefill_us_per_token},
            each.usual->average(), static_cast<std::uint32_t>(each.state->in_flight));
    }
    if (releases <= 0.0)
        return false;
    const duration wait{static_cast<duration::rep>(1e6 / releases)};
    return now + wait < waiting.expires_at;
}

} // namespace ragwortcove::core
