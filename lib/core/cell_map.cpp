#include "ragwortcove/core/cell_map.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>

namespace ragwortcove::core {

/// Mean number of upstreams in a cell, at most; hashing makes some cells larger.
static constexpr std::size_t upstreams_per_cell = 16;

std::string to_string(const cell_id& id)
{
    return id.target.value + "/" + id.failure_domain.value + "/" + std::to_string(id.index);
}

bool serves(const cell_upstream& upstream, const route_spec& route, const version_name& version)
{
    if (upstream.spec.leaving || upstream.spec.target != route.target)
        return false;
    if (!version.empty() && upstream.spec.version != version)
        return false;
    return matches(route.selector, upstream.labels);
}

using upstream_group =
    std::map<std::pair<target_name, failure_domain_name>, std::vector<cell_upstream>>;

static upstream_group group_upstreams(const configuration& from)
{
    upstream_group groups;
    for (const auto& [key, value] : from.objects()) {
        const upstream_spec* spec = std::get_if<upstream_spec>(&value.spec);
        if (spec == nullptr)
            continue;
        groups[{spec->target, spec->failure_domain}].push_back(
            cell_upstream{upstream_name{key.name}, *spec, value.labels});
    }
    return groups;
}

// An upstream's cell is derived from a hash of its name, so that adding an upstream moves few
// others to another cell.
void cell_map::rebuild(const configuration& from)
{
    this->cells.clear();
    for (auto& [group, upstreams] : group_upstreams(from)) {
        const std::size_t count = (upstreams.size() + upstreams_per_cell - 1) / upstreams_per_cell;
        std::vector<std::string> indices;
        for (std::size_t index = 0; index < count; ++index)
            indices.push_back(std::to_string(index));
        for (cell_upstream& upstream : upstreams) {
            const std::size_t index = rendezvous_first(upstream.name.value, indices);
            const cell_id id{group.first, group.second, static_cast<std::uint32_t>(index)};
            cell& target = this->cells[id];
            target.id = id;
            target.region = upstream.spec.region;
            target.key = to_string(id);
            target.upstreams.push_back(std::move(upstream));
        }
    }
}

const cell* cell_map::find(const cell_id& id) const
{
    const auto found = this->cells.find(id);
    return found == this->cells.end() ? nullptr : &found->second;
}

static bool serves_any(const cell& candidate, const route_spec& route, const version_name& version)
{
    return std::any_of(
        candidate.upstreams.begin(), candidate.upstreams.end(),
        [&](const cell_upstream& upstream) { return serves(upstream, route, version); });
}

std::vector<const cell*> cell_map::serving(const route_spec& route,
                                           const version_name& version) const
{
    std::vector<const cell*> found;
    for (auto at = this->cells.lower_bound(cell_id{route.target, {}, 0});
         at != this->cells.end() && at->first.target == route.target; ++at) {
        if (serves_any(at->second, route, version))
            found.push_back(&at->second);
    }
    return found;
}

} // namespace ragwortcove::core
