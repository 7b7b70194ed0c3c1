/// \file
/// How long callers of a route give their requests, and so which of them come back after a refusal.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>

namespace ragwortcove::core {

/// Callers count their deadline from their first attempt, so one that gives less time than the
/// others of its route has spent the difference before. Such a request cannot reach its goal as a
/// new one can.
class caller_timeouts {
public:
    /// Time that a caller who gives `given` has spent before; zero when it seems to be new.
    [[nodiscard]] duration earlier(const http_route& route, duration given, time_point now);

private:
    struct usual {
        duration longest{0};
        time_point seen;
    };
    std::map<route_name, usual> by_route;
};

} // namespace ragwortcove::core
