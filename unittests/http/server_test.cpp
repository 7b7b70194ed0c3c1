#include "loopback.hpp"

#include <doctest/doctest.h>

#include <map>

namespace ragwortcove::http::test {

TEST_CASE("a server refuses what is malformed and goes on serving")
{
    loop on;
    std::vector<request> requests;
    std::vector<server_exchange> open;
    std::vector<server_exchange> closed;
    server_settings settings;
    settings.most_body_bytes = 1000;
    server serving(
        on, settings,
        [&](server_exchange exchange, request&& message) {
            requests.push_back(message);
            if (message.path == "/wait") {
                open.push_back(exchange);
                return;
            }
            serving.respond(exchange, 200, "text/plain", message.method);
        },
        [&](server_exchange exchange) { closed.push_back(exchange); });
    REQUIRE(serving.listening());
    std::string answer;

    SUBCASE("a header of one megabyte")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("GET / HTTP/1.1\r\nhost: a\r\nx-large: " + std::string(1U << 20U, 'x') +
                            "\r\n\r\n");
            answer = connection.receive_all();
        });
        REQUIRE(run_until(on, [&] { return caller.done(); }));
        CHECK(answer.find("200") == std::string::npos);
        CHECK(requests.empty());
    }

    SUBCASE("a body that is cut off reaches no handler")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf");
        });
        REQUIRE(run_until(on, [&] { return caller.done(); }));
        CHECK(requests.empty());
        CHECK(closed.empty());
    }

    SUBCASE("a body above the limit")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1001\r\n\r\n" +
                            std::string(1001, 'b'));
            answer = connection.receive_all();
        });
        REQUIRE(run_until(on, [&] { return caller.done(); }));
        CHECK(answer.find("HTTP/1.1 413") == 0);
        CHECK(requests.empty());
    }

    SUBCASE("a body without a length")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
                            "1\r\nb\r\n0\r\n\r\n");
            answer = connection.receive_all();
        });
        REQUIRE(run_until(on, [&] { return caller.done(); }));
        CHECK(answer.find("HTTP/1.1 411") == 0);
        CHECK(requests.empty());
    }

    SUBCASE("a length that is no number")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -5\r\n\r\n");
            answer = connection.receive_all();
        });
        REQUIRE(run_until(on, [&] { return caller.done(); }));
        CHECK(answer.find("HTTP/1.1 400") == 0);
        CHECK(requests.empty());
    }

    SUBCASE("a method that nobody knows")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("BREW /pot HTTP/1.1\r\nhost: a\r\n\r\n");
            answer = connection.receive_all();
        });
        REQUIRE(run_until(on, [&] { return caller.done(); }));
        CHECK(answer.find("HTTP/1.1 501") == 0);
        CHECK(requests.empty());
    }

    SUBCASE("a client that vanishes while it waits is reported once")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("POST /wait HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nb");
        });
        REQUIRE(run_until(on, [&] { return closed.size() == 1 && caller.done(); }));
        REQUIRE(open.size() == 1);
        CHECK(closed == open);
        serving.respond(open.front(), 200, "text/plain", "too late");
    }

    SUBCASE("a client that vanishes while it waits for the answer to a GET")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
        });
        REQUIRE(run_until(on, [&] { return closed.size() == 1 && caller.done(); }));
        CHECK(closed == open);
    }

    SUBCASE("requests in line on one connection are answered in their order")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("PUT /a HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nb"
                            "DELETE /b HTTP/1.1\r\nhost: a\r\n\r\n"
                            "PATCH /c HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n");
            answer = connection.receive_until("PATCH");
        });
        REQUIRE(run_until(on, [&] { return caller.done(); }));
        REQUIRE(requests.size() == 3);
        CHECK(requests[0].body == "b");
        CHECK(answer.find("PUT") < answer.find("DELETE"));
        CHECK(answer.find("DELETE") < answer.find("PATCH"));
    }

    SUBCASE("a request in line waits for the answer to the one before")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("POST /wait HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nb"
                            "GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
            connection.send("DELETE / HTTP/1.1\r\nhost: a\r\n\r\n");
            answer = connection.receive_until("DELETE");
        });
        REQUIRE(run_until(on, [&] { return open.size() == 1; }));
        on.after(std::chrono::milliseconds(20),
                 [&] { serving.respond(open[0], 200, "text/plain", "first"); });
        REQUIRE(run_until(on, [&] { return open.size() == 2; }));
        on.after(std::chrono::milliseconds(20),
                 [&] { serving.respond(open[1], 200, "text/plain", "second"); });
        REQUIRE(run_until(on, [&] { return caller.done(); }));
        REQUIRE(requests.size() == 3);
        CHECK(requests[0].body == "b");
        CHECK(answer.find("first") < answer.find("second"));
        CHECK(answer.find("second") < answer.find("DELETE"));
    }

    SUBCASE("a HEAD request gets a head alone")
    {
        raw_client caller(serving.port(), [&](raw_connection& connection) {
            connection.send("HEAD / HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n");
            answer = connection.receive_until("\r\n\r\nGET");
        });
        REQUIRE(run_until(on, [&] { return caller.done(); }));
        CHECK(answer.find("content-length: 4") != std::string::npos);
        CHECK(answer.find("\r\n\r\nHEAD") == std::string::npos);
    }

    client calling(on, {});
    heard after;
    calling.start(request_to(serving.port(), "GET", "/after"), handlers_into(after, [] {}));
    REQUIRE(run_until(on, [&] { return after.over(); }));
    CHECK(after.body == "GET");
}

TEST_CASE("a server says when it can't listen")
{
    loop on;
    const raw_server first([](raw_connection&) {});
    server_settings taken;
    taken.port = first.port();
    const server second(
        on, taken, [](server_exchange, request&&) {}, [](server_exchange) {});
    CHECK_FALSE(second.listening());
    CHECK(second.port() == 0);
}

TEST_CASE("a server ends while exchanges are open")
{
    loop on;
    heard first;
    client calling(on, {});
    {
        bool arrived = false;
        int closed = 0;
        server serving(
            on, {}, [&](server_exchange, request&&) { arrived = true; },
            [&](server_exchange) { ++closed; });
        calling.start(request_to(serving.port(), "GET", "/"), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return arrived; }));
        CHECK(closed == 0);
    }
    REQUIRE(run_until(on, [&] { return first.over(); }));
    CHECK(first.error == client_error::connection_lost);
}

} // namespace ragwortcove::http::test
