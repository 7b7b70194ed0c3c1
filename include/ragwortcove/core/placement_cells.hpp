/// \file
/// A target's upstreams in cells of a few, each with an owner of its own, and which cell a request
/// asks.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace ragwortcove::core {

/// Index of a cell among those of its target.
using cell_index = std::uint32_t;

/// Cells that so many upstreams of a target make up.
[[nodiscard]] cell_index placement_cell_count(std::size_t upstreams);
/// Cell of an upstream among `count`.
[[nodiscard]] cell_index placement_cell_of(const upstream_name& upstream, cell_index count);

/// Cells of each target that has upstreams.
[[nodiscard]] std::map<target_name, cell_index>
count_cells(std::span<const announced_upstream> all);

/// Load of a cell, as its owner tells it with each answer.
struct cell_load {
    std::uint32_t free_places = 0;
    std::uint32_t waiting = 0;
    bool operator==(const cell_load&) const = default;
};

/// Spreads one node's requests over the cells of their target, by what it has heard of their load.
class cell_chooser {
public:
    void heard(const target_name& target, cell_index cell, const cell_load& load, time_point now);
    /// Cell to ask next, other than those tried; one of all when every one has been.
    [[nodiscard]] cell_index choose(const target_name& target, cell_index count,
                                    std::span<const cell_index> tried, random_engine& random,
                                    time_point now);
    /// The same, but only a cell that is known to have a free place.
    [[nodiscard]] std::optional<cell_index> choose_free(const target_name& target, cell_index count,
                                                        std::span<const cell_index> tried,
                                                        random_engine& random, time_point now);

private:
    struct known_load {
        cell_load load;
        time_point heard_at;
        bool known = false;
    };
    [[nodiscard]] std::vector<known_load>& loads_of(const target_name& target, cell_index count);
    void take_place(known_load& of) const;

    std::map<target_name, std::vector<known_load>> by_target;
};

} // namespace ragwortcove::core
