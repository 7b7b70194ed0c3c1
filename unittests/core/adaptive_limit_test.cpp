#include "ragwortcove/core/adaptive_limit.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace ragwortcove::core;

static constexpr std::uint32_t slots = 16;

/// Draws the time of a call; calls differ by a factor of five, such as lookups and admissions.
static duration draw_call(std::mt19937_64& random)
{
    return duration{2000 + static_cast<duration::rep>(random() % 8000)};
}

TEST_CASE("a limit follows the capacity of its upstream")
{
    std::mt19937_64 random{1};
    adaptive_limit limit{slots};

    SUBCASE("calls of different lengths do not shrink it while load does not make them longer")
    {
        std::uint32_t lowest = slots;
        for (int call = 0; call < 5000; ++call) {
            limit.sample(draw_call(random), limit.value());
            lowest = std::min(lowest, limit.value());
        }
        CHECK(lowest >= slots / 2);
    }
    SUBCASE("it shrinks to about the load at which calls become longer, and stays there")
    {
        static constexpr std::uint32_t knee = 4;
        limit.sample(duration{6000}, 1);
        for (int call = 0; call < 5000; ++call) {
            const std::uint32_t in_flight = limit.value();
            const double slowdown = std::max(1.0, static_cast<double>(in_flight) / knee);
            const auto time = static_cast<double>(draw_call(random).count()) * slowdown;
            limit.sample(duration{static_cast<duration::rep>(time)}, in_flight);
        }
        CHECK(limit.value() >= knee - 1);
        CHECK(limit.value() <= 3 * knee);
    }
    SUBCASE("after failures it grows again while it is reached")
    {
        for (int failure = 0; failure < 100; ++failure)
            limit.failed();
        CHECK(limit.value() == 1);
        for (int call = 0; call < 2000; ++call)
            limit.sample(draw_call(random), limit.value());
        CHECK(limit.value() >= slots / 2);
    }
}
