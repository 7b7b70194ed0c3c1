/// \file
/// A node that serves HTTP traffic on the users' platform: everything wired together on one loop.
#pragma once

#include "platform/store_client.hpp"
#include "ragwortcove/core/feed_readers.hpp"
#include "ragwortcove/core/repeat_budget.hpp"
#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/upstream_directory.hpp"
#include "ragwortcove/gateway/call_handler.hpp"
#include "ragwortcove/gateway/document_feed.hpp"
#include "ragwortcove/gateway/fleet.hpp"
#include "ragwortcove/gateway/gateway_metrics.hpp"
#include "ragwortcove/gateway/gateway_settings.hpp"
#include "ragwortcove/gateway/placement_service.hpp"
#include "ragwortcove/http/inbound.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/outbound.hpp"

#include <functional>
#include <memory>

namespace ragwortcove::wire {
class DocumentDelta;
class DocumentDigest;
} // namespace ragwortcove::wire

namespace ragwortcove::gateway {

class gateway {
public:
    /// Runs `ended` when a graceful shutdown is complete.
    gateway(http::loop& on, const gateway_settings& given, core::incarnation run,
            std::function<void()> when_ended);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Whether every address of the settings takes connections.
    [[nodiscard]] bool listening() const;
    /// Asks for a graceful shutdown; asking again changes nothing.
    void drain();
    /// Brings those settings into force that are safe to change while running.
    void reload(const gateway_settings& changed);

private:
    [[nodiscard]] core::time_point now() const { return core::time_point{this->on.now()}; }
    [[nodiscard]] bool ready() const;
    void tick();
    void watch_drain();
    void documents_updated(const document_update& update);
    void rules_updated(const document_update& update);
    void upstreams_updated(const document_update& update);
    void directory_changed(const core::directory_changes& changes);
    void share_documents();
    [[nodiscard]] wire::PeerDatagram make_digest() const;
    void announce(const document_delta& delta);
    /// How long this node will not believe in the absence of an upstream.
    [[nodiscard]] core::duration doubt_left() const;
    void reader_heard(const core::node_name& reader, core::duration doubt);
    void take_digest(const core::node_name& from, const wire::DocumentDigest& digest);
    void take_delta(const core::node_name& from, const wire::DocumentDelta& delta);
    void peer_message(const core::node_name& from, const wire::PeerDatagram& message);
    void answer_directory(http::inbound_server& by, http::inbound_exchange exchange,
                          http::inbound_request&& request);
    void answer_readiness(http::inbound_server& by, http::inbound_exchange exchange,
                          http::inbound_request&& request);
    void answer_peer(http::inbound_server& by, http::inbound_exchange exchange,
                     http::inbound_request&& request);
    void refresh_readiness();
    [[nodiscard]] std::string render_metrics() const;

    http::loop& on;
    gateway_settings settings;
    std::function<void()> ended;
    gateway_metrics figures;
    core::feed_readers readers;
    core::random_engine random;
    http::outbound_client upstream_connections;
    http::outbound_client control_connections;
    adapter::store_client store;
    core::repeat_budget repeats;
    core::upstream_directory directory;
    std::shared_ptr<const core::rule_index> rules;
    std::unique_ptr<http::inbound_server> callers;
    std::unique_ptr<http::inbound_server> readiness;
    std::unique_ptr<http::inbound_server> addresses;
    std::unique_ptr<http::inbound_server> peers;
    std::unique_ptr<http::inbound_server> metrics_server;
    std::unique_ptr<fleet> nodes;
    std::unique_ptr<placement_service> placement;
    std::unique_ptr<call_handler> calls;
    std::unique_ptr<document_feed> feed;
    http::timer_id tick_timer = 0;
    core::time_point digest_at;
    core::time_point reader_digest_at;
    core::time_point reading_check_at;
    core::time_point drain_began;
    bool draining = false;
    bool was_ready = false;
};

/// Runs a gateway until a graceful shutdown is complete; returns the process's exit code.
[[nodiscard]] int run_gateway(const std::string& settings_path, const gateway_settings& settings);

} // namespace ragwortcove::gateway
