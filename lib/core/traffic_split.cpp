#include "ragwortcove/core/traffic_split.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::core {

static constexpr double permille = 1000.0;

bool is_canary(const move_standing& standing)
{
    return standing.suspicious || standing.passed < passes_before_unbounded;
}

// The finish-by time applies without the platform: an entry that does not know by then that the
// last step was reached returns to the old version by itself. A halt takes precedence even over
// `done`, since the controller that wrote `done` could not have known of the halt.
std::uint32_t share_permille(const route_move& move, const move_standing& standing,
                             unix_millis wall)
{
    if (standing.halted)
        return 0;
    const std::uint32_t allowed = standing.suspicious
                                      ? std::min(move.status.share_permille, canary_share_permille)
                                      : move.status.share_permille;
    switch (move.status.phase) {
    case move_phase::pending:
    case move_phase::preparing:
    case move_phase::reverted:
        return 0;
    case move_phase::shifting:
        return wall >= move.spec.finish_by ? 0 : allowed;
    case move_phase::soaking:
        return allowed;
    case move_phase::done:
        return 1000;
    }
    return 0;
}

const version_name& pick_version(const route_move& move, const move_standing& standing,
                                 const split_request& request, unix_millis wall)
{
    const bool canary = is_canary(standing) && move.status.phase != move_phase::done;
    const double share = static_cast<double>(share_permille(move, standing, wall)) *
                         (canary ? request.entries_per_quota_holder : 1.0);
    if (request.draw * permille >= share)
        return move.spec.from;
    if (move.status.phase == move_phase::done)
        return move.spec.to;
    const bool too_early = !request.idempotent && move.has_idempotent_requests &&
                           standing.passed < passes_before_non_idempotent;
    if (too_early)
        return move.spec.from;
    if (canary && request.canaries_in_flight >= request.canary_quota)
        return move.spec.from;
    return move.spec.to;
}

bool is_status_of(const move_status_spec& status, const move_spec& move)
{
    if (status.to != move.to)
        return false;
    // A move that had ended and was given another finish-by time starts again.
    const bool ended = status.phase == move_phase::done || status.phase == move_phase::reverted;
    return !ended || status.finish_by == move.finish_by;
}

static move_status_spec status_of(const move_name& name, const move_spec& spec,
                                  const configuration& from)
{
    const move_status_spec* found =
        from.find<move_status_spec>(object_kind::move_status, name.value);
    return found == nullptr || !is_status_of(*found, spec) ? move_status_spec{} : *found;
}

static bool is_later(const route_move& left, const route_move& right)
{
    return std::pair{left.spec.finish_by, left.name} > std::pair{right.spec.finish_by, right.name};
}

void traffic_split::rebuild(const configuration& from)
{
    this->by_route.clear();
    this->assisted_routes.clear();
    for (const auto& [key, value] : from.objects()) {
        const move_spec* spec = std::get_if<move_spec>(&value.spec);
        if (spec == nullptr)
            continue;
        const move_name name{key.name};
        route_move made{name, *spec, status_of(name, *spec, from)};
        const auto found = this->by_route.find(spec->route);
        if (found == this->by_route.end() || is_later(made, found->second))
            this->by_route.insert_or_assign(spec->route, std::move(made));
    }
    for (auto& [name, move] : this->by_route) {
        const route_spec* moved = from.find_route(name);
        if (moved != nullptr && !moved->idempotent)
            this->find_assisting_routes(move, *moved, from);
    }
}

// An idempotent route that was moved to the same version has tested that version already. A route
// whose own move is under way provides no canaries to others: its requests are canaries of its own
// move.
void traffic_split::find_assisting_routes(route_move& move, const route_spec& moved,
                                          const configuration& from)
{
    bool already_proven = false;
    for (const auto& [key, value] : from.objects()) {
        const route_spec* other = std::get_if<route_spec>(&value.spec);
        if (other == nullptr || !other->idempotent || other->target != moved.target)
            continue;
        move.has_idempotent_requests = true;
        const route_name assisting{key.name};
        const route_move* own = this->find(assisting);
        if (own == nullptr || own->ended())
            this->assisted_routes.emplace(assisting, move.spec.route);
        already_proven |=
            own != nullptr && own->status.phase == move_phase::done && own->spec.to == move.spec.to;
    }
    move.has_idempotent_requests &= !already_proven;
}

const route_move* traffic_split::find(const route_name& route) const
{
    const auto found = this->by_route.find(route);
    return found == this->by_route.end() ? nullptr : &found->second;
}

const route_move* traffic_split::find_assisted_move(const route_name& route) const
{
    const auto found = this->assisted_routes.find(route);
    if (found == this->assisted_routes.end())
        return nullptr;
    const route_move* move = this->find(found->second);
    return move == nullptr || move->ended() ? nullptr : move;
}

} // namespace ragwortcove::core
