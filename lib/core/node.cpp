#include "ragwortcove/core/node.hpp"

#include "node_state.hpp"
#include "ragwortcove/core/address_response.hpp"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time between two heartbeats to the seeds while no member is known.
static constexpr duration greet_period = 500ms;
/// Age at which the digests of this node's own cells are refreshed for placement.
static constexpr duration view_period = 20ms;
/// Burst of calls to the platform that is allowed after a time without calls.
static constexpr double platform_burst = 20.0;
/// Maximum number of cell digests in one heartbeat.
static constexpr std::size_t max_cells_per_heartbeat = 16;
/// Maximum number of version evidence records in one heartbeat.
static constexpr std::size_t max_evidence_per_heartbeat = 8;
/// Time between two reports of evidence to a move's controller.
static constexpr duration evidence_period = 1s;
/// A node wakes at least twice a second; a node whose last step is older than this was paused.
static constexpr duration max_step_interval = 1500ms;
/// How long a node that was paused catches up on missed changes before it dispatches any request.
static constexpr duration dispatch_suspension_after_pause = 250ms;
/// Number of members to which a node sends the halt of a move at once.
static constexpr std::size_t halt_fanout = 3;

static placement_policy parse_checked_policy(const node_settings& settings)
{
    const std::optional<placement_policy> policy =
        parse_placement_policy(settings.placement_policy);
    assert(policy && "settings are validated before a node is created");
    return *policy;
}

static bool is_tiered(const placement_policy& policy)
{
    const permit_placement* permits = std::get_if<permit_placement>(&policy);
    return permits == nullptr || permits->tiered;
}

node::state::state(const node_settings& from, std::uint64_t seed)
    : settings{from}, random{seed}, members{this->settings},
      platform{this->settings.platform_calls_per_second, platform_burst}, feed{this->config,
                                                                               this->members,
                                                                               this->platform},
      moves{this->config, this->cells, this->members}, controller{this->settings, this->config,
                                                                  this->members, this->moves,
                                                                  this->platform},
      requests{entry_dependencies{this->settings, this->config, this->cells, this->members,
                                  this->owners, this->view, this->platform, this->moves},
               parse_checked_policy(this->settings)},
      placement{this->config, this->cells, is_tiered(parse_checked_policy(this->settings))}
{
}

void node::state::send_heartbeat(const node_name& to, const endpoint& address, bool wants_answer,
                                 step_context& context)
{
    heartbeat outgoing = this->members.make_heartbeat(to, wants_answer, context);
    outgoing.store = this->config.store();
    outgoing.configuration = this->config.at();
    outgoing.cells = this->placement.digests();
    if (outgoing.cells.size() > max_cells_per_heartbeat)
        outgoing.cells.resize(max_cells_per_heartbeat);
    outgoing.evidence = this->moves.records(max_evidence_per_heartbeat);
    context.effects.emplace_back(send_peer{to, address, std::move(outgoing)});
}

// Heartbeats disseminate the evidence to every node over time. The controllers also get it
// directly, so that the steps of a move are not delayed in a large fleet.
void node::state::report_evidence(step_context& context)
{
    if (context.now < this->report_evidence_at || !this->moves.take_new_evidence())
        return;
    this->report_evidence_at = context.now + evidence_period;
    std::set<node_name> notified;
    for (const auto& [route, move] : this->moves.split().all()) {
        if (move.ended())
            continue;
        const node_name controller_name = this->controller.controller_of(move.name, context.now);
        const member* known = this->members.find(controller_name);
        if (known != nullptr && notified.insert(controller_name).second)
            this->send_heartbeat(controller_name, known->claim.peers, false, context);
    }
}

// A halt is sent to a few members at once, and by each of them to a few more, so that all have it
// after about log3(n) hops. Heartbeats deliver it to members that were missed.
void node::state::broadcast_halts(step_context& context)
{
    std::vector<const member*> others = this->members.others();
    for (std::size_t sent = 0; sent < halt_fanout && !others.empty(); ++sent) {
        const std::size_t index = uniform_below(context.random, others.size());
        const member_claim& chosen = others[index]->claim;
        this->send_heartbeat(chosen.name, chosen.peers, false, context);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    }
}

void node::state::refresh_view(time_point now)
{
    if (now < this->view_refreshed_at + view_period)
        return;
    this->view_refreshed_at = now;
    for (const cell_digest& digest : this->placement.digests())
        this->view.update(digest, now);
}

// A node that has just started knows no other member. From the few claims in each heartbeat alone
// it would take minutes to discover a large fleet, so the member that it contacts sends it all
// claims.
static bool is_from_new_member(const heartbeat& message)
{
    return message.wants_answer && message.known.empty() &&
           message.sender.state == member_state::joining;
}

void node::state::handle_heartbeat(const heartbeat& message, step_context& context)
{
    this->members.receive(message, context);
    this->feed.on_heartbeat(message, context);
    for (const cell_digest& digest : message.cells)
        this->view.update(digest, context.now);
    this->moves.merge(message.sender.run, message.evidence, context);
    if (!message.wants_answer)
        return;
    this->send_heartbeat(message.sender.name, message.sender.peers, false, context);
    if (!is_from_new_member(message))
        return;
    for (heartbeat& introduction : this->members.introductions()) {
        introduction.store = this->config.store();
        introduction.configuration = this->config.at();
        context.effects.emplace_back(
            send_peer{message.sender.name, message.sender.peers, std::move(introduction)});
    }
}

