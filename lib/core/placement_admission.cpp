#include "placement_limits.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <algorithm>
#include <tuple>

// Admission by deadline: which queued requests get a slot while a cell has too few.

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Share of the time until its latest start that a new request is expected to wait at most. A
/// request that is admitted should not be denied later because others took longer than estimated.
static constexpr double max_arrival_wait_share = 0.5;
/// Largest share of the slots that the load of earlier ranks counts for: the loads are averages,
/// and a few requests of later ranks wait for the gaps.
static constexpr double max_load_share = 0.9;
/// Longest time for which a late request is held: whether it gets a slot is uncertain, and its
/// caller is better told when to come back.
static constexpr duration max_late_wait = 500ms;

// Plain services respond within a few milliseconds; a slot that a late request takes there is free
// again before it could make another request late.
bool placement_scheduler::admits_by_deadline(const cell& own_cell) const
{
    return this->admission == admission_mode::by_deadline && !own_cell.members.empty() &&
           own_cell.members.front()->is_engine;
}

cell_slots placement_scheduler::slots_of(const cell& own_cell, time_point now) const
{
    cell_slots counted;
    for (const upstream_state* const each : own_cell.members) {
        const upstream_state& state = *each;
        if (state.info.leaving || state.ejected_until > now)
            continue;
        const std::uint32_t most = this->max_placed(state);
        counted.all += most;
        counted.free += free_slots_of(most, state.in_flight);
    }
    return counted;
}

std::uint32_t placement_scheduler::reserved_slots(time_point now) const
{
    std::uint32_t total = 0;
    for (const auto& [key, own_cell] : this->cells) {
        if (this->admits_by_deadline(own_cell))
            total += own_cell.admission.reserve(this->slots_of(own_cell, now).all, now);
    }
    return total;
}

time_point placement_scheduler::latest_start_of(const queued_request& waiting,
                                                std::span<const candidate> candidates) const
{
    std::optional<double> shortest_us;
    for (const candidate& each : candidates) {
        if (!is_allowed(*each.state, waiting.request))
            continue;
        const double time_us = first_event_us(each, 0);
        shortest_us = std::min(shortest_us.value_or(time_us), time_us);
    }
    return waiting.latency_deadline - from_us(shortest_us.value_or(0.0) / safe_share);
}

// On-time requests of all ranks precede late ones. A rank whose requests all arrive late would
// starve so; while it is starved, its late requests count as on time. Within a rank, callers that
// came back precede new ones, and then the request that must start first is first: the queue is
// kept so short that it is still in time.
void placement_scheduler::rank_queue(cell& own_cell, time_point now) const
{
    for (const auto& each : own_cell.queue) {
        const std::uint32_t rank = each->request.rank;
        const bool is_starved = own_cell.service.is_starved(rank);
        each->priority = is_starved ? 0 : rank + 1;
        each->is_late = each->latest_start <= now;
        each->is_admitted_late =
            each->is_late && is_starved && own_cell.admission.is_mostly_late(rank, now);
    }
    const auto key_of_queued = [](const queued_request& each) {
        return std::tuple(each.yields(), each.priority, !each.request.returned, each.latest_start);
    };
    std::stable_sort(own_cell.queue.begin(), own_cell.queue.end(),
                     [&](const auto& left, const auto& right) {
                         return key_of_queued(*left) < key_of_queued(*right);
                     });
    this->order_by_shares(own_cell, now);
}

void placement_scheduler::record_arrival(cell& own_cell, queued_request& created, time_point now)
{
    const placement_request& request = created.request;
    if (request.time_left > 0s)
        created.gives_up_at = now + request.time_left;
    std::vector<candidate> candidates = this->list_candidates(own_cell, now);
    this->prepare(candidates, request, now);
    created.latest_start = this->latest_start_of(created, candidates);
    created.is_late = created.latest_start <= now;
    for (const candidate& each : candidates) {
        if (this->is_suitable(each, created, now))
            created.suitable_slots += this->max_placed(*each.state);
    }
    if (created.is_late)
        own_cell.admission.record_late(request.rank, now);
    else
        own_cell.admission.record_on_time(request.rank, now);
}

bool placement_scheduler::is_suitable(const candidate& option, const queued_request& waiting,
                                      time_point now) const
{
    const placement_request& request = waiting.request;
    if (!is_allowed(*option.state, request) || !this->meets_pause_limit(option, request, 0))
        return false;
    if (waiting.gives_up_at != time_point::max() &&
        this->completion_us(option, request) > to_us(waiting.gives_up_at - now))
        return false;
    return waiting.is_late ||
           first_event_us(option, 0) <= to_us(waiting.latency_deadline - now) * safe_share;
}

// The reserve is kept on the faster engines: those that are slower than usual are in time for few
// requests.
std::vector<placement_scheduler::candidate> placement_scheduler::leftover_for(
    std::span<const candidate> candidates, std::span<const std::uint32_t> wanted,
    const queued_request& waiting, std::uint32_t reserve, time_point now) const
{
    double total_event_us = 0.0;
    for (const candidate& each : candidates)
        total_event_us += each.estimates.event_us;
    const double usual_event_us =
        total_event_us / static_cast<double>(std::max<std::size_t>(1, candidates.size()));
    std::vector<candidate> left(candidates.begin(), candidates.end());
    const auto is_fast = [&](const candidate& each) {
        return each.estimates.event_us <= usual_event_us;
    };
    std::uint32_t free_fast = 0;
    for (std::size_t index = 0; index < left.size(); ++index) {
        candidate& each = left[index];
        const std::uint32_t free =
            free_slots_of(this->max_placed(*each.state), each.state->in_flight);
        if (free <= wanted[index] || !this->is_suitable(each, waiting, now))
            each.has_free_slot = false;
        if (is_fast(each))
            free_fast += free;
    }
    if (free_fast > reserve)
        return left;
    for (candidate& each : left)
        each.has_free_slot = each.has_free_slot && !is_fast(each);
    return left;
}

