/// \file
/// Subcommands of `ragwortcove-bench`, one source file each.
#pragma once

#include <string>
#include <vector>

namespace ragwortcove::bench {

/// Each takes its arguments with its own name first, and gives the exit code.
int run_capacity_command(std::vector<std::string> arguments);
int run_experiment_command(std::vector<std::string> arguments);
int run_faults_command(std::vector<std::string> arguments);
int run_load_command(std::vector<std::string> arguments);
int run_scenario_command(std::vector<std::string> arguments);

} // namespace ragwortcove::bench
