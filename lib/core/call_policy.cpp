#include "ragwortcove/core/call_policy.hpp"

#include <algorithm>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time below which another upstream would not answer in time anyway.
static constexpr duration least_time_to_repeat = 30ms;
/// Streams: callers leave a stream whose first event does not come for some seconds.
static constexpr duration stream_patience = 2500ms;
/// Plain requests wait for a few times their goal.
static constexpr std::int64_t plain_patience_goals = 4;
/// Share of the time left that waiting for a place may take.
static constexpr double most_waiting_share = 0.6;
/// A request waits for its quota no longer than this part of its goal: enough for a clump to
/// spread, too little for a team that always asks for more to have all its requests late.
static constexpr std::int64_t quota_parts_of_goal = 4;
/// Silence of a plain upstream, in goals, and its bounds.
static constexpr std::int64_t silence_goals = 3;
static constexpr duration shortest_silence = 250ms;
static constexpr duration stream_silence = 1500ms;

bool counts_as_repeat(dispatch_end end)
{
    switch (end) {
    case dispatch_end::not_sent:
        return false;
    case dispatch_end::refused:
    case dispatch_end::wrong_upstream:
    case dispatch_end::error_answer:
    case dispatch_end::broken:
    case dispatch_end::silent:
        return true;
    }
    return true;
}

static bool is_proven_not_run(dispatch_end end)
{
    switch (end) {
    case dispatch_end::not_sent:
    case dispatch_end::refused:
    case dispatch_end::wrong_upstream:
        return true;
    case dispatch_end::error_answer:
    case dispatch_end::broken:
    case dispatch_end::silent:
        return false;
    }
    return false;
}

static next_step give_up(const call_history& history, dispatch_end end)
{
    if (history.response_started)
        return next_step::cut;
    if (end == dispatch_end::error_answer)
        return next_step::pass_answer;
    return history.may_have_run ? next_step::fail : next_step::refuse;
}

next_step decide_next_step(const http_route& route, const call_history& history, dispatch_end end,
                           bool budget_left)
{
    const bool may_repeat = is_proven_not_run(end) || route.idempotent;
    // Only a stream can go on in the middle of its answer.
    const bool fits = !history.response_started || route.resumable;
    const bool counts = counts_as_repeat(end);
    // An address that another upstream has taken over is no upstream of the route.
    const bool upstreams_left =
        !counts || end == dispatch_end::wrong_upstream || history.sent < route.max_upstreams;
    const bool in_time = history.time_left >= least_time_to_repeat;
    if (may_repeat && fits && upstreams_left && in_time && (!counts || budget_left))
        return next_step::place_again;
    return give_up(history, end);
}

verdict verdict_of(const call_history& history)
{
    return history.may_have_run ? verdict::may_have_run : verdict::not_run;
}

duration max_placement_wait(const http_route& route, duration time_left)
{
    const duration most = route.streams ? stream_patience : route.goal * plain_patience_goals;
    const auto share =
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>(
            static_cast<double>(time_left.count()) * most_waiting_share));
    return std::min(most, share);
}

duration max_quota_wait(const http_route& route, duration time_left)
{
    return std::min(route.goal / quota_parts_of_goal, time_left / quota_parts_of_goal);
}

duration silence_timeout(const http_route& route)
{
    if (route.streams)
        return stream_silence;
    return std::max(shortest_silence, route.goal * silence_goals);
}

} // namespace ragwortcove::core
