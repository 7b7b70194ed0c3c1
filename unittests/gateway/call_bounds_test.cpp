#include "call_fixture.hpp"

// What upstreams that send bytes without end cost a node.

namespace ragwortcove::gateway {

using namespace test;

namespace {

/// Callers that ask for one path each at the same time.
struct many_callers {
    std::vector<std::unique_ptr<raw_client>> all;

    many_callers(const gateway_fixture& node, int count)
    {
        for (int number = 0; number < count; ++number) {
            this->all.push_back(std::make_unique<raw_client>(
                node.callers->port(), [number](raw_connection& connection) {
                    connection.send("GET /long/stream/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                                    "X-Deadline-Ms: 5000\r\nAuthorization: Bearer k\r\n"
                                    "Connection: close\r\nX-Number: " +
                                    std::to_string(number) + "\r\n\r\n");
                    static_cast<void>(connection.receive_all());
                }));
        }
    }
    [[nodiscard]] bool are_done() const
    {
        return std::all_of(this->all.begin(), this->all.end(),
                           [](const auto& each) { return each->done(); });
    }
};

} // namespace

// Guards against a machine that runs out of memory: an event without end was bounded for each
// stream alone, and many together took 1 MiB each.
TEST_CASE("events without end in many streams take a bounded memory together")
{
    constexpr int streams = 80;
    constexpr std::size_t bytes_each = 1'000'000;
    constexpr std::size_t max_held_bytes = 32U << 20U;
    gateway_fixture node;
    std::atomic<int> sending{0};
    std::vector<std::unique_ptr<raw_server>> upstreams;
    for (int number = 0; number < streams; ++number) {
        upstreams.push_back(std::make_unique<raw_server>([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send(stream_head);
            connection.send(make_chunk(std::string(bytes_each, 'x')));
            ++sending;
            static_cast<void>(connection.receive_all());
        }));
        node.add_upstream("i-" + std::to_string(number), *upstreams.back());
    }

    std::size_t most_held = 0;
    {
        const many_callers callers(node, streams);
        REQUIRE(node.run([&] {
            most_held = std::max(most_held, node.calls->response_memory());
            return callers.are_done();
        }));
    }
    CHECK(sending > streams / 2);
    CHECK(most_held > max_held_bytes / 2);
    CHECK(most_held <= max_held_bytes + (2U << 20U));
    CHECK(contains(node.metrics.render({}), "bound=\"all_bodies\""));
    CHECK(node.calls->response_memory() == 0);
    CHECK(node.is_empty());
}

} // namespace ragwortcove::gateway
