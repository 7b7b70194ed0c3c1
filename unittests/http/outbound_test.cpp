#include "loopback.hpp"
#include "ragwortcove/http/outbound.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <vector>

namespace ragwortcove::http::test {

namespace {

/// What came of one exchange.
struct outcome {
    std::optional<status_line_and_headers> head;
    std::string body;
    bool complete = false;
    std::optional<outbound_failure> failure;
    [[nodiscard]] bool over() const { return this->complete || this->failure.has_value(); }
};

struct calling_client {
    loop on;
    outbound_client client{on, std::chrono::milliseconds(5000)};

    outbound_exchange start(outcome& into, std::uint16_t port, std::string body = {})
    {
        outbound_request request;
        request.to = {"127.0.0.1", port};
        request.identity = "upstream-1";
        request.method = body.empty() ? "GET" : "POST";
        request.target = "/x";
        request.headers = {{"Host", "h"}};
        request.body = std::move(body);
        outbound_handlers handlers;
        handlers.head = [&into](status_line_and_headers&& head) { into.head = std::move(head); };
        handlers.body = [&into](std::string_view bytes) { into.body += bytes; };
        handlers.complete = [&into] { into.complete = true; };
        handlers.failed = [&into](outbound_failure why) { into.failure = why; };
        return this->client.start(std::move(request), std::move(handlers));
    }
    outcome ask(std::uint16_t port, std::string body = {})
    {
        outcome got;
        this->start(got, port, std::move(body));
        REQUIRE(run_until(this->on, [&] { return got.over(); }));
        return got;
    }
};

/// Reads one request and answers it with these bytes.
void answer_once(raw_connection& connection, const std::string& bytes)
{
    if (connection.receive_until("\r\n\r\n").empty())
        return;
    connection.send(bytes);
}

} // namespace

TEST_CASE("a client keeps a connection and uses it for one exchange at a time")
{
    calling_client calling;
    raw_server upstream([](raw_connection& connection) {
        for (int count = 0; count < 3; ++count)
            answer_once(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Odd: 1\r\n\r\nok");
    });
    for (int count = 0; count < 3; ++count) {
        const outcome got = calling.ask(upstream.port());
        CHECK(got.complete);
        CHECK(got.body == "ok");
        CHECK(find_any_case(got.head->headers, "x-odd") == "1");
    }
    CHECK(upstream.accepted() == 1);
    CHECK(calling.client.counters().connections_reused == 2);
}

TEST_CASE("a client does not keep a connection that is of no more use")
{
    calling_client calling;
    std::string first;
    SUBCASE("the upstream says that it closes")
    {
        first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
    }
    SUBCASE("bytes follow a complete answer: they belong to no request")
    {
        first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
                "Content-Length: 5\r\n\r\nextra";
    }
    SUBCASE("the upstream's own idle time is over")
    {
        first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=0\r\n\r\nok";
    }
    raw_server upstream([&](raw_connection& connection) { answer_once(connection, first); });
    CHECK(calling.ask(upstream.port()).body == "ok");
    first = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    CHECK(calling.ask(upstream.port()).body == "own");
    CHECK(upstream.accepted() == 2);
}

TEST_CASE("a client tells a whole answer from a broken one")
{
    calling_client calling;
    SUBCASE("without a length, the end of the connection ends the body")
    {
        raw_server upstream([](raw_connection& connection) {
            answer_once(connection, "HTTP/1.1 200 OK\r\n\r\nall of it");
        });
        const outcome got = calling.ask(upstream.port());
        CHECK(got.complete);
        CHECK(got.body == "all of it");
    }
    SUBCASE("without a length, a reset does not")
    {
        raw_server upstream([](raw_connection& connection) {
            answer_once(connection, "HTTP/1.1 200 OK\r\n\r\nsome");
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
            connection.reset();
        });
        const outcome got = calling.ask(upstream.port());
        CHECK_FALSE(got.complete);
        CHECK(got.failure == outbound_failure::connection_lost);
    }
    SUBCASE("fewer bytes than stated")
    {
        raw_server upstream([](raw_connection& connection) {
            answer_once(connection, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour");
        });
        CHECK(calling.ask(upstream.port()).failure == outbound_failure::connection_lost);
    }
    SUBCASE("chunks without their end")
    {
        raw_server upstream([](raw_connection& connection) {
            answer_once(connection,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n");
        });
        CHECK(calling.ask(upstream.port()).failure == outbound_failure::connection_lost);
    }
    SUBCASE("bytes that are no answer")
    {
        raw_server upstream([](raw_connection& connection) {
            answer_once(connection, "\x01\x02 rubbish\r\n\r\n");
        });
        CHECK(calling.ask(upstream.port()).failure == outbound_failure::malformed);
    }
    SUBCASE("an announcement goes before the answer and is none")
    {
        raw_server upstream([](raw_connection& connection) {
            answer_once(connection, "HTTP/1.1 100 Continue\r\n\r\n"
                                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
        const outcome got = calling.ask(upstream.port());
        CHECK(got.complete);
        CHECK(got.head->status == 200);
    }
}

TEST_CASE("a client proves that nothing was sent only when nothing was")
{
    calling_client calling;
    SUBCASE("nobody listens")
    {
        std::uint16_t free_port = 0;
        {
            raw_server gone([](raw_connection&) {});
            free_port = gone.port();
        }
        CHECK(calling.ask(free_port).failure == outbound_failure::not_sent);
    }
    SUBCASE("the upstream closes at once after it accepted")
    {
        raw_server upstream([](raw_connection& connection) { connection.reset(); });
        const outcome got = calling.ask(upstream.port());
        CHECK(got.failure.has_value());
    }
    SUBCASE("a kept connection that was closed before the next request is not used for it")
    {
        std::atomic<bool> closed{false};
        raw_server upstream([&](raw_connection& connection) {
            answer_once(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            if (!closed)
                connection.reset();
            closed = true;
        });
        CHECK(calling.ask(upstream.port()).complete);
        // The loop stands still meanwhile, as it does while it handles something else.
        while (!closed)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        CHECK(calling.ask(upstream.port()).complete);
        CHECK(upstream.accepted() == 2);
    }
    SUBCASE("a kept connection is closed as the next request is written")
    {
        raw_server upstream([](raw_connection& connection) {
            answer_once(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            static_cast<void>(connection.receive_until("\r\n\r\n"));
        });
        CHECK(calling.ask(upstream.port()).complete);
        CHECK(calling.ask(upstream.port()).failure == outbound_failure::connection_lost);
    }
}

TEST_CASE("a client that gives up closes the connection at once")
{
    calling_client calling;
    std::atomic<bool> closed{false};
    raw_server upstream([&](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        static_cast<void>(connection.receive_all());
        closed = true;
    });
    outcome got;
    const outbound_exchange exchange = calling.start(got, upstream.port());
    static_cast<void>(run_until(
        calling.on, [] { return false; }, std::chrono::milliseconds(50)));
    calling.client.cancel(exchange);
    CHECK(run_until(
        calling.on, [&] { return closed.load(); }, std::chrono::milliseconds(500)));
    CHECK_FALSE(got.over());
}

// Guards against a crash and a response that only looks complete: a request that moves to another
// upstream would get the end of the earlier one's response.
TEST_CASE("a cancelled exchange is not told complete, although its last byte came in this turn")
{
    calling_client calling;
    raw_server upstream([](raw_connection& connection) {
        for (int count = 0; count < 2; ++count)
            answer_once(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    outcome got;
    outbound_exchange exchange = 0;
    outbound_request request;
    request.to = {"127.0.0.1", upstream.port()};
    request.identity = "upstream-1";
    request.method = "GET";
    request.target = "/x";
    request.headers = {{"Host", "h"}};
    outbound_handlers handlers;
    handlers.head = [&](status_line_and_headers&& head) { got.head = std::move(head); };
    handlers.body = [&](std::string_view bytes) {
        got.body += bytes;
        run_after_turn(calling.on, [&] { calling.client.cancel(exchange); });
    };
    handlers.complete = [&] { got.complete = true; };
    handlers.failed = [&](outbound_failure why) { got.failure = why; };
    exchange = calling.client.start(std::move(request), std::move(handlers));
    REQUIRE(run_until(calling.on, [&] { return !got.body.empty(); }));
    static_cast<void>(run_until(
        calling.on, [] { return false; }, std::chrono::milliseconds(50)));
    CHECK_FALSE(got.over());
    CHECK(calling.ask(upstream.port()).complete);
}

// Guards against a part of an answer that counts as all of it: the failed write took the reset from
// the socket, so the read after it met the end of a connection that seemed closed in order.
TEST_CASE("an answer that comes while a long body is written ends as its connection ends")
{
    constexpr std::chrono::milliseconds time_to_read{50};
    calling_client calling;
    std::string answer = "HTTP/1.1 200 OK\r\n\r\nsome";
    std::function<void(raw_connection&)> end;
    bool is_whole = false;
    SUBCASE("a reset leaves it a part")
    {
        end = [&](raw_connection& connection) {
            std::this_thread::sleep_for(time_to_read);
            connection.reset();
        };
    }
    SUBCASE("a reset that comes with the answer leaves it a part")
    {
        end = [](raw_connection& connection) { connection.reset(); };
    }
    SUBCASE("a connection closed with bytes of the body unread is reset as well")
    {
        end = [&](raw_connection&) { std::this_thread::sleep_for(time_to_read); };
    }
    SUBCASE("the end of the upstream's side makes it whole, though its reset follows")
    {
        is_whole = true;
        end = [&](raw_connection& connection) {
            connection.end_sending();
            std::this_thread::sleep_for(time_to_read);
            connection.reset();
        };
    }
    SUBCASE("one with a length is whole with its last byte, though a reset follows")
    {
        is_whole = true;
        answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsome";
        end = [&](raw_connection& connection) {
            std::this_thread::sleep_for(time_to_read);
            connection.reset();
        };
    }
    raw_server upstream([&](raw_connection& connection) {
        answer_once(connection, answer);
        end(connection);
    });
    const outcome got = calling.ask(upstream.port(), std::string(32U << 20U, 'b'));
    CHECK(got.complete == is_whole);
    if (is_whole)
        CHECK(got.body == "some");
    else
        CHECK(got.failure == outbound_failure::connection_lost);
}

TEST_CASE("an answer that comes before a long body was read leaves no connection behind")
{
    calling_client calling;
    raw_server upstream([](raw_connection& connection) {
        answer_once(connection, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    });
    const outcome got = calling.ask(upstream.port(), std::string(32U << 20U, 'b'));
    CHECK(got.over());
    CHECK(calling.ask(upstream.port()).head->status == 503);
    CHECK(upstream.accepted() == 2);
}

} // namespace ragwortcove::http::test
