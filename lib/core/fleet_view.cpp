#include "ragwortcove/core/fleet_view.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Interval between heartbeats to seeds and to nodes that are considered dead. After a partition,
/// nothing else would let the two sides discover each other.
static constexpr duration greet_period = 1s;
static constexpr std::size_t max_greeted = 3;
static constexpr std::size_t max_seeds = 64;
/// How long a node that did not respond is excluded from the owners.
static constexpr duration unreachable_duration = 1s;
/// A view that no settled node confirms counts as settled after this time. Nodes that all start at
/// once start within 0.3 s, and gossip among hundreds of them takes a few rounds.
static constexpr duration settle_timeout = 400ms;
/// A heartbeat that was sent before a pause may arrive after it, and confirms nothing.
static constexpr duration min_settle_time = 100ms;
/// A longer time between two ticks is a pause, within which others may have taken this node for
/// dead. Shorter than the time that this takes them.
static constexpr duration max_tick_gap = 1s;
/// Minimum interval between sending all member claims to nodes whose view differs.
static constexpr duration reconcile_period = 100ms;
/// Maximum number of nodes that are notified at once when this node starts or stops serving; the
/// others learn of the change by gossip, and choose other owners until then.
static constexpr std::size_t max_broadcast = 1000;

/// A suspect may still be serving: a node stops counting as serving only when it ends or announces
/// that it is leaving.
static bool is_serving(const member_claim& claim)
{
    return claim.state == member_state::live || claim.state == member_state::suspect;
}

/// Removes elements at random until `count` are left.
template <class Element>
static void keep_random(std::vector<Element>& all, std::size_t count, random_engine& random)
{
    while (all.size() > count) {
        const auto removed = static_cast<std::ptrdiff_t>(uniform_below(random, all.size()));
        all.erase(all.begin() + removed);
    }
}

fleet_view::fleet_view(const node_settings& settings, time_point now)
    : self{settings}, members{settings}, last_tick_at{now}, settling_since{now}
{
    static_cast<void>(this->refresh_owners(now));
}

void fleet_view::tick(step_context& context)
{
    this->update_settled(context.now);
    this->last_tick_at = context.now;
    for (const node_name& target : this->members.due(context)) {
        const member* known = this->members.find(target);
        if (known != nullptr)
            this->send_heartbeat(target, known->claim.peers, true, context);
    }
    if (!this->settled)
        this->gossip(context);
    if (context.now >= this->next_greeting_at) {
        this->next_greeting_at = context.now + greet_period;
        this->greet_seeds(context);
    }
    const std::size_t reachable_again = std::erase_if(
        this->unreachable_until, [&](const auto& each) { return each.second <= context.now; });
    this->must_choose_owners = this->must_choose_owners || reachable_again > 0;
}

void fleet_view::update_settled(time_point now)
{
    if (now - this->last_tick_at > max_tick_gap) {
        this->settled = false;
        this->settling_since = now;
    }
    const bool is_uncertain =
        this->self.confirms_isolation && this->is_isolated() && !this->isolation_confirmed;
    // The view of a node that has found others late is as new as that of one that starts.
    if (is_uncertain && !this->settled)
        this->settling_since = now;
    if (now - this->settling_since >= settle_timeout)
        this->settled = true;
}

void fleet_view::add_seeds(std::span<const endpoint> addresses)
{
    for (const endpoint& address : addresses) {
        std::vector<endpoint>& known = this->self.seeds;
        const bool is_known = std::find(known.begin(), known.end(), address) != known.end();
        if (!is_known && known.size() < max_seeds)
            known.push_back(address);
    }
    this->next_greeting_at = time_point{};
}

bool fleet_view::is_settled(time_point now) const
{
    return this->settled && now - this->last_tick_at <= max_tick_gap;
}

void fleet_view::greet_seeds(step_context& context)
{
    std::vector<endpoint> candidates;
    for (const endpoint& seed : this->self.seeds) {
        if (seed != this->self.peers)
            candidates.push_back(seed);
    }
    for (const member_claim& claim : this->members.all()) {
        if (claim.name == this->self.name)
            continue;
        std::erase(candidates, claim.peers);
        if (claim.state == member_state::dead)
            candidates.push_back(claim.peers);
    }
    keep_random(candidates, max_greeted, context.random);
    for (const endpoint& candidate : candidates)
        this->send_heartbeat({}, candidate, true, context);
}

// Regular heartbeats are a second apart in a large fleet, too long to agree on who serves.
void fleet_view::gossip(step_context& context)
{
    const std::vector<const member*> others = this->members.others();
    if (others.empty())
        return;
    const member_claim& chosen = others[uniform_below(context.random, others.size())]->claim;
    this->send_heartbeat(chosen.name, chosen.peers, true, context);
}

void fleet_view::send_heartbeat(const node_name& to, const endpoint& address, bool wants_response,
                                step_context& context)
{
    heartbeat made = this->members.make_heartbeat(to, wants_response, context);
    made.is_settled = this->is_settled(context.now);
    context.effects.emplace_back(send_peer{to, address, std::move(made)});
}

