#include "call_fixture.hpp"
#include "gateway.pb.h"

#include <doctest/doctest.h>

namespace ragwortcove::gateway::test {

TEST_CASE("during a roll-out a request goes to the version that is chosen for it")
{
    gateway_fixture node;
    scripted_upstream old_version({make_response(200, "old"), make_response(200, "old")});
    node.add_upstream("i-1", old_version.server);
    scripted_upstream new_version({make_response(200, "new"), make_response(200, "new")});
    node.begin_rollout(0);
    node.add_upstream("i-2", new_version.server, "v2");

    SUBCASE("to none of the new version's upstreams without a share")
    {
        CHECK(contains(node.send_request("/again/"), "old"));
        CHECK(contains(node.send_request("/again/"), "old"));
        CHECK(new_version.request_count == 0);
    }
    SUBCASE("to them alone once all requests are theirs")
    {
        node.begin_rollout(1000);
        CHECK(contains(node.send_request("/again/"), "new"));
        CHECK(contains(node.send_request("/once/"), "new"));
        CHECK(old_version.request_count == 0);
        CHECK(node.count_of(&core::version_counts::sent) == 2);
        CHECK(node.count_of(&core::version_counts::passed) == 2);
    }
    SUBCASE("to the others while the new version has no upstream")
    {
        node.announced.pop_back();
        node.rollouts->set_upstreams(std::vector(node.announced));
        node.begin_rollout(1000);
        CHECK(contains(node.send_request("/again/"), "old"));
    }
    SUBCASE("to the others soon when no canary is free")
    {
        node.begin_rollout(999);
        const std::vector<placement_number> held = node.occupy_canaries();
        CHECK_FALSE(held.empty());
        node.begin_rollout(999);
        const auto started_at = node.event_loop.now();
        CHECK(contains(node.send_request("/again/"), "old"));
        CHECK(contains(node.send_request("/once/"), "old"));
        // Each waits for an eighth of the latency goal of 200 ms, not for the time that it has.
        CHECK(node.event_loop.now() - started_at <= 1200ms);
        CHECK(new_version.request_count == 0);
    }
}

TEST_CASE("no request reaches a version after its halt, although an upstream was granted for it")
{
    gateway_fixture node;
    scripted_upstream old_version({make_response(200, "old")});
    node.add_upstream("i-1", old_version.server);
    scripted_upstream new_version({make_response(200, "new")});
    node.begin_rollout(1000);
    node.add_upstream("i-2", new_version.server, "v2");
    const std::vector<placement_number> held = node.occupy_canaries();
    REQUIRE_FALSE(held.empty());
    node.begin_rollout(1000);
    bool has_halted = false;
    std::string response;
    raw_client caller(node.callers->port(), [&](raw_connection& connection) {
        connection.send("GET /again/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "X-Deadline-Ms: 1500\r\nConnection: close\r\n"
                        "Authorization: Bearer k\r\n\r\n");
        response = connection.receive_all();
    });
    const auto waits = [&] {
        node.placement->tick();
        return node.placement->owned_placements().waiting() == 1;
    };
    REQUIRE(run_until(node.event_loop, waits));
    SUBCASE("since the split refuses the grant")
    {
        // The placement does not know of the halt yet, as that of another node may not.
        node.rollouts->split().on_directive({{"t"}, {"v2"}, 0, true},
                                            core::time_point{node.event_loop.now()});
        node.placement->withdraw(held[0]);
        has_halted = true;
    }
    SUBCASE("since the canaries vanish while it waits for one")
    {
        wire::PeerDatagram message;
        message.mutable_rollout_directive()->set_target("t");
        message.mutable_rollout_directive()->set_version("v2");
        message.mutable_rollout_directive()->set_halted(true);
        node.rollouts->receive_message({"any"}, message);
        has_halted = true;
    }
    REQUIRE(has_halted);
    REQUIRE(run_until(node.event_loop, [&] {
        node.placement->tick();
        return caller.done();
    }));
    CHECK(contains(response, "old"));
    CHECK(new_version.request_count == 0);
    CHECK(node.count_of(&core::version_counts::sent) == 0);
    CHECK(node.calls->open_calls() == 0);
}

TEST_CASE("an attempt counts for or against its version only where it says something about it")
{
    gateway_fixture node;
    node.begin_rollout(1000);
    const auto check_counts = [&](std::uint32_t sent, std::uint32_t passed, std::uint32_t failed) {
        CHECK(node.count_of(&core::version_counts::sent) == sent);
        CHECK(node.count_of(&core::version_counts::passed) == passed);
        CHECK(node.count_of(&core::version_counts::failed) == failed);
    };
    SUBCASE("an error response and a lost connection count against it")
    {
        scripted_upstream failing({make_response(500, "why"), ""});
        node.add_upstream("i-2", failing.server, "v2");
        node.send_request("/once/");
        node.send_request("/once/");
        check_counts(2, 0, 2);
    }
    SUBCASE("a refusal by a full upstream does not")
    {
        scripted_upstream full({"HTTP/1.1 503 Full\r\nX-Attempt-Id: id7\r\nX-Not-Executed: "
                                "1\r\nContent-Length: 0\r\n\r\n"});
        node.add_upstream("i-2", full.server, "v2");
        node.send_request("/once/");
        check_counts(1, 0, 0);
    }
    SUBCASE("a caller that leaves does not")
    {
        raw_server silent(
            [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
        node.add_upstream("i-2", silent, "v2");
        raw_client caller(node.callers->port(), [&](raw_connection& connection) {
            connection.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                            "Authorization: Bearer k\r\n\r\n");
            std::this_thread::sleep_for(100ms);
        });
        CHECK(run_until(node.event_loop, [&] {
            node.placement->tick();
            return caller.done() && node.calls->open_calls() == 0;
        }));
        check_counts(1, 0, 0);
    }
    SUBCASE("silence until the deadline does")
    {
        raw_server silent(
            [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
        node.add_upstream("i-2", silent, "v2");
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 504"));
        check_counts(1, 0, 1);
    }
    CHECK(node.calls->open_calls() == 0);
}

TEST_CASE("requests in flight on the old version are counted until each has ended")
{
    gateway_fixture node;
    node.begin_rollout(0);
    std::atomic<int> request_count{0};
    raw_server slow([&](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        ++request_count;
        std::this_thread::sleep_for(200ms);
        connection.send(make_response(200, "old"));
    });
    node.add_upstream("i-1", slow);
    std::string response;
    raw_client caller(node.callers->port(), [&](raw_connection& connection) {
        connection.send("GET /again/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "Connection: close\r\nAuthorization: Bearer k\r\n\r\n");
        response = connection.receive_all();
    });
    REQUIRE(run_until(node.event_loop, [&] {
        node.placement->tick();
        return request_count == 1;
    }));
    CHECK(node.report().old_in_flight == 1);
    REQUIRE(run_until(node.event_loop, [&] { return caller.done(); }));
    CHECK(contains(response, "old"));
    CHECK(node.report().old_in_flight == 0);
}

TEST_CASE("the time between a stream's events is observed once for the version")
{
    gateway_fixture node;
    const auto make_stream = [](std::chrono::milliseconds gap) {
        return [gap](raw_connection& connection) {
            // The connection is kept: one that is closed may break the next request on it.
            while (!connection.receive_until("\r\n\r\n").empty()) {
                connection.send("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: id7\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n");
                for (int number = 1; number <= 12; ++number) {
                    const std::string event = "id: " + std::to_string(number) +
                                              "\ndata: " + std::string(10, 'x') + "\n\n";
                    std::array<char, 16> size{};
                    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
                    connection.send(std::string(size.data()) + event + "\r\n");
                    std::this_thread::sleep_for(gap);
                }
                connection.send("0\r\n\r\n");
            }
        };
    };
    raw_server old_version(make_stream(2ms));
    node.add_upstream("i-1", old_version);
    // So many streams make known what is usual.
    for (int count = 0; count < 12; ++count)
        REQUIRE(contains(node.send_request("/stream/"), "0\r\n\r\n"));
    raw_server new_version(make_stream(40ms));
    node.begin_rollout(1000);
    node.add_upstream("i-2", new_version, "v2");
    REQUIRE(contains(node.send_request("/stream/"), "0\r\n\r\n"));
    CHECK(node.count_of(&core::version_counts::streams_late) == 1);
    CHECK(node.count_of(&core::version_counts::streams_on_time) == 0);
    CHECK(node.count_of(&core::version_counts::first_parts_late) +
              node.count_of(&core::version_counts::first_parts_on_time) ==
          1);
}

} // namespace ragwortcove::gateway::test
