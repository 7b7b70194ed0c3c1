/// \file
/// The scenario language: a script that reads as a story, a line a statement, on virtual time.
/// docs/SCENARIOS.md lists the statements.
#pragma once

#include "ragwortcove/bench/deployment.hpp"
#include "ragwortcove/bench/fault.hpp"
#include "ragwortcove/bench/runner.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortcove::bench {

/// Starts the run; the first statement of a script.
struct use_deployment {
    deployment plan;
    double load = 0.0;
    std::uint64_t seed = 1;
};
/// Writes an object as an operator does.
struct declare_object {
    core::object value;
};
struct delete_object {
    core::object_key key;
};
struct wait_for {
    core::duration length{0};
};
/// Sends nothing more and waits until every call has ended.
struct finish_calls {
    core::duration limit{0};
};
struct make_call {
    std::string name;
    call_plan plan;
};
struct inject_fault {
    fault what;
};

enum class call_ending { answered, refused, cut, timed_out, connection_lost, ended };

/// How a call that was made by name ends.
struct expect_call {
    std::string name;
    call_ending ending = call_ending::ended;
    std::optional<core::verdict> outcome;
    std::optional<core::refusal_reason> reason;
    core::duration within{0};
};
/// Share of a route's calls that are answered whole in time.
struct expect_answered {
    std::string route;
    double least_share = 0.0;
};
/// Calls of a route that no try got answered because they were shed.
struct expect_shed {
    std::string route;
    std::uint64_t most = 0;
};

enum class node_condition { ready, draining, down };

struct expect_node {
    core::node_name node;
    node_condition condition = node_condition::ready;
    core::duration within{0};
};
/// The object, as last declared or deleted, is in force on all live nodes.
struct expect_in_force {
    core::object_key key;
    core::duration within{0};
};
struct expect_move {
    std::string move;
    core::move_phase phase = core::move_phase::done;
    core::duration within{0};
};
/// Prefilled tokens that were wasted, as a share of all.
struct expect_wasted_prefill {
    double most_share = 0.0;
};

using scenario_command =
    std::variant<use_deployment, declare_object, delete_object, wait_for, finish_calls, make_call,
                 inject_fault, expect_call, expect_answered, expect_shed, expect_node,
                 expect_in_force, expect_move, expect_wasted_prefill>;

struct scenario_statement {
    /// Counted from one.
    std::size_t line = 0;
    std::string text;
    scenario_command command;
};

struct scenario {
    std::string file;
    std::vector<scenario_statement> statements;
};

/// A statement that cannot be read.
struct scenario_error {
    std::string file;
    std::size_t line = 0;
    std::string expected;
    std::string found;
};
[[nodiscard]] std::string format_error(const scenario_error& error);

/// Reads a script; fails with a `scenario_error`. Checks names against the deployment.
[[nodiscard]] boost::leaf::result<scenario> parse_scenario(std::string_view file,
                                                           std::string_view text);

/// What a script came to.
struct scenario_outcome {
    bool held = false;
    /// Statement and what was found instead; empty when all held.
    std::string failure;
    /// Decisions of the nodes that led to the failure, one a line.
    std::vector<std::string> trace;
};

/// Runs a script. Broken promises fail it at the statement during which they are seen.
[[nodiscard]] scenario_outcome run_scenario(const scenario& script);

} // namespace ragwortcove::bench
