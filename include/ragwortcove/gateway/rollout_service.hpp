/// \file
/// Carries out the roll-outs that operators order, together with the other nodes: each node counts
/// and reports, and one of them controls the share of the new version and stores the state.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/rollout.hpp"
#include "ragwortcove/core/rollout_controller.hpp"
#include "ragwortcove/core/rollout_split.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::wire {
class PeerDatagram;
} // namespace ragwortcove::wire

namespace ragwortcove::gateway {

/// What became of a state that was sent to the store.
enum class state_write_result {
    stored,
    /// The order's document has changed since it was read.
    conflict,
    /// No usable response; the state may have been stored.
    failed,
};
using state_write_handler = std::function<void(state_write_result)>;

/// Functions and values that the service uses; tests supply their own.
struct rollout_dependencies {
    core::node_name self;
    core::incarnation run;
    std::function<core::time_point()> now;
    /// Owner of a key; the owner of a roll-out's key is its controller.
    std::function<core::node_name(std::string_view key)> owner_of;
    std::function<std::size_t()> serving_node_count;
    std::function<void(const core::node_name&, wire::PeerDatagram&)> send;
    std::function<void(wire::PeerDatagram&)> send_to_all;
    /// Stores the state of an order and its progress on condition that its document has not
    /// changed. The handler is called once.
    std::function<void(const core::rollout_order&, core::rollout_state, state_write_handler&&)>
        store_state;
    /// Takes the upstreams that may get requests, each with its pool, when they have changed.
    std::function<void(std::span<const core::announced_upstream>)> place_upstreams;
    core::rollout_limits limits;
};

class rollout_service {
public:
    explicit rollout_service(rollout_dependencies&& dependencies);
    ~rollout_service();
    rollout_service(const rollout_service&) = delete;
    rollout_service& operator=(const rollout_service&) = delete;

    /// Sets all upstreams that are known. None of them is placed before the orders are known, too.
    void set_upstreams(std::vector<core::announced_upstream>&& all);
    /// Sets all orders in force, each with its stored state.
    void set_orders(std::span<const core::rollout_order> all);
    /// Handles another node's report or directive.
    void receive_message(const core::node_name& from, const wire::PeerDatagram& message);
    /// Sends reports and directives that are due; to be called every few tens of milliseconds.
    void tick();

    /// What this node's requests use.
    [[nodiscard]] core::rollout_split& split() { return this->versions; }
    [[nodiscard]] const core::rollout_split& split() const { return this->versions; }
    /// Whether all requests of the target go to the new version.
    [[nodiscard]] bool moves_all(const core::target_name& target) const;
    /// Canaries that this node's requests do not use at present, since a few upstreams that get all
    /// of them show sooner what the version is like.
    [[nodiscard]] std::vector<core::upstream_name>
    unused_canaries(const core::target_name& target) const;
    /// Number of roll-outs that this node controls.
    [[nodiscard]] std::size_t controlled_count() const { return this->controllers.size(); }

private:
    struct known_order {
        core::rollout_order order;
        /// Whether the new version was found to be bad, here or on another node.
        bool halted = false;
        /// Whether the store has lost the state of the order, which has ended.
        bool is_state_lost = false;
        std::uint32_t share_permille = 0;
        core::time_point share_until;
    };
    /// An order that this node controls.
    struct controlled_order {
        core::version_name version;
        core::rollout_controller controller;
        std::optional<core::rollout_directive> directive;
        core::time_point next_decision_at;
        bool is_storing = false;
        /// Revision on which the latest write of a state was conditional, and when a state may be
        /// written on the same condition again.
        core::store_position last_condition;
        core::time_point next_store_at;
        std::uint32_t failures = 0;
        /// When the directive is sent for the last time, once the order has ended.
        std::optional<core::time_point> silent_at;
    };

    [[nodiscard]] bool controls(const core::target_name& target) const;
    [[nodiscard]] known_order* find(const core::target_name& target,
                                    const core::version_name& version);
    [[nodiscard]] const known_order* find(const core::target_name& target,
                                          const core::version_name& version) const;
    [[nodiscard]] core::upstream_role role_of(const core::announced_upstream& upstream) const;
    [[nodiscard]] std::size_t canary_count(const core::rollout_order& order) const;
    void place_upstreams();
    void apply_share(const core::rollout_directive& directive);
    [[nodiscard]] controlled_order& controller_of(const core::rollout_order& order);
    void drop_controllers(core::time_point now);
    void send_reports(core::time_point now);
    /// Keeps the state of an order that had ended before the store lost it.
    static void restore_lost_state(known_order& next, const known_order& before);
    void store_lost_states();
    void decide(const core::rollout_order& order, bool must_send);
    void repeat_directive(controlled_order& ended);
    void send_directive(const core::rollout_directive& directive);
    void store(const core::rollout_order& order, core::rollout_state state,
               const core::rollout_progress& progress);
    void on_stored(const core::rollout_order& order, core::rollout_state state,
                   state_write_result result);
    void halt(const core::target_name& target, const core::version_name& version,
              const core::node_name& from, std::string_view reason);

    rollout_dependencies env;
    core::random_engine random;
    core::rollout_split versions;
    std::vector<core::announced_upstream> upstreams;
    /// The upstreams that may get requests, with their pools.
    std::vector<core::announced_upstream> placed;
    /// When the roles are looked at again, since a version is held out for some time only.
    std::optional<core::time_point> next_placing_at;
    bool knows_orders = false;
    std::map<core::target_name, known_order> orders;
    std::map<core::target_name, controlled_order> controllers;
    core::time_point next_exchange_at;
};

} // namespace ragwortcove::gateway
