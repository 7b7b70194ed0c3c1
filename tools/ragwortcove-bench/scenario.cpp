// Runs scripts in the scenario language.
#include "ragwortcove/bench/scenario.hpp"

#include "commands.hpp"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace ragwortcove::bench {

static constexpr int failed = 1;
static constexpr int usage_error = 2;

static std::optional<std::string> read_script(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
        return std::nullopt;
    return std::string{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

static std::optional<scenario> parse_script(const std::string& path)
{
    const auto text = read_script(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<scenario>> {
            BOOST_LEAF_AUTO(script, parse_scenario(path, *text));
            return std::optional<scenario>(std::move(script));
        },
        [](const scenario_error& error) {
            std::cerr << format_error(error) << '\n';
            return std::optional<scenario>{};
        },
        [] { return std::optional<scenario>{}; });
}

static bool run_script(const scenario& script)
{
    const scenario_outcome outcome = run_scenario(script);
    if (outcome.held) {
        std::cout << "held    " << script.file << '\n';
        return true;
    }
    std::cout << "FAILED  " << outcome.failure << '\n';
    for (const std::string& decision : outcome.trace)
        std::cout << "        " << decision << '\n';
    return false;
}

int run_scenario_command(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Runs scenario scripts on virtual time; exit code 1 when one fails, 2 when "
                        "one cannot be read. Example: ragwortcove-bench scenario "
                        "test/scenarios/node_killed.scenario",
                        ' ', "0.1.0");
    TCLAP::UnlabeledMultiArg<std::string> files("file", "scenario scripts", true, "FILE", line);
    line.parse(arguments);

    std::vector<scenario> scripts;
    for (const std::string& path : files.getValue()) {
        auto script = parse_script(path);
        if (!script)
            return usage_error;
        scripts.push_back(std::move(*script));
    }
    std::size_t held = 0;
    for (const scenario& script : scripts)
        held += run_script(script) ? 1U : 0U;
    std::cout << held << " of " << scripts.size() << " scenarios held\n";
    return held == scripts.size() ? 0 : failed;
}

} // namespace ragwortcove::bench
