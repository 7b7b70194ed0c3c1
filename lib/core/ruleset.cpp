#include "ragwortcove/core/ruleset.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::core {

rule_index::rule_index(ruleset&& rules) : all(std::move(rules))
{
    for (const http_route& route : this->all.routes)
        this->by_host[route.host].push_back(&route);
    for (auto& [host, routes] : this->by_host) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const http_route* left, const http_route* right) {
                             return left->prefix.size() > right->prefix.size();
                         });
    }
    for (const team_rule& team : this->all.teams) {
        for (const std::string& key : team.keys)
            this->by_key.emplace(key, &team);
    }
}

const http_route* rule_index::find_route(std::string_view host, std::string_view path) const
{
    const auto found = this->by_host.find(host);
    if (found == this->by_host.end())
        return nullptr;
    for (const http_route* route : found->second) {
        if (path.substr(0, route->prefix.size()) == route->prefix)
            return route;
    }
    return nullptr;
}

const team_rule* rule_index::find_team_by_key(std::string_view key) const
{
    const auto found = this->by_key.find(key);
    return found == this->by_key.end() ? nullptr : found->second;
}

const team_rule* rule_index::find_team(const team_name& name) const
{
    const auto found = std::find_if(this->all.teams.begin(), this->all.teams.end(),
                                    [&](const team_rule& team) { return team.name == name; });
    return found == this->all.teams.end() ? nullptr : &*found;
}

const target_rule* rule_index::find_target(const target_name& name) const
{
    const auto found = std::find_if(this->all.targets.begin(), this->all.targets.end(),
                                    [&](const target_rule& target) { return target.name == name; });
    return found == this->all.targets.end() ? nullptr : &*found;
}

double quota_cost(const team_rule& team, std::optional<std::uint64_t> tokens)
{
    if (!team.counts_tokens)
        return 1.0;
    return static_cast<double>(tokens.value_or(team.default_tokens));
}

} // namespace ragwortcove::core
