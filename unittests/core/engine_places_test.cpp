#include "engine_fleet.hpp"
#include "ragwortcove/core/engine_places.hpp"

#include <doctest/doctest.h>

#include <array>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

struct outcome {
    double on_time_share = 0.0;
    double cut_off_share = 0.0;
};

} // namespace

// Eight fast engines and four that are six times slower. Of the arrivals, 0.3 are long, 0.4 medium
// and 0.3 short. 48 requests a second are about what the engines can run in time.
static outcome play(bool paced, double per_second, duration deadline)
{
    const std::array<testing::load_kind, 3> kinds{
        {{per_second * 0.3, 0, 6600, 45.0, 800ms, 400ms, deadline},
         {per_second * 0.4, 1, 630, 35.0, 400ms, 400ms, deadline},
         {per_second * 0.3, 2, 1800, 3.0, 400ms, 400ms, 3s}}};
    testing::tally all;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        testing::engine_fleet fleet{seed};
        for (int index = 0; index < 12; ++index)
            fleet.add_engine("a", index % 3 == 2 ? 6.0 : 1.0);
        fleet.announce();
        fleet.scheduler.set_options({paced});
        fleet.counted_from = fleet.now + 10s;
        fleet.run(30s, kinds, {{"a", 1.0}});
        fleet.run(12s, {}, {{"a", 1.0}});
        for (const testing::tally& each : fleet.by_kind) {
            all.offered += each.offered;
            all.on_time += each.on_time;
            all.cut_off += each.cut_off;
        }
    }
    return {all.share(), all.cut_off / all.offered};
}

// Long responses that begin on a slow engine are cut off when their callers give up, although a
// faster engine would have had a free slot in time.
TEST_CASE("under 1.3 times the load, fewer responses are cut off on slow engines")
{
    const outcome before = play(false, 62.0, 5s);
    const outcome after = play(true, 62.0, 5s);
    MESSAGE("on time " << before.on_time_share << " and " << after.on_time_share << ", cut off "
                       << before.cut_off_share << " and " << after.cut_off_share);
    CHECK(after.cut_off_share < 0.75 * before.cut_off_share);
    CHECK(after.on_time_share > before.on_time_share);
}

TEST_CASE("with free slots on fast engines, nothing changes")
{
    const outcome before = play(false, 20.0, 12s);
    const outcome after = play(true, 20.0, 12s);
    CHECK(after.on_time_share == before.on_time_share);
    CHECK(after.cut_off_share == before.cut_off_share);
}

TEST_CASE("an engine's times follow from its pace and its work")
{
    const engine_pace pace{15'000.0, 24'000.0, 12.0};
    const engine_work work{1000.0, 10.0, 0.0, 0};
    CHECK(completion_time_us(pace, work) == doctest::Approx(267'000.0));
    SUBCASE("prompts ahead and other streams delay the last event")
    {
        CHECK(completion_time_us(pace, {1000.0, 10.0, 1000.0, 0}) == doctest::Approx(279'000.0));
        CHECK(completion_time_us(pace, {1000.0, 10.0, 0.0, 5}) == doctest::Approx(291'000.0));
    }
    SUBCASE("a slow engine frees its slots as much later")
    {
        const engine_pace slow{90'000.0, 144'000.0, 72.0};
        CHECK(releases_per_second(pace, work, 7) ==
              doctest::Approx(6.0 * releases_per_second(slow, work, 7)));
        CHECK(releases_per_second(pace, work, 0) == 0.0);
    }
}

} // namespace ragwortcove::core
