/// \file
/// Carries out the core's platform effects over the object API.
#pragma once

#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/http/client.hpp"
#include "ragwortcove/http/loop.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace ragwortcove::platform {

struct http_platform_settings {
    core::endpoint address;
    /// Longest time from a call to its whole answer.
    std::chrono::microseconds call_limit{std::chrono::seconds{2}};
    /// Longest silence of a watch; the platform sends heartbeat lines when nothing changes.
    std::chrono::microseconds watch_idle_limit{std::chrono::milliseconds{1500}};
    /// Kept connections; an open watch holds one of them.
    std::uint32_t pool_size = 8;
};

/// Client of the object API; results come as core events, never from inside a call.
class http_platform {
public:
    using event_handler = std::function<void(core::event&&)>;

    http_platform(http::loop& on, const http_platform_settings& settings, event_handler happened);
    ~http_platform();
    http_platform(const http_platform&) = delete;
    http_platform& operator=(const http_platform&) = delete;

    /// Answered with one `platform_answered`.
    void start(const core::call_platform& call);
    /// Replaces a watch that is open; answered with `watch_changed` until one `watch_ended`.
    void start(const core::open_watch& watch);
    /// Ends the watch; it is not answered.
    void start(const core::close_watch& watch);

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::platform
