#include "loopback.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::http::test {

static const std::string whole_answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

TEST_CASE("a client says truly what may have reached a failing upstream")
{
    loop on;
    client calling(on, {});
    heard first;
    heard second;

    SUBCASE("a kept connection that closes before any byte of the answer is never sent again")
    {
        std::atomic<int> heads{0};
        raw_server upstream([&](raw_connection& connection) {
            if (connection.receive_until("\r\n\r\n").empty())
                return;
            ++heads;
            connection.send(whole_answer);
            if (connection.receive_until("\r\n\r\n").empty())
                return;
            ++heads;
        });
        calling.start(request_to(upstream.port(), "GET", "/1"), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return first.over(); }));
        CHECK(first.body == "ok");
        calling.start(request_to(upstream.port(), "GET", "/2"), handlers_into(second, [] {}));
        REQUIRE(run_until(on, [&] { return second.over(); }));
        CHECK(second.error == client_error::connection_lost);
        CHECK(heads == 2);
        CHECK(upstream.accepted() == 1);
    }

    SUBCASE("a fresh connection is asked for")
    {
        raw_server upstream([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send(whole_answer);
        });
        for (heard* each : {&first, &second}) {
            auto wanted = request_to(upstream.port(), "GET", "/");
            wanted.fresh_connection = true;
            calling.start(std::move(wanted), handlers_into(*each, [] {}));
            REQUIRE(run_until(on, [&] { return each->over(); }));
            CHECK(each->body == "ok");
        }
        CHECK(upstream.accepted() == 2);
    }

    SUBCASE("an upstream that stays silent")
    {
        std::string request_head;
        raw_server upstream([&](raw_connection& connection) {
            request_head = connection.receive_until("\r\n\r\n");
            static_cast<void>(connection.receive_all());
        });
        auto wanted = request_to(upstream.port(), "GET", "/");
        wanted.idle_limit = std::chrono::milliseconds(50);
        calling.start(std::move(wanted), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return first.over(); }));
        CHECK(first.error == client_error::silent);
    }

    SUBCASE("an upstream that goes silent in the middle of a body")
    {
        raw_server upstream([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
            static_cast<void>(connection.receive_all());
        });
        auto wanted = request_to(upstream.port(), "GET", "/");
        wanted.idle_limit = std::chrono::milliseconds(50);
        calling.start(std::move(wanted), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return first.over(); }));
        CHECK(first.error == client_error::silent);
        CHECK(first.body == "half");
    }

    SUBCASE("an answer shorter than its length")
    {
        raw_server upstream([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
        });
        calling.start(request_to(upstream.port(), "GET", "/"), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return first.over(); }));
        CHECK(first.error == client_error::connection_lost);
        CHECK(first.body == "half");
    }

    SUBCASE("an answer without length or end marker")
    {
        raw_server upstream([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nsome");
        });
        calling.start(request_to(upstream.port(), "GET", "/"), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return first.over(); }));
        CHECK(first.error == client_error::connection_lost);
    }

    SUBCASE("an answer with a status that is no number")
    {
        raw_server upstream([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send("HTTP/1.1 no-number\r\n\r\n");
        });
        calling.start(request_to(upstream.port(), "GET", "/"), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return first.over(); }));
        CHECK_FALSE(first.ended);
        CHECK(first.error == client_error::malformed);
    }

    SUBCASE("a redirect is handed on and not followed")
    {
        raw_server upstream([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send("HTTP/1.1 302 Found\r\nlocation: /x\r\ncontent-length: 0\r\n\r\n");
        });
        calling.start(request_to(upstream.port(), "GET", "/"), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return first.over(); }));
        CHECK(first.ended);
        CHECK(first.head.status == 302);
        CHECK(upstream.accepted() == 1);
    }

    SUBCASE("an answer without a body by its status")
    {
        raw_server upstream([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send("HTTP/1.1 204 No Content\r\n\r\n");
            static_cast<void>(connection.receive_all());
        });
        calling.start(request_to(upstream.port(), "POST", "/"), handlers_into(first, [] {}));
        REQUIRE(run_until(
            on, [&] { return first.over(); }, std::chrono::seconds(5)));
        CHECK(first.ended);
        CHECK(first.head.status == 204);
    }

    SUBCASE("a cancelled exchange hears nothing more, and its connection closes")
    {
        std::atomic<bool> gone{false};
        raw_server upstream([&](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
            static_cast<void>(connection.receive_all());
            gone = true;
        });
        const client_exchange started =
            calling.start(request_to(upstream.port(), "GET", "/"), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return first.body == "half"; }));
        calling.cancel(started);
        calling.cancel(started);
        REQUIRE(run_until(on, [&] { return gone.load(); }));
        CHECK_FALSE(first.over());
    }
}

