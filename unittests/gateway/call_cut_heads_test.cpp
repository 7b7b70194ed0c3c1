#include "call_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace ragwortcove::gateway::test {

namespace {

const std::string signed_headers = "X-Attempt-Id: id7\r\nX-Server-Signature: s\r\n";

/// Heads of responses that may break off at any byte.
std::vector<std::string> all_heads(const std::string& type)
{
    const std::string early = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    const std::string framed = "HTTP/1.1 200 OK\r\n" + signed_headers + type;
    return {framed + "Content-Length: 4\r\n\r\n", framed + "\r\n",
            "HTTP/1.0 200 OK\r\n" + signed_headers + type + "\r\n",
            early + framed + "Content-Length: 4\r\n\r\n"};
}

/// An upstream that sends the first `cut` bytes of each of its responses, and closes or resets.
struct cutting_upstream {
    std::string head;
    std::size_t cut = 0;
    bool byte_by_byte = false;
    bool resets = false;
    raw_server server{[this](raw_connection& connection) {
        if (connection.receive_until("\r\n\r\n").empty())
            return;
        const std::string sent = this->head.substr(0, this->cut);
        if (!this->byte_by_byte)
            connection.send(sent);
        for (std::size_t at = 0; this->byte_by_byte && at < sent.size(); ++at)
            connection.send(sent.substr(at, 1));
        if (this->resets)
            connection.reset();
    }};
};

[[nodiscard]] bool is_success(const std::string& response)
{
    return response.find(" 200 ") < response.find("\r\n");
}

} // namespace

TEST_CASE("a response whose head breaks off is no success to a caller")
{
    gateway_fixture node;
    std::string path = "/once/";
    std::string type;
    SUBCASE("a plain one that may run once") {}
    SUBCASE("a plain one that may be repeated")
    {
        path = "/again/";
    }
    SUBCASE("a stream")
    {
        path = "/stream/";
        type = "Content-Type: text/event-stream\r\n";
    }
    cutting_upstream upstream;
    node.add_upstream("i-1", upstream.server);
    constexpr std::size_t step = 3;
    int successes = 0;
    for (const std::string& head : all_heads(type)) {
        upstream.head = head;
        for (std::size_t cut = 0; cut < head.size(); cut += step) {
            upstream.cut = cut;
            upstream.byte_by_byte = cut % 2 == 1;
            upstream.resets = cut % 4 < 2;
            successes += is_success(node.send_request(path)) ? 1 : 0;
        }
    }
    CHECK(successes == 0);
    CHECK(node.is_empty());
}

TEST_CASE("a stream that goes on at an upstream whose head breaks off is cut, not complete")
{
    gateway_fixture node;
    paced_upstream breaking({{0ms, stream_head + make_chunk(make_event(1))}, {20ms, ""}});
    cutting_upstream cutting;
    cutting.head = stream_head;
    node.add_upstream("i-1", breaking.server);
    node.add_upstream("i-2", cutting.server);
    constexpr std::size_t step = 23;
    for (std::size_t cut = 0; cut < stream_head.size(); cut += step) {
        cutting.cut = cut;
        const std::string response = node.send_request("/stream/");
        CHECK_FALSE(contains(response, last_chunk));
    }
}

TEST_CASE("a response without a length is complete only if its connection is closed in order")
{
    gateway_fixture node;
    const std::string head = "HTTP/1.1 200 OK\r\n" + signed_headers;
    const std::string stream = head + "Content-Type: text/event-stream\r\n\r\n";
    cutting_upstream upstream;
    node.add_upstream("i-1", upstream.server);
    const auto ask = [&](const std::string& path, const std::string& bytes, bool resets) {
        upstream.head = bytes;
        upstream.cut = bytes.size();
        upstream.resets = resets;
        return node.send_request(path);
    };
    SUBCASE("a plain one that is closed")
    {
        CHECK(contains(ask("/once/", head + "\r\nbody", false), "Content-Length: 4\r\n"));
    }
    SUBCASE("a plain one that is reset")
    {
        CHECK_FALSE(is_success(ask("/once/", head + "\r\nbody", true)));
    }
    SUBCASE("a stream that is closed between two events")
    {
        CHECK(contains(ask("/stream/", stream + make_event(1), false), last_chunk));
    }
    SUBCASE("a stream that is closed inside an event")
    {
        const std::string broken = stream + make_event(1) + make_event(2).substr(0, 6);
        const std::string response = ask("/stream/", broken, false);
        CHECK_FALSE(contains(response, last_chunk));
        CHECK_FALSE(contains(response, "id: 2"));
    }
    SUBCASE("a stream that is reset")
    {
        CHECK_FALSE(contains(ask("/stream/", stream + make_event(1), true), last_chunk));
    }
    SUBCASE("a stream that is closed before its first event: its upstream has ended")
    {
        const std::string response = ask("/stream/", stream, false);
        CHECK_FALSE(is_success(response));
        CHECK_FALSE(contains(response, last_chunk));
    }
}

} // namespace ragwortcove::gateway::test
