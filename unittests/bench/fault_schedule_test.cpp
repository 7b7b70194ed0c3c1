#include "ragwortcove/bench/fault_run.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <sstream>
#include <string>

using namespace ragwortcove::bench;

/// Schedules of one test run; `RAGWORTCOVE_FAULT_SCHEDULES` asks for more.
static int wanted_schedules()
{
    static constexpr int default_schedules = 60;
    const char* wanted = std::getenv("RAGWORTCOVE_FAULT_SCHEDULES");
    return wanted == nullptr ? default_schedules : std::atoi(wanted);
}

static rc::detail::TestParams fixed_parameters()
{
    rc::detail::TestParams parameters;
    parameters.seed = 20;
    parameters.maxSuccess = wanted_schedules();
    // A smaller seed is no simpler schedule; `explain_seed` leaves out faults instead.
    parameters.disableShrinking = true;
    return parameters;
}

// Each failed once. 9582: a node that woke from a pause of 5.6 s used a grant for an upstream that
// had said meanwhile that it leaves. 9052: with the first mend of that, requests that were held
// back asked again only after a second, and an urgent one ran out of time.
TEST_CASE("schedules that once broke a promise hold")
{
    for (const std::uint64_t seed : {9582U, 9052U}) {
        CAPTURE(seed);
        CHECK(explain_seed(seed) == "");
    }
}

TEST_CASE("every promise holds under seeded fault schedules")
{
    static constexpr std::uint64_t seeds = 1'000'000;
    const auto holds = [] {
        const auto seed = *rc::gen::inRange<std::uint64_t>(1, seeds);
        const std::string broken = explain_seed(seed);
        if (!broken.empty()) {
            RC_FAIL(broken);
        }
    };
    rc::detail::TestMetadata metadata;
    metadata.id = "fault schedules";
    metadata.description = "every promise holds";
    const auto result = rc::detail::checkTestable(holds, metadata, fixed_parameters());
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(), text.str());
}

TEST_CASE("schedules that broke a promise once do so no more")
{
    // 7: repeated while an unreachable engine still ran it. 67: the check itself. 194: a key whose
    // owner had gone was refused as not run.
    for (const std::uint64_t seed : {7, 67, 194}) {
        CHECK(explain_seed(seed) == "");
    }
}

TEST_CASE("a schedule depends on its seed alone")
{
    const auto one = schedule_of(5);
    const auto two = schedule_of(5);
    REQUIRE(one.size() == two.size());
    for (std::size_t index = 0; index < one.size(); ++index) {
        CHECK(one[index].at == two[index].at);
        CHECK(describe(one[index].what) == describe(two[index].what));
    }
}