void fleet_view::receive(const heartbeat& message, step_context& context)
{
    this->members.receive(message, context);
    if (this->unreachable_until.erase(message.sender.name) > 0)
        this->must_choose_owners = true;
    // If the clock was set back before this start, the incarnation must still be later than that of
    // the previous run.
    this->members.raise_run();
    // The other nodes have chosen other owners.
    if (this->collect_changes().was_declared_dead)
        this->broadcast_heartbeat(context);
    if (message.wants_answer) {
        this->send_heartbeat(message.sender.name, message.sender.peers, false, context);
        const bool is_newcomer =
            message.known.empty() && message.sender.state == member_state::joining;
        if (is_newcomer)
            this->send_all_claims(message.sender.peers, context);
    }
    this->reconcile_views(message, context);
    const bool confirms = message.is_settled && message.view == this->members.view();
    if (confirms && context.now - this->settling_since >= min_settle_time)
        this->settled = true;
}

void fleet_view::send_all_claims(const endpoint& to, step_context& context)
{
    for (heartbeat& each : this->members.introductions())
        context.effects.emplace_back(send_peer{{}, to, std::move(each)});
}

// Nodes with different views of the serving members choose different owners. When all nodes start
// at once, gossip on heartbeats alone takes many periods to make the views agree, so a node whose
// view differs is sent the claims of all members.
void fleet_view::reconcile_views(const heartbeat& message, step_context& context)
{
    const bool differs = message.view != 0 && message.view != this->members.view();
    if (!differs || context.now < this->next_reconcile_at)
        return;
    this->next_reconcile_at = context.now + reconcile_period;
    this->send_all_claims(message.sender.peers, context);
}

membership_changes fleet_view::collect_changes()
{
    membership_changes changes = this->members.take_changes();
    this->ended.insert(this->ended.end(), changes.ended.begin(), changes.ended.end());
    this->must_choose_owners = this->must_choose_owners || changes.owners_changed;
    return changes;
}

// Most heartbeats change nothing, and choosing the owners takes time in proportion to the members.
bool fleet_view::refresh_owners(time_point now)
{
    static_cast<void>(this->collect_changes());
    const bool must_choose = std::exchange(this->must_choose_owners, false);
    const bool has_changed = must_choose && this->choose_owners(now);
    const bool was_settled = std::exchange(this->settled_before, this->is_settled(now));
    return has_changed || was_settled != this->settled_before;
}

bool fleet_view::choose_owners(time_point now)
{
    std::vector<std::string> owners_now = this->members.owners(this->self.region, now);
    std::erase_if(owners_now, [this](const std::string& name) {
        return this->unreachable_until.contains(node_name{name});
    });
    if (owners_now.empty())
        owners_now.push_back(this->self.name.value);
    std::sort(owners_now.begin(), owners_now.end());
    std::vector<std::string> serving_now;
    std::vector<std::string> present_now;
    std::vector<std::string> leaving_now;
    const std::vector<member_claim> claims = this->members.all();
    for (const member_claim& claim : claims) {
        if (is_serving(claim))
            serving_now.push_back(claim.name.value);
        if (claim.state == member_state::leaving)
            leaving_now.push_back(claim.name.value);
        if (is_serving(claim) || claim.state == member_state::joining)
            present_now.push_back(claim.name.value);
    }
    std::sort(present_now.begin(), present_now.end());
    this->present = std::move(present_now);
    this->known_nodes = this->count_known(claims);
    // While all nodes leave, each still takes requests for a moment. They must not all account for
    // the same quota.
    if (serving_now.empty())
        serving_now = std::move(leaving_now);
    if (serving_now.empty())
        serving_now.push_back(this->self.name.value);
    std::sort(serving_now.begin(), serving_now.end());
    const bool has_changed = owners_now != this->owners || serving_now != this->serving;
    this->owners = std::move(owners_now);
    this->serving = std::move(serving_now);
    return has_changed;
}

// A dead node may be running on the other side of a partition, and spend its own part there.
std::size_t fleet_view::count_known(std::span<const member_claim> claims) const
{
    const bool has_other_seed =
        std::any_of(this->self.seeds.begin(), this->self.seeds.end(),
                    [this](const endpoint& seed) { return seed != this->self.peers; });
    if (claims.size() == 1 && has_other_seed)
        return 0;
    return static_cast<std::size_t>(
        std::count_if(claims.begin(), claims.end(), [](const member_claim& claim) {
            return claim.state != member_state::leaving;
        }));
}

std::vector<incarnation> fleet_view::take_ended()
{
    return std::exchange(this->ended, {});
}

void fleet_view::become_live(step_context& context)
{
    this->members.become_live();
    this->broadcast_heartbeat(context);
}

void fleet_view::leave(step_context& context)
{
    this->members.leave();
    this->broadcast_heartbeat(context);
}

void fleet_view::broadcast_heartbeat(step_context& context)
{
    std::vector<const member*> others = this->members.others();
    keep_random(others, max_broadcast, context.random);
    for (const member* other : others)
        this->send_heartbeat(other->claim.name, other->claim.peers, false, context);
}

void fleet_view::mark_unreachable(const node_name& name, time_point now)
{
    this->unreachable_until[name] = now + unreachable_duration;
    this->must_choose_owners = true;
}

node_name fleet_view::owner_of(std::string_view key) const
{
    return node_name{this->owners[rendezvous_first(key, this->owners)]};
}

node_name fleet_view::exclusive_owner_of(std::string_view key) const
{
    return node_name{this->serving[rendezvous_first(key, this->serving)]};
}

std::size_t fleet_view::lost_node_count() const
{
    std::size_t count = 0;
    for (const member_claim& claim : this->members.all())
        count += claim.state == member_state::dead ? 1 : 0;
    return count;
}

} // namespace ragwortcove::core
