#include "ragwortcove/gateway/rollout_service.hpp"

#include "ragwortcove/daemon/event_log.hpp"
#include "rollout_messages.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;
using daemon::log_event;

/// Interval between the reports of a node, and between the directives of a controller.
static constexpr duration min_exchange_interval = 200ms;
/// The same for each node of a large fleet, whose controller gets a report from all of them.
static constexpr duration exchange_interval_per_node = 5ms;
/// A share holds for a limited time, within which a directive may be lost.
static constexpr duration max_exchange_interval = core::directive_lifetime / 3;
/// Part of a share by which a notable change exceeds it at least, as a divisor.
static constexpr std::uint32_t notable_share_divisor = 5;
/// Share of all requests of a target, in thousandths.
static constexpr std::uint32_t all_permille = 1000;
/// Canaries that one request may name as not to be used.
static constexpr std::size_t max_unused_canaries = 24;
/// Shortest time between two decisions of a controller.
static constexpr duration decision_interval = 50ms;
/// How long the last directive is repeated after an order has ended, for nodes that do not know its
/// state yet.
static constexpr duration repeat_after_end = 3s;
/// Time within which a state that was stored is expected to arrive with the documents.
static constexpr duration stored_state_delay = 400ms;
/// Base of the delay after a state was not stored: exponential backoff with full jitter.
static constexpr duration store_retry_base = 100ms;
static constexpr duration min_store_retry = 50ms;
static constexpr duration max_store_retry = 1s;
static constexpr std::uint32_t max_store_failures = 6;

static std::string key_of(const core::target_name& target)
{
    return "rollout/" + target.value;
}

static std::string_view to_text(core::rollout_state state)
{
    switch (state) {
    case core::rollout_state::pending:
        return "pending";
    case core::rollout_state::running:
        return "running";
    case core::rollout_state::complete:
        return "complete";
    case core::rollout_state::reverted:
        return "reverted";
    }
    return "unknown";
}

static std::string_view to_text(state_write_result result)
{
    switch (result) {
    case state_write_result::stored:
        return "stored";
    case state_write_result::conflict:
        return "conflict";
    case state_write_result::failed:
        return "failed";
    }
    return "unknown";
}

/// Whether a directive differs so much from an earlier one that it is sent at once and logged.
static bool differs_notably(const core::rollout_directive& before,
                            const core::rollout_directive& after)
{
    if (before.halted != after.halted)
        return true;
    const auto [smaller, larger] = std::minmax(before.share_permille, after.share_permille);
    return (larger - smaller) * notable_share_divisor >= larger && larger != smaller;
}

rollout_service::rollout_service(rollout_dependencies&& dependencies)
    : env(std::move(dependencies)), random(this->env.run.value)
{
}

rollout_service::~rollout_service() = default;

void rollout_service::set_orders(std::span<const core::rollout_order> all)
{
    std::map<core::target_name, known_order> next;
    std::vector<core::rollout_order> in_force;
    for (const core::rollout_order& listed : all) {
        const auto known = this->orders.find(listed.target);
        const bool is_same_version =
            known != this->orders.end() && known->second.order.version == listed.version;
        known_order& added = next[listed.target];
        if (is_same_version)
            added = known->second;
        added.order = listed;
        if (is_same_version)
            restore_lost_state(added, known->second);
        const core::rollout_order& order = added.order;
        in_force.push_back(order);
        if (is_same_version && known->second.order.state == order.state)
            continue;
        daemon::write_log(log_event::rollout_ordered,
                          {{"target", order.target.value},
                           {"version", order.version.value},
                           {"state", to_text(order.state)},
                           {"limit_ms", std::to_string(order.time_limit / 1ms)},
                           {"revision", std::to_string(order.at.revision.value)}});
    }
    this->orders = std::move(next);
    this->knows_orders = true;
    this->versions.set_orders(in_force, this->env.now());
    this->place_upstreams();
}

