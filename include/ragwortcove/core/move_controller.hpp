/// \file
/// Advances moves from `pending` to `done` or `reverted`; a lease gives each move one controller.
#pragma once

#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/move_plan.hpp"
#include "ragwortcove/core/move_watch.hpp"
#include "ragwortcove/core/platform_caller.hpp"
#include "ragwortcove/core/stored_object.hpp"
#include "ragwortcove/core/version_loader.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace ragwortcove::core {

/// Controls the moves that rendezvous hashing assigns to this node.
///
/// A lease and its fencing number exclude other controllers, and every write is conditional. Two
/// controllers at the same time are harmless even so, since each entry limits the traffic that it
/// sends to the new version by the evidence that it has itself.
class move_controller {
public:
    move_controller(const node_settings& self, const configuration& in_force,
                    const membership& known_members, move_watch& watched, platform_caller& calls)
        : settings{self}, config{in_force}, members{known_members}, moves{watched}, platform{calls}
    {
    }

    void tick(step_context& context);
    /// Handles the result of a platform call; returns whether the call was this controller's.
    bool answered(call_id call, const platform_result& result, step_context& context);
    void order_answered(const core::order_answered& message, step_context& context);
    /// The member that controls a move.
    [[nodiscard]] node_name controller_of(const move_name& move, time_point now) const;

private:
    struct controlled_move {
        explicit controlled_move(const move_name& name);

        stored_object lease;
        stored_object status;
        fencing_number fencing;
        /// Zero when the lease is not held.
        unix_millis lease_until;
        std::uint64_t changes = 0;
        move_progress progress;
        version_loader loader;
    };

    void advance(const route_move& move, controlled_move& state, step_context& context);
    void update_stored(const route_move& move, controlled_move& state) const;
    void take_lease(const route_move& move, controlled_move& state, step_context& context);
    void lease_answered(controlled_move& state, write_outcome outcome, step_context& context);
    void status_answered(const move_name& name, controlled_move& state, write_outcome outcome,
                         step_context& context);
    void write_status(const route_move& move, controlled_move& state, const move_status_spec& next,
                      step_context& context);
    [[nodiscard]] move_status_spec current_status(const route_move& move,
                                                  const controlled_move& state) const;
    [[nodiscard]] std::string make_change_id(const char* what, const move_name& name,
                                             controlled_move& state) const;

    const node_settings& settings;
    const configuration& config;
    const membership& members;
    move_watch& moves;
    platform_caller& platform;
    std::map<move_name, controlled_move> controlled;
    std::uint64_t next_order = 1;
};

} // namespace ragwortcove::core
