#include "ragwortcove/core/prefix_cache_estimate.hpp"

#include "ragwortcove/core/request.hpp"

namespace ragwortcove::core {

/// Maximum number of blocks stored for one engine of any size; bounds the owner's own memory.
static constexpr std::size_t max_blocks_per_engine = 16384;

prefix_cache_estimate::prefix_cache_estimate(std::uint32_t capacity_tokens)
    : max_blocks{
          std::min<std::size_t>(capacity_tokens / prefix_block_tokens, max_blocks_per_engine)}
{
}

std::uint32_t prefix_cache_estimate::cached_tokens(std::span<const prefix_hash> prefix) const
{
    std::uint32_t tokens = 0;
    // Hashes are chained: a block counts only when all blocks before it are cached.
    for (const prefix_hash& block : prefix) {
        if (!this->by_hash.contains(block))
            break;
        tokens += prefix_block_tokens;
    }
    return tokens;
}

void prefix_cache_estimate::add(prefix_hash block)
{
    if (this->max_blocks == 0)
        return;
    const auto found = this->by_hash.find(block);
    if (found != this->by_hash.end()) {
        this->recency.splice(this->recency.begin(), this->recency, found->second);
        return;
    }
    this->recency.push_front(block);
    this->by_hash[block] = this->recency.begin();
    if (this->by_hash.size() <= this->max_blocks)
        return;
    this->by_hash.erase(this->recency.back());
    this->recency.pop_back();
}

// Adds the last block first, so that the start of a prefix is the most recently used and is evicted
// after its end.
void prefix_cache_estimate::use(std::span<const prefix_hash> prefix)
{
    for (auto block = prefix.rbegin(); block != prefix.rend(); ++block)
        this->add(*block);
}

void prefix_cache_estimate::remove(prefix_hash block)
{
    const auto found = this->by_hash.find(block);
    if (found == this->by_hash.end())
        return;
    this->recency.erase(found->second);
    this->by_hash.erase(found);
}

void prefix_cache_estimate::clear()
{
    this->recency.clear();
    this->by_hash.clear();
}

} // namespace ragwortcove::core
