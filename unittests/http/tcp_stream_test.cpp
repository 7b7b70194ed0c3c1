#include "loopback.hpp"
#include "ragwortcove/http/tcp_stream.hpp"

#include <doctest/doctest.h>

#include <memory>

namespace ragwortcove::http::test {

using namespace std::chrono_literals;

TEST_CASE("a peer that sends without end does not keep the loop from its other work")
{
    constexpr std::size_t max_calls = 400;
    const std::string block(256U << 10U, 'x');
    raw_server endless([&](raw_connection& connection) {
        while (connection.send(block)) {
        }
    });
    loop on;
    std::size_t calls = 0;
    std::size_t calls_before_timer = 0;
    std::unique_ptr<tcp_stream> stream;
    tcp_stream_handlers handlers;
    handlers.received = [&](std::string_view) {
        // Slower than the peer, so the socket is never empty.
        std::this_thread::sleep_for(2ms);
        if (++calls == 1)
            on.after(1ms, [&] { calls_before_timer = calls; });
        if (calls == max_calls)
            stream->reset();
    };
    handlers.ended = [](stream_end) {};
    stream = tcp_stream::connect(on, {"127.0.0.1", endless.port()}, std::move(handlers));
    REQUIRE(stream);
    REQUIRE(run_until(on, [&] { return calls_before_timer > 0; }));
    CHECK(calls_before_timer < max_calls / 10);
    stream->reset();
}

TEST_CASE("bytes that the network takes only in many parts are all sent")
{
    constexpr std::size_t all_bytes = 24U << 20U;
    std::atomic<std::size_t> received{0};
    raw_server slow([&](raw_connection& connection) {
        std::string part = connection.receive_some(256U << 10U);
        while (!part.empty()) {
            received += part.size();
            std::this_thread::sleep_for(2ms);
            part = connection.receive_some(256U << 10U);
        }
    });
    loop on;
    tcp_stream_handlers handlers;
    handlers.received = [](std::string_view) {};
    handlers.ended = [](stream_end) {};
    const auto stream = tcp_stream::connect(on, {"127.0.0.1", slow.port()}, std::move(handlers));
    REQUIRE(stream);
    stream->write(std::string(all_bytes, 'x'));
    static_cast<void>(run_until(
        on, [&] { return received == all_bytes; }, 5s));
    CHECK(received.load() == all_bytes);
    CHECK(stream->unsent_bytes() == 0);
}

} // namespace ragwortcove::http::test
