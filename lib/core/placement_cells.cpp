#include "ragwortcove/core/placement_cells.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <bit>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Upstreams in one cell, at most. One owner on a small VM can place requests for this many.
static constexpr std::size_t max_upstreams_per_cell = 24;
/// How long the load that a cell's owner reported is used.
static constexpr duration load_validity = 1s;
/// Free slots assumed of a cell without a recent load report.
static constexpr double default_free_slots = 4.0;
/// Cells that may deny a request before it ends, unless another one has a free slot.
static constexpr std::size_t max_denials = 2;
/// Wait of a full cell without queued requests, about; a cell with twice the wait is chosen half as
/// often, so that a full cell gets requests in proportion to the slots that become free there.
static constexpr duration typical_wait = 10ms;
static constexpr duration min_wait = 1ms;
/// Weight of a cell with neither free slots nor queued requests; a free slot has the weight 1.
static constexpr double full_cell_weight = 0.1;

// A power of two: when the number of upstreams changes enough, every cell is split into two halves
// or joined with another, and only then do upstreams change their cell.
cell_index placement_cell_count(std::size_t upstreams)
{
    const std::size_t needed = (upstreams + max_upstreams_per_cell - 1) / max_upstreams_per_cell;
    return static_cast<cell_index>(std::bit_ceil(std::max<std::size_t>(needed, 1)));
}

cell_index placement_cell_of(const upstream_name& upstream, cell_index count)
{
    return static_cast<cell_index>(stable_hash(upstream.value) % count);
}

std::map<target_name, cell_index> count_cells(std::span<const announced_upstream> all)
{
    std::map<target_name, std::size_t> upstreams;
    for (const announced_upstream& each : all)
        ++upstreams[pool_of(each)];
    std::map<target_name, cell_index> cell_counts;
    for (const auto& [pool, count] : upstreams)
        cell_counts[pool] = placement_cell_count(count);
    return cell_counts;
}

std::vector<cell_chooser::known_load>& cell_chooser::loads_for(const target_name& pool,
                                                               cell_index count)
{
    std::vector<known_load>& loads = this->by_pool[pool];
    if (loads.size() != count)
        loads.assign(count, {});
    return loads;
}

void cell_chooser::record_load(const target_name& pool, cell_index cell, const cell_load& load,
                               time_point now, std::uint32_t rank)
{
    const auto found = this->by_pool.find(pool);
    if (found == this->by_pool.end() || cell >= found->second.size())
        return;
    known_load& known = found->second[cell];
    known.load = load;
    known.received_at = now;
    known.known = true;
    if (load.wait)
        known.waits[rank] = {*load.wait, now};
    else
        known.waits.erase(rank);
}

std::optional<duration> cell_chooser::wait_of(const known_load& cell, std::uint32_t rank,
                                              time_point now)
{
    const auto found = cell.waits.find(rank);
    if (found == cell.waits.end() || now - found->second.received_at > load_validity)
        return std::nullopt;
    return found->second.wait;
}

static bool is_among(std::span<const cell_index> tried, cell_index cell)
{
    return std::find(tried.begin(), tried.end(), cell) != tried.end();
}

// Draws a cell at random by weight. Always choosing the best one would send the requests of all
// nodes to the same cell at once, since every node sees almost the same loads.
static cell_index draw_weighted(std::span<const double> weights, random_engine& random)
{
    double total = 0.0;
    for (const double each : weights)
        total += each;
    double point = uniform(random) * total;
    cell_index last = 0;
    for (cell_index cell = 0; cell < weights.size(); ++cell) {
        if (weights[cell] <= 0.0)
            continue;
        last = cell;
        point -= weights[cell];
        if (point < 0.0)
            return cell;
    }
    return last;
}

static double weight_of_wait(duration wait)
{
    return full_cell_weight * static_cast<double>(typical_wait.count()) /
           static_cast<double>(std::max(wait, min_wait).count());
}

// Until the owner's next report, this node's own requests count as placed or queued.
void cell_chooser::count_placement(known_load& estimate) const
{
    if (estimate.load.free_slots > 0)
        --estimate.load.free_slots;
    else
        ++estimate.load.waiting;
}

cell_index cell_chooser::choose(const target_name& pool, cell_index count,
                                std::span<const cell_index> tried, random_engine& random,
                                time_point now, std::uint32_t rank)
{
    if (count <= 1)
        return 0;
    std::vector<known_load>& loads = this->loads_for(pool, count);
    std::vector<double> weights(count, 0.0);
    for (cell_index cell = 0; cell < count; ++cell) {
        const known_load& each = loads[cell];
        if (is_among(tried, cell) && tried.size() < count)
            continue;
        const bool fresh = each.known && now - each.received_at <= load_validity;
        const std::optional<duration> wait =
            this->uses_waits ? wait_of(each, rank, now) : std::nullopt;
        if (!fresh)
            weights[cell] = default_free_slots;
        else if (each.load.free_slots > 0)
            weights[cell] = static_cast<double>(each.load.free_slots);
        else if (wait)
            weights[cell] = weight_of_wait(*wait);
        else
            weights[cell] = full_cell_weight / (1.0 + static_cast<double>(each.load.waiting));
    }
    const cell_index chosen = draw_weighted(weights, random);
    this->count_placement(loads[chosen]);
    return chosen;
}

std::optional<cell_index> cell_chooser::choose_free(const target_name& pool, cell_index count,
                                                    std::span<const cell_index> tried,
                                                    random_engine& random, time_point now)
{
    if (count <= 1)
        return std::nullopt;
    std::vector<known_load>& loads = this->loads_for(pool, count);
    std::vector<double> weights(count, 0.0);
    bool any_free = false;
    for (cell_index cell = 0; cell < count; ++cell) {
        const known_load& each = loads[cell];
        const bool fresh = each.known && now - each.received_at <= load_validity;
        if (!fresh || each.load.free_slots == 0 || is_among(tried, cell))
            continue;
        weights[cell] = static_cast<double>(each.load.free_slots);
        any_free = true;
    }
    if (!any_free)
        return std::nullopt;
    const cell_index chosen = draw_weighted(weights, random);
    this->count_placement(loads[chosen]);
    return chosen;
}

std::optional<cell_index> cell_chooser::choose_after_denial(const target_name& pool,
                                                            cell_index count,
                                                            const cell_retry& retry,
                                                            random_engine& random, time_point now)
{
    const std::optional<cell_index> free =
        this->choose_free(pool, count, retry.denied, random, now);
    if (free || !this->uses_waits || count <= 1 || retry.denied.size() >= max_denials)
        return free;
    std::vector<known_load>& loads = this->loads_for(pool, count);
    std::vector<double> weights(count, 0.0);
    bool any_in_time = false;
    for (cell_index cell = 0; cell < count; ++cell) {
        const std::optional<duration> wait = wait_of(loads[cell], retry.rank, now);
        if (!wait || *wait >= retry.time_left || is_among(retry.denied, cell))
            continue;
        weights[cell] = weight_of_wait(*wait);
        any_in_time = true;
    }
    if (!any_in_time)
        return std::nullopt;
    const cell_index chosen = draw_weighted(weights, random);
    this->count_placement(loads[chosen]);
    return chosen;
}

} // namespace ragwortcove::core
