#include "ragwortcove/core/rank_service.hpp"

#include <chrono>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Half-life of the counts.
static constexpr duration half_life = 3s;
/// A rank is starved when its share of placed requests is below this fraction of that of all
/// requests.
static constexpr double starvation_ratio = 0.3;
/// Decayed number of requests below which a rank does not count as starved.
static constexpr double min_requests = 8.0;

void rank_service::decay(time_point now)
{
    const double elapsed = static_cast<double>((now - this->decayed_at).count());
    const double decay_factor = std::exp2(-elapsed / static_cast<double>(half_life.count()));
    this->decayed_at = now;
    this->all.asked *= decay_factor;
    this->all.placed *= decay_factor;
    for (auto& [rank, each] : this->by_rank) {
        each.asked *= decay_factor;
        each.placed *= decay_factor;
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
    const double overall = this->all.placed / this->all.asked;
    return own < starvation_ratio * overall;
}

} // namespace ragwortcove::core
