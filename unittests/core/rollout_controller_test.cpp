#include "ragwortcove/core/rollout_controller.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
const rollout_order ordered{target_name{"answers"}, version_name{"v2"}, 10s, rollout_state::running,
                            revision{5}};

rollout_report report(duration age, const version_counts& from, const version_counts& to)
{
    return {ordered.target,
            ordered.version,
            age,
            0,
            0,
            {rollout_route_counts{route_name{"chat"}, from, to}}};
}

version_counts good(std::uint32_t count)
{
    return {count, count, 0, count, 0, count, 0};
}

version_counts failed(std::uint32_t count)
{
    return {count, 0, count, 0, 0, 0, 0};
}

rollout_step decide(rollout_controller& controller, duration age)
{
    return controller.decide(ordered, 2, start + age);
}

/// Reports of one entry, every 200 ms between two ages, with 20 requests a second.
void run(rollout_controller& controller, duration from, duration to)
{
    for (duration age = from; age < to; age += 200ms) {
        const auto requests = static_cast<std::uint32_t>(age / 50ms);
        rollout_report made = report(age, good(requests), good(requests / 4));
        made.share_permille = decide(controller, age).directive.share_permille;
        controller.on_report(incarnation{1}, made, start + age);
    }
}

} // namespace

TEST_CASE("a roll-out goes from canaries to all requests and is complete")
{
    rollout_controller controller{ordered, {}, start};
    SUBCASE("canaries come when the new version is there")
    {
        run(controller, 0s, 2s);
        CHECK(controller.decide(ordered, 0, start + 2s).directive.share_permille == 0);
        CHECK(decide(controller, 2s).directive.share_permille > 0);
        CHECK(decide(controller, 2s).directive.share_permille < 400);
    }
    SUBCASE("it is complete when nothing is in flight on the old version")
    {
        run(controller, 0s, 9s);
        CHECK(decide(controller, 9s).directive.share_permille == 1000);
        CHECK(decide(controller, 9s).store_state == rollout_state::complete);
    }
    SUBCASE("requests in flight on the old version are waited for, but not beyond the deadline")
    {
        run(controller, 0s, 8800ms);
        rollout_report made = report(8800ms, good(180), good(45));
        made.share_permille = 1000;
        made.old_in_flight = 1;
        controller.on_report(incarnation{1}, made, start + 8800ms);
        CHECK_FALSE(decide(controller, 8900ms).store_state);
        CHECK(decide(controller, 9300ms).store_state == rollout_state::complete);
    }
    SUBCASE("without evidence it is taken back before the deadline")
    {
        controller.on_report(incarnation{1}, report(9300ms, good(100), {}), start + 9300ms);
        CHECK(decide(controller, 9300ms).store_state == rollout_state::reverted);
    }
    SUBCASE("an order that has ended is left as it is")
    {
        rollout_order ended = ordered;
        ended.state = rollout_state::reverted;
        CHECK_FALSE(controller.decide(ended, 2, start).store_state);
        CHECK(controller.decide(ended, 2, start).directive.halted);
    }
}

TEST_CASE("a controller that takes over goes on at the share that the entries apply")
{
    rollout_controller second{ordered, {}, start + 7s};
    rollout_report made = report(7s, good(140), good(40));
    made.share_permille = 1000;
    second.on_report(incarnation{1}, made, start + 7s);
    CHECK(decide(second, 7s).directive.share_permille == 1000);
    CHECK(decide(second, 8s).directive.share_permille == 1000);
    CHECK_FALSE(decide(second, 8s).store_state);
}

TEST_CASE("the age of the order is the longest that any entry knows of")
{
    rollout_controller controller{ordered, {}, start};
    controller.on_report(incarnation{1}, report(1s, good(10), {}), start);
    controller.on_report(incarnation{2}, report(9300ms, good(10), {}), start);
    CHECK(decide(controller, 0s).store_state == rollout_state::reverted);
}

