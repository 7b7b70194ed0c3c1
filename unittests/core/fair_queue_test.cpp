#include "ragwortcove/core/fair_queue.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static waiting_ask make_ask(std::uint64_t number, std::uint32_t rank, const char* team)
{
    waiting_ask made;
    made.ask.request = request_id{incarnation{1}, number};
    made.ask.team = team_name{team};
    made.rank = rank;
    made.cost = 100ms;
    made.expires = time_point{1h};
    return made;
}

TEST_CASE("a request that the free upstream may not take holds up nobody")
{
    // engine-1 is free, engine-2 is full.
    const auto fits_engine_1 = [](const waiting_ask& ask) {
        const std::vector<upstream_name>& avoid = ask.ask.avoid;
        const bool avoided =
            std::find(avoid.begin(), avoid.end(), upstream_name{"engine-1"}) != avoid.end();
        return !avoided && ask.ask.version != version_name{"v2"};
    };
    fair_queue queue;
    waiting_ask first = make_ask(1, 0, "one");
    waiting_ask lower = make_ask(3, 1, "one");

    SUBCASE("not one that has failed on it before")
    {
        first.ask.avoid = {upstream_name{"engine-1"}};
    }
    SUBCASE("nor one that wants another version")
    {
        first.ask.version = version_name{"v2"};
    }
    queue.push(std::move(first));
    queue.push(make_ask(2, 0, "one"));
    queue.push(std::move(lower));

    const auto taken = queue.take_first(fits_engine_1);
    REQUIRE(taken.has_value());
    CHECK(taken->ask.request.sequence == 2);
}
