#include "ragwortcove/gateway/placement_service.hpp"

#include "gateway.pb.h"
#include "placement_messages.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

/// Number of requests without a response after which the owner is considered unreachable.
static constexpr std::uint32_t max_unanswered = 4;
/// Interval at which a request queued at an owner is sent again, so that both nodes still know it.
static constexpr duration refresh_interval = 400ms;
/// Interval at which an owner is sent all requests that it has placed for this node.
static constexpr duration report_interval = 400ms;
/// A request placed within this time is considered to have found a free slot without waiting.
static constexpr duration prompt_response_time = 40ms;
/// Interval at which owners are sent the measured ways to other failure domains.
static constexpr duration ways_interval = 5s;
/// How long a target counts as congested after a request had to wait or was denied.
static constexpr duration congestion_duration = 500ms;
/// Maximum number of requests in one report, so that it fits into a datagram.
static constexpr std::size_t max_reported = 120;

placement_service::placement_service(placement_dependencies&& dependencies)
    : env(std::move(dependencies)), random(this->env.run.value), scheduler(this->env.run.value),
      quotas(this->env.tolerance)
{
    this->scheduler.set_warmup_tolerance(this->env.warmups);
    this->scheduler.set_options(this->env.options);
    this->scheduler.set_admission(this->env.admission);
    this->scheduler.set_team_shares(this->env.team_shares);
    this->scheduler.set_states_waits(this->env.cell_waits);
    this->cells.set_uses_waits(this->env.cell_waits);
}

placement_service::~placement_service() = default;

void placement_service::set_rules(std::shared_ptr<const core::rule_index> given)
{
    this->rules = std::move(given);
    this->scheduler.set_upstreams(this->upstreams, this->rules.get());
    this->limit_warmups();
    this->refresh_owned_quotas();
}

void placement_service::set_upstreams(std::span<const core::announced_upstream> all)
{
    this->upstreams.assign(all.begin(), all.end());
    this->scheduler.set_upstreams(this->upstreams, this->rules.get());
    this->limit_warmups();
    std::map<core::target_name, core::cell_index> counts = core::count_cells(all);
    if (counts != this->cell_counts) {
        this->cell_counts = std::move(counts);
        this->apply_cell_counts();
    }
    this->tick();
}

void placement_service::limit_warmups()
{
    this->scheduler.limit_warmups(
        [this](const core::target_name& pool, core::cell_index cell) {
            return this->owner_of_cell(pool, cell) == this->env.self;
        },
        this->env.now());
}

core::cell_index placement_service::cell_count_of(const core::target_name& pool) const
{
    const auto found = this->cell_counts.find(pool);
    return found == this->cell_counts.end() ? 1 : found->second;
}

// The pools of a target have the same owners, so that an owner keeps its counts and its estimates
// of an upstream that changes its pool.
core::node_name placement_service::owner_of_cell(const core::target_name& pool,
                                                 core::cell_index cell) const
{
    return this->env.owner_of("placement/" + core::target_of_pool(pool).value + "/" +
                              std::to_string(cell));
}

void placement_service::apply_cell_counts()
{
    std::map<core::upstream_name, const core::target_name*> pools;
    for (const core::announced_upstream& each : this->upstreams)
        pools[each.name] = &core::pool_of(each);
    for (auto& [number, request] : this->requests) {
        // An upstream changes its pool when a roll-out begins or ends.
        const auto pool = request.grant ? pools.find(request.grant->upstream) : pools.end();
        if (pool != pools.end())
            request.details.pool = *pool->second;
        const core::cell_index count = this->cell_count_of(request.details.pool);
        request.denied_cells.clear();
        request.details.cell = request.grant
                                   ? core::placement_cell_of(request.grant->upstream, count)
                                   : request.details.cell % count;
    }
    this->owners_changed();
}

void placement_service::record_load(const tracked_request& request, const core::cell_load& load)
{
    this->cells.record_load(request.details.pool, request.details.cell, load, this->env.now(),
                            request.details.rank);
}

