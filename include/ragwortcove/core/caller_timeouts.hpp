/// \file
/// How long the timeouts of a route's callers are, and so which of their requests are retries.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>

namespace ragwortcove::core {

/// Callers count their deadline from their first attempt, so one whose timeout is shorter than that
/// of the other callers of its route has spent the difference on earlier attempts. Such a request
/// cannot reach its latency goal as a new one can.
class caller_timeouts {
public:
    /// Time that a caller that states `timeout` has already spent; zero when the request seems new.
    [[nodiscard]] duration earlier(const http_route& route, duration timeout, time_point now);

private:
    struct longest_timeout {
        duration longest{0};
        time_point seen;
    };
    std::map<route_name, longest_timeout> by_route;
};

} // namespace ragwortcove::core
