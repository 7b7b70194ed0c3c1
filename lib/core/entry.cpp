#include "ragwortcove/core/entry.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time that a leaving entry states to callers as the wait before they use another entry.
static constexpr duration shutdown_retry_after = 0s;

void entry::set_wakeup(open_request& request, time_point at)
{
    this->timers.erase({request.wake_at, request.exchange});
    request.wake_at = std::min(at, request.deadline);
    this->timers.insert({request.wake_at, request.exchange});
}

open_request* entry::find_request(const request_id& id)
{
    const auto found = this->by_request.find(id);
    return found == this->by_request.end() ? nullptr : &this->requests.at(found->second);
}

open_request* entry::find_attempt(attempt_id attempt)
{
    const auto found = this->by_attempt.find(attempt);
    return found == this->by_attempt.end() ? nullptr : &this->requests.at(found->second);
}

static refusal check_admission(const caller_request& call, const configuration& config,
                               bool refusing)
{
    if (refusing)
        return {verdict::not_run, refusal_reason::shutting_down, shutdown_retry_after};
    if (config.find_route(call.route) == nullptr)
        return {verdict::not_run, refusal_reason::unknown_route, 0s};
    if (config.has_teams() && config.find_team(call.team) == nullptr)
        return {verdict::not_run, refusal_reason::unknown_team, 0s};
    return {verdict::answered, refusal_reason::bad_request, 0s};
}

// A key built on another entry's ticket may have been used there; only that entry has the record.
static bool key_may_be_used_elsewhere(const caller_request& call, const configuration& config,
                                      incarnation self)
{
    if (!call.key || !call.key->on_ticket || call.key->on_ticket->minted_by == self)
        return false;
    const route_spec* route = config.find_route(call.route);
    const bool idempotent = call.safe_method || (route != nullptr && route->idempotent);
    return !idempotent;
}

void entry::on_request_arrived(const request_arrived& message, step_context& context)
{
    assert(!this->requests.contains(message.exchange) && "an exchange carries one request");
    const request_id id{this->env.self.run, this->next_request++};
    refusal check_result =
        check_admission(message.request, this->env.config, context.now >= this->refuse_from);
    if (check_result.outcome == verdict::not_run) {
        if (key_may_be_used_elsewhere(message.request, this->env.config, this->env.self.run))
            check_result.outcome = verdict::may_have_run;
        context.log(decision_kind::refused, id, message.request.route.value,
                    std::string(to_string(check_result.reason)));
        context.effects.emplace_back(refuse_exchange{message.exchange, id, check_result});
        return;
    }
    open_request& request = this->requests[message.exchange];
    request.exchange = message.exchange;
    request.id = id;
    request.call = message.request;
    request.route = *this->env.config.find_route(message.request.route);
    request.arrived_at = context.now;
    request.deadline = context.now + message.request.timeout.value_or(request.route.timeout);
    request.idempotent = request.route.idempotent || message.request.safe_method;
    this->choose_version(request, context);
    request.output_estimate = request.route.kind == upstream_kind::service
                                  ? 0
                                  : this->outputs.estimate(message.request.route, request.route,
                                                           message.request.max_output_tokens);
    this->by_request[id] = request.exchange;
    this->set_wakeup(request, request.deadline);
    this->check_key(request, context);
}

void entry::refuse(open_request& request, refusal_reason reason, duration retry_after,
                   step_context& context)
{
    // Until the entry that minted the key's ticket has responded, the key may have been used.
    const bool key_unknown = request.phase == request_phase::querying_key;
    const verdict outcome =
        key_unknown ? verdict::may_have_run : this->ledger.verdict_of(request.id);
    const refusal answer{outcome, reason, retry_after};
    if (request.response_started()) {
        context.log(decision_kind::cut, request.id, request.call.route.value,
                    std::string(to_string(reason)));
        context.effects.emplace_back(abort_exchange{request.exchange, request.id, answer});
    }
    else {
        context.log(decision_kind::refused, request.id, request.call.route.value,
                    std::string(to_string(outcome)) + " " + std::string(to_string(reason)));
        context.effects.emplace_back(refuse_exchange{request.exchange, request.id, answer});
    }
    this->end_request(request, outcome != verdict::not_run, context);
}

// Removes the request and everything that refers to it.
void entry::end_request(open_request& request, bool may_have_run, step_context& context)
{
    this->release_key(request, may_have_run, context);
    this->timers.erase({request.wake_at, request.exchange});
    if (request.running)
        this->by_attempt.erase(request.running->attempt);
    if (request.platform_call)
        this->by_call.erase(*request.platform_call);
    this->fall_back_to_old_version(request);
    this->ledger.forget(request.id);
    this->by_request.erase(request.id);
    const exchange_id exchange = request.exchange;
    this->requests.erase(exchange);
}

void entry::on_caller_gone(const caller_gone& message, step_context& context)
{
    const auto found = this->requests.find(message.exchange);
    if (found == this->requests.end())
        return;
    open_request& request = found->second;
    const bool may_have_run = this->ledger.verdict_of(request.id) != verdict::not_run;
    if (request.running) {
        context.effects.emplace_back(cancel_attempt{request.running->attempt});
        this->release_permit(request, attempt_outcome::cancelled, context);
    }
    else {
        this->withdraw_permit_request(request, context);
    }
    context.log(decision_kind::cut, request.id, request.call.route.value,
                std::string(to_string(refusal_reason::caller_gone)));
    this->end_request(request, may_have_run, context);
}

void entry::on_deadline_passed(open_request& request, step_context& context)
{
    if (request.running) {
        // The owner draws no conclusion from a cancelled attempt, but a late response counts as a
        // failure of the version.
        this->env.moves.observe(request, attempt_outcome::failed, context);
        context.effects.emplace_back(cancel_attempt{request.running->attempt});
        this->release_permit(request, attempt_outcome::cancelled, context);
    }
    else {
        this->withdraw_permit_request(request, context);
    }
    this->refuse(request, refusal_reason::deadline_passed, 0s, context);
}

void entry::tick(step_context& context)
{
    this->keys.expire(context.now);
    this->poll_loads(context);
    while (!this->timers.empty() && this->timers.begin()->first <= context.now) {
        open_request& request = this->requests.at(this->timers.begin()->second);
        if (context.now >= request.deadline) {
            this->on_deadline_passed(request, context);
            continue;
        }
        this->set_wakeup(request, request.deadline);
        switch (request.phase) {
        case request_phase::querying_key:
            this->refuse(request, refusal_reason::key_owner_gone, 0s, context);
            break;
        case request_phase::claiming_key:
            this->claim_key(request, context);
            break;
        case request_phase::awaiting_permit:
            this->request_permit(request, context);
            break;
        case request_phase::backing_off:
            this->place(request, context);
            break;
        case request_phase::running:
            break;
        }
    }
}

time_point entry::next_wakeup() const
{
    return this->timers.empty() ? time_point::max() : this->timers.begin()->first;
}

void entry::begin_drain(time_point from)
{
    this->refuse_from = from;
}

} // namespace ragwortcove::core
