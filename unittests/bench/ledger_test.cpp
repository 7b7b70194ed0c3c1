#include "../../lib/bench/ledger.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ragwortcove;
using namespace ragwortcove::bench;
using namespace std::chrono_literals;

static constexpr core::time_point start{};
static constexpr try_id first_try{{1}, {1}};
static constexpr try_id second_try{{2}, {1}};

static bool reports(const ledger& truth, promise broken)
{
    const auto wanted = [&](const violation& value) { return value.broken == broken; };
    return std::any_of(truth.violations().begin(), truth.violations().end(), wanted);
}

static call_record make_call(call_number number, std::uint32_t rank, bool idempotent)
{
    call_record call;
    call.number = number;
    call.rank = rank;
    call.idempotent = idempotent;
    call.target = {"model"};
    return call;
}

static constexpr core::refusal not_run{core::verdict::not_run, core::refusal_reason::overloaded,
                                       1s};

TEST_CASE("the ledger reports each promise that is broken")
{
    ledger truth;
    call_record payment = make_call(1, 0, false);
    call_record lookup = make_call(2, 0, true);

    SUBCASE("a request that is live on two upstreams")
    {
        truth.started(lookup, {first_try, {{1}, 1}, 0}, false, start);
        CHECK(truth.violations().empty());
        truth.started(lookup, {first_try, {{1}, 1}, 1}, true, start);
        CHECK(reports(truth, promise::dispatched_once));
    }
    SUBCASE("a request that may not be repeated and starts again anywhere")
    {
        truth.started(payment, {first_try, {{1}, 1}, 0}, false, start);
        truth.started(payment, {second_try, {{2}, 1}, 0}, false, start);
        CHECK(reports(truth, promise::dispatched_once));
    }
    SUBCASE("a key that ran twice")
    {
        truth.check_runs({{"a", 1}, {"b", 2}}, start);
        REQUIRE(truth.violations().size() == 1);
        CHECK(reports(truth, promise::key_runs_once));
    }
    SUBCASE("not run, said after a start")
    {
        truth.started(lookup, {first_try, {{1}, 1}, 0}, false, start);
        truth.refused(lookup, first_try, not_run, start, start);
        CHECK(reports(truth, promise::not_run_is_true));
    }
    SUBCASE("not run, said before a start")
    {
        truth.refused(lookup, first_try, not_run, start, start);
        CHECK(truth.violations().empty());
        truth.started(lookup, {first_try, {{1}, 1}, 0}, false, start);
        CHECK(reports(truth, promise::not_run_is_true));
    }
    SUBCASE("not run, said of a key that another entry has used")
    {
        truth.started(payment, {first_try, {{1}, 1}, 0}, false, start);
        truth.refused(payment, second_try, not_run, start, start);
        CHECK(reports(truth, promise::not_run_is_true));
    }
    SUBCASE("a tier that is shed while a lower one is admitted")
    {
        const call_record low = make_call(3, 1, true);
        truth.admitted(low, {"engine-1"}, start, start + 1s);
        SUBCASE("while it waited")
        {
            truth.refused(lookup, first_try, not_run, start, start + 2s);
            CHECK(reports(truth, promise::tier_order));
        }
        SUBCASE("but not when the lower one came first")
        {
            truth.refused(lookup, first_try, not_run, start + 1s, start + 2s);
            CHECK(truth.violations().empty());
        }
    }
    SUBCASE("new work for an upstream that has been leaving for more than three seconds, counted "
            "from when the notice could come")
    {
        truth.marked_leaving({"engine-1"}, start);
        truth.admitted(lookup, {"engine-1"}, start, start + 2s);
        CHECK(truth.violations().empty());
        truth.admitted(lookup, {"engine-1"}, start + 2s, start + 4s);
        CHECK(truth.violations().empty());
        truth.admitted(lookup, {"engine-1"}, start, start + 4s);
        CHECK(reports(truth, promise::leaving_gets_nothing));
    }
    SUBCASE("a configuration that goes back within one run of a node")
    {
        truth.saw_revision({"node-1"}, {1}, {7}, start);
        truth.saw_revision({"node-1"}, {2}, {5}, start);
        CHECK(truth.violations().empty());
        truth.saw_revision({"node-1"}, {1}, {6}, start);
        CHECK(reports(truth, promise::revision_never_reverts));
    }
}
