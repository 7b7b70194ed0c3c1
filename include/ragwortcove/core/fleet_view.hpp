/// \file
/// This node's view of the fleet: the members, the heartbeats that keep them known, and the owners
/// that follow.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/node.hpp"
#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::core {

/// Tracks membership by heartbeats and chooses owners by rendezvous hashing. Heartbeats to send and
/// decisions to log are added to the effects of each step.
class fleet_view {
public:
    fleet_view(const node_settings& settings, time_point now);

    /// Sends the heartbeats that are due; to be called every `tick_interval`.
    void tick(step_context& context);
    void receive(const heartbeat& message, step_context& context);
    /// Announces that this node serves, so that other nodes may choose it as an owner.
    void become_live(step_context& context);
    /// Announces that this node is leaving, so that other nodes no longer choose it.
    void leave(step_context& context);
    /// Whether this node has heard of no other node although it has seeds.
    [[nodiscard]] bool is_isolated() const { return this->known_nodes == 0; }
    /// Adds addresses of nodes that may be running, and contacts them with the next tick.
    void add_seeds(std::span<const endpoint> addresses);
    /// Takes note that no other node is running, as far as one can know.
    void confirm_isolation() { this->isolation_confirmed = true; }
    /// Excludes a node that did not respond from the owners that this node chooses, for a short
    /// time.
    void mark_unreachable(const node_name& name, time_point now);
    /// Chooses the owners anew; returns whether owners or the settled state have changed.
    [[nodiscard]] bool refresh_owners(time_point now);
    /// Incarnations that have ended, as of the last refresh, since the last call.
    [[nodiscard]] std::vector<incarnation> take_ended();

    /// Owner of a key among the nodes that can own one; this node when it knows no other node.
    [[nodiscard]] node_name owner_of(std::string_view key) const;
    /// Owner of a key that two nodes must not own at once; to be relied on only while the view is
    /// settled. An owner is replaced only when its process is known to have ended or it has
    /// announced that it is leaving, not when it is unreachable.
    [[nodiscard]] node_name exclusive_owner_of(std::string_view key) const;
    /// Whether this node knows the serving nodes as the rest of the fleet does. Not so for a moment
    /// after its start, or after a pause of its process.
    [[nodiscard]] bool is_settled(time_point now) const;

    /// Names of the serving nodes, sorted; this node alone if it knows none.
    [[nodiscard]] const std::vector<std::string>& serving_nodes() const { return this->serving; }
    /// Names of the nodes that serve or are about to, sorted.
    [[nodiscard]] const std::vector<std::string>& present_nodes() const { return this->present; }
    /// Number of nodes that share what the whole fleet may spend: all that may be serving, whether
    /// this node reaches them or not. Zero while it has heard of no other node although it has
    /// seeds.
    [[nodiscard]] std::size_t known_node_count() const { return this->known_nodes; }
    /// Number of nodes that are considered dead but may still be running, unreachable to this node.
    [[nodiscard]] std::size_t lost_node_count() const;
    [[nodiscard]] const membership& nodes() const { return this->members; }

    /// Interval between two calls of `tick`.
    static constexpr duration tick_interval = std::chrono::milliseconds{100};

private:
    void send_heartbeat(const node_name& to, const endpoint& address, bool wants_response,
                        step_context& context);
    void greet_seeds(step_context& context);
    void gossip(step_context& context);
    void send_all_claims(const endpoint& to, step_context& context);
    void reconcile_views(const heartbeat& message, step_context& context);
    void broadcast_heartbeat(step_context& context);
    void update_settled(time_point now);
    [[nodiscard]] membership_changes collect_changes();
    [[nodiscard]] std::size_t count_known(std::span<const member_claim> claims) const;
    /// Returns whether they differ from those before.
    bool choose_owners(time_point now);

    node_settings self;
    membership members;
    time_point next_greeting_at;
    time_point next_reconcile_at;
    time_point last_tick_at;
    /// When this node started, or found out that it had been paused.
    time_point settling_since;
    bool settled = false;
    bool settled_before = false;
    bool must_choose_owners = true;
    std::vector<incarnation> ended;
    std::vector<std::string> owners;
    std::vector<std::string> serving;
    std::vector<std::string> present;
    std::size_t known_nodes = 0;
    bool isolation_confirmed = false;
    std::map<node_name, time_point> unreachable_until;
};

} // namespace ragwortcove::core