bool placement_service::try_other_cell(tracked_request& request)
{
    request.denied_cells.push_back(request.details.cell);
    const time_point now = this->env.now();
    const duration waited = now - request.first_sent_at;
    const core::cell_retry retry{
        request.details.rank,
        std::min(request.details.latency_budget, request.details.max_wait) - waited,
        request.denied_cells};
    const std::optional<core::cell_index> other = this->cells.choose_after_denial(
        request.details.pool, this->cell_count_of(request.details.pool), retry, this->random, now);
    if (!other)
        return false;
    request.details.cell = *other;
    request.owner = this->owner_of_cell(request.details.pool, *other);
    request.unanswered_count = 0;
    this->send_to_owner(request); // May end the request.
    return true;
}

placement_number placement_service::place(core::placement_request&& wanted,
                                          placement_handler&& handler)
{
    const placement_number number = ++this->last_number;
    tracked_request& request = this->requests[number];
    request.details = std::move(wanted);
    request.details.id = {this->env.self, this->env.run, number};
    request.handler = std::move(handler);
    request.first_sent_at = this->env.now();
    request.details.cell =
        this->cells.choose(request.details.pool, this->cell_count_of(request.details.pool), {},
                           this->random, request.first_sent_at, request.details.rank);
    request.owner = this->owner_of_cell(request.details.pool, request.details.cell);
    this->send_to_owner(request);
    return number;
}

/// Time left of a duration that started at `since`.
static duration remaining_of(duration total, time_point since, time_point now)
{
    return total - (now - since);
}

void placement_service::send_to_owner(tracked_request& request)
{
    const time_point now = this->env.now();
    request.sent_at = now;
    core::placement_request current = request.details;
    current.latency_budget =
        remaining_of(request.details.latency_budget, request.first_sent_at, now);
    current.max_wait =
        std::max(duration{0}, remaining_of(request.details.max_wait, request.first_sent_at, now));
    if (request.details.time_left > duration{0})
        current.time_left = std::max(
            duration{1}, remaining_of(request.details.time_left, request.first_sent_at, now));
    if (request.owner == this->env.self) {
        request.last_seen_at = now;
        request.unanswered_count = 0;
        core::placement_scheduler::responses responses;
        this->scheduler.submit(current, now, responses);
        this->deliver_responses(responses);
        return;
    }
    ++request.unanswered_count;
    if (request.asked_owner != request.owner) {
        request.asked_owner = request.owner;
        request.asked_at = now;
    }
    wire::PeerDatagram message;
    write_placement_request(current, *message.mutable_ask());
    this->env.send(request.owner, message);
}

// Responses to this node's own requests are handled here; all others are sent to their nodes.
void placement_service::deliver_responses(core::placement_scheduler::responses& responses)
{
    for (const core::placement_response& response : responses) {
        const core::placement_id id =
            std::visit([](const auto& each) { return each.id; }, response);
        if (id.entry == this->env.self) {
            if (id.run == this->env.run)
                this->on_own_response(id.sequence, response);
            continue;
        }
        wire::PeerDatagram message;
        message.set_receiver_run(id.run.value);
        if (const auto* grant = std::get_if<core::placement_grant>(&response)) {
            wire::PlacementGrant& body = *message.mutable_grant();
            body.set_sequence(id.sequence);
            body.set_upstream(grant->upstream.value);
            body.set_uncached_tokens(grant->uncached_tokens);
            body.set_ahead_tokens(grant->ahead_tokens);
            body.set_left_domain(static_cast<std::uint32_t>(grant->left_domain));
            write_load(grant->load, *body.mutable_load());
        }
        if (const auto* denial = std::get_if<core::placement_denial>(&response)) {
            wire::PlacementDenial& body = *message.mutable_denial();
            body.set_sequence(id.sequence);
            body.set_reason(static_cast<std::uint32_t>(denial->reason));
            body.set_retry_after(denial->retry_after.count());
            write_load(denial->load, *body.mutable_load());
        }
        this->env.send(id.entry, message);
    }
}

