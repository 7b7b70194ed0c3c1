/// \file
/// Places requests on the upstreams of the cells that this node owns. A cell is a small group of
/// upstreams of one pool, with one owner. Keeps one queue for each cell, exact counts of requests
/// in flight, and estimates of each upstream's speed and health.
#pragma once

#include "ragwortcove/core/admission_policy.hpp"
#include "ragwortcove/core/domain_spill.hpp"
#include "ragwortcove/core/engine_memory.hpp"
#include "ragwortcove/core/engine_places.hpp"
#include "ragwortcove/core/placement_cells.hpp"
#include "ragwortcove/core/rank_service.hpp"
#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/team_shares.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"
#include "ragwortcove/core/warmup_limit.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::core {

/// Identifies a request in the whole fleet: its entry node, the incarnation of that node, and a
/// number.
struct placement_id {
    node_name entry;
    incarnation run;
    std::uint64_t sequence = 0;
    auto operator<=>(const placement_id&) const = default;
};

/// Part of a prompt. A prompt lists its parts in their order in the text.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    bool operator==(const prompt_part&) const = default;
};

/// Asks an owner to place one request.
struct placement_request {
    placement_id id;
    /// Pool: the target, or its canaries during a roll-out.
    target_name pool;
    /// Index among the cells of the pool.
    cell_index cell = 0;
    team_name team;
    /// Requests with a lower rank are served first.
    std::uint32_t rank = 0;
    std::uint32_t prompt_tokens = 0;
    /// Expected length of the response; zero for a plain service.
    std::uint32_t output_tokens = 0;
    std::vector<prompt_part> parts;
    /// Time left until the response, or its first event, misses its latency objective.
    duration latency_budget{0};
    /// Longest time that the request may wait to be placed.
    duration max_wait{0};
    /// Longest pause between two events that meets the latency objective; zero means no limit.
    duration longest_pause{0};
    /// Time left until the caller gives up; zero means no limit.
    duration time_left{0};
    failure_domain_name failure_domain;
    std::vector<upstream_name> avoid;
    /// Whether the caller was refused before and came back.
    bool returned = false;
    bool operator==(const placement_request&) const = default;
};

struct placement_grant {
    placement_id id;
    upstream_name upstream;
    /// Prompt tokens that the upstream has to compute.
    std::uint32_t uncached_tokens = 0;
    /// Load of the cell after the grant.
    cell_load load;
    /// Prompt tokens of earlier requests that the upstream has to compute before.
    std::uint64_t ahead_tokens = 0;
    departure left_domain = departure::none;
    bool operator==(const placement_grant&) const = default;
};

enum class denial_reason {
    /// No upstream of the pool is known, or the request avoids all of them.
    no_upstream,
    /// The wait for an upstream exceeds `max_wait`, or is estimated to.
    overloaded,
};

struct placement_denial {
    placement_id id;
    denial_reason reason = denial_reason::overloaded;
    duration retry_after{0};
    cell_load load;
    bool operator==(const placement_denial&) const = default;
};

using placement_response = std::variant<placement_grant, placement_denial>;

enum class placement_outcome {
    completed,
    /// The upstream sent a complete error response.
    error_answer,
    /// The connection was lost or the response was truncated.
    broken,
    /// The upstream timed out.
    silent,
    /// The upstream did not accept the request.
    refused,
    /// No connection could be opened.
    unreachable,
    /// The caller disconnected, or the grant was not used; not counted for or against the upstream.
    cancelled,
};

/// Outcome and timing of a request that has ended.
struct placement_release {
    placement_id id;
    placement_outcome outcome = placement_outcome::completed;
    /// Time from dispatch to the first part of the response; zero when none was received.
    duration first_part_after{0};
    /// Mean time between two events of a stream; zero when there were too few to measure it.
    duration between_events{0};
    bool operator==(const placement_release&) const = default;
};

/// A request that an entry has in flight. Entries report all of them periodically, so that the
/// owners' counts agree with theirs.
struct placement_report {
    placement_id id;
    target_name pool;
    upstream_name upstream;
    std::uint32_t uncached_tokens = 0;
    /// Whether the first part of the response has been received.
    bool started = false;
    bool operator==(const placement_report&) const = default;
};

/// State of one upstream as its owner sees it; for metrics and logs.
struct upstream_view {
    upstream_name name;
    std::size_t in_flight = 0;
    std::uint32_t slots = 0;
    bool ejected = false;
    duration between_events{0};
    double prefill_us_per_token = 0.0;
    double first_event_us = 0.0;
};

