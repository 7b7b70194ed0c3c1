#include "ragwortcove/core/context.hpp"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cassert>

namespace ragwortcove::core {

// Boost.Random's distributions give the same numbers with every standard library, unlike those of
// the standard library itself.

double uniform(random_engine& random)
{
    return boost::random::uniform_01<double>()(random);
}

std::uint64_t uniform_below(random_engine& random, std::uint64_t bound)
{
    assert(bound > 0 && "an empty range has no number");
    return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

duration full_jitter(random_engine& random, duration base, std::uint32_t attempt,
                     duration max_delay)
{
    constexpr std::uint32_t max_doublings = 16;
    const duration ceiling =
        std::min(max_delay, base * (std::int64_t{1} << std::min(attempt, max_doublings)));
    return duration{
        static_cast<duration::rep>(uniform(random) * static_cast<double>(ceiling.count()))};
}

} // namespace ragwortcove::core
