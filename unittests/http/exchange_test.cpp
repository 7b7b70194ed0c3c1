#include "loopback.hpp"

#include <doctest/doctest.h>

#include <map>

namespace ragwortcove::http::test {

TEST_CASE("a client and a server exchange messages on one loop")
{
    loop on;
    std::map<server_exchange, request> requests;
    std::vector<server_exchange> closed;
    std::function<void(server_exchange, const request&)> answer;
    server serving(
        on, {},
        [&](server_exchange exchange, request&& message) {
            requests[exchange] = message;
            answer(exchange, message);
        },
        [&](server_exchange exchange) { closed.push_back(exchange); });
    REQUIRE(serving.listening());
    client calling(on, {});
    heard first;

    SUBCASE("a body goes there and back whole")
    {
        answer = [&](server_exchange exchange, const request& message) {
            serving.respond(exchange, 201, "text/plain", message.body, {{"etag", "7"}});
        };
        const std::string body(300000, 'b');
        auto wanted = request_to(serving.port(), "POST", "/things", body);
        wanted.message.query = "route=chat%2Fshort&limit=3";
        wanted.message.headers = {{"idempotency-key", "key-1"}, {"content-type", "text/plain"}};
        calling.start(std::move(wanted), handlers_into(first, [&] { on.stop(); }));
        on.run();
        REQUIRE(first.ended);
        CHECK(first.head.status == 201);
        CHECK(first.body == body);
        CHECK(find_header(first.head.headers, "etag") == "7");
        REQUIRE(requests.size() == 1);
        const request& seen = requests.begin()->second;
        CHECK(seen.method == "POST");
        CHECK(seen.path == "/things");
        CHECK(find_query_value(seen.query, "route") == "chat/short");
        CHECK(find_query_value(seen.query, "limit") == "3");
        CHECK(find_query_value(seen.query, "none") == std::nullopt);
        CHECK(find_header(seen.headers, "idempotency-key") == "key-1");
    }

    SUBCASE("a stream arrives part by part")
    {
        answer = [&](server_exchange exchange, const request&) {
            serving.start_response(exchange, {200, {{"content-type", "text/event-stream"}}, {}});
            serving.write(exchange, "data: 1\n\n");
            on.after(std::chrono::milliseconds(20), [&, exchange] {
                serving.write(exchange, "data: 2\n\n");
                serving.finish(exchange);
            });
        };
        calling.start(request_to(serving.port(), "GET", "/stream"),
                      handlers_into(first, [&] { on.stop(); }));
        on.run();
        REQUIRE(first.ended);
        CHECK(first.body == "data: 1\n\ndata: 2\n\n");
        CHECK(first.parts.size() >= 2);
    }

    SUBCASE("an empty stream is whole")
    {
        answer = [&](server_exchange exchange, const request&) {
            serving.start_response(exchange, {200, {}, {}});
            serving.finish(exchange);
        };
        calling.start(request_to(serving.port(), "GET", "/empty"),
                      handlers_into(first, [&] { on.stop(); }));
        on.run();
        CHECK(first.ended);
        CHECK(first.body.empty());
    }

    SUBCASE("a stream whose end marker comes by itself is whole")
    {
        answer = [&](server_exchange exchange, const request&) {
            serving.start_response(exchange, {200, {}, {}});
            serving.write(exchange, "all");
            on.after(std::chrono::milliseconds(20), [&, exchange] { serving.finish(exchange); });
        };
        calling.start(request_to(serving.port(), "GET", "/late-end"),
                      handlers_into(first, [&] { on.stop(); }));
        on.run();
        CHECK(first.ended);
        CHECK(first.body == "all");
    }

    SUBCASE("a cut stream is not reported whole")
    {
        answer = [&](server_exchange exchange, const request&) {
            serving.start_response(exchange, {200, {}, {}});
            serving.write(exchange, "half");
            on.after(std::chrono::milliseconds(20), [&, exchange] { serving.abort(exchange); });
        };
        calling.start(request_to(serving.port(), "GET", "/stream"),
                      handlers_into(first, [&] { on.stop(); }));
        on.run();
        CHECK_FALSE(first.ended);
        CHECK(first.error == client_error::connection_lost);
        CHECK(first.body == "half");
    }

    SUBCASE("a hundred requests in turn and at once are each answered with their own path")
    {
        answer = [&](server_exchange exchange, const request& message) {
            serving.respond(exchange, 200, "text/plain", message.path);
        };
        std::vector<heard> all(200);
        std::size_t over = 0;
        for (std::size_t index = 0; index < all.size(); ++index) {
            on.after(std::chrono::microseconds(index * 50), [&, index] {
                calling.start(request_to(serving.port(), index % 2 == 0 ? "GET" : "POST",
                                         "/" + std::to_string(index), index % 2 == 0 ? "" : "body"),
                              handlers_into(all[index], [&] { ++over; }));
            });
        }
        REQUIRE(run_until(on, [&] { return over == all.size(); }));
        for (std::size_t index = 0; index < all.size(); ++index)
            CHECK(all[index].body == "/" + std::to_string(index));
    }

    SUBCASE("a refused connection proves that nothing was sent")
    {
        calling.start(request_to(1, "POST", "/", "body"), handlers_into(first, [&] { on.stop(); }));
        on.run();
        CHECK(first.error == client_error::not_sent);
    }
}

} // namespace ragwortcove::http::test
