/// \file
/// Ways to place a request: permits from the cells' owners, and the baselines they are measured
/// against.
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

/// Asks the owner of a cell for a permit; without tiers, all requests rank the same.
struct permit_placement {
    bool tiered = true;
};
/// Takes the upstreams in turn.
struct round_robin_placement {};
/// Takes the upstream whose report shows the least load.
struct least_load_placement {};
/// Takes the less loaded, by its report, of two at random (Mitzenmacher, 2001).
struct two_choices_placement {};
/// Has an equal slice of every upstream's slots, and waits while its slices are full.
struct fixed_slice_placement {};

using placement_policy = std::variant<permit_placement, round_robin_placement, least_load_placement,
                                      two_choices_placement, fixed_slice_placement>;

/// Names that settings may use, in a fixed order.
[[nodiscard]] std::span<const std::string_view> placement_policy_names();
[[nodiscard]] std::optional<placement_policy> parse_placement_policy(std::string_view name);

/// Placement by an entry alone, on load reports that may be old.
class direct_placement {
public:
    explicit direct_placement(const placement_policy& chosen) : policy{chosen} {}

    [[nodiscard]] bool active() const
    {
        return !std::holds_alternative<permit_placement>(this->policy);
    }
    /// An upstream for the request, or nothing when the entry has no room of its own.
    [[nodiscard]] std::optional<upstream_name>
    choose(std::span<const cell_upstream* const> candidates, std::size_t entries,
           random_engine& random);
    void dispatched(const upstream_name& upstream) { ++this->in_flight[upstream]; }
    void released(const upstream_name& upstream);
    void load(const load_reported& report);

private:
    struct reported_load {
        std::uint32_t requests = 0;
    };
    [[nodiscard]] std::uint32_t load_of(const cell_upstream& upstream) const;
    [[nodiscard]] std::size_t least_loaded(std::span<const cell_upstream* const> candidates) const;

    placement_policy policy;
    std::uint64_t turn = 0;
    std::map<upstream_name, std::uint32_t> in_flight;
    std::map<upstream_name, reported_load> reports;
};

} // namespace ragwortcove::core
