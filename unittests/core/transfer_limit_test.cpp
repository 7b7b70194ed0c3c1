#include "ragwortcove/core/transfer_limit.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::core {

using namespace std::chrono_literals;

TEST_CASE("a node admits as many transfers as its link carries in time")
{
    transfer_limit limit;
    time_point now{1h};
    const auto count_admitted = [&](std::size_t bytes, int asked) {
        int admitted = 0;
        for (int count = 0; count < asked; ++count)
            admitted += limit.admit(bytes, now) ? 1 : 0;
        return admitted;
    };

    SUBCASE("a few large ones at a time, and more later")
    {
        CHECK(count_admitted(400'000, 80) == 3);
        now += 1500ms;
        CHECK(count_admitted(400'000, 80) == 3);
    }
    SUBCASE("many small ones")
    {
        CHECK(count_admitted(10'000, 100) == 100);
    }
    SUBCASE("one that is larger than all that fits, while no other one is under way")
    {
        CHECK(count_admitted(20'000'000, 3) == 1);
        now += 1s;
        CHECK(count_admitted(20'000'000, 3) == 0);
        now += 20s;
        CHECK(count_admitted(20'000'000, 3) == 1);
    }
}

} // namespace ragwortcove::core
