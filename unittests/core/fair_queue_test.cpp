#include "ragwortcove/core/fair_queue.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static queued_request make_queued(std::uint64_t number, std::uint32_t rank, const char* team)
{
    queued_request made;
    made.received.request = request_id{incarnation{1}, number};
    made.received.team = team_name{team};
    made.rank = rank;
    made.cost = 100ms;
    made.expires_at = time_point{1h};
    return made;
}

TEST_CASE("a request that may not run on the free upstream blocks no other")
{
    // engine-1 is free, engine-2 is full.
    const auto fits_engine_1 = [](const queued_request& queued) {
        const std::vector<upstream_name>& avoid = queued.received.avoid;
        const bool avoided =
            std::find(avoid.begin(), avoid.end(), upstream_name{"engine-1"}) != avoid.end();
        return !avoided && queued.received.version != version_name{"v2"};
    };
    fair_queue queue;
    queued_request first = make_queued(1, 0, "one");
    queued_request lower = make_queued(3, 1, "one");

    SUBCASE("when it avoids the upstream, where it failed before")
    {
        first.received.avoid = {upstream_name{"engine-1"}};
    }
    SUBCASE("when it needs another version")
    {
        first.received.version = version_name{"v2"};
    }
    queue.push(std::move(first));
    queue.push(make_queued(2, 0, "one"));
    queue.push(std::move(lower));

    const auto taken = queue.take_first(fits_engine_1);
    REQUIRE(taken.has_value());
    CHECK(taken->received.request.sequence == 2);
}
