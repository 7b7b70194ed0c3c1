#include "platform/rules.hpp"
#include "platform/store_document.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::adapter {

static constexpr std::string_view page = R"({"entries":[
  {"meta":{"name":"i-1","revision":8},"spec":{"service":"lm","addr":"10.1.0.9:80","zone":"a",
   "version":"v1","slots":10,"state":"ready","born":1700000000123,"seq":4,"odd":[1]}},
  {"meta":{"name":"i-2","revision":9},"spec":{"service":"lm","addr":"10.1.0.8:80","zone":"b",
   "version":"v1","slots":10,"state":"draining"}},
  {"meta":{"revision":9},"spec":{}},
  {"meta":{"name":"i-3","revision":9},"spec":{"service":"lm","addr":17,"zone":"b","version":"v1",
   "state":"ready"}},
  {"meta":{"name":"i-4","revision":9},"spec":{"service":"lm","addr":"10.1.0.8:80","zone":"b",
   "version":"v1","state":"sleeping"}},
  {"meta":{"name":"i-5","revision":9},"spec":"rubbish"}],
  "has_more":true,"current_rev":12})";

TEST_CASE("a page of the store is read")
{
    const std::optional<document_page> read = read_page(page);
    REQUIRE(read.has_value());
    CHECK(read->part.at.value == 12);
    CHECK(read->next_page_after == "i-5");
    // The entry without a name is not a document.
    REQUIRE(read->part.documents.size() == 5);

    SUBCASE("a complete entry describes an upstream")
    {
        const auto upstream = read_upstream(read->part.documents[0]);
        REQUIRE(upstream.has_value());
        CHECK(upstream->name.value == "i-1");
        CHECK(upstream->target.value == "lm");
        CHECK(upstream->address == core::endpoint{"10.1.0.9", 80});
        CHECK(upstream->slots == 10);
        CHECK(upstream->started_at == 1700000000123);
        CHECK(upstream->at.value == 8);
        CHECK_FALSE(upstream->leaving);
        CHECK(read_upstream(read->part.documents[1])->leaving);
    }
    SUBCASE("an entry with missing fields, wrong types or an unknown state describes no upstream")
    {
        CHECK_FALSE(read_upstream(read->part.documents[2]).has_value());
        CHECK_FALSE(read_upstream(read->part.documents[3]).has_value());
        CHECK_FALSE(read_upstream(read->part.documents[4]).has_value());
    }
    SUBCASE("a node sends a page on in the same format")
    {
        document_list list = read->part;
        const std::optional<document_page> reread = read_page(write_page(list));
        REQUIRE(reread.has_value());
        CHECK(reread->part.documents.size() == list.documents.size());
        CHECK(reread->part.at == list.at);
        CHECK_FALSE(reread->next_page_after.has_value());
    }
}

TEST_CASE("bytes that are not a page are rejected")
{
    CHECK_FALSE(read_page("").has_value());
    CHECK_FALSE(read_page("[]").has_value());
    CHECK_FALSE(read_page(R"({"entries":[]})").has_value());
    CHECK_FALSE(read_page(R"({"entries":{},"current_rev":1})").has_value());
    CHECK_FALSE(read_changes(R"({"events":7,"current_rev":1})").has_value());
    const auto changes = read_changes(
        R"({"events":[{"removed":true,"object":{"meta":{"name":"x","revision":4}}},17],"current_rev":5})");
    REQUIRE(changes.has_value());
    REQUIRE(changes->changes.size() == 1);
    CHECK(changes->changes[0].removed);
    CHECK(changes->upto.value == 5);
}

static boost::json::value parse(std::string_view text)
{
    return boost::json::parse({text.data(), text.size()});
}

TEST_CASE("a configuration is translated into the project's types")
{
    const auto read = read_ruleset(parse(R"({"version":7,"new":{"x":1},"routes":[
        {"name":"r1","host":"h.example","prefix":"/a/","type":"stream","timeout_ms":15000,
         "goal_ms":500,"prio":1,"service":"lm","attempts":2,"can_resume":true,"sticky":true},
        {"name":"r2","host":"h.example","prefix":"/b/","type":"nonidempotent","timeout_ms":800,
         "goal_ms":100,"prio":2,"split":[{"service":"x","weight":90},{"service":"y","weight":10}],
         "attempts":1,"public":true}],
        "services":[{"name":"lm","health_path":"/h","backend":{"slots":10,"kv_capacity":700}},
                    {"name":"x"}],
        "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":30,
                  "idle_timeout_ms":40},
        "tenants":[{"name":"t","api_keys":["k1","k2"],"prio":1,"unit":"token","raw_tokens":200,
                    "rate_per_s":1000,"burst":500},{"name":"u","api_keys":[]}]})"));
    REQUIRE(std::holds_alternative<core::ruleset>(read));
    const core::ruleset& rules = std::get<core::ruleset>(read);
    CHECK(rules.version == 7);
    REQUIRE(rules.routes.size() == 2);
    CHECK(rules.routes[0].streams);
    CHECK(rules.routes[0].resumable);
    // A resumable stream may run more than once; other streams may not.
    CHECK(rules.routes[0].idempotent);
    CHECK(rules.routes[0].max_upstreams == 2);
    CHECK(rules.routes[0].timeout == std::chrono::seconds(15));
    CHECK_FALSE(rules.routes[1].idempotent);
    CHECK(rules.routes[1].is_public);
    REQUIRE(rules.routes[1].targets.size() == 2);
    CHECK(rules.routes[1].targets[0].weight == doctest::Approx(90.0));
    CHECK(rules.targets[0].is_engine);
    CHECK(rules.targets[0].slots == 10);
    CHECK_FALSE(rules.targets[1].is_engine);
    CHECK(rules.limits.header_bytes == 100);
    CHECK(rules.limits.idle_time == std::chrono::milliseconds(40));
    CHECK(rules.teams[0].counts_tokens);
    CHECK(rules.teams[0].rank == 1U);
    CHECK_FALSE(rules.teams[1].rank.has_value());
    CHECK(rules.teams[1].rate == doctest::Approx(0.0));
}

TEST_CASE("an invalid configuration is rejected with the path of the invalid field")
{
    const auto location_of = [](std::string_view text) {
        const auto read = read_ruleset(parse(text));
        REQUIRE(std::holds_alternative<document_error>(read));
        return std::get<document_error>(read).location;
    };
    CHECK(location_of(R"({"routes":[{"name":"r"}]})") == "routes[0].host");
    CHECK(location_of(R"({"routes":[{"name":"r","host":"h","prefix":"/","type":"odd"}]})") ==
          "routes[0].type");
    CHECK(location_of(R"({"routes":7})") == "routes");
    CHECK(location_of(R"({"tenants":[{"name":"t","api_keys":[3]}]})") == "tenants[0].api_keys[0]");
    CHECK(location_of(R"({"tenants":[{"name":"t","rate_per_s":-1}]})") == "tenants[0].rate_per_s");
    CHECK(location_of("[]").empty());
}

} // namespace ragwortcove::adapter
