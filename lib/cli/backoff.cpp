#include "ragwortcove/cli/backoff.hpp"

#include <algorithm>

namespace ragwortcove::cli {

static constexpr std::chrono::microseconds longest_bound = std::chrono::seconds{2};

std::chrono::microseconds backoff::next()
{
    std::uniform_int_distribution<std::chrono::microseconds::rep> any(0, this->bound.count());
    this->bound = std::min(this->bound * 2, longest_bound);
    return std::chrono::microseconds{any(this->random)};
}

} // namespace ragwortcove::cli
