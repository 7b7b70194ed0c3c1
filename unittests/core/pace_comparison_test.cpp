#include "ragwortcove/core/pace_comparison.hpp"
#include "ragwortcove/core/rollout_controller.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {

/// Paces of upstreams of one version with these times between events, in milliseconds.
std::vector<upstream_pace> make_paces(bool of_new_version, const std::vector<double>& times_ms)
{
    std::vector<upstream_pace> made;
    for (std::size_t i = 0; i < times_ms.size(); ++i) {
        const std::string name = (of_new_version ? "new-" : "old-") + std::to_string(i);
        made.push_back({{name}, of_new_version, times_ms[i]});
    }
    return made;
}

std::vector<upstream_pace> make_paces(const std::vector<double>& old_ms,
                                      const std::vector<double>& new_ms)
{
    std::vector<upstream_pace> all = make_paces(false, old_ms);
    for (upstream_pace& each : make_paces(true, new_ms))
        all.push_back(std::move(each));
    return all;
}

pace_comparison compare(const std::vector<double>& old_ms, const std::vector<double>& new_ms)
{
    pace_comparison made;
    for (const upstream_pace& each : make_paces(old_ms, new_ms))
        made.add(each);
    return made;
}

const std::vector<double> mixed_ms{14, 60, 60, 14, 60, 60, 14, 60, 60};
const std::vector<double> mixed_four_times_slower_ms{56, 240, 240, 56, 240, 240, 56, 240, 240};

} // namespace

TEST_CASE("a slow version shows beside a version whose upstreams are of unlike speed")
{
    SUBCASE("the same mix of speeds is neither slow nor suspicious")
    {
        const pace_comparison compared = compare(mixed_ms, mixed_ms);
        CHECK_FALSE(compared.is_slow());
        CHECK_FALSE(compared.is_suspicious());
    }
    SUBCASE("four times slower is slow, though its fast upstreams are as fast as slow old ones")
    {
        CHECK(compare(mixed_ms, mixed_four_times_slower_ms).is_slow());
    }
    SUBCASE("four times slower is slow where most upstreams are fast")
    {
        CHECK(compare({14, 14, 60, 14, 14, 60}, {56, 56, 240, 56, 56, 240}).is_slow());
    }
    SUBCASE("four times slower is slow where all upstreams have one speed")
    {
        CHECK(compare({14, 15, 16}, {56, 60, 64}).is_slow());
    }
    SUBCASE("half as fast again is not slow")
    {
        CHECK_FALSE(compare({14, 15, 16, 14}, {21, 22, 24, 21}).is_slow());
    }
}

TEST_CASE("few upstreams do not make a version slow")
{
    SUBCASE("two slow ones make it suspicious only")
    {
        const pace_comparison compared = compare({14, 15, 16}, {60, 60});
        CHECK_FALSE(compared.is_slow());
        CHECK(compared.is_suspicious());
    }
    SUBCASE("without enough old upstreams there is nothing to compare with")
    {
        CHECK_FALSE(compare({14, 15}, {60, 60, 60, 60}).is_suspicious());
    }
    SUBCASE("an upstream that recovers is compared by its newest times")
    {
        pace_comparison compared = compare({14, 15, 16}, {60, 60, 60});
        REQUIRE(compared.is_slow());
        for (int report = 0; report < 10; ++report) {
            for (const upstream_pace& each : make_paces(true, {15, 15, 15}))
                compared.add(each);
        }
        CHECK_FALSE(compared.is_slow());
    }
}

TEST_CASE("a version that is slow within the range of the old one's times is halted as a canary")
{
    const rollout_order ordered{{"answers"}, {"v2"}, 15s, rollout_state::running, {5}};
    const time_point start{100s};
    rollout_controller controller{ordered, {}, start};
    const version_counts on_time{40, 40, 0, 40, 0, 40, 0};
    rollout_report report{
        ordered.target, ordered.version, 3s, 40, 5, {{{"chat"}, on_time, {}}}, {}};
    const auto decide = [&] {
        controller.on_report(incarnation{1}, report, start + 3s);
        return controller.decide(ordered, mixed_ms.size(), start + 3s);
    };
    SUBCASE("no response counts as late, and a good version goes on")
    {
        report.paces = make_paces(mixed_ms, mixed_ms);
        CHECK_FALSE(decide().directive.halted);
    }
    SUBCASE("a slow one is halted and taken back at once")
    {
        report.paces = make_paces(mixed_ms, mixed_four_times_slower_ms);
        const rollout_step step = decide();
        CHECK(step.directive.halted);
        CHECK(step.directive.share_permille == 0);
        CHECK(step.store_state == rollout_state::reverted);
    }
}
