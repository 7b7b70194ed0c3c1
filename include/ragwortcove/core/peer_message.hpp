/// \file
/// Messages between the system's own processes. Permits, key queries and the configuration feed are
/// sent on streams (gRPC), heartbeats in datagrams; the core treats both alike.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/verdict.hpp"

#include <compare>
#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::core {

/// Upstreams of one target in one failure domain that one placement owner serves.
struct cell_id {
    target_name target;
    failure_domain_name failure_domain;
    std::uint32_t index = 0;
    auto operator<=>(const cell_id&) const = default;
    bool operator==(const cell_id&) const = default;
};

/// Requests from a cell's owner the right to dispatch one request.
struct permit_request {
    request_id request;
    cell_id cell;
    route_name route;
    team_name team;
    tier_name tier;
    /// Version that must serve the request; empty allows any.
    version_name version;
    std::uint32_t prefill_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::vector<prefix_hash> prefix;
    /// Time left until the request's deadline, measured at the sender.
    duration time_left{0};
    /// Upstreams not to use, since they have already failed this request.
    std::vector<upstream_name> avoid;
    bool operator==(const permit_request&) const = default;
};

/// Right to dispatch one request to one upstream; expires if it is not used.
struct permit_grant {
    request_id request;
    cell_id cell;
    grant_id grant;
    upstream_name upstream;
    duration valid_for{0};
    /// Prompt tokens that the upstream has cached, by the owner's estimate.
    std::uint32_t cached_tokens = 0;
    bool operator==(const permit_grant&) const = default;
};

/// The owner grants no permit; the request was not dispatched.
struct permit_denial {
    request_id request;
    cell_id cell;
    refusal_reason reason = refusal_reason::overloaded;
    duration retry_after{0};
    bool operator==(const permit_denial&) const = default;
};

/// The entry no longer needs a permit that it requested and has not used.
struct permit_withdrawal {
    request_id request;
    cell_id cell;
    bool operator==(const permit_withdrawal&) const = default;
};

enum class attempt_outcome { completed, failed, silent, cancelled, unused };

/// Minimum number of uncached prompt tokens for which an entry reports to the owner that the prompt
/// has been computed; shorter prompts do not delay other requests.
inline constexpr std::uint32_t min_tokens_to_report = 256;

/// The first part of the response has been received, so the prompt has been computed.
struct permit_started {
    request_id request;
    cell_id cell;
    upstream_name upstream;
    bool operator==(const permit_started&) const = default;
};

/// Ends a permit, used or not, and states what was observed of the upstream.
struct permit_release {
    request_id request;
    cell_id cell;
    upstream_name upstream;
    attempt_outcome outcome = attempt_outcome::completed;
    std::uint32_t prefill_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::uint32_t output_tokens = 0;
    duration first_token_after{0};
    duration between_tokens{0};
    bool operator==(const permit_release&) const = default;
};

/// A permit that an entry is using, reported to the cell's new owner.
struct permit_report {
    request_id request;
    cell_id cell;
    upstream_name upstream;
    std::uint32_t prefill_tokens = 0;
    std::uint32_t output_tokens = 0;
    team_name team;
    tier_name tier;
    bool operator==(const permit_report&) const = default;
};

/// Asks the incarnation that minted a key's ticket for the single right to dispatch a request with
/// this key.
struct key_query {
    request_id request;
    std::string key;
    bool operator==(const key_query&) const = default;
};

enum class key_state { handed_over, in_progress, used };

/// Response to a `key_query`.
struct key_response {
    request_id request;
    key_state state = key_state::used;
    bool operator==(const key_response&) const = default;
};

/// Free permits and queued work of one cell, as its owner last observed them.
struct cell_digest {
    cell_id cell;
    std::uint32_t free_permits = 0;
    std::uint32_t queued = 0;
    /// Largest rank number (lowest tier) among the queued requests; zero when none is queued.
    std::uint32_t lowest_rank_queued = 0;
    /// Tokens of work queued, per engine of the cell.
    std::uint32_t queued_tokens = 0;
    bool operator==(const cell_digest&) const = default;
};

/// The sender's comparison of a move's new version with its old one, as counts since the move
/// began; one record for each upstream of the new version, and one without upstream for the rest.
struct version_evidence {
    move_name move;
    /// Distinguishes a move from an earlier one of the same name.
    unix_millis finish_by;
    upstream_name upstream;
    bool brake = false;
    /// Responses of the new version that were each compared with one of the old version.
    std::uint32_t pairs = 0;
    std::uint32_t new_completed = 0;
    std::uint32_t new_failed = 0;
    std::uint32_t new_slow = 0;
    std::uint32_t old_completed = 0;
    std::uint32_t old_failed = 0;
    std::uint32_t old_slow = 0;
    bool operator==(const version_evidence&) const = default;
};

enum class member_state { joining, live, leaving, suspect, dead };

/// State of one member, as known to the sender.
struct member_claim {
    node_name name;
    incarnation run;
    /// Increases within an incarnation, so that newer claims replace older ones.
    std::uint64_t version = 0;
    member_state state = member_state::live;
    endpoint callers;
    endpoint peers;
    region_name region;
    failure_domain_name failure_domain;
    bool operator==(const member_claim&) const = default;
};

/// One membership datagram: the sender's own state, some of the member states known to it, and its
/// digests.
struct heartbeat {
    member_claim sender;
    std::vector<member_claim> known;
    std::vector<cell_digest> cells;
    std::vector<version_evidence> evidence;
    store_id store;
    revision configuration;
    /// Whether the receiver should respond with a heartbeat of its own.
    bool wants_answer = false;
    /// Hash of all members that the sender considers running; zero when not stated.
    std::uint64_t view = 0;
    /// Whether the sender knows the members as the rest of the fleet does.
    bool is_settled = false;
    bool operator==(const heartbeat&) const = default;
};

/// Requests from a peer the configuration changes after a revision.
struct feed_request {
    store_id store;
    revision after;
    bool operator==(const feed_request&) const = default;
};

/// Changes in order, each of a greater revision than the one before.
struct feed_delta {
    store_id store;
    revision after;
    revision upto;
    std::vector<object> changed;
    struct removal {
        object_key key;
        revision at;
        bool operator==(const removal&) const = default;
    };
    std::vector<removal> removed;
    bool operator==(const feed_delta&) const = default;
};

/// The whole configuration at one revision.
struct feed_snapshot {
    store_id store;
    revision at;
    std::vector<object> objects;
    bool operator==(const feed_snapshot&) const = default;
};

using peer_message = std::variant<permit_request, permit_grant, permit_denial, permit_withdrawal,
                                  permit_release, permit_report, key_query, key_response, heartbeat,
                                  feed_request, feed_delta, feed_snapshot, permit_started>;

} // namespace ragwortcove::core
