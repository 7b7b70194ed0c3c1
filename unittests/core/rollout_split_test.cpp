#include "ragwortcove/core/rollout_split.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace ragwortcove::core;
using namespace std::chrono_literals;
using kind = rollout_observation::event_kind;

namespace {

const target_name target{"answers"};
const version_name old_version{"v1"};
const version_name new_version{"v2"};
const route_name chat{"chat"};
constexpr time_point start{100s};

announced_upstream upstream(const std::string& name, const version_name& version)
{
    announced_upstream made;
    made.name = upstream_name{name};
    made.target = target;
    made.version = version;
    return made;
}

const announced_upstream old_one = upstream("a", old_version);
const announced_upstream new_one = upstream("b", new_version);

rollout_order order(rollout_state state)
{
    return {target, new_version, 12s, state, revision{5}};
}

void set_order(rollout_split& split, rollout_state state, time_point now)
{
    const std::vector<rollout_order> all{order(state)};
    split.set_orders(all, now);
}

void set_upstreams(rollout_split& split, const std::vector<announced_upstream>& all, time_point now)
{
    split.set_upstreams(all, now);
}

rollout_directive directive(std::uint32_t share, bool halted = false)
{
    return {target, new_version, share, halted};
}

int canaries_of_100(rollout_split& split, const rollout_request& request, time_point now)
{
    random_engine random{7};
    int chosen = 0;
    for (int i = 0; i < 100; ++i)
        chosen += split.choose_canary(request, random, now) ? 1 : 0;
    return chosen;
}

rollout_observation seen(const version_name& version, kind what, duration time = duration{0})
{
    return {target, version, chat, what, time, 0};
}

const rollout_request repeatable{target, chat, true};
const rollout_request once_only{target, route_name{"briefing"}, false};

} // namespace

TEST_CASE("an upstream's role follows from the order and its stored state")
{
    rollout_split split;
    set_upstreams(split, {old_one, new_one}, start);
    CHECK(split.role_of(new_one) == upstream_role::regular);

    SUBCASE("while the order is open, the new version's upstreams are canaries")
    {
        for (const rollout_state state : {rollout_state::pending, rollout_state::running}) {
            set_order(split, state, start);
            CHECK(split.role_of(old_one) == upstream_role::regular);
            CHECK(split.role_of(new_one) == upstream_role::canary);
        }
        CHECK(split.active_orders().size() == 1);
    }
    SUBCASE("a version that was taken back gets nothing")
    {
        set_order(split, rollout_state::reverted, start);
        CHECK(split.role_of(old_one) == upstream_role::regular);
        CHECK(split.role_of(new_one) == upstream_role::excluded);
        CHECK_FALSE(split.may_send(new_one, start));
        CHECK(split.active_orders().empty());
    }
    SUBCASE("after completion the old version gets nothing while the new one is there")
    {
        set_order(split, rollout_state::complete, start);
        CHECK(split.role_of(old_one) == upstream_role::excluded);
        CHECK(split.role_of(new_one) == upstream_role::regular);
        set_upstreams(split, {old_one}, start + 1s);
        CHECK(split.role_of(old_one) == upstream_role::regular);
    }
    SUBCASE("an order that is gone has no effect")
    {
        set_order(split, rollout_state::reverted, start);
        split.set_orders({}, start);
        CHECK(split.role_of(new_one) == upstream_role::regular);
    }
}

TEST_CASE("a version whose order comes late gets no requests before its order")
{
    rollout_split split;
    set_upstreams(split, {old_one}, start);
    set_upstreams(split, {old_one, new_one}, start + 1s);
    CHECK(split.role_of(old_one) == upstream_role::regular);
    CHECK(split.role_of(new_one) == upstream_role::excluded);

    SUBCASE("the order makes it a canary")
    {
        set_order(split, rollout_state::pending, start + 2s);
        CHECK(split.role_of(new_one) == upstream_role::canary);
    }
    SUBCASE("without an order it serves after a short time")
    {
        set_upstreams(split, {old_one, new_one}, start + 1s + unordered_version_hold);
        CHECK(split.role_of(new_one) == upstream_role::regular);
    }
    SUBCASE("it serves at once when nothing else can")
    {
        set_upstreams(split, {new_one}, start + 1s);
        CHECK(split.role_of(new_one) == upstream_role::regular);
    }
}