TEST_CASE("a version that fails is halted at once and for good")
{
    rollout_controller controller{ordered, {}, start};
    run(controller, 0s, 2s);
    for (int i = 0; i < 8; ++i)
        controller.on_report(incarnation{2}, report(2s + i * 300ms, good(50), failed(2 * i)),
                             start + 2s + i * 300ms);
    CHECK(decide(controller, 5s).directive.halted);
    CHECK(decide(controller, 5s).directive.share_permille == 0);
    CHECK(decide(controller, 5s).store_state == rollout_state::reverted);
    run(controller, 5s, 7s);
    CHECK(decide(controller, 7s).directive.halted);
}

TEST_CASE("counts of entries are cumulative")
{
    rollout_controller controller{ordered, {}, start};
    SUBCASE("a report that comes twice, or after a newer one, counts once")
    {
        for (int i = 0; i < 20; ++i) {
            controller.on_report(incarnation{1}, report(2s, good(40), failed(2)), start + 2s);
            controller.on_report(incarnation{1}, report(1s, good(20), failed(1)), start + 2s);
        }
        CHECK_FALSE(decide(controller, 2s).directive.halted);
    }
    SUBCASE("a restarted entry keeps what its earlier process counted")
    {
        for (std::uint64_t i = 1; i < 8; ++i)
            controller.on_report(incarnation{i}, report(i * 300ms, good(20), failed(1)),
                                 start + i * 300ms);
        CHECK(decide(controller, 3s).directive.halted);
    }
}

TEST_CASE("many failures at one moment are not taken for a bad version")
{
    rollout_controller controller{ordered, {}, start};
    run(controller, 0s, 2s);
    controller.on_report(incarnation{2}, report(2s, good(50), failed(8)), start + 2s);
    CHECK_FALSE(decide(controller, 2s).directive.halted);
}

TEST_CASE("failures on both versions are not taken for a bad version")
{
    rollout_controller controller{ordered, {}, start};
    for (std::uint32_t i = 0; i < 20; ++i) {
        version_counts from = good(7 * i);
        from.failed = 3 * i;
        version_counts to = good(3 * i);
        to.failed = i;
        controller.on_report(incarnation{1}, report(i * 300ms, from, to), start + i * 300ms);
    }
    CHECK_FALSE(decide(controller, 6s).directive.halted);
}

// Guards against EXPOSURE: what counts as a result changes when the old version's first parts are
// compared, so that there may be fewer results than before the step.
TEST_CASE("a step waits for results when first parts are compared only from then on")
{
    constexpr duration interval = 100ms;
    rollout_controller controller{ordered, {}, start};
    std::uint32_t largest_share = 0;
    for (duration age = 0s; age < 9s; age += interval) {
        const auto requests = static_cast<std::uint32_t>(age / 10ms);
        const bool are_compared = age > 5600ms;
        const version_counts from{requests, requests, 0, are_compared ? 10U : 0U, 0, 0, 0};
        const std::uint32_t to_count = std::min(requests / 4, 40U);
        const version_counts to{to_count, to_count, 0, 0, 0, 0, 0};
        rollout_report made = report(age, from, to);
        made.share_permille = decide(controller, age).directive.share_permille;
        if (are_compared)
            largest_share = std::max(largest_share, made.share_permille);
        controller.on_report(incarnation{1}, made, start + age);
    }
    CHECK(largest_share <= 200);
}

// Guards against EXPOSURE: a version that answers nothing once it has all requests gives no bad
// result before the step is over.
TEST_CASE("a version that answers nothing with all requests is not complete")
{
    rollout_controller controller{ordered, {}, start};
    std::optional<std::uint32_t> answered;
    for (duration age = 0s; age < 9500ms; age += 200ms) {
        const auto requests = static_cast<std::uint32_t>(age / 50ms);
        const rollout_step step = decide(controller, age);
        CHECK(step.store_state != rollout_state::complete);
        if (step.directive.share_permille == 1000 && !answered)
            answered = requests / 4;
        version_counts to = good(answered.value_or(requests / 4));
        to.sent = requests / 4;
        rollout_report made = report(age, good(requests), to);
        made.share_permille = step.directive.share_permille;
        controller.on_report(incarnation{1}, made, start + age);
    }
    CHECK(answered);
    CHECK(decide(controller, 9500ms).store_state == rollout_state::reverted);
}
