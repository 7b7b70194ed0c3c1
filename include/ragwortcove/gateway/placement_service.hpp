/// \file
/// Places this node's requests at the owners of the cells of their pools, and other nodes'
/// requests in the cells that this node owns. Charges quotas in the same way.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/placement_cells.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"
#include "ragwortcove/core/quota_spending.hpp"
#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/team_quota.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace ragwortcove::wire {
class PeerDatagram;
} // namespace ragwortcove::wire

namespace ragwortcove::gateway {

/// Functions and values that the service uses; tests supply their own.
struct placement_dependencies {
    core::node_name self;
    core::incarnation run;
    std::function<core::time_point()> now;
    std::function<core::node_name(std::string_view key)> owner_of;
    /// Owner of a quota; two nodes must never account for the same quota at once.
    std::function<core::node_name(std::string_view key)> quota_owner_of;
    /// Whether this node knows the serving nodes as the others do; if not, it must not rely on
    /// `quota_owner_of`.
    std::function<bool()> is_settled;
    std::function<void(const core::node_name&)> mark_unreachable;
    std::function<void(const core::node_name&, wire::PeerDatagram&)> send;
    /// Numbers of the serving nodes, and of the nodes that are considered dead but may still be
    /// running, unreachable to this node.
    std::function<std::size_t()> serving_node_count;
    std::function<std::size_t()> lost_node_count;
    /// Number of the nodes that run, whether or not they serve yet.
    std::function<std::size_t()> running_node_count;
    core::quota_tolerance tolerance;
    core::warmup_tolerance warmups;
    core::placement_options options;
    core::admission_mode admission = core::admission_mode::by_patience;
    /// Whether waiting requests are served by their teams' shares.
    bool team_shares = false;
    /// Whether full cells are compared by the waits that their owners state.
    bool cell_waits = false;
    core::failure_domain_name failure_domain;
    /// Failure domain of another node; empty when the node is unknown.
    std::function<core::failure_domain_name(const core::node_name&)> domain_of;
};

/// Time after which a request without a response from its owner is sent again.
inline constexpr core::duration request_retry_interval = std::chrono::milliseconds{40};

/// Number of a request at this service; zero means no request.
using placement_number = std::uint64_t;
using placement_handler = std::function<void(placement_number, const core::placement_response&)>;
using quota_handler = std::function<void(const core::quota_decision&)>;

class placement_service {
public:
    explicit placement_service(placement_dependencies&& dependencies);
    ~placement_service();

    /// Sets the rules, which stay in use until the next call.
    void set_rules(std::shared_ptr<const core::rule_index> rules);
    void set_upstreams(std::span<const core::announced_upstream> all);
    void forget_upstream(const core::upstream_name& name) { this->scheduler.forget(name); }

    /// Requests an upstream and fills in the id of `wanted`. `handler` is called once, possibly
    /// before this function returns, unless the request is withdrawn first.
    placement_number place(core::placement_request&& wanted, placement_handler&& handler);
    /// Whether a request has no response yet.
    [[nodiscard]] bool is_waiting(placement_number request) const;
    /// Cancels a request that waits, or releases its upstream if one was granted.
    void withdraw(placement_number request);
    void started(placement_number request, core::duration after);
    void release(placement_number request, core::placement_outcome outcome,
                 core::duration first_part_after, core::duration between_events);

    /// Charges `cost` units to a team's quota for a request to a target that can wait up to
    /// `max_wait` for them. `handler` is called once, possibly before this function returns.
    void acquire_quota(const core::team_rule& team, const core::target_name& target, double cost,
                       core::duration max_wait, quota_handler&& handler);
    /// Refunds the units of a request that did not run.
    void refund_quota(const core::team_rule& team, double cost);

    void receive_message(const core::node_name& from, const wire::PeerDatagram& message);
    void owners_changed();
    void node_ended(core::incarnation run);
    /// Resends requests and reports that are due; to be called every few tens of milliseconds.
    void tick();
    [[nodiscard]] core::admission_mode admission() const { return this->env.admission; }
    [[nodiscard]] const core::placement_scheduler& owned_placements() const
    {
        return this->scheduler;
    }

private:
    /// A request of this node that was sent to an owner or placed by one.
    struct tracked_request {
        core::placement_request details;
        placement_handler handler;
        core::node_name owner;
        /// Cells that have denied the request.
        std::vector<core::cell_index> denied_cells;
        core::time_point sent_at;
        core::time_point last_seen_at;
        core::time_point first_sent_at;
        std::uint32_t unanswered_count = 0;
        /// The owner that was asked last, and when it was first asked; no time once it responded.
        core::node_name asked_owner;
        std::optional<core::time_point> asked_at;
        /// Whether the request was withdrawn from a cell in which it was queued.
        bool withdrawn_from_queue = false;
        /// Set once an upstream has been granted.
        std::optional<core::placement_grant> grant;
        bool started = false;
    };
    struct pending_quota {
        core::team_name team;
        core::quota_request wanted;
        quota_handler handler;
        core::node_name owner;
        core::time_point sent_at;
        core::time_point first_sent_at;
    };

