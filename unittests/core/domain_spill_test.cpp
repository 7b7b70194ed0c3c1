#include "engine_fleet.hpp"
#include "ragwortcove/core/domain_spill.hpp"

#include <doctest/doctest.h>

#include <array>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

/// Four domains with six engines each, of which a third is four times slower.
struct spill_scenario {
    /// Requests a second; about 110 are what all engines can run in time.
    double per_second = 0.0;
    /// Engines that domain a keeps.
    std::size_t left_in_a = 6;
    duration report_age{0};
    /// Share of the nodes that the owner reaches.
    double fleet_share = 1.0;
    duration way_to_b = 1ms;
};

struct spill_outcome {
    testing::tally all;
    double lowest_share = 1.0;
    double share_of_a = 0.0;
    double highest_share = 0.0;
    std::map<std::pair<failure_domain_name, failure_domain_name>, double> tokens_between;
};

} // namespace

static void play(const spill_scenario& given, bool spills, std::uint64_t seed,
                 std::map<failure_domain_name, testing::tally>& by_domain, spill_outcome& out)
{
    const std::map<std::string, double> domains{{"a", 0.25}, {"b", 0.25}, {"c", 0.25}, {"d", 0.25}};
    const std::array<testing::load_kind, 3> kinds{
        {{given.per_second * 0.2, 0, 6600, 45.0, 800ms, 500ms, 12s},
         {given.per_second * 0.5, 1, 630, 35.0, 400ms, 500ms, 12s},
         {given.per_second * 0.3, 2, 1800, 3.0, 500ms, 500ms, 3s}}};
    testing::engine_fleet fleet{seed};
    for (const auto& [domain, share] : domains) {
        for (int index = 0; index < 6; ++index)
            fleet.add_engine(domain, index % 3 == 2 ? 4.0 : 1.0);
    }
    fleet.announce();
    fleet.scheduler.set_options({false, {spills}});
    fleet.scheduler.set_fleet_share(given.fleet_share);
    fleet.report_age = given.report_age;
    fleet.way = [&given](const auto& from, const auto& to) {
        return from == to ? duration{0} : to.value == "b" ? given.way_to_b : duration{1ms};
    };
    for (const auto& [from, share] : domains) {
        for (const auto& [to, other] : domains) {
            if (from != to)
                fleet.scheduler.record_way({from}, {to}, fleet.way({from}, {to}), fleet.now);
        }
    }
    fleet.counted_from = fleet.now + 10s;
    fleet.run(5s, kinds, domains);
    fleet.lose_engines("a", given.left_in_a);
    fleet.run(25s, kinds, domains);
    fleet.run(12s, {}, domains);
    for (const auto& [domain, counted] : fleet.by_domain) {
        testing::tally& total = by_domain[domain];
        for (testing::tally* each : {&total, &out.all}) {
            each->offered += counted.offered;
            each->on_time += counted.on_time;
            each->tokens_away += counted.tokens_away;
        }
    }
    for (const auto& [pair, tokens] : fleet.tokens_between)
        out.tokens_between[pair] += tokens;
}

static spill_outcome play(const spill_scenario& given, bool spills)
{
    std::map<failure_domain_name, testing::tally> by_domain;
    spill_outcome out;
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
        play(given, spills, seed, by_domain, out);
    for (const auto& [domain, counted] : by_domain) {
        out.lowest_share = std::min(out.lowest_share, counted.share());
        out.highest_share = std::max(out.highest_share, counted.share());
    }
    out.share_of_a = by_domain[{"a"}].share();
    return out;
}

static void report(const std::string& what, const spill_outcome& before, const spill_outcome& after)
{
    MESSAGE(what << ": on time " << before.all.share() << " and " << after.all.share()
                 << ", domain a " << before.share_of_a << " and " << after.share_of_a
                 << ", lowest and highest " << after.lowest_share << " and " << after.highest_share
                 << ", tokens that left " << before.all.tokens_away << " and "
                 << after.all.tokens_away);
}

