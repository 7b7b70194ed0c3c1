/// \file
/// Drives moves from `pending` to `done` or `reverted`: one controller a move, by a lease.
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

/// Controller of the moves that rendezvous hashing gives to this node.
///
/// A lease and its fencing number keep other controllers out, and every write is conditional; still
/// two controllers for a moment do no harm, since entries bound what they send by what they see.
class move_controller {
public:
    move_controller(const node_settings& self, const configuration& in_force,
                    const membership& known_members, move_watch& watched, platform_caller& calls)
        : settings{self}, config{in_force}, members{known_members}, moves{watched}, platform{calls}
    {
    }

    void tick(step_context& context);
    /// Takes the answer of one of this controller's calls; tells whether the call was one.
    bool answered(call_id call, const platform_result& result, step_context& context);
    void order_answered(const core::order_answered& message, step_context& context);
    /// The member that drives a move.
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

    void drive(const route_move& move, controlled_move& on, step_context& context);
    void learn(const route_move& move, controlled_move& on) const;
    void take_lease(const route_move& move, controlled_move& on, step_context& context);
    void lease_answered(controlled_move& on, write_outcome outcome, step_context& context);
    void status_answered(const move_name& name, controlled_move& on, write_outcome outcome,
                         step_context& context);
    void write_status(const route_move& move, controlled_move& on, const move_status_spec& next,
                      step_context& context);
    [[nodiscard]] move_status_spec current_status(const route_move& move,
                                                  const controlled_move& on) const;
    [[nodiscard]] std::string change_id(const char* what, const move_name& name,
                                        controlled_move& on) const;

    const node_settings& settings;
    const configuration& config;
    const membership& members;
    move_watch& moves;
    platform_caller& platform;
    std::map<move_name, controlled_move> controlled;
    std::uint64_t next_order = 1;
};

} // namespace ragwortcove::core
