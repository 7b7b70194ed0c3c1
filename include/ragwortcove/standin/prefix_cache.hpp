/// \file
/// Bounded prefix cache of a stand-in engine.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace ragwortcove::standin {

/// Blocks that one insertion added and pushed out.
struct cache_change {
    std::vector<core::prefix_hash> added;
    std::vector<core::prefix_hash> removed;
};

/// Least-recently-used set of prefix blocks.
class prefix_cache {
public:
    explicit prefix_cache(std::uint32_t capacity_tokens);

    /// Tokens of the longest cached prefix; the blocks found count as used.
    std::uint32_t find(std::span<const core::prefix_hash> prefix);
    /// The same without using the blocks.
    [[nodiscard]] std::uint32_t count(std::span<const core::prefix_hash> prefix) const;
    cache_change insert(std::span<const core::prefix_hash> prefix);
    void clear();
    [[nodiscard]] std::size_t blocks() const { return this->by_hash.size(); }

private:
    using block_list = std::list<std::uint64_t>;

    void touch(block_list::iterator block);

    std::size_t capacity_blocks;
    /// Most recently used block first.
    block_list by_use;
    std::unordered_map<std::uint64_t, block_list::iterator> by_hash;
};

} // namespace ragwortcove::standin
