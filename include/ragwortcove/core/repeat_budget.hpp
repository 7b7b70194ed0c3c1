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
    /// Repeats for each request.
    double share = 0.2;
    /// Repeats beyond that share, for the whole fleet.
    double allowance = 0.0;
    duration window = std::chrono::seconds{10};
};

/// This node's part of the budget, by target: its own requests earn it, so that all parts together
/// stay within the whole without any exchange between the nodes.
class repeat_budget {
public:
    explicit repeat_budget(const repeat_limits& given) : limits{given} {}

    void count_request(const target_name& target, time_point now);
    /// Takes one repeat; false when the budget is used up. `nodes` is how many share the allowance.
    [[nodiscard]] bool spend(const target_name& target, std::size_t nodes, time_point now);

private:
    struct window_counts {
        std::deque<time_point> requests;
        std::deque<time_point> repeats;
    };
    void expire(window_counts& counts, time_point now) const;

    repeat_limits limits;
    std::map<target_name, window_counts> by_target;
};

} // namespace ragwortcove::core
