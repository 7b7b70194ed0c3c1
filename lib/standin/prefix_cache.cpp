#include "ragwortcove/standin/prefix_cache.hpp"

#include "ragwortcove/core/request.hpp"

#include <algorithm>

namespace ragwortcove::standin {

prefix_cache::prefix_cache(std::uint32_t capacity_tokens)
    : capacity_blocks(capacity_tokens / core::prefix_block_tokens)
{
}

std::uint32_t prefix_cache::find(std::span<const core::prefix_hash> prefix)
{
    std::uint32_t found = 0;
    for (const core::prefix_hash& hash : prefix) {
        const auto cached = this->by_hash.find(hash.value);
        if (cached == this->by_hash.end()) {
            break;
        }
        this->touch(cached->second);
        ++found;
    }
    return found * core::prefix_block_tokens;
}

std::uint32_t prefix_cache::count(std::span<const core::prefix_hash> prefix) const
{
    const auto missing = [&](const core::prefix_hash& hash) {
        return !this->by_hash.contains(hash.value);
    };
    const auto end = std::find_if(prefix.begin(), prefix.end(), missing);
    return static_cast<std::uint32_t>(end - prefix.begin()) * core::prefix_block_tokens;
}

cache_change prefix_cache::insert(std::span<const core::prefix_hash> prefix)
{
    cache_change change;
    if (prefix.size() > this->capacity_blocks) {
        prefix = prefix.first(this->capacity_blocks);
    }
    // Last block first, so that the first blocks, which most prompts share, are evicted last.
    for (auto hash = prefix.rbegin(); hash != prefix.rend(); ++hash) {
        const auto cached = this->by_hash.find(hash->value);
        if (cached != this->by_hash.end()) {
            this->touch(cached->second);
            continue;
        }
        this->by_use.push_front(hash->value);
        this->by_hash.emplace(hash->value, this->by_use.begin());
        change.added.push_back(*hash);
    }
    while (this->by_use.size() > this->capacity_blocks) {
        change.removed.push_back({this->by_use.back()});
        this->by_hash.erase(this->by_use.back());
        this->by_use.pop_back();
    }
    return change;
}

void prefix_cache::clear()
{
    this->by_use.clear();
    this->by_hash.clear();
}

void prefix_cache::touch(block_list::iterator block)
{
    this->by_use.splice(this->by_use.begin(), this->by_use, block);
}

} // namespace ragwortcove::standin
