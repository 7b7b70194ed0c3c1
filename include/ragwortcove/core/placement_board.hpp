/// \file
/// Places requests on the upstreams of the cells that this node owns: one queue for each cell,
/// exact counts of what is out, and what has been learned of each upstream.
#pragma once

#include "ragwortcove/core/placement_cells.hpp"
#include "ragwortcove/core/rank_service.hpp"
#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::core {

/// A request in the whole fleet: the node that holds it, that node's run, and a number.
struct placement_id {
    node_name entry;
    incarnation run;
    std::uint64_t sequence = 0;
    auto operator<=>(const placement_id&) const = default;
};

/// Part of a prompt, in the order in which the parts stand.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    bool operator==(const prompt_part&) const = default;
};

/// Asks for an upstream for one request.
struct placement_ask {
    placement_id id;
    target_name target;
    /// Among the cells of the target.
    cell_index cell = 0;
    team_name team;
    std::uint32_t rank = 0;
    std::uint32_t prompt_tokens = 0;
    /// Most likely length of the answer; zero for a plain service.
    std::uint32_t output_tokens = 0;
    std::vector<prompt_part> parts;
    /// Time until the answer, or its first event, loses part of its worth.
    duration goal_left{0};
    /// Longest time that the request may wait to be placed.
    duration patience{0};
    /// Longest pause between two events that is still in time; zero when any is.
    duration longest_pause{0};
    failure_domain_name failure_domain;
    std::vector<upstream_name> avoid;
    bool operator==(const placement_ask&) const = default;
};

struct placement_grant {
    placement_id id;
    upstream_name upstream;
    /// Prompt tokens that the upstream has to compute.
    std::uint32_t uncached_tokens = 0;
    /// Load of the cell after the grant.
    cell_load load;
    bool operator==(const placement_grant&) const = default;
};

enum class denial_reason {
    /// No upstream of the target is known, or all are to be avoided.
    no_upstream,
    /// The wait would be, or was, too long.
    overloaded,
};

struct placement_denial {
    placement_id id;
    denial_reason reason = denial_reason::overloaded;
    duration retry_after{0};
    cell_load load;
    bool operator==(const placement_denial&) const = default;
};

using placement_answer = std::variant<placement_grant, placement_denial>;

enum class placement_outcome {
    completed,
    /// The upstream answered with an error of its own.
    error_answer,
    /// The connection or the answer broke.
    broken,
    /// Nothing came in time.
    silent,
    /// The upstream did not take the request.
    refused,
    /// No connection could be opened.
    unreachable,
    /// The caller left, or the grant was not used; says nothing of the upstream.
    cancelled,
};

/// What was seen of a request that is over.
struct placement_release {
    placement_id id;
    placement_outcome outcome = placement_outcome::completed;
    /// From dispatch to the first part of the answer; zero when none came.
    duration first_part_after{0};
    /// Time between two events of a stream; zero when there were too few to tell.
    duration between_events{0};
    bool operator==(const placement_release&) const = default;
};

/// A request that an entry has out, told again and again so that owners agree with it.
struct placement_held {
    placement_id id;
    target_name target;
    upstream_name upstream;
    std::uint32_t uncached_tokens = 0;
    /// Whether the first part of the answer has come.
    bool started = false;
    bool operator==(const placement_held&) const = default;
};

/// How an owner sees one upstream; for metrics and logs.
struct upstream_view {
    upstream_name name;
    std::size_t in_flight = 0;
    std::uint32_t slots = 0;
    bool ejected = false;
    duration between_events{0};
    double prefill_us_per_token = 0.0;
    double first_event_us = 0.0;
};

class placement_board {
public:
    using answers = std::vector<placement_answer>;

    /// Nodes must have different seeds.
    explicit placement_board(std::uint64_t seed = 0) : spread_seed(seed) {}

    /// The upstreams in force, with their targets' rules; null rules keep the earlier slots.
    void set_upstreams(std::span<const announced_upstream> all, const rule_index* rules);
    /// Part of the fleet that this node hears of; the rest may be placing on the same upstreams.
    void set_fleet_share(double share) { this->fleet_share = share; }
    /// What was known of an upstream's memory and speed is void.
    void forget(const upstream_name& name);

    void ask(const placement_ask& message, time_point now, answers& out);
    void withdraw(const placement_id& id, time_point now, answers& out);
    /// The first part of an answer has come.
    void started(const placement_id& id, duration after);
    void release(const placement_release& message, time_point now, answers& out);
    /// What this node saw of an upstream with a request that another owner placed: it knows the
    /// upstream's speed then, should it become the owner.
    void observe_start(const upstream_name& name, std::uint32_t computed_tokens, duration after);
    void observe_end(const upstream_name& name, const placement_release& message);
    /// All that an entry has out under one owner; the entry's other requests are over.
    void held(const node_name& entry, incarnation run, std::span<const placement_held> all,
              time_point now, answers& out);
    /// An entry's process has ended.
    void entry_gone(incarnation run, time_point now, answers& out);
    /// To be called every few ten milliseconds while requests wait.
    void tick(time_point now, answers& out);

    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] std::size_t in_flight() const { return this->out_by_id.size(); }
    /// Load of the cell that a request would wait in.
    [[nodiscard]] cell_load load_for(const placement_ask& ask) const;
    [[nodiscard]] std::vector<upstream_view> views() const;