/// Decisions that a deployment switches on.
struct placement_options {
    /// Whether a request waits for an engine on which its response ends before its caller gives up,
    /// rather than begin on a slower one.
    bool paced_places = false;
    spill_settings spill;
};

/// Placements and denials of one class of requests.
struct placement_counts {
    std::uint64_t placed = 0;
    std::uint64_t denied = 0;
};

/// Scheduler of the cells that this node owns. Functions append their grants and denials to
/// `out`.
class placement_scheduler {
public:
    using responses = std::vector<placement_response>;

    /// `seed` must differ between nodes.
    explicit placement_scheduler(std::uint64_t seed = 0) : spread_seed(seed) {}

    /// Chooses how requests for engines are admitted under overload.
    void set_admission(admission_mode chosen) { this->admission = chosen; }
    /// Replaces the known upstreams and the rules of their targets. Without rules (null), every
    /// upstream is a plain service with its announced slots.
    void set_upstreams(std::span<const announced_upstream> all, const rule_index* rules);
    /// Sets the share of the fleet's nodes, from 0 to 1, that this node can reach. The
    /// unreachable nodes may place requests on the same upstreams.
    void set_fleet_share(double share) { this->fleet_share = share; }
    /// Sets the share of the running nodes, from 0 to 1, that serve as far as this node knows.
    void set_serving_share(double share) { this->warmup.set_serving_share(share); }
    /// Sets what upstreams may get while they are warming up.
    void set_warmup_tolerance(warmup_tolerance given) { this->warmup.set_tolerance(given); }
    /// Applies the rates for warm-ups to the current upstreams; to be called when upstreams,
    /// rules or owners may have changed. `is_owned` says whether this node owns a cell.
    void
    limit_warmups(const std::function<bool(const target_name& pool, cell_index cell)>& is_owned,
                  time_point now);
    void set_options(const placement_options& given) { this->options = given; }
    /// Whether waiting requests of one rank are served by their teams' shares. Must be set
    /// before the first request.
    void set_team_shares(bool used) { this->uses_team_shares = used; }
    /// Whether the load of a cell states the wait for a slot.
    void set_states_waits(bool stated) { this->states_waits = stated; }
    /// Records the way between two failure domains, as an entry measured it.
    void record_way(const failure_domain_name& from, const failure_domain_name& to, duration way,
                    time_point now)
    {
        this->ways.record(from, to, way, now);
    }
    /// Discards the cache contents and the health history of an upstream, which restarted.
    void forget(const upstream_name& name);

    /// Grants, queues or denies a request. A repeated request is queued and granted only once.
    void submit(const placement_request& message, time_point now, responses& out);
    /// Removes a request from its queue, or ends its grant.
    void withdraw(const placement_id& id, time_point now, responses& out);
    /// Records that the first part of a response was received `after` the dispatch.
    void started(const placement_id& id, duration after);
    /// Ends a request and updates the estimates and the health of its upstream.
    void release(const placement_release& message, time_point now, responses& out);
    /// Updates the estimates of an upstream from a request that another owner placed, so that
    /// this node knows the upstream's speed if it becomes the owner.
    void observe_start(const upstream_name& name, std::uint32_t computed_tokens, duration after);
    /// The same, for the end of such a request.
    void observe_end(const upstream_name& name, const placement_release& message);
    /// Reconciles the counts with the complete list of an entry's requests in flight under this
    /// owner. Requests of the entry that are not on the list have ended.
    void reconcile(const node_name& entry, incarnation run, std::span<const placement_report> all,
                   time_point now, responses& out);
    /// Ends all requests of an entry whose process has ended.
    void on_entry_ended(incarnation run, time_point now, responses& out);
    /// Expires and grants queued requests; must be called every few tens of milliseconds while
    /// requests are queued.
    void tick(time_point now, responses& out);

