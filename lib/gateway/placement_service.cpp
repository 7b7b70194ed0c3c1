#include "ragwortcove/gateway/placement_service.hpp"

#include "gateway.pb.h"
#include "placement_messages.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

/// Asks without an answer after which the owner counts as unreachable.
static constexpr std::uint32_t most_unanswered = 4;
/// A request that waits at an owner is asked for again this often, so that both know of it.
static constexpr duration refresh_period = 400ms;
/// How often an owner is told of all requests that are out.
static constexpr duration report_period = 400ms;
/// A request that is placed within this time has found a free place.
static constexpr duration prompt_answer = 40ms;
/// How long it is remembered that places were scarce.
static constexpr duration crowding_memory = 500ms;
/// Requests in one report: a datagram holds so many.
static constexpr std::size_t most_reported = 120;

placement_service::placement_service(placement_surroundings&& around)
    : env(std::move(around)), random(this->env.run.value), board(this->env.run.value),
      quotas(this->env.tolerance)
{
}

placement_service::~placement_service() = default;

void placement_service::set_rules(std::shared_ptr<const core::rule_index> given)
{
    this->rules = std::move(given);
    this->board.set_upstreams(this->upstreams, this->rules.get());
    this->refresh_owned_quotas();
}

void placement_service::set_upstreams(std::span<const core::announced_upstream> all)
{
    this->upstreams.assign(all.begin(), all.end());
    this->board.set_upstreams(this->upstreams, this->rules.get());
    std::map<core::target_name, core::cell_index> counts = core::count_cells(all);
    if (counts != this->cell_counts) {
        this->cell_counts = std::move(counts);
        this->recount_cells();
    }
    this->tick();
}

core::cell_index placement_service::count_of_cells(const core::target_name& target) const
{
    const auto found = this->cell_counts.find(target);
    return found == this->cell_counts.end() ? 1 : found->second;
}

core::node_name placement_service::owner_of_cell(const core::target_name& target,
                                                 core::cell_index cell) const
{
    return this->env.owner_of("placement/" + target.value + "/" + std::to_string(cell));
}

void placement_service::recount_cells()
{
    for (auto& [number, request] : this->requests) {
        const core::cell_index count = this->count_of_cells(request.ask.target);
        request.tried.clear();
        request.ask.cell = request.grant ? core::placement_cell_of(request.grant->upstream, count)
                                         : request.ask.cell % count;
    }
    this->owners_changed();
}

void placement_service::heard_load(const placed_request& request, const core::cell_load& load)
{
    this->cells.record_load(request.ask.target, request.ask.cell, load, this->env.now());
}

bool placement_service::try_other_cell(placed_request& request)
{
    request.tried.push_back(request.ask.cell);
    const std::optional<core::cell_index> other =
        this->cells.choose_free(request.ask.target, this->count_of_cells(request.ask.target),
                                request.tried, this->random, this->env.now());
    if (!other)
        return false;
    request.ask.cell = *other;
    request.owner = this->owner_of_cell(request.ask.target, *other);
    request.unanswered = 0;
    this->ask_owner(request); // May end the request.
    return true;
}

placement_number placement_service::place(core::placement_request&& ask,
                                          placement_handler&& answered)
{
    const placement_number number = ++this->last_number;
    placed_request& made = this->requests[number];
    made.ask = std::move(ask);
    made.ask.id = {this->env.self, this->env.run, number};
    made.answered = std::move(answered);
    made.first_asked_at = this->env.now();
    made.ask.cell = this->cells.choose(made.ask.target, this->count_of_cells(made.ask.target), {},
                                       this->random, made.first_asked_at);
    made.owner = this->owner_of_cell(made.ask.target, made.ask.cell);
    this->ask_owner(made);
    return number;
}

/// What is left of a span of time that began at `since`.
static duration left_of(duration whole, time_point since, time_point now)
{
    return whole - (now - since);
}

void placement_service::ask_owner(placed_request& request)
{
    const time_point now = this->env.now();
    request.asked_at = now;
    core::placement_request current = request.ask;
    current.latency_budget = left_of(request.ask.latency_budget, request.first_asked_at, now);
    current.max_wait =
        std::max(duration{0}, left_of(request.ask.max_wait, request.first_asked_at, now));
    if (request.owner == this->env.self) {
        request.heard_at = now;
        request.unanswered = 0;
        core::placement_scheduler::responses answers;
        this->board.submit(current, now, answers);
        this->deliver(answers);
        return;
    }
    ++request.unanswered;
    wire::PeerDatagram message;
    write_ask(current, *message.mutable_ask());
    this->env.send(request.owner, message);
}