void node::state::handle_peer(const node_name& from, incarnation run, const peer_message& message,
                              step_context& context)
{
    struct visitor {
        node::state& self;
        const node_name& from;
        incarnation run;
        step_context& context;

        void operator()(const permit_request& m)
        {
            this->self.placement.submit(this->from, m, context);
        }
        void operator()(const permit_grant& m)
        {
            this->self.requests.on_permit_granted(this->from, m, context);
        }
        void operator()(const permit_denial& m)
        {
            this->self.requests.on_permit_denied(this->from, m, context);
        }
        void operator()(const permit_withdrawal& m) { this->self.placement.withdraw(m, context); }
        void operator()(const permit_started& m) { this->self.placement.started(m, context); }
        void operator()(const permit_release& m) { this->self.placement.release(m, context); }
        void operator()(const permit_report& m)
        {
            this->self.placement.report(this->from, m, context);
        }
        void operator()(const key_query& m)
        {
            this->self.requests.on_key_query(this->from, this->run, m, context);
        }
        void operator()(const key_response& m) { this->self.requests.on_key_response(m, context); }
        void operator()(const heartbeat& m) { this->self.handle_heartbeat(m, context); }
        void operator()(const feed_request& m) { this->self.feed.receive(this->from, m, context); }
        void operator()(const feed_delta& m)
        {
            this->self.config_changed |= this->self.feed.receive(this->from, m, context);
        }
        void operator()(const feed_snapshot& m)
        {
            this->self.config_changed |= this->self.feed.receive(m, context);
        }
    };
    std::visit(visitor{*this, from, run, context}, message);
}

// The state of a node that was paused is out of date: upstreams may have announced in the meantime
// that they are leaving, and the permits granted in unread messages may belong to another node now.
void node::state::detect_pause(step_context& context)
{
    const bool has_run = this->stepped_at != time_point{};
    const bool was_paused = has_run && context.now - this->stepped_at > max_step_interval;
    this->stepped_at = context.now;
    if (!was_paused)
        return;
    this->requests.suspend_dispatch_until(context.now + dispatch_suspension_after_pause);
    this->feed.on_resumed(context);
}

void node::state::drain(step_context& context)
{
    if (this->draining)
        return;
    this->draining = true;
    this->drained_from = context.now + this->settings.address_time_to_live;
    this->members.leave();
    this->requests.begin_drain(this->drained_from);
    for (const member* other : this->members.others())
        this->send_heartbeat(other->claim.name, other->claim.peers, false, context);
}

void node::state::handle(const event& happened, step_context& context)
{
    struct visitor {
        node::state& self;
        step_context& context;

        void operator()(const core::tick&) { this->self.tick(context); }
        void operator()(const wall_clock_read& e)
        {
            this->self.wall_base = e.at;
            this->self.wall_read_at = context.now;
            context.wall = e.at;
        }
        void operator()(const request_arrived& e)
        {
            this->self.refresh_view(context.now);
            this->self.requests.on_request_arrived(e, context);
        }
        void operator()(const caller_gone& e) { this->self.requests.on_caller_gone(e, context); }
        void operator()(const upstream_accepted& e)
        {
            this->self.requests.on_upstream_accepted(e, context);
        }
        void operator()(const upstream_progress& e)
        {
            this->self.requests.on_upstream_progress(e, context);
        }
        void operator()(const upstream_finished& e)
        {
            this->self.requests.on_upstream_finished(e, context);
        }
        void operator()(const upstream_failed& e)
        {
            this->self.requests.on_upstream_failed(e, context);
        }
        void operator()(const load_reported& e)
        {
            this->self.placement.on_load_report(e);
            this->self.requests.on_load_reported(e);
        }
        void operator()(const cache_reported& e) { this->self.placement.on_cache_report(e); }
        void operator()(const probe_answered& e)
        {
            this->self.placement.on_probe_result(e, context);
        }
        void operator()(const order_answered& e)
        {
            this->self.controller.order_answered(e, context);
        }
        void operator()(const peer_received& e)
        {
            this->self.handle_peer(e.from, e.run, e.message, context);
        }
        void operator()(const peer_disconnected& e)
        {
            this->self.members.disconnected(e.peer, context);
        }
        void operator()(const platform_answered& e)
        {
            if (!this->self.platform.is_awaiting(e.call))
                return;
            (void)this->self.platform.answered(e.call);
            if (this->self.requests.on_claim_response(e.call, e.result, context))
                return;
            if (this->self.controller.answered(e.call, e.result, context))
                return;
            this->self.config_changed |= this->self.feed.on_listed(e.call, e.result, context);
        }
        void operator()(const watch_changed& e)
        {
            this->self.config_changed |= this->self.feed.on_watch_changed(e, context);
        }
        void operator()(const watch_ended& e) { this->self.feed.watch_ended(e, context); }
        void operator()(const vm_list_read& e)
        {
            this->self.members.merge_listed(e.members, context);
        }
        void operator()(const drain_requested&) { this->self.drain(context); }
        void operator()(const addresses_requested& e)
        {
            context.effects.emplace_back(choose_addresses(e, this->self.settings, this->self.config,
                                                          this->self.cells, this->self.owners,
                                                          this->self.members, context));
        }
    };
    std::visit(visitor{*this, context}, happened);
}

