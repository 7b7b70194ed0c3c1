#include "ragwortcove/core/membership.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static time_point at(duration since_start)
{
    return time_point{1h + since_start};
}

namespace {
/// A membership and what a step needs.
struct seen_by {
    node_settings settings;
    random_engine random{7};
    effect_list effects;
    membership members;

    explicit seen_by(const std::string& name, std::uint64_t run = 1)
        : settings{make(name, run)}, members{this->settings}
    {
        this->members.become_live();
    }
    static node_settings make(const std::string& name, std::uint64_t run)
    {
        node_settings made;
        made.name = node_name{name};
        made.run = incarnation{run};
        made.peers = endpoint{"127.0.0.1", 8100};
        made.region = region_name{"zurich"};
        return made;
    }
    step_context context(duration when)
    {
        return step_context{at(when), unix_millis{0}, this->random, this->effects};
    }
    /// Takes a heartbeat of the other.
    void hear(seen_by& other, duration when)
    {
        step_context there = other.context(when);
        const heartbeat told = other.members.make_heartbeat(this->settings.name, false, there);
        step_context here = this->context(when);
        this->members.receive(told, here);
    }
    member_state state_of(const std::string& name)
    {
        const member* found = this->members.find(node_name{name});
        REQUIRE(found != nullptr);
        return found->claim.state;
    }
    /// Lets the time pass without an answer from anybody.
    void wait(duration from, duration until)
    {
        for (duration when = from; when <= until; when += 100ms) {
            step_context now = this->context(when);
            (void)this->members.due(now);
        }
    }
};
} // namespace

TEST_CASE("a member that falls silent is suspected, then declared dead")
{
    seen_by watcher{"a"};
    seen_by other{"b"};
    watcher.hear(other, 0ms);
    CHECK(watcher.state_of("b") == member_state::live);
    watcher.wait(100ms, 700ms);
    CHECK(watcher.state_of("b") == member_state::suspect);

    SUBCASE("a suspect still owns its cells")
    {
        const std::vector<std::string> owners =
            watcher.members.owners(region_name{"zurich"}, at(700ms));
        CHECK(std::find(owners.begin(), owners.end(), "b") != owners.end());
    }
    SUBCASE("it refutes the suspicion when it hears of it")
    {
        other.hear(watcher, 800ms);
        watcher.hear(other, 900ms);
        CHECK(watcher.state_of("b") == member_state::live);
    }
    SUBCASE("it is dead when it does not, and its incarnation has ended")
    {
        (void)watcher.members.take_changes();
        watcher.wait(800ms, 2500ms);
        CHECK(watcher.state_of("b") == member_state::dead);
        CHECK(watcher.members.find_run(incarnation{1}) == nullptr);
        const membership_changes changes = watcher.members.take_changes();
        REQUIRE(changes.ended.size() == 1);
        CHECK(changes.ended.front() == incarnation{1});

        SUBCASE("a paused node that wakes comes back under the same incarnation")
        {
            other.hear(watcher, 3s);
            CHECK(other.members.take_changes().was_declared_dead);
            watcher.hear(other, 3100ms);
            CHECK(watcher.state_of("b") == member_state::live);
        }
        SUBCASE("a new process under the same name is another incarnation")
        {
            seen_by restarted{"b", 2};
            watcher.hear(restarted, 3s);
            CHECK(watcher.state_of("b") == member_state::live);
            CHECK(watcher.members.find_run(incarnation{1}) == nullptr);
            CHECK(watcher.members.find_run(incarnation{2}) != nullptr);
        }
    }
}

TEST_CASE("old news does not replace newer")
{
    seen_by watcher{"a"};
    seen_by first{"b", 1};
    seen_by second{"b", 2};
    watcher.hear(second, 0ms);
    watcher.hear(first, 100ms);
    CHECK(watcher.members.find(node_name{"b"})->claim.run == incarnation{2});
}

TEST_CASE("a member whose stream broke owns nothing for a while")
{
    seen_by watcher{"a"};
    seen_by other{"b"};
    watcher.hear(other, 0ms);
    step_context now = watcher.context(100ms);
    watcher.members.disconnected(node_name{"b"}, now);
    CHECK(watcher.members.owners(region_name{"zurich"}, at(200ms)).size() == 1);
    watcher.hear(other, 2s);
    watcher.wait(2100ms, 2200ms);
    CHECK(watcher.members.owners(region_name{"zurich"}, at(2200ms)).size() == 2);
    CHECK(watcher.members.take_changes().owners_changed);
}

// Found on days of 67 and 81 nodes that start at once: seconds later some nodes still took fewer
// for serving, chose other owners, and two nodes accounted for one quota.
TEST_CASE("nodes that take different members for serving see it on one heartbeat")
{
    seen_by first("a");
    seen_by second("b");
    seen_by third("c");
    first.hear(second, 0ms);
    second.hear(first, 0ms);
    CHECK(first.members.view() == second.members.view());

    first.hear(third, 10ms);
    CHECK(first.members.view() != second.members.view());
    step_context there = first.context(20ms);
    CHECK(first.members.make_heartbeat(node_name{"b"}, true, there).view == first.members.view());

    SUBCASE("introductions bring them together")
    {
        for (const heartbeat& each : first.members.introductions()) {
            step_context here = second.context(30ms);
            second.members.receive(each, here);
        }
        CHECK(first.members.view() == second.members.view());
    }
    SUBCASE("a suspect counts as serving, a member that leaves does not")
    {
        const std::uint64_t with_all = first.members.view();
        third.members.leave();
        first.hear(third, 40ms);
        CHECK(first.members.view() != with_all);
    }
    SUBCASE("another run of a member is another view")
    {
        seen_by again("c", 2);
        const std::uint64_t before = first.members.view();
        first.hear(again, 50ms);
        CHECK(first.members.view() != before);
    }
}

TEST_CASE("a newcomer hears of every member from the one it greets")
{
    seen_by watcher{"a"};
    for (int number = 0; number < 40; ++number) {
        seen_by other{"member-" + std::to_string(number)};
        watcher.hear(other, 0ms);
    }
    seen_by newcomer{"z"};
    for (const heartbeat& introduction : watcher.members.introductions()) {
        step_context now = newcomer.context(100ms);
        newcomer.members.receive(introduction, now);
    }
    CHECK(newcomer.members.others().size() == 41);
}
