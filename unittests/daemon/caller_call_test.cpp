#include "ragwortcove/daemon/caller_call.hpp"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::daemon;

static http::request make_message(std::string method, std::string path)
{
    http::request message;
    message.method = std::move(method);
    message.path = std::move(path);
    return message;
}

static problem problem_of(http::request message)
{
    const caller_call call = parse_caller_call(std::move(message));
    REQUIRE(std::holds_alternative<problem>(call));
    return std::get<problem>(call);
}

TEST_CASE("a service call names a route and is passed on")
{
    http::request message = make_message("POST", "/v1/services/admission/members/17");
    message.query = "lounge=a";
    message.headers = {{"x-team", "front-desk"},
                       {"idempotency-key", "k1"},
                       {"x-timeout-ms", "250"},
                       {"content-type", "text/plain"}};
    message.body = "admit";
    const caller_call call = parse_caller_call(std::move(message));
    REQUIRE(std::holds_alternative<service_call>(call));
    const auto& service = std::get<service_call>(call);
    CHECK(service.request.route.value == "admission");
    CHECK(service.request.team.value == "front-desk");
    CHECK(service.request.key->text == "k1");
    CHECK(service.request.timeout == std::chrono::milliseconds{250});
    CHECK_FALSE(service.request.safe_method);
    CHECK(service.target == "/members/17?lounge=a");
    CHECK(service.body == "admit");
}

// Guards against a service that gets another path than the caller sent, or a request that is none.
TEST_CASE("a service call's path is passed on with its escapes")
{
    // The server has decoded it.
    const caller_call parsed =
        parse_caller_call(make_message("GET", "/v1/services/lookup/a b/c?d#e%/f:g"));
    REQUIRE(std::holds_alternative<service_call>(parsed));
    CHECK(std::get<service_call>(parsed).target == "/a%20b/c%3Fd%23e%25/f:g");
}

TEST_CASE("a call that cannot be served gets the right problem")
{
    SUBCASE("a path that does not exist")
    {
        CHECK(problem_of(make_message("GET", "/v2/nothing")).status == 404);
        CHECK(problem_of(make_message("GET", "/v1/services/admission")).status == 404);
    }
    SUBCASE("a method that a path does not take")
    {
        const problem wrong = problem_of(make_message("DELETE", "/v1/chat/completions"));
        CHECK(wrong.status == 405);
        CHECK(wrong.allowed_methods == "POST");
        CHECK(problem_of(make_message("PUT", "/v1/services/a/b")).allowed_methods == "GET, POST");
    }
    SUBCASE("a header out of range")
    {
        http::request message = make_message("GET", "/v1/services/a/b");
        message.headers = {{"x-timeout-ms", "0"}};
        CHECK(problem_of(std::move(message)).status == 400);
    }
    SUBCASE("an address question without a route")
    {
        CHECK(problem_of(make_message("GET", "/v1/addresses")).status == 400);
    }
    SUBCASE("a problem says that nothing ran")
    {
        const problem wrong = problem_of(make_message("GET", "/v2/nothing"));
        const boost::json::value body = boost::json::parse(render_problem(wrong, "1-2"));
        CHECK(body.at("verdict").as_string() == "not_run");
        CHECK(body.at("reason").as_string() == "bad_request");
        CHECK(body.at("request_id").as_string() == "1-2");
    }
}

TEST_CASE("a refusal says when to ask again")
{
    const problem value = make_problem({core::verdict::not_run, core::refusal_reason::overloaded,
                                        std::chrono::milliseconds{1200}});
    CHECK(value.status == 429);
    const std::vector<http::header> headers = problem_headers(value, "1-2");
    CHECK(http::find_header(headers, "retry-after") == "2");
    CHECK(http::find_header(headers, "x-request-id") == "1-2");
    const boost::json::value body = boost::json::parse(render_problem(value, "1-2"));
    CHECK(body.at("retry_after_ms").as_int64() == 1200);
}
