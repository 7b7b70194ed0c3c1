/// \file
/// Which member owns which cell, as one node sees it.
#pragma once

#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>
#include <vector>

namespace ragwortcove::core {

/// Owners by rendezvous hashing among the live members of a cell's region. Two nodes may see
/// different owners for a moment; nothing depends on it but how full an upstream gets.
class cell_owners {
public:
    void rebuild(const cell_map& cells, const membership& members, time_point now);
    /// Owner of a cell of the map it was built from.
    [[nodiscard]] const node_name& of(const cell_id& cell) const;
    [[nodiscard]] std::vector<cell_id> owned_by(const node_name& node) const;

private:
    std::map<cell_id, node_name> owners;
};

} // namespace ragwortcove::core