    /// Number of queued requests in all cells.
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t in_flight() const { return this->in_flight_by_id.size(); }
    /// Load of the cell in whose queue the request waits or would wait.
    [[nodiscard]] cell_load load_for(const placement_request& request, time_point now) const;
    [[nodiscard]] std::vector<upstream_view> views() const;
    [[nodiscard]] const warmup_limit& warmups() const { return this->warmup; }
    /// How often an upstream with a free slot was passed over because of the limit for
    /// warm-ups.
    [[nodiscard]] std::uint64_t held_back() const { return this->held_back_count; }
    [[nodiscard]] const admission_counts& admissions() const { return this->admission_numbers; }
    /// Slots that all cells keep free for on-time requests.
    [[nodiscard]] std::uint32_t reserved_slots(time_point now) const;
    /// Requests of teams within and over their share; zero without team shares.
    [[nodiscard]] const placement_counts& within_share_counts() const { return this->within_share; }
    [[nodiscard]] const placement_counts& over_share_counts() const { return this->over_share; }

private:
    struct in_flight_request {
        upstream_name upstream;
        std::uint32_t uncached_tokens = 0;
        /// Prompt tokens of earlier requests that were not computed yet when this one was
        /// granted.
        std::uint64_t ahead_tokens = 0;
        bool started = false;
        /// What the request is counted with in its engine's memory.
        std::uint64_t memory_tokens = 0;
        time_point granted_at;
        /// When the entry last reported that the request is in flight.
        time_point reported_at;
        std::uint32_t rank = 0;
        /// Whether the request could not meet its latency objective any more when it was
        /// granted.
        bool was_late = false;
        /// Whether this owner granted it; other requests are known from reports only.
        bool is_own = false;
        departure left_domain = departure::none;
    };
    struct cached_part {
        std::uint32_t tokens = 0;
        /// Value of `use_counter` at the last use.
        std::uint64_t last_used = 0;
    };
    /// Identifies a cell of a pool.
    struct cell_key {
        target_name pool;
        cell_index index = 0;
        auto operator<=>(const cell_key&) const = default;
    };
    struct upstream_state {
        announced_upstream info;
        cell_index cell = 0;
        std::uint32_t slots = 1;
        std::uint32_t cache_tokens = 0;
        /// Tokens in one event of a stream.
        std::uint32_t event_tokens = 1;
        bool is_engine = false;
        /// Requests a second that the upstream bears while it is warming up; zero for no limit.
        double warmup_rate = 0.0;
        duration warmup_time{0};
        std::size_t in_flight = 0;
        std::uint64_t backlog_tokens = 0;
        engine_memory memory;
        /// Estimated from observations; zero until there is one.
        double prefill_us_per_token = 0.0;
        double first_event_us = 0.0;
        double event_us = 0.0;
        double service_us = 0.0;
        /// Numbers of requests, decayed over time.
        double successes = 0.0;
        double failures = 0.0;
        time_point counts_updated_at;
        time_point ejected_until;
        std::uint32_t ejections = 0;
        /// Why the request that was last chosen for the upstream left its failure domain.
        departure chosen_as = departure::none;
        std::map<std::uint64_t, cached_part> cache;
        std::uint64_t cached_tokens = 0;
    };
    /// Estimated times of an upstream; only `service_us` applies to a plain service.
    struct speed_estimates {
        double prefill_us_per_token = 0.0;
        double first_event_us = 0.0;
        double event_us = 0.0;
        double service_us = 0.0;
    };
    struct queued_request {
        placement_request request;
        time_point arrived_at;
        time_point latency_deadline;
        time_point expires_at;
        time_point refreshed_at;
        /// Position in the order of service, lowest first: the rank plus one, or zero while the
        /// rank is starved.
        std::uint32_t priority = 0;
        /// When the request must be at an upstream to meet its latency objective.
        time_point latest_start;
        /// When the caller gives up; the end of time if unknown.
        time_point gives_up_at = time_point::max();
        /// Slots of the engines that suited the request when it arrived.
        std::uint32_t suitable_slots = 0;
        /// Whether the request can no longer be in time; set when the queue is ordered.
        bool is_late = false;
        /// Whether the request is later than others of its rank, but must be served like them.
        bool is_admitted_late = false;
        /// Whether on-time requests of all ranks go before.
        [[nodiscard]] bool yields() const { return this->is_late && !this->is_admitted_late; }
        /// Account of the team, and the slot time that the request is expected to need; unset
        /// without team shares.
        share_account* account = nullptr;
        duration slot_time{0};
        /// How far the request is ahead of its team's share, among those that wait.
        double team_lead = 0.0;
    };
    /// An upstream considered by the current placement.
    struct candidate {
        upstream_state* state = nullptr;
        speed_estimates estimates;
        bool has_free_slot = false;
        const usual_work* usual = nullptr;
        const domain_demand* domains = nullptr;
        /// Additional time to reach the upstream from the domain of the request considered.
        double way_us = 0.0;
        /// Prompt tokens of that request that the engine would have to compute.
        std::uint32_t uncached_tokens = 0;
    };
    struct cell {
        std::vector<std::unique_ptr<queued_request>> queue;
        /// Elements of `upstreams`.
        std::vector<upstream_state*> members;
        rank_service service;
        usual_work usual;
        admission_policy admission;
        team_shares shares;
        domain_demand domains;
        /// Grants per second, averaged over the last seconds.
        double grant_rate = 0.0;
        time_point rate_updated_at;
        /// Earliest time of a grant; a new owner first waits for the entries' reports of
        /// requests in flight.
        time_point grants_start_at;
        /// Whether a request has been submitted for the cell; the first one sets
        /// `grants_start_at`.
        bool in_use = false;
        /// Whether the cell belongs to the canaries of a roll-out. Its upstreams do not come
        /// back, and its requests can be placed in the target's own pool.
        bool is_canary = false;
    };

