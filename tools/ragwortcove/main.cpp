// Operators' command-line tool; each subcommand is a file of its own.
#include "commands.hpp"
#include "ragwortcove/cli/common_options.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

namespace ragwortcove::tool {

namespace {

struct subcommand {
    std::string_view name;
    std::string_view brief;
    cli::exit_code (*run)(const words& arguments);
};

} // namespace

static constexpr std::array subcommands = {
    subcommand{"apply", "bring declared objects into force", &run_apply},
    subcommand{"diff", "show what apply would change", &run_diff},
    subcommand{"validate", "check files without sending anything", &run_validate},
    subcommand{"get", "list objects of a kind", &run_get},
    subcommand{"describe", "show one object and what belongs to it", &run_describe},
    subcommand{"delete", "remove an object that no other names", &run_delete},
    subcommand{"watch", "print changes of objects as they come", &run_watch},
    subcommand{"status", "show every daemon and its configuration", &run_status},
    subcommand{"top", "show queues and free permits, again and again", &run_top},
    subcommand{"drain", "shut a daemon down without cutting a request", &run_drain},
    subcommand{"drain-domain", "have a failure domain get no more requests", &run_drain_domain},
    subcommand{"drained-domains", "list the domains that get no requests", &run_drained_domains},
    subcommand{"move", "show a move, or wait for its end", &run_move},
    subcommand{"parts", "list prompt parts that are held back", &run_parts},
    subcommand{"release", "let a prompt part through again", &run_release},
    subcommand{"explain", "tell a request's decisions from the logs", &run_explain},
    subcommand{"call", "send a request as a well-behaved caller", &run_call},
};

/// Width of the longest name, and of what separates it from the brief.
static constexpr std::size_t name_width = 17;

static void print_usage(std::ostream& to)
{
    to << "usage: ragwortcove COMMAND [ARGUMENTS]\n\n"
          "Operates the ragwortcove request scheduler.\n\n";
    for (const auto& each : subcommands)
        to << "  " << each.name << std::string(name_width - each.name.size(), ' ') << each.brief
           << '\n';
    to << "\nragwortcove COMMAND --help tells the arguments and gives an example.\n"
          "Exit codes: 0 ok, 1 failed, 2 wrong arguments or input, 3 conflict, 4 unreachable,\n"
          "            5 refused and not run, 6 may have run.\n\n"
          "Example: ragwortcove apply -p 127.0.0.1:7000 -f examples/consortium.ini\n";
}

static cli::exit_code run(const words& arguments)
{
    if (arguments.empty()) {
        print_usage(std::cerr);
        return cli::exit_code::invalid_input;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h") {
        print_usage(std::cout);
        return cli::exit_code::ok;
    }
    const auto* const found =
        std::find_if(subcommands.begin(), subcommands.end(),
                     [&](const subcommand& each) { return each.name == arguments.front(); });
    if (found == subcommands.end()) {
        std::cerr << "ragwortcove: " << arguments.front() << ": expected a command; see --help\n";
        return cli::exit_code::invalid_input;
    }
    return found->run({arguments.begin() + 1, arguments.end()});
}

/// Turns what the argument parser throws into messages and exit codes.
static int run_guarded(const words& arguments)
{
    try {
        return static_cast<int>(run(arguments));
    }
    catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    }
    catch (const TCLAP::ArgException& error) {
        std::cerr << "ragwortcove: " << error.argId() << ": " << error.error() << '\n';
    }
    catch (const cli::invalid_arguments& error) {
        std::cerr << "ragwortcove: " << error.what() << '\n';
    }
    return static_cast<int>(cli::exit_code::invalid_input);
}

} // namespace ragwortcove::tool

int main(int count, char** values)
{
    return ragwortcove::tool::run_guarded({values + 1, values + count});
}
