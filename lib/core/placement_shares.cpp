// Team shares in the scheduler of placements: expected slot time, order and length of the queue.

#include "placement_limits.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <algorithm>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Expected slot time in a cell of which no upstream is known.
static constexpr duration default_slot_time = 100ms;

// Of a typical upstream of the cell, so that a team does not pay for the slow one it happens to
// get.
void placement_scheduler::assign_account(cell& own_cell, queued_request& waiting,
                                         time_point now) const
{
    if (!this->uses_team_shares)
        return;
    const placement_request& request = waiting.request;
    waiting.account = &own_cell.shares.account_for(request.rank, request.team,
                                                   weight_of(this->weights, request.team));
    waiting.slot_time = this->typical_slot_time(own_cell, request);
    own_cell.shares.record_request(*waiting.account, waiting.slot_time, now);
}

duration placement_scheduler::typical_slot_time(const cell& own_cell,
                                                const placement_request& request) const
{
    if (own_cell.members.empty())
        return default_slot_time;
    const speed_estimates typical = this->typical_estimates(own_cell);
    const upstream_state& any = *own_cell.members.front();
    double time_us = typical.service_us;
    if (any.is_engine)
        time_us = typical.first_event_us + request.prompt_tokens * typical.prefill_us_per_token +
                  static_cast<double>(request.output_tokens) / any.event_tokens * typical.event_us;
    return duration{static_cast<duration::rep>(time_us)};
}

// The order that is there decides between requests of one team, and between groups.
void placement_scheduler::order_by_shares(cell& own_cell, time_point now) const
{
    if (!this->uses_team_shares)
        return;
    share_order order(own_cell.shares, now);
    for (const auto& each : own_cell.queue)
        each->team_lead = order.next_lead(*each->account, each->slot_time);
    const auto by_lead = [](const auto& left, const auto& right) {
        return left->team_lead < right->team_lead;
    };
    auto& queue = own_cell.queue;
    for (auto first = queue.begin(); first != queue.end();) {
        const auto last = std::find_if(first, queue.end(), [&](const auto& each) {
            return each->priority != (*first)->priority || each->yields() != (*first)->yields();
        });
        std::stable_sort(first, last, by_lead);
        first = last;
    }
}

// A request of a team within its share does not wait for the many of a team that is over its own,
// so it must not be denied because of them.
std::size_t placement_scheduler::count_ahead(const cell& own_cell, const queued_request& waiting,
                                             time_point now) const
{
    const std::uint32_t rank = waiting.request.rank;
    std::size_t ahead = 0;
    if (waiting.account == nullptr) {
        for (const auto& each : own_cell.queue)
            ahead += each->request.rank <= rank ? 1 : 0;
        return ahead;
    }
    share_order order(own_cell.shares, now);
    std::vector<double> leads;
    for (const auto& each : own_cell.queue) {
        if (each.get() == &waiting)
            continue;
        if (each->request.rank < rank)
            ++ahead;
        else if (each->request.rank == rank)
            leads.push_back(order.next_lead(*each->account, each->slot_time));
    }
    const double own_lead = order.next_lead(*waiting.account, waiting.slot_time);
    return ahead + static_cast<std::size_t>(std::count_if(
                       leads.begin(), leads.end(), [&](double lead) { return lead <= own_lead; }));
}

} // namespace ragwortcove::core