void node::state::tick(step_context& context)
{
    this->ticked_at = context.now;
    this->platform.tick(context);
    this->feed.tick(context);
    for (const node_name& target : this->members.due(context)) {
        const member* known = this->members.find(target);
        if (known != nullptr)
            this->send_heartbeat(target, known->claim.peers, true, context);
    }
    const bool no_other_members = this->members.others().empty();
    if (no_other_members && this->greet_seeds_at <= context.now) {
        this->greet_seeds_at = context.now + greet_period;
        for (const endpoint& seed : this->settings.seeds) {
            if (seed != this->settings.peers)
                this->send_heartbeat({}, seed, true, context);
        }
    }
    this->placement.tick(context);
    this->requests.tick(context);
    this->report_evidence(context);
    this->controller.tick(context);
    const bool drain_finished =
        this->draining && context.now >= this->drained_from && this->requests.open_count() == 0;
    if (drain_finished && !this->reported_drained) {
        this->reported_drained = true;
        context.log(decision_kind::drained, {}, this->settings.name.value);
        context.effects.emplace_back(core::drained{});
    }
}

void node::state::apply_changes(step_context& context)
{
    const bool cells_changed = std::exchange(this->config_changed, false);
    if (cells_changed) {
        this->cells.rebuild(this->config);
        this->view.forget_unknown(this->cells);
        this->moves.refresh();
        this->members.become_live();
    }
    const membership_changes changes = this->members.take_changes();
    for (const incarnation ended : changes.ended)
        this->placement.on_entry_ended(ended, context);
    if (changes.owners_changed || cells_changed) {
        this->owners.rebuild(this->cells, this->members, context.now);
        this->placement.retain_cells(this->owners.owned_by(this->settings.name), context);
        if (cells_changed)
            this->placement.refresh(context);
        this->requests.on_owners_changed(context);
    }
    if (changes.was_declared_dead)
        this->requests.report_all_permits(context);
    const bool brake_set = this->moves.take_halt_set();
    if (brake_set)
        this->broadcast_halts(context);
    if (brake_set || cells_changed)
        this->requests.leave_halted_versions(context);
}

// A message to this node itself is handled in the same step. The loop also covers the messages that
// result from it, until none is left.
void node::state::deliver_messages(std::size_t first_effect, step_context& context)
{
    for (std::size_t index = first_effect; index < context.effects.size(); ++index) {
        send_peer* sent = std::get_if<send_peer>(&context.effects[index]);
        if (sent == nullptr)
            continue;
        if (sent->to == this->settings.name) {
            const peer_message message = std::move(sent->message);
            context.effects.erase(context.effects.begin() + static_cast<std::ptrdiff_t>(index));
            --index;
            this->handle_peer(this->settings.name, this->settings.run, message, context);
            this->apply_changes(context);
            continue;
        }
        if (sent->address.port != 0)
            continue;
        const member* known = this->members.find(sent->to);
        if (known != nullptr)
            sent->address = known->claim.peers;
    }
}

node::node(const node_settings& settings, std::uint64_t seed)
    : self{std::make_unique<state>(settings, seed)}
{
}
node::~node() = default;
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;

void node::step(const event& happened, time_point now, effect_list& effects)
{
    const auto since_read =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - this->self->wall_read_at);
    step_context context{now, unix_millis{this->self->wall_base.value + since_read.count()},
                         this->self->random, effects};
    const std::size_t first_effect = effects.size();
    this->self->detect_pause(context);
    this->self->handle(happened, context);
    this->self->apply_changes(context);
    this->self->deliver_messages(first_effect, context);
}

time_point node::next_wakeup() const
{
    const state& current = *this->self;
    time_point next = std::min({current.members.next_wakeup(), current.feed.next_wakeup(),
                                current.placement.next_wakeup(), current.requests.next_wakeup(),
                                current.platform.next_wakeup()});
    if (current.draining && current.drained_from > current.ticked_at)
        next = std::min(next, current.drained_from);
    return next;
}

node_status node::status(time_point now) const
{
    const state& current = *this->self;
    node_status status;
    status.name = current.settings.name;
    status.run = current.settings.run;
    status.store = current.config.store();
    status.configuration = current.config.at();
    status.configuration_age =
        current.config.empty() ? duration{0} : now - current.feed.changed_at();
    status.ready = !current.config.empty() && !current.draining;
    status.draining = current.draining;
    status.members = current.members.all();
    status.owned_cells = current.placement.digests();
    for (const auto& [key, value] : current.config.objects())
        status.objects.push_back(value);
    status.open_requests = static_cast<std::uint32_t>(current.requests.open_count());
    return status;
}

} // namespace ragwortcove::core
