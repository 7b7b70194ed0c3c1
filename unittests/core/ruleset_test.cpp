#include "ragwortcove/core/ruleset.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::core {

static http_route route_at(std::string name, std::string host, std::string prefix)
{
    http_route made;
    made.name.value = std::move(name);
    made.host = std::move(host);
    made.prefix = std::move(prefix);
    made.targets = {{{"t"}, 1.0}};
    return made;
}

TEST_CASE("a request finds its route")
{
    ruleset rules;
    rules.routes = {route_at("short", "a.example", "/x/"), route_at("long", "a.example", "/x/y/"),
                    route_at("other", "b.example", "/x/")};
    const rule_index index(std::move(rules));

    SUBCASE("by the longest prefix that begins the path")
    {
        CHECK(index.find_route("a.example", "/x/z")->name.value == "short");
        CHECK(index.find_route("a.example", "/x/y/z")->name.value == "long");
        CHECK(index.find_route("a.example", "/x/y/")->name.value == "long");
    }
    SUBCASE("a prefix ends at a slash, so a longer path segment does not match")
    {
        CHECK(index.find_route("a.example", "/x/yy")->name.value == "short");
        CHECK(index.find_route("a.example", "/xx/") == nullptr);
        CHECK(index.find_route("a.example", "/x") == nullptr);
    }
    SUBCASE("only among the routes of its host")
    {
        CHECK(index.find_route("b.example", "/x/y/")->name.value == "other");
        CHECK(index.find_route("c.example", "/x/") == nullptr);
    }
}

TEST_CASE("a team is found by its key")
{
    ruleset rules;
    team_rule first;
    first.name.value = "one";
    first.keys = {"k1", "k2"};
    team_rule second;
    second.name.value = "two";
    second.keys = {"k3"};
    rules.teams = {first, second};
    const rule_index index(std::move(rules));
    CHECK(index.find_team_by_key("k2")->name.value == "one");
    CHECK(index.find_team_by_key("k3")->name.value == "two");
    CHECK(index.find_team_by_key("k4") == nullptr);
    CHECK(index.find_team_by_key("") == nullptr);
}

TEST_CASE("a request costs its tokens, or the team's default when it states none")
{
    team_rule team;
    CHECK(quota_cost(team, 1000) == doctest::Approx(1.0));
    team.counts_tokens = true;
    team.default_tokens = 200;
    CHECK(quota_cost(team, 1540) == doctest::Approx(1540.0));
    CHECK(quota_cost(team, std::nullopt) == doctest::Approx(200.0));
}

} // namespace ragwortcove::core