private:
    struct outstanding {
        upstream_name upstream;
        std::uint32_t uncached_tokens = 0;
        /// Prompt tokens that others had to have computed when it was granted.
        std::uint64_t ahead_tokens = 0;
        bool started = false;
        time_point granted;
        /// When the entry last told that it has the request out.
        time_point reported;
    };
    struct cached_part {
        std::uint32_t tokens = 0;
        std::uint64_t used = 0;
    };
    /// A cell of a target.
    struct cell_key {
        target_name target;
        cell_index index = 0;
        auto operator<=>(const cell_key&) const = default;
    };
    struct upstream_state {
        announced_upstream info;
        cell_index cell = 0;
        std::uint32_t slots = 1;
        std::uint32_t cache_tokens = 0;
        std::uint32_t event_tokens = 1;
        bool is_engine = false;
        std::size_t in_flight = 0;
        std::uint64_t backlog_tokens = 0;
        /// Learned; zero until something was seen.
        double prefill_us_per_token = 0.0;
        double first_event_us = 0.0;
        double event_us = 0.0;
        double service_us = 0.0;
        double good = 0.0;
        double bad = 0.0;
        time_point weighed_at;
        time_point ejected_until;
        std::uint32_t ejections = 0;
        std::map<std::uint64_t, cached_part> cache;
        std::uint64_t cached_tokens = 0;
    };
    /// What an upstream is thought to need; a plain service has only the last.
    struct engine_figures {
        double prefill_us_per_token = 0.0;
        double first_event_us = 0.0;
        double event_us = 0.0;
        double service_us = 0.0;
    };
    struct waiting_ask {
        placement_ask ask;
        time_point arrived;
        time_point goal_at;
        time_point expires;
        time_point refreshed;
        /// Its rank, or before all ranks while that one is starved.
        std::uint32_t turn = 0;
    };
    /// An upstream as a placement under way looks at it.
    struct candidate {
        upstream_state* state = nullptr;
        engine_figures figures;
        bool has_room = false;
    };
    struct cell {
        std::vector<std::unique_ptr<waiting_ask>> queue;
        std::vector<upstream_name> members;
        rank_service service;
        /// Grants a second, over the last seconds.
        double grant_rate = 0.0;
        time_point rated_at;
        time_point grants_from;
        bool in_use = false;
    };

    [[nodiscard]] std::vector<candidate> list_candidates(const cell& of, time_point now);
    [[nodiscard]] upstream_state* choose(std::span<candidate> among, const waiting_ask& waiting,
                                         time_point now) const;
    [[nodiscard]] bool keeps_pace(const candidate& by, const placement_ask& ask,
                                  std::uint64_t ahead) const;
    [[nodiscard]] double first_event_us(const candidate& by, const placement_ask& ask,
                                        std::uint64_t ahead) const;
    [[nodiscard]] double whole_us(const candidate& by, const placement_ask& ask) const;
    [[nodiscard]] static bool may_use(const upstream_state& state, const placement_ask& ask);
    [[nodiscard]] engine_figures usual_figures(const cell& of) const;
    [[nodiscard]] std::uint32_t uncached(const upstream_state& state,
                                         const placement_ask& ask) const;
    void remember_prompt(upstream_state& state, const placement_ask& ask);
    void grant(cell& of, upstream_state& state, const placement_ask& ask, time_point now,
               answers& out);
    void grant_waiting(cell& of, time_point now, answers& out);
    void expire(cell& of, time_point now, answers& out);
    void take_back(const placement_id& id);
    void judge(upstream_state& state, const cell& of, placement_outcome outcome, time_point now);
    static void learn_start(upstream_state& state, std::uint64_t computed_tokens, duration after);
    static void learn_end(upstream_state& state, const placement_release& message);
    [[nodiscard]] duration estimated_wait(const cell& of, const placement_ask& ask) const;
    [[nodiscard]] double typical(const cell& of, double upstream_state::*figure,
                                 double otherwise) const;

    /// Requests that an upstream may have from this board at once.
    [[nodiscard]] std::uint32_t most_placed(const upstream_state& state) const;
    /// Factor by which an upstream seems slower than it is while few of the fleet are heard of.
    [[nodiscard]] double spread_factor(const upstream_state& state) const;
    [[nodiscard]] cell_key key_of(const placement_ask& ask) const;
    [[nodiscard]] cell_load load_of(const cell& one) const;

    std::map<cell_key, cell> cells;
    std::map<target_name, cell_index> cell_counts;
    std::map<upstream_name, upstream_state> upstreams;
    std::map<placement_id, outstanding> out_by_id;
    /// Requests that ended lately, so that an old report does not bring them back.
    std::map<placement_id, time_point> over;
    std::uint64_t use_counter = 0;
    double fleet_share = 1.0;
    /// Seed that makes nodes that do not hear of each other prefer different upstreams.
    std::uint64_t spread_seed = 0;
};

} // namespace ragwortcove::core
