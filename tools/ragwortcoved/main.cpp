#include "ragwortcove/daemon/daemon_settings.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/daemon/process.hpp"
#include "ragwortcove/daemon/process_support.hpp"
#include "ragwortcove/gateway/gateway.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace ragwortcove;

static constexpr int exit_bad_settings = 2;

static constexpr const char* description =
    "ragwortcoved places callers' requests on model engines and plain services.\n"
    "Example: ragwortcoved --config /etc/ragwortcove/daemon.ini\n"
    "Exit codes: 0 after a graceful shutdown, 1 when it cannot go on, "
    "2 when the settings file has errors.\n"
    "An address that cannot be listened on is tried again until it can be, or until SIGTERM.\n"
    "SIGTERM asks for a graceful shutdown, SIGHUP reads the settings file again.";

static void print(const std::vector<settings::located_error>& errors)
{
    for (const settings::located_error& error : errors)
        std::cerr << settings::format_error(error) << "\n";
}

static int run_gateway_with(const std::string& path, const settings::ini_document& document,
                            bool check_only)
{
    const gateway::gateway_settings_outcome read = gateway::read_gateway_settings(document);
    print(read.errors);
    if (!read.settings)
        return exit_bad_settings;
    if (check_only)
        return EXIT_SUCCESS;
    return gateway::run_gateway(path, *read.settings);
}

static int run_with_file(const std::string& path, bool check_only)
{
    const settings::ini_document document = settings::load_ini(path);
    if (gateway::is_gateway_document(document))
        return run_gateway_with(path, document, check_only);
    const daemon::settings_outcome read = daemon::load_daemon_settings(path);
    print(read.errors);
    if (!read.settings)
        return exit_bad_settings;
    if (check_only)
        return EXIT_SUCCESS;
    return daemon::run_process(path, *read.settings);
}

int main(int argc, char** argv)
{
    daemon::block_signals();
    try {
        TCLAP::CmdLine line{description, ' ', "0.1.0"};
        TCLAP::ValueArg<std::string> config{"c",   "config", "settings file, in INI",
                                            false, "",       "file"};
        TCLAP::SwitchArg check{"", "check", "check the settings file and end"};
        TCLAP::SwitchArg events{"", "events", "print the catalogue of log events and end"};
        line.add(config);
        line.add(check);
        line.add(events);
        line.parse(argc, argv);
        if (events.getValue()) {
            std::cout << daemon::render_event_page();
            return EXIT_SUCCESS;
        }
        if (!config.isSet()) {
            std::cerr << "--config: expected a settings file; see --help\n";
            return exit_bad_settings;
        }
        daemon::end_process(run_with_file(config.getValue(), check.getValue()));
    }
    catch (const TCLAP::ArgException& error) {
        std::cerr << error.argId() << ": " << error.error() << "\n";
        return exit_bad_settings;
    }
}
