#include "ragwortcove/core/admission_policy.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time constant of the averages of the arrival rates: long enough for a stable number, and of the
/// order of the time for which an engine's slot is in use.
static constexpr double rate_window_s = 1.0;
/// Weight of a new observation of a slot time.
static constexpr double learning_rate = 0.1;
/// Share of a cell's slots that all requests use from which slots are kept free for on-time ones.
static constexpr double reserving_load = 0.7;
/// Arrivals for which slots are kept free: those of the time that an on-time request can wait for
/// the next slot without missing its objective.
static constexpr double reserve_window_s = 0.1;
/// Largest share of the slots that is kept free, as a divisor.
static constexpr std::uint32_t max_reserve_divisor = 8;
/// Smallest share of the slots that counts as left over by a load.
static constexpr double min_spare_share = 0.02;
/// A rank is mostly late when fewer of its arrivals than this are on time.
static constexpr double few_on_time = 0.1;
/// An overload has ended when no request was denied for this long.
static constexpr duration calm_after = 1s;
static constexpr duration min_retry = 200ms;
static constexpr duration max_retry = 5s;

static double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

static duration from_seconds(double span)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(span));
}

double admission_policy::rate_at(const arrival_rate& rate, time_point now)
{
    return rate.per_second * std::exp(-to_seconds(now - rate.updated_at) / rate_window_s);
}

void admission_policy::add_arrival(arrival_rate& rate, time_point now)
{
    rate.per_second = rate_at(rate, now) + 1.0 / rate_window_s;
    rate.updated_at = now;
}

void admission_policy::record_on_time(std::uint32_t rank, time_point now)
{
    add_arrival(this->by_rank[rank].on_time, now);
}

void admission_policy::record_late(std::uint32_t rank, time_point now)
{
    add_arrival(this->by_rank[rank].late, now);
}

void admission_policy::record_slot_time(std::uint32_t rank, duration held)
{
    const double observed = to_seconds(held);
    const auto update = [observed](double& average) {
        average = average <= 0.0 ? observed : average + learning_rate * (observed - average);
    };
    update(this->by_rank[rank].slot_seconds);
    update(this->mean_slot_seconds);
}

void admission_policy::record_denial(time_point now)
{
    if (now - this->last_denial_at > calm_after)
        this->overloaded_since = now;
    this->last_denial_at = now;
}

double admission_policy::slot_seconds(std::uint32_t rank) const
{
    const auto found = this->by_rank.find(rank);
    const bool known = found != this->by_rank.end() && found->second.slot_seconds > 0.0;
    return known ? found->second.slot_seconds : this->mean_slot_seconds;
}

double admission_policy::load_before(std::uint32_t rank, time_point now) const
{
    double load = 0.0;
    for (auto at = this->by_rank.begin(); at != this->by_rank.end() && at->first < rank; ++at)
        load += rate_at(at->second.on_time, now) * this->slot_seconds(at->first);
    return load;
}

double admission_policy::on_time_load(time_point now) const
{
    double load = 0.0;
    for (const auto& [rank, each] : this->by_rank)
        load += rate_at(each.on_time, now) * this->slot_seconds(rank);
    return load;
}

bool admission_policy::is_mostly_late(std::uint32_t rank, time_point now) const
{
    const auto found = this->by_rank.find(rank);
    if (found == this->by_rank.end())
        return false;
    return rate_at(found->second.on_time, now) < few_on_time * rate_at(found->second.late, now);
}

// The square root covers the usual variation of the number of arrivals in that time.
std::uint32_t admission_policy::reserve(std::uint32_t slots, time_point now) const
{
    double load = this->on_time_load(now);
    double arrivals = 0.0;
    for (const auto& [rank, each] : this->by_rank) {
        load += rate_at(each.late, now) * this->slot_seconds(rank);
        arrivals += rate_at(each.on_time, now) * reserve_window_s;
    }
    if (load < reserving_load * slots)
        return 0;
    const auto wanted = static_cast<std::uint32_t>(std::ceil(std::sqrt(arrivals)));
    return std::min(wanted, std::max(1U, slots / max_reserve_divisor));
}

std::optional<duration> admission_policy::time_to_serve(double work, double load,
                                                        std::uint32_t slots)
{
    const double spare = slots - load;
    if (spare <= min_spare_share * slots)
        return std::nullopt;
    return from_seconds(work / spare);
}

duration admission_policy::retry_after(time_point now) const
{
    return std::clamp(now - this->overloaded_since, min_retry, max_retry);
}

} // namespace ragwortcove::core
