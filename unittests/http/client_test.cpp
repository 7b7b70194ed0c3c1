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