void placement_service::on_own_response(placement_number number,
                                        const core::placement_response& response)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end() || found->second.grant)
        return;
    tracked_request& request = found->second;
    this->record_load(request, std::visit([](const auto& each) { return each.load; }, response));
    const auto* denial = std::get_if<core::placement_denial>(&response);
    if (denial != nullptr && this->try_other_cell(request))
        return;
    const placement_handler handler = std::move(request.handler);
    const bool had_to_wait = this->env.now() - request.first_sent_at > prompt_response_time;
    if (had_to_wait || denial != nullptr)
        this->congested_until[request.details.pool] = this->env.now() + congestion_duration;
    if (const auto* grant = std::get_if<core::placement_grant>(&response)) {
        request.grant = *grant;
        request.last_seen_at = this->env.now();
    }
    if (!request.grant)
        this->requests.erase(found);
    handler(number, response);
}

bool placement_service::is_waiting(placement_number request) const
{
    const auto found = this->requests.find(request);
    return found != this->requests.end() && !found->second.grant;
}

void placement_service::withdraw(placement_number request)
{
    this->release(request, core::placement_outcome::cancelled, {}, {});
}

void placement_service::started(placement_number request, duration after)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end() || found->second.started)
        return;
    found->second.started = true;
    if (found->second.owner == this->env.self) {
        this->scheduler.started(found->second.details.id, after);
        return;
    }
    if (found->second.grant)
        this->scheduler.observe_start(found->second.grant->upstream,
                                      found->second.grant->uncached_tokens, after);
    wire::PeerDatagram message;
    message.mutable_started()->set_sequence(request);
    message.mutable_started()->set_after(after.count());
    this->env.send(found->second.owner, message);
}

void placement_service::release(placement_number request, core::placement_outcome outcome,
                                duration first_part_after, duration between_events)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    const core::placement_id id = found->second.details.id;
    const core::node_name owner = found->second.owner;
    const std::optional<core::placement_grant> granted = found->second.grant;
    this->requests.erase(found);
    if (owner == this->env.self) {
        core::placement_scheduler::responses responses;
        if (granted)
            this->scheduler.release({id, outcome, first_part_after, between_events},
                                    this->env.now(), responses);
        else
            this->scheduler.withdraw(id, this->env.now(), responses);
        this->deliver_responses(responses);
        return;
    }
    wire::PeerDatagram message;
    if (!granted) {
        message.mutable_withdrawal()->set_sequence(request);
        this->env.send(owner, message);
        return;
    }
    this->scheduler.observe_end(granted->upstream, {id, outcome, first_part_after, between_events});
    wire::PlacementRelease& body = *message.mutable_release();
    body.set_sequence(request);
    body.set_outcome(static_cast<std::uint32_t>(outcome));
    body.set_first_part_after(first_part_after.count());
    body.set_between_events(between_events.count());
    this->env.send(owner, message);
}

void placement_service::report_in_flight(const core::node_name& owner)
{
    if (owner == this->env.self) {
        std::vector<core::placement_report> all;
        for (const auto& [number, request] : this->requests) {
            if (request.grant && request.owner == owner)
                all.push_back({request.details.id, request.details.pool, request.grant->upstream,
                               request.grant->uncached_tokens, request.started});
        }
        core::placement_scheduler::responses responses;
        this->scheduler.reconcile(this->env.self, this->env.run, all, this->env.now(), responses);
        this->deliver_responses(responses);
        return;
    }
    wire::PeerDatagram message;
    wire::PlacementHeld& body = *message.mutable_held();
    for (const auto& [number, request] : this->requests) {
        if (!request.grant || request.owner != owner)
            continue;
        if (static_cast<std::size_t>(body.requests_size()) >= max_reported)
            return; // Too many for a datagram: the owner relies on the releases alone.
        wire::PlacementHeld::Request& added = *body.add_requests();
        added.set_sequence(number);
        added.set_target(request.details.pool.value);
        added.set_upstream(request.grant->upstream.value);
        added.set_uncached_tokens(request.grant->uncached_tokens);
        added.set_started(request.started);
    }
    if (this->reports_ways)
        this->add_ways(message);
    this->env.send(owner, message);
}

