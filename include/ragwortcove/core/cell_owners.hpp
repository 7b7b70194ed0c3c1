/// \file
/// Owners of the cells, as one node sees them.
#pragma once

#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>
#include <vector>

namespace ragwortcove::core {

/// Owners chosen by rendezvous hashing among the live members of a cell's region. Two nodes may see
/// different owners for a short time; the only effect is that an upstream may get more requests
/// than it has slots.
class cell_owners {
public:
    /// Chooses the owners of all cells again.
    void rebuild(const cell_map& cells, const membership& members, time_point now);
    /// Owner of a cell, which must be in the map given to `rebuild`.
    [[nodiscard]] const node_name& owner_of(const cell_id& cell) const;
    [[nodiscard]] std::vector<cell_id> owned_by(const node_name& node) const;

private:
    std::map<cell_id, node_name> owners;
};

} // namespace ragwortcove::core
