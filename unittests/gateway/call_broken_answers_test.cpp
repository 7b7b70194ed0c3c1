#include "call_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

// What upstreams in trouble send in place of an answer.

namespace ragwortcove::gateway::test {

using http::test::join;

namespace {

const std::string signed_headers = "X-Attempt-Id: id7\r\nX-Server-Signature: s\r\n";
const std::string broken_body = "broken body";

/// A response of this status line and these further lines, framed in each way that a body can be.
std::vector<std::string> frame_in_all_ways(const std::string& status_line, const std::string& lines)
{
    const std::string head = "HTTP/1.1 " + status_line + "\r\n" + signed_headers + lines;
    return {head + "Content-Length: " + std::to_string(broken_body.size()) + "\r\n\r\n" +
                broken_body,
            head + "Transfer-Encoding: chunked\r\n\r\n" + make_chunk(broken_body) + last_chunk,
            head + "\r\n" + broken_body,
            head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: " + broken_body + "\n\n"};
}

/// An upstream that sends the same bytes to each request, and closes in order.
struct broken_upstream {
    std::string response;
    std::atomic<int> request_count{0};
    raw_server server{[this](raw_connection& connection) {
        if (connection.receive_until("\r\n\r\n").empty())
            return;
        ++this->request_count;
        connection.send(this->response);
    }};
};

/// Expects that no caller gets anything of a response: a request that may run once fails without a
/// promise that it has not run, and one that may be repeated is answered by another upstream.
void check_reaches_no_caller(const std::vector<std::string>& responses)
{
    for (const std::string& response : responses) {
        CAPTURE(response);
        gateway_fixture node;
        broken_upstream broken;
        broken.response = response;
        node.add_upstream("i-1", broken.server);
        for (const std::string path : {"/once/", "/stream/"}) {
            const std::string got = node.send_request(path);
            CHECK(got.starts_with("HTTP/1.1 502 "));
            CHECK_FALSE(contains(got, "broken"));
            CHECK_FALSE(contains(got, "X-Server-Signature"));
        }
        scripted_upstream sound({make_response(200, "sound")});
        node.add_upstream("i-2", sound.server);
        const std::string got = node.send_request("/again/");
        CHECK(got.starts_with("HTTP/1.1 200 "));
        CHECK(contains(got, "sound"));
        CHECK_FALSE(contains(got, "broken"));
        CHECK(node.is_empty());
    }
}

/// Sends a request with a long body as a caller and returns the bytes of the response.
std::string upload(gateway_fixture& node, const std::string& path)
{
    const std::string body(7U << 20U, 'b');
    std::string response;
    raw_client caller(node.callers->port(), [&](raw_connection& connection) {
        connection.send("POST " + path +
                        " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\nX-Deadline-Ms: 5000\r\n"
                        "Authorization: Bearer k\r\nConnection: close\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
        response = connection.receive_all();
    });
    REQUIRE(node.run([&] { return caller.done(); }));
    return response;
}

} // namespace

TEST_CASE("an answer with a status below those of HTTP reaches no caller")
{
    for (const std::string line : {"000 Odd", "000 ", "001 Odd", "099 Odd"}) {
        std::vector<std::string> responses = frame_in_all_ways(line, "");
        check_reaches_no_caller(responses);
        // What follows on the connection is no answer either.
        for (std::string& response : responses)
            response += make_response(200, "broken answer");
        check_reaches_no_caller(responses);
    }
}

TEST_CASE("an answer in another protocol reaches no caller")
{
    std::vector<std::string> responses = frame_in_all_ways("200 OK", "");
    for (std::string& response : responses)
        response.insert(0, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n\r\n");
    check_reaches_no_caller(responses);
}

TEST_CASE("an answer in a transfer coding other than chunks reaches no caller")
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + signed_headers + "Transfer-Encoding: ";
    std::vector<std::string> responses;
    for (const std::string coding : {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked"})
        responses.push_back(join({head, coding, "\r\n\r\n", make_chunk(broken_body), last_chunk}));
    check_reaches_no_caller(responses);
}

TEST_CASE("an answer in whose head a field has no proper name reaches no caller")
{
    std::vector<std::string> lines{"X Odd: 1\r\n",           "X-Odd : 1\r\n",
                                   "X\tOdd: 1\r\n",          "X\x01Odd: 1\r\n",
                                   "X-Odd\x7f: 1\r\n",       "\x02: 1\r\n",
                                   "Content-Length : 3\r\n", "Transfer-Encoding : chunked\r\n"};
    lines.push_back(std::string("X") + '\0' + "Odd: 1\r\n");
    for (const std::string& line : lines) {
        CAPTURE(line);
        check_reaches_no_caller(frame_in_all_ways("200 OK", line));
    }
}

// Guards against a part of an answer that a caller gets as all of it: its upstream answers an
// upload at once, and resets the connection while the upload is still being written.
TEST_CASE("an early answer without a length is whole only if its connection ends in order")
{
    gateway_fixture node;
    set_route_timeout(node, 10s);
    const std::string early = "HTTP/1.1 200 OK\r\n" + signed_headers + "\r\nsome";
    bool is_reset = true;
    raw_server upstream([&](raw_connection& connection) {
        if (connection.receive_until("\r\n\r\n").empty())
            return;
        connection.send(early);
        if (!is_reset)
            connection.end_sending();
        std::this_thread::sleep_for(50ms);
        connection.reset();
    });
    node.add_upstream("i-1", upstream);
    SUBCASE("reset, to a request that may run once")
    {
        const std::string got = upload(node, "/once/");
        CHECK(got.starts_with("HTTP/1.1 502 "));
        CHECK_FALSE(contains(got, "some"));
    }
    SUBCASE("reset, to a request that may be repeated")
    {
        raw_server sound([](raw_connection& connection) {
            if (connection.receive_until("\r\n\r\n").empty())
                return;
            connection.send(make_response(200, "all of it"));
            static_cast<void>(connection.receive_all());
        });
        node.add_upstream("i-2", sound);
        const std::string got = upload(node, "/again/");
        CHECK(contains(got, "all of it"));
        CHECK_FALSE(contains(got, "some"));
    }
    SUBCASE("reset, to a request for a stream")
    {
        const std::string got = upload(node, "/stream/");
        CHECK_FALSE(contains(got, " 200 "));
        CHECK_FALSE(contains(got, "some"));
    }
    SUBCASE("closed in order")
    {
        is_reset = false;
        const std::string got = upload(node, "/once/");
        CHECK(got.starts_with("HTTP/1.1 200 "));
        CHECK(got.ends_with("\r\n\r\nsome"));
    }
    CHECK(node.is_empty());
}

} // namespace ragwortcove::gateway::test
