/// \file
/// The other nodes, as this one knows them, and datagrams to and from them.
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
    /// The nodes that can own something have changed.
    std::function<void()> owners_changed;
    /// A node's process has ended.
    std::function<void(core::incarnation)> ended;
};

/// Membership by heartbeats, and who owns what by rendezvous hashing.
class fleet {
public:
    fleet(http::loop& on, const gateway_settings& settings, core::incarnation run,
          fleet_handlers&& given);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    [[nodiscard]] bool listening() const { return this->datagrams >= 0; }
    /// Fills in who sends; messages to nodes that are not known are dropped.
    void send(const core::node_name& to, wire::PeerDatagram& message);
    void send_to_all(wire::PeerDatagram& message);
    /// This node can serve: others may choose it.
    void become_live();
    /// This node stops: others do not choose it any more.
    void leave();
    /// A node did not answer: it owns nothing for a while, as far as this node is concerned.
    void mark_unreachable(const core::node_name& name);

    /// Owner of a key among the nodes that can own something; this node when it knows no other.
    [[nodiscard]] core::node_name owner_of(std::string_view key) const;
    /// The same for what two nodes must not own at once: only a node's known end, or its word that
    /// it leaves, makes another one the owner.
    [[nodiscard]] core::node_name settled_owner_of(std::string_view key) const;
    /// Whether another node that serves has been heard of, or there was time enough to.
    [[nodiscard]] bool has_met_others() const;
    /// Names of the nodes that serve, in order.
    [[nodiscard]] const std::vector<std::string>& serving_nodes() const
    {
        return this->serving_names;
    }
    /// Addresses for callers of all nodes that serve.
    [[nodiscard]] std::vector<core::endpoint> entries() const;
    /// Address of a node for other nodes; port zero when it is not known.
    [[nodiscard]] core::endpoint peer_address(const core::node_name& name) const;
    /// One other node at random; empty when there is none.
    [[nodiscard]] core::node_name any_other();
    /// Nodes that serve, this one among them.
    [[nodiscard]] std::size_t serving() const;
    /// Nodes that served until lately but cannot be reached now.
    [[nodiscard]] std::size_t lost() const;
    [[nodiscard]] core::incarnation run() const { return this->self.run; }

private:
    [[nodiscard]] core::time_point now() const { return core::time_point{this->on.now()}; }
    void tick();
    void take(std::string_view bytes);
    void take_heartbeat(std::string_view bytes);
    void introduce_all(const core::endpoint& to);
    void reconcile(const core::heartbeat& beat);
    [[nodiscard]] std::string encode(wire::PeerDatagram& message) const;
    void send_heartbeat(const core::node_name& to, const core::endpoint& address,
                        bool wants_answer);
    void greet_seeds();
    void settle();
    void rebuild_owners();
    void tell_all();

    http::loop& on;
    core::node_settings self;
    fleet_handlers handlers;
    core::random_engine random;
    core::effect_list effects;
    core::membership members;
    int datagrams = -1;
    http::timer_id timer = 0;
    core::time_point greet_at;
    core::time_point reconcile_at;
    std::vector<std::string> owner_names;
    /// Names of all nodes that serve.
    std::vector<std::string> serving_names;
    core::time_point began;
    std::map<core::node_name, core::time_point> unreachable;
};

} // namespace ragwortcove::gateway
