#include "placement_limits.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Weight of a new observation in an exponentially weighted moving average.
static constexpr double learning_rate = 0.2;
/// Prompts shorter than this tell little about an engine's prefill speed.
static constexpr std::uint32_t min_prefill_tokens = 512;
/// Prompts up to this length show the time to the first event without prefill.
static constexpr std::uint32_t max_base_tokens = 256;
/// Half-life of the counts of successes and failures of an upstream.
static constexpr duration health_half_life = 3s;
/// Decayed number of failures below which an upstream is not ejected.
static constexpr double min_failures = 3.0;
/// An upstream is ejected when its failure rate exceeds that of its peers by this much.
static constexpr double tolerated_excess = 0.25;
static constexpr duration min_ejection = 1s;
static constexpr duration max_ejection = 8s;

static void update_average(double& average, double observed)
{
    average = average <= 0.0 ? observed : average + learning_rate * (observed - average);
}

void placement_scheduler::update_start_estimates(upstream_state& state,
                                                 std::uint64_t computed_tokens, duration after)
{
    if (!state.is_engine || after <= 0s)
        return;
    const double base = state.first_event_us > 0.0 ? state.first_event_us : default_first_event_us;
    if (computed_tokens <= max_base_tokens) {
        update_average(state.first_event_us, to_us(after));
        return;
    }
    if (computed_tokens < min_prefill_tokens)
        return;
    const double prefill_us = std::max(0.0, to_us(after) - base);
    update_average(state.prefill_us_per_token, prefill_us / static_cast<double>(computed_tokens));
}

void placement_scheduler::update_end_estimates(upstream_state& state,
                                               const placement_release& message)
{
    if (message.outcome != placement_outcome::completed)
        return;
    if (state.is_engine && message.between_events > 0s)
        update_average(state.event_us, to_us(message.between_events));
    if (!state.is_engine && message.first_part_after > 0s)
        update_average(state.service_us, to_us(message.first_part_after));
}

void placement_scheduler::observe_start(const upstream_name& name, std::uint32_t computed_tokens,
                                        duration after)
{
    const auto found = this->upstreams.find(name);
    if (found != this->upstreams.end())
        update_start_estimates(found->second, computed_tokens, after);
}

void placement_scheduler::observe_end(const upstream_name& name, const placement_release& message)
{
    const auto found = this->upstreams.find(name);
    if (found != this->upstreams.end())
        update_end_estimates(found->second, message);
}

static bool is_failure(placement_outcome outcome)
{
    switch (outcome) {
    case placement_outcome::error_answer:
    case placement_outcome::broken:
    case placement_outcome::silent:
    case placement_outcome::unreachable:
        return true;
    case placement_outcome::completed:
    case placement_outcome::refused:
    case placement_outcome::cancelled:
        return false;
    }
    return false;
}

// Some kinds of requests fail often on healthy upstreams, too, so each upstream is compared with
// its peers, not with a fixed rate.
void placement_scheduler::update_health(upstream_state& state, const cell& own_cell,
                                        placement_outcome outcome, time_point now)
{
    if (outcome == placement_outcome::refused || outcome == placement_outcome::cancelled)
        return;
    const double decay_factor =
        std::exp2(-to_us(now - state.counts_updated_at) / to_us(health_half_life));
    state.successes *= decay_factor;
    state.failures *= decay_factor;
    state.counts_updated_at = now;
    const bool failed = is_failure(outcome);
    (failed ? state.failures : state.successes) += 1.0;
    if (!failed) {
        if (state.ejected_until <= now && state.failures < 1.0)
            state.ejections = 0;
        return;
    }
    double peer_failures = 0.0;
    double peer_total = 0.0;
    for (const upstream_state* const each : own_cell.members) {
        const upstream_state& peer = *each;
        if (&peer == &state)
            continue;
        peer_failures += peer.failures;
        peer_total += peer.successes + peer.failures;
    }
    const double peer_failure_rate = peer_total > 0.0 ? peer_failures / peer_total : 0.0;
    const double rate = state.failures / (state.successes + state.failures);
    const bool unreachable = outcome == placement_outcome::unreachable;
    if (!unreachable &&
        (state.failures < min_failures || rate < peer_failure_rate + tolerated_excess))
        return;
    const duration ejection =
        std::min(max_ejection, min_ejection * (std::int64_t{1} << state.ejections));
    state.ejected_until = std::max(state.ejected_until, now + ejection);
    state.ejections = std::min(state.ejections + 1, 3U);
    state.failures = min_failures - 1.0;
    state.successes = 0.0;
}

} // namespace ragwortcove::core