TEST_CASE("canaries need a fresh share and no halt")
{
    rollout_split split;
    set_order(split, rollout_state::running, start);
    CHECK(canaries_of_100(split, repeatable, start) == 0);
    split.on_directive(directive(250), start);
    CHECK(canaries_of_100(split, repeatable, start) > 10);
    CHECK(canaries_of_100(split, repeatable, start) < 45);
    CHECK(split.may_send(new_one, start));

    SUBCASE("an entry that loses the controller stops")
    {
        CHECK(canaries_of_100(split, repeatable, start + directive_lifetime) == 0);
        CHECK_FALSE(split.may_send(new_one, start + directive_lifetime));
        CHECK(split.may_send(old_one, start + directive_lifetime));
    }
    SUBCASE("a halt is never taken back")
    {
        split.on_directive(directive(0, true), start);
        split.on_directive(directive(1000), start);
        CHECK(canaries_of_100(split, repeatable, start) == 0);
        CHECK_FALSE(split.may_send(new_one, start));
        CHECK(split.reports(start).front().share_permille == 0);
    }
    SUBCASE("a new order for the same version ends the halt of the one before")
    {
        split.on_directive(directive(0, true), start);
        set_order(split, rollout_state::reverted, start);
        set_order(split, rollout_state::pending, start);
        split.on_directive(directive(1000), start);
        CHECK(canaries_of_100(split, repeatable, start) == 100);
    }
    SUBCASE("a directive for another version has no effect")
    {
        split.on_directive({target, version_name{"v3"}, 1000, false}, start);
        CHECK(canaries_of_100(split, repeatable, start) < 45);
    }
}

TEST_CASE("a request that may not be repeated is no canary before others have passed")
{
    rollout_split split;
    set_order(split, rollout_state::running, start);
    split.on_directive(directive(all_requests_share_permille - 1), start);

    SUBCASE("unless the target has no others")
    {
        CHECK(canaries_of_100(split, once_only, start) > 0);
    }
    SUBCASE("and is one from a larger share on")
    {
        CHECK(canaries_of_100(split, repeatable, start) > 0);
        CHECK(canaries_of_100(split, once_only, start) == 0);
        split.on_directive(directive(250), start);
        CHECK(canaries_of_100(split, once_only, start) > 0);
    }
}

TEST_CASE("times of both versions are judged by what was usual on the old one")
{
    rollout_split split;
    for (int i = 0; i < 50; ++i) {
        split.observe(seen(old_version, kind::first_part, 40ms + i * 1ms), start);
        split.observe(seen(old_version, kind::between_events, 20ms), start);
    }
    set_order(split, rollout_state::running, start);
    const auto counts = [&] { return split.reports(start).front().routes.front(); };

    SUBCASE("of the new version")
    {
        split.observe(seen(new_version, kind::first_part, 60ms), start);
        split.observe(seen(new_version, kind::first_part, 400ms), start);
        split.observe(seen(new_version, kind::between_events, 80ms), start);
        CHECK(counts().new_version.first_parts_on_time == 1);
        CHECK(counts().new_version.first_parts_late == 1);
        CHECK(counts().new_version.streams_late == 1);
    }
    SUBCASE("of the old version")
    {
        split.observe(seen(old_version, kind::first_part, 400ms), start);
        CHECK(counts().old_version.first_parts_late == 1);
    }
    SUBCASE("a long prompt may take longer")
    {
        rollout_observation long_prompt = seen(new_version, kind::first_part, 400ms);
        long_prompt.uncached_tokens = 20'000;
        split.observe(long_prompt, start);
        CHECK(counts().new_version.first_parts_on_time == 1);
    }
    SUBCASE("the old version does not lower the limit as requests leave it")
    {
        for (int i = 0; i < 2000; ++i)
            split.observe(seen(old_version, kind::first_part, 10ms), start);
        split.observe(seen(new_version, kind::first_part, 60ms), start);
        CHECK(counts().new_version.first_parts_on_time == 1);
    }
    SUBCASE("a slow response of a fast upstream is not hidden by slow upstreams")
    {
        rollout_observation response = seen(new_version, kind::between_events, 5ms);
        response.upstream = new_one.name;
        for (int i = 0; i < 3; ++i)
            split.observe(response, start);
        response.time = 18ms;
        split.observe(response, start);
        CHECK(counts().new_version.streams_on_time == 3);
        CHECK(counts().new_version.streams_late == 1);
    }
    SUBCASE("an upstream that is slow after its start says nothing about its version")
    {
        rollout_observation warming_up = seen(new_version, kind::first_part, 400ms);
        warming_up.is_warming_up = true;
        split.observe(warming_up, start);
        CHECK(split.reports(start).front().routes.empty());
    }
    SUBCASE("the new version does not change what is usual")
    {
        for (int i = 0; i < 2000; ++i)
            split.observe(seen(new_version, kind::first_part, 400ms), start);
        CHECK(counts().new_version.first_parts_late == 2000);
    }
}

