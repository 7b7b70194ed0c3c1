#include "platform/headers.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::adapter {

static http::request_line_and_headers make_request()
{
    http::request_line_and_headers head;
    head.method = "POST";
    head.target = "/a/b?c=d";
    head.headers = {
        {"host", "h.example:8080"},    {"x-attempt-id", "9c41"},
        {"X-Token-Count", "1460, 80"}, {"X-Prefix-Hash", "5c1e07a2:800, 91bd3f06:410,zz:1,e4"},
        {"X-Deadline-Ms", "15000"},    {"Authorization", "Bearer  k1"},
        {"X-Length-Hint", "40"},       {"X-Custom", "kept"}};
    return head;
}

TEST_CASE("a caller's headers are read")
{
    const caller_call call = read_call(make_request());
    CHECK(call.host == "h.example");
    CHECK(call.path == "/a/b");
    CHECK(call.attempt == "9c41");
    CHECK(call.prompt_tokens == 1460U);
    CHECK(call.max_output_tokens == 80U);
    CHECK(call.expected_output_tokens == 40U);
    CHECK(call.time_left == std::chrono::seconds(15));
    CHECK(call.key == "k1");
    // One that cannot be read keeps its place: what comes last is the request's own.
    REQUIRE(call.parts.size() == 4);
    CHECK(call.parts[2].id != call.parts[3].id);
    CHECK(call.parts[2].tokens == 1);
    CHECK(call.parts[3] == core::prompt_part{0xe4, 0});
    CHECK(call.parts[0] == core::prompt_part{0x5c1e07a2, 800});
    CHECK(read_call({}).attempt.empty());
}

TEST_CASE(
    "an upstream receives the caller's headers, with the system's values in place of forged ones")
{
    http::request_line_and_headers head = make_request();
    for (const char* forged : {"X-Tenant", "X-Expect-Instance", "X-Hold", "X-Pin-Ms", "X-Kv-Backup",
                               "Kv-From", "Kv-Fetch", "X-Expect-Version"})
        head.headers.push_back({forged, "forged"});
    head.headers.push_back({"Connection", "keep-alive, X-Hop"});
    head.headers.push_back({"X-Hop", "1"});
    head.headers.push_back({"Transfer-Encoding", "chunked"});
    dispatch_facts facts;
    facts.upstream.value = "i-1";
    facts.team = core::team_name{"team"};
    facts.time_left = std::chrono::milliseconds(700);
    const auto sent = make_upstream_headers(head, facts);
    const auto value = [&](std::string_view name) {
        return http::find_any_case(sent, name).value_or("none");
    };
    for (const http::header& each : sent)
        CHECK(each.value != "forged");
    CHECK(value("X-Tenant") == "team");
    CHECK(value("X-Expect-Instance") == "i-1");
    CHECK(value("X-Deadline-Ms") == "700");
    CHECK(value("X-Attempt-Id") == "9c41");
    CHECK(value("X-Custom") == "kept");
    CHECK(value("Host") == "h.example:8080");
    CHECK(value("Authorization") == "none");
    CHECK(value("X-Hop") == "none");
    CHECK(value("Connection") == "none");
    CHECK(value("Transfer-Encoding") == "none");
    CHECK(value("Last-Event-Id") == "none");

    SUBCASE("a resumed stream states its last event, whatever the caller stated")
    {
        head.headers.push_back({"Last-Event-Id", "2"});
        facts.resume_after = 17;
        const auto resumed = make_upstream_headers(head, facts);
        CHECK(http::find_any_case(resumed, "Last-Event-Id") == "17");
    }
    SUBCASE("the last event of a caller that resumes by itself is forwarded")
    {
        head.headers.push_back({"Last-Event-Id", "2"});
        CHECK(http::find_any_case(make_upstream_headers(head, facts), "Last-Event-Id") == "2");
    }
}

TEST_CASE("a response's headers state its signature, attempt and encoding")
{
    http::status_line_and_headers head;
    head.status = 200;
    CHECK_FALSE(read_response_headers(head, "9c41").is_signed);
    head.headers = {{"X-Server-Signature", "s"},
                    {"X-Attempt-Id", "9c41"},
                    {"Connection", "close"},
                    {"Content-Length", "3"},
                    {"X-More", "1"}};
    const response_facts signed_facts = read_response_headers(head, "9c41");
    CHECK(signed_facts.is_signed);
    CHECK(signed_facts.is_for_attempt);
    CHECK_FALSE(signed_facts.not_run);
    CHECK_FALSE(read_response_headers(head, "other").is_for_attempt);
    const auto forwarded = make_caller_headers(head);
    CHECK(forwarded.size() == 3);
    head.status = 421;
    CHECK(read_response_headers(head, "9c41").wrong_upstream);
    CHECK(read_response_headers(head, "9c41").not_run);
    head.status = 503;
    head.headers.push_back({"x-not-executed", "1"});
    head.headers.push_back({"Content-Encoding", "gzip"});
    CHECK(read_response_headers(head, "9c41").not_run);
    CHECK_FALSE(read_response_headers(head, "other").not_run);
    CHECK(read_response_headers(head, "9c41").has_content_encoding);
}

TEST_CASE("retry delays, event numbers and addresses are formatted and parsed")
{
    CHECK(make_retry_header(std::chrono::milliseconds(1250)).value == "1.250");
    CHECK(make_retry_header(std::chrono::milliseconds(7)).value == "0.007");
    CHECK(read_event_number("id: 17\ndata: x\n\n") == 17U);
    CHECK(read_event_number("x-weight-versions: 3\nid:18\r\ndata: x\r\n\r\n") == 18U);
    CHECK_FALSE(read_event_number("data: id: 4\n\n").has_value());
    CHECK(is_address_query("/resolve?name=x&zone=a"));
    CHECK_FALSE(is_address_query("/resolved"));
    CHECK(caller_failure_domain("/resolve?name=x&zone=a-b") == "a-b");
    CHECK(write_address_response({{"10.0.0.1", 80}}, std::chrono::seconds(2)) ==
          R"({"addrs":["10.0.0.1:80"],"ttl_s":2E0})");
}

} // namespace ragwortcove::adapter