// Answers to this node's own requests are handed over; the others travel.
void placement_service::deliver(core::placement_scheduler::responses& answers)
{
    for (const core::placement_response& answer : answers) {
        const core::placement_id id = std::visit([](const auto& each) { return each.id; }, answer);
        if (id.entry == this->env.self) {
            if (id.run == this->env.run)
                this->answer_own(id.sequence, answer);
            continue;
        }
        wire::PeerDatagram message;
        message.set_receiver_run(id.run.value);
        if (const auto* grant = std::get_if<core::placement_grant>(&answer)) {
            wire::PlacementGrant& made = *message.mutable_grant();
            made.set_sequence(id.sequence);
            made.set_upstream(grant->upstream.value);
            made.set_uncached_tokens(grant->uncached_tokens);
            write_load(grant->load, *made.mutable_load());
        }
        if (const auto* denial = std::get_if<core::placement_denial>(&answer)) {
            wire::PlacementDenial& made = *message.mutable_denial();
            made.set_sequence(id.sequence);
            made.set_reason(static_cast<std::uint32_t>(denial->reason));
            made.set_retry_after(denial->retry_after.count());
            write_load(denial->load, *made.mutable_load());
        }
        this->env.send(id.entry, message);
    }
}

void placement_service::answer_own(placement_number number, const core::placement_response& answer)
{
    const auto found = this->requests.find(number);
    if (found == this->requests.end() || found->second.grant)
        return;
    placed_request& request = found->second;
    this->heard_load(request, std::visit([](const auto& each) { return each.load; }, answer));
    const auto* denial = std::get_if<core::placement_denial>(&answer);
    if (denial != nullptr && this->try_other_cell(request))
        return;
    const placement_handler answered = std::move(request.answered);
    const bool had_to_wait = this->env.now() - request.first_asked_at > prompt_answer;
    if (had_to_wait || denial != nullptr)
        this->crowded_until[request.ask.target] = this->env.now() + crowding_memory;
    if (const auto* grant = std::get_if<core::placement_grant>(&answer)) {
        request.grant = *grant;
        request.heard_at = this->env.now();
    }
    if (!request.grant)
        this->requests.erase(found);
    answered(number, answer);
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
        this->board.started(found->second.ask.id, after);
        return;
    }
    if (found->second.grant)
        this->board.observe_start(found->second.grant->upstream,
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
    const core::placement_id id = found->second.ask.id;
    const core::node_name owner = found->second.owner;
    const std::optional<core::placement_grant> granted = found->second.grant;
    this->requests.erase(found);
    if (owner == this->env.self) {
        core::placement_scheduler::responses answers;
        if (granted)
            this->board.release({id, outcome, first_part_after, between_events}, this->env.now(),
                                answers);
        else
            this->board.withdraw(id, this->env.now(), answers);
        this->deliver(answers);
        return;
    }
    wire::PeerDatagram message;
    if (!granted) {
        message.mutable_withdrawal()->set_sequence(request);
        this->env.send(owner, message);
        return;
    }
    this->board.observe_end(granted->upstream, {id, outcome, first_part_after, between_events});
    wire::PlacementRelease& made = *message.mutable_release();
    made.set_sequence(request);
    made.set_outcome(static_cast<std::uint32_t>(outcome));
    made.set_first_part_after(first_part_after.count());
    made.set_between_events(between_events.count());
    this->env.send(owner, message);
}

void placement_service::report_held(const core::node_name& owner)
{
    if (owner == this->env.self) {
        std::vector<core::placement_report> all;
        for (const auto& [number, request] : this->requests) {
            if (request.grant && request.owner == owner)
                all.push_back({request.ask.id, request.ask.target, request.grant->upstream,
                               request.grant->uncached_tokens, request.started});
        }
        core::placement_scheduler::responses answers;
        this->board.reconcile(this->env.self, this->env.run, all, this->env.now(), answers);
        this->deliver(answers);
        return;
    }
    wire::PeerDatagram message;
    wire::PlacementHeld& made = *message.mutable_held();
    for (const auto& [number, request] : this->requests) {
        if (!request.grant || request.owner != owner)
            continue;
        if (static_cast<std::size_t>(made.requests_size()) >= most_reported)
            return; // More than a datagram holds: the releases alone have to do.
        wire::PlacementHeld::Request& added = *made.add_requests();
        added.set_sequence(number);
        added.set_target(request.ask.target.value);
        added.set_upstream(request.grant->upstream.value);
        added.set_uncached_tokens(request.grant->uncached_tokens);
        added.set_started(request.started);
    }
    this->env.send(owner, message);
}

