#include "ragwortcove/core/response_times.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::core {

using namespace std::chrono_literals;

TEST_CASE("the usual time of a route's responses is learned")
{
    response_times times;
    http_route route;
    route.name = {"r"};
    route.goal = 200ms;
    SUBCASE("from few responses: a guess from the goal")
    {
        times.add(route, {3s, 3s, 0});
        CHECK(times.usual_limit(route, 0) >= 1s);
        CHECK(times.usual_limit(route, 0) <= 2s);
    }
    SUBCASE("from plain ones")
    {
        for (int count = 0; count < 40; ++count)
            times.add(route, {2s, 2s, 0});
        CHECK(times.usual_limit(route, 0) >= 2s);
        CHECK(times.usual_limit(route, 0) <= 5s);
    }
    SUBCASE("from plain ones that have just become slow")
    {
        for (int count = 0; count < 400; ++count)
            times.add(route, {20ms, 20ms, 0});
        CHECK(times.usual_limit(route, 0) <= 100ms);
        times.add(route, {2500ms, 2500ms, 0});
        CHECK(times.usual_limit(route, 0) >= 2500ms);
    }
    SUBCASE("from streams, by how long they may be")
    {
        route.streams = true;
        for (int count = 0; count < 40; ++count)
            times.add(route, {100ms, 1100ms, 100});
        CHECK(times.usual_limit(route, 100) >= 1100ms);
        CHECK(times.usual_limit(route, 100) <= 3s);
        CHECK(times.usual_limit(route, 1000) >= 10s);
        CHECK(times.usual_limit(route, 5) <= 500ms);
    }
}

} // namespace ragwortcove::core