TEST_CASE("an entry's canaries go to one upstream at first, and to another when that one fails")
{
    rollout_split split;
    const std::vector<announced_upstream> canaries{
        upstream("c0", new_version), upstream("c1", new_version), upstream("c2", new_version),
        upstream("c3", new_version), upstream("c4", new_version)};
    set_upstreams(split, canaries, start);
    set_order(split, rollout_state::running, start);
    split.on_directive(directive(100), start);
    CHECK(canaries_of_100(split, repeatable, start) > 0);
    const auto open = [&] {
        std::vector<upstream_name> names;
        for (const announced_upstream& one : canaries)
            if (split.role_of(one) == upstream_role::canary)
                names.push_back(one.name);
        return names;
    };
    REQUIRE(open().size() == 1);

    SUBCASE("requests that were granted for another may still be sent")
    {
        for (const announced_upstream& one : canaries)
            CHECK(split.may_send(one, start));
    }
    SUBCASE("all get some when that one has several in flight, or with a larger share")
    {
        SUBCASE("in flight")
        {
            for (int i = 0; i < 3; ++i)
                split.observe(seen(new_version, kind::sent), start);
        }
        SUBCASE("share")
        {
            split.on_directive(directive(1000), start);
        }
        CHECK(open().size() == canaries.size());
    }
    SUBCASE("failures reach the others")
    {
        std::vector<upstream_name> reached;
        for (int i = 0; i < 40; ++i) {
            const upstream_name at = open().front();
            if (std::find(reached.begin(), reached.end(), at) == reached.end())
                reached.push_back(at);
            rollout_observation failure = seen(new_version, kind::failed);
            failure.upstream = at;
            split.observe(failure, start);
        }
        CHECK(reached.size() == canaries.size());
    }
}

TEST_CASE("a report counts requests in flight on the old version, sent before the order too")
{
    rollout_split split;
    split.observe(seen(old_version, kind::sent), start);
    set_order(split, rollout_state::running, start);
    split.observe(seen(old_version, kind::sent), start);
    split.observe(seen(new_version, kind::sent), start);
    CHECK(split.reports(start + 2s).front().old_in_flight == 2);
    CHECK(split.reports(start + 2s).front().order_age == 2s);
    split.observe(seen(old_version, kind::abandoned), start);
    split.observe(seen(old_version, kind::passed), start);
    CHECK(split.reports(start).front().old_in_flight == 0);
    const rollout_route_counts counts = split.reports(start).front().routes.front();
    CHECK(counts.old_version.sent == 1);
    CHECK(counts.old_version.passed == 1);
    CHECK(counts.new_version.sent == 1);
}

// Guards against EXPOSURE: the operator orders a third version while the upstreams of the second
// one, which was taken back, are still announced.
TEST_CASE("a version that was taken back gets nothing when the next version is ordered")
{
    const announced_upstream third = upstream("c", version_name{"v3"});
    rollout_split split;
    set_upstreams(split, {old_one, new_one}, start);
    set_order(split, rollout_state::running, start);
    SUBCASE("its state was stored")
    {
        set_order(split, rollout_state::reverted, start + 4s);
    }
    SUBCASE("it was halted, and its state was not stored yet")
    {
        split.on_directive(directive(0, true), start + 4s);
    }
    set_upstreams(split, {old_one, new_one, third}, start + 5s);
    const std::vector<rollout_order> next{
        {target, third.version, 12s, rollout_state::pending, revision{9}}};
    split.set_orders(next, start + 5s);
    CHECK(split.role_of(old_one) == upstream_role::regular);
    CHECK(split.role_of(new_one) == upstream_role::excluded);
    CHECK_FALSE(split.may_send(new_one, start + 5s));
    CHECK(split.role_of(third) == upstream_role::canary);
    set_order(split, rollout_state::pending, start + 6s);
    CHECK(split.role_of(new_one) == upstream_role::canary);
}

// Guards against EXPOSURE: the second roll-out of a service, whose upstreams are announced before
// the order's document arrives. The document of the earlier order is still there.
TEST_CASE("a new version is held out beside an earlier order that was taken back")
{
    const announced_upstream third = upstream("c", version_name{"v3"});
    rollout_split split;
    set_upstreams(split, {old_one}, start);
    set_order(split, rollout_state::reverted, start);
    set_upstreams(split, {old_one, third}, start + 9s);
    CHECK(split.role_of(old_one) == upstream_role::regular);
    CHECK(split.role_of(third) == upstream_role::excluded);
    set_upstreams(split, {old_one, third}, start + 9s + unordered_version_hold);
    CHECK(split.role_of(third) == upstream_role::regular);
}
