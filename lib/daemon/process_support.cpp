#include "ragwortcove/daemon/process_support.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/daemon/event_log.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <random>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <system_error>

namespace ragwortcove::daemon {

/// A restarted process has a greater incarnation, and no two nodes share one: milliseconds since
/// the epoch, then random low bits.
core::incarnation make_incarnation()
{
    static constexpr unsigned random_bits = 20;
    using std::chrono::milliseconds;
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<milliseconds>(since_epoch).count();
    const std::uint64_t low = std::random_device{}() & ((1U << random_bits) - 1U);
    return {(static_cast<std::uint64_t>(millis) << random_bits) | low};
}

std::string describe_error(int error)
{
    return std::generic_category().message(error);
}

void log_unavailable(const unavailable_address& address)
{
    write_log(log_event::listen_failed,
              {{"key", address.key},
               {"address", core::format_endpoint(address.address)},
               {"error", address.error == 0 ? "unknown" : describe_error(address.error)}});
}

std::size_t descriptor_limit()
{
    rlimit limit{};
    // The call fails for unknown resources only.
    static_cast<void>(getrlimit(RLIMIT_NOFILE, &limit));
    return limit.rlim_cur;
}

static sigset_t handled_signals()
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGTERM);
    sigaddset(&handled, SIGINT);
    sigaddset(&handled, SIGHUP);
    return handled;
}

void block_signals()
{
    const sigset_t handled = handled_signals();
    pthread_sigmask(SIG_BLOCK, &handled, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int open_signals()
{
    const sigset_t handled = handled_signals();
    return signalfd(-1, &handled, SFD_NONBLOCK | SFD_CLOEXEC);
}

[[noreturn]] static void log_and_abort()
{
    std::string reason = "terminated without an exception";
    if (const std::exception_ptr thrown = std::current_exception()) {
        try {
            std::rethrow_exception(thrown);
        }
        catch (const std::exception& known) {
            reason = known.what();
        }
        catch (...) {
            reason = "an exception of an unknown type";
        }
    }
    write_log(log_event::process_failed, {{"reason", reason}});
    flush_log();
    std::abort();
}

void log_unhandled_exceptions()
{
    std::set_terminate(log_and_abort);
}

// The logging library's destructors wait for its threads, which may never end.
void end_process(int exit_code)
{
    flush_log();
    std::quick_exit(exit_code);
}

} // namespace ragwortcove::daemon
