#include "ragwortcove/core/object_fields.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static std::optional<object> parse_or_nothing(const object_key& key, std::span<const field> fields)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<object>> {
            BOOST_LEAF_AUTO(value, parse_object(key, fields));
            return std::optional<object>(std::move(value));
        },
        [](const field_error&) { return std::optional<object>{}; },
        [] { return std::optional<object>{}; });
}

static field_error first_error(const object_key& key, std::span<const field> fields)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<field_error> {
            BOOST_LEAF_CHECK(parse_object(key, fields));
            return field_error{};
        },
        [](const field_error& error) { return error; }, [] { return field_error{}; });
}

static std::vector<object> one_of_every_kind()
{
    const label_set labels = {{"site", "zurich"}, {"speed", "slow"}};
    return {
        {{object_kind::tier, "desk"}, labels, tier_spec{3, 1500ms}, {}},
        {{object_kind::team, "carrier-1"}, {}, team_spec{0.1}, {}},
        {{object_kind::version, "chat-v2"}, {}, version_spec{{"chat"}, "weights/chat v2"}, {}},
        {{object_kind::upstream, "e1"},
         labels,
         upstream_spec{upstream_kind::service,
                       {"fd00::1", 9000},
                       {"eu"},
                       {"a"},
                       {"chat"},
                       {"chat-v2"},
                       4,
                       4096,
                       true,
                       true},
         {}},
        {{object_kind::route, "ask"},
         labels,
         route_spec{{"chat"},
                    upstream_kind::service,
                    {"desk"},
                    {"chat-v2"},
                    {{{"gpu", "new"}}},
                    false,
                    90s,
                    64},
         {}},
        {{object_kind::move, "m"},
         {},
         move_spec{{"ask"}, {"chat-v1"}, {"chat-v2"}, {1764802800250}, 5, 10min},
         {}},
        {{object_kind::move_status, "m"},
         {},
         move_status_spec{
             move_phase::soaking, 1000, {12}, "evidence complete", {"chat-v2"}, {1764802800250}},
         {}},
        {{object_kind::lease, "move/m"}, {}, lease_spec{{"n1"}, {99}, {13}, {1}}, {}},
        {{object_kind::claim, "key: any = text"}, {}, claim_spec{{~0ULL}, {0}}, {}},
    };
}

TEST_CASE("an object of every kind is read back from its fields as it was")
{
    for (const auto& value : one_of_every_kind()) {
        CAPTURE(to_string(value.key.kind));
        const auto fields = to_fields(value);
        const auto read_back = parse_or_nothing(value.key, fields);
        REQUIRE(read_back.has_value());
        CHECK(*read_back == value);
        CHECK(to_fields(*read_back) == fields);
        CHECK(parse_object_kind(to_string(value.key.kind)) == value.key.kind);
    }
    CHECK_FALSE(parse_object_kind("vm").has_value());
}

TEST_CASE("values of every size survive the round trip")
{
    CHECK(rc::check("durations", [] {
        const duration value{*rc::gen::inRange<duration::rep>(0, 1LL << 60)};
        RC_ASSERT(parse_duration(format_duration(value)) == value);
    }));
    CHECK(rc::check("weights and times", [] {
        const object team{
            {object_kind::team, "t"}, {}, team_spec{*rc::gen::inRange(1, 1'000'000) / 1000.0}, {}};
        RC_ASSERT(parse_or_nothing(team.key, to_fields(team)) == team);
        const auto at = *rc::gen::inRange<std::int64_t>(0, 253'402'300'799'000);
        const object claim{{object_kind::claim, "c"}, {}, claim_spec{{1}, {at}}, {}};
        RC_ASSERT(parse_or_nothing(claim.key, to_fields(claim)) == claim);
    }));
}

TEST_CASE("a field that is left out has its default value")
{
    const std::vector<field> fields = {{"target", "chat"}, {"tier", "desk"}};
    const auto route = parse_or_nothing({object_kind::route, "ask"}, fields);
    REQUIRE(route.has_value());
    const route_spec expected{{"chat"}, upstream_kind::engine, {"desk"}};
    CHECK(route->spec == object_spec{expected});
}

TEST_CASE("an invalid field is reported with its key and what was expected")
{
    const object_key route{object_kind::route, "ask"};

    SUBCASE("every invalid field is reported, in the fields' order, and missing ones last")
    {
        const std::vector<field> fields = {{"timeout", "90"},     {"colour", "blue"},
                                           {"idempotent", "yes"}, {"expected_output_tokens", "0"},
                                           {"selector.a b", "c"}, {"tier", "desk"},
                                           {"tier", "background"}};
        const auto errors = check_object(route, fields);
        REQUIRE(errors.size() == 7);
        CHECK(errors[0].key == "timeout");
        CHECK(errors[0].value == "90");
        CHECK(errors[0].expected == "a duration with its unit, such as 250ms, 3s or 5m");
        CHECK(errors[1].expected.starts_with("one of the keys target, kind, tier"));
        CHECK(errors[2].expected == "true or false");
        CHECK(errors[3].expected == "between 1 and 1000000 tokens");
        CHECK(errors[4].key == "selector.a b");
        CHECK(errors[5].expected == "each key once");
        CHECK(errors[6].key == "target");
        CHECK(errors[6].value.empty());
        CHECK(first_error(route, fields).key == "timeout");
    }
    SUBCASE("an address is an IP address with a port")
    {
        for (const auto* text : {"localhost:80", "10.0.0.7", "10.0.0.7:0", "10.0.0.7:65536",
                                 "::1:80", "[10.0.0.7]:80", "10.0.0.7:80x"}) {
            CAPTURE(text);
            const std::vector<field> fields = {
                {"address", text}, {"failure_domain", "a"}, {"target", "chat"}};
            CHECK(first_error({object_kind::upstream, "u"}, fields).key == "address");
        }
    }
    SUBCASE("a time is a valid calendar date and time in UTC")
    {
        for (const auto* text : {"2026-02-30T00:00:00Z", "2026-02-03T24:00:00Z",
                                 "2026-02-03T23:00:00", "2026-2-3T23:00:00Z", "tomorrow"}) {
            CAPTURE(text);
            const std::vector<field> fields = {{"holder", "1"}, {"expires", text}};
            CHECK(first_error({object_kind::claim, "c"}, fields).key == "expires");
        }
    }
    SUBCASE("a name has only permitted characters")
    {
        CHECK(first_error({object_kind::team, "a b"}, {}).key == "name");
        CHECK(first_error({object_kind::claim, ""}, {}).key == "name");
    }
}

TEST_CASE("a duration needs a unit and must not overflow")
{
    CHECK(parse_duration("250ms") == 250ms);
    CHECK(parse_duration("2h") == 2h);
    CHECK(format_duration(90s) == "90s");
    CHECK(format_duration(0s) == "0s");
    for (const auto* text : {"", "5", "s", "-5s", "5 s", "5d", "99999999999999999h"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_duration(text).has_value());
    }
}

TEST_CASE("a selector matches the objects that carry all its labels")
{
    const label_set labels = {{"gpu", "new"}, {"site", "zurich"}};
    CHECK(matches({}, labels));
    CHECK(matches({{{"gpu", "new"}}}, labels));
    CHECK_FALSE(matches({{{"gpu", "old"}}}, labels));
    CHECK_FALSE(matches({{{"gpu", "new"}, {"rack", "7"}}}, labels));
}
