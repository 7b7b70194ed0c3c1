#include "ragwortcove/core/pace_comparison.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

/// A new upstream is much slower than an old one when its time exceeds that one's by this factor.
static constexpr double slow_factor = 2.0;
/// Upstreams of each version that the comparison needs.
static constexpr std::size_t min_old_upstreams = 3;
static constexpr std::size_t min_new_upstreams = 3;
static constexpr std::size_t usual_new_upstreams = 5;
/// Where the upstreams of either version have two speeds in the same mix, at most a quarter of the
/// pairs are slow for a good version, and at least three quarters for one that is several times
/// slower. A few upstreams may all be of the slower kind.
static constexpr double slow_part = 0.6;
static constexpr double slow_part_of_few = 0.75;
static constexpr double suspicious_part = 0.5;
/// Weight of the newest report of an upstream.
static constexpr double newest_weight = 0.3;
/// Bound on what is kept.
static constexpr std::size_t max_upstreams = 1024;
static constexpr double min_time_ms = 0.001;

void pace_comparison::add(const upstream_pace& seen)
{
    const double log_time = std::log(std::max(seen.time_ms, min_time_ms));
    const auto found = this->upstreams.find(seen.upstream);
    if (found != this->upstreams.end()) {
        found->second.log_time += newest_weight * (log_time - found->second.log_time);
        return;
    }
    if (this->upstreams.size() < max_upstreams)
        this->upstreams.emplace(seen.upstream, known_upstream{seen.runs_new_version, log_time});
}

std::vector<double> pace_comparison::log_times(bool of_new_version) const
{
    std::vector<double> found;
    for (const auto& [name, each] : this->upstreams) {
        if (each.runs_new_version == of_new_version)
            found.push_back(each.log_time);
    }
    return found;
}

double pace_comparison::slow_pairs() const
{
    const std::vector<double> old_times = this->log_times(false);
    const std::vector<double> new_times = this->log_times(true);
    if (old_times.size() < min_old_upstreams || new_times.empty())
        return 0.0;
    std::size_t slow = 0;
    for (const double time : new_times) {
        slow += static_cast<std::size_t>(
            std::count_if(old_times.begin(), old_times.end(), [&](double old_time) {
                return time > old_time + std::log(slow_factor);
            }));
    }
    return static_cast<double>(slow) / static_cast<double>(old_times.size() * new_times.size());
}

bool pace_comparison::is_slow() const
{
    const std::size_t count = this->log_times(true).size();
    if (count < min_new_upstreams)
        return false;
    return this->slow_pairs() >= (count < usual_new_upstreams ? slow_part_of_few : slow_part);
}

bool pace_comparison::is_suspicious() const
{
    return this->slow_pairs() >= suspicious_part;
}

} // namespace ragwortcove::core
