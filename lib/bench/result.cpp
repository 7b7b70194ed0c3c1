#include "ragwortcove/bench/result.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::bench {

std::string_view to_string(promise value)
{
    switch (value) {
    case promise::dispatched_once:
        return "dispatched_once";
    case promise::key_runs_once:
        return "key_runs_once";
    case promise::not_run_is_true:
        return "not_run_is_true";
    case promise::own_answer:
        return "own_answer";
    case promise::whole_answer:
        return "whole_answer";
    case promise::tier_order:
        return "tier_order";
    case promise::leaving_gets_nothing:
        return "leaving_gets_nothing";
    case promise::revision_never_reverts:
        return "revision_never_reverts";
    case promise::drain_cuts_nothing:
        return "drain_cuts_nothing";
    }
    return "unknown";
}

percentiles percentiles_of(std::vector<core::duration> values)
{
    percentiles found;
    found.count = values.size();
    if (values.empty()) {
        return found;
    }
    std::sort(values.begin(), values.end());
    const auto value_at = [&](double share) {
        const double position = std::ceil(share * static_cast<double>(values.size()));
        const auto index = static_cast<std::size_t>(std::max(position, 1.0)) - 1;
        return values[std::min(index, values.size() - 1)];
    };
    found.p50 = value_at(0.50);
    found.p95 = value_at(0.95);
    found.p99 = value_at(0.99);
    return found;
}

std::uint64_t run_result::offered_of_rank(std::uint32_t rank) const
{
    std::uint64_t sum = 0;
    for (const route_result& route : this->routes) {
        sum += route.rank == rank ? route.offered : 0;
    }
    return sum;
}

std::uint64_t run_result::answered_of_rank(std::uint32_t rank) const
{
    std::uint64_t sum = 0;
    for (const route_result& route : this->routes) {
        sum += route.rank == rank ? route.answered : 0;
    }
    return sum;
}

std::uint64_t run_result::offered() const
{
    std::uint64_t sum = 0;
    for (const route_result& route : this->routes) {
        sum += route.offered;
    }
    return sum;
}

std::uint64_t run_result::answered() const
{
    std::uint64_t sum = 0;
    for (const route_result& route : this->routes) {
        sum += route.answered;
    }
    return sum;
}

} // namespace ragwortcove::bench
