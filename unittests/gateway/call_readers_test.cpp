#include "call_fixture.hpp"

#include <doctest/doctest.h>

// What callers and upstreams that stop reading cost a node.

namespace ragwortcove::gateway {

using namespace test;

/// Bytes of responses that may wait for all callers of a node.
static constexpr std::size_t max_unsent_responses = http::inbound_limits{}.max_all_unsent_bytes;
/// Memory of the bodies of all requests.
static constexpr std::size_t max_request_bodies = http::inbound_limits{}.max_all_request_bytes;
/// What comes within a turn of the loop, before anything is counted.
static constexpr std::size_t turn_bytes = 8U << 20U;

// Guards against a machine that runs out of memory: between two sweeps of the server, upstreams on
// a fast link sent more for callers that do not read than the node may hold for all.
TEST_CASE("callers that stop reading take a bounded memory together")
{
    constexpr int silent_callers = 24;
    constexpr std::size_t event_bytes = 256U << 10U;
    constexpr int events = 80;
    gateway_fixture node;
    std::atomic<bool> is_over{false};
    std::vector<std::unique_ptr<raw_server>> upstreams;
    for (int number = 0; number < silent_callers; ++number) {
        upstreams.push_back(std::make_unique<raw_server>([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            bool is_open = connection.send(stream_head);
            for (int event = 1; event <= events && is_open && !is_over; ++event)
                is_open = connection.send(make_chunk("id: " + std::to_string(event) + "\ndata: " +
                                                     std::string(event_bytes, 'x') + "\n\n"));
        }));
        node.add_upstream("i-" + std::to_string(number), *upstreams.back());
        node.announced.back().slots = 1;
    }
    node.rollouts->set_upstreams(std::vector(node.announced));
    std::size_t most_unsent = 0;
    {
        std::vector<std::unique_ptr<raw_client>> callers;
        callers.reserve(silent_callers);
        for (int number = 0; number < silent_callers; ++number)
            callers.push_back(std::make_unique<raw_client>(
                node.callers->port(), [&is_over](raw_connection& connection) {
                    connection.send("GET /long/stream/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                                    "X-Deadline-Ms: 6000\r\nAuthorization: Bearer k\r\n"
                                    "Connection: close\r\n\r\n");
                    while (!is_over)
                        std::this_thread::sleep_for(5ms);
                }));
        bool has_begun = false;
        CHECK(node.run([&] {
            const std::size_t unsent = node.callers->unsent_bytes();
            most_unsent = std::max(most_unsent, unsent);
            has_begun = has_begun || node.calls->open_calls() > 0;
            return has_begun && node.calls->open_calls() == 0 && unsent == 0;
        }));
        is_over = true;
    }
    CHECK(most_unsent > max_unsent_responses / 2);
    CHECK(most_unsent <= max_unsent_responses + turn_bytes);
    CHECK(node.is_empty());
}

// Guards against a response that is lost for a caller which reads, since others do not: what an
// upstream sends is taken at once, so no upstream ends it as unread.
TEST_CASE("a caller that reads gets its response beside one that does not")
{
    constexpr std::size_t body_bytes = 6U << 20U;
    gateway_fixture node;
    const std::string response =
        make_response(200, std::string(body_bytes, 'x'), "Connection: close\r\n");
    scripted_upstream upstream({response, response});
    node.add_upstream("i-1", upstream.server);
    std::atomic<bool> is_over{false};
    const raw_client silent(node.callers->port(), [&](raw_connection& connection) {
        connection.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "Authorization: Bearer k\r\nConnection: close\r\n\r\n");
        while (!is_over)
            std::this_thread::sleep_for(5ms);
    });
    REQUIRE(node.run([&] { return upstream.request_count == 1; }));
    CHECK(node.send_request("/once/").size() > body_bytes);
    is_over = true;
    REQUIRE(node.run([&] { return silent.done(); }));
}

// Guards against upstreams that stop reading: each leaves a body with the node until its deadline.
TEST_CASE("upstreams that stop reading take a bounded memory together")
{
    constexpr int callers_count = 24;
    constexpr std::size_t body_bytes = 4U << 20U;
    gateway_fixture node;
    std::atomic<bool> is_over{false};
    std::vector<std::unique_ptr<raw_server>> upstreams;
    for (int number = 0; number < callers_count; ++number) {
        upstreams.push_back(std::make_unique<raw_server>([&](raw_connection&) {
            while (!is_over)
                std::this_thread::sleep_for(5ms);
        }));
        node.add_upstream("i-" + std::to_string(number), *upstreams.back());
    }
    std::size_t most_unsent = 0;
    std::atomic<int> refused{0};
    std::atomic<int> answered{0};
    {
        std::vector<std::unique_ptr<raw_client>> callers;
        callers.reserve(callers_count);
        for (int number = 0; number < callers_count; ++number)
            callers.push_back(
                std::make_unique<raw_client>(node.callers->port(), [&](raw_connection& connection) {
                    connection.send("POST /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                                    "X-Deadline-Ms: 2000\r\nAuthorization: Bearer k\r\n"
                                    "Connection: close\r\nContent-Length: " +
                                    std::to_string(body_bytes) + "\r\n\r\n" +
                                    std::string(body_bytes, 'x'));
                    const std::string response = connection.receive_all();
                    refused += contains(response, "HTTP/1.1 503") ? 1 : 0;
                    ++answered;
                }));
        CHECK(node.run([&] {
            most_unsent = std::max(most_unsent, node.upstreams.unsent_bytes());
            return answered == callers_count;
        }));
        is_over = true;
    }
    CHECK(refused > 0);
    CHECK(most_unsent > body_bytes);
    CHECK(most_unsent <= max_request_bodies);
    CHECK(node.upstreams.unsent_bytes() == 0);
    CHECK(node.is_empty());
}

} // namespace ragwortcove::gateway