void placement_service::owners_changed()
{
    std::set<core::node_name> told;
    std::vector<placement_number> waiting;
    for (auto& [number, request] : this->requests) {
        const core::node_name owner = this->owner_of_cell(request.ask.target, request.ask.cell);
        if (owner == request.owner)
            continue;
        request.owner = owner;
        request.unanswered = 0;
        if (request.grant)
            told.insert(owner);
        else
            waiting.push_back(number);
    }
    for (const core::node_name& owner : told)
        this->report_held(owner);
    for (const placement_number number : waiting) {
        const auto found = this->requests.find(number);
        if (found != this->requests.end() && !found->second.grant)
            this->ask_owner(found->second);
    }
    this->quota_owners_changed();
}

void placement_service::node_ended(core::incarnation run)
{
    core::placement_scheduler::responses answers;
    this->board.on_entry_ended(run, this->env.now(), answers);
    this->deliver(answers);
}

// A request that waits in one cell goes to another one that has a free place.
bool placement_service::move_waiting(placed_request& request)
{
    const std::vector<core::cell_index> here{request.ask.cell};
    const std::optional<core::cell_index> other =
        this->cells.choose_free(request.ask.target, this->count_of_cells(request.ask.target), here,
                                this->random, this->env.now());
    if (!other)
        return false;
    this->withdraw_ask(request);
    request.moved = true;
    request.ask.cell = *other;
    request.owner = this->owner_of_cell(request.ask.target, *other);
    request.unanswered = 0;
    this->ask_owner(request); // May end the request.
    return true;
}

void placement_service::withdraw_ask(const placed_request& request)
{
    if (request.owner != this->env.self) {
        wire::PeerDatagram message;
        message.mutable_withdrawal()->set_sequence(request.ask.id.sequence);
        this->env.send(request.owner, message);
        return;
    }
    core::placement_scheduler::responses answers;
    this->board.withdraw(request.ask.id, this->env.now(), answers);
    this->deliver(answers);
}

void placement_service::tick_asks(time_point now)
{
    std::vector<placement_number> due;
    std::set<core::node_name> silent;
    for (auto& [number, request] : this->requests) {
        if (request.grant)
            continue;
        const bool is_own = request.owner == this->env.self;
        const duration since = now - request.asked_at;
        if (!is_own && request.unanswered >= most_unanswered && since >= ask_again_after)
            silent.insert(request.owner);
        else if (since >= (request.unanswered > 0 ? ask_again_after : refresh_period))
            due.push_back(number);
    }
    for (const placement_number number : due) {
        const auto found = this->requests.find(number);
        if (found == this->requests.end() || found->second.grant)
            continue;
        // Asking again also keeps the request alive where it waits.
        const bool waits = found->second.unanswered == 0;
        if (!waits || !this->move_waiting(found->second))
            this->ask_owner(found->second);
    }
    for (const core::node_name& owner : silent)
        this->env.mark_unreachable(owner);
}

void placement_service::tick()
{
    const time_point now = this->env.now();
    const auto serving = static_cast<double>(this->env.serving());
    this->board.set_fleet_share(serving / (serving + static_cast<double>(this->env.lost())));
    core::placement_scheduler::responses answers;
    this->board.tick(now, answers);
    this->deliver(answers);
    this->tick_asks(now);
    this->tick_quotas(now);
    if (now < this->report_at)
        return;
    this->report_at = now + report_period;
    std::set<core::node_name> owners;
    for (const auto& [number, request] : this->requests)
        owners.insert(request.owner);
    // An owner that was told of requests hears once more when none is left.
    std::set<core::node_name> tell = owners;
    tell.insert(this->reported_to.begin(), this->reported_to.end());
    this->reported_to = owners;
    for (const core::node_name& owner : tell)
        this->report_held(owner);
}

} // namespace ragwortcove::gateway
