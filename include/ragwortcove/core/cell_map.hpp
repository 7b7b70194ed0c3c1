/// \file
/// Groups upstreams into cells of a few upstreams of one target in one failure domain.
#pragma once

#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// One upstream of a cell.
struct cell_upstream {
    upstream_name name;
    upstream_spec spec;
    label_set labels;
};

/// A few upstreams of one target in one failure domain, with one owner.
struct cell {
    cell_id id;
    region_name region;
    /// Text that identifies the cell in rendezvous hashing and logs.
    std::string key;
    std::vector<cell_upstream> upstreams;
};

/// Cells of a configuration, ordered by target.
class cell_map {
public:
    /// Replaces the cells by those of all upstreams of the configuration.
    void rebuild(const configuration& from);
    /// Null for an unknown cell.
    [[nodiscard]] const cell* find(const cell_id& id) const;
    /// Cells with at least one upstream that may get new requests of this route and version.
    [[nodiscard]] std::vector<const cell*> serving(const route_spec& route,
                                                   const version_name& version) const;
    [[nodiscard]] const std::map<cell_id, cell>& all() const { return this->cells; }

private:
    std::map<cell_id, cell> cells;
};

/// Text form of the target, failure domain and index, separated by slashes.
[[nodiscard]] std::string to_string(const cell_id& id);
/// Whether an upstream may get new requests of this route and version.
[[nodiscard]] bool serves(const cell_upstream& upstream, const route_spec& route,
                          const version_name& version);

} // namespace ragwortcove::core
