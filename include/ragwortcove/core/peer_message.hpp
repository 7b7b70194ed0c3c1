/// \file
/// Messages between the system's own processes. Permits, key questions and the configuration feed
/// travel on streams (gRPC), heartbeats in datagrams; the core does not see the difference.
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

/// Asks a cell's owner for the right to dispatch one request.
struct permit_request {
    request_id request;
    cell_id cell;
    route_name route;
    team_name team;
    tier_name tier;
    /// Version that must serve the request; empty takes any.
    version_name version;
    std::uint32_t prefill_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::vector<prefix_hash> prefix;
    /// Time the request has left, measured at the sender.
    duration time_left{0};
    /// Upstreams not to use: they have failed this request before.
    std::vector<upstream_name> avoid;
    bool operator==(const permit_request&) const = default;
};

/// Right to dispatch one request to one upstream; unused, it lapses.
struct permit_grant {
    request_id request;
    cell_id cell;
    grant_id grant;
    upstream_name upstream;
    duration valid_for{0};
    /// Prompt tokens that the owner believes the upstream has cached.
    std::uint32_t cached_tokens = 0;
    bool operator==(const permit_grant&) const = default;
};

/// The owner will not serve the request; it was not dispatched.
struct permit_denial {
    request_id request;
    cell_id cell;
    refusal_reason reason = refusal_reason::overloaded;
    duration retry_after{0};
    bool operator==(const permit_denial&) const = default;
};

/// The entry no longer wants a permit that it asked for and has not used.
struct permit_withdrawal {
    request_id request;
    cell_id cell;
    bool operator==(const permit_withdrawal&) const = default;
};

enum class attempt_outcome { completed, failed, silent, cancelled, unused };

/// Prompt tokens to compute from which on an entry tells the owner when they have been computed;
/// shorter prompts hold nobody up.
inline constexpr std::uint32_t min_tokens_to_report = 256;

/// The first part of the answer has come: the prompt is computed.
struct permit_started {
    request_id request;
    cell_id cell;
    upstream_name upstream;
    bool operator==(const permit_started&) const = default;
};

/// A permit that was used, or not, is over; what was seen of the upstream.
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

/// A permit held by an entry, told to a cell's new owner.
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

/// Asks the incarnation that minted a key's ticket for the one right to dispatch it.
struct key_query {
    request_id request;
    std::string key;
    bool operator==(const key_query&) const = default;
};

enum class key_state { handed_over, in_progress, used };

struct key_response {
    request_id request;
    key_state state = key_state::used;
    bool operator==(const key_response&) const = default;
};

/// Free and queued work of one cell, as its owner last saw it.
struct cell_digest {
    cell_id cell;
    std::uint32_t free_permits = 0;
    std::uint32_t queued = 0;
    /// Highest rank (lowest tier) that waits in the queue; zero when none waits.
    std::uint32_t lowest_rank_queued = 0;
    /// Tokens of work queued, per engine of the cell.
    std::uint32_t queued_tokens = 0;
    bool operator==(const cell_digest&) const = default;
};

/// What the sender has seen of a move's new version against its old one, as counts since the move
/// began; one record for each upstream of the new version, and one without upstream for the rest.
struct version_evidence {
    move_name move;
    /// Tells a move from an earlier one of the same name.
    unix_millis finish_by;
    upstream_name upstream;
    bool brake = false;
    /// Answers of the new version that were held against one of the old version.
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

/// State of one member as the sender knows it.
struct member_claim {
    node_name name;
    incarnation run;
    /// Counts up within an incarnation, so that newer claims replace older ones.
    std::uint64_t version = 0;
    member_state state = member_state::live;
    endpoint callers;
    endpoint peers;
    region_name region;
    failure_domain_name failure_domain;
    bool operator==(const member_claim&) const = default;
};

/// One datagram of membership: the sender's own state, some of what it knows, and its digests.
struct heartbeat {
    member_claim sender;
    std::vector<member_claim> known;
    std::vector<cell_digest> cells;
    std::vector<version_evidence> evidence;
    store_id store;
    revision configuration;
    /// Whether the receiver should answer with a heartbeat of its own.
    bool wants_answer = false;
    /// Hash of all members that the sender takes for running; zero when it does not say.
    std::uint64_t view = 0;
    bool operator==(const heartbeat&) const = default;
};

/// Asks a peer for the configuration after a revision.
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
