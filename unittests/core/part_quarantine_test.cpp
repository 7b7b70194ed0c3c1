#include "ragwortcove/core/part_quarantine.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

constexpr part_id bad{0xbad};
constexpr part_id other{0x07};

upstream_end make_end(const std::string& name, time_point at)
{
    return {{{name}, 1}, at};
}

/// One node's quarantine on virtual time.
struct quarantine_fixture {
    part_quarantine parts;
    time_point now{1h};
    int ended = 0;

    void end_upstream(part_id part = bad)
    {
        const std::array waiting{part};
        this->parts.record_end(make_end("i-" + std::to_string(++this->ended), this->now), waiting,
                               this->now);
    }
    [[nodiscard]] part_decision decide(part_id part = bad) const
    {
        const std::array parts_of_request{part_id{0x01}, part};
        return this->parts.decide(parts_of_request, this->now);
    }
    void respond(part_id part = bad)
    {
        const std::array parts_of_request{part};
        this->parts.record_response(parts_of_request, this->now);
    }
    /// Sends a trial that ends one more upstream.
    void fail_trial()
    {
        REQUIRE(this->parts.permit_trial(bad, this->now));
        this->parts.record_trial(bad, this->now);
        this->now += 200ms;
        this->end_upstream();
    }
};

} // namespace

TEST_CASE("a part is held back once upstreams have ended under it on two occasions")
{
    quarantine_fixture node;
    node.end_upstream();
    CHECK(node.decide().admission == part_admission::admitted);

    SUBCASE("the second end holds it back, and no other part")
    {
        node.now += 300ms;
        node.end_upstream();
        CHECK(node.decide().admission == part_admission::needs_trial);
        CHECK(node.decide(other).admission == part_admission::admitted);
    }
    SUBCASE("a rack that ends at once is one occasion")
    {
        for (int count = 0; count < 5; ++count) {
            node.now += 15ms;
            node.end_upstream();
        }
        CHECK(node.decide().admission == part_admission::admitted);
    }
    SUBCASE("an end that several nodes have seen counts once")
    {
        const std::array waiting{bad};
        node.parts.record_end(make_end("i-1", node.now + 1s), waiting, node.now + 1s);
        CHECK(node.decide().admission == part_admission::admitted);
    }
    SUBCASE("a response between the ends makes them unrelated")
    {
        for (int count = 0; count < 30; ++count) {
            node.now += 1s;
            node.respond();
            node.end_upstream();
            CHECK(node.decide().admission == part_admission::admitted);
        }
    }
    SUBCASE("a response long before them does not")
    {
        node.respond();
        node.now += 24h;
        node.end_upstream();
        node.now += 1s;
        node.end_upstream();
        CHECK(node.decide().admission == part_admission::needs_trial);
    }
}

TEST_CASE("a part that is held back is tried one request at a time, each time later")
{
    quarantine_fixture node;
    node.end_upstream();
    node.now += 1s;
    node.end_upstream();

    SUBCASE("a second trial is not permitted beside the first")
    {
        CHECK(node.parts.permit_trial(bad, node.now));
        CHECK_FALSE(node.parts.permit_trial(bad, node.now));
        node.parts.record_trial(bad, node.now);
        CHECK(node.decide().admission == part_admission::waits);
        CHECK(node.decide().retry_after <= 1s);
        node.now += 2s;
        CHECK_FALSE(node.parts.permit_trial(bad, node.now));
    }
    SUBCASE("a permission that is not used lapses")
    {
        CHECK(node.parts.permit_trial(bad, node.now));
        node.now += 1500ms;
        CHECK(node.parts.permit_trial(bad, node.now));
    }
    SUBCASE("a response to the trial lets all requests through")
    {
        REQUIRE(node.parts.permit_trial(bad, node.now));
        node.parts.record_trial(bad, node.now);
        node.now += 300ms;
        node.respond();
        CHECK(node.decide().admission == part_admission::admitted);
    }
    SUBCASE("three trials are sent in all, and then none until an operator releases the part")
    {
        node.fail_trial();
        const part_decision first = node.decide();
        CHECK(first.admission == part_admission::waits);
        CHECK(first.retry_after >= 20s);
        node.now += first.retry_after;
        node.fail_trial();
        const part_decision second = node.decide();
        CHECK(second.admission == part_admission::waits);
        CHECK(second.retry_after > 10 * first.retry_after);
        node.now += second.retry_after;
        node.fail_trial();
        CHECK(node.decide().admission == part_admission::barred);
        node.now += 24h * 30;
        node.parts.tick(node.now);
        CHECK(node.decide().admission == part_admission::barred);
        CHECK_FALSE(node.parts.permit_trial(bad, node.now));
        CHECK(node.parts.release(bad, node.now));
        CHECK(node.decide().admission == part_admission::admitted);
    }
}

