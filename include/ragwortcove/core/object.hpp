/// \file
/// Configuration objects: the kinds that this system defines, which operators declare and the
/// platform stores.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortcove::core {

/// Kinds of object in the platform's store; the order is the order in which `apply` writes them.
enum class object_kind { tier, team, version, upstream, route, move, move_status, lease, claim };

/// Labels by name.
using label_set = std::map<std::string, std::string>;

/// Labels that an object must carry, all of them, to be selected; empty selects everything.
struct label_selector {
    label_set equals;
    bool operator==(const label_selector&) const = default;
};
[[nodiscard]] bool matches(const label_selector& selector, const label_set& labels);

/// Service level of requests; rank 0 is served first and shed last.
struct tier_spec {
    std::uint32_t rank = 0;
    /// Longest wait in a queue before a request is refused.
    duration queue_limit = std::chrono::seconds{30};
    bool operator==(const tier_spec&) const = default;
};

/// A paying customer's group of callers; weights share a tier's capacity.
struct team_spec {
    double weight = 1.0;
    bool operator==(const team_spec&) const = default;
};

/// A version of a model or a plain service.
struct version_spec {
    target_name target;
    /// What the weight store calls the version's weights; empty for a plain service.
    std::string artifact;
    bool operator==(const version_spec&) const = default;
};

enum class upstream_kind { engine, service };

/// A model engine or a plain service: one address that accepts requests.
struct upstream_spec {
    upstream_kind kind = upstream_kind::engine;
    endpoint address;
    region_name region;
    failure_domain_name failure_domain;
    target_name target;
    version_name version;
    /// Maximum number of requests that the upstream can run concurrently.
    std::uint32_t slots = 16;
    /// Size of the prompt prefix cache, in tokens; zero when there is none.
    std::uint32_t cache_tokens = 0;
    /// Whether the upstream refuses orders with an old fencing number.
    bool checks_fencing = false;
    /// A leaving upstream gets no new work.
    bool leaving = false;
    bool operator==(const upstream_spec&) const = default;
};

/// What callers name in a request: the target that serves it, its tier and whether it may be
/// repeated.
struct route_spec {
    target_name target;
    upstream_kind kind = upstream_kind::engine;
    tier_name tier;
    /// Version that gets the route's traffic while no move is under way; empty takes any.
    version_name version;
    label_selector selector;
    bool idempotent = true;
    /// Maximum time from a request's arrival to the last byte, if the caller states none.
    duration timeout = std::chrono::seconds{60};
    /// Output length to assume until it can be estimated from the route's own responses, in tokens.
    std::uint32_t expected_output_tokens = 128;
    bool operator==(const route_spec&) const = default;
};

/// A change of a route from one version to another by a stated time.
struct move_spec {
    route_name route;
    version_name from;
    version_name to;
    unix_millis finish_by;
    /// Maximum number of requests in flight on the new version until it has completed some.
    std::uint32_t canary_in_flight = 2;
    /// How long the new version is observed after the last step.
    duration soak = std::chrono::seconds{60};
    bool operator==(const move_spec&) const = default;
};

enum class move_phase { pending, preparing, shifting, soaking, done, reverted };

/// Progress of a move; written only by the system.
struct move_status_spec {
    move_phase phase = move_phase::pending;
    /// Share of the route's requests that the new version gets, in thousandths.
    std::uint32_t share_permille = 0;
    fencing_number fencing;
    std::string reason;
    /// The move's own values when the status was written: a move that was declared again under the
    /// same name has no status yet.
    version_name to;
    unix_millis finish_by;
    bool operator==(const move_status_spec&) const = default;
};

/// An exclusive right of one holder until it expires; written only by the system.
struct lease_spec {
    node_name holder;
    incarnation holder_incarnation;
    fencing_number fencing;
    unix_millis expires;
    bool operator==(const lease_spec&) const = default;
};

/// The exclusive right to dispatch the request of an idempotency key; written only by the system.
struct claim_spec {
    incarnation holder;
    unix_millis expires;
    bool operator==(const claim_spec&) const = default;
};

using object_spec = std::variant<tier_spec, team_spec, version_spec, upstream_spec, route_spec,
                                 move_spec, move_status_spec, lease_spec, claim_spec>;

struct object_key {
    object_kind kind = object_kind::tier;
    std::string name;
    auto operator<=>(const object_key&) const = default;
    bool operator==(const object_key&) const = default;
};

struct object {
    object_key key;
    label_set labels;
    object_spec spec;
    /// Store revision of the last write; zero when never written.
    revision written_at;
    bool operator==(const object&) const = default;
};

[[nodiscard]] std::string_view to_string(object_kind kind);
[[nodiscard]] std::string_view to_string(move_phase phase);
[[nodiscard]] std::string_view to_string(upstream_kind kind);

} // namespace ragwortcove::core
