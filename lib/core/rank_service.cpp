#include "ragwortcove/core/rank_service.hpp"

#include <chrono>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Half of the weight of what was seen is lost in this time.
static constexpr duration half_life = 3s;
/// A rank is starved when it is served less often than this part of what all requests are.
static constexpr double starvation_ratio = 0.3;
/// Requests of a rank, weighed by age, from which on it is judged.
static constexpr double min_requests = 8.0;

void rank_service::decay(time_point now)
{
    const double passed = static_cast<double>((now - this->decayed_at).count());
    const double kept = std::exp2(-passed / static_cast<double>(half_life.count()));
    this->decayed_at = now;
    this->all.asked *= kept;
    this->all.placed *= kept;
    for (auto& [rank, each] : this->by_rank) {
        each.asked *= kept;
        each.placed *= kept;
    }
}

void rank_service::record_request(std::uint32_t rank, time_point now)
{
    this->decay(now);
    this->all.asked += 1.0;
    this->by_rank[rank].asked += 1.0;
}

void rank_service::record_placement(std::uint32_t rank, time_point now)
{
    this->decay(now);
    this->all.placed += 1.0;
    this->by_rank[rank].placed += 1.0;
}

bool rank_service::is_starved(std::uint32_t rank) const
{
    const auto found = this->by_rank.find(rank);
    if (found == this->by_rank.end() || found->second.asked < min_requests)
        return false;
    const double own = found->second.placed / found->second.asked;
    const double usual = this->all.placed / this->all.asked;
    return own < starvation_ratio * usual;
}

} // namespace ragwortcove::core