TEST_CASE("a request with several parts that are held back is the trial of one of them")
{
    quarantine_fixture node;
    const std::array all{part_id{0x01}, bad, other};
    const auto end_upstream_under = [&](std::span<const part_id> waiting) {
        node.now += 1s;
        node.parts.record_end(make_end("i-" + std::to_string(++node.ended), node.now), waiting,
                              node.now);
    };
    end_upstream_under(all);
    end_upstream_under(all);

    SUBCASE("of the last, if all were in the same requests")
    {
        CHECK(node.parts.decide(all, node.now).part == other);
    }
    SUBCASE("of the one that was in more of the requests that ended upstreams")
    {
        node.end_upstream(bad);
        const part_decision decision = node.parts.decide(all, node.now);
        CHECK(decision.admission == part_admission::needs_trial);
        CHECK(decision.part == bad);
    }
    SUBCASE("of none while one of them must wait")
    {
        node.fail_trial();
        const part_decision decision = node.parts.decide(all, node.now);
        CHECK(decision.admission == part_admission::waits);
        CHECK(decision.part == bad);
    }
}

TEST_CASE("a node that has read of a part in the store learns from the others how long ago it was")
{
    quarantine_fixture old;
    old.end_upstream();
    old.now += 1s;
    old.end_upstream();
    old.fail_trial();
    old.now += 25s;

    // The store keeps no times.
    quarantine_fixture started;
    started.now = old.now;
    part_record stored = *old.parts.find(bad);
    for (upstream_end& end : stored.ends)
        end.at = started.now;
    stored.last_trial_at = started.now - 1s;
    started.parts.merge(stored, started.now);
    CHECK(started.decide().retry_after > 20s);

    CHECK_FALSE(started.parts.merge(*old.parts.find(bad), started.now));
    CHECK(*started.parts.find(bad) == *old.parts.find(bad));
    CHECK(started.decide().retry_after <= 5s);
}

TEST_CASE("nodes that know different things of a part agree, in whatever order they hear of it")
{
    quarantine_fixture first;
    quarantine_fixture second;
    const time_point now = first.now;
    const auto exchange = [&] {
        const part_record from_first = *first.parts.find(bad);
        const part_record from_second = *second.parts.find(bad);
        first.parts.merge(from_second, now);
        second.parts.merge(from_first, now);
        CHECK(*first.parts.find(bad) == *second.parts.find(bad));
        // What comes twice changes nothing.
        CHECK_FALSE(first.parts.merge(from_second, now));
        CHECK_FALSE(second.parts.merge(from_first, now));
    };

    SUBCASE("each has seen another end")
    {
        first.end_upstream();
        second.ended = 1;
        second.now += 1s;
        second.end_upstream();
        exchange();
        CHECK(second.decide().admission == part_admission::needs_trial);
    }
    SUBCASE("one has seen a response, the other a later end")
    {
        first.end_upstream();
        second.parts.merge(*first.parts.find(bad), now);
        first.respond();
        second.ended = 1;
        second.now += 1s;
        second.end_upstream();
        CHECK(second.decide().admission == part_admission::needs_trial);
        exchange();
        CHECK(second.decide().admission == part_admission::admitted);
    }
    SUBCASE("one has sent a trial")
    {
        for (quarantine_fixture* each : {&first, &second}) {
            each->end_upstream();
            each->now += 1s;
            each->end_upstream();
        }
        REQUIRE(first.parts.permit_trial(bad, first.now));
        first.parts.record_trial(bad, first.now);
        exchange();
        CHECK(second.decide().admission == part_admission::waits);
    }
}

