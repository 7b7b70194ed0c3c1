#include "ragwortcove/core/address_response.hpp"

#include "ragwortcove/core/key_registry.hpp"

#include <algorithm>
#include <set>
#include <vector>

namespace ragwortcove::core {

/// Maximum number of addresses in one response.
static constexpr std::size_t max_addresses = 4;
/// Weight of an entry that owns a cell of the route; other entries have weight 1. Permits of an
/// entry that is also the owner need no message to another node.
static constexpr double owner_weight = 3.0;

static std::set<node_name> owners_of_route(const route_name& route, const configuration& config,
                                           const cell_map& cells, const cell_owners& owners)
{
    std::set<node_name> found;
    const route_spec* spec = config.find_route(route);
    if (spec == nullptr)
        return found;
    for (const cell* serving : cells.serving(*spec, {}))
        found.insert(owners.owner_of(serving->id));
    return found;
}

static std::vector<member_claim> live_members(const membership& members)
{
    std::vector<member_claim> live;
    for (const member_claim& claim : members.all()) {
        if (claim.state == member_state::live)
            live.push_back(claim);
    }
    return live;
}

// Chooses at random, but never a second entry of a failure domain while another domain has none.
static std::vector<member_claim> choose_spread_over_domains(std::vector<member_claim> candidates,
                                                            random_engine& random)
{
    std::vector<member_claim> chosen;
    std::set<failure_domain_name> used;
    while (!candidates.empty() && chosen.size() < max_addresses) {
        std::vector<std::size_t> eligible;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (!used.contains(candidates[index].failure_domain))
                eligible.push_back(index);
        }
        if (eligible.empty()) {
            used.clear();
            continue;
        }
        const std::size_t index = eligible[uniform_below(random, eligible.size())];
        used.insert(candidates[index].failure_domain);
        chosen.push_back(std::move(candidates[index]));
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return chosen;
}

address_response choose_addresses(const addresses_requested& request, const node_settings& self,
                                  const configuration& config, const cell_map& cells,
                                  const cell_owners& owners, const membership& members,
                                  step_context& context)
{
    const std::set<node_name> preferred = owners_of_route(request.route, config, cells, owners);
    address_response response;
    response.exchange = request.exchange;
    response.time_to_live = self.address_time_to_live;
    const auto nonce_time = static_cast<std::uint64_t>(context.wall.value)
                            << key_registry::nonce_random_bits;
    for (const member_claim& claim :
         choose_spread_over_domains(live_members(members), context.random)) {
        offered_address offered;
        offered.address = claim.callers;
        offered.weight = preferred.contains(claim.name) ? owner_weight : 1.0;
        offered.failure_domain = claim.failure_domain;
        const std::uint64_t nonce =
            nonce_time |
            uniform_below(context.random, std::uint64_t{1} << key_registry::nonce_random_bits);
        offered.proof = ticket{claim.callers, claim.run, nonce};
        response.addresses.push_back(std::move(offered));
    }
    return response;
}

} // namespace ragwortcove::core
