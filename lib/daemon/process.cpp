#include "ragwortcove/daemon/process.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/daemon/operator_access.hpp"
#include "ragwortcove/daemon/process_support.hpp"
#include "ragwortcove/daemon/runtime.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/standin/platform_server.hpp"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <sys/signalfd.h>
#include <unistd.h>

namespace ragwortcove::daemon {

static void read_settings_again(const std::string& path, runtime& running)
{
    const settings_outcome read = load_daemon_settings(path);
    for (const settings::located_error& error : read.errors)
        write_log(log_event::settings_rejected, {{"detail", settings::format_error(error)}});
    if (read.settings)
        running.reload(*read.settings);
}

static void take_signals(int signals, const std::string& path, runtime& running)
{
    signalfd_siginfo taken{};
    while (read(signals, &taken, sizeof taken) == static_cast<ssize_t>(sizeof taken)) {
        if (taken.ssi_signo == SIGHUP) {
            read_settings_again(path, running);
            continue;
        }
        running.drain();
    }
}

static void log_start(const daemon_settings& settings)
{
    write_log(log_event::process_started, {{"name", settings.node.name.value},
                                           {"incarnation", std::to_string(settings.node.run.value)},
                                           {"failure_domain", settings.node.failure_domain.value}});
    if (!settings.tls.enabled())
        write_log(log_event::plain_mode, {{"callers", format_endpoint(settings.node.callers)}});
    if (settings.platform.mode == platform_mode::embedded)
        write_log(log_event::platform_embedded, {{"detail", "NOTHING THAT IS DECLARED LASTS"}});
}

/// Serves the object API from this process's memory, at the address where the platform would be,
/// so that the command-line tool works with it unchanged.
static std::unique_ptr<standin::platform_server>
open_embedded_store(http::loop& loop, const daemon_settings& settings)
{
    if (settings.platform.mode != platform_mode::embedded)
        return nullptr;
    standin::platform_server_settings store;
    store.listen.address = settings.platform.address.address;
    store.listen.port = settings.platform.address.port;
    return std::make_unique<standin::platform_server>(loop, store);
}

int run_process(const std::string& settings_path, const daemon_settings& read)
{
    daemon_settings settings = read;
    settings.node.run = make_incarnation();
    configure_log(settings.log);
    log_unhandled_exceptions();
    const int signals = open_signals();
    http::loop loop;
    const std::unique_ptr<standin::platform_server> store = open_embedded_store(loop, settings);
    runtime running{loop, settings, [&loop] { loop.stop(); }};
    const bool has_platform = store == nullptr || store->listening();
    if (!running.listening() || !has_platform) {
        write_log(log_event::listen_failed,
                  {{"callers", format_endpoint(settings.node.callers)},
                   {"peers", format_endpoint(settings.node.peers)},
                   {"platform", format_endpoint(settings.platform.address)}});
        return EXIT_FAILURE;
    }
    log_start(settings);
    write_log(log_event::listening, {{"callers", format_endpoint(settings.node.callers)},
                                     {"peers", format_endpoint(settings.node.peers)}});
    loop.watch_datagrams(signals, [&] { take_signals(signals, settings_path, running); });
    loop.run();
    if (loop.error() == 0)
        return EXIT_SUCCESS;
    write_log(log_event::process_failed,
              {{"reason", "waiting for events: " + describe_error(loop.error())}});
    return EXIT_FAILURE;
}

} // namespace ragwortcove::daemon
