/// \file
/// How long upstreams usually take for the responses of a route.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/usual_times.hpp"

#include <cstdint>
#include <map>

namespace ragwortcove::core {

/// Times of one response, from when its request was sent.
struct response_time {
    /// Until the first event of a stream; the whole time of a plain response.
    duration first{0};
    duration whole{0};
    /// Longest output that the request allowed; zero when it stated none.
    std::uint32_t max_output_tokens = 0;
};

/// Learns from the responses that this node has forwarded.
class response_times {
public:
    void add(const http_route& route, const response_time& seen);
    /// Time within which nearly every response is complete that may be so long. The caller's own
    /// estimate of the length is not used: it is often far off.
    [[nodiscard]] duration usual_limit(const http_route& route,
                                       std::uint32_t max_output_tokens) const;

private:
    struct route_times {
        /// In milliseconds; that of an output token is of the time after the first event.
        usual_times first;
        usual_times output_token;
        usual_times whole;
    };
    std::map<route_name, route_times> by_route;
};

} // namespace ragwortcove::core
