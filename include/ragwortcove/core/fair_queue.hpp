/// \file
/// Queue of permit requests: tiers strictly in order, teams within a tier by weighted fair shares.
#pragma once

#include "ragwortcove/core/peer_message.hpp"
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
struct waiting_ask {
    permit_request ask;
    node_name entry;
    std::uint32_t rank = 0;
    double weight = 1.0;
    /// Whether the work is long enough to hold up short work.
    bool is_long = false;
    /// Time an upstream is estimated to spend on it.
    duration cost{0};
    time_point arrived;
    time_point expires;
};

/// Start-time fair queueing (Goyal, Vin and Cheng, 1996) over teams within each rank; short and
/// long work of a team wait in separate lanes, so that neither holds up the other; so do requests
/// that only some upstreams may take.
class fair_queue {
public:
    void push(waiting_ask&& ask);
    /// Takes the first request in fair order that `fits`; each lane offers its head only.
    [[nodiscard]] std::optional<waiting_ask>
    take_first(const std::function<bool(const waiting_ask&)>& fits);
    /// Takes the youngest request of the lowest tier, if its rank is greater than `rank`.
    [[nodiscard]] std::optional<waiting_ask> take_lowest_above(std::uint32_t rank);
    [[nodiscard]] std::optional<waiting_ask> erase(const request_id& request);
    /// Takes the requests whose time is up.
    [[nodiscard]] std::vector<waiting_ask> take_expired(time_point now);
    [[nodiscard]] std::vector<waiting_ask> take_all();
    [[nodiscard]] bool contains(const request_id& request) const;
    [[nodiscard]] std::size_t size() const { return this->places.size(); }
    [[nodiscard]] bool empty() const { return this->places.empty(); }
    [[nodiscard]] time_point next_expiry() const;
    /// Estimated work that waits in ranks up to `rank`; short work alone, or all of it.
    [[nodiscard]] duration queued_cost(std::uint32_t rank, bool short_only) const;
    /// Highest rank that waits; zero when the queue is empty.
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
        /// Virtual time at which the lane's next request starts.
        double start = 0.0;
        std::deque<waiting_ask> waiting;
    };
    struct rank_state {
        double virtual_now = 0.0;
        duration short_cost{0};
        duration long_cost{0};
        std::map<lane_key, lane> lanes;
        /// Lanes with waiting requests, by start tag.
        std::set<std::pair<double, lane_key>> order;
    };
    struct place {
        std::uint32_t rank = 0;
        lane_key key;
        time_point expires;
    };
    waiting_ask remove(std::uint32_t rank, const lane_key& key, std::size_t index);

    std::map<std::uint32_t, rank_state> ranks;
    std::map<request_id, place> places;
    std::set<std::pair<time_point, request_id>> expiries;
};

} // namespace ragwortcove::core
