// Guards against a load seen on a deployment with 16 teams and 132 engines: while two teams sent
// six times their usual, they got half of all slots, and every other team waited behind them.

#include "fleet_load.hpp"

#include <doctest/doctest.h>

#include <string>

namespace ragwortcove::core::test {

/// Largest loss of a team's share of answers in time that another team's flood may cause.
static constexpr double max_loss = 0.05;
static constexpr std::size_t small_team = 0;
static constexpr std::size_t large_team = 8;
static constexpr std::size_t other_team = 1;

/// Sixteen teams, four of them three times as large as the others.
static load_options make_options(double usual_load)
{
    load_options options;
    options.usual_load = usual_load;
    for (std::size_t team = large_team; team != large_team + 4; ++team)
        options.teams[team].size = 3.0;
    return options;
}

static std::vector<load_result> run_teams(const load_options& options)
{
    fleet_load fleet(options);
    fleet.run();
    return fleet.by_team;
}

static double slot_seconds(const std::vector<load_result>& all)
{
    double total = 0.0;
    for (const load_result& each : all)
        total += each.slot_seconds;
    return total;
}

static void check_others_keep_theirs(const load_options& with_flood)
{
    load_options usual = with_flood;
    for (team_load& each : usual.teams)
        each.flood = 1.0;
    const std::vector<load_result> before = run_teams(usual);
    const std::vector<load_result> during = run_teams(with_flood);
    for (std::size_t team = 0; team != before.size(); ++team) {
        if (with_flood.teams[team].flood > 1.0)
            continue;
        CAPTURE(team);
        REQUIRE(before[team].asked > 300);
        CHECK(during[team].on_time_share() >= before[team].on_time_share() - max_loss);
    }
}

TEST_CASE("a team that sends many times its usual does not cost the others their answers in time")
{
    load_options options = make_options(0.9);
    SUBCASE("a small team at six times its usual")
    {
        options.teams[small_team].flood = 6.0;
    }
    SUBCASE("a large team at seven and a half times its usual")
    {
        options.teams[large_team].flood = 7.5;
    }
    SUBCASE("two teams at six times their usual")
    {
        options.teams[small_team].flood = 6.0;
        options.teams[large_team].flood = 6.0;
    }
    SUBCASE("while all teams together send too much already")
    {
        options.usual_load = 1.1;
        options.teams[large_team].flood = 7.5;
    }
    SUBCASE("while most requests come in at one node")
    {
        options.entry_skew = 20.0;
        options.teams[large_team].flood = 7.5;
    }
    SUBCASE("while the owner of a cell dies")
    {
        options.teams[large_team].flood = 7.5;
        options.owner_dies = 7s;
        options.owner_returns = 7300ms;
    }
    check_others_keep_theirs(options);
}

TEST_CASE("a team that sends many times its usual gets what the others leave")
{
    load_options options = make_options(0.6);
    options.teams[large_team].flood = 7.5;
    SUBCASE("beside teams that send less than their share")
    {
        const std::vector<load_result> during = run_teams(options);
        const double all = slot_seconds(during);
        // Three of 24 parts are its share.
        CHECK(during[large_team].slot_seconds > 0.3 * all);
        options.team_shares = false;
        CHECK(all > 0.97 * slot_seconds(run_teams(options)));
    }
    SUBCASE("and everything while the others are idle")
    {
        for (std::size_t team = 0; team != options.teams.size(); ++team)
            options.teams[team].is_idle = team != large_team;
        const load_result shared = run_teams(options)[large_team];
        options.team_shares = false;
        const load_result alone = run_teams(options)[large_team];
        CHECK(shared.on_time == alone.on_time);
        CHECK(shared.slot_seconds == doctest::Approx(alone.slot_seconds));
    }
}

TEST_CASE("teams that all send too much are served in proportion to their quotas")
{
    load_options options = make_options(1.0);
    for (team_load& each : options.teams)
        each.flood = 3.0;
    // One of the small teams sends twice as much again.
    options.teams[small_team].flood = 6.0;
    const std::vector<load_result> during = run_teams(options);
    CHECK(during[small_team].slot_seconds ==
          doctest::Approx(during[other_team].slot_seconds).epsilon(0.15));
    CHECK(during[large_team].slot_seconds ==
          doctest::Approx(3.0 * during[other_team].slot_seconds).epsilon(0.15));
}

} // namespace ragwortcove::core::test
