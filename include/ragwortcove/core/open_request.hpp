/// \file
/// A caller's request that an entry has accepted and not yet ended.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/request.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ragwortcove::core {

enum class request_phase {
    /// Waits for a response from the incarnation that minted the key's ticket.
    querying_key,
    /// Writes a claim for the key to the platform, or reads it back.
    claiming_key,
    awaiting_permit,
    /// Waits before a retry.
    backing_off,
    running,
};

/// Where the right to dispatch a request with its key was obtained.
enum class key_origin { none, registry, claim };

/// The current dispatch of a request and its progress.
struct running_attempt {
    attempt_id attempt;
    upstream_name upstream;
    endpoint address;
    std::uint32_t cached_tokens = 0;
    time_point dispatched_at;
    time_point first_part_at;
    time_point last_part_at;
    std::uint32_t resumes = 0;
    /// Whether the open attempt resumes the dispatch and has not been accepted yet.
    bool resuming = false;
    /// Whether the upstream itself closed a connection that carried this dispatch.
    bool closed_by_upstream = false;
    /// Whether the connection failed rather than the response.
    bool connection_failed = false;
};

struct open_request {
    exchange_id exchange;
    request_id id;
    caller_request call;
    route_spec route;
    time_point arrived_at;
    time_point deadline;
    bool idempotent = true;
    request_phase phase = request_phase::awaiting_permit;
    time_point wake_at = time_point::max();

    key_origin key = key_origin::none;
    std::optional<call_id> platform_call;
    std::uint32_t claim_attempts = 0;
    revision claim_revision;

    version_name version;
    /// The move whose new version the request uses; empty if none.
    move_name canary_move;
    std::optional<cell_id> cell;
    node_name owner;
    std::vector<cell_id> denied_by;
    std::vector<upstream_name> avoid;
    std::uint32_t output_estimate = 0;
    std::uint32_t retries = 0;
    refusal last_denial;

    std::optional<running_attempt> running;
    /// Tokens (for a service: bytes) of the response that were received and forwarded.
    std::uint32_t received = 0;

    /// Whether the caller has received any part of a response.
    [[nodiscard]] bool response_started() const
    {
        return this->call.streaming && this->received > 0;
    }
};

} // namespace ragwortcove::core
