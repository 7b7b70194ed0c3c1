#include "call_fixture.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::gateway::test {

TEST_CASE("a stream is forwarded event by event")
{
    gateway_fixture node;
    const std::string& head = stream_head;
    const auto chunk = [](const std::string& text) {
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
        return std::string(size.data()) + text + "\r\n";
    };
    const std::string first_event = "id: 1\ndata: a\n\n";
    const std::string second_event = "id: 2\ndata: b\n\n";
    const std::string third_event = "id: 3\ndata: c\n\n";

    SUBCASE("a complete stream ends with its last chunk")
    {
        scripted_upstream upstream(
            {head + chunk(first_event + second_event) + chunk(third_event) + "0\r\n\r\n"});
        node.add_upstream("i-1", upstream.server);
        const std::string response = node.send_request("/stream/");
        CHECK(contains(response, third_event));
        CHECK(contains(response, "0\r\n\r\n"));
    }
    SUBCASE("a stream that breaks resumes at another upstream without a lost or repeated event")
    {
        scripted_upstream breaking({head + chunk(first_event + second_event.substr(0, 6))});
        node.add_upstream("i-1", breaking.server);
        scripted_upstream resuming(
            {head + chunk(first_event + second_event) + chunk(third_event) + "0\r\n\r\n"});
        node.add_upstream("i-2", resuming.server);
        const std::string response = node.send_request("/stream/");
        CHECK(contains(response, first_event));
        CHECK(contains(response, second_event));
        CHECK(contains(response, third_event));
        CHECK(response.find(first_event) == response.rfind(first_event));
        CHECK(contains(response, "0\r\n\r\n"));
        // After a failed check the test goes on, and there may be no request to look at.
        if (resuming.request_count == 1)
            CHECK(contains(resuming.requests[0], "Last-Event-Id: 1\r\n"));
    }
    SUBCASE("a stream that cannot be resumed ends without its last chunk")
    {
        scripted_upstream breaking({head + chunk(first_event)});
        node.add_upstream("i-1", breaking.server);
        const std::string response = node.send_request("/stream/");
        CHECK_FALSE(contains(response, "0\r\n\r\n"));
    }
}

TEST_CASE("an upstream whose response has no end is given up before it fills the memory")
{
    constexpr std::size_t max_sent = 48U << 20U;
    gateway_fixture node;
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: id7\r\n\r\n";
    const std::string piece(256U << 10U, 'x');
    SUBCASE("a body: a request that may run once only has failed")
    {
        endless_upstream upstream(head, piece);
        node.add_upstream("i-1", upstream.server);
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 502"));
        CHECK(upstream.sent.load() < max_sent);
    }
    SUBCASE("a body: a request that may be repeated is answered by another upstream")
    {
        endless_upstream upstream(head, piece);
        node.add_upstream("i-1", upstream.server);
        scripted_upstream good({make_response(200, "good")});
        node.add_upstream("i-2", good.server);
        CHECK(contains(node.send_request("/again/"), "good"));
        CHECK(upstream.sent.load() < max_sent);
    }
    SUBCASE("a body whose stated length is over the limit")
    {
        scripted_upstream upstream({"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
                                    "X-Attempt-Id: id7\r\nContent-Length: " +
                                    std::to_string(17U << 20U) + "\r\n\r\n" +
                                    std::string(17U << 20U, 'x')});
        node.add_upstream("i-1", upstream.server);
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 502"));
    }
    SUBCASE("the bodies of many requests: one of the longest is given up")
    {
        const std::string part = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: id7\r\n"
                                 "Content-Length: 16000000\r\n\r\n" +
                                 std::string(15U << 20U, 'x');
        std::vector<std::unique_ptr<raw_server>> upstreams;
        std::vector<std::unique_ptr<raw_client>> callers;
        std::atomic<int> failed{0};
        std::atomic<bool> may_end{false};
        set_route_timeout(node, 30s);
        constexpr std::size_t request_count = 5;
        upstreams.reserve(request_count);
        callers.reserve(request_count);
        for (std::size_t count = 0; count < request_count; ++count) {
            upstreams.push_back(std::make_unique<raw_server>([&](raw_connection& connection) {
                static_cast<void>(connection.receive_until("\r\n\r\n"));
                connection.send(part);
                while (!may_end)
                    std::this_thread::sleep_for(5ms);
            }));
            node.add_upstream("i-" + std::to_string(count), *upstreams.back());
            node.announced.back().slots = 1;
        }
        node.placement->set_upstreams(node.announced);
        for (std::size_t count = 0; count < request_count; ++count) {
            callers.push_back(
                std::make_unique<raw_client>(node.callers->port(), [&](raw_connection& connection) {
                    connection.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                                    "Authorization: Bearer k\r\nConnection: close\r\n\r\n");
                    if (contains(connection.receive_all(), "HTTP/1.1 502"))
                        ++failed;
                }));
        }
        CHECK(run_until(
            node.event_loop,
            [&] {
                node.placement->tick();
                return failed == 1;
            },
            15s));
        CHECK(node.calls->open_calls() == 4);
        may_end = true;
        REQUIRE(run_until(node.event_loop, [&] {
            node.placement->tick();
            return std::ranges::all_of(callers, [](const auto& each) { return each->done(); });
        }));
        CHECK(failed.load() == request_count);
    }
    SUBCASE("an event: the stream is taken from another upstream")
    {
        endless_upstream upstream(head, piece);
        node.add_upstream("i-1", upstream.server);
        scripted_upstream good({head + "id: 1\ndata: a\n\n"});
        node.add_upstream("i-2", good.server);
        CHECK(contains(node.send_request("/stream/"), "id: 1\ndata: a\n\n"));
        CHECK(upstream.sent.load() < max_sent);
    }
    CHECK(node.calls->open_calls() == 0);
}

