/// \file
/// A gateway on loopback addresses, and how others read from it.
#pragma once

#include "../http/loopback.hpp"
#include "platform/store_client.hpp"
#include "platform/store_document.hpp"
#include "ragwortcove/gateway/gateway.hpp"

#include <atomic>
#include <string>

namespace ragwortcove::gateway::test {

inline core::endpoint free_endpoint()
{
    const http::test::raw_server probe([](http::test::raw_connection&) {});
    return {"127.0.0.1", probe.port()};
}

inline gateway_settings make_settings()
{
    gateway_settings settings;
    settings.name.value = "n";
    settings.failure_domain.value = "a";
    settings.callers = free_endpoint();
    settings.readiness = free_endpoint();
    settings.directory = free_endpoint();
    settings.peers = free_endpoint();
    settings.store = free_endpoint();
    settings.address_time_to_live = std::chrono::milliseconds(50);
    settings.stop_limit = std::chrono::seconds(3);
    return settings;
}

/// The response of a node to a request without a body.
inline std::string read_page(http::loop& event_loop, std::uint16_t port, const std::string& path)
{
    std::string response;
    std::atomic<bool> is_read{false};
    const http::test::raw_client reader(port, [&](http::test::raw_connection& connection) {
        connection.send("GET " + path + " HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
        response = connection.receive_all();
        is_read = true;
    });
    static_cast<void>(http::test::run_until(
        event_loop, [&] { return is_read.load() || reader.done(); }, std::chrono::seconds(5)));
    return response;
}

} // namespace ragwortcove::gateway::test
