/// \file
/// A core node on the loop: sockets, timers and logs become events, and effects are carried out.
#pragma once

#include "platform/object_store.hpp"
#include "ragwortcove/core/node.hpp"
#include "ragwortcove/daemon/caller_exchanges.hpp"
#include "ragwortcove/daemon/daemon_settings.hpp"
#include "ragwortcove/daemon/metrics.hpp"
#include "ragwortcove/daemon/operator_access.hpp"
#include "ragwortcove/daemon/process_support.hpp"
#include "ragwortcove/daemon/upstream_client.hpp"
#include "ragwortcove/daemon/upstream_reports.hpp"
#include "ragwortcove/http/client.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/server.hpp"
#include "ragwortcove/peer/transport.hpp"

#include <cstdint>
#include <deque>
#include <functional>

namespace ragwortcove::daemon {

class runtime {
public:
    /// Runs `ended` when a graceful shutdown is complete.
    runtime(http::loop& on, const daemon_settings& settings, std::function<void()> ended);
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;
    ~runtime();

    /// Whether every address of the settings takes connections.
    [[nodiscard]] bool listening() const { return this->unavailable_addresses().empty(); }
    [[nodiscard]] std::vector<unavailable_address> unavailable_addresses() const;
    /// Asks for a graceful shutdown; asking again changes nothing.
    void drain();
    /// Brings those settings into force that are safe to change while running.
    void reload(const daemon_settings& changed);
    [[nodiscard]] core::node_status status() const;

private:
    struct call_visitor;
    struct effect_visitor;

    [[nodiscard]] core::time_point now() const;
    void take_call(core::exchange_id id, http::request&& message);
    void take_closed(core::exchange_id id);
    void dispatch(const core::event& happened);
    void step(const core::event& happened);
    void arm_tick();
    void read_wall_clock();
    void forward(const core::forward_progress& wanted);
    void log_decision(const core::log_decision& decision);
    void reload_certificate();
    void await_last_bytes();
    [[nodiscard]] metric_gauges read_gauges() const;

    http::loop& on;
    daemon_settings settings;
    std::function<void()> ended;
    metrics figures;
    core::node node;
    http::server callers;
    http::client upstream_pool;
    caller_exchanges exchanges;
    upstream_client upstreams;
    upstream_reports reports;
    adapter::object_store platform;
    peer::transport peers;
    std::deque<core::event> waiting_events;
    bool stepping = false;
    bool drain_asked = false;
    http::timer_id tick_timer = 0;
    http::timer_id clock_timer = 0;
    core::time_point tick_due;
};

} // namespace ragwortcove::daemon