void placement_service::owners_changed()
{
    this->limit_warmups();
    std::set<core::node_name> notified_owners;
    std::vector<placement_number> waiting;
    for (auto& [number, request] : this->requests) {
        const core::node_name owner =
            this->owner_of_cell(request.details.pool, request.details.cell);
        if (owner == request.owner)
            continue;
        request.owner = owner;
        request.unanswered_count = 0;
        if (request.grant)
            notified_owners.insert(owner);
        else
            waiting.push_back(number);
    }
    for (const core::node_name& owner : notified_owners)
        this->report_in_flight(owner);
    for (const placement_number number : waiting) {
        const auto found = this->requests.find(number);
        if (found != this->requests.end() && !found->second.grant)
            this->send_to_owner(found->second);
    }
    this->quota_owners_changed();
}

void placement_service::node_ended(core::incarnation run)
{
    core::placement_scheduler::responses responses;
    this->scheduler.on_entry_ended(run, this->env.now(), responses);
    this->deliver_responses(responses);
}

// Moves a request that is queued in one cell to another cell that has free slots.
bool placement_service::move_queued_request(tracked_request& request)
{
    const std::vector<core::cell_index> excluded_cells{request.details.cell};
    const std::optional<core::cell_index> other =
        this->cells.choose_free(request.details.pool, this->cell_count_of(request.details.pool),
                                excluded_cells, this->random, this->env.now());
    if (!other)
        return false;
    this->withdraw_from_owner(request);
    request.withdrawn_from_queue = true;
    request.details.cell = *other;
    request.owner = this->owner_of_cell(request.details.pool, *other);
    request.unanswered_count = 0;
    this->send_to_owner(request); // May end the request.
    return true;
}

void placement_service::withdraw_from_owner(const tracked_request& request)
{
    if (request.owner != this->env.self) {
        wire::PeerDatagram message;
        message.mutable_withdrawal()->set_sequence(request.details.id.sequence);
        this->env.send(request.owner, message);
        return;
    }
    core::placement_scheduler::responses responses;
    this->scheduler.withdraw(request.details.id, this->env.now(), responses);
    this->deliver_responses(responses);
}

void placement_service::tick_requests(time_point now)
{
    std::vector<placement_number> due;
    std::set<core::node_name> unresponsive;
    for (auto& [number, request] : this->requests) {
        if (request.grant)
            continue;
        const bool is_own = request.owner == this->env.self;
        const duration elapsed = now - request.sent_at;
        if (!is_own && request.unanswered_count >= max_unanswered &&
            elapsed >= request_retry_interval)
            unresponsive.insert(request.owner);
        else if (elapsed >=
                 (request.unanswered_count > 0 ? request_retry_interval : refresh_interval))
            due.push_back(number);
    }
    for (const placement_number number : due) {
        const auto found = this->requests.find(number);
        if (found == this->requests.end() || found->second.grant)
            continue;
        // Sending the request again also keeps it from expiring in the queue where it waits.
        const bool is_queued = found->second.unanswered_count == 0;
        if (!is_queued || !this->move_queued_request(found->second))
            this->send_to_owner(found->second);
    }
    for (const core::node_name& owner : unresponsive)
        this->env.mark_unreachable(owner);
}

void placement_service::tick()
{
    const time_point now = this->env.now();
    const auto serving = static_cast<double>(this->env.serving_node_count());
    this->scheduler.set_fleet_share(serving /
                                    (serving + static_cast<double>(this->env.lost_node_count())));
    const auto running = static_cast<double>(this->env.running_node_count());
    this->scheduler.set_serving_share(serving / std::max(running, serving));
    core::placement_scheduler::responses responses;
    this->scheduler.tick(now, responses);
    this->deliver_responses(responses);
    this->tick_requests(now);
    this->tick_quotas(now);
    if (now < this->next_report_at)
        return;
    this->next_report_at = now + report_interval;
    this->reports_ways = this->env.options.spill.enabled && now >= this->next_ways_at;
    if (this->reports_ways)
        this->next_ways_at = now + ways_interval;
    std::set<core::node_name> owners;
    for (const auto& [number, request] : this->requests)
        owners.insert(request.owner);
    // An owner that was sent requests before gets one more report when none is left.
    std::set<core::node_name> recipients = owners;
    recipients.insert(this->reported_to.begin(), this->reported_to.end());
    this->reported_to = owners;
    for (const core::node_name& owner : recipients)
        this->report_in_flight(owner);
    this->reports_ways = false;
}

} // namespace ragwortcove::gateway