void rollout_service::restore_lost_state(known_order& next, const known_order& before)
{
    const bool is_later_era = next.order.at.era > before.order.at.era;
    const bool is_same_order = next.order.time_limit == before.order.time_limit;
    next.is_state_lost = before.order.has_ended() && !next.order.has_ended() && is_same_order &&
                         (is_later_era || before.is_state_lost);
    if (!next.is_state_lost)
        return;
    next.order.state = before.order.state;
    next.order.progress.reset();
    if (before.is_state_lost)
        return;
    daemon::write_log(log_event::rollout_state_lost,
                      {{"target", next.order.target.value},
                       {"version", next.order.version.value},
                       {"state", to_text(next.order.state)},
                       {"revision", std::to_string(next.order.at.revision.value)}});
}

void rollout_service::store_lost_states()
{
    for (const auto& [target, known] : this->orders) {
        if (known.is_state_lost && this->controls(target))
            this->store(known.order, known.order.state, {});
    }
}

void rollout_service::set_upstreams(std::vector<core::announced_upstream>&& all)
{
    const time_point now = this->env.now();
    this->upstreams = std::move(all);
    this->versions.set_upstreams(this->upstreams, now);
    this->next_placing_at = now + core::unordered_version_hold;
    this->place_upstreams();
}

// All upstreams of the new version are one pool, the same on all nodes: which of them a node's
// requests use is each node's own choice, and may change with every request.
core::upstream_role rollout_service::role_of(const core::announced_upstream& upstream) const
{
    const known_order* const known = this->find(upstream.target, upstream.version);
    if (known == nullptr || known->order.has_ended())
        return this->versions.role_of(upstream);
    return known->halted ? core::upstream_role::excluded : core::upstream_role::canary;
}

void rollout_service::place_upstreams()
{
    if (!this->knows_orders)
        return;
    std::vector<core::announced_upstream> next;
    next.reserve(this->upstreams.size());
    for (const core::announced_upstream& each : this->upstreams) {
        const core::upstream_role role = this->role_of(each);
        if (role == core::upstream_role::excluded)
            continue;
        next.push_back(each);
        if (role == core::upstream_role::canary)
            next.back().pool = core::canary_pool_of(each.target);
    }
    if (next == this->placed)
        return;
    this->placed = std::move(next);
    this->env.place_upstreams(this->placed);
}

std::size_t rollout_service::canary_count(const core::rollout_order& order) const
{
    return static_cast<std::size_t>(std::count_if(
        this->upstreams.begin(), this->upstreams.end(), [&](const core::announced_upstream& each) {
            return each.target == order.target && each.version == order.version && !each.leaving;
        }));
}

std::vector<core::upstream_name>
rollout_service::unused_canaries(const core::target_name& target) const
{
    std::vector<core::upstream_name> unused;
    for (const core::announced_upstream& each : this->placed) {
        const bool is_canary = each.target == target && !each.pool.empty();
        if (is_canary && this->versions.role_of(each) != core::upstream_role::canary)
            unused.push_back(each.name);
    }
    // In a pool of several cells, a request that may use one upstream seldom reaches its cell.
    return unused.size() > max_unused_canaries ? std::vector<core::upstream_name>{} : unused;
}

bool rollout_service::moves_all(const core::target_name& target) const
{
    const auto found = this->orders.find(target);
    return found != this->orders.end() && !found->second.halted &&
           found->second.share_permille >= all_permille &&
           this->env.now() < found->second.share_until;
}

void rollout_service::apply_share(const core::rollout_directive& directive)
{
    const time_point now = this->env.now();
    this->versions.on_directive(directive, now);
    known_order* const known = this->find(directive.target, directive.version);
    if (known == nullptr)
        return;
    known->share_permille = directive.share_permille;
    known->share_until = now + core::directive_lifetime;
}

bool rollout_service::controls(const core::target_name& target) const
{
    return this->env.owner_of(key_of(target)) == this->env.self;
}

rollout_service::known_order* rollout_service::find(const core::target_name& target,
                                                    const core::version_name& version)
{
    const auto found = this->orders.find(target);
    const bool matches = found != this->orders.end() && found->second.order.version == version;
    return matches ? &found->second : nullptr;
}

