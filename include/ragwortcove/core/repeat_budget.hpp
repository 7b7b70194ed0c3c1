/// \file
/// How many requests a node may send to a second upstream.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace ragwortcove::core {

/// Bound on repeats in a sliding window, over all nodes.
struct repeat_limits {
    /// Allowed repeats per request.
    double share = 0.2;
    /// Allowed repeats in addition to that share, for the whole fleet.
    double allowance = 0.0;
    duration window = std::chrono::seconds{10};
};

/// This node's share of the budget, by target. The share grows with the node's own requests, so
/// that all shares together stay within the whole budget without communication between nodes.
class repeat_budget {
public:
    /// An earlier process of this node may have spent its part of the allowance just before
    /// `started_at`, so this one has none until the window is over.
    explicit repeat_budget(const repeat_limits& given, time_point started_at = {})
        : limits{given}, allowance_from{started_at + given.window}
    {
    }

    void count_request(const target_name& target, time_point now);
    /// Whether `spend` would succeed.
    [[nodiscard]] bool has_left(const target_name& target, std::size_t nodes, time_point now);
    /// Spends one repeat; false when the budget is used up. `nodes` is the number of nodes that
    /// share the allowance, reachable or not; zero when it is unknown, and the node has no part.
    [[nodiscard]] bool spend(const target_name& target, std::size_t nodes, time_point now);
    /// Takes back what was spent at a time on a repeat that has reached no upstream.
    void give_back(const target_name& target, time_point spent_at);

private:
    struct window_counts {
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
    };
    void expire(window_counts& counts, time_point now) const;
    /// This node's part of the allowance.
    [[nodiscard]] double allowance(std::size_t nodes, time_point now) const;

    repeat_limits limits;
    time_point allowance_from;
    std::map<target_name, window_counts> by_target;
};

} // namespace ragwortcove::core
