/// \file
/// The instances that this one knows and their states, kept by heartbeats, suspicion and gossip.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/node.hpp"
#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// A member as this node sees it.
struct member {
    member_claim claim;
    time_point last_seen_at;
    /// When a suspect is declared dead, or a dead member's record is removed.
    time_point expires_at = time_point::max();
    /// Until when this node does not choose the member, since the connection to it was lost.
    time_point unreachable_until;
    store_id store;
    revision configuration;
};

/// Changes since the last call of `take_changes`.
struct membership_changes {
    /// Whether the set of members that can own something changed.
    bool owners_changed = false;
    /// Incarnations that have ended.
    std::vector<incarnation> ended;
    /// Whether another node declared this node dead.
    bool was_declared_dead = false;
};

/// Membership after SWIM (Das, Gupta and Motivala, 2002): one member is probed per period, a member
/// that does not respond is suspected and then declared dead, and claims are disseminated on the
/// heartbeats.
class membership {
public:
    explicit membership(const node_settings& self);

    /// Fills in the sender, the claims to pass on and whether the receiver should reply.
    [[nodiscard]] heartbeat make_heartbeat(const node_name& receiver, bool wants_answer,
                                           step_context& context);
    /// Hash of the incarnations that this node considers serving; equal views give equal hashes.
    [[nodiscard]] std::uint64_t view() const;
    /// Heartbeats that together carry a claim on every member, a few on each, for a new member.
    [[nodiscard]] std::vector<heartbeat> introductions() const;
    void receive(const heartbeat& message, step_context& context);
    /// Adds unknown members from the platform's list, which lags; never declares a member dead.
    void merge_listed(std::span<const member_claim> members, step_context& context);
    void disconnected(const node_name& peer, step_context& context);
    void leave();
    /// Raises this node's incarnation above any that others know of.
    void raise_run();
    /// Changes this node's state from joining to live; called once it can serve.
    void become_live();

    /// Members to send a heartbeat to now; empty between periods.
    [[nodiscard]] std::vector<node_name> due(step_context& context);
    [[nodiscard]] time_point next_wakeup() const;

    [[nodiscard]] const member* find(const node_name& name) const;
    /// The member that runs under this incarnation; null when none is known or it has ended.
    [[nodiscard]] const member* find_run(incarnation run) const;
    /// Names of members that may own something, this node among them: those of the region, or of
    /// all regions if the region has none.
    [[nodiscard]] std::vector<std::string> owners(const region_name& region, time_point now) const;
    /// Members other than this one that are not dead.
    [[nodiscard]] std::vector<const member*> others() const;
    [[nodiscard]] std::vector<member_claim> all() const;
    [[nodiscard]] const member_claim& self() const { return this->own; }
    [[nodiscard]] membership_changes take_changes();

private:
    void merge(const member_claim& claim, step_context& context);
    void set_state(member& changed, member_state state, step_context& context);
    void refute(const member_claim& claim);
    void expire(step_context& context);
    [[nodiscard]] std::vector<member_claim> select_claims(const node_name& receiver,
                                                          step_context& context);

    member_claim own;
    std::map<node_name, member> members;
    /// Members whose claims changed lately, and on how many more heartbeats each claim is sent.
    std::map<node_name, std::uint32_t> pending_claims;
    std::vector<node_name> probe_order;
    struct probe {
        node_name target;
        time_point deadline;
    };
    std::optional<probe> pending;
    time_point next_period;
    std::optional<incarnation> later_own_run;
    membership_changes changes;
};

} // namespace ragwortcove::core
