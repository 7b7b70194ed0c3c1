#include "ragwortcove/core/version_comparison.hpp"

#include "seconds.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {
/// Rates that a comparison tests against each other.
struct comparison_rates {
    /// Bounds of the rate of bad results of a version that is still good.
    double min_good = 0.0;
    double max_good = 0.0;
    /// Minimum rate of a bad version.
    double min_bad = 0.0;
    /// Factors of the old version's rate that is still good, and of that one that is bad.
    double good_factor = 1.0;
    double bad_factor = 2.0;
};
} // namespace

/// Taken off when the sums of two kinds of lateness are added.
static constexpr double two_kinds_margin = 1.0;
static constexpr double max_comparison_sum = 12.0;

/// Factor of the rates of late results when the new version has all requests, perhaps on fewer
/// upstreams than the old one had.
static constexpr double full_load_factor = 1.15;

static constexpr comparison_rates failure_rates{0.03, 0.35, 0.25, 2.0, 3.0};
static constexpr comparison_rates late_rates{0.085, 0.40, 0.195, 1.6, 2.2};

/// Half-life of the old version's results, and the weight of the prior.
static constexpr double old_half_life_s = 3.0;
static constexpr double prior_results = 20.0;

/// Bad results within this time count as one burst, of which this many count, or this many for
/// each good one.
static constexpr duration burst_window = 250ms;
static constexpr double burst_results = 2.0;
static constexpr double burst_per_good = 0.7;

static const comparison_rates& rates_of(version_comparison::result_kind kind)
{
    return kind == version_comparison::result_kind::response ? failure_rates : late_rates;
}

version_comparison::version_comparison(result_kind compared)
    : kind{compared}, test{max_comparison_sum}
{
}

void version_comparison::add_old(std::uint32_t bad, std::uint32_t good, time_point now)
{
    const double kept =
        std::exp2(-seconds(std::max(now - this->old_at, duration{0})) / old_half_life_s);
    this->old.bad = this->old.bad * kept + bad;
    this->old.good = this->old.good * kept + good;
    this->old_at = now;
}

double version_comparison::good_rate() const
{
    const comparison_rates& rates = rates_of(this->kind);
    const double results = this->old.bad + this->old.good;
    const double prior_bad = prior_results * rates.min_good / rates.good_factor;
    const double seen = (this->old.bad + prior_bad) / (results + prior_results);
    return std::clamp(rates.good_factor * seen, rates.min_good, rates.max_good);
}

void version_comparison::start_burst(time_point now)
{
    this->burst = {};
    this->burst_counted = 0.0;
    this->burst_until = now + burst_window;
}

void version_comparison::add_new(std::uint32_t bad, std::uint32_t good, double rate_factor,
                                 time_point now)
{
    if (bad + good == 0)
        return;
    if (now >= this->burst_until)
        this->start_burst(now);
    this->burst.bad += bad;
    this->burst.good += good;
    const double max_counted = std::max(burst_results, burst_per_good * this->burst.good);
    const double counted = std::floor(std::min(this->burst.bad, max_counted) - this->burst_counted);
    const auto added = static_cast<std::uint32_t>(std::max(counted, 0.0));
    this->burst_counted += added;
    const comparison_rates& rates = rates_of(this->kind);
    const double good_rate = std::min(rate_factor * this->good_rate(), rates.max_good);
    const double bad_rate = std::max(rate_factor * rates.min_bad, rates.bad_factor * good_rate);
    this->test.add(added, good, good_rate, bad_rate);
}

void route_comparison::add(const rollout_route_counts& added, bool has_all_requests, time_point now)
{
    const version_counts& from = added.old_version;
    this->responses.add_old(from.failed, from.passed, now);
    this->first_parts.add_old(from.first_parts_late, from.first_parts_on_time, now);
    this->streams.add_old(from.streams_late, from.streams_on_time, now);
    const version_counts& to = added.new_version;
    const double factor = has_all_requests ? full_load_factor : 1.0;
    this->responses.add_new(to.failed, to.passed, 1.0, now);
    this->first_parts.add_new(to.first_parts_late, to.first_parts_on_time, factor, now);
    this->streams.add_new(to.streams_late, to.streams_on_time, factor, now);
}

double route_comparison::max_sum() const
{
    const double slow = this->first_parts.sum() + this->streams.sum() - two_kinds_margin;
    return std::max({this->responses.sum(), this->first_parts.sum(), this->streams.sum(), slow});
}

} // namespace ragwortcove::core
