#include "call_fixture.hpp"

#include <doctest/doctest.h>

#include <set>

namespace ragwortcove::gateway::test {

/// A caller's request, and the wait for its whole response.
static std::function<void(raw_connection&)> request_of(const std::string& path)
{
    return [path](raw_connection& connection) {
        connection.send("GET " + path +
                        " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "X-Deadline-Ms: 1500\r\nConnection: close\r\n"
                        "Authorization: Bearer k\r\n\r\n");
        static_cast<void>(connection.receive_all());
    };
}

TEST_CASE("no request goes to an upstream after a response that says that it leaves")
{
    gateway_fixture node;
    const std::string leaves = "Server-Leaving: 1\r\n";
    const std::string left = make_response(200, "left", leaves);

    SUBCASE("not even when the owner of its slots has not heard of it")
    {
        std::string first = left;
        std::string path = "/once/";
        SUBCASE("a success") {}
        SUBCASE("an error")
        {
            first = make_response(404, "left", leaves);
        }
        SUBCASE("a stream")
        {
            path = "/stream/";
            first = stream_head;
            first.insert(first.find("Transfer"), leaves);
            first += make_chunk(make_event(1)) + last_chunk;
        }
        scripted_upstream leaving({first, left, left});
        node.add_upstream("i-1", leaving.server);
        node.send_request(path);
        CHECK(leaving.request_count == 1);
        CHECK(node.told_leaving == std::vector<std::string>{"i-1"});
        scripted_upstream other({make_response(200, "other"), make_response(200, "other")});
        node.add_upstream("i-2", other.server);
        CHECK(contains(node.send_request("/once/"), "other"));
        CHECK(contains(node.send_request("/again/"), "other"));
        CHECK(leaving.request_count == 1);
    }
    SUBCASE("a request that it has not run goes elsewhere")
    {
        scripted_upstream leaving({make_response(503, "", leaves + "X-Not-Executed: 1\r\n")});
        node.add_upstream("i-1", leaving.server);
        scripted_upstream other({make_response(200, "other"), make_response(200, "other")});
        node.fill_slots("i-1");
        node.add_upstream("i-2", other.server);
        node.free_slots();
        CHECK(contains(node.send_request("/again/"), "other"));
        CHECK(contains(node.send_request("/again/"), "other"));
        CHECK(leaving.request_count <= 1);
    }
    SUBCASE("a new process with its name gets requests")
    {
        scripted_upstream leaving({left, make_response(200, "anew")});
        node.add_upstream("i-1", leaving.server);
        node.send_request("/once/");
        ++node.announced.front().started_at;
        node.rollouts->set_upstreams(std::vector(node.announced));
        CHECK(contains(node.send_request("/once/"), "anew"));
    }
    SUBCASE("another server at its address speaks for itself only")
    {
        scripted_upstream stranger({make_response(421, "", leaves)});
        node.add_upstream("i-1", stranger.server);
        node.send_request("/once/");
        CHECK(node.told_leaving.empty());
    }
}

TEST_CASE("an upstream that asks for a pause gets no request until it ends")
{
    gateway_fixture node;
    const auto refusal = [](const std::string& retry_after) {
        return make_response(503, "", "X-Not-Executed: 1\r\nRetry-After: " + retry_after + "\r\n");
    };
    const std::string good = make_response(200, "good");

    SUBCASE("others get the requests meanwhile, and it gets them again afterwards")
    {
        scripted_upstream pausing({refusal("0.6"), good, good, good});
        node.add_upstream("i-1", pausing.server);
        CHECK(contains(node.send_request("/once/"), " 503 "));
        scripted_upstream other({good, good, good});
        node.add_upstream("i-2", other.server);
        for (int count = 0; count < 3; ++count)
            CHECK(contains(node.send_request("/again/"), "good"));
        CHECK(pausing.request_count == 1);
        node.run([] { return false; }, 700ms);
        node.fill_slots("i-2");
        CHECK(contains(node.send_request("/again/"), "good"));
        CHECK(pausing.request_count == 2);
    }
    SUBCASE("a caller hears at once when it may come again, if all pause")
    {
        scripted_upstream pausing({refusal("3.5")});
        node.add_upstream("i-1", pausing.server);
        node.send_request("/once/");
        std::set<std::string> stated;
        for (int count = 0; count < 4; ++count) {
            const auto began = std::chrono::steady_clock::now();
            const std::string response = node.send_request("/again/");
            CHECK(std::chrono::steady_clock::now() - began < 300ms);
            CHECK(contains(response, " 503 "));
            const std::size_t at = response.find("Retry-After: ") + 13;
            const double seconds = std::stod(response.substr(at));
            CHECK(seconds > 2.0);
            CHECK(seconds < 4.0);
            stated.insert(response.substr(at, 5));
        }
        CHECK(stated.size() > 1);
        CHECK(pausing.request_count == 1);
    }
    SUBCASE("a slot that was granted before is not used")
    {
        scripted_upstream pausing({refusal("5"), good});
        node.add_upstream("i-1", pausing.server);
        node.fill_slots("i-1");
        raw_client waiting(node.callers->port(), request_of("/again/"));
        raw_client second(node.callers->port(), request_of("/again/"));
        node.run([&] { return node.placement->owned_placements().waiting() == 2; }, 500ms);
        const placement_number first = node.held.back();
        node.held.pop_back();
        node.placement->withdraw(first);
        node.run([&] { return pausing.request_count == 1; }, 500ms);
        node.run([] { return false; }, 100ms);
        node.free_slots();
        REQUIRE(node.run([&] { return waiting.done() && second.done(); }));
        CHECK(pausing.request_count == 1);
    }
    SUBCASE("a time that is none pauses nothing")
    {
        std::string stated;
        SUBCASE("a date")
        {
            stated = "Fri, 04 Dec 2026 21:00:00 GMT";
        }
        SUBCASE("a negative number")
        {
            stated = "-5";
        }
        SUBCASE("no number")
        {
            stated = "nan";
        }
        scripted_upstream refusing({refusal(stated), good});
        node.add_upstream("i-1", refusing.server);
        node.send_request("/once/");
        CHECK(contains(node.send_request("/once/"), "good"));
    }
    SUBCASE("a new process of its name is not paused")
    {
        scripted_upstream pausing({refusal("30"), good});
        node.add_upstream("i-1", pausing.server);
        node.send_request("/once/");
        ++node.announced.front().started_at;
        node.rollouts->set_upstreams(std::vector(node.announced));
        CHECK(contains(node.send_request("/once/"), "good"));
    }
}

TEST_CASE("a pause holds for the process that asked for it, whatever is announced under its name")
{
    gateway_fixture node;
    const auto refusal = [](const std::string& retry_after) {
        return make_response(503, "", "X-Not-Executed: 1\r\nRetry-After: " + retry_after + "\r\n");
    };
    const auto announce_start = [&node](std::int64_t started_at) {
        node.announced.front().started_at = started_at;
        node.rollouts->set_upstreams(std::vector(node.announced));
    };
    scripted_upstream pausing({refusal("30"), make_response(200, "anew")});
    node.add_upstream("i-1", pausing.server);
    announce_start(5);
    CHECK(contains(node.send_request("/once/"), " 503 "));
    SUBCASE("an earlier start, as from a copy of the store")
    {
        announce_start(4);
        CHECK(contains(node.send_request("/once/"), " 503 "));
        CHECK(pausing.request_count == 1);
    }
    SUBCASE("no start")
    {
        announce_start(0);
        CHECK(contains(node.send_request("/once/"), " 503 "));
        CHECK(pausing.request_count == 1);
    }
    SUBCASE("a later start ends it")
    {
        announce_start(6);
        CHECK(contains(node.send_request("/once/"), "anew"));
    }
}

TEST_CASE("a late refusal of an earlier process does not end the pause of the one after it")
{
    gateway_fixture node;
    const std::string paused = make_response(503, "", "X-Not-Executed: 1\r\nRetry-After: 30\r\n");
    const std::string briefly = make_response(503, "", "X-Not-Executed: 1\r\nRetry-After: 0.1\r\n");
    paced_upstream earlier({{400ms, briefly}}, ending::hangs);
    node.add_upstream("i-1", earlier.server);
    node.announced.front().started_at = 5;
    node.rollouts->set_upstreams(std::vector(node.announced));
    raw_client first(node.callers->port(), request_of("/once/"));
    REQUIRE(node.run([&] { return earlier.request_count == 1; }));

    scripted_upstream later({paused, make_response(200, "too early")});
    node.announced.front().started_at = 6;
    node.announced.front().address.port = later.server.port();
    node.rollouts->set_upstreams(std::vector(node.announced));
    CHECK(contains(node.send_request("/once/"), " 503 "));
    REQUIRE(node.run([&] { return first.done(); }));
    node.run([] { return false; }, 200ms);
    CHECK(contains(node.send_request("/once/"), " 503 "));
    CHECK(later.request_count == 1);
}

TEST_CASE("a pause is kept when its request is given up before the refusal was read")
{
    gateway_fixture node;
    paced_upstream pausing(
        {{150ms, make_response(503, "", "X-Not-Executed: 1\r\nRetry-After: 30\r\n")}},
        ending::hangs);
    node.add_upstream("i-1", pausing.server);
    raw_client caller(node.callers->port(), request_of("/once/"));
    REQUIRE(node.run([&] { return pausing.request_count == 1; }));
    // The loop does not run while the refusal arrives.
    std::this_thread::sleep_for(300ms);
    node.calls->end_all_calls();
    REQUIRE(node.run([&] { return caller.done(); }));
    CHECK(contains(node.send_request("/once/"), " 503 "));
    CHECK(pausing.request_count == 1);
}

TEST_CASE("a pause lasts as long as the upstream states, for an hour at most")
{
    gateway_fixture node;
    captured_log log;
    std::string stated;
    std::string kept;
    SUBCASE("some minutes")
    {
        stated = "150.5";
        kept = "150500";
    }
    SUBCASE("days")
    {
        stated = "400000";
        kept = "3600000";
    }
    scripted_upstream pausing(
        {make_response(503, "", "X-Not-Executed: 1\r\nRetry-After: " + stated + "\r\n")});
    node.add_upstream("i-1", pausing.server);
    node.send_request("/once/");
    CHECK(captured_log::field(log.find("upstream_pauses"), "pause_ms") == kept);
}

} // namespace ragwortcove::gateway::test
