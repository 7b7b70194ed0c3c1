#include "ragwortcove/core/team_shares.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static constexpr time_point now{1h};
static const team_name large{"large"};
static const team_name small{"small"};

TEST_CASE("a team's weight is in proportion to its quota")
{
    ruleset rules;
    rules.teams.resize(5);
    rules.teams[0] = {.name = large, .counts_tokens = true, .rate = 3000.0};
    rules.teams[1] = {.name = small, .counts_tokens = true, .rate = 1000.0};
    rules.teams[2] = {.name = {"requests"}, .rate = 20.0};
    rules.teams[3] = {.name = {"unlimited"}, .counts_tokens = true};
    rules.teams[4] = {.name = {"tiny"}, .rate = 0.001};
    const team_weights weights = make_team_weights(rules);
    CHECK(weight_of(weights, large) == doctest::Approx(3 * weight_of(weights, small)));
    CHECK((weight_of(weights, large) + weight_of(weights, small)) / 2 == doctest::Approx(1.0));
    SUBCASE("a team without a quota has the mean weight")
    {
        CHECK(weight_of(weights, {"unlimited"}) == 1.0);
        CHECK(weight_of(weights, {"unknown"}) == 1.0);
    }
    SUBCASE("a very small quota has a weight still")
    {
        CHECK(weight_of(weights, {"tiny"}) > 0.0);
    }
}

TEST_CASE("teams that compete are served slot time in proportion to their weights")
{
    team_shares shares;
    share_account& first = shares.account_for(0, large, 3.0);
    share_account& second = shares.account_for(0, small, 1.0);
    // The large team's requests are short, the small one's long.
    const auto serve_next = [&](time_point at) -> share_account& {
        share_account& next =
            shares.lead_of(first, at) <= shares.lead_of(second, at) ? first : second;
        shares.charge(next, &next == &first ? 30ms : 100ms, at);
        return next;
    };
    const auto count_slot_time = [&](int times) {
        duration slot_time[2] = {0s, 0s};
        for (int count = 0; count != times; ++count) {
            if (&serve_next(now) == &first)
                slot_time[0] += 30ms;
            else
                slot_time[1] += 100ms;
        }
        return static_cast<double>(slot_time[0].count()) /
               static_cast<double>(slot_time[1].count());
    };

    SUBCASE("whatever the sizes of their requests")
    {
        CHECK(count_slot_time(400) == doctest::Approx(3.0).epsilon(0.05));
    }
    SUBCASE("and a team that was idle may use later what it left unused in the last seconds only")
    {
        const auto use_for = [&](duration time) {
            for (duration at = 0s; at != time; at += 100ms)
                shares.charge(second, 100ms, now + at);
            return shares.lead_of(first, now + time);
        };
        const double after_2s = use_for(2s);
        CHECK(after_2s < 0.0);
        CHECK(use_for(20s) == doctest::Approx(after_2s).epsilon(0.1));
    }
    SUBCASE("and a team that has used more is not held back for it after a second")
    {
        for (int count = 0; count != 50; ++count)
            shares.charge(second, 100ms, now);
        CHECK(shares.lead_of(second, now) > 0.0);
        CHECK(shares.lead_of(second, now + 1100ms) == 0.0);
    }
    SUBCASE("ranks do not share")
    {
        shares.charge(first, 10s, now);
        CHECK(shares.lead_of(shares.account_for(1, large, 3.0), now) == 0.0);
    }
}

TEST_CASE("a team is over its share while it asks for far more than its weight grants")
{
    team_shares shares;
    share_account& first = shares.account_for(0, large, 3.0);
    share_account& second = shares.account_for(0, small, 1.0);
    const auto ask = [&](duration of_large, duration of_small) {
        for (int count = 0; count != 20; ++count) {
            shares.record_request(first, of_large, now + count * 100ms);
            shares.record_request(second, of_small, now + count * 100ms);
        }
    };
    SUBCASE("not while it is alone")
    {
        for (int count = 0; count != 20; ++count)
            shares.record_request(second, 10s, now + 30s + count * 100ms);
        CHECK_FALSE(second.is_over_share);
        SUBCASE("after another team has asked for nothing for some seconds")
        {
            shares.record_request(first, 10s, now + 32s);
            shares.record_request(second, 10s, now + 35s);
            CHECK_FALSE(second.is_over_share);
        }
    }
    SUBCASE("not by what its weight grants")
    {
        ask(300ms, 100ms);
        CHECK_FALSE(first.is_over_share);
        CHECK_FALSE(second.is_over_share);
    }
    SUBCASE("but by six times that")
    {
        ask(300ms, 600ms);
        CHECK_FALSE(first.is_over_share);
        CHECK(second.is_over_share);
        SUBCASE("and no longer some seconds after it has stopped")
        {
            for (int count = 0; count != 40; ++count)
                shares.record_request(first, 300ms, now + 2s + count * 100ms);
            CHECK_FALSE(second.is_over_share);
        }
    }
    SUBCASE("accounts that ask for nothing are removed")
    {
        shares.record_request(first, 200ms, now);
        shares.record_request(second, 200ms, now + 8s);
        shares.forget_idle(now + 11s);
        CHECK(shares.size() == 1);
    }
}

TEST_CASE("waiting requests are numbered so that a team with many does not precede one with few")
{
    team_shares shares;
    share_account& first = shares.account_for(0, large, 1.0);
    share_account& second = shares.account_for(0, small, 1.0);
    share_order order(shares, now);
    CHECK(order.next_lead(first, 100ms) == 0.0);
    const double second_of_many = order.next_lead(first, 100ms);
    CHECK(order.next_lead(second, 100ms) == 0.0);
    CHECK(second_of_many > 0.0);
    CHECK(order.next_lead(first, 100ms) > second_of_many);
}
