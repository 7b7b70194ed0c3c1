#include "placement_limits.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"
#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Assumed until there are estimates from observations.
static constexpr double default_prefill_us_per_token = 20.0;
static constexpr double default_event_us = 25'000.0;
static constexpr double default_service_us = 20'000.0;
/// Prompt tokens that engines typically compute between two tokens of other running requests.
static constexpr std::uint64_t typical_chunk_tokens = 4096;
/// A node that can reach less than this share of the fleet considers itself partitioned.
static constexpr double small_fleet_share = 0.5;
/// Factor by which a node's traffic may exceed the mean of all nodes.
static constexpr double uneven_traffic = 1.5;
/// How much slower an upstream may look to one partitioned node than to another, as a fraction.
static constexpr double max_spread = 1.0;

bool placement_scheduler::is_allowed(const upstream_state& state, const placement_request& request)
{
    const std::uint64_t tokens = tokens_in_memory(request.prompt_tokens, request.output_tokens);
    if (!state.memory.could_hold(tokens))
        return false;
    return std::find(request.avoid.begin(), request.avoid.end(), state.info.name) ==
           request.avoid.end();
}

bool placement_scheduler::has_memory_for(const upstream_state& state,
                                         const placement_request& request)
{
    return state.memory.has_room_for(
        tokens_in_memory(request.prompt_tokens, request.output_tokens));
}

double placement_scheduler::mean_or(const cell& own_cell, double upstream_state::*estimate,
                                    double fallback) const
{
    double total = 0.0;
    std::size_t known = 0;
    for (const upstream_state* const each : own_cell.members) {
        const double value = each->*estimate;
        if (value <= 0.0)
            continue;
        total += value;
        ++known;
    }
    return known == 0 ? fallback : total / static_cast<double>(known);
}

placement_scheduler::speed_estimates
placement_scheduler::typical_estimates(const cell& own_cell) const
{
    return {this->mean_or(own_cell, &upstream_state::prefill_us_per_token,
                          default_prefill_us_per_token),
            this->mean_or(own_cell, &upstream_state::first_event_us, default_first_event_us),
            this->mean_or(own_cell, &upstream_state::event_us, default_event_us),
            this->mean_or(own_cell, &upstream_state::service_us, default_service_us)};
}

// Lists the upstreams that accept requests. When all of them are ejected, the ejections are
// unlikely to be right: then all are listed, and each gets one request at a time.
std::vector<placement_scheduler::candidate> placement_scheduler::list_candidates(cell& own_cell,
                                                                                 time_point now)
{
    const speed_estimates typical_values = this->typical_estimates(own_cell);
    const bool all_ejected = std::all_of(own_cell.members.begin(), own_cell.members.end(),
                                         [&](const upstream_state* each) {
                                             return each->info.leaving || each->ejected_until > now;
                                         });
    if (this->options.spill.enabled)
        count_waiting(own_cell, this->own_callers_first, now);
    std::vector<candidate> listed;
    listed.reserve(own_cell.members.size());
    for (upstream_state* const each : own_cell.members) {
        upstream_state& state = *each;
        if (state.info.leaving || (state.ejected_until > now && !all_ejected))
            continue;
        // An engine that is slow in one respect is slow in the others, too. An estimate that is
        // missing is therefore scaled from one that exists.
        double slowness = 1.0;
        if (state.event_us > 0.0)
            slowness = state.event_us / typical_values.event_us;
        else if (state.prefill_us_per_token > 0.0)
            slowness = state.prefill_us_per_token / typical_values.prefill_us_per_token;
        else if (state.first_event_us > 0.0)
            slowness = state.first_event_us / typical_values.first_event_us;
        const auto estimate_or_scaled = [slowness](double observed, double fallback) {
            return observed > 0.0 ? observed : fallback * slowness;
        };
        candidate created;
        created.state = &state;
        created.estimates = {
            estimate_or_scaled(state.prefill_us_per_token, typical_values.prefill_us_per_token),
            estimate_or_scaled(state.first_event_us, typical_values.first_event_us),
            estimate_or_scaled(state.event_us, typical_values.event_us),
            state.service_us > 0.0 ? state.service_us : typical_values.service_us};
        created.usual = &own_cell.usual;
        created.domains = &own_cell.domains;
        const std::uint32_t max_count = all_ejected ? 1 : this->max_placed(state);
        created.has_free_slot = this->has_room(state, max_count, now);
        listed.push_back(created);
    }
    return listed;
}

// If most of the fleet is unreachable, it is most likely still running and still placing requests.
// A partitioned node therefore uses only its own share of each upstream.
std::uint32_t placement_scheduler::max_placed(const upstream_state& state) const
{
    const std::uint32_t all = max_in_flight(state.is_engine, state.slots);
    if (this->fleet_share >= small_fleet_share)
        return all;
    const double allowed = std::ceil(all * this->fleet_share * uneven_traffic);
    return std::clamp(static_cast<std::uint32_t>(allowed), 1U, all);
}

