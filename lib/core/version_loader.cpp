#include "ragwortcove/core/version_loader.hpp"

#include "ragwortcove/core/cell_map.hpp"

#include <algorithm>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Maximum number of upstreams that load at once: the weight store is rate-limited.
static constexpr std::uint32_t max_loading = 2;
/// Time between two orders to an upstream that is loading, which report its progress.
static constexpr duration progress_poll_period = 1s;
/// How long the response to an order may take.
static constexpr duration response_timeout = 5s;
/// Number of consecutive time-outs after which the move no longer waits for the upstream.
static constexpr std::uint32_t max_timeouts = 3;

void version_loader::sync(const route_spec& route, const version_name& version,
                          const configuration& config)
{
    for (auto& [name, load] : this->loads)
        load.is_configured = false;
    for (const auto& [key, value] : config.objects()) {
        const upstream_spec* spec = std::get_if<upstream_spec>(&value.spec);
        if (spec == nullptr)
            continue;
        const cell_upstream upstream{upstream_name{key.name}, *spec, value.labels};
        if (!serves(upstream, route, version))
            continue;
        upstream_load& load = this->loads[upstream.name];
        load.is_configured = true;
        // A plain service is started with its version and accepts no orders.
        if (spec->kind == upstream_kind::service)
            load.state = load_state::serving;
    }
    std::erase_if(this->loads, [](const auto& entry) { return !entry.second.is_configured; });
}

void version_loader::tick(const route_spec& route, const version_name& version,
                          fencing_number fencing, const configuration& config,
                          std::uint64_t& next_order, step_context& context)
{
    this->sync(route, version, config);
    auto loading = static_cast<std::uint32_t>(
        std::count_if(this->loads.begin(), this->loads.end(),
                      [](const auto& entry) { return entry.second.state == load_state::loading; }));
    for (auto& [name, load] : this->loads) {
        if (load.state == load_state::serving || context.now < load.next_order_at)
            continue;
        if (load.state != load_state::loading && loading >= max_loading)
            continue;
        if (load.state != load_state::loading)
            ++loading;
        if (load.awaits_response && ++load.timeouts >= max_timeouts) {
            load.state = load_state::unresponsive;
            --loading;
        }
        else {
            load.state = load_state::loading;
        }
        load.awaits_response = true;
        load.order = call_id{next_order++};
        load.next_order_at = context.now + response_timeout;
        const upstream_spec* upstream = config.find_upstream(name);
        context.effects.emplace_back(
            order_upstream{load.order, name, upstream->address, route.target, version, fencing});
    }
}

void version_loader::answered(const order_answered& message, const version_name& version,
                              step_context& context)
{
    const auto found = this->loads.find(message.upstream);
    if (found == this->loads.end() || found->second.order != message.order)
        return;
    upstream_load& load = found->second;
    load.next_order_at = context.now + progress_poll_period;
    if (!message.answered)
        return;
    load.awaits_response = false;
    load.timeouts = 0;
    this->stale |= message.refused_as_stale;
    load.state = message.serving == version ? load_state::serving : load_state::loading;
}

bool version_loader::loaded() const
{
    const auto is = [](load_state state) {
        return [state](const auto& entry) { return entry.second.state == state; };
    };
    const bool any = std::any_of(this->loads.begin(), this->loads.end(), is(load_state::serving));
    const bool waits =
        std::any_of(this->loads.begin(), this->loads.end(), is(load_state::loading)) ||
        std::any_of(this->loads.begin(), this->loads.end(), is(load_state::not_ordered));
    return any && !waits;
}

} // namespace ragwortcove::core
