#include "ragwortcove/core/membership.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time between two heartbeats that this node starts, while members are few.
static constexpr duration shortest_period = 200ms;
/// The same when members are many; bounds what a node spends on membership.
static constexpr duration longest_period = 1s;
/// Members up to which the shortest period is kept; from there on it grows with their number.
static constexpr std::size_t members_at_shortest_period = 10;
/// How long a heartbeat's answer may take.
static constexpr duration answer_limit = 400ms;
/// How long a suspect may take to refute.
static constexpr duration suspicion_time = 1500ms;
/// How long a dead member is remembered, so that questions about its keys can be answered.
static constexpr duration dead_memory = 10min;
/// How long a member whose stream broke is not chosen.
static constexpr duration unreachable_time = 2s;
/// Claims on one heartbeat, at most.
static constexpr std::size_t most_claims_told = 8;
/// Claims on one heartbeat to a newcomer, so that a datagram stays below a usual MTU.
static constexpr std::size_t claims_on_introduction = 16;
/// How often a changed claim is passed on.
static constexpr std::uint32_t tell_count = 6;

membership::membership(const node_settings& self)
    : own{self.name,    self.run,   1,           member_state::joining,
          self.callers, self.peers, self.region, self.failure_domain}
{
}

// One heartbeat a period costs a node the same at any number of members. The period itself grows
// too, so that a large fleet spends less on what its many prober pairs see anyway.
static duration heartbeat_period(std::size_t members)
{
    const auto scale = static_cast<std::int64_t>(members / members_at_shortest_period);
    return std::clamp(shortest_period * scale, shortest_period, longest_period);
}

static bool is_newer(const member_claim& claim, const member_claim& known)
{
    if (claim.run != known.run)
        return claim.run > known.run;
    if (claim.version != known.version)
        return claim.version > known.version;
    return claim.state > known.state;
}

static bool may_own(const member& candidate, time_point now)
{
    const member_state state = candidate.claim.state;
    const bool present = state == member_state::live || state == member_state::suspect;
    return present && candidate.unreachable_until <= now;
}

void membership::set_state(member& of, member_state state, step_context& context)
{
    of.claim.state = state;
    of.expires_at = time_point::max();
    if (state == member_state::suspect)
        of.expires_at = context.now + suspicion_time;
    if (state == member_state::dead) {
        of.expires_at = context.now + dead_memory;
        this->changes.ended.push_back(of.claim.run);
    }
    this->pending_claims[of.claim.name] = tell_count;
    this->changes.owners_changed = true;
    static constexpr std::string_view names[] = {"joining", "live", "leaving", "suspect", "dead"};
    context.log(decision_kind::member_changed, {}, of.claim.name.value,
                std::string(names[static_cast<std::size_t>(state)]));
}

// A node that hears itself called suspect or dead answers with a greater version of its own state.
void membership::refute(const member_claim& claim)
{
    if (claim.run > this->own.run && (!this->later_own_run || claim.run > *this->later_own_run))
        this->later_own_run = claim.run;
    if (claim.run != this->own.run || claim.version < this->own.version)
        return;
    if (claim.state != member_state::suspect && claim.state != member_state::dead)
        return;
    this->own.version = claim.version + 1;
    if (claim.state == member_state::dead)
        this->changes.was_declared_dead = true;
}

void membership::merge(const member_claim& claim, step_context& context)
{
    if (claim.name.empty())
        return;
    if (claim.name == this->own.name) {
        this->refute(claim);
        return;
    }
    const auto found = this->members.find(claim.name);
    if (found == this->members.end()) {
        member& added = this->members[claim.name];
        added.claim = claim;
        added.last_seen_at = context.now;
        this->set_state(added, claim.state, context);
        return;
    }
    member& known = found->second;
    if (!is_newer(claim, known.claim))
        return;
    const bool replaced = claim.run != known.claim.run;
    if (replaced && known.claim.state != member_state::dead)
        this->changes.ended.push_back(known.claim.run);
    const member_state before = known.claim.state;
    known.claim = claim;
    if (replaced || claim.state != before)
        this->set_state(known, claim.state, context);
}

void membership::receive(const heartbeat& message, step_context& context)
{
    this->merge(message.sender, context);
    for (const member_claim& claim : message.known)
        this->merge(claim, context);
    const auto found = this->members.find(message.sender.name);
    if (found == this->members.end() || found->second.claim.run != message.sender.run)
        return;
    found->second.last_seen_at = context.now;
    found->second.store = message.store;
    found->second.configuration = message.configuration;
    if (this->pending && this->pending->target == message.sender.name)
        this->pending.reset();
}

void membership::merge_listed(std::span<const member_claim> listed, step_context& context)
{
    for (const member_claim& claim : listed) {
        if (this->members.contains(claim.name))
            continue;
        this->merge(claim, context);
    }
}

void membership::disconnected(const node_name& peer, step_context& context)
{
    const auto found = this->members.find(peer);
    if (found == this->members.end())
        return;
    found->second.unreachable_until = context.now + unreachable_time;
    this->changes.owners_changed = true;
}

void membership::raise_run()
{
    if (!this->later_own_run)
        return;
    this->own.run.value = this->later_own_run->value + 1;
    this->later_own_run.reset();
    this->changes.was_declared_dead = true;
}

void membership::leave()
{
    this->own.state = member_state::leaving;
    ++this->own.version;
    this->changes.owners_changed = true;
}

void membership::become_live()
{
    if (this->own.state != member_state::joining)
        return;
    this->own.state = member_state::live;
    ++this->own.version;
    this->changes.owners_changed = true;
}

