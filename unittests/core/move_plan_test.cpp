#include "ragwortcove/core/move_plan.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {
/// A move whose evidence the test makes up, looked at once a second.
struct planned_move {
    move_spec spec{
        route_name{"chat"}, version_name{"v1"}, version_name{"v2"}, unix_millis{600'000}, 2, 60s};
    move_status_spec status;
    move_situation seen;
    move_progress progress;

    planned_move()
    {
        this->seen.loaded = true;
        this->seen.wall = unix_millis{0};
    }
    void run(int seconds, std::uint32_t answers_each)
    {
        for (int passed = 0; passed < seconds; ++passed) {
            this->seen.wall.value += 1000;
            this->seen.pairs += answers_each;
            this->seen.standing.passed += answers_each;
            const std::optional<move_status_spec> next =
                plan_next(this->spec, this->status, this->seen, this->progress);
            if (!next)
                continue;
            this->status = *next;
            const std::uint32_t setbacks = this->progress.setbacks;
            this->progress = {};
            this->progress.setbacks = setbacks;
        }
    }
};
} // namespace

TEST_CASE("a good version goes step by step and is done by the finish-by time")
{
    planned_move move;
    move.run(2, 0);
    CHECK(move.status.phase == move_phase::shifting);
    CHECK(move.status.share_permille == canary_share_permille);
    move.run(250, 2);
    CHECK(move.status.phase == move_phase::shifting);
    CHECK(move.status.share_permille > canary_share_permille);
    move.run(345, 2);
    CHECK(move.status.phase == move_phase::done);
}

TEST_CASE("a move is never left between after its finish-by time")
{
    planned_move move;
    SUBCASE("without evidence it is reverted, and says why")
    {
        move.run(600, 0);
        CHECK(move.status.phase == move_phase::reverted);
        CHECK(move.status.reason == "too little evidence by the finish-by time");
    }
    SUBCASE("without an upstream that loads the version it is reverted")
    {
        move.seen.loaded = false;
        move.run(600, 0);
        CHECK(move.status.phase == move_phase::reverted);
        CHECK(move.status.reason == "no upstream served the new version by the finish-by time");
    }
    SUBCASE("found only afterwards it is reverted at once")
    {
        move.seen.wall = unix_millis{700'000};
        move.run(1, 0);
        CHECK(move.status.phase == move_phase::reverted);
    }
}

TEST_CASE("signs of a bad version bring the share back, the brake ends the move")
{
    planned_move move;
    move.run(300, 2);
    REQUIRE(move.status.share_permille > canary_share_permille);

    SUBCASE("signs that go away cost time only")
    {
        move.seen.standing.suspicious = true;
        move.run(2, 2);
        CHECK(move.status.phase == move_phase::shifting);
        CHECK(move.status.share_permille == canary_share_permille);
        move.seen.standing.suspicious = false;
        move.run(298, 2);
        CHECK(move.status.phase == move_phase::done);
    }
    SUBCASE("signs that come back at larger shares are load, and end it")
    {
        for (int round = 0; round < 4; ++round) {
            move.seen.standing.suspicious = true;
            move.run(2, 2);
            move.seen.standing.suspicious = false;
            move.run(90, 2);
        }
        CHECK(move.status.phase == move_phase::reverted);
    }
    SUBCASE("the brake beats every phase, done as well")
    {
        move.run(300, 2);
        REQUIRE(move.status.phase == move_phase::done);
        move.seen.standing.halted = true;
        move.run(1, 0);
        CHECK(move.status.phase == move_phase::reverted);
    }
}
