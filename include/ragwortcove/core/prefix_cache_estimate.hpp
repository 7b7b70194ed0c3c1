/// \file
/// Estimated contents of one engine's prefix cache.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <span>

namespace ragwortcove::core {

/// Bounded estimate: prefixes that were sent to the engine, evicted in least-recently-used order as
/// the engine does, and corrected by the cache events that the engine reports.
class prefix_cache_estimate {
public:
    explicit prefix_cache_estimate(std::uint32_t capacity_tokens);
    /// Number of tokens of this prefix that the engine is estimated to have cached.
    [[nodiscard]] std::uint32_t cached_tokens(std::span<const prefix_hash> prefix) const;
    /// Records that the engine has computed this prefix or is about to.
    void use(std::span<const prefix_hash> prefix);
    /// Adds a block, or marks it as the most recently used one.
    void add(prefix_hash block);
    void remove(prefix_hash block);
    /// Empties the estimate, after a restart of the engine.
    void clear();
    [[nodiscard]] std::size_t blocks() const { return this->by_hash.size(); }

private:
    std::size_t max_blocks;
    /// Most recently used first.
    std::list<prefix_hash> recency;
    std::map<prefix_hash, std::list<prefix_hash>::iterator> by_hash;
};

} // namespace ragwortcove::core
