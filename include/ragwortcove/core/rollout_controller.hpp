/// \file
/// Decides, on one node for the whole fleet, how a roll-out goes on: the share of the new version,
/// whether that version is bad, and when the roll-out is complete.
#pragma once

#include "ragwortcove/core/pace_comparison.hpp"
#include "ragwortcove/core/rollout.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/version_comparison.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace ragwortcove::core {

/// Limits on the requests that a new version may get before it is known to be good.
struct rollout_limits {
    /// Share of all requests of the target during the roll-out.
    double max_share = 0.1;
    /// Requests beyond that share.
    std::uint32_t extra_requests = 50;
};

/// What the controller wants done.
struct rollout_step {
    rollout_directive directive;
    /// State to be stored; unset while the stored one is right.
    std::optional<rollout_state> store_state;
    /// Why, with the figures that decided it; for the log.
    std::string reason;
    /// To be stored with each state, and whenever it is due.
    rollout_progress progress;
    bool is_progress_due = false;
};

/// Controller of one order. A node that becomes the controller starts with what is stored of the
/// order's progress. The rest of the earlier controller's knowledge comes with the entries' counts,
/// which are cumulative.
class rollout_controller {
public:
    rollout_controller(const rollout_order& order, const rollout_limits& limits, time_point now);

    /// Takes a node's newest report; `reporter` is the node's incarnation.
    void on_report(incarnation reporter, const rollout_report& report, time_point now);
    /// Decides the next step. `order` is the order with its stored state now in force,
    /// `canary_count` the number of ready upstreams of the new version.
    [[nodiscard]] rollout_step decide(const rollout_order& order, std::size_t canary_count,
                                      time_point now);

private:
    struct known_entry {
        rollout_report report;
        time_point received_at;
    };

    /// Whether the stored progress includes what the reporter has counted until then.
    [[nodiscard]] bool is_in_stored_progress(const rollout_report& report, time_point now) const;
    /// Requests sent to the new version, and to the other ones, since the order came.
    [[nodiscard]] std::uint32_t new_sent() const;
    [[nodiscard]] std::uint32_t old_sent() const;
    [[nodiscard]] bool is_progress_due(time_point now) const;
    [[nodiscard]] duration age(time_point now) const;
    /// Age of the order as a part of its time limit.
    [[nodiscard]] double progress(time_point now) const;
    /// Requests a second to the target.
    [[nodiscard]] double request_rate(time_point now) const;
    /// Requests that the new version may have got by the end, with a margin.
    [[nodiscard]] double allowed_requests(time_point now) const;
    [[nodiscard]] std::uint32_t canary_share(time_point now) const;
    [[nodiscard]] std::uint32_t guarded_share(std::uint32_t share, time_point now) const;
    [[nodiscard]] double max_sum() const;
    /// Added to the limits of the sums.
    [[nodiscard]] double sum_margin(time_point now) const;
    [[nodiscard]] bool is_clean(time_point now) const;
    void update_suspicion(time_point now);
    [[nodiscard]] bool has_exceeded_limits(time_point now) const;
    [[nodiscard]] bool is_proven(time_point now) const;
    [[nodiscard]] std::uint32_t results() const;
    [[nodiscard]] bool is_present(const known_entry& entry, time_point now) const;
    [[nodiscard]] bool all_moved(time_point now) const;
    [[nodiscard]] std::uint32_t needed_results(time_point now) const;
    /// Whether the step has brought enough results.
    [[nodiscard]] bool has_results(time_point now) const;
    [[nodiscard]] std::uint32_t planned_share(time_point now) const;
    /// Whether the step under way has lasted its minimum time.
    [[nodiscard]] bool has_held_step(time_point now) const;
    [[nodiscard]] bool may_advance(time_point now) const;
    void adopt_applied_share(time_point now);
    void advance(time_point now);
    [[nodiscard]] std::optional<rollout_state> next_state(time_point now) const;
    [[nodiscard]] rollout_step ended_step(const rollout_order& order) const;
    [[nodiscard]] std::string describe(time_point now) const;

    rollout_order order;
    rollout_limits limits;
    time_point started_at;
    /// Time at which the order came, as far as any entry knows.
    time_point ordered_at;
    std::map<incarnation, known_entry> entries;
    std::map<route_name, route_comparison> by_route;
    route_comparison all_routes;
    pace_comparison paces;
    version_counts old_total;
    version_counts new_total;
    /// Progress that was stored when this controller started, and what has been reported by the
    /// processes that it includes.
    rollout_progress stored;
    version_counts old_included;
    version_counts new_included;
    /// Step of the plan, the time since when, and the good results of the new version then.
    std::size_t step = 0;
    time_point step_since;
    std::uint32_t results_before = 0;
    /// Largest share that an entry applied when this controller started.
    std::uint32_t applied_permille = 0;
    /// Share of the last directive: not all of its requests are reported yet.
    std::uint32_t last_permille = 0;
    bool adopted = false;
    bool was_suspicious = false;
    bool halted = false;
};

} // namespace ragwortcove::core
