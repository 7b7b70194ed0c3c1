#include "placement_figures.hpp"
#include "ragwortcove/core/placement_board.hpp"
#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Assumed until an upstream has shown its own figures.
static constexpr double first_prefill_us_per_token = 20.0;
static constexpr double first_event_us_assumed = 25'000.0;
static constexpr double first_service_us = 20'000.0;
/// Prompt tokens that engines compute between two tokens of the requests beside.
static constexpr std::uint64_t usual_chunk_tokens = 4096;
/// Part of a limit that an estimate may reach.
static constexpr double safe_share = 0.9;
/// A node that hears of less than this part of the fleet takes itself for cut off.
static constexpr double small_fleet_share = 0.5;
/// How far above the mean a node's traffic may be.
static constexpr double uneven_traffic = 1.5;
/// How much slower an upstream may seem to one cut-off node than to another.
static constexpr double most_spread = 1.0;
/// Extra time to an upstream in another failure domain.
static constexpr double far_us = 3'000.0;

bool placement_board::may_use(const upstream_state& state, const placement_ask& ask)
{
    return std::find(ask.avoid.begin(), ask.avoid.end(), state.info.name) == ask.avoid.end();
}

double placement_board::typical(const cell& of, double upstream_state::*figure,
                                double otherwise) const
{
    double total = 0.0;
    std::size_t known = 0;
    for (const upstream_name& name : of.members) {
        const double value = this->upstreams.at(name).*figure;
        if (value <= 0.0)
            continue;
        total += value;
        ++known;
    }
    return known == 0 ? otherwise : total / static_cast<double>(known);
}

placement_board::engine_figures placement_board::usual_figures(const cell& of) const
{
    return {this->typical(of, &upstream_state::prefill_us_per_token, first_prefill_us_per_token),
            this->typical(of, &upstream_state::first_event_us, first_base_us),
            this->typical(of, &upstream_state::event_us, first_event_us_assumed),
            this->typical(of, &upstream_state::service_us, first_service_us)};
}

/// Upstreams that take work. When every one looks bad, the judgement itself is in doubt: then all
/// are listed, and each gets one request at a time.
std::vector<placement_board::candidate> placement_board::list_candidates(const cell& of,
                                                                         time_point now)
{
    const engine_figures usual = this->usual_figures(of);
    const bool all_ejected =
        std::all_of(of.members.begin(), of.members.end(), [&](const upstream_name& name) {
            const upstream_state& state = this->upstreams.at(name);
            return state.info.leaving || state.ejected_until > now;
        });
    std::vector<candidate> made;
    made.reserve(of.members.size());
    for (const upstream_name& name : of.members) {
        upstream_state& state = this->upstreams.at(name);
        if (state.info.leaving || (state.ejected_until > now && !all_ejected))
            continue;
        // An engine that is slow at one thing is slow at the others: what it has not shown is
        // scaled from what it has.
        double pace = 1.0;
        if (state.event_us > 0.0)
            pace = state.event_us / usual.event_us;
        else if (state.prefill_us_per_token > 0.0)
            pace = state.prefill_us_per_token / usual.prefill_us_per_token;
        else if (state.first_event_us > 0.0)
            pace = state.first_event_us / usual.first_event_us;
        const auto own = [pace](double seen, double otherwise) {
            return seen > 0.0 ? seen : otherwise * pace;
        };
        candidate one;
        one.state = &state;
        one.figures = {own(state.prefill_us_per_token, usual.prefill_us_per_token),
                       own(state.first_event_us, usual.first_event_us),
                       own(state.event_us, usual.event_us),
                       state.service_us > 0.0 ? state.service_us : usual.service_us};
        const std::uint32_t most = all_ejected ? 1 : this->most_placed(state);
        one.has_room = state.in_flight < most;
        made.push_back(one);
    }
    return made;
}

// Most of a fleet that cannot be heard of is most likely still there, and so is its work. A node
// that is cut off from it takes its own part of each upstream and no more.
std::uint32_t placement_board::most_placed(const upstream_state& state) const
{
    const std::uint32_t all = most_in_flight(state.is_engine, state.slots);
    if (this->fleet_share >= small_fleet_share)
        return all;
    const double part = std::ceil(all * this->fleet_share * uneven_traffic);
    return std::clamp(static_cast<std::uint32_t>(part), 1U, all);
}

