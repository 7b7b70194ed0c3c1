#include "ragwortcove/core/membership.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time between two heartbeats that this node initiates, while members are few.
static constexpr duration min_period = 200ms;
/// The same when members are many; limits what a node spends on membership.
static constexpr duration max_period = 1s;
/// Number of members up to which the minimum period applies; above, it grows with their number.
static constexpr std::size_t members_at_min_period = 10;
/// How long the response to a heartbeat may take.
static constexpr duration response_timeout = 400ms;
/// How long a suspect may take to refute the suspicion.
static constexpr duration suspicion_timeout = 1500ms;
/// How long a dead member's record is kept, so that queries about its keys can be answered.
static constexpr duration dead_retention = 10min;
/// How long a member is not chosen after the connection to it was lost.
static constexpr duration unreachable_duration = 2s;
/// Maximum number of claims on one heartbeat.
static constexpr std::size_t max_claims_per_heartbeat = 8;
/// Maximum number of claims on one heartbeat to a new member, so that a datagram stays below a
/// usual MTU.
static constexpr std::size_t max_claims_per_introduction = 16;
/// Number of heartbeats on which a changed claim is sent.
static constexpr std::uint32_t sends_per_claim = 6;

membership::membership(const node_settings& self)
    : own{self.name,    self.run,   1,           member_state::joining,
          self.callers, self.peers, self.region, self.failure_domain}
{
}

// One heartbeat per period costs a node the same at any number of members. The period grows with
// the number of members as well, since among many members each one is probed by many others anyway.
static duration heartbeat_period(std::size_t members)
{
    const auto scale = static_cast<std::int64_t>(members / members_at_min_period);
    return std::clamp(min_period * scale, min_period, max_period);
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

void membership::set_state(member& changed, member_state state, step_context& context)
{
    changed.claim.state = state;
    changed.expires_at = time_point::max();
    if (state == member_state::suspect)
        changed.expires_at = context.now + suspicion_timeout;
    if (state == member_state::dead) {
        changed.expires_at = context.now + dead_retention;
        this->changes.ended.push_back(changed.claim.run);
    }
    this->pending_claims[changed.claim.name] = sends_per_claim;
    this->changes.owners_changed = true;
    static constexpr std::string_view names[] = {"joining", "live", "leaving", "suspect", "dead"};
    context.log(decision_kind::member_changed, {}, changed.claim.name.value,
                std::string(names[static_cast<std::size_t>(state)]));
}

// A node that receives a claim that it is suspect or dead refutes the claim by a greater version of
// its own claim.
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
    found->second.unreachable_until = context.now + unreachable_duration;
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
    std::vector<member_claim> claims;
    const auto receiver_entry = this->members.find(receiver);
    // A suspected receiver must be sent the claim on itself, or it could not refute the suspicion.
    if (receiver_entry != this->members.end() &&
        receiver_entry->second.claim.state >= member_state::suspect)
        claims.push_back(receiver_entry->second.claim);
    for (auto at = this->pending_claims.begin();
         at != this->pending_claims.end() && claims.size() < max_claims_per_heartbeat;) {
        const auto found = this->members.find(at->first);
        if (found != this->members.end())
            claims.push_back(found->second.claim);
        --at->second;
        at = at->second == 0 ? this->pending_claims.erase(at) : std::next(at);
    }
    // One random member in addition, so that claims that were lost in transit are sent again.
    if (!this->members.empty() && claims.size() < max_claims_per_heartbeat) {
        auto random_entry = this->members.begin();
        std::advance(random_entry, static_cast<std::ptrdiff_t>(
                                       uniform_below(context.random, this->members.size())));
        claims.push_back(random_entry->second.claim);
    }
    return claims;
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

// A sum, so that the order does not matter. A suspect counts as serving, since it most likely does.
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
        if (made.empty() || made.back().known.size() == max_claims_per_introduction) {
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

// Each period probes the next member of a shuffled round, so that every member is probed once a
// round and a dead one is detected within a round.
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
        for (std::size_t unshuffled = this->probe_order.size(); unshuffled > 1; --unshuffled)
            std::swap(this->probe_order[unshuffled - 1],
                      this->probe_order[uniform_below(context.random, unshuffled)]);
    }
    if (this->probe_order.empty())
        return {};
    const node_name target = this->probe_order.back();
    this->probe_order.pop_back();
    if (!this->pending)
        this->pending = probe{target, context.now + response_timeout};
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
    const auto consider = [&](const node_name& name, const region_name& candidate) {
        everywhere.push_back(name.value);
        if (candidate == region)
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
