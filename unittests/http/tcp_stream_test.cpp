#include "loopback.hpp"
#include "ragwortcove/http/tcp_stream.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

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

// Guards against a connection that seems closed in order although it was reset: the kernel tells of
// a reset once, to whichever call comes first.
TEST_CASE("a stream that was reset ends as broken, whichever call met the reset")
{
    std::atomic<bool> is_reset{false};
    raw_server resetting([&](raw_connection& connection) {
        connection.send("some");
        std::this_thread::sleep_for(20ms);
        connection.reset();
        is_reset = true;
    });
    loop on;
    std::string received;
    std::optional<stream_end> end;
    tcp_stream_handlers handlers;
    handlers.received = [&](std::string_view bytes) { received += bytes; };
    handlers.ended = [&](stream_end how) { end = how; };
    const auto stream =
        tcp_stream::connect(on, {"127.0.0.1", resetting.port()}, std::move(handlers));
    REQUIRE(stream);
    REQUIRE(run_until(on, [&] { return received == "some"; }));
    // The loop stands still meanwhile, as it does while it handles something else.
    while (!is_reset)
        std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(20ms);
    SUBCASE("the loop's own read") {}
    SUBCASE("a write")
    {
        stream->write("x");
    }
    SUBCASE("two writes")
    {
        stream->write("x");
        stream->write("y");
    }
    SUBCASE("a question whether anything has come")
    {
        CHECK_FALSE(stream->is_quiet());
    }
    SUBCASE("a look at what has come")
    {
        CHECK(stream->peek(10).empty());
    }
    SUBCASE("a look, then a write")
    {
        CHECK(stream->peek(10).empty());
        stream->write("x");
    }
    REQUIRE(run_until(on, [&] { return end.has_value(); }));
    CHECK(end == stream_end::broken);
}

TEST_CASE("a stream whose other end has closed ends in order, though that end then refuses bytes")
{
    std::atomic<bool> is_open{false};
    std::atomic<bool> is_reset{false};
    raw_server closing([&](raw_connection& connection) {
        while (!is_open)
            std::this_thread::sleep_for(1ms);
        connection.send("all");
        connection.end_sending();
        std::this_thread::sleep_for(20ms);
        connection.reset();
        is_reset = true;
    });
    loop on;
    std::string received;
    std::optional<stream_end> end;
    tcp_stream_handlers handlers;
    handlers.opened = [&] {
        is_open = true;
        on.stop();
    };
    handlers.received = [&](std::string_view bytes) { received += bytes; };
    handlers.ended = [&](stream_end how) { end = how; };
    const auto stream = tcp_stream::connect(on, {"127.0.0.1", closing.port()}, std::move(handlers));
    REQUIRE(stream);
    on.run();
    REQUIRE(is_open);
    SUBCASE("the end is read first") {}
    SUBCASE("a write meets the refusal first")
    {
        while (!is_reset)
            std::this_thread::sleep_for(1ms);
        std::this_thread::sleep_for(20ms);
        stream->write("x");
        stream->write("y");
    }
    REQUIRE(run_until(on, [&] { return end.has_value(); }));
    CHECK(end == stream_end::orderly);
    CHECK(received == "all");
}

} // namespace ragwortcove::http::test
