#include "ragwortcove/core/caller_timeouts.hpp"

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Differences up to this come from clocks and rounding.
static constexpr duration least_difference = 20ms;
/// The longest time given is forgotten when nobody gave as much for this long.
static constexpr duration memory = 60s;

duration caller_timeouts::earlier(const http_route& route, duration given, time_point now)
{
    usual& known = this->by_route[route.name];
    if (given >= known.longest || now - known.seen > memory) {
        known.longest = given;
        known.seen = now;
        return 0s;
    }
    if (known.longest - given <= least_difference) {
        known.seen = now;
        return 0s;
    }
    return known.longest - given;
}

} // namespace ragwortcove::core
