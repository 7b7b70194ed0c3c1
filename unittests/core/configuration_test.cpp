#include "ragwortcove/core/configuration.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove::core;

static object team(const char* name, double weight, std::uint64_t written_at)
{
    return object{object_key{object_kind::team, name}, {}, team_spec{weight}, revision{written_at}};
}

static feed_delta change(std::uint64_t after, std::uint64_t upto, std::vector<object> changed)
{
    return feed_delta{store_id{"store"}, revision{after}, revision{upto}, std::move(changed), {}};
}

static double weight_of(const configuration& config, const char* name)
{
    const team_spec* found = config.find_team(team_name{name});
    return found == nullptr ? 0.0 : found->weight;
}

TEST_CASE("a configuration is only replaced by a newer revision")
{
    configuration config;
    REQUIRE(config.apply(feed_snapshot{store_id{"store"}, revision{5}, {team("a", 1.0, 5)}}));
    REQUIRE(config.apply(change(5, 6, {team("a", 2.0, 6)})));

    SUBCASE("an older snapshot or delta changes nothing")
    {
        CHECK_FALSE(
            config.apply(feed_snapshot{store_id{"store"}, revision{5}, {team("a", 1.0, 5)}}));
        CHECK_FALSE(config.apply(change(4, 5, {team("a", 1.0, 5)})));
        CHECK(weight_of(config, "a") == 2.0);
    }
    SUBCASE("a snapshot of another store changes nothing")
    {
        CHECK_FALSE(config.apply(feed_snapshot{store_id{"new"}, revision{9}, {}}));
        CHECK(config.at() == revision{6});
    }
    SUBCASE("a delta that starts after the revision in force is not applied")
    {
        CHECK_FALSE(config.apply(change(7, 8, {team("a", 3.0, 8)})));
        CHECK(weight_of(config, "a") == 2.0);
    }
    SUBCASE("a removal is not undone by a delta that overlaps it")
    {
        feed_delta removal = change(6, 7, {});
        removal.removed.push_back({object_key{object_kind::team, "a"}, revision{7}});
        REQUIRE(config.apply(removal));
        REQUIRE(config.apply(change(5, 8, {team("a", 2.0, 6), team("b", 1.0, 8)})));
        CHECK(config.find_team(team_name{"a"}) == nullptr);
        CHECK(weight_of(config, "b") == 1.0);
    }
    SUBCASE("the backlog holds each change once when deltas overlap")
    {
        for (std::uint64_t upto = 7; upto < 40; ++upto) {
            feed_delta overlapping = change(5, upto, {});
            for (std::uint64_t at = 6; at <= upto; ++at)
                overlapping.changed.push_back(team("a", static_cast<double>(at), at));
            REQUIRE(config.apply(overlapping));
        }
        const std::optional<feed_delta> joined = config.changes_after(revision{5});
        REQUIRE(joined.has_value());
        CHECK(joined->changed.size() == 34);
        CHECK(config.last_change()->changed.size() == 1);
    }
}
