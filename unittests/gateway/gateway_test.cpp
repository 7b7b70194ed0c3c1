#include "../http/loopback.hpp"
#include "ragwortcove/gateway/gateway.hpp"

#include <doctest/doctest.h>

#include <memory>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using http::test::raw_client;
using http::test::raw_connection;
using http::test::raw_server;
using http::test::run_until;

namespace {

core::endpoint free_endpoint()
{
    const raw_server probe([](raw_connection&) {});
    return {"127.0.0.1", probe.port()};
}

gateway_settings make_settings()
{
    gateway_settings settings;
    settings.name.value = "n";
    settings.failure_domain.value = "a";
    settings.callers = free_endpoint();
    settings.readiness = free_endpoint();
    settings.directory = free_endpoint();
    settings.peers = free_endpoint();
    settings.store = free_endpoint();
    settings.address_time_to_live = 50ms;
    settings.stop_limit = 3s;
    return settings;
}

} // namespace

TEST_CASE("a request whose last part comes after a planned stop began is refused, not lost")
{
    const gateway_settings settings = make_settings();
    std::string response;
    std::atomic<int> step{0};
    std::unique_ptr<raw_client> caller;
    {
        http::loop event_loop;
        bool drained = false;
        gateway node{event_loop, settings, core::incarnation{1}, [&] { drained = true; }};
        REQUIRE(node.listening());
        caller =
            std::make_unique<raw_client>(settings.callers.port, [&](raw_connection& connection) {
                connection.send("GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n");
                step = 1;
                std::this_thread::sleep_for(600ms);
                connection.send("\r\n");
                response = connection.receive_all();
            });
        REQUIRE(run_until(event_loop, [&] { return step == 1; }));
        static_cast<void>(run_until(
            event_loop, [] { return false; }, 50ms));
        node.drain();
        // The process ends with its loop.
        REQUIRE(run_until(event_loop, [&] { return drained; }));
    }
    caller.reset();
    CHECK(response.find("HTTP/1.1 503") == 0);
}

} // namespace ragwortcove::gateway