/// What a client hears of an upstream that sends these bytes to each request and closes in order.
static heard ask_upstream_that_sends(const std::string& bytes)
{
    loop on;
    client calling(on, {});
    heard result;
    raw_server upstream([&](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        connection.send(bytes);
    });
    calling.start(request_to(upstream.port(), "GET", "/"), handlers_into(result, [] {}));
    REQUIRE(run_until(on, [&] { return result.over(); }));
    return result;
}

// Guards against answers that callers take for an upstream's: a line of the head that hides how the
// body is framed leaves the bytes of the frame in the body.
TEST_CASE("an answer with a head that is not HTTP is none")
{
    const std::string length = "content-length: 8\r\n";
    const std::string framed = "\r\n3\r\nown\r\n";
    std::vector<std::string> heads;
    SUBCASE("a field whose name holds a blank or a control byte")
    {
        for (const std::string line :
             {"X Odd: 1", "X-Odd : 1", "X-Odd\t: 1", "X\x01Odd: 1", "\x02: 1", "X-Odd\x7f: 1",
              "content-type : text/html", "content length: 3", "transfer-encoding : chunked",
              "transfer-encoding\t: chunked", "transfer-encoding\x01: chunked", " : 1", "no colon"})
            heads.push_back(join({"200 OK\r\n", line, "\r\n", length}));
    }
    SUBCASE("a status below those of HTTP, or one that is not three digits")
    {
        for (const std::string status : {"000", "007", "099", "0200", "200x", "20", " 200"})
            heads.push_back(join({status, " Odd\r\n", length}));
    }
    SUBCASE("a control byte in a value or in the status line")
    {
        heads = {"200 O\x01K\r\n" + length, "200 OK\r\nx-odd: \x01\r\n" + length};
    }
    SUBCASE("lengths that are none, or that differ")
    {
        heads = {"200 OK\r\ncontent-length: 8x\r\n", "200 OK\r\ncontent-length: -8\r\n",
                 "200 OK\r\ncontent-length: 3\r\n" + length};
    }
    for (const std::string& head : heads) {
        CAPTURE(head);
        const heard got = ask_upstream_that_sends(join({"HTTP/1.1 ", head, framed}));
        CHECK_FALSE(got.ended);
        CHECK(got.error == client_error::malformed);
        CHECK(got.head.headers.empty());
        CHECK(got.body.empty());
    }
}