// Nodes that each place by themselves would all take the fastest upstream.
double placement_board::spread_factor(const upstream_state& state) const
{
    if (this->fleet_share >= small_fleet_share)
        return 1.0;
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t drawn = stable_hash(state.info.name.value, this->spread_seed) % steps;
    return 1.0 + most_spread * static_cast<double>(drawn) / static_cast<double>(steps);
}

static double distance_us(const announced_upstream& upstream, const placement_ask& ask)
{
    return upstream.failure_domain == ask.failure_domain ? 0.0 : far_us;
}

double placement_board::first_event_us(const candidate& by, const placement_ask& ask,
                                       std::uint64_t ahead) const
{
    const double tokens = static_cast<double>(ahead + this->uncached(*by.state, ask));
    return distance_us(by.state->info, ask) + by.figures.first_event_us +
           tokens * by.figures.prefill_us_per_token;
}

// Time to the last event, as far as it is known: prompts ahead, the prompt itself, the answer.
double placement_board::whole_us(const candidate& by, const placement_ask& ask) const
{
    const upstream_state& state = *by.state;
    if (!state.is_engine) {
        const double share =
            static_cast<double>(state.in_flight + 1) / static_cast<double>(state.slots);
        return distance_us(state.info, ask) + by.figures.service_us * (1.0 + share);
    }
    // Every request that runs beside makes each token a little slower.
    const double crowding = 1.0 + 0.02 * static_cast<double>(state.in_flight);
    const double events = static_cast<double>(ask.output_tokens) / state.event_tokens;
    return this->first_event_us(by, ask, state.backlog_tokens) +
           by.figures.event_us * crowding * events;
}

// Between two events of a stream the engine computes a chunk of prompts for each of the event's
// tokens. A long prompt on a slow engine would hold up all that run there beyond what is in time.
bool placement_board::keeps_pace(const candidate& by, const placement_ask& ask,
                                 std::uint64_t ahead) const
{
    if (!by.state->is_engine || ask.longest_pause <= 0s)
        return true;
    const std::uint64_t tokens = std::min<std::uint64_t>(
        ahead + this->uncached(*by.state, ask), by.state->event_tokens * usual_chunk_tokens);
    const double pause =
        by.figures.event_us + static_cast<double>(tokens) * by.figures.prefill_us_per_token;
    return pause <= to_us(ask.longest_pause) * safe_share;
}

// An upstream with a free place is not always a good one: a request waits for a better one as long
// as there is one that could still serve it in time.
placement_board::upstream_state* placement_board::choose(std::span<candidate> among,
                                                         const waiting_ask& waiting,
                                                         time_point now) const
{
    const placement_ask& ask = waiting.ask;
    const double goal_us = to_us(waiting.goal_at - now) * safe_share;
    bool some_in_time = false;
    bool some_keep_pace = false;
    for (const candidate& each : among) {
        if (!each.state->is_engine || !may_use(*each.state, ask))
            continue;
        some_in_time = some_in_time || this->first_event_us(each, ask, 0) <= goal_us;
        some_keep_pace = some_keep_pace || this->keeps_pace(each, ask, 0);
    }
    upstream_state* best = nullptr;
    double best_time = 0.0;
    for (const candidate& each : among) {
        upstream_state& state = *each.state;
        if (!each.has_room || !may_use(state, ask))
            continue;
        if (some_in_time && this->first_event_us(each, ask, state.backlog_tokens) > goal_us)
            continue;
        const bool alone = state.in_flight == 0;
        if (some_keep_pace && !alone && !this->keeps_pace(each, ask, state.backlog_tokens))
            continue;
        const double time = this->whole_us(each, ask) * this->spread_factor(state);
        if (best != nullptr && time >= best_time)
            continue;
        best = &state;
        best_time = time;
    }
    return best;
}

} // namespace ragwortcove::core