const rollout_service::known_order* rollout_service::find(const core::target_name& target,
                                                          const core::version_name& version) const
{
    const auto found = this->orders.find(target);
    const bool matches = found != this->orders.end() && found->second.order.version == version;
    return matches ? &found->second : nullptr;
}

rollout_service::controlled_order& rollout_service::controller_of(const core::rollout_order& order)
{
    const auto found = this->controllers.find(order.target);
    if (found != this->controllers.end() && found->second.version == order.version)
        return found->second;
    controlled_order created{
        order.version, {order, this->env.limits, this->env.now()}, {}, {}, false, {}, {}, 0, {}};
    return this->controllers.insert_or_assign(order.target, std::move(created)).first->second;
}

void rollout_service::receive_message(const core::node_name& from,
                                      const wire::PeerDatagram& message)
{
    if (message.body_case() == wire::PeerDatagram::kRolloutReport) {
        const core::rollout_report report = read_rollout_report(message.rollout_report());
        const known_order* const known = this->find(report.target, report.version);
        if (known == nullptr)
            return;
        if (message.rollout_report().halted())
            this->halt(report.target, report.version, from, "report");
        if (!known->order.has_ended() && this->controls(report.target))
            this->controller_of(known->order)
                .controller.on_report({message.run()}, report, this->env.now());
        return;
    }
    if (message.body_case() != wire::PeerDatagram::kRolloutDirective)
        return;
    const core::rollout_directive directive = read_rollout_directive(message.rollout_directive());
    if (directive.halted)
        this->halt(directive.target, directive.version, from, "directive");
    // While nodes disagree on the owner, each follows the one that it reports to.
    else if (this->env.owner_of(key_of(directive.target)) == from)
        this->apply_share(directive);
}

// A halt is obeyed and passed on whoever it comes from: its controller may be gone.
void rollout_service::halt(const core::target_name& target, const core::version_name& version,
                           const core::node_name& from, std::string_view reason)
{
    known_order* const known = this->find(target, version);
    if (known == nullptr || known->halted)
        return;
    known->halted = true;
    daemon::write_log(log_event::rollout_halted, {{"target", target.value},
                                                  {"version", version.value},
                                                  {"from", from.value},
                                                  {"reason", reason}});
    this->versions.on_directive({target, version, 0, true}, this->env.now());
    this->place_upstreams();
}

void rollout_service::tick()
{
    const time_point now = this->env.now();
    if (this->next_placing_at && now > *this->next_placing_at) {
        this->next_placing_at.reset();
        this->versions.set_upstreams(this->upstreams, now);
        this->place_upstreams();
    }
    this->drop_controllers(now);
    const bool is_exchange_due = now >= this->next_exchange_at;
    if (is_exchange_due) {
        const auto nodes = static_cast<duration::rep>(this->env.serving_node_count());
        this->next_exchange_at = now + std::clamp(exchange_interval_per_node * nodes,
                                                  min_exchange_interval, max_exchange_interval);
        this->send_reports(now);
    }
    for (const core::rollout_order& order : this->versions.active_orders()) {
        if (this->controls(order.target))
            this->decide(order, is_exchange_due);
    }
    this->store_lost_states();
    if (!is_exchange_due)
        return;
    for (auto& [target, each] : this->controllers) {
        if (each.silent_at)
            this->repeat_directive(each);
    }
}

void rollout_service::drop_controllers(time_point now)
{
    for (auto at = this->controllers.begin(); at != this->controllers.end();) {
        controlled_order& each = at->second;
        const known_order* const known = this->find(at->first, each.version);
        if (known != nullptr && known->order.has_ended() && !each.silent_at)
            each.silent_at = now + repeat_after_end;
        const bool is_over = each.silent_at && *each.silent_at <= now;
        if (known == nullptr || is_over || !this->controls(at->first))
            at = this->controllers.erase(at);
        else
            ++at;
    }
}

