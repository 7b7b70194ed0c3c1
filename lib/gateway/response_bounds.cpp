#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/call_handler.hpp"

#include <string>

// Bounds on what an upstream may send. An upstream in trouble can send bytes without end.

namespace ragwortcove::gateway {

using daemon::log_event;

/// Maximum length of a response's body that is not a stream, in bytes.
static constexpr std::size_t max_body_bytes = 16U << 20U;
/// Maximum memory of all such bodies, and of events that have not ended, on a node, in bytes.
static constexpr std::size_t max_held_bytes = 32U << 20U;

void call_handler::end_too_long_responses(open_call& received)
{
    dispatch& active_dispatch = *received.active_dispatch;
    const event_splitter& splitter = active_dispatch.splitter;
    if (splitter.overflowed()) {
        this->end_too_long_response(received, "event", splitter.held_bytes());
        return;
    }
    const std::size_t bytes = active_dispatch.body.size();
    if (bytes > max_body_bytes) {
        this->end_too_long_response(received, "body", bytes);
        return;
    }
    // A string that grows takes up to twice its length.
    active_dispatch.held.set(this->held_response_bytes,
                             active_dispatch.body.capacity() + splitter.memory());
    if (this->held_response_bytes <= max_held_bytes)
        return;
    open_call* longest = &received;
    for (auto& [exchange, call] : this->calls) {
        if (call.active_dispatch &&
            call.active_dispatch->held.size() > longest->active_dispatch->held.size())
            longest = &call;
    }
    this->end_too_long_response(*longest, "all_bodies", this->held_response_bytes);
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
