#include "placement_limits.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <algorithm>

namespace ragwortcove::core {

using namespace std::chrono_literals;

void placement_scheduler::best_option::consider(const candidate& other, double other_time_us)
{
    if (this->option != nullptr && other_time_us >= this->time_us)
        return;
    this->option = &other;
    this->time_us = other_time_us;
}

// The estimates of one request ask for these values many times.
void placement_scheduler::prepare(std::span<candidate> candidates, const placement_request& request,
                                  time_point now) const
{
    for (candidate& each : candidates) {
        const upstream_state& state = *each.state;
        each.way_us =
            to_us(this->ways.between(request.failure_domain, state.info.failure_domain, now));
        each.uncached_tokens = state.is_engine ? this->count_uncached_tokens(state, request) : 0;
    }
}

// A slot that no caller of its own failure domain can use is not kept for them.
void placement_scheduler::grant_waiting(cell& own_cell, time_point now, responses& out)
{
    if (now < own_cell.grants_start_at || own_cell.queue.empty())
        return;
    const bool by_deadline = this->admits_by_deadline(own_cell);
    const auto grant_once = [&] {
        if (by_deadline)
            this->grant_by_deadline(own_cell, now, out);
        else
            this->grant_in_order(own_cell, now, out);
    };
    grant_once();
    if (this->options.spill.enabled && !own_cell.queue.empty()) {
        this->own_callers_first = false;
        grant_once();
        this->own_callers_first = true;
    }
    if (by_deadline)
        this->deny_hopeless(own_cell, now, out);
}

const failure_domain_name& placement_scheduler::domain_of_queue(const queued_request& waiting) const
{
    static const failure_domain_name all_domains;
    return this->options.spill.enabled ? waiting.request.failure_domain : all_domains;
}

void placement_scheduler::count_waiting(cell& own_cell, bool keeps_slots, time_point now)
{
    own_cell.domains.clear_waiting(keeps_slots);
    for (const auto& each : own_cell.queue)
        own_cell.domains.add_waiting(each->request.failure_domain,
                                     {each->request.rank, each->latency_deadline <= now});
}

placement_scheduler::domain_view
placement_scheduler::view_domains(std::span<const candidate> candidates,
                                  const queued_request& waiting, time_point now) const
{
    const failure_domain_name& own = waiting.request.failure_domain;
    domain_view created;
    created.order = {waiting.request.rank, waiting.latency_deadline <= now};
    bool has_own = false;
    for (const candidate& each : candidates) {
        const upstream_state& state = *each.state;
        std::uint32_t& free_slots = created.free_slots[state.info.failure_domain];
        if (each.has_free_slot)
            free_slots += this->max_placed(state) - static_cast<std::uint32_t>(state.in_flight);
        has_own =
            has_own || (state.info.failure_domain == own && is_allowed(state, waiting.request));
    }
    if (has_own)
        created.own_wait = candidates.front().domains->own_wait(own, created.order, now);
    return created;
}

domain_offer placement_scheduler::offer_of(const candidate& option,
                                           const placement_request& request) const
{
    const upstream_state& state = *option.state;
    const double completion = this->completion_us(option, request);
    if (!state.is_engine)
        return {completion, completion, 0};
    return {first_event_us(option, state.backlog_tokens), completion, option.uncached_tokens};
}

placement_scheduler::upstream_state*
placement_scheduler::choose_domain(const domain_view& domains, const best_option& own,
                                   const best_option& elsewhere, const queued_request& waiting,
                                   time_point now) const
{
    if (elsewhere.option == nullptr)
        return own.option == nullptr ? nullptr : own.option->state;
    const placement_request& request = waiting.request;
    const duration price = price_of_leaving(
        this->options.spill, std::uint64_t{request.prompt_tokens} + request.output_tokens);
    upstream_state* const there = elsewhere.option->state;
    if (own.option != nullptr) {
        there->chosen_as = compare_offers(this->offer_of(*own.option, request),
                                          this->offer_of(*elsewhere.option, request),
                                          least_saving(price, waiting.latency_deadline - now));
        return there->chosen_as == departure::none ? own.option->state : there;
    }
    const duration way{static_cast<duration::rep>(elsewhere.option->way_us)};
    if (!is_worth_leaving(now - waiting.arrived_at, domains.own_wait,
                          waiting.latency_deadline - now, way, price))
        return nullptr;
    there->chosen_as = departure::too_few;
    return there;
}

} // namespace ragwortcove::core
