/// \file
/// The one loop on the one thread: sockets, timers, and messages from other threads.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

struct lws_context;

namespace ragwortcove::http {

/// Number of a timer; zero is none.
using timer_id = std::uint64_t;
/// Number of a watched descriptor; zero is none.
using descriptor_id = std::uint64_t;

/// What is done when something happens to a watched descriptor.
struct descriptor_handlers {
    std::function<void()> readable;
    std::function<void()> writable;
    /// The other end hung up; the descriptor can still be read during the call and is closed after.
    std::function<void()> closed;
};

/// Source of a loop's time, which never goes back.
using loop_clock = std::function<std::chrono::microseconds()>;

/// Time since the system started, including time for which the machine was suspended.
[[nodiscard]] std::chrono::microseconds boot_time();

/// libwebsockets event loop with timers and a thread-safe way to hand it work.
class loop {
public:
    explicit loop(loop_clock clock = boot_time);
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    /// Runs until `stop()`, or until the system cannot wait for events any more.
    void run();
    /// The system's error number if `run()` has ended without `stop()`, otherwise zero.
    [[nodiscard]] int error() const;
    void stop();
    /// Runs `work` on the loop's thread, soon; may be called from any thread.
    void post(std::function<void()> work);
    /// Runs `work` once after `delay`; loop's thread only.
    timer_id after(std::chrono::microseconds delay, std::function<void()> work);
    void cancel(timer_id timer);
    [[nodiscard]] std::chrono::microseconds now() const;
    /// Calls `readable` whenever a datagram socket has something to read.
    void watch_datagrams(int descriptor, std::function<void()> readable);
    /// Watches a descriptor, which the loop owns from then on and closes; zero when it cannot.
    descriptor_id watch(int descriptor, descriptor_handlers&& handlers);
    /// Calls `writable` once, when the descriptor takes bytes.
    void want_writable(descriptor_id watched);
    /// Closes a descriptor soon; none of its handlers is called after.
    void unwatch(descriptor_id watched);
    [[nodiscard]] lws_context* context() const;

    struct state;

private:
    friend void run_after_turn(loop& on, std::function<void()> work);
    friend void retain_until_context_ends(loop& on, std::shared_ptr<void> object);

    std::unique_ptr<state> self;
};

} // namespace ragwortcove::http
