/// \file
/// Placement policies: permits from the cells' owners, and the baselines that they are compared
/// with.
#pragma once

#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortcove::core {

/// Requests a permit from the owner of a cell; without tiers, all requests have the same rank.
struct permit_placement {
    bool tiered = true;
};
/// Uses the upstreams in turn.
struct round_robin_placement {};
/// Chooses the upstream with the lowest reported load.
struct least_load_placement {};
/// Power of two choices (Mitzenmacher, 2001): draws two upstreams at random and chooses the one
/// with the lower reported load.
struct two_choices_placement {};
/// Each entry uses an equal part of every upstream's slots, and waits while its parts are full.
struct fixed_slice_placement {};

using placement_policy = std::variant<permit_placement, round_robin_placement, least_load_placement,
                                      two_choices_placement, fixed_slice_placement>;

/// Policy names that settings may use, in a fixed order.
[[nodiscard]] std::span<const std::string_view> placement_policy_names();
/// Returns nothing for an unknown name.
[[nodiscard]] std::optional<placement_policy> parse_placement_policy(std::string_view name);

/// Placement by an entry without owners, based on load reports that may be stale.
class direct_placement {
public:
    explicit direct_placement(const placement_policy& chosen) : policy{chosen} {}

    /// Whether the policy places without owners.
    [[nodiscard]] bool active() const
    {
        return !std::holds_alternative<permit_placement>(this->policy);
    }
    /// Chooses an upstream for a request; nothing when this entry's slices of all candidates are
    /// full. `candidates` must not be empty; `entries` is the number of entries that share them.
    [[nodiscard]] std::optional<upstream_name>
    choose(std::span<const cell_upstream* const> candidates, std::size_t entries,
           random_engine& random);
    void dispatched(const upstream_name& upstream) { ++this->in_flight[upstream]; }
    void released(const upstream_name& upstream);
    void on_load_report(const load_reported& report);

private:
    struct reported_load {
        std::uint32_t requests = 0;
    };
    [[nodiscard]] std::uint32_t load_of(const cell_upstream& upstream) const;
    [[nodiscard]] std::size_t least_loaded(std::span<const cell_upstream* const> candidates) const;

    placement_policy policy;
    std::uint64_t next_turn = 0;
    std::map<upstream_name, std::uint32_t> in_flight;
    std::map<upstream_name, reported_load> reports;
};

} // namespace ragwortcove::core
