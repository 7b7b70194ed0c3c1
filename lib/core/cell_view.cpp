#include "ragwortcove/core/cell_view.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// Cache affinity is preferred to load while the preferred cell has at most this many more queued
/// tokens per engine than the least loaded one.
static constexpr std::uint32_t affinity_bound_tokens = 100;
/// Index of the prompt's block whose hash determines the preferred cell; the first blocks are often
/// the same for all requests of a route.
static constexpr std::size_t affinity_block = 3;

void cell_view::update(const cell_digest& digest, time_point now)
{
    (void)now;
    this->by_cell[digest.cell] = digest;
}

void cell_view::count_request(const cell_id& cell, std::uint32_t output_tokens)
{
    cell_digest& digest = this->by_cell[cell];
    digest.cell = cell;
    if (digest.free_permits > 0) {
        --digest.free_permits;
        return;
    }
    ++digest.queued;
    digest.queued_tokens += std::max(1U, output_tokens / 16);
}

void cell_view::forget_unknown(const cell_map& known)
{
    std::erase_if(this->by_cell,
                  [&](const auto& entry) { return known.find(entry.first) == nullptr; });
}

static bool is_less_loaded(const cell_digest& left, const cell_digest& right)
{
    if (left.queued_tokens != right.queued_tokens)
        return left.queued_tokens < right.queued_tokens;
    return left.free_permits > right.free_permits;
}

const cell* cell_view::choose(std::span<const cell* const> candidates,
                              std::span<const prefix_hash> prefix) const
{
    if (candidates.empty())
        return nullptr;
    const auto digest_of = [&](const cell* candidate) {
        const auto found = this->by_cell.find(candidate->id);
        return found == this->by_cell.end() ? cell_digest{candidate->id} : found->second;
    };
    const cell* least_loaded = candidates.front();
    for (const cell* candidate : candidates.subspan(1)) {
        if (is_less_loaded(digest_of(candidate), digest_of(least_loaded)))
            least_loaded = candidate;
    }
    if (prefix.empty())
        return least_loaded;
    std::vector<std::string> keys;
    for (const cell* candidate : candidates)
        keys.push_back(candidate->key);
    const prefix_hash block = prefix[std::min(affinity_block, prefix.size() - 1)];
    const cell* preferred = candidates[rendezvous_first(std::to_string(block.value), keys)];
    const cell_digest preferred_digest = digest_of(preferred);
    if (preferred_digest.free_permits > 0)
        return preferred;
    const std::uint32_t bound = digest_of(least_loaded).queued_tokens + affinity_bound_tokens;
    return preferred_digest.queued_tokens <= bound ? preferred : least_loaded;
}

} // namespace ragwortcove::core
