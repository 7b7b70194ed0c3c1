#include "placement_messages.hpp"

#include <algorithm>
#include <chrono>

namespace ragwortcove::gateway {

using core::duration;

/// Longer waits are all the same to a request.
static constexpr std::chrono::milliseconds max_stated_wait{60'000};

void write_placement_request(const core::placement_request& from, wire::PlacementAsk& to)
{
    to.set_sequence(from.id.sequence);
    to.set_target(from.pool.value);
    to.set_cell(from.cell);
    to.set_team(from.team.value);
    to.set_rank(from.rank);
    to.set_prompt_tokens(from.prompt_tokens);
    to.set_output_tokens(from.output_tokens);
    for (const core::prompt_part& part : from.parts) {
        wire::PromptPart* added = to.add_parts();
        added->set_id(part.id);
        added->set_tokens(part.tokens);
    }
    to.set_goal_left(from.latency_budget.count());
    to.set_patience(from.max_wait.count());
    to.set_returned(from.returned);
    to.set_longest_pause(from.longest_pause.count());
    to.set_time_left(from.time_left.count());
    to.set_failure_domain(from.failure_domain.value);
    for (const core::upstream_name& avoided : from.avoid)
        to.add_avoid(avoided.value);
}

core::placement_request read_placement_request(const core::placement_id& id,
                                               const wire::PlacementAsk& from)
{
    core::placement_request result;
    result.id = id;
    result.pool.value = from.target();
    result.cell = from.cell();
    result.team.value = from.team();
    result.rank = from.rank();
    result.prompt_tokens = from.prompt_tokens();
    result.output_tokens = from.output_tokens();
    for (const wire::PromptPart& part : from.parts())
        result.parts.push_back({part.id(), part.tokens()});
    result.latency_budget = duration{from.goal_left()};
    result.max_wait = duration{from.patience()};
    result.returned = from.returned();
    result.longest_pause = duration{from.longest_pause()};
    result.time_left = duration{from.time_left()};
    result.failure_domain.value = from.failure_domain();
    for (const std::string& avoided : from.avoid())
        result.avoid.push_back({avoided});
    return result;
}

void write_load(const core::cell_load& from, wire::CellLoad& to)
{
    to.set_free_places(from.free_slots);
    to.set_waiting(from.waiting);
    if (!from.wait)
        return;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(*from.wait);
    to.set_wait_ms(static_cast<std::uint32_t>(std::min(wait, max_stated_wait).count()));
}

core::cell_load read_load(const wire::CellLoad& from)
{
    core::cell_load result{from.free_places(), from.waiting()};
    if (from.has_wait_ms())
        result.wait = std::chrono::milliseconds{from.wait_ms()};
    return result;
}

core::departure read_departure(const wire::PlacementGrant& from)
{
    const auto last = static_cast<std::uint32_t>(core::departure::cached);
    return from.left_domain() <= last ? static_cast<core::departure>(from.left_domain())
                                      : core::departure::none;
}

} // namespace ragwortcove::gateway
