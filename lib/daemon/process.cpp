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
#include <optional>
#include <poll.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace ragwortcove::daemon {

/// Time from a failed try to listen to the next one.
static constexpr int listen_retry_interval_ms = 500;

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

/// Waits before the addresses are tried again; returns whether a stop was asked for meanwhile.
static bool is_stopped_before_retry(int signals)
{
    pollfd waiting{signals, POLLIN, 0};
    if (::poll(&waiting, 1, listen_retry_interval_ms) <= 0)
        return false;
    signalfd_siginfo taken{};
    const bool is_read = read(signals, &taken, sizeof taken) == static_cast<ssize_t>(sizeof taken);
    return is_read && taken.ssi_signo != SIGHUP;
}

/// Logs the addresses that cannot be listened on; returns whether there are any.
static bool lacks_addresses(const runtime& running, const standin::platform_server* store,
                            const daemon_settings& settings)
{
    std::vector<unavailable_address> unavailable = running.unavailable_addresses();
    if (store != nullptr && !store->listening())
        unavailable.push_back({"platform", settings.platform.address});
    for (const unavailable_address& each : unavailable)
        log_unavailable(each);
    return !unavailable.empty();
}

/// Serves until a graceful shutdown is complete; nothing if an address cannot be listened on.
static std::optional<int> serve(const std::string& settings_path, const daemon_settings& settings,
                                int signals)
{
    http::loop loop;
    const std::unique_ptr<standin::platform_server> store = open_embedded_store(loop, settings);
    runtime running{loop, settings, [&loop] { loop.stop(); }};
    if (lacks_addresses(running, store.get(), settings))
        return std::nullopt;
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

// Another process may hold an address for a while, or the VM may not have it yet.
int run_process(const std::string& settings_path, const daemon_settings& read)
{
    daemon_settings settings = read;
    settings.node.run = make_incarnation();
    configure_log(settings.log);
    log_unhandled_exceptions();
    const int signals = open_signals();
    while (true) {
        if (const std::optional<int> exit_code = serve(settings_path, settings, signals))
            return *exit_code;
        if (is_stopped_before_retry(signals))
            return EXIT_SUCCESS;
    }
}

} // namespace ragwortcove::daemon
