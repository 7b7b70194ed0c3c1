/// \file
/// Splits the upstreams of a placement pool into small cells, each with its own owner, and chooses
/// the cell that a request is sent to. A pool holds the upstreams of a target, or the canaries of
/// its roll-out.
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

/// Index of a cell among those of its pool.
using cell_index = std::uint32_t;

/// Number of cells of a pool with this many upstreams; a power of two.
[[nodiscard]] cell_index placement_cell_count(std::size_t upstreams);
/// Cell of an upstream when its pool has `count` cells.
[[nodiscard]] cell_index placement_cell_of(const upstream_name& upstream, cell_index count);

/// Number of cells of each pool that has upstreams.
[[nodiscard]] std::map<target_name, cell_index>
count_cells(std::span<const announced_upstream> all);

/// Load of a cell, which its owner sends with each response.
struct cell_load {
    std::uint32_t free_slots = 0;
    /// Queued requests.
    std::uint32_t waiting = 0;
    /// Expected wait of a request of the same rank that can still be in time, of a team within its
    /// share; unset if the owner does not know or does not state it.
    std::optional<duration> wait = std::nullopt;
    bool operator==(const cell_load&) const = default;
};

/// What decides about the next cell of a denied request.
struct cell_retry {
    std::uint32_t rank = 0;
    /// Time in which the request can still be placed in time.
    duration time_left{0};
    /// Cells that have denied the request.
    std::span<const cell_index> denied;
};

/// Spreads one node's requests over the cells of their pool, by the latest known load of each.
/// Answers a load in which the cells are unequal, for example since one has lost upstreams.
class cell_chooser {
public:
    /// Whether cells without free slots are compared by the waits that their owners state.
    void set_uses_waits(bool used) { this->uses_waits = used; }
    /// Records the load that the owner of a cell reported, and its wait for a rank.
    void record_load(const target_name& pool, cell_index cell, const cell_load& load,
                     time_point now, std::uint32_t rank = 0);
    /// Chooses the next cell for a request, other than those already tried. When all have been
    /// tried, any of them may be chosen.
    [[nodiscard]] cell_index choose(const target_name& pool, cell_index count,
                                    std::span<const cell_index> tried, random_engine& random,
                                    time_point now, std::uint32_t rank = 0);
    /// The same, but chooses only a cell that is known to have a free slot.
    [[nodiscard]] std::optional<cell_index> choose_free(const target_name& pool, cell_index count,
                                                        std::span<const cell_index> tried,
                                                        random_engine& random, time_point now);
    /// Chooses the next cell for a denied request: one with a free slot, or else one whose wait
    /// the request can spend. The latter is tried for a few cells only, so that an overloaded
    /// fleet does not pass each request round.
    [[nodiscard]] std::optional<cell_index>
    choose_after_denial(const target_name& pool, cell_index count, const cell_retry& retry,
                        random_engine& random, time_point now);

private:
    struct known_wait {
        duration wait{0};
        time_point received_at;
    };
    struct known_load {
        cell_load load;
        time_point received_at;
        bool known = false;
        std::map<std::uint32_t, known_wait> waits;
    };
    /// Wait of a rank in a cell, if it is known and recent.
    [[nodiscard]] static std::optional<duration> wait_of(const known_load& cell, std::uint32_t rank,
                                                         time_point now);
    [[nodiscard]] std::vector<known_load>& loads_for(const target_name& pool, cell_index count);
    void count_placement(known_load& estimate) const;

    std::map<target_name, std::vector<known_load>> by_pool;
    bool uses_waits = false;
};

} // namespace ragwortcove::core
