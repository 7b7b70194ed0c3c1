#include "ragwortcove/gateway/gateway_settings.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::gateway {

static const std::string valid_settings =
    "[node]\nname = n1\nregion = r\nfailure_domain = a\n"
    "[gateway]\ncallers = 10.1.0.25:8221\nreadiness = 10.1.0.25:8224\n"
    "directory = 10.1.0.25:8220\npeers = 10.1.0.25:8229\n"
    "seeds = 10.1.0.25:8229,10.2.0.17:8229\nstore = 10.200.1.7:8225\n"
    "trusted_network = true\nrepeat_share = 0.2\nstop_limit = 8s\n";

static gateway_settings_outcome read(const std::string& text)
{
    return read_gateway_settings(settings::parse_ini("boot.ini", text));
}

TEST_CASE("settings of a gateway are read and checked")
{
    const gateway_settings_outcome outcome = read(valid_settings);
    REQUIRE(outcome.settings.has_value());
    CHECK(outcome.settings->callers == core::endpoint{"10.1.0.25", 8221});
    CHECK(outcome.settings->seeds.size() == 2);
    CHECK(outcome.settings->stop_limit == std::chrono::seconds(8));
    CHECK(is_gateway_document(settings::parse_ini("boot.ini", valid_settings)));
    CHECK_FALSE(is_gateway_document(settings::parse_ini("daemon.ini", "[node]\nname = n\n")));

    SUBCASE("an error is reported with its line and the expected value")
    {
        const auto wrong = read(valid_settings + "stop_limit = soon\n");
        REQUIRE(wrong.errors.size() == 1);
        CHECK(wrong.errors[0].line == 15);
        const auto two_errors = read(valid_settings + "repeat_window = soon\nnew_key = 1\n");
        REQUIRE(two_errors.errors.size() == 2);
        CHECK(settings::format_error(two_errors.errors[0]) ==
              "boot.ini:15: repeat_window = \"soon\": expected a duration, such as 250ms or 5s");
        CHECK_FALSE(two_errors.settings.has_value());
    }
    SUBCASE("decisions on placement are switched on by name")
    {
        CHECK_FALSE(outcome.settings->placement.paced_places);
        const auto given = read(valid_settings + "pace_places = true\n");
        REQUIRE(given.settings.has_value());
        CHECK(given.settings->placement.paced_places);
        CHECK(read(valid_settings + "pace_places = maybe\n").errors.size() == 1);
        CHECK_FALSE(outcome.settings->placement.spill.enabled);
        const auto spilling = read(valid_settings + "spill = auto\nspill_cost = 5ms\n");
        REQUIRE(spilling.settings.has_value());
        CHECK(spilling.settings->placement.spill.enabled);
        CHECK(spilling.settings->placement.spill.cost_per_kilobyte == std::chrono::milliseconds(5));
        CHECK(read(valid_settings + "spill = always\n").errors.size() == 1);
    }
    SUBCASE("what a new version may get is read, and bounded")
    {
        const auto given = read(valid_settings + "canary_share = 0.15\ncanary_allowance = 60.0\n");
        REQUIRE(given.settings.has_value());
        CHECK(given.settings->rollouts.max_share == doctest::Approx(0.15));
        CHECK(given.settings->rollouts.extra_requests == 60);
        CHECK(read(valid_settings + "canary_share = 1.5\n").errors.size() == 1);
        CHECK(read(valid_settings + "canary_share = -0.1\n").errors.size() == 1);
        CHECK(read(valid_settings + "canary_allowance = many\n").errors.size() == 1);
        CHECK(outcome.settings->rollouts.max_share == doctest::Approx(0.1));
        CHECK(outcome.settings->rollouts.extra_requests == 50);
    }
    SUBCASE("what upstreams may get while they are warming up is read, and bounded")
    {
        const auto given = read(valid_settings + "warmup_overrun = 1.5\nwarmup_slack = 5\n");
        REQUIRE(given.settings.has_value());
        CHECK(given.settings->warmups == core::warmup_tolerance{1.5, 5.0});
        CHECK(outcome.settings->warmups == core::warmup_tolerance{1.0, 0.0});
        CHECK(read(valid_settings + "warmup_overrun = 0.9\n").errors.size() == 1);
        CHECK(read(valid_settings + "warmup_slack = -1\n").errors.size() == 1);
        CHECK(read(valid_settings + "warmup_overrun = inf\n").errors.size() == 1);
    }
    SUBCASE("a key of the template that a deployment does not state keeps its default")
    {
        const auto given = read(valid_settings + "warmup_overrun =\nwarmup_slack = {{b.slack}}\n");
        REQUIRE(given.settings.has_value());
        CHECK(given.settings->warmups == core::warmup_tolerance{});
        std::string unnamed = valid_settings;
        unnamed.replace(unnamed.find("name = n1"), 9, "name = {{node}}");
        CHECK(read(unnamed).errors.size() == 1);
        CHECK(read(valid_settings + "warmup_slack = {{b.slack\n").errors.size() == 1);
    }
    SUBCASE("shares of teams and waits of cells are used only where the settings say so")
    {
        const auto given = read(valid_settings + "team_shares = true\ncell_waits = true\n");
        REQUIRE(given.settings.has_value());
        CHECK(given.settings->team_shares);
        CHECK(given.settings->cell_waits);
        CHECK_FALSE(outcome.settings->team_shares);
        CHECK_FALSE(outcome.settings->cell_waits);
        CHECK(read(valid_settings + "team_shares = perhaps\n").errors.size() == 1);
    }
    SUBCASE("admission by deadline is switched on by name")
    {
        CHECK(outcome.settings->admission == core::admission_mode::by_patience);
        const auto given = read(valid_settings + "admission = deadline\n");
        REQUIRE(given.settings.has_value());
        CHECK(given.settings->admission == core::admission_mode::by_deadline);
        CHECK(read(valid_settings + "admission = soon\n").errors.size() == 1);
    }
    SUBCASE("a missing key is named")
    {
        const auto missing = read("[node]\nname = n1\nregion = r\nfailure_domain = a\n[gateway]\n");
        CHECK(missing.errors.size() == 5);
    }
    SUBCASE("unencrypted connections beyond loopback must be allowed explicitly")
    {
        std::string untrusted = valid_settings;
        untrusted.replace(untrusted.find("trusted_network = true"), 22, "trusted_network = false");
        const auto refused = read(untrusted);
        REQUIRE(refused.errors.size() == 1);
        CHECK(refused.errors[0].key == "[gateway] trusted_network");
    }
}

} // namespace ragwortcove::gateway
