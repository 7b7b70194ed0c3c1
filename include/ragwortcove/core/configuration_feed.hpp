/// \file
/// Keeps a node's configuration up to date: a few nodes, the readers, read it from the platform;
/// the others receive it from peers.
#pragma once

#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/platform_caller.hpp"

#include <optional>
#include <set>

namespace ragwortcove::core {

/// Receives, requests and passes on configuration changes for one node.
class configuration_feed {
public:
    configuration_feed(configuration& in_force, membership& members, platform_caller& platform)
        : config{in_force}, peers{members}, calls{platform}
    {
    }

    // Each of these returns whether the configuration in force changed.
    bool receive(const node_name& from, const feed_request& message, step_context& context);
    bool receive(const node_name& from, const feed_delta& message, step_context& context);
    bool receive(const feed_snapshot& message, step_context& context);
    bool on_listed(call_id call, const platform_result& result, step_context& context);
    bool on_watch_changed(const watch_changed& message, step_context& context);

    /// Requests changes from the heartbeat's sender if its revision is newer than this node's.
    void on_heartbeat(const heartbeat& message, step_context& context);
    void watch_ended(const core::watch_ended& message, step_context& context);
    /// Called after a pause of this node's process: requests missed changes from peers, and from
    /// the platform if this node is a reader.
    void on_resumed(step_context& context);
    void tick(step_context& context);
    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] bool is_reader() const { return this->reading; }
    /// When the configuration in force was last changed.
    [[nodiscard]] time_point changed_at() const { return this->applied_at; }

private:
    void announce_applied(step_context& context);
    void choose_role(step_context& context);
    void start_list(step_context& context);
    void on_list_failed(step_context& context);
    /// Asks for another list when the one that is open is late.
    void check_list(step_context& context);

    configuration& config;
    membership& peers;
    platform_caller& calls;
    bool reading = false;
    bool watching = false;
    std::optional<call_id> list_call;
    time_point list_late_at;
    /// Earlier lists without a response, for which others have been asked for.
    std::set<call_id> late_lists;
    time_point next_list_at;
    std::uint32_t list_failures = 0;
    /// Until when a request to a peer is awaited; after that another peer may be asked.
    time_point request_deadline;
    time_point applied_at;
    time_point next_role_check_at;
};

} // namespace ragwortcove::core
