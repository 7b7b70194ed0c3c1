/// \file
/// What a node spends on acting together with the others, and how that grows with their number.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstddef>
#include <cstdint>

namespace ragwortcove::bench {

/// Size of the fleet that a point is measured at.
struct fleet_size {
    std::size_t nodes = 9;
    /// Upstreams declared for each node; they are configuration here and take no requests.
    std::size_t upstreams_per_node = 13;
    std::size_t teams = 740;
    /// Configuration changes a second while changes are made.
    double changes_per_second = 1.0;
};

/// Figures of one fleet on virtual time. Processor time includes the runner's own.
struct capacity_point {
    fleet_size size;
    double idle_bytes_per_node_second = 0.0;
    double idle_messages_per_node_second = 0.0;
    /// Share of one core that a node's control takes while nothing changes.
    double idle_core_share = 0.0;
    double changing_bytes_per_node_second = 0.0;
    double changing_core_share = 0.0;
    /// Longest time from an accepted change to its being in force on all nodes.
    core::duration slowest_change{0};
    double idle_platform_calls_per_second = 0.0;
    /// Growth of the process for each node, in bytes: its state, and its part of the runner's.
    double resident_bytes_per_node = 0.0;
    /// Longest time to start all nodes and have the configuration in force on each.
    bool all_ready = false;
};

/// Measures one fleet: starts it, lets it idle, then changes its configuration.
[[nodiscard]] capacity_point measure_capacity(const fleet_size& size, std::uint64_t seed);

} // namespace ragwortcove::bench
