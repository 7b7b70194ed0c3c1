/// \file
/// Datagrams to and from the other nodes, and the view of the fleet that they keep.
#pragma once

#include "ragwortcove/core/fleet_view.hpp"
#include "ragwortcove/core/node.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/gateway/gateway_settings.hpp"
#include "ragwortcove/http/loop.hpp"

#include <functional>
#include <span>
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
    /// The set of nodes that can own cells or quotas has changed, or whether it is settled.
    std::function<void()> owners_changed;
    /// A node's process has ended.
    std::function<void(core::incarnation)> ended;
};

/// Takes part in the fleet while its datagram address can be bound, which is tried again.
class fleet {
public:
    fleet(http::loop& event_loop, const gateway_settings& settings, core::incarnation run,
          fleet_handlers&& given);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    [[nodiscard]] bool listening() const { return this->datagram_socket >= 0; }
    /// The system's error number if the datagram address cannot be bound now, otherwise zero.
    [[nodiscard]] int listen_error() const { return this->bind_error; }
    /// Fills in the sender. Drops messages to unknown nodes.
    void send(const core::node_name& to, wire::PeerDatagram& message);
    void send_to_all(wire::PeerDatagram& message);
    /// As `core::fleet_view`.
    void become_live();
    void leave();
    void mark_unreachable(const core::node_name& name);
    void add_seeds(std::span<const core::endpoint> addresses);
    void confirm_isolation();
    [[nodiscard]] bool is_isolated() const { return this->view.is_isolated(); }

    [[nodiscard]] core::node_name owner_of(std::string_view key) const
    {
        return this->view.owner_of(key);
    }
    [[nodiscard]] core::node_name exclusive_owner_of(std::string_view key) const
    {
        return this->view.exclusive_owner_of(key);
    }
    [[nodiscard]] bool is_settled() const { return this->view.is_settled(this->now()); }
    [[nodiscard]] const std::vector<std::string>& present_nodes() const
    {
        return this->view.present_nodes();
    }
    /// Number of serving nodes, including this one.
    [[nodiscard]] std::size_t serving_node_count() const
    {
        return this->view.serving_nodes().size();
    }
    /// As `core::fleet_view`.
    [[nodiscard]] std::size_t known_node_count() const { return this->view.known_node_count(); }
    [[nodiscard]] std::size_t lost_node_count() const { return this->view.lost_node_count(); }
    /// Caller addresses of all live nodes.
    [[nodiscard]] std::vector<core::endpoint> entry_addresses() const;
    /// Peer address of a node; port zero when the node is unknown.
    [[nodiscard]] core::endpoint peer_address(const core::node_name& name) const;
    /// Failure domain of a node; empty when the node is unknown.
    [[nodiscard]] core::failure_domain_name failure_domain_of(const core::node_name& name) const;
    /// Name of another node chosen at random; empty when there is none.
    [[nodiscard]] core::node_name random_other_node();
    [[nodiscard]] core::incarnation run() const { return this->self.run; }

private:
    [[nodiscard]] core::time_point now() const { return core::time_point{this->event_loop.now()}; }
    void tick();
    void open_socket();
    void receive_datagram(std::string_view bytes);
    void receive_heartbeat(std::string_view bytes);
    [[nodiscard]] std::string encode(wire::PeerDatagram& message) const;
    /// Runs a step of the view, sends its heartbeats and tells of what has changed.
    template <class Step> void update_view(Step&& step);
    void apply_effects();

    http::loop& event_loop;
    core::node_settings self;
    fleet_handlers handlers;
    core::random_engine random;
    core::effect_list effects;
    core::fleet_view view;
    bool was_settled = false;
    int datagram_socket = -1;
    int bind_error = 0;
    http::timer_id timer = 0;
};

} // namespace ragwortcove::gateway
