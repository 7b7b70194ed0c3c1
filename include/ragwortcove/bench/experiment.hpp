/// \file
/// A matrix of deployments, policies, loads, faults and seeds as separate runs.
#pragma once

#include "ragwortcove/bench/deployment.hpp"
#include "ragwortcove/bench/fault.hpp"
#include "ragwortcove/bench/result.hpp"

#include <boost/json.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::bench {

/// One run of the matrix; its name is its key in the results file.
struct experiment_case {
    std::string deployment;
    std::string policy;
    double load = 0.6;
    std::string faults;
    std::uint64_t seed = 1;
    [[nodiscard]] std::string name() const;
};

/// Lists that are combined each with each.
struct experiment_plan {
    std::vector<std::string> deployments;
    std::vector<std::string> policies;
    std::vector<double> loads;
    std::vector<std::string> faults;
    std::vector<std::uint64_t> seeds;
    /// Time in which callers send.
    core::duration length = std::chrono::seconds{120};
};

[[nodiscard]] std::vector<experiment_case> cases_of(const experiment_plan& plan);
/// The deployment of a name: `consortium`, `torvelund` or `small`.
[[nodiscard]] std::optional<deployment> find_deployment(std::string_view name);
/// Faults of a name, spread over a run: `none`, `engine_crashes`, `engine_slow`, `entry_crashes`,
/// `platform_outage` or `partition`.
[[nodiscard]] std::optional<std::vector<timed_fault>> find_fault_pattern(std::string_view name,
                                                                         const deployment& plan,
                                                                         core::duration length,
                                                                         std::uint64_t seed);

/// Runs one case and gives its figures as one flat JSON object.
[[nodiscard]] boost::json::object run_case(const experiment_case& wanted, core::duration length);
/// The figures of a run, with names that do not depend on the deployment.
[[nodiscard]] boost::json::object write_figures(const run_result& result);
/// Results as CSV, a row each, in the order given; the columns are those of the first.
[[nodiscard]] std::string write_csv(std::span<const boost::json::object> results);

} // namespace ragwortcove::bench
