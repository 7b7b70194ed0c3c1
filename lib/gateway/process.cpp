#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/daemon/process_support.hpp"
#include "ragwortcove/gateway/gateway.hpp"

#include <csignal>
#include <cstdlib>
#include <sys/signalfd.h>
#include <unistd.h>

namespace ragwortcove::gateway {

using daemon::log_event;

static void reload_settings(const std::string& path, gateway& running)
{
    const gateway_settings_outcome read = read_gateway_settings(settings::load_ini(path));
    for (const settings::located_error& error : read.errors)
        daemon::write_log(log_event::settings_rejected,
                          {{"detail", settings::format_error(error)}});
    if (read.settings)
        running.reload(*read.settings);
}

static void handle_signals(int signals, const std::string& path, gateway& running)
{
    signalfd_siginfo info{};
    while (read(signals, &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
        if (info.ssi_signo == SIGHUP) {
            reload_settings(path, running);
            continue;
        }
        running.drain();
    }
}

/// Serves until a drain has finished; returns the exit code.
static int serve(const std::string& settings_path, const gateway_settings& settings)
{
    const core::incarnation run = daemon::make_incarnation();
    const int signals = daemon::open_signals();
    daemon::write_log(log_event::process_started,
                      {{"name", settings.name.value},
                       {"incarnation", std::to_string(run.value)},
                       {"failure_domain", settings.failure_domain.value},
                       {"trusted_network", settings.trusted_network ? "true" : "false"}});
    http::loop loop;
    gateway running{loop, settings, run, [&loop] { loop.stop(); }};
    loop.watch_datagrams(signals, [&] { handle_signals(signals, settings_path, running); });
    if (running.serves_metrics())
        daemon::write_log(log_event::metrics_listening,
                          {{"address", core::format_endpoint(settings.metrics)}});
    loop.run();
    if (loop.error() == 0)
        return EXIT_SUCCESS;
    daemon::write_log(log_event::process_failed,
                      {{"reason", "waiting for events: " + daemon::describe_error(loop.error())}});
    return EXIT_FAILURE;
}

int run_gateway(const std::string& settings_path, const gateway_settings& settings)
{
    daemon::configure_log(settings.log);
    daemon::log_unhandled_exceptions();
    const int exit_code = serve(settings_path, settings);
    daemon::write_log(log_event::process_ended,
                      {{"name", settings.name.value}, {"code", std::to_string(exit_code)}});
    return exit_code;
}

} // namespace ragwortcove::gateway
