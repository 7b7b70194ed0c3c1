/// \file
/// Drains of failure domains: while the operator orders one, no new request goes to an upstream of
/// the domain. Answers the load that a whole domain gives up at once, and the load that it would
/// get at once when the order ends: its upstreams come back one after the other.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"

#include <chrono>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace ragwortcove::core {

/// Time within which the upstreams of a domain come back whose drain has ended. Each has its own
/// moment, the same at every node, so that what moves back is a few upstreams' load at a time.
inline constexpr duration domain_return_time = std::chrono::seconds{2};
/// Interval at which returning upstreams are placed on.
inline constexpr duration domain_return_step = std::chrono::milliseconds{100};

/// Domains that a list of orders begins or ceases to drain.
struct drain_changes {
    std::vector<failure_domain_name> drained;
    std::vector<failure_domain_name> released;
    [[nodiscard]] bool empty() const { return this->drained.empty() && this->released.empty(); }
};

class domain_drain {
public:
    /// Applies the complete list of the orders in force.
    drain_changes set_orders(std::span<const failure_domain_name> all, time_point now);
    /// Whether no request may be sent to upstreams of a domain.
    [[nodiscard]] bool is_drained(const failure_domain_name& domain) const
    {
        return this->drained.contains(domain);
    }
    [[nodiscard]] const std::set<failure_domain_name>& domains() const { return this->drained; }
    /// Marks those upstreams as leaving that get no new requests now: requests in flight there end
    /// as usual, and no state of the upstream is lost.
    void mark(std::span<announced_upstream> all, time_point now) const;
    /// Whether upstreams have come back since the last step, so that they are to be marked anew.
    [[nodiscard]] bool tick(time_point now);

private:
    [[nodiscard]] bool is_returning(const announced_upstream& upstream, time_point now) const;

    std::set<failure_domain_name> drained;
    /// Domains whose drain has ended within `domain_return_time`, and when.
    std::map<failure_domain_name, time_point> released_at;
    time_point next_step_at;
};

} // namespace ragwortcove::core
