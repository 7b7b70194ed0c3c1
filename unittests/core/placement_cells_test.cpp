#include "ragwortcove/core/placement_cells.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static const target_name engines{"engines"};
static constexpr time_point start{1h};

TEST_CASE("a target with many upstreams is split into cells")
{
    SUBCASE("a few upstreams are one cell")
    {
        CHECK(placement_cell_count(0) == 1);
        CHECK(placement_cell_count(1) == 1);
        CHECK(placement_cell_count(24) == 1);
    }
    SUBCASE("more are split into a power of two")
    {
        CHECK(placement_cell_count(25) == 2);
        CHECK(placement_cell_count(60) == 4);
        CHECK(placement_cell_count(112) == 8);
        CHECK(placement_cell_count(1100) == 64);
    }
    SUBCASE("when cells are split, an upstream stays in one half of its cell")
    {
        for (int number = 0; number != 200; ++number) {
            const upstream_name name{"u" + std::to_string(number)};
            const cell_index before = placement_cell_of(name, 4);
            const cell_index after = placement_cell_of(name, 8);
            CHECK((after == before || after == before + 4));
        }
    }
}

TEST_CASE("the canaries of a target have cells of their own")
{
    CHECK(target_of_pool(canary_pool_of(engines)) == engines);
    CHECK(target_of_pool(engines) == engines);
    std::vector<announced_upstream> all(30);
    for (announced_upstream& each : all)
        each.target = engines;
    CHECK(count_cells(all) == std::map<target_name, cell_index>{{engines, 2}});
    for (std::size_t index = 0; index != 10; ++index)
        all[index].pool = canary_pool_of(engines);
    CHECK(count_cells(all) ==
          std::map<target_name, cell_index>{{engines, 1}, {canary_pool_of(engines), 1}});
}

TEST_CASE("requests are spread over cells by their known load")
{
    cell_chooser chooser;
    random_engine random{3};
    const auto draw = [&](int times, time_point now) {
        std::vector<int> counts(4);
        for (int number = 0; number != times; ++number)
            ++counts[chooser.choose(engines, 4, {}, random, now)];
        return counts;
    };

    SUBCASE("evenly while nothing is known")
    {
        for (const int count : draw(4000, start))
            CHECK(count > 800);
    }
    SUBCASE("by free slots")
    {
        draw(1, start);
        chooser.record_load(engines, 0, {3000, 0}, start);
        chooser.record_load(engines, 1, {1000, 0}, start);
        chooser.record_load(engines, 2, {0, 5}, start);
        chooser.record_load(engines, 3, {0, 50}, start);
        const std::vector<int> counts = draw(400, start);
        CHECK(counts[0] > 250);
        CHECK(counts[1] > 50);
        CHECK(counts[2] + counts[3] < 5);
    }
    SUBCASE("a free slot is used for one request only")
    {
        draw(1, start);
        for (cell_index cell = 0; cell != 4; ++cell)
            chooser.record_load(engines, cell, {cell == 2 ? 1U : 0U, 3}, start);
        CHECK(chooser.choose_free(engines, 4, {}, random, start) == 2);
        CHECK_FALSE(chooser.choose_free(engines, 4, {}, random, start).has_value());
    }
    SUBCASE("an old load report is ignored")
    {
        draw(1, start);
        chooser.record_load(engines, 2, {100, 0}, start);
        CHECK_FALSE(chooser.choose_free(engines, 4, {}, random, start + 2s).has_value());
        for (const int count : draw(4000, start + 2s))
            CHECK(count > 800);
    }
    SUBCASE("a cell that was tried is not chosen again before the others")
    {
        const std::vector<cell_index> tried{0, 1, 3};
        for (int number = 0; number != 20; ++number)
            CHECK(chooser.choose(engines, 4, tried, random, start) == 2);
        const std::vector<cell_index> all{0, 1, 2, 3};
        CHECK(chooser.choose(engines, 4, all, random, start) < 4);
    }
    SUBCASE("a target with one cell has no other cell to choose")
    {
        CHECK(chooser.choose(engines, 1, {}, random, start) == 0);
        CHECK_FALSE(chooser.choose_free(engines, 1, {}, random, start).has_value());
    }
}

TEST_CASE("a denied request is sent to a cell whose wait it can spend")
{
    cell_chooser chooser;
    chooser.set_uses_waits(true);
    random_engine random{3};
    static_cast<void>(chooser.choose(engines, 4, {}, random, start));
    const std::vector<cell_index> denied{0};
    const auto choose = [&](duration time_left, time_point now = start, std::uint32_t rank = 1) {
        return chooser.choose_after_denial(engines, 4, {rank, time_left, denied}, random, now);
    };
    chooser.record_load(engines, 0, {0, 9, 5ms}, start, 1);
    chooser.record_load(engines, 1, {0, 9, 900ms}, start, 1);
    chooser.record_load(engines, 2, {0, 9, 100ms}, start, 1);
    chooser.record_load(engines, 3, {0, 9}, start, 1);

    SUBCASE("but not to one that has denied it, nor to one that does not state its wait")
    {
        for (int count = 0; count != 20; ++count)
            CHECK(choose(200ms) == 2);
    }
    SUBCASE("but to none if it would be late everywhere")
    {
        CHECK_FALSE(choose(100ms).has_value());
        CHECK_FALSE(choose(-5ms).has_value());
    }
    SUBCASE("by the wait of its own rank")
    {
        CHECK_FALSE(choose(200ms, start, 2).has_value());
    }
    SUBCASE("unless the wait was stated long ago")
    {
        CHECK_FALSE(choose(200ms, start + 2s).has_value());
    }
    SUBCASE("rather to one with a free slot")
    {
        chooser.record_load(engines, 3, {2, 0}, start, 1);
        CHECK(choose(200ms) == 3);
    }
    SUBCASE("after two denials only to one with a free slot")
    {
        const std::vector<cell_index> twice{0, 1};
        CHECK_FALSE(
            chooser.choose_after_denial(engines, 4, {1, 200ms, twice}, random, start).has_value());
        chooser.record_load(engines, 3, {2, 0}, start, 1);
        CHECK(chooser.choose_after_denial(engines, 4, {1, 200ms, twice}, random, start) == 3);
    }
    SUBCASE("only if that is switched on")
    {
        chooser.set_uses_waits(false);
        CHECK_FALSE(choose(200ms).has_value());
    }
}