    void send_to_owner(tracked_request& request);
    [[nodiscard]] core::node_name owner_of_cell(const core::target_name& pool,
                                                core::cell_index cell) const;
    /// Tells the scheduler which upstreams this node grants as their owner.
    void limit_warmups();
    [[nodiscard]] core::cell_index cell_count_of(const core::target_name& pool) const;
    /// Sends a denied request to another cell; returns false if none is known to have free slots or
    /// a wait that the request can spend.
    bool try_other_cell(tracked_request& request);
    /// Moves a queued request to another cell; returns false if none is known to have free slots.
    bool move_queued_request(tracked_request& request);
    void withdraw_from_owner(const tracked_request& request);
    /// Assigns requests to cells again after the number of cells has changed; a request that has an
    /// upstream belongs to the pool and the cell of that upstream.
    void apply_cell_counts();
    void record_load(const tracked_request& request, const core::cell_load& load);
    void deliver_responses(core::placement_scheduler::responses& responses);
    void on_own_response(placement_number number, const core::placement_response& response);
    void report_in_flight(const core::node_name& owner);
    /// Records the time that an owner took for its first response to a request.
    void record_round_trip(tracked_request& request);
    void add_ways(wire::PeerDatagram& report) const;
    void read_ways(const wire::PeerDatagram& report);
    void tick_requests(core::time_point now);
    void tick_quotas(core::time_point now);
    /// Reports the units that this node has granted on its own to the owners of the quotas.
    void report_quota_spending(core::time_point now);
    void send_quota_spending(const core::quota_spending& report);
    void adjust_at_owner(const core::team_rule& team, double units);
    void send_quota_request(placement_number number, pending_quota& request);
    void on_quota_request(const core::node_name& from, const wire::PeerDatagram& message);
    void on_quota_spending(const core::node_name& from, core::incarnation run,
                           const core::quota_spending& report);
    /// Whether this node accounts for a team now.
    [[nodiscard]] bool owns_quota(const core::team_name& team) const;
    void refresh_owned_quotas();
    void quota_owners_changed();
    void decide_quota_locally(placement_number number, bool as_owner);
    void finish_quota_request(placement_number number, const core::quota_decision& decision);
    [[nodiscard]] core::quota_decision
    charge_locally(const core::team_rule& team, const core::quota_request& wanted, bool as_owner);
    /// Whether recent requests to a target have found a free slot without waiting.
    [[nodiscard]] bool has_free_slots(const core::target_name& target) const;
    void on_placement_request(const core::node_name& from, core::incarnation run,
                              const wire::PeerDatagram& message);
    void on_in_flight_report(const core::node_name& from, core::incarnation run,
                             const wire::PeerDatagram& message);

    placement_dependencies env;
    core::random_engine random;
    core::cell_chooser cells;
    std::map<core::target_name, core::cell_index> cell_counts;
    std::shared_ptr<const core::rule_index> rules;
    std::vector<core::announced_upstream> upstreams;
    core::placement_scheduler scheduler;
    core::team_quota quotas;
    core::quota_spending_log own_spending;
    core::quota_spending_ledger reported_spending;
    core::time_point next_spending_report_at;
    /// Owners of quotas that did not respond, and until when this node spends its own share without
    /// asking them.
    std::map<core::node_name, core::time_point> unresponsive_until;
    std::map<placement_number, tracked_request> requests;
    std::map<placement_number, pending_quota> quota_requests;
    /// Pools whose requests had to wait for a slot, and until when each counts as congested.
    std::map<core::target_name, core::time_point> congested_until;
    placement_number last_number = 0;
    core::time_point next_report_at;
    core::round_trips trips;
    core::time_point next_ways_at;
    /// Whether the reports sent now contain the measured ways.
    bool reports_ways = false;
    std::set<core::node_name> reported_to;
    /// A decision that was sent to another node, kept in case the same request arrives again.
    struct sent_decision {
        core::quota_decision decision;
        core::time_point decided_at;
    };
    std::map<core::placement_id, sent_decision> sent_decisions;
};

} // namespace ragwortcove::gateway
