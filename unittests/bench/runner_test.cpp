#include "ragwortcove/bench/runner.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::bench;
using namespace std::chrono_literals;

static void check_promises(const run_result& result)
{
    for (const violation& broken : result.violations) {
        const double seconds = std::chrono::duration<double>(broken.at.time_since_epoch()).count();
        FAIL_CHECK(to_string(broken.broken) << " at " << seconds << " s: " << broken.detail);
    }
}

TEST_CASE("a run without faults keeps every promise")
{
    run_settings settings;
    settings.load = 0.6;

    SUBCASE("on a small site, and nearly all is answered")
    {
        runner run(small_site(), settings);
        run.run_for(30s);
        run.finish(30s);
        const run_result result = run.result();
        check_promises(result);
        CHECK(result.offered() > 300);
        CHECK(static_cast<double>(result.answered()) >
              0.99 * static_cast<double>(result.offered()));
    }
    SUBCASE("the same seed gives the same run")
    {
        const auto run_once = [&] {
            runner run(small_site(), settings);
            run.run_for(10s);
            return run.result();
        };
        const run_result one = run_once();
        const run_result two = run_once();
        CHECK(one.answered() == two.answered());
        CHECK(one.output_tokens == two.output_tokens);
        CHECK(one.core_steps == two.core_steps);
    }
    SUBCASE("at the consortium")
    {
        runner run(consortium(), settings);
        run.run_for(20s);
        run.finish(180s);
        const run_result result = run.result();
        check_promises(result);
        CHECK(static_cast<double>(result.answered()) >
              0.99 * static_cast<double>(result.offered()));
    }
}

TEST_CASE("a call made by hand is followed to its end")
{
    run_settings settings;
    settings.load = 0.0;
    runner run(small_site(), settings);
    run.run_for(2s);
    const call_number short_call = run.call({{"short"}, {"one"}, 100, 20, {}});
    const call_number payment = run.call({{"payment"}, {"two"}, 0, 0, {"node-1"}});
    run.run_for(5s);
    CHECK(run.view(short_call).state == call_state::answered);
    CHECK(run.view(short_call).received == 20);
    CHECK(run.view(payment).state == call_state::answered);
    CHECK(run.violations().empty());
}