void rollout_service::send_reports(time_point now)
{
    for (const core::rollout_report& report : this->versions.reports(now)) {
        const known_order* const known = this->find(report.target, report.version);
        if (known == nullptr || known->order.has_ended())
            continue;
        if (this->controls(report.target)) {
            this->controller_of(known->order).controller.on_report(this->env.run, report, now);
            continue;
        }
        wire::PeerDatagram message;
        write_rollout_report(report, *message.mutable_rollout_report());
        message.mutable_rollout_report()->set_halted(known->halted);
        this->env.send(this->env.owner_of(key_of(report.target)), message);
    }
}

void rollout_service::decide(const core::rollout_order& order, bool must_send)
{
    const time_point now = this->env.now();
    controlled_order& own = this->controller_of(order);
    if (now < own.next_decision_at && !must_send)
        return;
    own.next_decision_at = now + decision_interval;
    core::rollout_step step = own.controller.decide(order, this->canary_count(order), now);
    // An earlier controller may have found out what this one has too few counts for.
    const known_order* const known = this->find(order.target, order.version);
    if (known != nullptr && known->halted && !step.directive.halted) {
        step.directive.halted = true;
        step.directive.share_permille = 0;
        step.store_state = core::rollout_state::reverted;
        step.reason = "halted by an earlier controller";
    }
    const bool is_notable = !own.directive || differs_notably(*own.directive, step.directive);
    if (is_notable)
        daemon::write_log(log_event::rollout_stepped,
                          {{"target", order.target.value},
                           {"version", order.version.value},
                           {"share", std::to_string(step.directive.share_permille)},
                           {"halted", step.directive.halted ? "true" : "false"},
                           {"reason", step.reason}});
    if (step.directive.halted)
        this->halt(order.target, order.version, this->env.self, step.reason);
    else
        this->apply_share(step.directive);
    // Small changes go with the next regular directive.
    if (is_notable || must_send) {
        own.directive = step.directive;
        this->send_directive(step.directive);
    }
    if (step.store_state && *step.store_state != order.state)
        this->store(order, *step.store_state, step.progress);
    else if (step.is_progress_due)
        this->store(order, order.state, step.progress);
}

void rollout_service::repeat_directive(controlled_order& ended)
{
    if (ended.directive)
        this->send_directive(*ended.directive);
}

void rollout_service::send_directive(const core::rollout_directive& directive)
{
    wire::PeerDatagram message;
    write_rollout_directive(directive, *message.mutable_rollout_directive());
    this->env.send_to_all(message);
}

void rollout_service::store(const core::rollout_order& order, core::rollout_state state,
                            const core::rollout_progress& progress)
{
    controlled_order& own = this->controller_of(order);
    const bool must_wait = own.last_condition == order.at && this->env.now() < own.next_store_at;
    if (own.is_storing || must_wait)
        return;
    own.is_storing = true;
    own.last_condition = order.at;
    core::rollout_order stored = order;
    stored.progress = progress;
    this->env.store_state(stored, state, [this, order, state](state_write_result result) {
        this->on_stored(order, state, result);
    });
}

// The new state is in force only when the documents bring it. Until then, and after a conflict or a
// lost response, the controller decides on the newest order that this node has.
void rollout_service::on_stored(const core::rollout_order& order, core::rollout_state state,
                                state_write_result result)
{
    const bool is_stored = result == state_write_result::stored;
    daemon::write_log(is_stored ? log_event::rollout_state_stored
                                : log_event::rollout_state_not_stored,
                      {{"target", order.target.value},
                       {"version", order.version.value},
                       {"state", to_text(state)},
                       {"result", to_text(result)},
                       {"revision", std::to_string(order.at.revision.value)}});
    const auto found = this->controllers.find(order.target);
    if (found == this->controllers.end() || found->second.version != order.version)
        return;
    controlled_order& own = found->second;
    own.is_storing = false;
    own.failures = is_stored ? 0 : std::min(own.failures + 1, max_store_failures);
    const duration delay = is_stored
                               ? stored_state_delay
                               : min_store_retry + core::full_jitter(this->random, store_retry_base,
                                                                     own.failures, max_store_retry);
    own.next_store_at = this->env.now() + delay;
}

} // namespace ragwortcove::gateway