// Partitioned nodes, which place without knowing of each other, would all choose the fastest
// upstream.
double placement_scheduler::spread_factor(const upstream_state& state) const
{
    if (this->fleet_share >= small_fleet_share)
        return 1.0;
    constexpr std::uint64_t steps = 1024;
    const std::uint64_t hash_step = stable_hash(state.info.name.value, this->spread_seed) % steps;
    return 1.0 + max_spread * static_cast<double>(hash_step) / static_cast<double>(steps);
}

double placement_scheduler::first_event_us(const candidate& option, std::uint64_t ahead)
{
    const auto tokens = static_cast<double>(ahead + option.uncached_tokens);
    return option.way_us + option.estimates.first_event_us +
           tokens * option.estimates.prefill_us_per_token;
}

// Estimated time to the last event: the prompts ahead, the prompt itself, the response.
double placement_scheduler::completion_us(const candidate& option,
                                          const placement_request& request) const
{
    const upstream_state& state = *option.state;
    if (!state.is_engine) {
        const double share =
            static_cast<double>(state.in_flight + 1) / static_cast<double>(state.slots);
        return option.way_us + option.estimates.service_us * (1.0 + share);
    }
    // Every other running request makes each token a little slower.
    const double crowding = 1.0 + 0.02 * static_cast<double>(state.in_flight);
    const double events = static_cast<double>(request.output_tokens) / state.event_tokens;
    return first_event_us(option, state.backlog_tokens) +
           option.estimates.event_us * crowding * events;
}

// Between two events of a stream, the engine computes a chunk of prompts for each token of the
// event. A long prompt on a slow engine would therefore delay all running streams beyond their
// longest allowed pause.
bool placement_scheduler::meets_pause_limit(const candidate& option,
                                            const placement_request& request,
                                            std::uint64_t ahead) const
{
    if (!option.state->is_engine || request.longest_pause <= 0s)
        return true;
    const std::uint64_t tokens = std::min<std::uint64_t>(
        ahead + option.uncached_tokens, option.state->event_tokens * typical_chunk_tokens);
    const double pause = option.estimates.event_us +
                         static_cast<double>(tokens) * option.estimates.prefill_us_per_token;
    return pause <= to_us(request.longest_pause) * safe_share;
}

// A free slot is not always worth using: a request waits for a better upstream as long as there is
// one that could still meet its latency objective.
placement_scheduler::upstream_state* placement_scheduler::choose(std::span<candidate> candidates,
                                                                 const queued_request& waiting,
                                                                 time_point now) const
{
    const placement_request& request = waiting.request;
    const double budget_us = to_us(waiting.latency_deadline - now) * safe_share;
    this->prepare(candidates, request, now);
    bool any_in_time = false;
    bool any_meets_pause_limit = false;
    for (const candidate& each : candidates) {
        if (!each.state->is_engine || !is_allowed(*each.state, request))
            continue;
        any_in_time = any_in_time || first_event_us(each, 0) <= budget_us;
        any_meets_pause_limit = any_meets_pause_limit || this->meets_pause_limit(each, request, 0);
    }
    const bool is_waiting_better =
        this->options.paced_places && this->is_worth_waiting(candidates, waiting, now);
    const bool may_spill = this->options.spill.enabled;
    const domain_view domains =
        may_spill ? this->view_domains(candidates, waiting, now) : domain_view{};
    best_option own;
    best_option elsewhere;
    for (const candidate& each : candidates) {
        const upstream_state& state = *each.state;
        if (!each.has_free_slot || !is_allowed(state, request) || !has_memory_for(state, request))
            continue;
        if (any_in_time && first_event_us(each, state.backlog_tokens) > budget_us)
            continue;
        const bool is_idle = state.in_flight == 0;
        if (any_meets_pause_limit && !is_idle &&
            !this->meets_pause_limit(each, request, state.backlog_tokens))
            continue;
        if (is_waiting_better && !this->ends_in_time(each, waiting, now))
            continue;
        const failure_domain_name& there = state.info.failure_domain;
        const bool leaves = may_spill && there != request.failure_domain;
        if (leaves && !each.domains->may_take(request.failure_domain, domains.order, there,
                                              domains.free_slots.at(there), now))
            continue;
        const double time = this->completion_us(each, request) * this->spread_factor(state);
        (leaves ? elsewhere : own).consider(each, time);
    }
    if (may_spill)
        return this->choose_domain(domains, own, elsewhere, waiting, now);
    return own.option == nullptr ? nullptr : own.option->state;
}

} // namespace ragwortcove::core