TEST_CASE("under light load, requests stay in their domain and are as often in time")
{
    const spill_outcome before = play({30.0}, false);
    const spill_outcome after = play({30.0}, true);
    report("light load", before, after);
    CHECK(after.all.share() >= before.all.share() - 0.002);
    CHECK(after.all.tokens_away < 0.75 * before.all.tokens_away);
}

TEST_CASE("callers of a domain that has lost five of six upstreams are served as the others")
{
    for (const double per_second : {70.0, 130.0}) {
        const spill_outcome before = play({per_second, 1}, false);
        const spill_outcome after = play({per_second, 1}, true);
        report("domain a short", before, after);
        CHECK(after.highest_share - after.share_of_a <= 0.05);
        CHECK(after.all.tokens_away < before.all.tokens_away);
    }
    SUBCASE("also when the owner hears of ends 0.4 s late")
    {
        const spill_outcome after = play({70.0, 1, 400ms}, true);
        CHECK(after.highest_share - after.share_of_a <= 0.05);
    }
    SUBCASE("also when the owner reaches less than half of the nodes")
    {
        const spill_outcome after = play({50.0, 1, 0s, 0.45}, true);
        CHECK(after.highest_share - after.share_of_a <= 0.05);
    }
}

// When every domain spilled into every other, each slot would go to a caller from elsewhere.
TEST_CASE("when all domains are full, no more leaves than without spill-over")
{
    const spill_outcome before = play({160.0}, false);
    const spill_outcome after = play({160.0}, true);
    report("all full", before, after);
    CHECK(after.all.tokens_away < 0.75 * before.all.tokens_away);
    CHECK(after.highest_share - after.lowest_share <= 0.05);
    CHECK(after.all.share() >= before.all.share() - 0.03);
}

TEST_CASE("a domain behind a slow link gets few requests of a domain that is short")
{
    const spill_outcome after = play({70.0, 1, 0s, 1.0, 150ms}, true);
    const double to_b = after.tokens_between.at({{"a"}, {"b"}});
    const double to_c = after.tokens_between.at({{"a"}, {"c"}});
    const double to_d = after.tokens_between.at({{"a"}, {"d"}});
    MESSAGE("tokens from a to b, c and d: " << to_b << ", " << to_c << ", " << to_d);
    CHECK(to_b < 0.5 * std::min(to_c, to_d));
    CHECK(after.highest_share - after.share_of_a <= 0.05);
}

TEST_CASE("a plain service with one upstream in each domain")
{
    placement_scheduler scheduler;
    scheduler.set_options({false, {true}});
    std::vector<announced_upstream> all;
    for (const std::string domain : {"a", "b", "c"}) {
        announced_upstream& added = all.emplace_back();
        added.name.value = "s-" + domain;
        added.target.value = "service";
        added.failure_domain.value = domain;
        added.slots = 2;
    }
    scheduler.set_upstreams(all, nullptr);
    time_point now{1h};
    std::uint64_t sequence = 0;
    const auto ask = [&](const std::string& domain) {
        placement_request wanted;
        wanted.id = {{"entry"}, {1}, ++sequence};
        wanted.pool.value = "service";
        wanted.latency_budget = 100ms;
        wanted.max_wait = 300ms;
        wanted.failure_domain.value = domain;
        placement_scheduler::responses out;
        scheduler.submit(wanted, now, out);
        return out.empty() ? placement_grant{} : std::get<placement_grant>(out.front());
    };
    ask("a"); // A new owner waits for reports first.
    placement_scheduler::responses out;
    now += 100ms;
    scheduler.tick(now, out);
    scheduler.release(
        {std::get<placement_grant>(out.front()).id, placement_outcome::completed, 15ms, {}}, now,
        out);
    const std::array own{ask("a"), ask("a")};
    for (const placement_grant& each : own) {
        CHECK(each.upstream.value == "s-a");
        CHECK(each.left_domain == departure::none);
    }
    SUBCASE("what its own domain has no slot for leaves, and says why")
    {
        const placement_grant left = ask("a");
        CHECK(left.upstream.value != "s-a");
        CHECK(left.left_domain == departure::sooner);
    }
    SUBCASE("the next request stays again when a slot is free")
    {
        ask("a");
        scheduler.release({own.front().id, placement_outcome::completed, 15ms, {}}, now, out);
        CHECK(ask("a").upstream.value == "s-a");
    }
    SUBCASE("a domain without an upstream is served by the others")
    {
        CHECK(ask("d").left_domain == departure::too_few);
    }
}

