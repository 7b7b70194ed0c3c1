#include "ragwortcove/core/caller_timeouts.hpp"

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Differences up to this come from clocks and rounding.
static constexpr duration min_difference = 20ms;
/// The longest time given is forgotten when nobody gave as much for this long.
static constexpr duration memory = 60s;

duration caller_timeouts::earlier(const http_route& route, duration timeout, time_point now)
{
    longest_timeout& known = this->by_route[route.name];
    if (timeout >= known.longest || now - known.seen > memory) {
        known.longest = timeout;
        known.seen = now;
        return 0s;
    }
    if (known.longest - timeout <= min_difference) {
        known.seen = now;
        return 0s;
    }
    return known.longest - timeout;
}

} // namespace ragwortcove::core
