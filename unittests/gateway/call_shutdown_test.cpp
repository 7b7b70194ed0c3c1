#include "call_fixture.hpp"

#include <doctest/doctest.h>

#include <string>

namespace ragwortcove::gateway::test {

namespace {

/// A node that knows that responses take 100 ms, and stops within a second.
struct stopping_fixture : gateway_fixture {
    paced_upstream upstream{{{100ms, make_response(200, "whole")}}};

    stopping_fixture()
    {
        this->add_upstream("i-1", this->upstream.server);
        constexpr int learned_responses = 12;
        for (int count = 0; count < learned_responses; ++count)
            REQUIRE(contains(this->send_request("/again/"), "whole"));
        this->upstream.request_count = 0;
    }
    void begin_shutdown(core::duration time_left)
    {
        this->calls->begin_shutdown(core::time_point{this->event_loop.now()} + time_left);
    }
    void wait(core::duration time)
    {
        this->run([] { return false; }, time);
    }
};

} // namespace

TEST_CASE("a node that stops takes those requests only that it can answer in time")
{
    stopping_fixture node;
    node.begin_shutdown(1s);
    SUBCASE("one that comes early is answered")
    {
        CHECK(contains(node.send_request("/again/"), "whole"));
        CHECK(node.upstream.request_count == 1);
    }
    SUBCASE("one that comes late is refused as not run")
    {
        node.wait(850ms);
        const std::string response = node.send_request("/again/");
        CHECK(contains(response, " 503 "));
        CHECK(contains(response, "Retry-After: 0.0"));
        CHECK(node.upstream.request_count == 0);
    }
    SUBCASE("one whose deadline comes before the stop may be sent at any time")
    {
        node.wait(700ms);
        CHECK(contains(node.send_request("/again/", "Authorization: Bearer k\r\n", 250), "whole"));
    }
    SUBCASE("one that waits for a slot until it is late is refused as not run")
    {
        node.fill_slots("i-1");
        node.event_loop.after(850ms, [&] { node.free_slots(); });
        CHECK(contains(node.send_request("/again/"), " 503 "));
        CHECK(node.upstream.request_count == 0);
    }
}

TEST_CASE("a stopping node judges a stream by how long it may be, not by its caller's estimate")
{
    gateway_fixture node;
    const std::string text = stream_head + make_chunk(make_event(1));
    paced_upstream upstream({{0ms, text}, {60ms, make_chunk(make_event(2)) + last_chunk}});
    node.add_upstream("i-1", upstream.server);
    const auto headers = [](int max_tokens) {
        return "Authorization: Bearer k\r\nX-Token-Count: 10," + std::to_string(max_tokens) +
               "\r\nX-Length-Hint: 2\r\n";
    };
    constexpr int learned_responses = 12;
    for (int count = 0; count < learned_responses; ++count)
        REQUIRE(contains(node.send_request("/stream/", headers(20)), last_chunk));
    node.calls->begin_shutdown(core::time_point{node.event_loop.now()} + 900ms);
    upstream.request_count = 0;
    CHECK(contains(node.send_request("/stream/", headers(2000)), " 503 "));
    CHECK(upstream.request_count == 0);
    CHECK(contains(node.send_request("/stream/", headers(20)), last_chunk));
}

} // namespace ragwortcove::gateway::test
