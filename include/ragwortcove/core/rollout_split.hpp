/// \file
/// What every entry does for a roll-out: decides which version gets a request, counts how the
/// versions respond, and stops sending to a version that was found to be bad.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/rollout.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"
#include "ragwortcove/core/usual_times.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// What an upstream is used for.
enum class upstream_role {
    /// Gets the target's requests.
    regular,
    /// Runs the new version of a roll-out: gets only the requests that are chosen for it.
    canary,
    /// Gets no requests.
    excluded,
};

/// Properties of a request that the choice of its version depends on.
struct rollout_request {
    target_name target;
    route_name route;
    /// Whether the request may run more than once.
    bool may_repeat = true;
};

/// One observation of an attempt at an upstream. An attempt gives several, as it goes on.
struct rollout_observation {
    target_name target;
    version_name version;
    route_name route;
    enum class event_kind {
        /// The request was sent.
        sent,
        /// The first part of the response came after `time`.
        first_part,
        /// Mean time between events of a stream, once there are enough of them, is `time`.
        between_events,
        /// The response ended well, or the attempt failed. An attempt ends once; a refusal by a
        /// full upstream, or an attempt that the caller gave up, is neither.
        passed,
        failed,
        /// The attempt ended without saying anything about the version.
        abandoned,
    };
    event_kind kind = event_kind::sent;
    duration time{0};
    /// Prompt tokens that the upstream had to compute, for `first_part`.
    std::uint32_t uncached_tokens = 0;
    /// The upstream has said that it is still slow after its start: its times say nothing about the
    /// version.
    bool is_warming_up = false;
    /// Empty if unknown; then its responses aren't compared with each other.
    upstream_name upstream;
};

/// How long a share holds without a new directive.
inline constexpr duration directive_lifetime = std::chrono::milliseconds{1500};
/// How long a version that no order names is held out beside others: its order may come later.
inline constexpr duration unordered_version_hold = std::chrono::seconds{3};

class rollout_split {
public:
    /// Sets all upstreams that are known. To be called at each change of the directory.
    void set_upstreams(std::span<const announced_upstream> all, time_point now);
    /// Sets all orders in force. An order that is not in `all` any more is forgotten.
    void set_orders(std::span<const rollout_order> all, time_point now);
    /// Applies a message of a controller. A halt holds whoever sends it, for as long as the order
    /// lives; a share holds only for `directive_lifetime`, so that an entry that loses the
    /// controller sends nothing more to the new version.
    void on_directive(const rollout_directive& directive, time_point now);

    /// This entry's use of an upstream now. Among several upstreams of a new version, one is the
    /// canary at first and the others are excluded; which one may change at each observation.
    [[nodiscard]] upstream_role role_of(const announced_upstream& upstream) const;
    /// Whether the request is to be placed on a canary.
    [[nodiscard]] bool choose_canary(const rollout_request& request, random_engine& random,
                                     time_point now);
    /// Whether a request may still be sent to an upstream that was granted for it before.
    [[nodiscard]] bool may_send(const announced_upstream& upstream, time_point now) const;
    /// Learns the usual times of every target's responses, and counts for roll-outs under way.
    void observe(const rollout_observation& seen, time_point now);

    /// Orders that have not ended.
    [[nodiscard]] std::vector<rollout_order> active_orders() const;
    [[nodiscard]] std::vector<rollout_report> reports(time_point now) const;

private:
    struct learned_times {
        usual_times first_part;
        usual_times between_events;
        /// Limits from when the order came: they remain as minima, since the old version becomes
        /// faster as requests leave it.
        std::optional<double> first_part_floor;
        std::optional<double> between_events_floor;
        void set_floors();
    };
    /// Newest times of one upstream. Engines are of unlike speed, so that a slow response of a fast
    /// one may be usual elsewhere; beside the same upstream's fastest it shows.
    struct upstream_times {
        version_name version;
        recent_times first_part;
        recent_times between_events;
    };
    struct ordered {
        rollout_order order;
        /// When the order came, as far as this entry knows.
        time_point ordered_at;
        time_point counted_since;
        std::uint32_t share_permille = 0;
        time_point share_until;
        bool halted = false;
        std::map<route_name, rollout_route_counts> counts;
        /// Versions of earlier orders that were found to be bad.
        std::set<version_name> taken_back;
    };
    struct version_state {
        std::uint32_t in_flight = 0;
        bool is_known = false;
        std::vector<upstream_name> upstreams;
        /// Held out until then unless other versions are missing.
        time_point held_until;
    };
    struct target_state {
        std::optional<ordered> rollout;
        std::map<version_name, version_state> versions;
        std::map<route_name, learned_times> times;
        /// Of all routes, used for those with too few responses.
        learned_times all_times;
        std::map<upstream_name, upstream_times> by_upstream;
        /// Times of regular upstreams, divided by the same upstream's smaller ones.
        usual_times first_part_ratios;
        usual_times between_events_ratios;
        bool has_repeatable = false;
    };

    [[nodiscard]] const target_state* find(const target_name& target) const;
    [[nodiscard]] target_state* state_of(const target_name& target);
    [[nodiscard]] static std::uint32_t share_of(const ordered& rollout, time_point now);
    [[nodiscard]] upstream_role role_by_version(const announced_upstream& upstream) const;
    [[nodiscard]] bool is_preferred_canary(const target_state& target,
                                           const announced_upstream& upstream) const;
    [[nodiscard]] bool is_held(const target_state& target, const version_name& version) const;
    /// The use of an upstream whose version is not the one that is ordered.
    [[nodiscard]] upstream_role role_beside_order(const target_state& target,
                                                  const version_name& version) const;
    void set_order(const rollout_order& order, time_point now);
    /// When the order came, by what is stored of its progress.
    [[nodiscard]] static time_point stored_start(const rollout_order& order, time_point now);
    /// Versions that a new order finds to be bad.
    [[nodiscard]] static std::set<version_name> versions_taken_back(const target_state& target,
                                                                    const version_name& ordered);
    static void count_in_flight(target_state& target, const rollout_observation& seen);
    [[nodiscard]] static bool is_regular(const target_state& target, const version_name& version);
    /// Whether any upstream of the target has sent several events in one response.
    [[nodiscard]] static bool streams(const target_state& target);
    /// At most `max_reported_paces`: those of the new version, and old ones in turn.
    [[nodiscard]] static std::vector<upstream_pace> paces_of(const target_state& target,
                                                             time_point now);
    [[nodiscard]] static std::optional<bool>
    compare_at_upstream(target_state& target, const rollout_observation& seen, double value);
    [[nodiscard]] static std::optional<double> late_limit(const learned_times& times,
                                                          rollout_observation::event_kind of);
    static void classify(target_state& target, const rollout_observation& seen);
    [[nodiscard]] static version_counts* counts_for(target_state& target,
                                                    const rollout_observation& seen);

    std::map<target_name, target_state> targets;
    bool has_upstreams = false;
    /// Decides which upstream gets this entry's canaries; drawn once, and changed when that
    /// upstream fails.
    std::uint64_t preference = 0;
    /// Newest time that any call gave.
    time_point latest;
};

} // namespace ragwortcove::core
