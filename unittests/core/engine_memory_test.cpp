#include "ragwortcove/core/engine_memory.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <doctest/doctest.h>

#include <variant>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

static constexpr time_point start{100s};
static constexpr std::uint32_t capacity = 100'000;
static constexpr std::uint32_t slots = 9;

TEST_CASE("what requests take of an engine's memory is bounded")
{
    engine_memory memory;
    SUBCASE("an unknown memory bounds nothing")
    {
        memory.add(1'000'000'000);
        CHECK(memory.has_room_for(1'000'000'000));
    }
    memory.set_limits(capacity, slots);
    SUBCASE("requests fit up to nine tenths, or one alone up to all of it")
    {
        CHECK(memory.has_room_for(capacity));
        CHECK_FALSE(memory.has_room_for(capacity + 1));
        CHECK_FALSE(memory.could_hold(capacity + 1));
        memory.add(50'000);
        CHECK(memory.has_room_for(40'000));
        CHECK_FALSE(memory.has_room_for(40'001));
        CHECK(memory.could_hold(40'001));
        memory.remove(10'000);
        CHECK(memory.has_room_for(50'000));
        memory.remove(1'000'000);
        CHECK(memory.used_tokens() == 0);
    }
    SUBCASE("requests of which little is known take no more than their slots' share")
    {
        for (std::uint32_t count = 0; count < slots; ++count) {
            CHECK(memory.has_room_for(memory.assumed_tokens(10)));
            memory.add(memory.assumed_tokens(10));
        }
        CHECK(memory.used_tokens() <= capacity * 9 / 10);
        CHECK(memory.assumed_tokens(60'000) == 60'000);
    }
}

namespace {

/// One engine, and requests that take a given part of its memory.
struct engine_fixture {
    rule_index rules{[] {
        ruleset all;
        target_rule target;
        target.name.value = "m";
        target.is_engine = true;
        target.slots = slots;
        target.cache_tokens = capacity;
        all.targets = {target};
        return all;
    }()};
    placement_scheduler scheduler;
    placement_scheduler::responses out;
    std::uint64_t last_request = 0;

    engine_fixture()
    {
        announced_upstream engine;
        engine.name.value = "i-1";
        engine.target.value = "m";
        const std::vector<announced_upstream> all{engine};
        this->scheduler.set_upstreams(all, &this->rules);
    }
    placement_id submit(std::uint32_t prompt_tokens, std::uint32_t output_tokens, time_point now)
    {
        placement_request request;
        request.id = {{"n"}, {1}, ++this->last_request};
        request.pool.value = "m";
        request.prompt_tokens = prompt_tokens;
        request.output_tokens = output_tokens;
        request.latency_budget = 10s;
        request.max_wait = 10s;
        this->scheduler.submit(request, now, this->out);
        this->scheduler.tick(now, this->out);
        return request.id;
    }
    template <class Response> [[nodiscard]] std::size_t count() const
    {
        std::size_t found = 0;
        for (const placement_response& each : this->out)
            found += std::holds_alternative<Response>(each) ? 1 : 0;
        return found;
    }
};

} // namespace

// Guards against long prompts that are placed by free slots alone: engines that are given more than
// fits preempt their requests, or end.
TEST_CASE("an engine gets no request that its memory has no room for")
{
    engine_fixture fixture;
    fixture.submit(1, 0, start);
    const time_point now = start + 1s;
    fixture.scheduler.tick(now, fixture.out);
    REQUIRE(fixture.count<placement_grant>() == 1);
    fixture.scheduler.release({{{"n"}, {1}, 1}, placement_outcome::completed, 10ms, {}}, now,
                              fixture.out);
    fixture.out.clear();
    SUBCASE("long prompts take few slots; the others wait, and get theirs when one ends")
    {
        const placement_id first = fixture.submit(25'000, 5'000, now);
        for (int count = 1; count < 5; ++count)
            fixture.submit(25'000, 5'000, now);
        CHECK(fixture.count<placement_grant>() == 3);
        CHECK(fixture.scheduler.waiting() == 2);
        CHECK(fixture.count<placement_denial>() == 0);
        SUBCASE("a withdrawn one makes room, too")
        {
            fixture.scheduler.withdraw(first, now + 1s, fixture.out);
            CHECK(fixture.count<placement_grant>() == 4);
        }
        SUBCASE("a repeated request takes no more room than one")
        {
            placement_request again;
            again.id = first;
            again.pool.value = "m";
            fixture.scheduler.submit(again, now, fixture.out);
            fixture.scheduler.release({first, placement_outcome::completed, 10ms, {}}, now + 1s,
                                      fixture.out);
            CHECK(fixture.scheduler.in_flight() == 3);
        }
    }
    SUBCASE("short prompts take all slots")
    {
        for (std::uint32_t count = 0; count < slots + 2; ++count)
            fixture.submit(5'000, 1'000, now);
        CHECK(fixture.count<placement_grant>() == slots);
    }
    SUBCASE("a request that fits no engine is denied at once")
    {
        fixture.submit(capacity, 1, now);
        REQUIRE(fixture.count<placement_denial>() == 1);
        CHECK(std::get<placement_denial>(fixture.out.back()).reason == denial_reason::no_upstream);
    }
    SUBCASE("a new owner counts what the entries report")
    {
        std::vector<placement_report> reports;
        for (std::uint64_t number = 101; number <= 103; ++number)
            reports.push_back({{{"o"}, {2}, number}, {"m"}, {"i-1"}, 30'000, false});
        fixture.scheduler.reconcile({"o"}, {2}, reports, now, fixture.out);
        fixture.submit(5'000, 1'000, now);
        CHECK(fixture.count<placement_grant>() == 0);
        fixture.scheduler.on_entry_ended({2}, now, fixture.out);
        CHECK(fixture.count<placement_grant>() == 1);
    }
}

} // namespace ragwortcove::core
