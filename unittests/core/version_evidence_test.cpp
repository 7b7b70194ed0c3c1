#include "ragwortcove/core/version_evidence.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {
/// Evidence of one node that sees both versions side by side.
struct watched_move {
    move_evidence evidence{move_name{"m"}, unix_millis{1}};
    time_point now{1h};

    void see(const char* upstream, bool on_new_version, duration answer, bool failed = false)
    {
        attempt_observation seen;
        seen.upstream = upstream_name{upstream};
        seen.hardware = "middle";
        seen.on_new_version = on_new_version;
        seen.failed = failed;
        seen.first_token_after = answer;
        this->evidence.observe(seen, 1, this->now);
    }
    void see_old(duration answer, int times = 1)
    {
        for (int count = 0; count < times; ++count)
            this->see("old-1", false, answer);
    }
    /// One answer of each version a second.
    void run(int seconds, duration old_answer, duration first, duration second)
    {
        for (int passed = 0; passed < seconds; ++passed) {
            this->now += 1s;
            this->see_old(old_answer, 2);
            this->see("new-1", true, first);
            this->see("new-2", true, second);
        }
    }
};
} // namespace

TEST_CASE("a version is called slow against the old one at the same moment")
{
    watched_move move;
    move.see_old(100ms, 20);

    SUBCASE("as fast as the old one, it stays clear")
    {
        move.run(60, 100ms, 110ms, 95ms);
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
        CHECK(move.evidence.pairs() > 60);
    }
    SUBCASE("slower on all its upstreams, it is suspicious first and then bad")
    {
        move.run(5, 100ms, 350ms, 350ms);
        CHECK(move.evidence.level(move.now) == evidence_level::suspicious);
        move.run(28, 100ms, 350ms, 350ms);
        CHECK(move.evidence.level(move.now) == evidence_level::bad);
    }
    SUBCASE("an hour that slows both versions is not blamed on the new one")
    {
        move.run(60, 400ms, 400ms, 400ms);
        CHECK(move.evidence.level(move.now) != evidence_level::bad);
        move.run(60, 400ms, 400ms, 400ms);
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
    }
    SUBCASE("one slow VM of two is not the version's fault")
    {
        move.run(120, 100ms, 400ms, 100ms);
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
    }
    SUBCASE("two VMs that stall together for a while are not either")
    {
        move.run(15, 100ms, 400ms, 400ms);
        CHECK(move.evidence.level(move.now) == evidence_level::suspicious);
        move.run(15, 100ms, 100ms, 100ms);
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
    }
    SUBCASE("a fault that comes late is seen as soon as one from the start")
    {
        move.run(600, 100ms, 100ms, 100ms);
        move.run(30, 100ms, 350ms, 350ms);
        CHECK(move.evidence.level(move.now) == evidence_level::bad);
    }
}

TEST_CASE("a version is called failing against the old one's failures")
{
    watched_move move;
    move.see_old(100ms, 50);

    SUBCASE("a few errors on two upstreams are enough")
    {
        for (int count = 0; count < 3; ++count) {
            move.see("new-1", true, 0ms, true);
            move.see("new-2", true, 0ms, true);
        }
        CHECK(move.evidence.level(move.now) == evidence_level::bad);
    }
    SUBCASE("errors of one upstream among good ones are not")
    {
        for (int count = 0; count < 50; ++count) {
            move.see("new-1", true, 0ms, true);
            move.see("new-2", true, 100ms);
        }
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
    }
    SUBCASE("errors of the only upstream are, after a few more")
    {
        for (int count = 0; count < 4; ++count)
            move.see("new-1", true, 0ms, true);
        CHECK(move.evidence.level(move.now) == evidence_level::suspicious);
        for (int count = 0; count < 3; ++count)
            move.see("new-1", true, 0ms, true);
        CHECK(move.evidence.level(move.now) == evidence_level::bad);
    }
    SUBCASE("connections that break together are one failure")
    {
        attempt_observation crashed;
        crashed.upstream = upstream_name{"new-1"};
        crashed.on_new_version = true;
        crashed.failed = true;
        crashed.connection_failed = true;
        for (int count = 0; count < 20; ++count)
            move.evidence.observe(crashed, 1, move.now);
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
    }
    SUBCASE("an old version that fails as often excuses it")
    {
        for (int count = 0; count < 200; ++count)
            move.see("old-1", false, 100ms, count % 5 == 0);
        for (int count = 0; count < 200; ++count) {
            move.see("new-1", true, 100ms, count % 5 == 0);
            move.see("new-2", true, 100ms, count % 5 == 2);
        }
        CHECK(move.evidence.level(move.now) != evidence_level::bad);
    }
}

TEST_CASE("counts of other nodes are merged by sender")
{
    move_evidence here{move_name{"m"}, unix_millis{1}};
    version_evidence record;
    record.move = move_name{"m"};
    record.upstream = upstream_name{"new-1"};
    record.new_completed = 10;
    record.pairs = 4;
    here.merge(incarnation{7}, record, time_point{1h});
    CHECK(here.passed() == 10);

    SUBCASE("a record that comes twice, or late, counts once")
    {
        here.merge(incarnation{7}, record, time_point{1h});
        version_evidence late = record;
        late.new_completed = 6;
        here.merge(incarnation{7}, late, time_point{1h});
        CHECK(here.passed() == 10);
        CHECK(here.pairs() == 4);
    }
    SUBCASE("another sender's counts add")
    {
        here.merge(incarnation{8}, record, time_point{1h});
        CHECK(here.passed() == 20);
    }
    SUBCASE("a record that contradicts itself is not taken")
    {
        record.pairs = 200;
        here.merge(incarnation{9}, record, time_point{1h});
        CHECK(here.passed() == 10);
    }
}
