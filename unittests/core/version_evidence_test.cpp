#include "ragwortcove/core/version_evidence.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {
/// Evidence of one node that observes both versions at the same time.
struct simulated_move {
    move_evidence evidence{move_name{"m"}, unix_millis{1}};
    time_point now{1h};

    void observe(const char* upstream, bool on_new_version, duration first_token_after,
                 bool failed = false)
    {
        attempt_observation seen;
        seen.upstream = upstream_name{upstream};
        seen.hardware = "middle";
        seen.on_new_version = on_new_version;
        seen.failed = failed;
        seen.first_token_after = first_token_after;
        this->evidence.observe(seen, 1, this->now);
    }
    void observe_old(duration first_token_after, int times = 1)
    {
        for (int count = 0; count < times; ++count)
            this->observe("old-1", false, first_token_after);
    }
    /// Each second, two responses of the old version and one of each upstream of the new one.
    void run(int seconds, duration old_time, duration first_time, duration second_time)
    {
        for (int elapsed = 0; elapsed < seconds; ++elapsed) {
            this->now += 1s;
            this->observe_old(old_time, 2);
            this->observe("new-1", true, first_time);
            this->observe("new-2", true, second_time);
        }
    }
};
} // namespace

TEST_CASE("a version is classified as slow by comparison with the old one at the same time")
{
    simulated_move move;
    move.observe_old(100ms, 20);

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
    SUBCASE("a slowdown of both versions is not attributed to the new one")
    {
        move.run(60, 400ms, 400ms, 400ms);
        CHECK(move.evidence.level(move.now) != evidence_level::bad);
        move.run(60, 400ms, 400ms, 400ms);
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
    }
    SUBCASE("one slow VM of two is not attributed to the version")
    {
        move.run(120, 100ms, 400ms, 100ms);
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
    }
    SUBCASE("a short simultaneous stall of two VMs is not attributed to the version")
    {
        move.run(15, 100ms, 400ms, 400ms);
        CHECK(move.evidence.level(move.now) == evidence_level::suspicious);
        move.run(15, 100ms, 100ms, 100ms);
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
    }
    SUBCASE("a late fault is detected as fast as one from the start")
    {
        move.run(600, 100ms, 100ms, 100ms);
        move.run(30, 100ms, 350ms, 350ms);
        CHECK(move.evidence.level(move.now) == evidence_level::bad);
    }
}

TEST_CASE("a version is classified as failing by comparison with the old one's failure rate")
{
    simulated_move move;
    move.observe_old(100ms, 50);

    SUBCASE("a few errors on two upstreams make the version bad")
    {
        for (int count = 0; count < 3; ++count) {
            move.observe("new-1", true, 0ms, true);
            move.observe("new-2", true, 0ms, true);
        }
        CHECK(move.evidence.level(move.now) == evidence_level::bad);
    }
    SUBCASE("errors of one of two upstreams do not make the version bad")
    {
        for (int count = 0; count < 50; ++count) {
            move.observe("new-1", true, 0ms, true);
            move.observe("new-2", true, 100ms);
        }
        CHECK(move.evidence.level(move.now) == evidence_level::clear);
    }
    SUBCASE("errors of the only upstream make the version bad after a few more")
    {
        for (int count = 0; count < 4; ++count)
            move.observe("new-1", true, 0ms, true);
        CHECK(move.evidence.level(move.now) == evidence_level::suspicious);
        for (int count = 0; count < 3; ++count)
            move.observe("new-1", true, 0ms, true);
        CHECK(move.evidence.level(move.now) == evidence_level::bad);
    }
    SUBCASE("connections that fail together are one failure")
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
    SUBCASE("a version is not bad if the old version fails as often")
    {
        for (int count = 0; count < 200; ++count)
            move.observe("old-1", false, 100ms, count % 5 == 0);
        for (int count = 0; count < 200; ++count) {
            move.observe("new-1", true, 100ms, count % 5 == 0);
            move.observe("new-2", true, 100ms, count % 5 == 2);
        }
        CHECK(move.evidence.level(move.now) != evidence_level::bad);
    }
}

TEST_CASE("counts of other nodes are merged by sender")
{
    move_evidence evidence{move_name{"m"}, unix_millis{1}};
    version_evidence record;
    record.move = move_name{"m"};
    record.upstream = upstream_name{"new-1"};
    record.new_completed = 10;
    record.pairs = 4;
    evidence.merge(incarnation{7}, record, time_point{1h});
    CHECK(evidence.passed() == 10);

    SUBCASE("a record that is received twice or late counts once")
    {
        evidence.merge(incarnation{7}, record, time_point{1h});
        version_evidence late = record;
        late.new_completed = 6;
        evidence.merge(incarnation{7}, late, time_point{1h});
        CHECK(evidence.passed() == 10);
        CHECK(evidence.pairs() == 4);
    }
    SUBCASE("counts of another sender are added")
    {
        evidence.merge(incarnation{8}, record, time_point{1h});
        CHECK(evidence.passed() == 20);
    }
    SUBCASE("an inconsistent record is rejected")
    {
        record.pairs = 200;
        evidence.merge(incarnation{9}, record, time_point{1h});
        CHECK(evidence.passed() == 10);
    }
}
