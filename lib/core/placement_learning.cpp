#include "placement_figures.hpp"
#include "ragwortcove/core/placement_board.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Weight of a new observation.
static constexpr double learning_rate = 0.2;
/// Prompts shorter than this say little of an engine's prefill speed.
static constexpr std::uint32_t least_tokens_to_learn = 512;
/// Prompts up to this length show how long a first event takes by itself.
static constexpr std::uint32_t most_tokens_for_base = 256;
/// Half of the weight of what was seen of an upstream is lost in this time.
static constexpr duration health_half_life = 3s;
/// Failures, weighed by age, from which on an upstream is judged.
static constexpr double least_failures = 3.0;
/// An upstream is ejected when its failure rate is over that of its peers by this much.
static constexpr double tolerated_excess = 0.25;
static constexpr duration first_ejection = 1s;
static constexpr duration longest_ejection = 8s;

static void blend(double& into, double seen)
{
    into = into <= 0.0 ? seen : into + learning_rate * (seen - into);
}

void placement_board::learn_start(upstream_state& state, std::uint64_t computed_tokens,
                                  duration after)
{
    if (!state.is_engine || after <= 0s)
        return;
    const double base = state.first_event_us > 0.0 ? state.first_event_us : first_base_us;
    if (computed_tokens <= most_tokens_for_base) {
        blend(state.first_event_us, to_us(after));
        return;
    }
    if (computed_tokens < least_tokens_to_learn)
        return;
    const double computing = std::max(0.0, to_us(after) - base);
    blend(state.prefill_us_per_token, computing / static_cast<double>(computed_tokens));
}

void placement_board::learn_end(upstream_state& state, const placement_release& message)
{
    if (message.outcome != placement_outcome::completed)
        return;
    if (state.is_engine && message.between_events > 0s)
        blend(state.event_us, to_us(message.between_events));
    if (!state.is_engine && message.first_part_after > 0s)
        blend(state.service_us, to_us(message.first_part_after));
}

void placement_board::observe_start(const upstream_name& name, std::uint32_t computed_tokens,
                                    duration after)
{
    const auto found = this->upstreams.find(name);
    if (found != this->upstreams.end())
        learn_start(found->second, computed_tokens, after);
}

void placement_board::observe_end(const upstream_name& name, const placement_release& message)
{
    const auto found = this->upstreams.find(name);
    if (found != this->upstreams.end())
        learn_end(found->second, message);
}

static bool speaks_against(placement_outcome outcome)
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

// Some kinds of request fail often on sound upstreams too, so each upstream is held against its
// peers, not against a fixed rate.
void placement_board::judge(upstream_state& state, const cell& of, placement_outcome outcome,
                            time_point now)
{
    if (outcome == placement_outcome::refused || outcome == placement_outcome::cancelled)
        return;
    const double kept = std::exp2(-to_us(now - state.weighed_at) / to_us(health_half_life));
    state.good *= kept;
    state.bad *= kept;
    state.weighed_at = now;
    const bool failed = speaks_against(outcome);
    (failed ? state.bad : state.good) += 1.0;
    if (!failed) {
        if (state.ejected_until <= now && state.bad < 1.0)
            state.ejections = 0;
        return;
    }
    double peers_bad = 0.0;
    double peers_all = 0.0;
    for (const upstream_name& name : of.members) {
        const upstream_state& peer = this->upstreams.at(name);
        if (&peer == &state)
            continue;
        peers_bad += peer.bad;
        peers_all += peer.good + peer.bad;
    }
    const double peers_rate = peers_all > 0.0 ? peers_bad / peers_all : 0.0;
    const double rate = state.bad / (state.good + state.bad);
    const bool unreachable = outcome == placement_outcome::unreachable;
    if (!unreachable && (state.bad < least_failures || rate < peers_rate + tolerated_excess))
        return;
    const duration ejection =
        std::min(longest_ejection, first_ejection * (std::int64_t{1} << state.ejections));
    state.ejected_until = std::max(state.ejected_until, now + ejection);
    state.ejections = std::min(state.ejections + 1, 3U);
    state.bad = least_failures - 1.0;
    state.good = 0.0;
}

} // namespace ragwortcove::core
