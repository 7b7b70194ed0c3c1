/// \file
/// Membership of the nodes as this node sees it, and datagrams to and from the other nodes.
#pragma once

#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/node.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/gateway/gateway_settings.hpp"
#include "ragwortcove/http/loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::wire {
class PeerDatagram;
} // namespace ragwortcove::wire

namespace ragwortcove::gateway {

struct fleet_handlers {
    /// A message from another node.
    std::function<void(const core::node_name&, const wire::PeerDatagram&)> received;
    /// The set of nodes that can own cells or quotas has changed.
    std::function<void()> owners_changed;
    /// A node's process has ended.
    std::function<void(core::incarnation)> ended;
};

/// Tracks membership by heartbeats and chooses owners by rendezvous hashing.
class fleet {
public:
    fleet(http::loop& event_loop, const gateway_settings& settings, core::incarnation run,
          fleet_handlers&& given);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    [[nodiscard]] bool listening() const { return this->datagram_socket >= 0; }
    /// Fills in the sender. Drops messages to unknown nodes.
    void send(const core::node_name& to, wire::PeerDatagram& message);
    void send_to_all(wire::PeerDatagram& message);
    /// Announces that this node serves, so that other nodes may choose it as an owner.
    void become_live();
    /// Announces that this node is leaving, so that other nodes no longer choose it.
    void leave();
    /// Excludes a node that did not respond from the owners that this node chooses, for a short
    /// time.
    void mark_unreachable(const core::node_name& name);

    /// Owner of a key among the nodes that can own one; this node when it knows no other node.
    [[nodiscard]] core::node_name owner_of(std::string_view key) const;
    /// Owner of a key that two nodes must not own at once. An owner is replaced only when its
    /// process is known to have ended or it has announced that it is leaving, not when it is
    /// unreachable.
    [[nodiscard]] core::node_name exclusive_owner_of(std::string_view key) const;
    /// Whether another serving node has been found, or the time-out for finding one has passed.
    [[nodiscard]] bool is_discovery_finished() const;
    /// Names of the serving nodes, sorted.
    [[nodiscard]] const std::vector<std::string>& serving_nodes() const
    {
        return this->serving_names;
    }
    /// Caller addresses of all live nodes.
    [[nodiscard]] std::vector<core::endpoint> entry_addresses() const;
    /// Peer address of a node; port zero when the node is unknown.
    [[nodiscard]] core::endpoint peer_address(const core::node_name& name) const;
    /// Name of another node chosen at random; empty when there is none.
    [[nodiscard]] core::node_name random_other_node();
    /// Number of serving nodes, including this one.
    [[nodiscard]] std::size_t serving_node_count() const;
    /// Number of nodes that are considered dead but may still be running, unreachable to this node.
    [[nodiscard]] std::size_t lost_node_count() const;
    [[nodiscard]] core::incarnation run() const { return this->self.run; }

private:
    [[nodiscard]] core::time_point now() const { return core::time_point{this->event_loop.now()}; }
    void tick();
    void receive_datagram(std::string_view bytes);
    void receive_heartbeat(std::string_view bytes);
    void send_all_claims(const core::endpoint& to);
    void reconcile_views(const core::heartbeat& heartbeat);
    [[nodiscard]] std::string encode(wire::PeerDatagram& message) const;
    void send_heartbeat(const core::node_name& to, const core::endpoint& address,
                        bool wants_response);
    void greet_seeds();
    void apply_membership_changes();
    void rebuild_owners();
    void broadcast_heartbeat();

    http::loop& event_loop;
    core::node_settings self;
    fleet_handlers handlers;
    core::random_engine random;
    core::effect_list effects;
    core::membership members;
    int datagram_socket = -1;
    http::timer_id timer = 0;
    core::time_point next_greeting_at;
    core::time_point next_reconcile_at;
    std::vector<std::string> owner_names;
    /// Sorted names of all serving nodes.
    std::vector<std::string> serving_names;
    core::time_point started_at;
    std::map<core::node_name, core::time_point> unreachable_until;
};

} // namespace ragwortcove::gateway
