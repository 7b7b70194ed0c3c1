/// \file
/// Keeps a node's configuration up to date: from the platform on the few readers, from peers on the
/// others.
#pragma once

#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/platform_caller.hpp"

#include <optional>

namespace ragwortcove::core {

/// Configuration feed of one node.
class configuration_feed {
public:
    configuration_feed(configuration& in_force, membership& members, platform_caller& platform)
        : config{in_force}, peers{members}, calls{platform}
    {
    }

    // Each tells whether the configuration in force changed.
    bool receive(const node_name& from, const feed_request& message, step_context& context);
    bool receive(const node_name& from, const feed_delta& message, step_context& context);
    bool receive(const feed_snapshot& message, step_context& context);
    bool listed(call_id call, const platform_result& result, step_context& context);
    bool watched(const watch_changed& message, step_context& context);

    /// A heartbeat told of a peer's revision.
    void heard(const heartbeat& message, step_context& context);
    void watch_ended(const core::watch_ended& message, step_context& context);
    /// This node was paused: asks peers, and the platform if it reads, for what it has missed.
    void returned(step_context& context);
    void tick(step_context& context);
    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] bool is_reader() const { return this->reading; }
    /// How long the configuration has been in force.
    [[nodiscard]] time_point changed_at() const { return this->applied_at; }

private:
    void applied(step_context& context);
    void choose_role(step_context& context);
    void list(step_context& context);

    configuration& config;
    membership& peers;
    platform_caller& calls;
    bool reading = false;
    bool watching = false;
    std::optional<call_id> listing;
    time_point list_at;
    std::uint32_t list_failures = 0;
    /// A question to a peer that has not been answered; asked again elsewhere after a while.
    time_point asked_until;
    time_point applied_at;
    time_point role_at;
};

} // namespace ragwortcove::core
