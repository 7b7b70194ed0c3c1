#include "network.hpp"

#include <algorithm>

namespace ragwortcove::bench {

using core::duration;
using core::time_point;

/// Between two places of one region.
static constexpr duration region_delay = std::chrono::milliseconds{1};
/// From callers to the region.
static constexpr duration caller_delay = std::chrono::milliseconds{3};
static constexpr duration most_jitter = std::chrono::microseconds{300};

duration network::draw_delay(const place& from, const place& to)
{
    const bool outside = from.kind == place_kind::caller || to.kind == place_kind::caller;
    const duration base = outside ? caller_delay : region_delay;
    return base + this->random.between(duration{0}, most_jitter);
}

bool network::carries(const place& from, const place& to, time_point now) const
{
    const auto cuts_link = [&](const link_cut& cut) {
        return now < cut.until && cut.from.contains(from) && cut.to.contains(to);
    };
    return std::none_of(this->cuts.begin(), this->cuts.end(), cuts_link);
}

bool network::carries_both_ways(const place& one, const place& other, time_point now) const
{
    return this->carries(one, other, now) && this->carries(other, one, now);
}

void network::cut(std::set<place> from, std::set<place> to, time_point until)
{
    this->cuts.push_back({std::move(from), std::move(to), until});
}

void network::lose_datagrams(double rate, time_point until)
{
    this->datagram_loss_rate = rate;
    this->datagram_loss_until = until;
}

bool network::loses_datagram(time_point now)
{
    return now < this->datagram_loss_until && this->random.chance(this->datagram_loss_rate);
}

} // namespace ragwortcove::bench
