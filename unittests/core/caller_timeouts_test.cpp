#include "ragwortcove/core/caller_timeouts.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::core {

using namespace std::chrono_literals;

TEST_CASE("a caller with a shorter timeout than the others of its route has made earlier attempts")
{
    caller_timeouts times;
    http_route route;
    route.name.value = "r";
    const time_point start{1h};
    CHECK(times.earlier(route, 15s, start) == 0s);
    CHECK(times.earlier(route, 14s, start) == 1s);
    CHECK(times.earlier(route, 14990ms, start) == 0s);
    SUBCASE("routes are tracked separately")
    {
        http_route other;
        other.name.value = "other";
        CHECK(times.earlier(other, 3s, start) == 0s);
    }
    SUBCASE("a shorter timeout counts as new once no caller has stated the longer one for 60 s")
    {
        CHECK(times.earlier(route, 3s, start + 59s) == 12s);
        CHECK(times.earlier(route, 3s, start + 61s) == 0s);
        CHECK(times.earlier(route, 3s, start + 62s) == 0s);
    }
}

} // namespace ragwortcove::core
