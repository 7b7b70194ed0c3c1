/// \file
/// Interface of the whole core: takes events, returns effects, and is given the time as an
/// argument.
#pragma once

#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// A node's own identity and settings at start.
struct node_settings {
    node_name name;
    incarnation run;
    endpoint callers;
    endpoint peers;
    region_name region;
    failure_domain_name failure_domain;
    /// Peers to contact first; the membership protocol discovers the others.
    std::vector<endpoint> seeds;
    /// Whether something else tells a node that hears of no other whether there are any. Until then
    /// it does not take itself for the only one.
    bool confirms_isolation = false;
    /// How long callers may keep an address response.
    duration address_time_to_live = std::chrono::seconds{5};
    /// Longest time without data from an upstream during a response.
    duration idle_limit = std::chrono::seconds{2};
    /// Maximum number of this node's calls to the platform per second.
    double platform_calls_per_second = 5.0;
    /// How requests are placed; one of the names in `placement_policy_names()`.
    std::string placement_policy = "permits";
};

/// A node's status as reported to operators.
struct node_status {
    node_name name;
    incarnation run;
    store_id store;
    revision configuration;
    /// How long the configuration has been in effect on this node.
    duration configuration_age{0};
    bool ready = false;
    bool draining = false;
    std::vector<member_claim> members;
    std::vector<cell_digest> owned_cells;
    std::vector<object> objects;
    std::uint32_t open_requests = 0;
};

/// A node: always an entry, and depending on the rendezvous hashing also a placement owner, a
/// configuration reader or a move controller.
class node {
public:
    node(const node_settings& settings, std::uint64_t seed);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    /// Handles one event and appends the resulting effects. `now` never decreases.
    void step(const event& happened, time_point now, effect_list& effects);
    /// When the next `tick` is due.
    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] node_status status(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::core
