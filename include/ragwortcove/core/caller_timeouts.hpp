/// \file
/// Tracks the timeouts that callers of a route state, to recognise requests that are retries.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>

namespace ragwortcove::core {

/// Callers count their deadline from their first attempt, so a caller whose timeout is shorter than
/// that of the other callers of its route has spent the difference on earlier attempts. Such a
/// request has less of its latency goal left than a new one.
class caller_timeouts {
public:
    /// Time that a caller that states `timeout` has already spent; zero when the request seems new.
    [[nodiscard]] duration earlier(const http_route& route, duration timeout, time_point now);

private:
    struct longest_timeout {
        duration longest{0};
        time_point seen_at;
    };
    std::map<route_name, longest_timeout> by_route;
};

} // namespace ragwortcove::core
