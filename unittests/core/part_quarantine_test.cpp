#include "ragwortcove/core/part_quarantine.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

constexpr part_id bad{0xbad};
constexpr part_id other{0x07};

upstream_end make_end(const std::string& name, time_point at, bool during_trial = false)
{
    return {{{name}, 1}, at, during_trial};
}

/// The request that asks for a trial in most cases.
const trial_holder holder{{"m"}, 1};

/// One node's quarantine on virtual time.
struct quarantine_fixture {
    part_quarantine parts;
    time_point now{1h};
    int ended = 0;
    std::uint64_t asked = 0;

    void end_upstream(part_id part = bad, bool during_trial = false)
    {
        const std::array waiting{part};
        this->parts.record_end(
            make_end("i-" + std::to_string(++this->ended), this->now, during_trial), waiting,
            this->now);
    }
    /// Another request asks for each permission, unless it is said which one.
    [[nodiscard]] bool permit(const trial_holder& wanted)
    {
        const std::array parts_of_request{bad};
        return this->parts.permit_trial(bad, parts_of_request, wanted, this->now);
    }
    [[nodiscard]] bool permit() { return this->permit({{"n"}, ++this->asked}); }
    part_trial send_trial()
    {
        REQUIRE(this->permit());
        const std::optional<part_trial> trial = this->parts.record_trial(bad, this->now);
        REQUIRE(trial.has_value());
        return *trial;
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
        const part_trial trial = this->send_trial();
        this->now += 200ms;
        this->end_upstream(bad, true);
        this->parts.record_trial_over(trial);
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
        CHECK(node.permit());
        CHECK_FALSE(node.permit());
        node.parts.record_trial(bad, node.now);
        CHECK(node.decide().admission == part_admission::waits);
        CHECK(node.decide().retry_after <= 1s);
        node.now += 2s;
        CHECK_FALSE(node.permit());
    }
    SUBCASE("a permission that is not used lapses")
    {
        CHECK(node.permit());
        node.now += 1500ms;
        CHECK(node.permit());
    }
    SUBCASE("a permission whose message was lost is given to the same request again")
    {
        CHECK(node.permit(holder));
        node.now += 40ms;
        CHECK(node.permit(holder));
        CHECK_FALSE(node.permit());
    }
    SUBCASE("a response to the trial lets all requests through")
    {
        node.send_trial();
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
        CHECK_FALSE(node.permit());
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
    stored.trials_sent = 0;
    stored.trials_over = 0;
    stored.last_trial_at = {};
    started.parts.merge(stored, started.now);
    CHECK(started.decide().retry_after > 20s);

    // Of the ends there is no news, only of the trial that is over.
    static_cast<void>(started.parts.merge(*old.parts.find(bad), started.now));
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
        const part_trial trial = first.send_trial();
        exchange();
        CHECK(second.decide().admission == part_admission::waits);
        SUBCASE("and gives it back")
        {
            CHECK(first.parts.record_trial_over(trial));
            CHECK_FALSE(first.parts.record_trial_over(trial));
            exchange();
            CHECK(second.decide().admission == part_admission::needs_trial);
        }
        SUBCASE("and is not heard of any more")
        {
            second.now += 6s;
            CHECK(second.decide().admission == part_admission::needs_trial);
        }
        SUBCASE("that the other has heard to be over before it hears that it was sent")
        {
            quarantine_fixture third;
            CHECK(first.parts.record_trial_over(trial));
            third.parts.merge(*first.parts.find(bad), now);
            third.parts.merge(*second.parts.find(bad), now);
            CHECK(third.decide().admission == part_admission::needs_trial);
        }
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
    const auto end_upstream = [&](std::vector<part_id> waiting, bool during_trial = false) {
        now += 1s;
        parts.record_end(make_end("i-" + std::to_string(++ended), now, during_trial), waiting, now);
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
        REQUIRE(parts.permit_trial(bad, bad_request, holder, now));
        parts.record_trial(bad, now);
        end_upstream(bad_request, true);
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

// Guards against a trial that counts before an upstream has begun it: the part then waited 30 s for
// the next one, and with it all sound requests that had it.
TEST_CASE("a trial that shows nothing does not count")
{
    quarantine_fixture node;
    node.end_upstream();
    node.now += 1s;
    node.end_upstream();
    for (int count = 0; count < 10; ++count) {
        const part_trial trial = node.send_trial();
        CHECK(node.parts.is_open(trial, node.now));
        SUBCASE("it is given back")
        {
            node.now += 300ms;
            node.parts.record_trial_over(trial);
        }
        SUBCASE("the node that sent it is gone")
        {
            node.now += 6s;
        }
        CHECK_FALSE(node.parts.is_open(trial, node.now));
        CHECK(node.decide().admission == part_admission::needs_trial);
    }
    node.fail_trial();
    CHECK(node.decide().retry_after >= 20s);
}

TEST_CASE("a trial that is over in an earlier generation says nothing of a later one")
{
    quarantine_fixture node;
    const auto hold_back = [&] {
        for (int count = 0; count < 2; ++count) {
            node.now += 1s;
            node.end_upstream();
        }
    };
    hold_back();
    const part_trial earlier = node.send_trial();
    node.respond();
    hold_back();
    const part_trial later = node.send_trial();
    CHECK_FALSE(node.parts.record_trial_over(earlier));
    CHECK(node.parts.is_open(later, node.now));
}

// Guards against a sound part that waits since it was in a trial's request together with a bad one.
TEST_CASE("a trial says nothing of requests without one of the parts that it had")
{
    constexpr part_id first{0x0a};
    constexpr part_id shared{0x0f};
    const std::vector<part_id> sound_request{first, shared};
    const std::vector<part_id> bad_request{first, bad, shared};
    part_quarantine parts;
    time_point now{1h};
    int ended = 0;
    const auto end_upstream = [&](std::span<const part_id> waiting, bool during_trial) {
        now += 1s;
        parts.record_end(make_end("i-" + std::to_string(++ended), now, during_trial), waiting, now);
    };
    end_upstream(bad_request, false);
    end_upstream(bad_request, false);
    end_upstream(bad_request, true);
    CHECK(parts.decide(bad_request, now).admission == part_admission::waits);
    CHECK(parts.decide(bad_request, now).retry_after >= 20s);
    REQUIRE(parts.decide(sound_request, now).admission == part_admission::needs_trial);

    SUBCASE("on a node that starts anew as well, though the shared part has more ends")
    {
        end_upstream(sound_request, false);
        part_quarantine started;
        for (const part_record& each : parts.held_back())
            started.merge(each, now);
        CHECK(started.decide(sound_request, now).admission == part_admission::needs_trial);
        CHECK(started.decide(bad_request, now).admission == part_admission::waits);
    }
    SUBCASE("their response shows that the others were not the cause")
    {
        parts.record_response(sound_request, now);
        CHECK(parts.decide(sound_request, now).admission == part_admission::admitted);
        const std::vector<part_id> alone{bad};
        CHECK(parts.decide(alone, now).admission == part_admission::waits);
        CHECK(parts.decide(alone, now).retry_after >= 20s);
    }
    SUBCASE("an upstream that ends on these alone holds them back as well")
    {
        end_upstream(sound_request, true);
        CHECK(parts.decide(sound_request, now).admission == part_admission::waits);
        CHECK(parts.decide(sound_request, now).retry_after >= 20s);
    }
    SUBCASE("unless a request with a bad part waited there, too")
    {
        end_upstream(sound_request, true);
        parts.record_end(make_end("i-" + std::to_string(ended), now), bad_request, now);
        CHECK(parts.decide(sound_request, now).admission == part_admission::needs_trial);
    }
}

TEST_CASE(
    "of the requests that ask for a trial those with fewer parts that may be the cause go first")
{
    constexpr part_id first{0x0a};
    constexpr part_id shared{0x0f};
    const std::vector<part_id> sound_request{first, shared};
    const std::vector<part_id> bad_request{first, bad, shared};
    part_quarantine parts;
    time_point now{1h};
    for (int count = 0; count < 2; ++count) {
        now += 1s;
        parts.record_end(make_end("i-" + std::to_string(count), now), bad_request, now);
    }
    CHECK(parts.permit_trial(shared, sound_request, {{"n"}, 1}, now));
    const std::optional<part_trial> trial = parts.record_trial(shared, now);
    REQUIRE(trial.has_value());
    parts.record_trial_over(*trial);
    now += 300ms;
    CHECK_FALSE(parts.permit_trial(shared, bad_request, {{"n"}, 2}, now));
    SUBCASE("as long as these ask")
    {
        CHECK(parts.permit_trial(shared, sound_request, {{"n"}, 3}, now));
    }
    SUBCASE("and the others when they do not ask any more")
    {
        now += 1s;
        CHECK(parts.permit_trial(shared, bad_request, {{"n"}, 4}, now));
    }
}

TEST_CASE(
    "a part that had responses is not blamed for a trial in whose request another one had none")
{
    constexpr part_id shared{0x0f};
    const std::vector<part_id> bad_request{shared, bad};
    const std::vector<part_id> sound_request{shared};
    quarantine_fixture node;
    node.respond(shared);
    const auto end_trial = [&] {
        node.now += 1s;
        node.parts.record_end(make_end("i-" + std::to_string(++node.ended), node.now, true),
                              bad_request, node.now);
    };
    end_trial();
    CHECK(count_failed_trials(*node.parts.find(bad)) == 1);
    CHECK(count_failed_trials(*node.parts.find(shared)) == 0);
    SUBCASE("unless upstreams have ended again and again since")
    {
        for (int count = 0; count < 7; ++count)
            end_trial();
        CHECK(count_failed_trials(*node.parts.find(shared)) > 0);
    }
}

TEST_CASE("an end during a trial is kept, however many others are known")
{
    quarantine_fixture node;
    for (std::size_t count = 0; count < 2 * max_ends_of_part; ++count) {
        node.now += 1s;
        node.end_upstream();
    }
    for (std::uint32_t count = 0; count < max_part_trials; ++count)
        node.end_upstream(bad, true);
    CHECK(node.parts.find(bad)->ends.size() == max_ends_of_part);
    CHECK(count_failed_trials(*node.parts.find(bad)) == max_part_trials);
    CHECK(node.decide().admission == part_admission::barred);
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
