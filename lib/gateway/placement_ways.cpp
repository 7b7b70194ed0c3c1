#include "gateway.pb.h"
#include "ragwortcove/gateway/placement_service.hpp"

#include <utility>

namespace ragwortcove::gateway {

// An owner responds at once, with a grant or by saying that the request is queued; a later response
// says nothing. When the first message was lost, the time is too long, but only the shortest
// counts.
void placement_service::record_round_trip(tracked_request& request)
{
    const std::optional<core::time_point> asked_at = std::exchange(request.asked_at, std::nullopt);
    if (!this->env.options.spill.enabled || !asked_at)
        return;
    const core::failure_domain_name domain = this->env.domain_of(request.owner);
    const core::time_point now = this->env.now();
    if (!domain.empty())
        this->trips.record(domain, now - *asked_at, now);
}

void placement_service::add_ways(wire::PeerDatagram& report) const
{
    wire::PlacementHeld& body = *report.mutable_held();
    body.set_failure_domain(this->env.failure_domain.value);
    for (const core::failure_domain_name& domain : this->trips.domains()) {
        const auto way = this->trips.way(this->env.failure_domain, domain);
        if (!way || domain == this->env.failure_domain)
            continue;
        wire::PlacementHeld::Way& added = *body.add_ways();
        added.set_failure_domain(domain.value);
        added.set_way(way->count());
    }
}

void placement_service::read_ways(const wire::PeerDatagram& report)
{
    const core::failure_domain_name from{report.held().failure_domain()};
    for (const wire::PlacementHeld::Way& each : report.held().ways())
        this->scheduler.record_way(from, {each.failure_domain()}, core::duration{each.way()},
                                   this->env.now());
}

} // namespace ragwortcove::gateway
