/// \file
/// Everything that a node wants done by the shell round it.
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
    /// Goes on with the same request id at an offset; nothing runs twice.
    resume,
    /// Asks what became of the request; sends nothing that could run.
    status,
};

/// Opens an attempt on an upstream. The ledger entry stands before this effect is returned.
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
    /// Whether the attempt needs a connection that is new or was proven alive just now.
    bool fresh_connection = false;
};

/// Closes an attempt and tells the upstream, if it can be told, to stop.
struct cancel_attempt {
    attempt_id attempt;
};

/// Passes on what the attempt's last `upstream_progress` brought, from `skip` on.
struct forward_progress {
    exchange_id exchange;
    attempt_id attempt;
    std::uint32_t skip = 0;
};

/// The caller has had every part: write the end marker.
struct finish_exchange {
    exchange_id exchange;
    request_id request;
};

/// Answers a caller that has had no byte of an answer.
struct refuse_exchange {
    exchange_id exchange;
    request_id request;
    refusal answer;
};

/// Tells a caller whose answer has begun that it will not be whole.
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

/// Opens the platform's watch after a revision, in place of any that is open.
struct open_watch {
    revision after;
};
struct close_watch {};

/// Asks an upstream whether it lives; answered with `probe_answered`.
struct probe_upstream {
    upstream_name upstream;
    endpoint address;
};

/// Asks an engine for its load and cache reports; answered with `load_reported`, `cache_reported`.
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

/// What kind of thing was decided; each has a number in the event catalogue.
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
    /// What the decision is about: a route, an upstream, a member, a move.
    std::string subject;
    std::string detail;
};

/// Every request is answered and the keeping time has passed: the process may end.
struct drained {};

using effect =
    std::variant<open_attempt, cancel_attempt, forward_progress, finish_exchange, refuse_exchange,
                 abort_exchange, send_peer, call_platform, open_watch, close_watch, probe_upstream,
                 poll_upstream, order_upstream, address_response, log_decision, drained>;

using effect_list = std::vector<effect>;

[[nodiscard]] std::string_view to_string(decision_kind kind);

} // namespace ragwortcove::core
