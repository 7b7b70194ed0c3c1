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
/// A membership and the state that a step needs.
struct test_node {
    node_settings settings;
    random_engine random{7};
    effect_list effects;
    membership members;

    explicit test_node(const std::string& name, std::uint64_t run = 1)
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
    /// Receives a heartbeat from the other node.
    void receive_heartbeat(test_node& other, duration when)
    {
        step_context sender_context = other.context(when);
        const heartbeat sent =
            other.members.make_heartbeat(this->settings.name, false, sender_context);
        step_context receiver_context = this->context(when);
        this->members.receive(sent, receiver_context);
    }
    member_state state_of(const std::string& name)
    {
        const member* found = this->members.find(node_name{name});
        REQUIRE(found != nullptr);
        return found->claim.state;
    }
    /// Lets time pass without a response from any member.
    void advance(duration from, duration until)
    {
        for (duration when = from; when <= until; when += 100ms) {
            step_context step = this->context(when);
            (void)this->members.due(step);
        }
    }
};
} // namespace

TEST_CASE("a member that does not respond is suspected, then declared dead")
{
    test_node watcher{"a"};
    test_node other{"b"};
    watcher.receive_heartbeat(other, 0ms);
    CHECK(watcher.state_of("b") == member_state::live);
    watcher.advance(100ms, 700ms);
    CHECK(watcher.state_of("b") == member_state::suspect);

    SUBCASE("a suspect still owns its cells")
    {
        const std::vector<std::string> owners =
            watcher.members.owners(region_name{"zurich"}, at(700ms));
        CHECK(std::find(owners.begin(), owners.end(), "b") != owners.end());
    }
    SUBCASE("it refutes the suspicion when it receives the claim")
    {
        other.receive_heartbeat(watcher, 800ms);
        watcher.receive_heartbeat(other, 900ms);
        CHECK(watcher.state_of("b") == member_state::live);
    }
    SUBCASE("it is declared dead if it does not refute, and its incarnation has ended")
    {
        (void)watcher.members.take_changes();
        watcher.advance(800ms, 2500ms);
        CHECK(watcher.state_of("b") == member_state::dead);
        CHECK(watcher.members.find_run(incarnation{1}) == nullptr);
        const membership_changes changes = watcher.members.take_changes();
        REQUIRE(changes.ended.size() == 1);
        CHECK(changes.ended.front() == incarnation{1});

        SUBCASE("a node that resumes after a pause is live again under the same incarnation")
        {
            other.receive_heartbeat(watcher, 3s);
            CHECK(other.members.take_changes().was_declared_dead);
            watcher.receive_heartbeat(other, 3100ms);
            CHECK(watcher.state_of("b") == member_state::live);
        }
        SUBCASE("a new process under the same name is another incarnation")
        {
            test_node restarted{"b", 2};
            watcher.receive_heartbeat(restarted, 3s);
            CHECK(watcher.state_of("b") == member_state::live);
            CHECK(watcher.members.find_run(incarnation{1}) == nullptr);
            CHECK(watcher.members.find_run(incarnation{2}) != nullptr);
        }
    }
}

TEST_CASE("an older claim does not replace a newer one")
{
    test_node watcher{"a"};
    test_node first{"b", 1};
    test_node second{"b", 2};
    watcher.receive_heartbeat(second, 0ms);
    watcher.receive_heartbeat(first, 100ms);
    CHECK(watcher.members.find(node_name{"b"})->claim.run == incarnation{2});
}

TEST_CASE("a member whose connection was lost owns nothing for a while")
{
    test_node watcher{"a"};
    test_node other{"b"};
    watcher.receive_heartbeat(other, 0ms);
    step_context step = watcher.context(100ms);
    watcher.members.disconnected(node_name{"b"}, step);
    CHECK(watcher.members.owners(region_name{"zurich"}, at(200ms)).size() == 1);
    watcher.receive_heartbeat(other, 2s);
    watcher.advance(2100ms, 2200ms);
    CHECK(watcher.members.owners(region_name{"zurich"}, at(2200ms)).size() == 2);
    CHECK(watcher.members.take_changes().owners_changed);
}

// Guards against a fault seen with 67 and 81 nodes that start at the same time: seconds later some
// nodes still considered fewer members serving, chose other owners, and two nodes accounted for one
// quota.
TEST_CASE("one heartbeat shows that two nodes consider different members serving")
{
    test_node first("a");
    test_node second("b");
    test_node third("c");
    first.receive_heartbeat(second, 0ms);
    second.receive_heartbeat(first, 0ms);
    CHECK(first.members.view() == second.members.view());

    first.receive_heartbeat(third, 10ms);
    CHECK(first.members.view() != second.members.view());
    step_context sender_context = first.context(20ms);
    CHECK(first.members.make_heartbeat(node_name{"b"}, true, sender_context).view ==
          first.members.view());

    SUBCASE("introductions make the views equal")
    {
        for (const heartbeat& each : first.members.introductions()) {
            step_context receiver_context = second.context(30ms);
            second.members.receive(each, receiver_context);
        }
        CHECK(first.members.view() == second.members.view());
    }
    SUBCASE("a suspect counts as serving, a member that leaves does not")
    {
        const std::uint64_t with_all = first.members.view();
        third.members.leave();
        first.receive_heartbeat(third, 40ms);
        CHECK(first.members.view() != with_all);
    }
    SUBCASE("another incarnation of a member gives another view")
    {
        test_node restarted("c", 2);
        const std::uint64_t before = first.members.view();
        first.receive_heartbeat(restarted, 50ms);
        CHECK(first.members.view() != before);
    }
}

TEST_CASE("introductions contain a claim on every member")
{
    test_node watcher{"a"};
    for (int number = 0; number < 40; ++number) {
        test_node other{"member-" + std::to_string(number)};
        watcher.receive_heartbeat(other, 0ms);
    }
    test_node newcomer{"z"};
    for (const heartbeat& introduction : watcher.members.introductions()) {
        step_context step = newcomer.context(100ms);
        newcomer.members.receive(introduction, step);
    }
    CHECK(newcomer.members.others().size() == 41);
}
