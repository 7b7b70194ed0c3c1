#include "ragwortcove/core/repeat_budget.hpp"

#include <algorithm>

namespace ragwortcove::core {

/// Share of the budget that is used, less than 1 because requests and their repeats may fall into
/// different windows.
static constexpr double usable_share = 0.75;

void repeat_budget::expire(window_counts& counts, time_point now) const
{
    const auto drop_old = [&](std::deque<time_point>& times) {
        while (!times.empty() && now - times.front() > this->limits.window)
            times.pop_front();
    };
    drop_old(counts.requests);
    drop_old(counts.repeats);
}

void repeat_budget::count_request(const target_name& target, time_point now)
{
    window_counts& counts = this->by_target[target];
    this->expire(counts, now);
    counts.requests.push_back(now);
}

bool repeat_budget::has_left(const target_name& target, std::size_t nodes, time_point now)
{
    window_counts& counts = this->by_target[target];
    this->expire(counts, now);
    const double earned = this->limits.share * static_cast<double>(counts.requests.size());
    const double allowance =
        this->limits.allowance / static_cast<double>(std::max<std::size_t>(nodes, 1));
    return static_cast<double>(counts.repeats.size()) + 1.0 <= usable_share * (earned + allowance);
}

bool repeat_budget::spend(const target_name& target, std::size_t nodes, time_point now)
{
    if (!this->has_left(target, nodes, now))
        return false;
    this->by_target[target].repeats.push_back(now);
    return true;
}

} // namespace ragwortcove::core
