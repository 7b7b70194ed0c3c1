#include "ragwortcove/core/cell_owners.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <cassert>
#include <string>

namespace ragwortcove::core {

// Owners are computed when members or cells change, not for each request: with 860 nodes a region
// has about 140 candidates, and hashing them for every permit would cost more than the permit
// itself.
void cell_owners::rebuild(const cell_map& cells, const membership& members, time_point now)
{
    this->owners.clear();
    std::map<region_name, std::vector<std::string>> candidates;
    for (const auto& [id, cell] : cells.all()) {
        const auto [region, added] = candidates.try_emplace(cell.region);
        if (added)
            region->second = members.owners(cell.region, now);
        const std::vector<std::string>& names = region->second;
        this->owners[id] = node_name{names[rendezvous_first(cell.key, names)]};
    }
}

const node_name& cell_owners::owner_of(const cell_id& cell) const
{
    const auto found = this->owners.find(cell);
    assert(found != this->owners.end() && "only a cell of the map has an owner");
    return found->second;
}

std::vector<cell_id> cell_owners::owned_by(const node_name& node) const
{
    std::vector<cell_id> owned;
    for (const auto& [id, owner] : this->owners) {
        if (owner == node)
            owned.push_back(id);
    }
    return owned;
}

} // namespace ragwortcove::core
