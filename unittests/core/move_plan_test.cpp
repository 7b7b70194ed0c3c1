#include "ragwortcove/core/move_plan.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {
/// A move with evidence that the test provides; its next step is planned once a second.
struct planned_move {
    move_spec spec{
        route_name{"chat"}, version_name{"v1"}, version_name{"v2"}, unix_millis{600'000}, 2, 60s};
    move_status_spec status;
    move_situation situation;
    move_progress progress;

    planned_move()
    {
        this->situation.loaded = true;
        this->situation.wall = unix_millis{0};
    }
    void run(int seconds, std::uint32_t responses_per_second)
    {
        for (int elapsed = 0; elapsed < seconds; ++elapsed) {
            this->situation.wall.value += 1000;
            this->situation.pairs += responses_per_second;
            this->situation.standing.passed += responses_per_second;
            const std::optional<move_status_spec> next =
                plan_next(this->spec, this->status, this->situation, this->progress);
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

TEST_CASE("a move to a good version advances step by step and is done by the finish-by time")
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

TEST_CASE("after its finish-by time a move is either done or reverted")
{
    planned_move move;
    SUBCASE("without evidence it is reverted, with a reason")
    {
        move.run(600, 0);
        CHECK(move.status.phase == move_phase::reverted);
        CHECK(move.status.reason == "too little evidence by the finish-by time");
    }
    SUBCASE("without an upstream that loads the version it is reverted")
    {
        move.situation.loaded = false;
        move.run(600, 0);
        CHECK(move.status.phase == move_phase::reverted);
        CHECK(move.status.reason == "no upstream served the new version by the finish-by time");
    }
    SUBCASE("a move that is first planned after the finish-by time is reverted at once")
    {
        move.situation.wall = unix_millis{700'000};
        move.run(1, 0);
        CHECK(move.status.phase == move_phase::reverted);
    }
}

TEST_CASE("signs of a bad version reduce the share, a halt ends the move")
{
    planned_move move;
    move.run(300, 2);
    REQUIRE(move.status.share_permille > canary_share_permille);

    SUBCASE("signs that disappear only delay the move")
    {
        move.situation.standing.suspicious = true;
        move.run(2, 2);
        CHECK(move.status.phase == move_phase::shifting);
        CHECK(move.status.share_permille == canary_share_permille);
        move.situation.standing.suspicious = false;
        move.run(298, 2);
        CHECK(move.status.phase == move_phase::done);
    }
    SUBCASE("signs that return at larger shares revert the move")
    {
        for (int round = 0; round < 4; ++round) {
            move.situation.standing.suspicious = true;
            move.run(2, 2);
            move.situation.standing.suspicious = false;
            move.run(90, 2);
        }
        CHECK(move.status.phase == move_phase::reverted);
    }
    SUBCASE("a halt takes precedence over every phase, including done")
    {
        move.run(300, 2);
        REQUIRE(move.status.phase == move_phase::done);
        move.situation.standing.halted = true;
        move.run(1, 0);
        CHECK(move.status.phase == move_phase::reverted);
    }
}
