/// \file
/// Events: every input of a node.
#pragma once

#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/platform_call.hpp"
#include "ragwortcove/core/request.hpp"
#include "ragwortcove/core/types.hpp"

#include <variant>
#include <vector>

namespace ragwortcove::core {

/// Time has passed; due whenever `node::next_wakeup()` is reached.
struct tick {};

/// Wall-clock time at this event; sent at start and then every few seconds.
struct wall_clock_read {
    unix_millis at;
};

/// A caller's request has been read completely.
struct request_arrived {
    exchange_id exchange;
    caller_request request;
};

/// The caller's connection closed before the response was complete.
struct caller_gone {
    exchange_id exchange;
};

/// The upstream has accepted the request: its response headers have been received.
struct upstream_accepted {
    attempt_id attempt;
};

/// Part of a response: `count` tokens starting at `offset` (both in bytes for a service).
struct upstream_progress {
    attempt_id attempt;
    std::uint32_t offset = 0;
    std::uint32_t count = 0;
};

/// The response's end marker has been received; `total` is the count that the marker states.
struct upstream_finished {
    attempt_id attempt;
    std::uint32_t total = 0;
    /// Prompt tokens that were in the engine's cache, as the engine reports.
    std::uint32_t cached_tokens = 0;
};

enum class upstream_failure {
    /// The transport proves that no byte of the request was sent.
    not_sent,
    /// The upstream refused in a way from which its adapter knows that the request was not run.
    refused,
    /// The upstream responded with its own error; the request may have run.
    error_answer,
    /// The connection was lost after bytes were sent.
    connection_lost,
    /// Nothing was received for longer than the idle limit.
    silent,
    /// The end marker's count does not match the number of tokens or bytes received.
    incomplete,
    /// The upstream has no record of the request that was to be resumed.
    unknown_request,
};

struct upstream_failed {
    attempt_id attempt;
    upstream_failure failure = upstream_failure::connection_lost;
};

/// An upstream's own load report; it may be seconds old.
struct load_reported {
    upstream_name upstream;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    duration age{0};
};

/// Changes of an engine's prefix cache; a gap in `sequence` means that events were lost.
struct cache_reported {
    upstream_name upstream;
    std::uint64_t sequence = 0;
    std::vector<prefix_hash> added;
    std::vector<prefix_hash> removed;
};

/// The shell's response to a `probe_upstream` effect.
struct probe_answered {
    upstream_name upstream;
    bool healthy = false;
};

/// An upstream's response to an order.
struct order_answered {
    upstream_name upstream;
    call_id order;
    /// False when there was no usable response; the order may have been carried out.
    bool answered = false;
    bool refused_as_stale = false;
    version_name serving;
};

struct peer_received {
    node_name from;
    incarnation run;
    peer_message message;
};

/// A stream to a peer was lost; messages sent since the last response may be lost.
struct peer_disconnected {
    node_name peer;
};

struct platform_answered {
    call_id call;
    platform_result result;
};

/// A watch delivered changes, in revision order.
struct watch_changed {
    feed_delta changes;
};

/// The watch ended, or its position is no longer covered (`must_list`).
struct watch_ended {
    bool must_list = false;
};

/// The platform's list of VMs, which may be out of date.
struct vm_list_read {
    std::vector<member_claim> members;
};

/// The operator or the operating system requests a graceful shutdown.
struct drain_requested {};

/// Requests addresses for a caller; the response is an `address_response` effect.
struct addresses_requested {
    exchange_id exchange;
    route_name route;
};

using event = std::variant<tick, wall_clock_read, request_arrived, caller_gone, upstream_accepted,
                           upstream_progress, upstream_finished, upstream_failed, load_reported,
                           cache_reported, probe_answered, order_answered, peer_received,
                           peer_disconnected, platform_answered, watch_changed, watch_ended,
                           vm_list_read, drain_requested, addresses_requested>;

} // namespace ragwortcove::core
