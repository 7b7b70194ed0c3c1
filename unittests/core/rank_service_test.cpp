#include "ragwortcove/core/rank_service.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

TEST_CASE("a rank that is hardly served is starved")
{
    rank_service service;
    const time_point now{1h};
    const auto see = [&](std::uint32_t rank, int asked, int placed, time_point at) {
        for (int count = 0; count != asked; ++count)
            service.record_request(rank, at);
        for (int count = 0; count != placed; ++count)
            service.record_placement(rank, at);
    };
    see(0, 100, 90, now);

    SUBCASE("one that is not served at all")
    {
        see(2, 20, 0, now);
        CHECK(service.is_starved(2));
        CHECK_FALSE(service.is_starved(0));
    }
    SUBCASE("not one that is served half as often")
    {
        see(2, 20, 10, now);
        CHECK_FALSE(service.is_starved(2));
    }
    SUBCASE("a few requests say nothing")
    {
        see(2, 5, 0, now);
        CHECK_FALSE(service.is_starved(2));
        CHECK_FALSE(service.is_starved(7));
    }
    SUBCASE("when nobody is served, nobody is starved")
    {
        rank_service stuck;
        for (int count = 0; count != 50; ++count)
            stuck.record_request(1, now);
        CHECK_FALSE(stuck.is_starved(1));
    }
    SUBCASE("what is long past is forgotten")
    {
        see(2, 20, 0, now);
        see(0, 100, 90, now + 30s);
        CHECK_FALSE(service.is_starved(2));
    }
}
