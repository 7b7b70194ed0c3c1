#include "ragwortcove/core/call_policy.hpp"

#include <algorithm>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Minimum time left for a repeat; with less, another upstream would not respond in time.
static constexpr duration min_time_to_repeat = 30ms;
/// Callers abandon a stream whose first event takes more than a few seconds.
static constexpr duration max_stream_wait = 2500ms;
/// Longest wait of a plain request, in multiples of its latency goal.
static constexpr std::int64_t plain_wait_goals = 4;
/// Largest share of the time left that a request may wait for a slot.
static constexpr double max_waiting_share = 0.6;
/// A request waits for its quota no longer than its latency goal divided by this number. That is
/// enough to smooth a burst, and too little to delay all requests of a team that always exceeds its
/// quota.
static constexpr std::int64_t quota_wait_divisor = 4;
/// Silence time-out of a plain upstream, in multiples of the latency goal, and its lower bound.
static constexpr std::int64_t silence_timeout_goals = 3;
static constexpr duration min_silence_timeout = 250ms;
static constexpr duration stream_silence_timeout = 1500ms;

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

bool proves_not_run(dispatch_end end)
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

next_step ending_of(const call_history& history)
{
    if (history.response_started)
        return next_step::cut;
    return history.may_have_run ? next_step::fail : next_step::refuse;
}

static next_step give_up(const call_history& history, dispatch_end end)
{
    if (end == dispatch_end::error_answer && !history.response_started)
        return next_step::pass_answer;
    return ending_of(history);
}

next_step decide_next_step(const http_route& route, const call_history& history, dispatch_end end,
                           bool budget_left)
{
    const bool may_repeat = proves_not_run(end) || route.idempotent;
    // Only a resumable stream can be continued in the middle of its response.
    const bool can_continue = !history.response_started || route.resumable;
    const bool counts_repeat = counts_as_repeat(end);
    // An address that another upstream has taken over does not count as an upstream of the route.
    const bool upstreams_left =
        !counts_repeat || end == dispatch_end::wrong_upstream || history.sent < route.max_upstreams;
    const bool in_time = history.time_left >= min_time_to_repeat;
    if (may_repeat && can_continue && upstreams_left && in_time && (!counts_repeat || budget_left))
        return next_step::place_again;
    return give_up(history, end);
}

bool may_replace_silent(const http_route& route, const call_history& history)
{
    call_history given_up = history;
    ++given_up.sent;
    given_up.may_have_run = true;
    return decide_next_step(route, given_up, dispatch_end::silent, true) == next_step::place_again;
}

verdict verdict_of(const call_history& history)
{
    return history.may_have_run ? verdict::may_have_run : verdict::not_run;
}

// A response that has begun can only go on or be cut, and its caller cannot come back later.
duration max_placement_wait(const http_route& route, duration time_left, bool response_started)
{
    if (response_started)
        return std::max(time_left - min_time_to_repeat, duration{0});
    const duration limit = route.streams ? max_stream_wait : route.goal * plain_wait_goals;
    const auto share =
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>(
            static_cast<double>(time_left.count()) * max_waiting_share));
    return std::min(limit, share);
}

duration max_quota_wait(const http_route& route, duration time_left)
{
    return std::min(route.goal / quota_wait_divisor, time_left / quota_wait_divisor);
}

duration silence_timeout(const http_route& route)
{
    if (route.streams)
        return stream_silence_timeout;
    return std::max(min_silence_timeout, route.goal * silence_timeout_goals);
}

} // namespace ragwortcove::core