TEST_CASE("bytes that complete no event are no sign that a stream goes on")
{
    gateway_fixture node;
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: id7\r\n\r\n";
    set_route_timeout(node, 10s);
    endless_upstream upstream(head, "x", 50ms);
    node.add_upstream("i-1", upstream.server);
    scripted_upstream good({head + "id: 1\ndata: a\n\n"});
    node.add_upstream("i-2", good.server);
    std::string response;
    raw_client caller(node.callers->port(), [&](raw_connection& connection) {
        connection.send("GET /stream/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "Authorization: Bearer k\r\nConnection: close\r\n\r\n");
        response = connection.receive_all();
    });
    REQUIRE(run_until(node.event_loop, [&] {
        node.placement->tick();
        return caller.done();
    }));
    CHECK(contains(response, "id: 1\ndata: a\n\n"));
}

TEST_CASE("silence of a sound upstream ends no response")
{
    constexpr int deadline_ms = 5000;
    const std::string key = "Authorization: Bearer k\r\n";
    const std::string rest = make_chunk(make_event(2)) + last_chunk;
    const std::string begun = stream_head + make_chunk(make_event(1));
    gateway_fixture node;

    SUBCASE("a stream without another upstream is silent")
    {
        std::vector<paced_bytes> steps;
        SUBCASE("after its first event")
        {
            steps = {{0ms, begun}, {1800ms, rest}};
        }
        SUBCASE("before its first event")
        {
            steps = {{1800ms, begun + rest}};
        }
        SUBCASE("between its head and its first event")
        {
            steps = {{0ms, stream_head}, {1800ms, make_chunk(make_event(1)) + rest}};
        }
        SUBCASE("twice")
        {
            steps = {{0ms, begun}, {1800ms, make_chunk(make_event(2))}, {1800ms, last_chunk}};
        }
        paced_upstream sound(steps);
        node.add_upstream("i-1", sound.server);
        const std::string response = node.send_request("/long/stream/", key, deadline_ms);
        CHECK(contains(response, make_event(1)));
        CHECK(contains(response, make_event(2)));
        CHECK(contains(response, last_chunk));
        CHECK(sound.request_count == 1);
        CHECK(node.is_empty());
    }
    SUBCASE("the other upstream of a stream cannot be used")
    {
        paced_upstream sound({{0ms, begun}, {1800ms, rest}});
        paced_upstream other({{0ms, begun + rest}});
        SUBCASE("it has no free slot")
        {
            node.add_upstream("i-2", other.server);
            node.fill_slots("i-2");
        }
        SUBCASE("the budget of repeats is spent")
        {
            node.repeats = core::repeat_budget{core::repeat_limits{0.0, 0.0, 10s}};
            node.add_upstream("i-2", other.server);
            node.fill_slots("i-2");
            node.event_loop.after(500ms, [&] { node.free_slots(); });
        }
        SUBCASE("it is leaving")
        {
            node.add_upstream("i-2", other.server);
            node.fill_slots("i-2");
            node.announced.back().leaving = true;
            node.event_loop.after(500ms, [&] { node.free_slots(); });
        }
        node.add_upstream("i-1", sound.server);
        const std::string response = node.send_request("/long/stream/", key, deadline_ms);
        CHECK(contains(response, make_event(2)));
        CHECK(contains(response, last_chunk));
        CHECK(sound.request_count == 1);
        CHECK(other.request_count == 0);
        CHECK(node.is_empty());
    }
    SUBCASE("a plain request is slow")
    {
        paced_upstream slow({{900ms, make_response(200, "late")}});
        paced_upstream other({{0ms, make_response(200, "other")}});
        SUBCASE("there is no other upstream") {}
        SUBCASE("the other upstream has no free slot")
        {
            node.add_upstream("i-2", other.server);
            node.fill_slots("i-2");
        }
        SUBCASE("the budget of repeats is spent")
        {
            node.repeats = core::repeat_budget{core::repeat_limits{0.0, 0.0, 10s}};
            node.add_upstream("i-2", other.server);
            node.fill_slots("i-2");
            node.event_loop.after(300ms, [&] { node.free_slots(); });
        }
        node.add_upstream("i-1", slow.server);
        const std::string response = node.send_request("/long/again/", key, deadline_ms);
        CHECK(contains(response, "HTTP/1.1 200"));
        CHECK(contains(response, "late"));
        CHECK(slow.request_count == 1);
        CHECK(other.request_count == 0);
        CHECK(node.is_empty());
    }
    SUBCASE("no attempt is left for a third upstream")
    {
        paced_upstream failing({{0ms, ""}});
        paced_upstream sound({{1800ms, begun + rest}});
        paced_upstream other({{0ms, begun + rest}});
        node.add_upstream("i-1", failing.server);
        node.event_loop.after(300ms, [&] { node.add_upstream("i-3", other.server); });
        node.add_upstream("i-2", sound.server);
        node.fill_slots("i-2");
        node.event_loop.after(100ms, [&] { node.free_slots(); });
        const std::string response = node.send_request("/long/stream/", key, deadline_ms);
        CHECK(contains(response, last_chunk));
        CHECK(failing.request_count == 1);
        CHECK(sound.request_count == 1);
        CHECK(other.request_count == 0);
        CHECK(node.is_empty());
    }
}

TEST_CASE("a request moves from a silent upstream to another one with a free slot")
{
    constexpr int deadline_ms = 5000;
    const std::string key = "Authorization: Bearer k\r\n";
    const std::string begun = stream_head + make_chunk(make_event(1));
    const std::string rest = make_chunk(make_event(2)) + last_chunk;
    gateway_fixture node;

    SUBCASE("a stream goes on at the other one, and two upstreams never work on it at once")
    {
        paced_upstream silent({{0ms, begun}}, ending::hangs);
        paced_upstream other({{0ms, begun + rest}});
        node.add_upstream("i-1", silent.server);
        node.event_loop.after(500ms, [&] { node.add_upstream("i-2", other.server); });
        const std::string response = node.send_request("/long/stream/", key, deadline_ms);
        CHECK(response.find(make_event(1)) == response.rfind(make_event(1)));
        CHECK(contains(response, make_event(2)));
        CHECK(contains(response, last_chunk));
        REQUIRE(other.request_count == 1);
        CHECK(contains(other.request, "Last-Event-Id: 1\r\n"));
        REQUIRE(run_until(node.event_loop, [&] {
            return silent.closed_at.load() != paced_upstream::clock::time_point{};
        }));
        CHECK(silent.closed_at.load() - other.requested_at.load() <= 100ms);
        CHECK(other.requested_at.load() - silent.requested_at.load() >= 1400ms);
        CHECK(node.is_empty());
    }
    SUBCASE("the other one has a slot only later: the silent one keeps the request until then")
    {
        paced_upstream silent({}, ending::hangs);
        paced_upstream other({{0ms, make_response(200, "other")}});
        node.add_upstream("i-2", other.server);
        node.fill_slots("i-2");
        node.add_upstream("i-1", silent.server);
        std::chrono::milliseconds free_after{0};
        SUBCASE("while the request waits for it")
        {
            free_after = 1s;
        }
        SUBCASE("after the request was denied it once")
        {
            free_after = 1700ms;
        }
        node.event_loop.after(free_after, [&] {
            CHECK(silent.closed_at.load() == paced_upstream::clock::time_point{});
            node.free_slots();
        });
        CHECK(contains(node.send_request("/long/again/", key, deadline_ms), "other"));
        CHECK(silent.request_count == 1);
        CHECK(other.request_count == 1);
        CHECK(node.is_empty());
    }
    SUBCASE("the other one does not take it: it goes back to the silent one, which is sound")
    {
        std::atomic<int> request_count{0};
        raw_server silent([&](raw_connection& connection) {
            if (connection.receive_until("\r\n\r\n").empty())
                return;
            const bool is_first = ++request_count == 1;
            connection.send(is_first ? begun : begun + rest);
            if (is_first)
                static_cast<void>(connection.receive_all());
        });
        paced_upstream other({{0ms, make_response(421, "", "X-Not-Executed: 1\r\n")}});
        node.add_upstream("i-1", silent);
        node.event_loop.after(500ms, [&] { node.add_upstream("i-2", other.server); });
        const std::string response = node.send_request("/long/stream/", key, deadline_ms);
        CHECK(contains(response, last_chunk));
        CHECK(other.request_count == 1);
        CHECK(request_count == 2);
        CHECK(node.is_empty());
    }
    SUBCASE("the silent one breaks while the request waits for the other one")
    {
        paced_upstream breaking({{0ms, begun}, {1800ms, ""}});
        paced_upstream other({{0ms, begun + rest}});
        node.add_upstream("i-2", other.server);
        node.fill_slots("i-2");
        node.add_upstream("i-1", breaking.server);
        node.event_loop.after(2200ms, [&] { node.free_slots(); });
        const std::string response = node.send_request("/long/stream/", key, deadline_ms);
        CHECK(contains(response, last_chunk));
        CHECK(other.request_count == 1);
        CHECK(node.is_empty());
    }
}

TEST_CASE("a stream that has begun is not cut while a slot may still become free in time")
{
    gateway_fixture node;
    const std::string begun = stream_head + make_chunk(make_event(1));
    paced_upstream breaking({{0ms, begun}});
    paced_upstream other({{0ms, begun + make_chunk(make_event(2)) + last_chunk}});
    node.add_upstream("i-2", other.server);
    node.fill_slots("i-2");
    node.add_upstream("i-1", breaking.server);
    node.event_loop.after(3500ms, [&] { node.free_slots(); });
    const std::string response =
        node.send_request("/long/stream/", "Authorization: Bearer k\r\n", 5000);
    CHECK(contains(response, make_event(2)));
    CHECK(contains(response, last_chunk));
    CHECK(node.is_empty());
}

TEST_CASE("a stream that has begun gets no second head from the upstream that is to go on")
{
    gateway_fixture node;
    const std::string begun = stream_head + make_chunk(make_event(1));
    std::string answer;
    SUBCASE("does not know the request")
    {
        answer = make_response(404, "unknown");
    }
    SUBCASE("sends the caller elsewhere")
    {
        answer = make_response(302, "");
    }
    SUBCASE("fails")
    {
        answer = make_response(500, "why");
    }
    SUBCASE("does not run it")
    {
        answer = make_response(503, "", "X-Not-Executed: 1\r\n");
    }
    paced_upstream breaking({{0ms, begun}, {300ms, ""}});
    paced_upstream other({{0ms, answer}});
    node.add_upstream("i-1", breaking.server);
    node.event_loop.after(150ms, [&] { node.add_upstream("i-2", other.server); });
    const std::string response = node.send_request("/stream/");
    CHECK(other.request_count == 1);
    CHECK(contains(response, make_event(1)));
    CHECK(response.find("HTTP/1.1") == response.rfind("HTTP/1.1"));
    CHECK_FALSE(contains(response, last_chunk));
    CHECK(node.is_empty());
}

} // namespace ragwortcove::gateway::test
