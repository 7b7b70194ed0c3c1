#include "ragwortcove/core/placement_scheduler.hpp"

namespace ragwortcove::core {

void placement_scheduler::limit_warmups(
    const std::function<bool(const target_name& pool, cell_index cell)>& is_owned, time_point now)
{
    std::vector<limited_upstream> limited;
    for (const auto& [key, own_cell] : this->cells) {
        std::optional<bool> is_own_cell;
        for (const upstream_state* const each : own_cell.members) {
            const upstream_state& state = *each;
            if (state.warmup_rate <= 0.0)
                continue;
            // Owners are found by hashing all nodes, which is not worth it without a limit.
            if (!is_own_cell)
                is_own_cell = is_owned(key.pool, key.index);
            limited.push_back({{state.info.name, state.info.started_at},
                               state.warmup_rate,
                               state.warmup_time,
                               state.info.warm_at,
                               *is_own_cell});
        }
    }
    this->warmup.set_upstreams(limited, now);
}

// An upstream that may get no request yet looks like one without a free slot: requests go to
// others, or wait, or are denied when they cannot be placed in time.
bool placement_scheduler::has_room(const upstream_state& state, std::uint32_t max_count,
                                   time_point now)
{
    if (state.in_flight >= max_count)
        return false;
    const bool allowed = this->warmup.may_grant(state.info.name, now);
    this->held_back_count += allowed ? 0 : 1;
    return allowed;
}

} // namespace ragwortcove::core