void placement_scheduler::grant_by_deadline(cell& own_cell, time_point now, responses& out)
{
    this->rank_queue(own_cell, now);
    std::vector<candidate> candidates = this->list_candidates(own_cell, now);
    const std::uint32_t reserve =
        own_cell.admission.reserve(this->slots_of(own_cell, now).all, now);
    // On-time requests that wait although an engine has a free slot: it reads other prompts first.
    std::vector<std::uint32_t> wanted(candidates.size(), 0);
    std::uint32_t last_priority = 0;
    bool last_yields = false;
    failed_placements failed;
    for (auto at = own_cell.queue.begin(); at != own_cell.queue.end();) {
        const bool any_free = std::any_of(candidates.begin(), candidates.end(),
                                          [](const candidate& each) { return each.has_free_slot; });
        if (!any_free)
            break;
        const queued_request& waiting = **at;
        const bool yields = waiting.yields();
        if (waiting.priority != last_priority || yields != last_yields)
            failed.clear();
        last_priority = waiting.priority;
        last_yields = yields;
        const failure_domain_name& domain = this->domain_of_queue(waiting);
        if (!failed.may_try(domain)) {
            ++at;
            continue;
        }
        this->prepare(candidates, waiting.request, now);
        upstream_state* chosen = nullptr;
        if (yields) {
            std::vector<candidate> left =
                this->leftover_for(candidates, wanted, waiting, reserve, now);
            chosen = this->choose(left, waiting, now);
        }
        else {
            chosen = this->choose(candidates, waiting, now);
        }
        if (chosen == nullptr) {
            failed.add(domain);
            for (std::size_t index = 0; !yields && index < candidates.size(); ++index)
                wanted[index] += this->is_suitable(candidates[index], waiting, now) ? 1 : 0;
            ++at;
            continue;
        }
        this->grant(own_cell, *chosen, waiting, now, out);
        at = own_cell.queue.erase(at);
        for (candidate& each : candidates) {
            if (each.state == chosen)
                each.has_free_slot = this->has_room(*chosen, this->max_placed(*chosen), now);
        }
    }
}

void placement_scheduler::deny_hopeless(cell& own_cell, time_point now, responses& out)
{
    const cell_slots slots = this->slots_of(own_cell, now);
    if (slots.free * 2 > slots.all)
        return;
    std::vector<candidate> candidates = this->list_candidates(own_cell, now);
    if (candidates.empty())
        return; // Upstreams may come back while the requests may still wait.
    admission_policy& policy = own_cell.admission;
    const double all_on_time = policy.on_time_load(now);
    double work = 0.0;
    for (auto at = own_cell.queue.begin(); at != own_cell.queue.end();) {
        const queued_request& waiting = **at;
        const double own_work = policy.slot_seconds(waiting.request.rank);
        if (own_work <= 0.0)
            return; // Nothing is known yet.
        const bool yields = waiting.yields();
        const bool is_new = waiting.arrived_at == now;
        const std::uint32_t suitable =
            waiting.suitable_slots == 0 ? slots.all : waiting.suitable_slots;
        const double load_before = waiting.priority == 0
                                       ? 0.0
                                       : std::min(policy.load_before(waiting.request.rank, now),
                                                  max_load_share * suitable);
        const std::optional<duration> wait = admission_policy::time_to_serve(
            work + own_work, yields ? all_on_time : load_before, suitable);
        const time_point until =
            waiting.is_late ? std::min(waiting.arrived_at + max_late_wait, waiting.expires_at)
                            : std::min(waiting.latest_start, waiting.expires_at);
        const double share = is_new && !waiting.is_late ? max_arrival_wait_share : 1.0;
        const bool is_soon = wait && to_us(*wait) <= to_us(until - now) * share;
        const auto suits_free_slot = [&] {
            this->prepare(candidates, waiting.request, now);
            return std::any_of(candidates.begin(), candidates.end(), [&](const candidate& each) {
                return each.has_free_slot && this->is_suitable(each, waiting, now);
            });
        };
        if (is_soon || (!yields && slots.free > 0 && suits_free_slot())) {
            work += own_work;
            ++at;
            continue;
        }
        (is_new ? this->admission_numbers.denied_at_arrival
                : this->admission_numbers.denied_later) += 1;
        this->deny(own_cell, waiting, denial_reason::overloaded, now, out);
        at = own_cell.queue.erase(at);
    }
}

void placement_scheduler::record_slot_time(cell& own_cell, const in_flight_request& ended,
                                           placement_outcome outcome, time_point now)
{
    if (!ended.is_own)
        return;
    const duration held = now - ended.granted_at;
    if (outcome == placement_outcome::completed)
        own_cell.admission.record_slot_time(ended.rank, held);
    if (ended.was_late)
        this->admission_numbers.late_slot_time += held;
}

} // namespace ragwortcove::core
