#include "ragwortcove/core/warmup_limit.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

constexpr duration step = 1ms;

/// One node's limit for one upstream that bears 11 requests a second, 21 at most.
struct limited_fixture {
    warmup_limit limit;
    time_point now{1h};
    limited_upstream upstream{{{"e1"}, 7}, 11.0, 3s, {}, true};

    limited_fixture()
    {
        this->limit.set_tolerance({1.5, 5.0});
        this->apply();
    }
    void apply() { this->limit.set_upstreams(std::vector{this->upstream}, this->now); }
    /// Grants whenever that is allowed; returns the number of grants.
    int grant_for(duration time)
    {
        int count = 0;
        for (const time_point end = this->now + time; this->now < end; this->now += step) {
            if (!this->limit.may_grant(this->upstream.process.name, this->now))
                continue;
            this->limit.record_grant(this->upstream.process.name, this->now);
            ++count;
        }
        return count;
    }
};

} // namespace

TEST_CASE("an upstream with a rate for its warm-up gets no more than its owner's part")
{
    limited_fixture fixture;

    SUBCASE("upstreams without a rate are not limited")
    {
        CHECK(fixture.limit.may_grant({"other"}, fixture.now));
        fixture.limit.record_grant({"other"}, fixture.now);
        CHECK(fixture.limit.may_grant({"other"}, fixture.now));
    }
    SUBCASE("an owner that has been the owner for some time may use most of the bound at once")
    {
        fixture.now += 4s;
        CHECK(fixture.grant_for(20ms) == 14);
        CHECK(fixture.grant_for(1s) == 0);
        CHECK(fixture.grant_for(1s) == 14);
    }
    SUBCASE("a new owner begins with a pause and spaces its grants")
    {
        CHECK(fixture.grant_for(180ms) == 0);
        CHECK(fixture.grant_for(20ms) == 1);
        CHECK(fixture.grant_for(1100ms) == 6);
    }
    SUBCASE("a former owner sends one request now and then")
    {
        fixture.now += 4s;
        fixture.upstream.is_owned = false;
        fixture.apply();
        CHECK(fixture.grant_for(1s) == 0);
        CHECK(fixture.grant_for(1100ms) == 1);

        SUBCASE("and the same as a new owner when entries go on to ask it")
        {
            fixture.now += 3s;
            CHECK(fixture.grant_for(1100ms) == 6);
        }
    }
    SUBCASE("nodes that start together get by, each with its part, until they know of each other")
    {
        fixture.now += 4s;
        fixture.limit.set_serving_share(0.1);
        CHECK(fixture.grant_for(11s) == 20);
        fixture.limit.set_serving_share(1.0);
        CHECK(fixture.grant_for(1100ms) >= 12);
    }
    SUBCASE("an upstream that is warming up gets its rate, spaced")
    {
        fixture.now += 4s;
        fixture.upstream.warm_at = fixture.now + 2s;
        fixture.apply();
        CHECK(fixture.limit.is_warming_up({"e1"}, fixture.now));
        CHECK(fixture.limit.count_warming_up(fixture.now) == 1);
        CHECK(fixture.grant_for(90ms) == 1);
        CHECK(fixture.grant_for(1010ms) == 10);
        fixture.now += 2s;
        CHECK(fixture.limit.count_warming_up(fixture.now) == 0);
    }
    SUBCASE("processes that are there first are warm, later ones have just started")
    {
        CHECK_FALSE(fixture.limit.is_warming_up({"e1"}, fixture.now));
        fixture.upstream.process.started_at = 8;
        fixture.apply();
        CHECK(fixture.limit.is_warming_up({"e1"}, fixture.now + 2999ms));
        CHECK_FALSE(fixture.limit.is_warming_up({"e1"}, fixture.now + 3s));
    }
    SUBCASE("a start does not forget what was granted to the process before")
    {
        fixture.now += 4s;
        CHECK(fixture.grant_for(20ms) == 14);
        fixture.upstream.process.started_at = 8;
        fixture.apply();
        CHECK(fixture.grant_for(1s) == 0);
    }
    SUBCASE("a node that reaches a part of the fleet uses that part of the bound")
    {
        fixture.now += 4s;
        fixture.limit.set_fleet_share(0.5, fixture.now);
        CHECK(fixture.grant_for(1100ms) == 10);

        SUBCASE("for some time after it reaches all again, too")
        {
            fixture.limit.set_fleet_share(1.0, fixture.now);
            CHECK(fixture.grant_for(1100ms) == 10);
            fixture.now += 3s;
            fixture.limit.set_fleet_share(1.0, fixture.now);
            CHECK(fixture.grant_for(1100ms) == 14);
        }
        SUBCASE("a single node of a hundred sends one request now and then")
        {
            fixture.limit.set_fleet_share(0.01, fixture.now);
            CHECK(fixture.grant_for(11s) == 2);
        }
    }
    SUBCASE("a rate that is not usual does no harm")
    {
        for (const double odd : {1e-300, 0.4, 1e300}) {
            CAPTURE(odd);
            fixture.limit.set_tolerance({});
            fixture.upstream.rate = odd;
            fixture.apply();
            fixture.now += 4s;
            const bool allowed = fixture.limit.may_grant({"e1"}, fixture.now);
            CHECK(allowed == (odd > 1.0));
        }
    }
}

} // namespace ragwortcove::core
