/// \file
/// How long upstreams usually take for the responses of a route.
#pragma once

#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/usual_times.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace ragwortcove::core {

/// Times of one response, from when its request was first sent.
struct response_time {
    /// Until the first event of a stream; the whole time of a plain response.
    duration first{0};
    duration whole{0};
    /// Longest output that the request allowed; zero when it stated none.
    std::uint32_t max_output_tokens = 0;
};

/// Learns from the responses that this node has forwarded, and from those that did not come in
/// time.
class response_times {
public:
    void add(const http_route& route, const response_time& seen);
    /// Time within which nearly every response is complete that may be so long. The caller's own
    /// estimate of the length is not used: it is often far off.
    [[nodiscard]] duration usual_limit(const http_route& route,
                                       std::uint32_t max_output_tokens) const;

private:
    /// Samples of one time, in milliseconds. The newest ones tell of upstreams that have just
    /// become slow.
    struct learned_time {
        usual_times usual;
        recent_times recent;
        void add(double sample);
        /// Unset while there are too few samples.
        [[nodiscard]] std::optional<double> limit() const;
    };
    struct route_times {
        learned_time first;
        /// Time after the first event for each token that the output could have had.
        learned_time output_token;
        learned_time whole;
    };
    std::map<route_name, route_times> by_route;
};

} // namespace ragwortcove::core