    [[nodiscard]] std::vector<candidate> list_candidates(cell& own_cell, time_point now);
    /// Sets the values of the candidates that depend on the request.
    void prepare(std::span<candidate> candidates, const placement_request& request,
                 time_point now) const;
    /// Counts the queued requests of each failure domain.
    static void count_waiting(cell& own_cell, bool keeps_slots, time_point now);
    /// The free upstream with the shortest time.
    struct best_option {
        const candidate* option = nullptr;
        double time_us = 0.0;
        void consider(const candidate& other, double other_time_us);
    };
    /// What a request that may leave its failure domain needs to know of the domains.
    struct domain_view {
        service_order order;
        std::map<failure_domain_name, std::uint32_t> free_slots;
        std::optional<duration> own_wait;
    };
    [[nodiscard]] domain_view view_domains(std::span<const candidate> candidates,
                                           const queued_request& waiting, time_point now) const;
    /// Chooses between a free slot of the caller's own domain and one elsewhere, of which either
    /// may be missing. None when the request had better wait.
    [[nodiscard]] upstream_state* choose_domain(const domain_view& domains, const best_option& own,
                                                const best_option& elsewhere,
                                                const queued_request& waiting,
                                                time_point now) const;
    [[nodiscard]] domain_offer offer_of(const candidate& option,
                                        const placement_request& request) const;
    [[nodiscard]] upstream_state* choose(std::span<candidate> candidates,
                                         const queued_request& waiting, time_point now) const;
    [[nodiscard]] bool meets_pause_limit(const candidate& option, const placement_request& request,
                                         std::uint64_t ahead) const;
    [[nodiscard]] static double first_event_us(const candidate& option, std::uint64_t ahead);
    [[nodiscard]] double completion_us(const candidate& option,
                                       const placement_request& request) const;
    /// Whether a response that begins now ends before its caller gives up.
    [[nodiscard]] bool ends_in_time(const candidate& option, const queued_request& waiting,
                                    time_point now) const;
    /// Whether an engine on which the response ends in time is expected to have a free slot
    /// while the request may still wait.
    [[nodiscard]] bool is_worth_waiting(std::span<const candidate> candidates,
                                        const queued_request& waiting, time_point now) const;
    [[nodiscard]] static engine_work work_on(const upstream_state& state,
                                             std::uint32_t output_tokens,
                                             std::uint32_t uncached_tokens);
    [[nodiscard]] static bool is_allowed(const upstream_state& state,
                                         const placement_request& request);
    /// Whether an upstream has memory for a request beside those in flight.
    [[nodiscard]] static bool has_memory_for(const upstream_state& state,
                                             const placement_request& request);
    [[nodiscard]] speed_estimates typical_estimates(const cell& own_cell) const;
    [[nodiscard]] std::uint32_t count_uncached_tokens(const upstream_state& state,
                                                      const placement_request& request) const;
    void update_cache(upstream_state& state, const placement_request& request);
    void grant(cell& own_cell, upstream_state& state, const queued_request& waiting, time_point now,
               responses& out);
    /// Completes a new request for admission by deadline, and counts it.
    void record_arrival(cell& own_cell, queued_request& created, time_point now);
    void record_slot_time(cell& own_cell, const in_flight_request& ended, placement_outcome outcome,
                          time_point now);
    void grant_waiting(cell& own_cell, time_point now, responses& out);
    /// Whether late requests of the cell give way to on-time ones.
    [[nodiscard]] bool admits_by_deadline(const cell& own_cell) const;
    [[nodiscard]] cell_slots slots_of(const cell& own_cell, time_point now) const;
    /// When the request must be granted to meet its latency objective on the cell's fastest
    /// engine.
    [[nodiscard]] time_point latest_start_of(const queued_request& waiting,
                                             std::span<const candidate> candidates) const;
    /// Sets the queue's order of service for admission by deadline.
    void rank_queue(cell& own_cell, time_point now) const;
    /// Grants queued requests that can be in time, and late ones on slots that nobody else
    /// wants.
    void grant_by_deadline(cell& own_cell, time_point now, responses& out);
    /// Whether the request would run well at the upstream if no other prompt was ahead of it:
    /// in time if it is on time, without pauses that are too long, and complete before its
    /// caller gives up.
    [[nodiscard]] bool is_suitable(const candidate& option, const queued_request& waiting,
                                   time_point now) const;
    /// The free slots that a late request may take.
    [[nodiscard]] std::vector<candidate> leftover_for(std::span<const candidate> candidates,
                                                      std::span<const std::uint32_t> wanted,
                                                      const queued_request& waiting,
                                                      std::uint32_t reserve, time_point now) const;
    /// Denies the queued requests that are not expected to get a slot in time.
    void deny_hopeless(cell& own_cell, time_point now, responses& out);
    /// Group of the queue in which the request is skipped when others could not be placed.
    [[nodiscard]] const failure_domain_name& domain_of_queue(const queued_request& waiting) const;
    /// Grants what the free slots are worth using for, in the order of service.
    void grant_in_order(cell& own_cell, time_point now, responses& out);
    void expire(cell& own_cell, time_point now, responses& out);
    /// Sets the team's account and the expected slot time of a new request.
    void assign_account(cell& own_cell, queued_request& waiting, time_point now) const;
    /// Time for which a typical upstream of the cell is expected to run a request.
    [[nodiscard]] duration typical_slot_time(const cell& own_cell,
                                             const placement_request& request) const;
    /// Orders requests of one priority, all on time or all late, by their teams' shares;
    /// otherwise keeps the order.
    void order_by_shares(cell& own_cell, time_point now) const;
    /// Queued requests that are expected to be served before a new one.
    [[nodiscard]] std::size_t count_ahead(const cell& own_cell, const queued_request& waiting,
                                          time_point now) const;
    void deny(cell& own_cell, const queued_request& waiting, denial_reason reason, time_point now,
              responses& out);
    void remove_queued(const placement_id& id);
    void remove_in_flight(const placement_id& id);
    void update_health(upstream_state& state, const cell& own_cell, placement_outcome outcome,
                       time_point now);
    static void update_start_estimates(upstream_state& state, std::uint64_t computed_tokens,
                                       duration after);
    static void update_end_estimates(upstream_state& state, const placement_release& message);
    [[nodiscard]] duration estimated_wait(const cell& own_cell, const queued_request& waiting,
                                          time_point now) const;
    [[nodiscard]] double mean_or(const cell& own_cell, double upstream_state::*estimate,
                                 double fallback) const;

