#include "ragwortcove/bench/experiment.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ragwortcove::bench;
using namespace std::chrono_literals;

TEST_CASE("an experiment is a matrix of separate runs")
{
    experiment_plan plan;
    plan.deployments = {"small"};
    plan.policies = {"permits", "round_robin"};
    plan.loads = {0.5, 2.0};
    plan.faults = {"none"};
    plan.seeds = {1, 2, 3};
    const auto cases = cases_of(plan);
    CHECK(cases.size() == 12);
    CHECK(cases.front().name() == "small/permits/0.5/none/1");

    SUBCASE("a case gives the same figures each time")
    {
        const auto one = run_case(cases.front(), 5s);
        CHECK(one == run_case(cases.front(), 5s));
        CHECK(one.at("offered").to_number<double>() > 0.0);
    }
    SUBCASE("results become rows under one head")
    {
        const std::vector<boost::json::object> rows{{{"case", "a"}, {"load", 0.5}},
                                                    {{"case", "b"}, {"load", 2.0}}};
        CHECK(write_csv(rows) == "case,load\na,0.5\nb,2\n");
    }
    SUBCASE("names that are not known are told apart")
    {
        CHECK_FALSE(find_deployment("nowhere").has_value());
        CHECK_FALSE(find_fault_pattern("weather", small_site(), 60s, 1).has_value());
        CHECK(find_fault_pattern("partition", small_site(), 60s, 1)->size() == 3);
    }
}
