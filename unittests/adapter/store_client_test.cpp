#include "../http/loopback.hpp"
#include "platform/store_client.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::adapter {

using namespace std::chrono_literals;
using http::test::raw_connection;
using http::test::raw_server;
using http::test::run_until;

TEST_CASE("a store or a node whose response has no end does not fill the memory")
{
    constexpr std::size_t max_taken = 64U << 20U;
    constexpr std::size_t enough_bytes = 512U << 20U;
    const std::string block(256U << 10U, 'x');
    std::atomic<std::size_t> sent{0};
    raw_server endless([&](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        connection.send("HTTP/1.1 200 OK\r\n\r\n");
        while (sent < enough_bytes && connection.send(block))
            sent += block.size();
    });
    http::loop event_loop;
    http::outbound_client connections{event_loop, 3s};
    store_client client{event_loop, connections, {{"127.0.0.1", endless.port()}, 10s}};
    bool ended = false;
    store_failure failure = store_failure::rejected;
    client.list(document_kind::rules, [&](const document_list* list, const store_error& error) {
        CHECK(list == nullptr);
        failure = error.failure;
        ended = true;
    });
    REQUIRE(run_until(event_loop, [&] { return ended; }));
    CHECK(failure == store_failure::unreachable);
    CHECK(sent.load() < max_taken);
}

} // namespace ragwortcove::adapter
