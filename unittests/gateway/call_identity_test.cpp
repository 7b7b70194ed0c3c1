#include "call_fixture.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::gateway::test {

/// Sends a request with an id of its own, on a connection of its own.
static std::string send_as(gateway_fixture& node, const std::string& attempt,
                           const std::string& path = "/once/")
{
    return node.send_request(path, "Authorization: Bearer k\r\n", 1500, attempt);
}

static std::string refusal_of(const std::string& attempt)
{
    return make_response(503, "", "X-Not-Executed: 1\r\n", attempt);
}

static std::string answer_to(const std::string& attempt)
{
    return make_response(200, "answer to " + attempt, "", attempt);
}

TEST_CASE("a response written once more on a kept connection is not taken for the next request's")
{
    gateway_fixture node;
    std::string first = answer_to("id1");
    std::string extra;
    SUBCASE("a refusal")
    {
        first = refusal_of("id1");
        extra = refusal_of("id1");
    }
    SUBCASE("a success")
    {
        extra = answer_to("id1");
    }
    SUBCASE("that the upstream is another one")
    {
        extra = make_response(421, "", "", "id1");
    }
    SUBCASE("more than once")
    {
        extra = refusal_of("id1") + answer_to("id1") + refusal_of("id1");
    }
    SUBCASE("in chunks")
    {
        extra = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: id1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                make_chunk(make_event(1)) + last_chunk;
    }
    SUBCASE("with a long body")
    {
        extra = make_response(200, std::string(300'000, 'x'), "", "id1");
    }
    SUBCASE("with an announcement between them")
    {
        extra = refusal_of("id1") + "HTTP/1.1 103 Early Hints\r\n\r\n";
    }
    scripted_upstream upstream({first, extra + answer_to("id2"), answer_to("id3")});
    node.add_upstream("i-1", upstream.server);
    send_as(node, "id1");
    const std::string second = send_as(node, "id2");
    CHECK(contains(second, " 200 "));
    CHECK(contains(second, "answer to id2"));
    CHECK_FALSE(contains(second, "id1"));
    CHECK(upstream.server.accepted() == 1);
    // Nothing tells what else comes on that connection.
    CHECK(contains(send_as(node, "id3"), "answer to id3"));
    CHECK(upstream.server.accepted() == 2);
}

TEST_CASE("a stream follows a response written once more on its kept connection")
{
    gateway_fixture node;
    std::string stream = stream_head;
    stream.replace(stream.find("id7"), 3, "id2");
    stream += make_chunk(make_event(1)) + make_chunk(make_event(2)) + last_chunk;
    scripted_upstream upstream({answer_to("id1"), refusal_of("id1") + stream});
    node.add_upstream("i-1", upstream.server);
    send_as(node, "id1");
    const std::string response = send_as(node, "id2", "/stream/");
    CHECK(contains(response, make_event(1)));
    CHECK(contains(response, make_event(2)));
    CHECK(contains(response, last_chunk));
    CHECK_FALSE(contains(response, "id1"));
}

TEST_CASE("a request is not told that it has not run by a response that may be another request's")
{
    gateway_fixture node;
    std::string misleading;
    SUBCASE("a refusal of an earlier request, and the connection ends")
    {
        misleading = refusal_of("id1");
        misleading.insert(misleading.find("X-Server"), "Connection: close\r\n");
    }
    SUBCASE("more refusals of earlier requests than are dropped")
    {
        for (int count = 0; count < 20; ++count)
            misleading += refusal_of("id1");
    }
    SUBCASE("a refusal without an id")
    {
        misleading = "HTTP/1.1 503 Any\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("a note of another upstream without an id")
    {
        misleading = "HTTP/1.1 421 Any\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("half a refusal of an earlier request")
    {
        const std::string whole = refusal_of("id1");
        misleading = whole.substr(0, whole.size() / 2);
    }
    const auto script = [&](raw_connection& connection) {
        for (const std::string& each : {answer_to("id1"), misleading}) {
            if (connection.receive_until("\r\n\r\n").empty())
                return;
            connection.send(each);
        }
    };
    raw_server upstream(script);
    node.add_upstream("i-1", upstream.port());
    CHECK(contains(send_as(node, "id1"), "answer to id1"));

    SUBCASE("one that may run once has failed, and may have run")
    {
        const std::string response = send_as(node, "id2", "/once/");
        CHECK(contains(response, " 502 "));
        CHECK_FALSE(contains(response, "id1"));
    }
    SUBCASE("one that may be repeated is answered by another upstream")
    {
        node.fill_slots("i-1");
        scripted_upstream other({answer_to("id2")});
        node.add_upstream("i-2", other.server);
        node.free_slots();
        CHECK(contains(send_as(node, "id2", "/again/"), "answer to id2"));
    }
}

TEST_CASE("a success without the request's id is not passed on")
{
    gateway_fixture node;
    scripted_upstream upstream({"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
                                "Content-Length: 5\r\n\r\nother"});
    node.add_upstream("i-1", upstream.server);
    const std::string response = node.send_request("/once/");
    CHECK(contains(response, " 502 "));
    CHECK_FALSE(contains(response, "other"));
}

TEST_CASE("what an upstream says of itself holds in a response to another request, too")
{
    gateway_fixture node;
    const std::string paused = make_response(
        503, "", "X-Not-Executed: 1\r\nRetry-After: 30\r\nServer-Leaving: 1\r\n", "id1");
    scripted_upstream upstream({answer_to("id1"), paused + answer_to("id2")});
    node.add_upstream("i-1", upstream.server);
    send_as(node, "id1");
    CHECK(contains(send_as(node, "id2"), "answer to id2"));
    CHECK(node.told_leaving == std::vector<std::string>{"i-1"});
    CHECK(contains(send_as(node, "id3"), " 503 "));
    CHECK(upstream.request_count == 2);
}

} // namespace ragwortcove::gateway::test