TEST_CASE("a request leaves a free slot of its own domain for a reason only")
{
    const duration price = 10ms;
    CHECK(compare_offers({50'000.0, 1e6, 1000}, {45'000.0, 1e6, 1000}, price) == departure::none);
    CHECK(compare_offers({80'000.0, 1e6, 1000}, {45'000.0, 1e6, 1000}, price) == departure::sooner);
    SUBCASE("a prompt that is cached there counts more than the distance")
    {
        CHECK(compare_offers({50'000.0, 1e6, 1000}, {45'000.0, 1e6, 100}, price) ==
              departure::cached);
    }
    SUBCASE("a response that takes more than twice as long is a reason")
    {
        CHECK(compare_offers({50'000.0, 9e6, 0}, {50'000.0, 1.5e6, 0}, price) == departure::sooner);
        CHECK(compare_offers({50'000.0, 2e6, 0}, {50'000.0, 1.5e6, 0}, price) == departure::none);
    }
    SUBCASE("more bytes need a larger gain, and so does a request with much time left")
    {
        CHECK(least_saving(10ms, 800ms) == 80ms);
        CHECK(least_saving(10ms, 50ms) == 10ms);
        CHECK(price_of_leaving({true, 2ms}, 100) == 2ms);
        CHECK(price_of_leaving({true, 2ms}, 5120) == 40ms);
    }
}

TEST_CASE("a request waits for its own domain while that costs less than the way")
{
    CHECK_FALSE(is_worth_leaving(0ms, 5ms, 400ms, 3ms, 10ms));
    CHECK(is_worth_leaving(0ms, 20ms, 400ms, 3ms, 10ms));
    SUBCASE("what it has waited counts, so that a wrong estimate is found out")
    {
        CHECK(is_worth_leaving(10ms, 5ms, 400ms, 3ms, 10ms));
    }
    SUBCASE("it leaves when it would be late, or its domain has no upstream")
    {
        CHECK(is_worth_leaving(0ms, 5ms, 4ms, 3ms, 10ms));
        CHECK(is_worth_leaving(0ms, std::nullopt, 400ms, 3ms, 10ms));
    }
}

TEST_CASE("the way to a domain is how much longer the shortest round trips there are")
{
    round_trips trips;
    const time_point start{1h};
    const failure_domain_name own{"a"};
    const failure_domain_name other{"b"};
    CHECK_FALSE(trips.way(own, other).has_value());
    for (const duration busy : {9ms, 0ms, 30ms}) {
        trips.record(own, 1ms + busy, start);
        trips.record(other, 4ms + busy, start);
    }
    CHECK(trips.way(own, other) == duration{3ms});
    SUBCASE("a link that becomes slow is noticed within two windows")
    {
        for (int second = 0; second <= 12; ++second) {
            trips.record(own, 1ms, start + second * 1s);
            trips.record(other, 61ms, start + second * 1s);
        }
        CHECK(trips.way(own, other) == duration{60ms});
    }
    SUBCASE("owners use it for a while, then a typical time")
    {
        domain_ways ways;
        ways.record(own, other, 60ms, start);
        CHECK(ways.between(own, other, start + 1s) == duration{60ms});
        CHECK(ways.between(own, other, start + 1h) == duration{3ms});
        CHECK(ways.between(own, own, start) == duration{0});
    }
}

} // namespace ragwortcove::core
