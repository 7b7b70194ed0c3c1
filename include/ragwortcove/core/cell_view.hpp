/// \file
/// Load of the cells as an entry knows it: digests from their owners, and the requests that the
/// entry has sent since.
#pragma once

#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>
#include <span>

namespace ragwortcove::core {

/// Latest digest of each cell.
class cell_view {
public:
    /// Replaces the digest of a cell.
    void update(const cell_digest& digest, time_point now);
    /// Counts a permit request that this entry has just sent, until the next digest of the cell.
    void count_request(const cell_id& cell, std::uint32_t output_tokens);
    /// Chooses a cell for a request with this prefix by cache affinity and load; null when there
    /// are no candidates.
    [[nodiscard]] const cell* choose(std::span<const cell* const> candidates,
                                     std::span<const prefix_hash> prefix) const;
    [[nodiscard]] const std::map<cell_id, cell_digest>& digests() const { return this->by_cell; }
    /// Removes the digests of cells that are not in `known`.
    void forget_unknown(const cell_map& known);

private:
    std::map<cell_id, cell_digest> by_cell;
};

} // namespace ragwortcove::core
