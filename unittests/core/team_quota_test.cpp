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

TEST_CASE("a team gets its rate and its burst, and a denial tells when to retry")
{
    team_quota quota{quota_tolerance{}};
    const team_rule team = make_team(100.0, 50.0);
    time_point now{1h};

    // A new bucket holds only a part of the burst: the node that accounted before may have granted
    // the rest.
    CHECK(quota.take(team, {5.0, 1.0, 0s, true}, now).granted);
    const quota_decision denied = quota.take(team, {10.0, 1.0, 0s, true}, now);
    CHECK_FALSE(denied.granted);
    CHECK(denied.wait == 100ms);
    CHECK(quota.take(team, {10.0, 1.0, 0s, true}, now + denied.wait).granted);

    SUBCASE("units of a request that did not run are refunded")
    {
        now += 100ms;
        CHECK_FALSE(quota.take(team, {30.0, 1.0, 0s, true}, now).granted);
        quota.begin(team, now);
        quota.refund(team, 30.0, now);
        CHECK(quota.take(team, {30.0, 1.0, 0s, true}, now).granted);
    }
    SUBCASE("a request that can wait is granted with a wait, and later ones with a longer wait")
    {
        now += 100ms;
        CHECK(quota.take(team, {10.0, 1.0, 150ms, true}, now).wait == 100ms);
        const quota_decision second = quota.take(team, {10.0, 1.0, 150ms, true}, now);
        CHECK_FALSE(second.granted);
        CHECK(second.wait == 200ms);
        CHECK(quota.take(team, {10.0, 1.0, 200ms, true}, now).wait == 200ms);
    }
    SUBCASE("a small request is granted while the debt is small")
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
    SUBCASE("a lower limit applies at once")
    {
        now += 10s;
        const team_rule lower = make_team(10.0, 5.0);
        CHECK(quota.take(lower, {5.0, 1.0, 0s, true}, now).granted);
        CHECK_FALSE(quota.take(lower, {5.0, 1.0, 0s, true}, now).granted);
    }
    SUBCASE("a node with a share of the rate has the same share of the burst")
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

TEST_CASE("units of the tolerance are granted only while there are free slots")
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
    SUBCASE("not while requests are queued for slots")
    {
        CHECK(granted_in_ten_seconds(false) <= quota_alone);
    }
    SUBCASE("while there are free slots")
    {
        const double granted = granted_in_ten_seconds(true);
        CHECK(granted > quota_alone);
        // All of the tolerance except the units that the rate yields in 0.65 s.
        CHECK(granted <= quota_alone + (0.1 * 850.0 + 100.0 - 65.0) * 10.0 / 8.0 + 25.0);
    }
}

TEST_CASE("a node that starts to account for a team has the units handed over, and no more")
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

    SUBCASE("without a handover it starts with a part of the burst")
    {
        after.begin(team, now);
        CHECK(after.take(team, {5.0, 1.0, 0s, true}, now).granted);
        CHECK_FALSE(after.take(team, {1.0, 1.0, 0s, true}, now).granted);
        CHECK(after.take(team, {1.0, 1.0, 0s, true}, now + 10ms).granted);
    }
    SUBCASE("the handover may arrive before or after the node knows that it accounts")
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
    SUBCASE("an old handover is ignored")
    {
        after.refund(team, left, now - 2s);
        after.begin(team, now);
        CHECK(after.take(team, {5.0, 1.0, 0s, true}, now).granted);
        CHECK_FALSE(after.take(team, {1.0, 1.0, 0s, true}, now).granted);
    }
}

// The accounting node does not respond for 0.3 s, and reports of the units granted meanwhile are
// lost. Guards against a fault in which each node's own bucket started partly full and had a part
// of the tolerance, so that the nodes together exceeded the limit.
TEST_CASE("nodes that grant units on their own stay within the tolerance together with the "
          "accounting node")
{
    const quota_tolerance tolerance{8s, 0.1, 400.0};
    const team_rule team = make_team(1000.0, 1000.0);
    const double max_units = (1000.0 * 8.0 + 1000.0) * 1.1 + 400.0;
    constexpr std::size_t nodes = 20;
    constexpr double cost = 1.0;
    team_quota accounting{tolerance};
    std::vector<team_quota> other_nodes(nodes, team_quota{tolerance});
    time_point now{1h};
    accounting.begin(team, now);
    // Long enough for its bucket and its tolerance to be full.
    static_cast<void>(accounting.take(team, {cost, 1.0, 0s, false}, now));
    now += 60s;
    double given = 0.0;
    for (int step = 0; step < 800; ++step) {
        now += 10ms;
        const bool responds = step < 400 || step >= 430;
        for (team_quota& node : other_nodes) {
            if (responds)
                given += accounting.take(team, {cost, 1.0, 0s, true, true}, now).granted ? cost : 0;
            else
                given +=
                    node.take(team, {cost, 1.0 / nodes, 0s, true, false}, now).granted ? cost : 0;
        }
    }
    CHECK(given <= max_units);
    CHECK(given >= 1000.0 * 8.0);
}

TEST_CASE("no window of a team's requests exceeds its quota plus the tolerance")
{
    rc::check([](std::uint32_t seed) {
        const quota_tolerance tolerance{8s, 0.1, 400.0};
        team_quota quota{tolerance};
        const team_rule team = make_team(1000.0, 1000.0);
        const double max_units = (1000.0 * 8.0 + 1000.0) * 1.1 + 400.0;
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
            RC_ASSERT(total <= max_units);
        }
    });
}

TEST_CASE("retries stay within the budget that the node's own requests earn")
{
    repeat_budget budget{repeat_limits{0.2, 12.0, 10s}};
    const target_name target{"engines"};
    const time_point start{1h};

    SUBCASE("without requests there is a minimum budget, shared by the nodes")
    {
        int spent = 0;
        while (budget.spend(target, 4, start))
            ++spent;
        CHECK(spent == 2);
    }
    SUBCASE("requests add to the budget")
    {
        for (int count = 0; count < 100; ++count)
            budget.count_request(target, start);
        int spent = 0;
        while (budget.spend(target, 4, start))
            ++spent;
        CHECK(spent >= 15);
        CHECK(spent <= 100 * 0.2 + 3);
    }
    SUBCASE("spent retries are forgotten after the window")
    {
        while (budget.spend(target, 4, start)) {
        }
        CHECK_FALSE(budget.spend(target, 4, start + 9s));
        CHECK(budget.spend(target, 4, start + 11s));
    }
}

} // namespace ragwortcove::core
