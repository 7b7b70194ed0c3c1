#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/call_handler.hpp"

#include <string>

// Bounds on what an upstream may send. An upstream in trouble can send bytes without end.

namespace ragwortcove::gateway {

using daemon::log_event;

/// Maximum length of a response's body that is not a stream, in bytes.
static constexpr std::size_t max_body_bytes = 16U << 20U;
/// Maximum length of all such bodies that a node holds at a time, in bytes.
static constexpr std::size_t max_held_bytes = 64U << 20U;
/// Bodies up to this length, in bytes, are never given up for what the others take.
static constexpr std::size_t small_body_bytes = 1U << 20U;

static std::size_t held_bytes(const open_call& call)
{
    return call.active_dispatch ? call.active_dispatch->body.size() : 0;
}

void call_handler::end_too_long_responses(open_call& received)
{
    const event_splitter& splitter = received.active_dispatch->splitter;
    if (splitter.overflowed()) {
        this->end_too_long_response(received, "event", splitter.held_bytes());
        return;
    }
    const std::size_t bytes = held_bytes(received);
    if (bytes <= small_body_bytes)
        return;
    if (bytes > max_body_bytes) {
        this->end_too_long_response(received, "body", bytes);
        return;
    }
    std::size_t total = 0;
    open_call* longest = &received;
    for (auto& [exchange, call] : this->calls) {
        total += held_bytes(call);
        if (held_bytes(call) > held_bytes(*longest))
            longest = &call;
    }
    if (total > max_held_bytes)
        this->end_too_long_response(*longest, "all_bodies", total);
}

void call_handler::end_too_long_response(open_call& call, std::string_view bound, std::size_t bytes)
{
    daemon::write_log(log_event::response_too_long,
                      {{"request", call.facts.attempt},
                       {"upstream", call.active_dispatch->upstream.value},
                       {"bound", bound},
                       {"bytes", std::to_string(bytes)}});
    this->env.metrics.count("too_long_responses", "bound", bound);
    this->env.upstreams.cancel(call.active_dispatch->exchange);
    this->handle_failed_dispatch(call, core::dispatch_end::broken);
}

} // namespace ragwortcove::gateway
