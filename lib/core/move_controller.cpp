#include "ragwortcove/core/move_controller.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <variant>

namespace ragwortcove::core {

/// How long a lease lasts, and how long before its expiry it is renewed.
static constexpr std::int64_t lease_duration_ms = 10'000;
static constexpr std::int64_t renew_before_ms = 5'000;
/// No status is written under a lease that expires sooner than this.
static constexpr std::int64_t min_lease_left_ms = 1'500;
/// Assumed maximum difference of the nodes' clocks: a lease counts as expired only this long after
/// its expiry time.
static constexpr std::int64_t clock_skew_ms = 1'000;

static std::string lease_name(const move_name& move)
{
    return "move/" + move.value;
}

move_controller::controlled_move::controlled_move(const move_name& name)
    : lease{object_key{object_kind::lease, lease_name(name)}, call_purpose::lease},
      status{object_key{object_kind::move_status, name.value}, call_purpose::move_status}
{
}

node_name move_controller::controller_of(const move_name& move, time_point now) const
{
    const std::vector<std::string> candidates = this->members.owners(region_name{}, now);
    return node_name{candidates[rendezvous_first("move/" + move.value, candidates)]};
}

// A status of an earlier move of the same name is overwritten, and does not apply to this move.
move_status_spec move_controller::current_status(const route_move& move,
                                                 const controlled_move& state) const
{
    if (!state.status.current())
        return {};
    const move_status_spec* found = std::get_if<move_status_spec>(&state.status.current()->spec);
    return found == nullptr || !is_status_of(*found, move.spec) ? move_status_spec{} : *found;
}

void move_controller::update_stored(const route_move& move, controlled_move& state) const
{
    const auto update = [this](stored_object& target, const object_key& key) {
        const auto found = this->config.objects().find(key);
        if (found != this->config.objects().end())
            target.update_known(found->second);
    };
    update(state.lease, {object_kind::lease, lease_name(move.name)});
    update(state.status, {object_kind::move_status, move.name.value});
}

void move_controller::tick(step_context& context)
{
    if (this->config.empty())
        return;
    for (const auto& [route, move] : this->moves.split().all()) {
        const bool halted_late = move.status.phase == move_phase::done &&
                                 this->moves.standing(move.name, context.now).halted;
        const bool wanted = (!move.ended() || halted_late) &&
                            this->controller_of(move.name, context.now) == this->settings.name;
        if (!wanted) {
            this->controlled.erase(move.name);
            continue;
        }
        auto [found, added] = this->controlled.try_emplace(move.name, controlled_move{move.name});
        this->advance(move, found->second, context);
    }
    std::erase_if(this->controlled, [this](const auto& entry) {
        const auto& all = this->moves.split().all();
        return std::none_of(all.begin(), all.end(),
                            [&](const auto& moved) { return moved.second.name == entry.first; });
    });
}

static move_situation situation_of(const move_watch& moves, const move_name& name, bool loaded,
                                   const step_context& context)
{
    return {moves.standing(name, context.now), moves.pairs(name), loaded, context.wall};
}

void move_controller::advance(const route_move& move, controlled_move& state, step_context& context)
{
    this->update_stored(move, state);
    state.lease.tick(this->platform, context);
    state.status.tick(this->platform, context);
    const bool busy = state.lease.is_busy(context.now) || state.status.is_busy(context.now);
    const std::int64_t left_ms = state.lease_until.value - context.wall.value;
    if (left_ms < renew_before_ms && !busy) {
        this->take_lease(move, state, context);
        return;
    }
    if (left_ms < min_lease_left_ms || busy)
        return;
    const move_status_spec status = this->current_status(move, state);
    if (status.fencing > state.fencing) {
        // Another controller has taken over, even if the lease is still valid by this node's clock.
        state.lease_until = {};
        return;
    }
    const route_spec* route = this->config.find_route(move.spec.route);
    if (route != nullptr && status.phase == move_phase::preparing)
        state.loader.tick(*route, move.spec.to, state.fencing, this->config, this->next_order,
                          context);
    const std::optional<move_status_spec> next = plan_next(
        move.spec, status, situation_of(this->moves, move.name, state.loader.loaded(), context),
        state.progress);
    if (next)
        this->write_status(move, state, *next, context);
}

std::string move_controller::make_change_id(const char* what, const move_name& name,
                                            controlled_move& state) const
{
    return std::string(what) + "-" + name.value + "-" + std::to_string(this->settings.run.value) +
           "-" + std::to_string(++state.changes);
}

// The fencing number increases by one when the lease gets another holder, and stays on a renewal.
void move_controller::take_lease(const route_move& move, controlled_move& state,
                                 step_context& context)
{
    lease_spec wanted{this->settings.name, this->settings.run, fencing_number{1},
                      unix_millis{context.wall.value + lease_duration_ms}};
    if (state.lease.current()) {
        const lease_spec& held = std::get<lease_spec>(state.lease.current()->spec);
        const bool ours = held.holder_incarnation == this->settings.run;
        const bool lapsed = held.expires.value + clock_skew_ms < context.wall.value;
        if (!ours && !lapsed)
            return;
        const bool renewal = ours && state.lease_until.value > context.wall.value;
        wanted.fencing = renewal ? held.fencing : fencing_number{held.fencing.value + 1};
    }
    state.lease.write(wanted, this->make_change_id("lease", move.name, state), this->platform,
                      context);
}

void move_controller::lease_answered(controlled_move& state, write_outcome outcome,
                                     step_context& context)
{
    switch (outcome) {
    case write_outcome::unknown:
        return;
    case write_outcome::refused:
        state.lease_until = {};
        return;
    case write_outcome::applied:
        break;
    }
    const lease_spec& held = std::get<lease_spec>(state.lease.current()->spec);
    if (held.fencing != state.fencing) {
        state.fencing = held.fencing;
        state.progress = {};
        state.loader = {};
    }
    state.lease_until = held.expires;
    (void)context;
}

void move_controller::write_status(const route_move& move, controlled_move& state,
                                   const move_status_spec& next, step_context& context)
{
    move_status_spec written = next;
    written.fencing = state.fencing;
    written.to = move.spec.to;
    written.finish_by = move.spec.finish_by;
    state.status.write(written, this->make_change_id("status", move.name, state), this->platform,
                       context);
}

void move_controller::status_answered(const move_name& name, controlled_move& state,
                                      write_outcome outcome, step_context& context)
{
    if (outcome != write_outcome::applied)
        return;
    const std::uint32_t setbacks = state.progress.setbacks;
    state.progress = {};
    state.progress.setbacks = setbacks;
    const move_status_spec& now = std::get<move_status_spec>(state.status.current()->spec);
    const bool ended = now.phase == move_phase::done || now.phase == move_phase::reverted;
    context.log(ended ? decision_kind::move_ended : decision_kind::move_stepped, {}, name.value,
                std::string(to_string(now.phase)) + " " + std::to_string(now.share_permille) +
                    (now.reason.empty() ? "" : ": " + now.reason));
}

bool move_controller::answered(call_id call, const platform_result& result, step_context& context)
{
    for (auto& [name, state] : this->controlled) {
        if (state.lease.is_waiting_for(call)) {
            this->lease_answered(state, state.lease.answered(result, context), context);
            return true;
        }
        if (state.status.is_waiting_for(call)) {
            this->status_answered(name, state, state.status.answered(result, context), context);
            return true;
        }
    }
    return false;
}

void move_controller::order_answered(const core::order_answered& message, step_context& context)
{
    for (auto& [name, state] : this->controlled) {
        const move_spec* move = this->config.find<move_spec>(object_kind::move, name.value);
        if (move == nullptr)
            continue;
        state.loader.answered(message, move->to, context);
        // An upstream has seen a greater fencing number: another controller has a newer lease.
        if (state.loader.was_refused_as_stale())
            state.lease_until = {};
    }
}

} // namespace ragwortcove::core
