/// \file
/// Places this node's requests with whichever nodes own the cells of their target, and others' with
/// this node where it is the owner. The same for quotas.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/placement_cells.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"
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

/// What the service needs of the fleet; a test puts its own in place.
struct placement_surroundings {
    core::node_name self;
    core::incarnation run;
    std::function<core::time_point()> now;
    std::function<core::node_name(std::string_view key)> owner_of;
    /// The same for quotas, for which two nodes must not account at once.
    std::function<core::node_name(std::string_view key)> quota_owner_of;
    /// Whether this node has met others, or has waited for them long enough.
    std::function<bool()> has_met_others;
    std::function<void(const core::node_name&)> mark_unreachable;
    std::function<void(const core::node_name&, wire::PeerDatagram&)> send;
    /// Nodes that serve, and nodes that served until lately but cannot be reached.
    std::function<std::size_t()> serving;
    std::function<std::size_t()> lost;
    core::quota_tolerance tolerance;
};

/// Time after which an owner that has not answered is asked again.
inline constexpr core::duration ask_again_after = std::chrono::milliseconds{40};

/// Number of a request at this service; zero is none.
using placement_number = std::uint64_t;
using placement_handler = std::function<void(placement_number, const core::placement_response&)>;
using quota_handler = std::function<void(const core::quota_decision&)>;

class placement_service {
public:
    explicit placement_service(placement_surroundings&& around);
    ~placement_service();

    /// `rules` must outlive its use here, until the next call.
    void set_rules(std::shared_ptr<const core::rule_index> rules);
    void set_upstreams(std::span<const core::announced_upstream> all);
    void forget_upstream(const core::upstream_name& name) { this->board.forget(name); }

    /// Asks for an upstream; `answered` is called once, perhaps from inside this call, unless the
    /// request is withdrawn first. The id of `ask` is filled in here.
    placement_number place(core::placement_request&& ask, placement_handler&& answered);
    /// The request no longer wants an upstream, or no longer uses the one that it got.
    void withdraw(placement_number request);
    void started(placement_number request, core::duration after);
    void release(placement_number request, core::placement_outcome outcome,
                 core::duration first_part_after, core::duration between_events);

    /// Takes units of a team's quota for a request to a target, which can wait for them up to
    /// `most_wait`; `answered` is called once, perhaps from inside this call.
    void take_quota(const core::team_rule& team, const core::target_name& target, double cost,
                    core::duration most_wait, quota_handler&& answered);
    /// Gives back units of a request that did not run.
    void return_quota(const core::team_rule& team, double cost);

    void received(const core::node_name& from, const wire::PeerDatagram& message);
    void owners_changed();
    void node_ended(core::incarnation run);
    /// To be called every few ten milliseconds.
    void tick();
    [[nodiscard]] const core::placement_scheduler& owned() const { return this->board; }

private:
    /// A request of this node on its way to, or placed by, an owner.
    struct placed_request {
        core::placement_request ask;
        placement_handler answered;
        core::node_name owner;
        /// Cells that have turned the request away.
        std::vector<core::cell_index> tried;
        core::time_point asked_at;
        core::time_point heard_at;
        core::time_point first_asked_at;
        std::uint32_t unanswered = 0;
        /// Whether it has been withdrawn from a cell in which it waited.
        bool moved = false;
        /// Set once an upstream was granted.
        std::optional<core::placement_grant> grant;
        bool started = false;
    };
    struct quota_question {
        core::team_name team;
        core::quota_request wanted;
        quota_handler answered;
        core::node_name owner;
        core::time_point asked_at;
        core::time_point first_asked_at;
    };

    void ask_owner(placed_request& request);
    [[nodiscard]] core::node_name owner_of_cell(const core::target_name& target,
                                                core::cell_index cell) const;
    [[nodiscard]] core::cell_index count_of_cells(const core::target_name& target) const;
    /// Asks another cell, if one is known to have room, in place of one that has none.
    bool try_other_cell(placed_request& request);
    /// The same for a request that waits.
    bool move_waiting(placed_request& request);
    void withdraw_ask(const placed_request& request);
    /// Requests that have an upstream belong to the cell of that upstream.
    void recount_cells();
    void heard_load(const placed_request& request, const core::cell_load& load);
    void deliver(core::placement_scheduler::responses& answers);
    void answer_own(placement_number number, const core::placement_response& answer);
    void report_held(const core::node_name& owner);
    void tick_asks(core::time_point now);
    void tick_quotas(core::time_point now);
    void change_at_owner(const core::team_rule& team, double units);
    void ask_quota_owner(placement_number number, quota_question& request);
    void take_quota_ask(const core::node_name& from, const wire::PeerDatagram& message);
    void refresh_owned_quotas();
    void quota_owners_changed();
    void answer_quota_alone(placement_number number, bool as_owner);
    void answer_quota(placement_number number, const core::quota_decision& answer);
    [[nodiscard]] core::quota_decision
    take_locally(const core::team_rule& team, const core::quota_request& wanted, bool as_owner);
    /// Whether requests to a target have found places at once lately.
    [[nodiscard]] bool has_room(const core::target_name& target) const;
    void take_ask(const core::node_name& from, core::incarnation run,
                  const wire::PeerDatagram& message);
    void take_held(const core::node_name& from, core::incarnation run,
                   const wire::PeerDatagram& message);

    placement_surroundings env;
    core::random_engine random;
    core::cell_chooser cells;
    std::map<core::target_name, core::cell_index> cell_counts;
    std::shared_ptr<const core::rule_index> rules;
    std::vector<core::announced_upstream> upstreams;
    core::placement_scheduler board;
    core::team_quota quotas;
    /// Owners of quotas that did not answer: until then this node spends its own share at once.
    std::map<core::node_name, core::time_point> silent_until;
    std::map<placement_number, placed_request> requests;
    std::map<placement_number, quota_question> quota_requests;
    /// Targets whose requests had to wait for a place, and until when that is remembered.
    std::map<core::target_name, core::time_point> crowded_until;
    placement_number last_number = 0;
    core::time_point report_at;
    std::set<core::node_name> reported_to;
    /// Answers to quota asks of other nodes, for asks that come again.
    struct given_answer {
        core::quota_decision answer;
        core::time_point at;
    };
    std::map<core::placement_id, given_answer> given_quotas;
};

} // namespace ragwortcove::gateway