std::vector<member_claim> membership::select_claims(const node_name& receiver,
                                                    step_context& context)
{
    std::vector<member_claim> told;
    const auto about_receiver = this->members.find(receiver);
    // A receiver that is suspected must hear of it, or it could not refute.
    if (about_receiver != this->members.end() &&
        about_receiver->second.claim.state >= member_state::suspect)
        told.push_back(about_receiver->second.claim);
    for (auto at = this->pending_claims.begin();
         at != this->pending_claims.end() && told.size() < most_claims_told;) {
        const auto found = this->members.find(at->first);
        if (found != this->members.end())
            told.push_back(found->second.claim);
        --at->second;
        at = at->second == 0 ? this->pending_claims.erase(at) : std::next(at);
    }
    // One member at random besides: what was lost on the way comes round again.
    if (!this->members.empty() && told.size() < most_claims_told) {
        auto any = this->members.begin();
        std::advance(
            any, static_cast<std::ptrdiff_t>(uniform_below(context.random, this->members.size())));
        told.push_back(any->second.claim);
    }
    return told;
}

heartbeat membership::make_heartbeat(const node_name& receiver, bool wants_answer,
                                     step_context& context)
{
    heartbeat made;
    made.sender = this->own;
    made.known = this->select_claims(receiver, context);
    made.wants_answer = wants_answer;
    made.view = this->view();
    return made;
}

// The sum does not depend on the order. A suspect most likely serves.
std::uint64_t membership::view() const
{
    const auto hash_of = [](const member_claim& claim) {
        const bool serves =
            claim.state == member_state::live || claim.state == member_state::suspect;
        return serves ? stable_hash(claim.name.value, claim.run.value) : 0;
    };
    std::uint64_t sum = hash_of(this->own);
    for (const auto& [name, known] : this->members)
        sum += hash_of(known.claim);
    return sum;
}

std::vector<heartbeat> membership::introductions() const
{
    std::vector<heartbeat> made;
    for (const auto& [name, known] : this->members) {
        if (made.empty() || made.back().known.size() == claims_on_introduction) {
            made.emplace_back();
            made.back().sender = this->own;
        }
        made.back().known.push_back(known.claim);
    }
    return made;
}

void membership::expire(step_context& context)
{
    if (this->pending && this->pending->deadline <= context.now) {
        const auto found = this->members.find(this->pending->target);
        this->pending.reset();
        if (found != this->members.end() && found->second.claim.state < member_state::suspect)
            this->set_state(found->second, member_state::suspect, context);
    }
    for (auto at = this->members.begin(); at != this->members.end();) {
        member& known = at->second;
        if (known.unreachable_until != time_point{} && known.unreachable_until <= context.now) {
            known.unreachable_until = time_point{};
            this->changes.owners_changed = true;
        }
        if (known.expires_at > context.now) {
            ++at;
            continue;
        }
        if (known.claim.state == member_state::suspect) {
            this->set_state(known, member_state::dead, context);
            ++at;
            continue;
        }
        this->pending_claims.erase(at->first);
        at = this->members.erase(at);
    }
}

// Each period asks the next member of a shuffled round, so that every member is asked once a round
// and a dead one is found within it.
std::vector<node_name> membership::due(step_context& context)
{
    this->expire(context);
    if (context.now < this->next_period)
        return {};
    this->next_period = context.now + heartbeat_period(this->members.size());
    if (this->probe_order.empty()) {
        for (const auto& [name, known] : this->members) {
            if (known.claim.state != member_state::dead)
                this->probe_order.push_back(name);
        }
        for (std::size_t left = this->probe_order.size(); left > 1; --left)
            std::swap(this->probe_order[left - 1],
                      this->probe_order[uniform_below(context.random, left)]);
    }
    if (this->probe_order.empty())
        return {};
    const node_name target = this->probe_order.back();
    this->probe_order.pop_back();
    if (!this->pending)
        this->pending = probe{target, context.now + answer_limit};
    return {target};
}

time_point membership::next_wakeup() const
{
    time_point next = this->next_period;
    if (this->pending)
        next = std::min(next, this->pending->deadline);
    return next;
}

const member* membership::find(const node_name& name) const
{
    const auto found = this->members.find(name);
    return found == this->members.end() ? nullptr : &found->second;
}

const member* membership::find_run(incarnation run) const
{
    const auto found =
        std::find_if(this->members.begin(), this->members.end(), [&](const auto& entry) {
            return entry.second.claim.run == run && entry.second.claim.state != member_state::dead;
        });
    return found == this->members.end() ? nullptr : &found->second;
}

std::vector<std::string> membership::owners(const region_name& region, time_point now) const
{
    std::vector<std::string> local;
    std::vector<std::string> everywhere;
    const auto consider = [&](const node_name& name, const region_name& of) {
        everywhere.push_back(name.value);
        if (of == region)
            local.push_back(name.value);
    };
    for (const auto& [name, known] : this->members) {
        if (may_own(known, now))
            consider(name, known.claim.region);
    }
    if (this->own.state == member_state::live || everywhere.empty())
        consider(this->own.name, this->own.region);
    return local.empty() ? everywhere : local;
}

std::vector<const member*> membership::others() const
{
    std::vector<const member*> found;
    for (const auto& [name, known] : this->members) {
        if (known.claim.state != member_state::dead)
            found.push_back(&known);
    }
    return found;
}

std::vector<member_claim> membership::all() const
{
    std::vector<member_claim> claims{this->own};
    for (const auto& [name, known] : this->members)
        claims.push_back(known.claim);
    return claims;
}

membership_changes membership::take_changes()
{
    return std::exchange(this->changes, {});
}

} // namespace ragwortcove::core
