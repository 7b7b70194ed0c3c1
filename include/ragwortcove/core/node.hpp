/// \file
/// The whole core behind one interface: events in, effects out, time as an argument.
#pragma once

#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// What a node knows of itself when it starts.
struct node_settings {
    node_name name;
    incarnation run;
    endpoint callers;
    endpoint peers;
    region_name region;
    failure_domain_name failure_domain;
    /// Peers to greet first; the membership finds the others.
    std::vector<endpoint> seeds;
    /// How long callers may keep an address answer.
    duration address_time_to_live = std::chrono::seconds{5};
    /// Longest silence of an upstream during an answer.
    duration idle_limit = std::chrono::seconds{2};
    /// Most calls to the platform a second, for this node.
    double platform_calls_per_second = 5.0;
    /// How requests are placed; one of the names in `placement_policy_names()`.
    std::string placement_policy = "permits";
};

/// What a node tells its operators.
struct node_status {
    node_name name;
    incarnation run;
    store_id store;
    revision configuration;
    /// How long the configuration has been in force here.
    duration configuration_age{0};
    bool ready = false;
    bool draining = false;
    std::vector<member_claim> members;
    std::vector<cell_digest> owned_cells;
    std::vector<object> objects;
    std::uint32_t open_requests = 0;
};

/// A node: entry, and for some keys also placement owner, configuration reader, move controller.
class node {
public:
    node(const node_settings& settings, std::uint64_t seed);
    ~node();
    node(node&&) noexcept;
    node& operator=(node&&) noexcept;

    /// Takes one event and appends what is to be done. `now` never goes back.
    void step(const event& happened, time_point now, effect_list& effects);
    /// When the next `tick` is due.
    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] node_status status(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::core
