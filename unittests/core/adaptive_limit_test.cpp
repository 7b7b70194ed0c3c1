#include "ragwortcove/core/adaptive_limit.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace ragwortcove::core;

static constexpr std::uint32_t slots = 16;

/// Calls that differ five times in length, such as lookups beside admissions.
static duration draw_call(std::mt19937_64& random)
{
    return duration{2000 + static_cast<duration::rep>(random() % 8000)};
}

TEST_CASE("a limit follows what its upstream can do")
{
    std::mt19937_64 random{1};
    adaptive_limit limit{slots};

    SUBCASE("calls of unlike length do not shrink it while load makes none of them longer")
    {
        std::uint32_t least = slots;
        for (int call = 0; call < 5000; ++call) {
            limit.sample(draw_call(random), limit.value());
            least = std::min(least, limit.value());
        }
        CHECK(least >= slots / 2);
    }
    SUBCASE("it shrinks to about where load begins to make calls longer, and stays")
    {
        static constexpr std::uint32_t knee = 4;
        limit.sample(duration{6000}, 1);
        for (int call = 0; call < 5000; ++call) {
            const std::uint32_t in_flight = limit.value();
            const double stretch = std::max(1.0, static_cast<double>(in_flight) / knee);
            const auto time = static_cast<double>(draw_call(random).count()) * stretch;
            limit.sample(duration{static_cast<duration::rep>(time)}, in_flight);
        }
        CHECK(limit.value() >= knee - 1);
        CHECK(limit.value() <= 3 * knee);
    }
    SUBCASE("after failures it grows back while it is used up")
    {
        for (int failure = 0; failure < 100; ++failure)
            limit.failed();
        CHECK(limit.value() == 1);
        for (int call = 0; call < 2000; ++call)
            limit.sample(draw_call(random), limit.value());
        CHECK(limit.value() >= slots / 2);
    }
}
