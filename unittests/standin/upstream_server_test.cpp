#include "../http/loopback.hpp"
#include "ragwortcove/standin/engine_server.hpp"
#include "ragwortcove/standin/service_server.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using http::test::heard;

/// Sends one request and waits for the end of its response.
static heard exchange(http::loop& loop, http::client& client, http::client_request&& request)
{
    heard into;
    client.start(std::move(request), http::test::handlers_into(into, [] {}));
    REQUIRE(http::test::run_until(loop, [&] { return into.over(); }));
    return into;
}

static std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

TEST_CASE("an engine is served over HTTP")
{
    http::loop loop;
    standin::engine_server_settings settings;
    settings.engine.speed = {1e6, std::chrono::milliseconds{2}, std::chrono::microseconds{10}};
    standin::engine_server server(loop, settings);
    REQUIRE(server.listening());
    http::client client(loop, {});
    const auto post = [&](const std::string& path, const std::string& body) {
        return http::test::request_to(server.port(), "POST", path, body);
    };
    const auto chat = [&](const std::string& id) {
        auto request = post("/v1/chat/completions",
                            R"({"messages":[{"role":"user","content":"hello"}],"max_tokens":5})");
        request.message.headers.push_back({"x-request-id", id});
        return request;
    };

    SUBCASE("a chat streams a chunk a token, the usage and the end marker")
    {
        const heard answer = exchange(loop, client, chat("a"));
        CHECK(answer.head.status == 200);
        CHECK(count_of(answer.body, "\"content\"") == 5);
        CHECK(count_of(answer.body, "\"completion_tokens\":5") == 1);
        CHECK(answer.body.ends_with("data: [DONE]\n\n"));

        SUBCASE("and can be resumed at an offset")
        {
            const heard rest =
                exchange(loop, client, post("/v1/resume", R"({"request_id":"a","offset":3})"));
            CHECK(count_of(rest.body, "\"content\"") == 2);
            CHECK(count_of(rest.body, "\"completion_tokens\":5") == 1);
        }
        SUBCASE("and is counted once")
        {
            const heard counts =
                exchange(loop, client, http::test::request_to(server.port(), "GET", "/counts"));
            CHECK(count_of(counts.body, "\"a\":1") == 1);
        }
    }
    SUBCASE("an unknown request cannot be resumed")
    {
        const heard answer =
            exchange(loop, client, post("/v1/resume", R"({"request_id":"b","offset":0})"));
        CHECK(answer.head.status == 404);
    }
    SUBCASE("a refusal says that nothing ran")
    {
        exchange(loop, client, post("/fault", R"({"kind":"refusing"})"));
        const heard answer = exchange(loop, client, chat("c"));
        CHECK(answer.head.status == 503);
        CHECK(http::find_header(answer.head.headers, "x-not-run") == "true");
    }
    SUBCASE("a body that is no JSON is refused")
    {
        CHECK(exchange(loop, client, post("/v1/chat/completions", "{")).head.status == 400);
    }
    SUBCASE("an error in the middle has no end marker")
    {
        exchange(loop, client, post("/fault", R"({"kind":"failing","rate":1.0})"));
        const heard answer = exchange(loop, client, chat("d"));
        CHECK(count_of(answer.body, "\"error\"") == 1);
        CHECK(count_of(answer.body, "[DONE]") == 0);
    }
}

TEST_CASE("a service is served over HTTP")
{
    http::loop loop;
    standin::service_server server(loop, {});
    REQUIRE(server.listening());
    http::client client(loop, {});
    auto admission = http::test::request_to(server.port(), "POST", "/admissions", "{}");
    admission.message.headers.push_back({"idempotency-key", "k1"});

    SUBCASE("any path answers and its key is counted")
    {
        CHECK(exchange(loop, client, http::client_request{admission}).head.status == 200);
        const heard counts =
            exchange(loop, client, http::test::request_to(server.port(), "GET", "/counts"));
        CHECK(count_of(counts.body, "\"k1\":1") == 1);
    }
    SUBCASE("an answer can be lost after the call ran")
    {
        exchange(loop, client,
                 http::test::request_to(server.port(), "POST", "/fault",
                                        R"({"kind":"rates","lost_answer_rate":1.0})"));
        CHECK(exchange(loop, client, http::client_request{admission}).error ==
              http::client_error::connection_lost);
        const heard counts =
            exchange(loop, client, http::test::request_to(server.port(), "GET", "/counts"));
        CHECK(count_of(counts.body, "\"k1\":1") == 1);
    }
}
