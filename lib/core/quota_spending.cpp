#include "ragwortcove/core/quota_spending.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time over which the units of one period are added up.
static constexpr duration period_length = 250ms;
/// Number of periods in a report: longer than a full socket of the accounting node delays its
/// messages.
static constexpr std::uint64_t reported_periods = 16;
/// Time after which what a quiet process has reported is removed.
static constexpr duration account_lifetime = 30s;

static std::uint64_t period_at(time_point now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch() / period_length);
}

void quota_spending_log::add(const team_name& team, double units, time_point now)
{
    this->granted[team][period_at(now)] += units;
}

std::vector<quota_spending> quota_spending_log::reports(time_point now)
{
    const std::uint64_t newest = period_at(now);
    for (auto& [team, periods] : this->granted)
        std::erase_if(periods, [newest](const auto& each) {
            return each.first + reported_periods <= newest;
        });
    std::erase_if(this->granted, [](const auto& each) { return each.second.empty(); });
    std::vector<quota_spending> made;
    for (const auto& [team, periods] : this->granted) {
        quota_spending report{team, newest, {}};
        report.units.resize(newest - periods.begin()->first + 1);
        for (const auto& [period, units] : periods)
            report.units.at(newest - period) = units;
        made.push_back(std::move(report));
    }
    return made;
}

void quota_spending_ledger::begin(const team_name& team, time_point now)
{
    this->counted_since.try_emplace(team, now);
}

void quota_spending_ledger::end(const team_name& team)
{
    this->counted_since.erase(team);
}

// A report that arrives after a later one holds nothing that the later one does not. What was
// granted before this node began to count is not taken off the units with which it began.
double quota_spending_ledger::add(const node_name& reporter, incarnation run,
                                  const quota_spending& report, time_point now)
{
    const auto since = this->counted_since.find(report.team);
    if (since == this->counted_since.end())
        return 0.0;
    account& known = this->accounts[{reporter, run, report.team}];
    if (report.last_period < known.last_period)
        return 0.0;
    known.last_period = report.last_period;
    known.reported_at = now;
    std::erase_if(known.counted, [&](const auto& each) {
        return each.first + reported_periods <= report.last_period;
    });
    const std::uint64_t count = std::min({static_cast<std::uint64_t>(report.units.size()),
                                          reported_periods, report.last_period + 1});
    double added = 0.0;
    for (std::uint64_t age = 0; age < count; ++age) {
        const double units = report.units.at(age);
        double& counted = known.counted[report.last_period - age];
        if (!std::isfinite(units) || units <= counted)
            continue;
        if (now - static_cast<duration::rep>(age) * period_length >= since->second)
            added += units - counted;
        counted = units;
    }
    return added;
}

void quota_spending_ledger::forget_quiet(time_point now)
{
    std::erase_if(this->accounts, [now](const auto& each) {
        return now - each.second.reported_at > account_lifetime;
    });
}

} // namespace ragwortcove::core
