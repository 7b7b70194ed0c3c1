#include "call_fixture.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::gateway::test {

/// Bytes of a response without its head.
static std::string body_of(const std::string& response)
{
    const std::size_t end = response.find("\r\n\r\n");
    return end == std::string::npos ? std::string{} : response.substr(end + 4);
}

static std::string head_with(const std::string& line, const std::string& headers)
{
    return "HTTP/1.1 " + line + "\r\nX-Server-Signature: s2\r\nX-Attempt-Id: id7\r\n" + headers +
           "\r\n";
}

/// An upstream that sends these bytes in pieces, and then closes.
static std::vector<paced_bytes> in_pieces(const std::string& bytes)
{
    std::vector<paced_bytes> pieces;
    constexpr std::size_t piece_size = 20;
    for (std::size_t at = 0; at < bytes.size(); at += piece_size)
        pieces.push_back({1ms, bytes.substr(at, piece_size)});
    return pieces;
}

TEST_CASE("an error of the next upstream reaches no caller whose stream has begun")
{
    gateway_fixture node;
    const std::string sent = make_chunk(make_event(1)) + make_chunk(make_event(2));
    std::string broken = stream_head + sent;
    std::string next;
    SUBCASE("503 with a body")
    {
        next = head_with("503 Busy", "Content-Length: 4\r\n") + "busy";
    }
    SUBCASE("503 that says that it has not run")
    {
        next = head_with("503 Busy", "X-Not-Executed: 1\r\nContent-Length: 0\r\n");
    }
    SUBCASE("500 with a body that looks like events")
    {
        next = head_with("500 Error", "Content-Type: text/event-stream\r\nContent-Length: 16\r\n") +
               "id: 3\ndata: no\n\n";
    }
    SUBCASE("500 in chunks")
    {
        next = head_with("500 Error", "Transfer-Encoding: chunked\r\n") +
               make_chunk(make_event(3)) + last_chunk;
    }
    SUBCASE("500 without an id")
    {
        next = "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\noops";
    }
    SUBCASE("421")
    {
        next = head_with("421 Misdirected", "Content-Length: 5\r\n") + "other";
    }
    SUBCASE("a success that is no stream")
    {
        next = head_with("200 OK", "Content-Type: application/json\r\nContent-Length: 16\r\n") +
               "id: 3\ndata: no\n\n";
    }
    SUBCASE("a success that does not say what it is")
    {
        next = head_with("200 OK", "Content-Length: 0\r\n");
    }
    SUBCASE("a stream whose text is no event")
    {
        next = stream_head + make_chunk("internal error") + last_chunk;
    }
    SUBCASE("a stream for another request")
    {
        next = stream_head + make_chunk(make_event(3)) + last_chunk;
        next.replace(next.find("id7"), 3, "id8");
    }
    SUBCASE("after half an event")
    {
        broken += make_chunk("id: 3\nda");
        next = head_with("503 Busy", "Content-Length: 4\r\n") + "busy";
    }
    scripted_upstream breaking({broken});
    node.add_upstream("i-1", breaking.server);
    paced_upstream failing(in_pieces(next));
    node.add_upstream("i-2", failing.server);

    // The chunks that the caller has got so far, and neither more nor their end.
    const std::string response = node.send_request("/stream/");
    CHECK(contains(response, "HTTP/1.1 200 OK"));
    CHECK(body_of(response) == sent);
    CHECK(failing.request_count <= 1);
}

TEST_CASE("a stream that has begun goes on after an error when a third upstream may get it")
{
    gateway_fixture node;
    node.change_rules([](core::ruleset& rules) {
        for (core::http_route& route : rules.routes)
            route.max_upstreams = 3;
    });
    scripted_upstream breaking({stream_head + make_chunk(make_event(1))});
    node.add_upstream("i-1", breaking.server);
    scripted_upstream failing({head_with("500 Error", "Content-Length: 4\r\n") + "oops"});
    scripted_upstream resuming(
        {stream_head + make_chunk(make_event(2)) + make_chunk(make_event(3)) + last_chunk});
    SUBCASE("after a success that is no stream")
    {
        failing.responses = {
            head_with("200 OK", "Content-Type: text/plain\r\nContent-Length: 4\r\n") + "fine"};
    }
    SUBCASE("after an error") {}
    node.add_upstream("i-2", failing.server);
    node.add_upstream("i-3", resuming.server);
    const std::string response = node.send_request("/stream/");
    CHECK(body_of(response) == make_chunk(make_event(1)) + make_chunk(make_event(2)) +
                                   make_chunk(make_event(3)) + last_chunk);
}

TEST_CASE("a resumed stream that has nothing left to send ends in order")
{
    gateway_fixture node;
    scripted_upstream breaking({stream_head + make_chunk(make_event(1))});
    node.add_upstream("i-1", breaking.server);
    scripted_upstream resuming({stream_head + last_chunk});
    node.add_upstream("i-2", resuming.server);
    const std::string response = node.send_request("/stream/");
    CHECK(body_of(response) == make_chunk(make_event(1)) + last_chunk);
}

TEST_CASE("a success on a stream's route that is no stream is forwarded as it is")
{
    gateway_fixture node;
    scripted_upstream upstream(
        {head_with("200 OK", "Content-Type: application/json\r\nContent-Length: 2\r\n") + "{}"});
    node.add_upstream("i-1", upstream.server);
    const std::string response = node.send_request("/stream/");
    CHECK(contains(response, "HTTP/1.1 200"));
    CHECK(body_of(response) == "{}");
}

} // namespace ragwortcove::gateway::test
