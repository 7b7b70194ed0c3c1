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
    const double usable = usable_share * (earned + this->allowance(nodes, now));
    return static_cast<double>(counts.repeats.size()) + 1.0 <= usable;
}

double repeat_budget::allowance(std::size_t nodes, time_point now) const
{
    if (nodes == 0 || now < this->allowance_from)
        return 0.0;
    return this->limits.allowance / static_cast<double>(nodes);
}

bool repeat_budget::spend(const target_name& target, std::size_t nodes, time_point now)
{
    if (!this->has_left(target, nodes, now))
        return false;
    this->by_target[target].repeats.push_back(now);
    return true;
}

void repeat_budget::give_back(const target_name& target, time_point spent_at)
{
    std::deque<time_point>& repeats = this->by_target[target].repeats;
    const auto spent = std::find(repeats.begin(), repeats.end(), spent_at);
    if (spent != repeats.end())
        repeats.erase(spent);
}

} // namespace ragwortcove::core
