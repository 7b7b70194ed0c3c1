#include "platform/announcement.hpp"
#include "platform/rules.hpp"
#include "platform/store_document.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::adapter {

static constexpr std::string_view page = R"({"entries":[
  {"meta":{"name":"i-1","revision":8},"spec":{"service":"lm","addr":"10.1.0.9:80","zone":"a",
   "version":"v1","slots":10,"state":"ready","born":1700000000123,"cold_left_ms":700,"seq":4,"odd":[1]}},
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
    constexpr core::time_point read_at{std::chrono::hours{1}};
    const std::optional<document_page> read = read_page(page);
    REQUIRE(read.has_value());
    CHECK(read->part.at.value == 12);
    CHECK(read->next_page_after == "i-5");
    // The entry without a name is not a document.
    REQUIRE(read->part.documents.size() == 5);

    SUBCASE("a complete entry describes an upstream")
    {
        const auto upstream = read_upstream(read->part.documents[0], read_at);
        REQUIRE(upstream.has_value());
        CHECK(upstream->name.value == "i-1");
        CHECK(upstream->target.value == "lm");
        CHECK(upstream->address == core::endpoint{"10.1.0.9", 80});
        CHECK(upstream->slots == 10);
        CHECK(upstream->started_at == 1700000000123);
        CHECK(upstream->at.revision.value == 8);
        CHECK(upstream->warm_at == read_at + std::chrono::milliseconds(700));
        CHECK_FALSE(upstream->leaving);
        CHECK(read_upstream(read->part.documents[1], read_at)->leaving);
    }
    SUBCASE("an entry with missing fields, wrong types or an unknown state describes no upstream")
    {
        CHECK_FALSE(read_upstream(read->part.documents[2], read_at).has_value());
        CHECK_FALSE(read_upstream(read->part.documents[3], read_at).has_value());
        CHECK_FALSE(read_upstream(read->part.documents[4], read_at).has_value());
    }
    SUBCASE("a node sends a page on in the same format")
    {
        document_list list = read->part;
        const std::optional<document_page> reread = read_page(write_page(list));
        REQUIRE(reread.has_value());
        CHECK(reread->part.documents.size() == list.documents.size());
        CHECK(reread->part.at == list.at);
        CHECK(reread->is_last);
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

static store_document make_rollout(std::string_view content, std::string_view status = "null")
{
    store_document document;
    document.name = "huvo11a";
    document.at = {41};
    document.content = parse(content);
    document.status = parse(status);
    return document;
}

static core::rollout_order read_order(const store_document& document)
{
    const auto read = read_rollout_order(document);
    REQUIRE(std::holds_alternative<core::rollout_order>(read));
    return std::get<core::rollout_order>(read);
}

TEST_CASE("an operator's roll-out is read with the state that was stored for it")
{
    constexpr std::string_view content =
        R"({"service":"huvo11a","target":"v2","over_s":12.5,"new":1})";
    const core::rollout_order order = read_order(make_rollout(content));
    CHECK(order.target.value == "huvo11a");
    CHECK(order.version.value == "v2");
    CHECK(order.time_limit == std::chrono::milliseconds(12500));
    CHECK(order.state == core::rollout_state::pending);
    CHECK(order.at.revision.value == 41);

    const auto state_with = [&](std::string_view status) {
        return read_order(make_rollout(content, status)).state;
    };
    SUBCASE("each state that the system stores is read back")
    {
        for (const core::rollout_state state :
             {core::rollout_state::running, core::rollout_state::complete,
              core::rollout_state::reverted}) {
            const report_status call = write_rollout_state(order, state);
            CHECK(call.kind == "rollouts");
            CHECK(call.name == "huvo11a");
            CHECK(call.expected == core::revision{41});
            store_document stored = make_rollout(content);
            stored.status = call.status;
            CHECK(read_order(stored).state == state);
        }
    }
    SUBCASE("a state of an order for another version is not this order's")
    {
        CHECK(state_with(R"({"state":"complete","target":"v1"})") == core::rollout_state::pending);
        CHECK(state_with(R"({"state":"complete"})") == core::rollout_state::pending);
    }
    SUBCASE("the progress that is stored with a state is read back")
    {
        core::rollout_order under_way = order;
        under_way.progress = core::rollout_progress{std::chrono::milliseconds(4200), 31, 702};
        store_document stored = make_rollout(content);
        stored.status = write_rollout_state(under_way, core::rollout_state::running).status;
        CHECK(read_order(stored).progress == under_way.progress);
        CHECK_FALSE(order.progress);
    }
    SUBCASE("progress that cannot be read counts as none, and the state holds")
    {
        for (const std::string_view fields :
             {R"("age_ms":-1)", R"("age_ms":"4")", R"("age_ms":1e300)", R"("age_ms":1.5)",
              R"("age_ms":4,"new_sent":1e12)", R"("age_ms":4,"old_sent":[])", R"("new_sent":4)"}) {
            CAPTURE(fields);
            const core::rollout_order read = read_order(make_rollout(
                content, R"({"state":"running","target":"v2",)" + std::string(fields) + "}"));
            CHECK(read.state == core::rollout_state::running);
            CHECK_FALSE(read.progress);
        }
        CHECK_FALSE(
            read_order(make_rollout(content, R"({"state":"running","target":"v1","age_ms":4000})"))
                .progress);
    }
    SUBCASE("a status that cannot be read counts as none")
    {
        CHECK(state_with(R"({"state":"odd","target":"v2"})") == core::rollout_state::pending);
        CHECK(state_with(R"({"state":7,"target":"v2"})") == core::rollout_state::pending);
        CHECK(state_with(R"(["complete"])") == core::rollout_state::pending);
    }
    SUBCASE("the call is the one that the store expects")
    {
        const store_message message =
            write_store_call(write_rollout_state(order, core::rollout_state::running));
        CHECK(message.method == "PUT");
        CHECK(message.target == "/objects/rollouts/huvo11a/status?revision=41");
        CHECK(message.body.find(R"("status":{"state":"running","target":"v2"})") !=
              std::string::npos);
    }
}

TEST_CASE("an invalid roll-out is rejected with the path of the invalid field")
{
    const auto error_of = [](std::string_view content) {
        const auto read = read_rollout_order(make_rollout(content));
        REQUIRE(std::holds_alternative<document_error>(read));
        return std::get<document_error>(read);
    };
    CHECK(error_of(R"({"target":"v2","over_s":12})").location == "huvo11a.service");
    CHECK(error_of(R"({"service":"huvo11a","over_s":12})").location == "huvo11a.target");
    CHECK(error_of(R"({"service":"huvo11a","target":2,"over_s":12})").expected == "a string");
    CHECK(error_of(R"({"service":"huvo11a","target":"","over_s":12})").expected == "a version");
    CHECK(error_of(R"({"service":"huvo11a","target":"v2"})").location == "huvo11a.over_s");
    CHECK(error_of(R"({"service":"huvo11a","target":"v2","over_s":"12"})").expected == "a number");
    CHECK(error_of(R"({"service":"huvo11a","target":"v2","over_s":-1})").location ==
          "huvo11a.over_s");
    CHECK(error_of(R"({"service":"other","target":"v2","over_s":12})").expected ==
          "the name of the entry");
    CHECK(error_of("[]").expected == "an object");
    CHECK(error_of("null").location == "huvo11a");
}

TEST_CASE("a configuration is translated into the project's types")
{
    const auto read = read_ruleset(parse(R"({"version":7,"new":{"x":1},"routes":[
        {"name":"r1","host":"h.example","prefix":"/a/","type":"stream","timeout_ms":15000,
         "goal_ms":500,"prio":1,"service":"lm","attempts":2,"can_resume":true,"sticky":true},
        {"name":"r2","host":"h.example","prefix":"/b/","type":"nonidempotent","timeout_ms":800,
         "goal_ms":100,"prio":2,"split":[{"service":"x","weight":90},{"service":"y","weight":10}],
         "attempts":1,"public":true}],
        "services":[{"name":"lm","health_path":"/h","cold_start_s":2.5,"cold_per_s":11,
                     "backend":{"slots":10,"kv_capacity":700}},
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
    CHECK(rules.targets[0].warmup_rate == doctest::Approx(11.0));
    CHECK(rules.targets[0].warmup_time == std::chrono::milliseconds(2500));
    CHECK(rules.targets[1].warmup_rate == 0.0);
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
