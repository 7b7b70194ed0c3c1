#include "ragwortcove/core/rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <numeric>

namespace ragwortcove::core {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<std::size_t> rendezvous_order(std::string_view key,
                                          std::span<const std::string> candidates)
{
    const std::uint64_t seed = stable_hash(key);
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    for (const std::string& candidate : candidates)
        weights.push_back(stable_hash(candidate, seed));
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    // Equal weights are ordered by name, so that every node computes the same order.
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        if (weights[left] != weights[right])
            return weights[left] > weights[right];
        return candidates[left] < candidates[right];
    });
    return order;
}

std::size_t rendezvous_first(std::string_view key, std::span<const std::string> candidates)
{
    assert(!candidates.empty() && "rendezvous needs a candidate");
    const std::uint64_t seed = stable_hash(key);
    std::size_t best = 0;
    std::uint64_t best_weight = stable_hash(candidates[0], seed);
    for (std::size_t index = 1; index < candidates.size(); ++index) {
        const std::uint64_t weight = stable_hash(candidates[index], seed);
        if (weight < best_weight || (weight == best_weight && candidates[best] < candidates[index]))
            continue;
        best = index;
        best_weight = weight;
    }
    return best;
}

} // namespace ragwortcove::core
