#include "ragwortcove/core/rank_service.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

TEST_CASE("a rank whose requests are rarely placed is starved")
{
    rank_service service;
    const time_point now{1h};
    const auto record = [&](std::uint32_t rank, int asked, int placed, time_point at) {
        for (int count = 0; count != asked; ++count)
            service.record_request(rank, at);
        for (int count = 0; count != placed; ++count)
            service.record_placement(rank, at);
    };
    record(0, 100, 90, now);

    SUBCASE("a rank that is not served at all")
    {
        record(2, 20, 0, now);
        CHECK(service.is_starved(2));
        CHECK_FALSE(service.is_starved(0));
    }
    SUBCASE("not a rank that is served half as often")
    {
        record(2, 20, 10, now);
        CHECK_FALSE(service.is_starved(2));
    }
    SUBCASE("a few requests are not enough to tell")
    {
        record(2, 5, 0, now);
        CHECK_FALSE(service.is_starved(2));
        CHECK_FALSE(service.is_starved(7));
    }
    SUBCASE("when no request is placed, no rank is starved")
    {
        rank_service idle_service;
        for (int count = 0; count != 50; ++count)
            idle_service.record_request(1, now);
        CHECK_FALSE(idle_service.is_starved(1));
    }
    SUBCASE("requests of long ago are not counted")
    {
        record(2, 20, 0, now);
        record(0, 100, 90, now + 30s);
        CHECK_FALSE(service.is_starved(2));
    }
}
