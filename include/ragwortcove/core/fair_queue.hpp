/// \file
/// Queue of permit requests: strict priority of tiers, weighted fair queueing of teams within a
/// tier.
#pragma once

#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/team_shares.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace ragwortcove::core {

/// A permit request that waits for a grant.
struct queued_request {
    /// The message as its entry sent it.
    permit_request received;
    node_name entry;
    std::uint32_t rank = 0;
    double weight = 1.0;
    /// Whether the request is long enough to delay short ones noticeably.
    bool is_long = false;
    /// Estimated time that an upstream needs for the request.
    duration cost{0};
    time_point arrived_at;
    time_point expires_at;
};

/// Start-time fair queueing (`team_shares.hpp`) over teams within each rank. To avoid
/// head-of-line blocking, a team's short and long requests wait in separate lanes, and so do
/// requests that differ in their version or in the upstreams that they avoid.
class fair_queue {
public:
    /// Adds a request, which must not be in the queue already.
    void push(queued_request&& queued);
    /// Removes and returns the first request in fair order for which `fits` is true; only the head
    /// of each lane is considered.
    [[nodiscard]] std::optional<queued_request>
    take_first(const std::function<bool(const queued_request&)>& fits);
    /// Removes and returns the newest request of the lowest tier, if its rank is greater than
    /// `rank`.
    [[nodiscard]] std::optional<queued_request> take_lowest_above(std::uint32_t rank);
    /// Removes and returns a request; nothing if it is not in the queue.
    [[nodiscard]] std::optional<queued_request> erase(const request_id& request);
    /// Removes and returns the requests that expired at `now` or earlier.
    [[nodiscard]] std::vector<queued_request> take_expired(time_point now);
    [[nodiscard]] std::vector<queued_request> take_all();
    [[nodiscard]] bool contains(const request_id& request) const;
    [[nodiscard]] std::size_t size() const { return this->positions.size(); }
    [[nodiscard]] bool empty() const { return this->positions.empty(); }
    /// Earliest expiry of a queued request; `time_point::max()` when the queue is empty.
    [[nodiscard]] time_point next_expiry() const;
    /// Sum of the estimated costs of the queued requests of ranks up to `rank`; only the short
    /// requests, or all of them.
    [[nodiscard]] duration queued_cost(std::uint32_t rank, bool short_only) const;
    /// Greatest rank number, thus the lowest priority, of a queued request; zero when the queue is
    /// empty.
    [[nodiscard]] std::uint32_t lowest_rank() const;

private:
    struct lane_key {
        team_name team;
        bool is_long = false;
        version_name version;
        std::vector<upstream_name> avoid;
        auto operator<=>(const lane_key&) const = default;
    };
    struct lane {
        /// Start tag: virtual time at which the lane's next request starts.
        double start = 0.0;
        std::deque<queued_request> waiting;
    };
    struct rank_state {
        fair_clock clock;
        duration short_cost{0};
        duration long_cost{0};
        std::map<lane_key, lane> lanes;
        /// Lanes with queued requests, by start tag.
        std::set<std::pair<double, lane_key>> order;
    };
    struct position {
        std::uint32_t rank = 0;
        lane_key key;
        time_point expires_at;
    };
    queued_request remove(std::uint32_t rank, const lane_key& key, std::size_t index);

    std::map<std::uint32_t, rank_state> ranks;
    std::map<request_id, position> positions;
    std::set<std::pair<time_point, request_id>> expiries;
};

} // namespace ragwortcove::core
