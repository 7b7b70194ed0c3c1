/// \file
/// A node that serves HTTP traffic on the users' platform; connects all parts on one event loop.
#pragma once

#include "platform/store_client.hpp"
#include "ragwortcove/core/domain_drain.hpp"
#include "ragwortcove/core/feed_readers.hpp"
#include "ragwortcove/core/repeat_budget.hpp"
#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/transfer_limit.hpp"
#include "ragwortcove/core/upstream_directory.hpp"
#include "ragwortcove/daemon/process_support.hpp"
#include "ragwortcove/gateway/call_handler.hpp"
#include "ragwortcove/gateway/document_feed.hpp"
#include "ragwortcove/gateway/fleet.hpp"
#include "ragwortcove/gateway/gateway_metrics.hpp"
#include "ragwortcove/gateway/gateway_settings.hpp"
#include "ragwortcove/gateway/node_registry.hpp"
#include "ragwortcove/gateway/part_guard.hpp"
#include "ragwortcove/gateway/placement_service.hpp"
#include "ragwortcove/gateway/rollout_service.hpp"
#include "ragwortcove/http/inbound.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/outbound.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace ragwortcove::wire {
class DocumentDelta;
class DocumentDigest;
} // namespace ragwortcove::wire

namespace ragwortcove::gateway {

class gateway {
public:
    /// Calls `on_drained` when a graceful shutdown is complete.
    gateway(http::loop& event_loop, const gateway_settings& given, core::incarnation run,
            std::function<void()> on_drained);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Whether all addresses of the settings are listened on. Those that are not are tried again.
    [[nodiscard]] bool listening() const { return this->unavailable_addresses().empty(); }
    [[nodiscard]] std::vector<daemon::unavailable_address> unavailable_addresses() const;
    /// Whether the address of metrics is listened on.
    [[nodiscard]] bool serves_metrics() const;
    /// Starts a graceful shutdown; further calls have no effect.
    void drain();
    /// Applies those changed settings that are safe to change while running.
    void reload(const gateway_settings& changed);

private:
    [[nodiscard]] core::time_point now() const { return core::time_point{this->event_loop.now()}; }
    [[nodiscard]] bool ready() const;
    void on_accept_failed(std::string_view key, int error);
    /// Logs the addresses that cannot be listened on, and those that can be again.
    void report_addresses();
    void tick();
    /// The part of a tick that needs to know which other nodes there are.
    void tick_shared_work();
    void check_drain();
    void apply_documents(const document_update& update);
    void apply_rules(const document_update& update);
    void apply_upstreams(const document_update& update);
    void apply_rollouts();
    void apply_parts(const document_update& update);
    void apply_domain_drains();
    /// Hands the upstreams on that requests may be placed on, and those that end what they have.
    void offer_upstreams();
    [[nodiscard]] part_guard_dependencies make_part_dependencies();
    /// Stores what this node, as their owner, knows of prompt parts that are held back.
    void store_parts();
    void store_part(const core::part_record& record, bool replaces);
    void remove_stored_part(core::part_id part);
    void on_part_written(core::part_id part, bool is_written, const adapter::store_error& error);
    [[nodiscard]] rollout_dependencies make_rollout_dependencies();
    void store_rollout_state(const core::rollout_order& order, core::rollout_state state,
                             state_write_handler&& done);
    void log_warmups(const std::set<core::upstream_name>& names) const;
    void on_directory_changed(const core::directory_changes& changes);
    /// Handles that an upstream has said in a response that it leaves; `from` is the node that
    /// received the response.
    void on_upstream_leaves(const core::upstream_process& process, const core::node_name& from);
    void exchange_documents();
    /// Tells the nodes that this one serves to read from it what they lack.
    void offer_documents();
    void offer_documents_to(std::span<const core::node_name> receivers);
    /// Decides whether this node reads the store, and reads it once if an audit is due.
    void update_reading(core::time_point at);
    [[nodiscard]] wire::PeerDatagram make_digest() const;
    void announce(const document_delta& delta);
    /// Keeps upstreams for a time whose announcements are missing: they may have lapsed, or be
    /// lost.
    void delay_removals();
    /// Time left of the removal grace period, in which an upstream that is absent from the store's
    /// list is not removed.
    [[nodiscard]] core::duration removal_grace_left() const;
    void on_reader_message(const core::node_name& reader, core::duration removal_grace);
    void on_digest(const core::node_name& from, const wire::DocumentDigest& digest);
    void on_peer_rules(std::uint64_t version, core::store_position position,
                       const http::socket_address& peer);
    void on_delta(const core::node_name& from, const wire::DocumentDelta& delta);
    void on_peer_message(const core::node_name& from, const wire::PeerDatagram& message);
    void serve_directory(http::inbound_server& server, http::inbound_exchange exchange,
                         http::inbound_request&& request);
    void serve_readiness(http::inbound_server& server, http::inbound_exchange exchange,
                         http::inbound_request&& request);
    void serve_peer(http::inbound_server& server, http::inbound_exchange exchange,
                    http::inbound_request&& request);
    void refresh_readiness();
    /// What this node needs before it is ready, and does not have yet.
    [[nodiscard]] std::string awaited() const;
    /// How far lists have come whose documents this node lacks, one after the other.
    [[nodiscard]] std::string open_lists() const;
    /// Logs what this node waits for while it has not been ready.
    void report_delayed_start();
    [[nodiscard]] std::string render_metrics() const;

    http::loop& event_loop;
    gateway_settings settings;
    std::function<void()> drained_handler;
    gateway_metrics metrics;
    core::feed_readers readers;
    core::random_engine random;
    http::outbound_client upstream_connections;
    http::outbound_client control_connections;
    adapter::store_client store;
    core::repeat_budget repeats;
    core::upstream_directory directory;
    core::domain_drain drains;
    std::shared_ptr<const core::rule_index> rules;
    std::unique_ptr<http::inbound_server> caller_server;
    std::unique_ptr<http::inbound_server> readiness_server;
    std::unique_ptr<http::inbound_server> address_server;
    std::unique_ptr<http::inbound_server> peer_server;
    std::unique_ptr<http::inbound_server> metrics_server;
    std::unique_ptr<fleet> nodes;
    std::unique_ptr<node_registry> registry;
    std::unique_ptr<placement_service> placement;
    std::unique_ptr<rollout_service> rollouts;
    std::unique_ptr<part_guard> parts;
    std::unique_ptr<call_handler> calls;
    std::unique_ptr<document_feed> feed;
    core::transfer_limit peer_transfers;
    http::timer_id tick_timer = 0;
    core::time_point next_digest_at;
    core::time_point next_reader_digest_at;
    core::time_point next_part_storing_at;
    core::time_point started_at;
    core::time_point next_delay_report_at;
    /// Addresses that cannot be listened on, by their key, and when that was logged last.
    std::map<std::string_view, core::time_point> reported_addresses;
    core::time_point next_reading_check_at;
    core::time_point drain_started_at;
    bool draining = false;
    bool was_ready = false;
    bool has_been_ready = false;
};

/// Number of callers' connections that a gateway holds.
[[nodiscard]] std::size_t max_caller_connections();

/// Runs a gateway until a graceful shutdown is complete; returns the process's exit code.
[[nodiscard]] int run_gateway(const std::string& settings_path, const gateway_settings& settings);

} // namespace ragwortcove::gateway
