#include "ragwortcove/core/fair_queue.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static queued_request make_ask(std::uint64_t number, std::uint32_t rank, const char* team)
{
    queued_request made;
    made.received.request = request_id{incarnation{1}, number};
    made.received.team = team_name{team};
    made.rank = rank;
    made.cost = 100ms;
    made.expires_at = time_point{1h};
    return made;
}

TEST_CASE("a request that the free upstream may not take holds up nobody")
{
    // engine-1 is free, engine-2 is full.
    const auto fits_engine_1 = [](const queued_request& ask) {
        const std::vector<upstream_name>& avoid = ask.received.avoid;
        const bool avoided =
            std::find(avoid.begin(), avoid.end(), upstream_name{"engine-1"}) != avoid.end();
        return !avoided && ask.received.version != version_name{"v2"};
    };
    fair_queue queue;
    queued_request first = make_ask(1, 0, "one");
    queued_request lower = make_ask(3, 1, "one");

    SUBCASE("not one that has failed on it before")
    {
        first.received.avoid = {upstream_name{"engine-1"}};
    }
    SUBCASE("nor one that wants another version")
    {
        first.received.version = version_name{"v2"};
    }
    queue.push(std::move(first));
    queue.push(make_ask(2, 0, "one"));
    queue.push(std::move(lower));

    const auto taken = queue.take_first(fits_engine_1);
    REQUIRE(taken.has_value());
    CHECK(taken->received.request.sequence == 2);
}
