#include "prompt_work.hpp"
#include "ragwortcove/core/placement_owner.hpp"

#include <algorithm>

// How an owner chooses the upstream for a queued permit request.

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Longest wait for an engine that has a prompt's prefix cached before another one is used.
static constexpr duration max_warm_wait = 300ms;
/// Share of an upstream's limit that long requests may use.
static constexpr double max_long_share = 0.75;

static bool all_ejected(const owned_cell& cell)
{
    return std::all_of(cell.engines.begin(), cell.engines.end(),
                       [](const auto& entry) { return entry.second.health.ejected(); });
}

static bool has_backlog(const engine_state& engine)
{
    return engine.prefill_backlog() > 0;
}

// An engine computes prompts in the order of arrival, so a long one delays every short one behind
// it (head-of-line blocking). An engine gets long prompts one at a time, and one engine in three
// gets none.
static bool may_compute_long_prompt(const owned_cell& cell, const engine_state& engine)
{
    if (has_backlog(engine))
        return false;
    const auto busy = std::count_if(cell.engines.begin(), cell.engines.end(),
                                    [](const auto& entry) { return has_backlog(entry.second); });
    constexpr std::size_t engines_per_reserved = 3;
    const std::size_t reserved = cell.engines.size() / engines_per_reserved;
    return static_cast<std::size_t>(busy) + reserved < cell.engines.size();
}

// Panic mode: when every upstream of a cell is ejected, the ejections are unlikely to be right, and
// denying all requests would be worse than trying. Each upstream then gets one request at a time.
static bool can_accept(const owned_cell& cell, const engine_state& engine,
                       const queued_request& queued, bool panic_mode)
{
    if (panic_mode)
        return engine.held.empty();
    if (engine.free_permits() == 0)
        return false;
    const duration prefill = engine.rates.prefill_time(uncached_tokens(engine, queued.received));
    if (prefill > long_prefill_threshold && !may_compute_long_prompt(cell, engine))
        return false;
    if (!queued.is_long)
        return true;
    const double max_long =
        std::max(1.0, max_long_share * static_cast<double>(engine.limit.value()));
    return static_cast<double>(engine.held_long_permits()) < max_long;
}

static bool is_avoided(const permit_request& request, const upstream_name& name)
{
    return std::find(request.avoid.begin(), request.avoid.end(), name) != request.avoid.end();
}

// Engines that have the prompt's prefix cached are preferred while they can start soon: computing
// the prefix again elsewhere delays all later requests of that engine.
static void prefer_warm_engines(std::vector<engine_state*>& candidates,
                                const permit_request& request)
{
    std::uint32_t max_cached = 0;
    for (const engine_state* candidate : candidates)
        max_cached = std::max(max_cached, candidate->cache.cached_tokens(request.prefix));
    if (max_cached == 0)
        return;
    const auto is_warm = [&](const engine_state* candidate) {
        return candidate->cache.cached_tokens(request.prefix) == max_cached &&
               candidate->prefill_wait() <= max_warm_wait;
    };
    if (!std::any_of(candidates.begin(), candidates.end(), is_warm))
        return;
    std::erase_if(candidates, [&](const engine_state* candidate) { return !is_warm(candidate); });
}

engine_state* placement_owner::choose(owned_cell& cell, const queued_request& queued)
{
    const route_spec* route = this->config.find_route(queued.received.route);
    if (route == nullptr)
        return nullptr;
    const bool panic_mode = all_ejected(cell);
    std::vector<engine_state*> candidates;
    for (auto& [name, engine] : cell.engines) {
        if (!serves(engine.info, *route, queued.received.version) ||
            is_avoided(queued.received, name))
            continue;
        if (can_accept(cell, engine, queued, panic_mode))
            candidates.push_back(&engine);
    }
    prefer_warm_engines(candidates, queued.received);
    engine_state* best = nullptr;
    duration best_time{0};
    for (engine_state* candidate : candidates) {
        const duration time = candidate->time_to_finish(
            uncached_tokens(*candidate, queued.received), queued.received.output_tokens);
        if (best != nullptr && time >= best_time)
            continue;
        best = candidate;
        best_time = time;
    }
    return best;
}

} // namespace ragwortcove::core