    /// Requests that this scheduler may have in flight at an upstream at once.
    [[nodiscard]] std::uint32_t max_placed(const upstream_state& state) const;
    /// Whether an upstream may get one more request, with `max_count` in flight at most.
    [[nodiscard]] bool has_room(const upstream_state& state, std::uint32_t max_count,
                                time_point now);
    /// Factor that makes an upstream look slower while this node reaches only a small part of
    /// the fleet; differs between nodes, so that they prefer different upstreams.
    [[nodiscard]] double spread_factor(const upstream_state& state) const;
    [[nodiscard]] cell_key key_of(const placement_request& request) const;
    [[nodiscard]] cell_load load_of(const cell& own_cell, std::uint32_t rank, time_point now) const;
    /// Expected wait of a new request of a rank that can still be in time, and of a team within
    /// its share; unset if no request was granted lately although some wait.
    [[nodiscard]] std::optional<duration> on_time_wait(const cell& own_cell, std::uint32_t rank,
                                                       time_point now) const;

    std::map<cell_key, cell> cells;
    std::map<target_name, cell_index> cell_counts;
    std::map<upstream_name, upstream_state> upstreams;
    std::map<placement_id, in_flight_request> in_flight_by_id;
    /// Recently ended requests and when to forget them, so that a delayed report does not count
    /// them as in flight again.
    std::map<placement_id, time_point> recently_ended;
    bool uses_team_shares = false;
    bool states_waits = false;
    team_weights weights;
    placement_counts within_share;
    placement_counts over_share;
    std::uint64_t use_counter = 0;
    double fleet_share = 1.0;
    warmup_limit warmup;
    std::uint64_t held_back_count = 0;
    placement_options options;
    admission_mode admission = admission_mode::by_patience;
    admission_counts admission_numbers;
    domain_ways ways;
    /// Whether slots are kept for queued requests of callers in their own failure domain.
    bool own_callers_first = true;
    /// Makes nodes that cannot reach each other prefer different upstreams.
    std::uint64_t spread_seed = 0;
};

} // namespace ragwortcove::core
