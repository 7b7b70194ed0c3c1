// Sends load as a settings file describes it, and prints one JSON line for each class.
#include "commands.hpp"
#include "ragwortcove/load/load_run.hpp"

#include <tclap/CmdLine.h>

#include <iostream>
#include <unistd.h>

namespace ragwortcove::bench {

static constexpr int usage_error = 2;

static void print_progress(const load::load_progress& progress)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(progress.elapsed);
    std::cerr << "\r" << seconds.count() << " s, sent " << progress.sent << ", open "
              << progress.sent - progress.ended << "      " << std::flush;
}

int run_load_command(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Sends open-loop load over real sockets. Example: "
                        "ragwortcove-bench load examples/load-lookups.ini",
                        ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> file("settings", "INI file that describes the load", true,
                                               "", "file", line);
    line.parse(arguments);
    const load::load_settings_outcome read =
        load::read_load_settings(settings::load_ini(file.getValue()));
    for (const settings::located_error& error : read.errors)
        std::cerr << settings::format_error(error) << '\n';
    if (!read.settings)
        return usage_error;
    const bool terminal = isatty(STDERR_FILENO) == 1;
    const load::load_outcome outcome = load::run_load(
        *read.settings,
        terminal ? print_progress : std::function<void(const load::load_progress&)>{});
    if (terminal)
        std::cerr << '\n';
    for (std::size_t index = 0; index < outcome.classes.size(); ++index) {
        const load::load_class& sent = read.settings->classes[index];
        std::cout << boost::json::serialize(
                         load::report_class(sent, outcome.classes[index], outcome.counted_time))
                  << '\n';
    }
    return 0;
}

} // namespace ragwortcove::bench
