#include "loopback.hpp"
#include "ragwortcove/http/tcp_stream.hpp"

#include <doctest/doctest.h>

#include <memory>

namespace ragwortcove::http::test {

using namespace std::chrono_literals;

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
