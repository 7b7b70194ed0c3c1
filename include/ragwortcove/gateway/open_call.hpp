/// \file
/// State of a caller's request from arrival to the end of its response.
#pragma once

#include "platform/headers.hpp"
#include "ragwortcove/core/call_policy.hpp"
#include "ragwortcove/core/part_quarantine.hpp"
#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/gateway/event_splitter.hpp"
#include "ragwortcove/gateway/placement_service.hpp"
#include "ragwortcove/http/byte_share.hpp"
#include "ragwortcove/http/inbound.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/outbound.hpp"
#include "ragwortcove/http/tcp_stream.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortcove::gateway {

/// One attempt to run a request at one upstream.
struct dispatch {
    core::upstream_name upstream;
    core::version_name version;
    /// When the upstream's process started, as it announces.
    std::int64_t upstream_started_at = 0;
    http::socket_address address;
    /// Whether the upstream was still slow after its start when the request was sent.
    bool is_warming_up = false;
    http::outbound_exchange exchange = 0;
    core::time_point sent_at;
    core::time_point first_event_at;
    core::time_point last_event_at;
    std::uint32_t events = 0;
    std::optional<http::status_line_and_headers> head;
    adapter::response_facts facts;
    std::string body;
    event_splitter splitter;
    /// Memory of both, among that of all requests.
    http::byte_share held;
    /// Whether the upstream has been silent for the time-out of the route.
    bool silent = false;
    /// Whether the end has been counted for or against the version.
    bool end_observed = false;
    /// Whether the connection ended before the response did.
    bool connection_lost = false;
    /// Whether the upstream has responded for long enough to show that it does not end on it.
    bool has_responded = false;
    /// When the budget of repeats was spent on this one, if it was.
    std::optional<core::time_point> repeat_spent_at;
};

struct open_call {
    http::inbound_exchange exchange = 0;
    http::inbound_request request;
    adapter::caller_call facts;
    /// Keeps `route` and `team` valid after a newer ruleset has come into force.
    std::shared_ptr<const core::rule_index> rules;
    const core::http_route* route = nullptr;
    const core::team_rule* team = nullptr;
    /// Parts of the prompt that other requests may have, too.
    std::vector<core::part_id> shared_parts;
    /// The one of them for which the request may be sent as a trial, until an upstream may have run
    /// it.
    std::optional<core::part_id> permitted_part;
    /// The trial as which it was sent. One that no upstream has taken goes on at the next one.
    std::optional<core::part_trial> trial;
    core::target_name target;
    /// Where the request is placed: the target's own pool, or that of its canaries.
    core::target_name pool;
    double quota_cost = 0.0;
    /// Whether the cost was charged to the quota; it is refunded if the request does not run.
    bool quota_charged = false;
    core::time_point arrived_at;
    core::time_point deadline;
    core::time_point placement_started_at;
    /// Time that the caller has spent on earlier attempts of the same request.
    core::duration earlier_attempts_time{0};
    http::timer_id deadline_timer = 0;
    http::timer_id idle_timer = 0;
    /// Slot of the active dispatch.
    placement_number placement = 0;
    /// Request for a slot that has no response yet. Beside an active dispatch it is for another
    /// upstream, to which the request moves once it has a slot there.
    placement_number waiting_placement = 0;
    std::uint32_t uncached_tokens = 0;
    /// Prompt tokens that the upstream computes before those.
    std::uint64_t ahead_tokens = 0;
    core::departure left_domain = core::departure::none;
    std::uint32_t stale_grants = 0;
    core::call_history history;
    std::vector<core::upstream_name> avoid;
    /// Those of `avoid` that the request was taken from since they were silent.
    std::vector<core::upstream_name> left_silent;
    std::optional<dispatch> active_dispatch;
    /// When the budget of repeats was spent on a dispatch that is still to come.
    std::optional<core::time_point> repeat_spent_at;
    /// Whether the request waits to hear if its last upstream has ended, before it is placed again.
    bool awaits_fate = false;
    /// The upstream of the last dispatch, empty before the first one, and when it last sent a byte;
    /// until then, when the request was sent to it.
    core::upstream_name last_upstream;
    core::time_point last_byte_at;
    /// When the request was first sent to an upstream.
    core::time_point first_sent_at;
    /// How the last dispatch that failed ended.
    std::optional<core::dispatch_end> last_failure;
    std::optional<std::uint64_t> last_event_number;
};

} // namespace ragwortcove::gateway
