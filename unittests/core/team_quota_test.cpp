#include "ragwortcove/core/repeat_budget.hpp"
#include "ragwortcove/core/team_quota.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <random>

namespace ragwortcove::core {

using namespace std::chrono_literals;

static team_rule make_team(double rate, double burst)
{
    team_rule made;
    made.name.value = "team";
    made.counts_tokens = true;
    made.rate = rate;
    made.burst = burst;
    return made;
}

TEST_CASE("a team gets its rate and its burst, and is told when there is more")
{
    team_quota quota{quota_tolerance{}};
    const team_rule team = make_team(100.0, 50.0);
    time_point now{1h};

    // The node that accounted before may have given out most of the burst.
    CHECK(quota.take(team, {5.0, 1.0, 0s, true}, now).granted);
    const quota_decision refused = quota.take(team, {10.0, 1.0, 0s, true}, now);
    CHECK_FALSE(refused.granted);
    CHECK(refused.wait == 100ms);
    CHECK(quota.take(team, {10.0, 1.0, 0s, true}, now + refused.wait).granted);

    SUBCASE("what did not run is given back")
    {
        now += 100ms;
        CHECK_FALSE(quota.take(team, {30.0, 1.0, 0s, true}, now).granted);
        quota.begin(team, now);
        quota.refund(team, 30.0, now);
        CHECK(quota.take(team, {30.0, 1.0, 0s, true}, now).granted);
    }
    SUBCASE("one that can wait is granted later, and those after it later still")
    {
        now += 100ms;
        CHECK(quota.take(team, {10.0, 1.0, 150ms, true}, now).wait == 100ms);
        const quota_decision second = quota.take(team, {10.0, 1.0, 150ms, true}, now);
        CHECK_FALSE(second.granted);
        CHECK(second.wait == 200ms);
        CHECK(quota.take(team, {10.0, 1.0, 200ms, true}, now).wait == 200ms);
    }
    SUBCASE("a small request passes while the debt is small")
    {
        now += 100ms;
        CHECK_FALSE(quota.take(team, {5.0, 1.0, 0s, true}, now).granted);
        for (int count = 0; count < 20; ++count)
            CHECK(quota.take(team, {0.25, 1.0, 0s, true}, now).granted);
        CHECK_FALSE(quota.take(team, {0.25, 1.0, 0s, true}, now).granted);
    }
    SUBCASE("a team without a rate has no limit")
    {
        CHECK(quota.take(make_team(0.0, 0.0), {1e9, 1.0, 0s, true}, now).granted);
    }
    SUBCASE("a lower limit binds at once")
    {
        now += 10s;
        const team_rule lower = make_team(10.0, 5.0);
        CHECK(quota.take(lower, {5.0, 1.0, 0s, true}, now).granted);
        CHECK_FALSE(quota.take(lower, {5.0, 1.0, 0s, true}, now).granted);
    }
    SUBCASE("a part of the rate is a part of everything")
    {
        team_quota part{quota_tolerance{}};
        double granted = 0.0;
        for (int step = 0; step < 1000; ++step) {
            if (part.take(team, {1.0, 0.5, 0s, true}, now + step * 10ms).granted)
                granted += 1.0;
        }
        CHECK(granted <= 50.0 * 10.0 + 25.0);
        CHECK(granted >= 50.0 * 10.0 - 25.0);
    }
}

TEST_CASE("what a quota tolerates is given out only where places stand free")
{
    team_quota quota{quota_tolerance{8s, 0.1, 100.0}};
    const team_rule team = make_team(100.0, 50.0);
    const auto granted_in_ten_seconds = [&](bool has_free_slots) {
        double granted = 0.0;
        for (int step = 0; step < 2000; ++step) {
            const time_point now = time_point{1h} + step * 5ms;
            if (quota.take(team, {2.0, 1.0, 0s, has_free_slots}, now).granted)
                granted += 2.0;
        }
        return granted;
    };
    const double quota_alone = 100.0 * 10.0 + 50.0;
    SUBCASE("not where requests wait for places")
    {
        CHECK(granted_in_ten_seconds(false) <= quota_alone);
    }
    SUBCASE("elsewhere")
    {
        const double granted = granted_in_ten_seconds(true);
        CHECK(granted > quota_alone);
        // All of the tolerance but what the rate yields in 0.65 s.
        CHECK(granted <= quota_alone + (0.1 * 850.0 + 100.0 - 65.0) * 10.0 / 8.0 + 25.0);
    }
}

TEST_CASE("a node that begins to account for a team has what it was handed, and no more")
{
    team_quota before{quota_tolerance{}};
    team_quota after{quota_tolerance{}};
    const team_rule team = make_team(100.0, 50.0);
    const time_point now{1h};
    before.begin(team, now - 10s);
    CHECK(before.take(team, {10.0, 1.0, 0s, true}, now).granted);
    const double left = before.end(team.name);
    CHECK(left == doctest::Approx(40.0));
    CHECK(before.end(team.name) == doctest::Approx(0.0));

    SUBCASE("without a handover it has a part of the burst")
    {
        after.begin(team, now);
        CHECK(after.take(team, {5.0, 1.0, 0s, true}, now).granted);
        CHECK_FALSE(after.take(team, {1.0, 1.0, 0s, true}, now).granted);
        CHECK(after.take(team, {1.0, 1.0, 0s, true}, now + 10ms).granted);
    }
    SUBCASE("the handover may come before it knows that it accounts, or after")
    {
        bool early = false;
        SUBCASE("before")
        {
            early = true;
        }
        SUBCASE("after")
        {
            early = false;
        }
        if (early)
            after.refund(team, left, now);
        after.begin(team, now);
        if (!early)
            after.refund(team, left, now);
        CHECK(after.take(team, {40.0, 1.0, 0s, true}, now).granted);
        CHECK_FALSE(after.take(team, {1.0, 1.0, 0s, true}, now).granted);
    }
    SUBCASE("one that is long past counts for nothing")
    {
        after.refund(team, left, now - 2s);
        after.begin(team, now);
        CHECK(after.take(team, {5.0, 1.0, 0s, true}, now).granted);
        CHECK_FALSE(after.take(team, {1.0, 1.0, 0s, true}, now).granted);
    }
}

// The node that accounts is too busy to answer for 0.3 s, and what is spent meanwhile is lost on
// the way to it. Buckets that began part full, with a part of the tolerance each, went over the
// limit.
TEST_CASE("nodes that spend without asking stay within the tolerance together with the one asked")
{
    const quota_tolerance tolerance{8s, 0.1, 400.0};
    const team_rule team = make_team(1000.0, 1000.0);
    const double most = (1000.0 * 8.0 + 1000.0) * 1.1 + 400.0;
    constexpr std::size_t nodes = 20;
    constexpr double cost = 1.0;
    team_quota accounting{tolerance};
    std::vector<team_quota> alone(nodes, team_quota{tolerance});
    time_point now{1h};
    accounting.begin(team, now);
    // Long enough for its bucket and its part of the tolerance to be full.
    static_cast<void>(accounting.take(team, {cost, 1.0, 0s, false}, now));
    now += 60s;
    double given = 0.0;
    for (int step = 0; step < 800; ++step) {
        now += 10ms;
        const bool answers = step < 400 || step >= 430;
        for (team_quota& node : alone) {
            if (answers)
                given += accounting.take(team, {cost, 1.0, 0s, true, true}, now).granted ? cost : 0;
            else
                given +=
                    node.take(team, {cost, 1.0 / nodes, 0s, true, false}, now).granted ? cost : 0;
        }
    }
    CHECK(given <= most);
    CHECK(given >= 1000.0 * 8.0);
}

TEST_CASE("no window of a team's requests is over its quota and the tolerance")
{
    rc::check([](std::uint32_t seed) {
        const quota_tolerance tolerance{8s, 0.1, 400.0};
        team_quota quota{tolerance};
        const team_rule team = make_team(1000.0, 1000.0);
        const double most = (1000.0 * 8.0 + 1000.0) * 1.1 + 400.0;
        std::minstd_rand random{seed};
        std::deque<std::pair<time_point, double>> window;
        time_point now{1h};
        for (int step = 0; step < 4000; ++step) {
            now += std::chrono::microseconds{random() % 20000};
            const double cost = 1.0 + static_cast<double>(random() % 300);
            if (!quota.take(team, {cost, 1.0, 0s, true}, now).granted)
                continue;
            window.emplace_back(now, cost);
            while (now - window.front().first > 8s)
                window.pop_front();
            double total = 0.0;
            for (const auto& [at, each] : window)
                total += each;
            RC_ASSERT(total <= most);
        }
    });
}

TEST_CASE("repeats stay within what the node's own requests earn")
{
    repeat_budget budget{repeat_limits{0.2, 12.0, 10s}};
    const target_name target{"engines"};
    const time_point start{1h};

    SUBCASE("without requests there is a part of the allowance, shared by the nodes")
    {
        int spent = 0;
        while (budget.spend(target, 4, start))
            ++spent;
        CHECK(spent == 2);
    }
    SUBCASE("requests earn repeats")
    {
        for (int count = 0; count < 100; ++count)
            budget.count_request(target, start);
        int spent = 0;
        while (budget.spend(target, 4, start))
            ++spent;
        CHECK(spent >= 15);
        CHECK(spent <= 100 * 0.2 + 3);
    }
    SUBCASE("what was spent is forgotten with its window")
    {
        while (budget.spend(target, 4, start)) {
        }
        CHECK_FALSE(budget.spend(target, 4, start + 9s));
        CHECK(budget.spend(target, 4, start + 11s));
    }
}

} // namespace ragwortcove::core
