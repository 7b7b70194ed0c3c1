// Load that an owner states of its cells.

#include "placement_limits.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

/// Grants per second below which a cell counts as standing still.
static constexpr double min_grant_rate = 0.1;

cell_load placement_scheduler::load_for(const placement_request& request, time_point now) const
{
    const auto found = this->cells.find(this->key_of(request));
    return found == this->cells.end() ? cell_load{}
                                      : this->load_of(found->second, request.rank, now);
}

cell_load placement_scheduler::load_of(const cell& own_cell, std::uint32_t rank,
                                       time_point now) const
{
    cell_load created;
    created.waiting = static_cast<std::uint32_t>(own_cell.queue.size());
    for (const upstream_state* const each : own_cell.members) {
        const upstream_state& state = *each;
        const std::size_t max_count = this->max_placed(state);
        if (!state.info.leaving && state.in_flight < max_count)
            created.free_slots += static_cast<std::uint32_t>(max_count - state.in_flight);
    }
    if (this->states_waits)
        created.wait = this->on_time_wait(own_cell, rank, now);
    return created;
}

std::optional<duration> placement_scheduler::on_time_wait(const cell& own_cell, std::uint32_t rank,
                                                          time_point now) const
{
    const auto ahead =
        std::count_if(own_cell.queue.begin(), own_cell.queue.end(), [&](const auto& each) {
            const bool is_over_share = each->account != nullptr && each->account->is_over_share;
            return each->request.rank <= rank && each->latency_deadline > now && !is_over_share;
        });
    // The rate is an average until the last grant.
    const double rate =
        own_cell.grant_rate * std::exp(-to_us(now - own_cell.rate_updated_at) / to_us(rate_window));
    if (rate < min_grant_rate)
        return ahead == 0 ? std::optional(duration{0}) : std::nullopt;
    return duration{static_cast<duration::rep>(1e6 * static_cast<double>(ahead + 1) / rate)};
}

} // namespace ragwortcove::core
