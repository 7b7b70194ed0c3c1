/// \file
/// Effects: every action that a node requests from the shell around it.
#pragma once

#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/platform_call.hpp"
#include "ragwortcove/core/request.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/verdict.hpp"

#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::core {

enum class attempt_mode {
    /// Sends the request; it runs from the start.
    fresh,
    /// Resumes the request with the same id at an offset; nothing runs twice.
    resume,
    /// Queries the state of the request; sends nothing that could run.
    status,
};

/// Opens an attempt on an upstream. The dispatch is in the ledger before this effect is returned.
struct open_attempt {
    attempt_id attempt;
    exchange_id exchange;
    request_id request;
    upstream_name upstream;
    endpoint address;
    upstream_kind kind = upstream_kind::engine;
    attempt_mode mode = attempt_mode::fresh;
    /// First token or byte wanted, when resuming.
    std::uint32_t offset = 0;
    /// Longest silence before the shell reports `upstream_failure::silent`.
    duration idle_limit{0};
    /// Whether the attempt needs a connection that is new or was just verified to be alive.
    bool fresh_connection = false;
};

/// Closes an attempt and, where the upstream supports it, cancels the request there.
struct cancel_attempt {
    attempt_id attempt;
};

/// Forwards to the caller the part of the attempt's last `upstream_progress` that follows the first
/// `skip` tokens or bytes.
struct forward_progress {
    exchange_id exchange;
    attempt_id attempt;
    std::uint32_t skip = 0;
};

/// Writes the end marker to a caller that has been sent every part of the response.
struct finish_exchange {
    exchange_id exchange;
    request_id request;
};

/// Refuses the request of a caller that has received no byte of a response.
struct refuse_exchange {
    exchange_id exchange;
    request_id request;
    refusal answer;
};

/// Notifies a caller whose response has started that the response will stay incomplete.
struct abort_exchange {
    exchange_id exchange;
    request_id request;
    refusal answer;
};

struct send_peer {
    node_name to;
    endpoint address;
    peer_message message;
};

struct call_platform {
    call_id call;
    platform_request request;
};

/// Opens the platform's watch after a revision, and replaces an open one.
struct open_watch {
    revision after;
};
struct close_watch {};

/// Probes the health of an upstream; the result is a `probe_answered` event.
struct probe_upstream {
    upstream_name upstream;
    endpoint address;
};

/// Requests an engine's load and cache reports; the results are `load_reported` and
/// `cache_reported` events.
struct poll_upstream {
    upstream_name upstream;
    endpoint address;
    std::uint64_t cache_events_after = 0;
};

/// Orders an engine to serve a version; idempotent.
struct order_upstream {
    call_id order;
    upstream_name upstream;
    endpoint address;
    target_name target;
    version_name version;
    fencing_number fencing;
};

/// One address for callers to use.
struct offered_address {
    endpoint address;
    double weight = 1.0;
    failure_domain_name failure_domain;
    ticket proof;
};
struct address_response {
    exchange_id exchange;
    std::vector<offered_address> addresses;
    duration time_to_live{0};
};

/// Kinds of decisions; each has a number in the event catalogue.
enum class decision_kind {
    placed,
    queued,
    granted,
    denied,
    displaced,
    refused,
    retried,
    resumed,
    attempt_failed,
    answered,
    cut,
    upstream_ejected,
    upstream_restored,
    member_changed,
    configuration_applied,
    move_stepped,
    move_ended,
    brake_set,
    platform_lost,
    platform_regained,
    drained,
};

/// One decision, for the log.
struct log_decision {
    decision_kind kind = decision_kind::placed;
    request_id request;
    /// What the decision concerns: a route, an upstream, a member or a move.
    std::string subject;
    std::string detail;
};

/// Every request has ended and the time for which callers may keep this node's address has passed:
/// the process may end.
struct drained {};

using effect =
    std::variant<open_attempt, cancel_attempt, forward_progress, finish_exchange, refuse_exchange,
                 abort_exchange, send_peer, call_platform, open_watch, close_watch, probe_upstream,
                 poll_upstream, order_upstream, address_response, log_decision, drained>;

using effect_list = std::vector<effect>;

[[nodiscard]] std::string_view to_string(decision_kind kind);

} // namespace ragwortcove::core
