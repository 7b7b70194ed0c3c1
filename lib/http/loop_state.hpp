/// \file
/// What the loop shares with the server and the client of this library.
#pragma once

#include "ragwortcove/http/loop.hpp"

#include <libwebsockets.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace ragwortcove::http {

/// A timer of `loop::after`.
struct loop_timer {
    /// Comes first: libwebsockets hands back its address.
    lws_sorted_usec_list_t entry{};
    loop::state* owner = nullptr;
    timer_id id = 0;
    std::function<void()> work;
};

struct loop::state {
    lws_context* context = nullptr;
    lws_vhost* datagram_vhost = nullptr;
    std::atomic<bool> stopped{false};
    timer_id last_timer = 0;
    std::map<timer_id, std::unique_ptr<loop_timer>> timers;
    std::mutex posted_mutex;
    std::vector<std::function<void()>> posted;
    std::vector<std::unique_ptr<std::function<void()>>> datagram_watches;
    /// States that libwebsockets may call back into until its context is gone.
    std::vector<std::shared_ptr<void>> retained;
};

/// Keeps `object` until the loop's context is destroyed.
void retain_until_context_ends(loop& on, std::shared_ptr<void> object);

} // namespace ragwortcove::http