TEST_CASE("what HTTP allows beside an answer leaves it whole")
{
    heard got;
    SUBCASE("announcements before it")
    {
        got = ask_upstream_that_sends("HTTP/1.1 100 Continue\r\n\r\n"
                                      "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" +
                                      whole_answer);
    }
    SUBCASE("a trailer after it")
    {
        got = ask_upstream_that_sends("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                                      "2\r\nok\r\n0\r\nx-sum: 7\r\n\r\n");
    }
    SUBCASE("fields with names of all signs that a token may have")
    {
        got = ask_upstream_that_sends("HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9: x\r\n"
                                      "content-length: 2\r\n\r\nok");
    }
    SUBCASE("no reason, and values with blanks around them")
    {
        got = ask_upstream_that_sends("HTTP/1.1 200 \r\ncontent-length: \t2 \r\n\r\nok");
    }
    CHECK(got.ended);
    CHECK(got.head.status == 200);
    CHECK(got.body == "ok");
}

TEST_CASE("an early answer without a length is no whole one when its connection is reset")
{
    loop on;
    client calling(on, {});
    heard got;
    raw_server upstream([](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        connection.send("HTTP/1.1 200 OK\r\n\r\nsome");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        connection.reset();
    });
    calling.start(request_to(upstream.port(), "POST", "/", std::string(8U << 20U, 'b')),
                  handlers_into(got, [] {}));
    REQUIRE(run_until(on, [&] { return got.over(); }));
    CHECK_FALSE(got.ended);
    CHECK(got.error == client_error::connection_lost);
}

TEST_CASE("an early answer with a length is whole, and its connection is not used again")
{
    loop on;
    client calling(on, {});
    std::vector<heard> answers(2);
    raw_server upstream([](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        connection.send(whole_answer);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    });
    for (heard& each : answers) {
        calling.start(request_to(upstream.port(), "POST", "/", std::string(8U << 20U, 'b')),
                      handlers_into(each, [] {}));
        REQUIRE(run_until(on, [&] { return each.over(); }));
        CHECK(each.body == "ok");
    }
    CHECK(upstream.accepted() == 2);
}

TEST_CASE("bytes after an answer belong to no exchange")
{
    loop on;
    client calling(on, {});
    std::vector<heard> answers(2);
    const std::string extra = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra";
    std::chrono::milliseconds pause{0};
    SUBCASE("with it") {}
    SUBCASE("while the connection is kept")
    {
        pause = std::chrono::milliseconds{20};
    }
    raw_server upstream([&](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        connection.send(whole_answer);
        std::this_thread::sleep_for(pause);
        connection.send(extra);
        static_cast<void>(connection.receive_until("\r\n\r\n"));
    });
    for (heard& each : answers) {
        calling.start(request_to(upstream.port(), "GET", "/"), handlers_into(each, [] {}));
        REQUIRE(run_until(on, [&] { return each.over(); }));
        CHECK(each.body == "ok");
        static_cast<void>(run_until(
            on, [] { return false; }, std::chrono::milliseconds(50)));
    }
    CHECK(upstream.accepted() == 2);
}

TEST_CASE("more exchanges than pooled connections are served beside long streams")
{
    loop on;
    std::vector<server_exchange> streams;
    server serving(
        on, {},
        [&](server_exchange exchange, request&& message) {
            if (message.path == "/short") {
                serving.respond(exchange, 200, "text/plain", "ok");
                return;
            }
            serving.start_response(exchange, {200, {}, {}});
            serving.write(exchange, "begun");
            streams.push_back(exchange);
        },
        [](server_exchange) {});
    client_settings settings;
    settings.pool_size = 2;
    client calling(on, settings);
    std::vector<heard> longs(5);
    for (heard& each : longs)
        calling.start(request_to(serving.port(), "GET", "/stream"), handlers_into(each, [] {}));
    REQUIRE(run_until(on, [&] { return streams.size() == longs.size(); }));
    heard quick;
    calling.start(request_to(serving.port(), "GET", "/short"), handlers_into(quick, [] {}));
    REQUIRE(run_until(on, [&] { return quick.over(); }));
    CHECK(quick.body == "ok");
    for (const server_exchange exchange : streams)
        serving.finish(exchange);
    for (const heard& each : longs) {
        REQUIRE(run_until(on, [&] { return each.over(); }));
        CHECK(each.ended);
        CHECK(each.body == "begun");
    }
}

TEST_CASE("a client ends while exchanges are open")
{
    loop on;
    int closed = 0;
    bool arrived = false;
    heard first;
    server serving(
        on, {}, [&](server_exchange, request&&) { arrived = true; },
        [&](server_exchange) { ++closed; });
    {
        client calling(on, {});
        calling.start(request_to(serving.port(), "GET", "/"), handlers_into(first, [] {}));
        REQUIRE(run_until(on, [&] { return arrived; }));
    }
    REQUIRE(run_until(on, [&] { return closed == 1; }));
    CHECK_FALSE(first.over());
}

} // namespace ragwortcove::http::test
