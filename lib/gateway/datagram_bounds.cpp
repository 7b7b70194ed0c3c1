#include "datagram_bounds.hpp"

#include "gateway.pb.h"
#include "ragwortcove/core/types.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;

/// Longest time that a message can state. Times are added to others, and must not overflow.
static constexpr core::duration max_time = 24h * 365 * 100;
/// Longest time that a request may take to another failure domain, and number of such domains.
static constexpr core::duration max_way = 10s;
static constexpr int max_ways = 64;
/// Most units of a quota that a message can state.
static constexpr double max_units = 1e15;

/// A time may have passed already, and is negative then.
static bool is_time(std::int64_t stated)
{
    return stated >= -max_time.count() && stated <= max_time.count();
}

static bool is_units(double stated)
{
    return std::isfinite(stated) && std::abs(stated) <= max_units;
}

static bool is_charge(double stated)
{
    return is_units(stated) && stated >= 0.0;
}

static bool is_within_bounds(const wire::PlacementAsk& body)
{
    return is_time(body.goal_left()) && is_time(body.patience()) && is_time(body.longest_pause()) &&
           is_time(body.time_left());
}

static bool is_within_bounds(const wire::PlacementRelease& body)
{
    return is_time(body.first_part_after()) && is_time(body.between_events());
}

static bool is_within_bounds(const wire::QuotaAsk& body)
{
    return is_charge(body.cost()) && is_time(body.most_wait());
}

static bool is_within_bounds(const wire::QuotaSpending& body)
{
    return std::all_of(body.units().begin(), body.units().end(), is_charge);
}

static bool is_within_bounds(const wire::RolloutReport& body)
{
    return is_time(body.order_age()) && is_time(body.counted_for());
}

static bool is_way(const wire::PlacementHeld::Way& body)
{
    return body.way() >= 0 && body.way() <= max_way.count();
}

static bool is_within_bounds(const wire::PlacementHeld& body)
{
    return body.ways_size() <= max_ways &&
           std::all_of(body.ways().begin(), body.ways().end(), is_way);
}

bool is_within_bounds(const wire::PeerDatagram& message)
{
    switch (message.body_case()) {
    case wire::PeerDatagram::kAsk:
        return is_within_bounds(message.ask());
    case wire::PeerDatagram::kDenial:
        return is_time(message.denial().retry_after());
    case wire::PeerDatagram::kStarted:
        return is_time(message.started().after());
    case wire::PeerDatagram::kHeld:
        return is_within_bounds(message.held());
    case wire::PeerDatagram::kRelease:
        return is_within_bounds(message.release());
    case wire::PeerDatagram::kQuotaAsk:
        return is_within_bounds(message.quota_ask());
    case wire::PeerDatagram::kQuotaAnswer:
        return is_time(message.quota_answer().wait());
    case wire::PeerDatagram::kQuotaReturn:
        return is_units(message.quota_return().cost());
    case wire::PeerDatagram::kQuotaSpending:
        return is_within_bounds(message.quota_spending());
    case wire::PeerDatagram::kDigest:
        return is_time(message.digest().doubt());
    case wire::PeerDatagram::kDelta:
        return is_time(message.delta().doubt());
    case wire::PeerDatagram::kRolloutReport:
        return is_within_bounds(message.rollout_report());
    case wire::PeerDatagram::kGrant:
    case wire::PeerDatagram::kQueued:
    case wire::PeerDatagram::kWithdrawal:
    case wire::PeerDatagram::kRolloutDirective:
    case wire::PeerDatagram::kUpstreamLeaving:
    case wire::PeerDatagram::kPartRecords:
    case wire::PeerDatagram::kPartTrialAsk:
    case wire::PeerDatagram::kPartTrialAnswer:
    case wire::PeerDatagram::BODY_NOT_SET:
        return true;
    }
    return false;
}

} // namespace ragwortcove::gateway
