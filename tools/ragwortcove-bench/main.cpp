// Experiments and checks on virtual time.
#include "commands.hpp"

#include <array>
#include <iostream>
#include <string_view>

using namespace ragwortcove;

namespace {
struct command {
    std::string_view name;
    std::string_view summary;
    int (*run)(std::vector<std::string> arguments);
};
} // namespace

static constexpr int usage_error = 2;

static constexpr std::array commands{
    command{"capacity", "measures what control costs a node", bench::run_capacity_command},
    command{"experiment", "runs a matrix of policy, load, fault and seed",
            bench::run_experiment_command},
    command{"faults", "checks the promises under seeded fault schedules",
            bench::run_faults_command},
    command{"load", "sends open-loop load over real sockets", bench::run_load_command},
    command{"scenario", "runs scripts in the scenario language", bench::run_scenario_command},
};

static void print_usage(std::ostream& out)
{
    out << "usage: ragwortcove-bench COMMAND [OPTION...]\n\ncommands:\n";
    for (const command& each : commands) {
        out << "  " << each.name << "  " << each.summary << '\n';
    }
    out << "\nCOMMAND --help shows its options\n";
}

int main(int count, char** arguments)
{
    const std::vector<std::string> given(arguments + 1, arguments + count);
    if (given.empty()) {
        print_usage(std::cerr);
        return usage_error;
    }
    for (const command& each : commands) {
        if (each.name == given.front()) {
            return each.run(given);
        }
    }
    const bool asks_for_help = given.front() == "--help" || given.front() == "-h";
    print_usage(asks_for_help ? std::cout : std::cerr);
    return asks_for_help ? 0 : usage_error;
}
