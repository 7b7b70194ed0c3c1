/// \file
/// What the loop shares with the server and the client of this library.
#pragma once

#include "ragwortcove/http/loop.hpp"

#include <libwebsockets.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace ragwortcove::http {

/// One descriptor that the loop owns; libwebsockets knows it as a raw file.
struct watched_descriptor {
    loop::state* owner = nullptr;
    descriptor_id id = 0;
    lws* wsi = nullptr;
    descriptor_handlers handlers;
    /// Whether `unwatch` was called.
    bool released = false;
    /// Whether its `writable` handler is running, and asked to be called once more.
    bool handles_writable = false;
    bool wants_writable = false;
};

struct loop::state {
    lws_context* context = nullptr;
    loop_clock clock;
    /// Whether libwebsockets takes its connections down for good.
    bool ending = false;
    descriptor_id last_descriptor = 0;
    std::map<descriptor_id, std::unique_ptr<watched_descriptor>> descriptors;
    lws_vhost* datagram_vhost = nullptr;
    std::atomic<bool> stopped{false};
    /// The system's error number if it could not wait for events.
    int wait_error = 0;
    timer_id last_timer = 0;
    /// Work by the time when it is due.
    std::map<std::pair<std::chrono::microseconds, timer_id>, std::function<void()>> timers;
    std::map<timer_id, std::chrono::microseconds> due_times;
    /// Descriptor that becomes readable when the earliest timer is due.
    int alarm = -1;
    std::mutex posted_mutex;
    std::vector<std::function<void()>> posted;
    std::vector<std::unique_ptr<std::function<void()>>> datagram_watches;
    /// Work for the end of the turn.
    std::vector<std::function<void()>> deferred;
    /// States that libwebsockets may call back into until its context is gone.
    std::vector<std::shared_ptr<void>> retained;
};

/// Runs `work` when libwebsockets has returned from the turn under way, without waiting for
/// another.
void run_after_turn(loop& on, std::function<void()> work);
/// Keeps `object` until the loop's context is destroyed.
void retain_until_context_ends(loop& on, std::shared_ptr<void> object);

} // namespace ragwortcove::http
