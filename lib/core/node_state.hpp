/// \file
/// State of a node and the connections between its modules. Internal to the core library.
#pragma once

#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/cell_owners.hpp"
#include "ragwortcove/core/cell_view.hpp"
#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/configuration_feed.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/entry.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/move_controller.hpp"
#include "ragwortcove/core/move_watch.hpp"
#include "ragwortcove/core/node.hpp"
#include "ragwortcove/core/placement_owner.hpp"
#include "ragwortcove/core/platform_caller.hpp"

namespace ragwortcove::core {

/// State of one node.
struct node::state {
    state(const node_settings& from, std::uint64_t seed);
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void handle(const event& happened, step_context& context);
    void handle_peer(const node_name& from, incarnation run, const peer_message& message,
                     step_context& context);
    void handle_heartbeat(const heartbeat& message, step_context& context);
    /// Applies changes of the membership and the configuration that occurred during the step.
    void apply_changes(step_context& context);
    /// Handles the messages sent to this node itself and fills in the addresses of the others.
    void deliver_messages(std::size_t first_effect, step_context& context);
    void tick(step_context& context);
    void send_heartbeat(const node_name& to, const endpoint& address, bool wants_answer,
                        step_context& context);
    void broadcast_halts(step_context& context);
    void report_evidence(step_context& context);
    void refresh_view(time_point now);
    /// Detects a pause of the node since its last step, and starts to catch up after one.
    void detect_pause(step_context& context);
    void drain(step_context& context);

    node_settings settings;
    random_engine random;
    configuration config;
    cell_map cells;
    membership members;
    cell_owners owners;
    platform_caller platform;
    configuration_feed feed;
    cell_view view;
    move_watch moves;
    move_controller controller;
    entry requests;
    placement_owner placement;

    bool config_changed = false;
    bool draining = false;
    bool reported_drained = false;
    time_point drained_from;
    time_point ticked_at;
    time_point stepped_at;
    time_point greet_seeds_at;
    time_point view_refreshed_at;
    /// When the evidence on moves is next sent to their controllers.
    time_point report_evidence_at;
    unix_millis wall_base;
    time_point wall_read_at;
};

} // namespace ragwortcove::core