// Guards against sound requests that are held back since they share a part with those that end
// upstreams: the shared part was in all of these, and its trial could be spent on an upstream that
// had ended, or on a request with the bad part.
TEST_CASE("a part that had responses is not held back for ends that another part explains")
{
    constexpr part_id shared{0x0f};
    part_quarantine parts;
    time_point now{1h};
    int ended = 0;
    const auto end_upstream = [&](std::vector<part_id> waiting) {
        now += 1s;
        parts.record_end(make_end("i-" + std::to_string(++ended), now), waiting, now);
    };
    const auto decide = [&](std::vector<part_id> all) { return parts.decide(all, now); };
    const std::vector<part_id> sound_request{part_id{0x0a}, shared};
    const std::vector<part_id> bad_request{part_id{0x0a}, bad, shared};

    SUBCASE("the one that had none is held back, and is the one that is tried")
    {
        parts.record_response(sound_request, now);
        for (int count = 0; count < 3; ++count)
            end_upstream(bad_request);
        CHECK(decide(sound_request).admission == part_admission::admitted);
        REQUIRE(decide(bad_request).admission == part_admission::needs_trial);
        CHECK(decide(bad_request).part == bad);
        REQUIRE(parts.permit_trial(bad, now));
        parts.record_trial(bad, now);
        end_upstream(bad_request);
        CHECK(decide(bad_request).admission == part_admission::waits);
        CHECK(decide(sound_request).admission == part_admission::admitted);

        SUBCASE("until an upstream ends without it")
        {
            end_upstream(sound_request);
            CHECK(decide(sound_request).admission > part_admission::admitted);
        }
        SUBCASE("for as long as the responses are known")
        {
            for (int count = 0; count < 2; ++count) {
                now += 11min;
                parts.tick(now);
            }
            CHECK(decide(sound_request).admission > part_admission::admitted);
        }
    }
    SUBCASE("two parts that had none explain the ends together")
    {
        constexpr part_id also_bad{0xbae};
        parts.record_response(sound_request, now);
        for (int count = 0; count < 2; ++count) {
            end_upstream(bad_request);
            end_upstream({part_id{0x0a}, also_bad, shared});
        }
        CHECK(decide(sound_request).admission == part_admission::admitted);
        std::vector<part_id> held;
        for (const part_record& each : parts.held_back())
            held.push_back(each.part);
        CHECK(held == std::vector<part_id>{bad, also_bad});
    }
    SUBCASE("a part of bystanders that was there in some of them is not held back either")
    {
        constexpr part_id session{0x0e};
        end_upstream({bad, session});
        end_upstream({bad, session});
        CHECK(decide({session}).admission == part_admission::needs_trial);
        end_upstream({bad});
        CHECK(decide({session}).admission == part_admission::admitted);
        CHECK(decide({bad}).admission == part_admission::needs_trial);
        end_upstream({session});
        CHECK(decide({session}).admission == part_admission::needs_trial);
    }
    SUBCASE("without a response before, every part of the requests is held back")
    {
        for (int count = 0; count < 2; ++count)
            end_upstream(bad_request);
        CHECK(decide(sound_request).admission == part_admission::needs_trial);
    }
    SUBCASE("parts that all had responses are held back, too")
    {
        parts.record_response(bad_request, now);
        for (int count = 0; count < 2; ++count)
            end_upstream(bad_request);
        CHECK(decide(sound_request).admission == part_admission::needs_trial);
    }
}

TEST_CASE("a caller that sends ever new parts releases none and fills no memory")
{
    quarantine_fixture node;
    node.end_upstream();
    node.now += 1s;
    node.end_upstream();
    for (std::uint64_t number = 0; number < 3 * max_tracked_parts; ++number) {
        node.now += 1ms;
        node.end_upstream(part_id{0x10000 + number});
    }
    CHECK(node.parts.size() <= max_tracked_parts);
    CHECK(node.decide().admission == part_admission::needs_trial);
}

TEST_CASE("records without consequence are dropped after a while")
{
    quarantine_fixture node;
    node.end_upstream();
    node.end_upstream(other);
    node.now += 11min;
    node.parts.tick(node.now);
    CHECK(node.parts.size() == 0);
}

} // namespace ragwortcove::core
