#include "call_responses.hpp"
#include "ragwortcove/gateway/call_handler.hpp"

#include <algorithm>
#include <utility>

// How a call handler keeps requests from upstreams that a part of their prompts would end.

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::part_admission;

/// Time after which a request may come again that was not permitted as a trial.
static constexpr duration retry_after_trial = 500ms;

core::part_decision call_handler::decide_parts(const open_call& call) const
{
    // While an upstream has the request, its trial is not over.
    if (!call.permitted_part || call.active_dispatch)
        return this->env.parts.decide(call.shared_parts);
    const core::part_decision decision = this->env.parts.decide(call.shared_parts, call.trial);
    if (decision.admission == part_admission::needs_trial)
        return {};
    return decision;
}

// A request that is barred for good is not to come again; one that waits for a trial may.
void call_handler::hold_back(open_call& call, const core::part_decision& decision)
{
    static constexpr std::string_view reason = "upstreams end on a part of the prompt";
    if (call.active_dispatch) {
        this->arm_idle_timer(call);
        return;
    }
    this->env.metrics.count("held_back_requests", "target", call.target.value);
    const bool has_not_run = core::ending_of(call.history) == core::next_step::refuse;
    if (decision.admission == part_admission::barred && has_not_run) {
        this->fail(call, status_bad_request, reason);
        return;
    }
    const duration retry_after = this->spread_retry(decision.retry_after);
    this->end_without_response(call, {reason, retry_after, status_bad_gateway, reason, reason});
}

bool call_handler::may_send(open_call& call, placement_number number,
                            const core::placement_grant& grant)
{
    // The request has waited for a place for so long that another one may be the trial now.
    if (call.trial && !call.active_dispatch && !this->env.parts.is_open(*call.trial))
        this->end_trial(call, "the trial was not sent on in time");
    const core::part_decision decision = this->decide_parts(call);
    if (decision.admission == part_admission::admitted) {
        // An upstream that did not take the request leaves the trial to the next one.
        if (call.permitted_part && !call.trial)
            call.trial = this->env.parts.on_trial_sent(*call.permitted_part, call.facts.attempt);
        return true;
    }
    const bool may_be_trial =
        decision.admission == part_admission::needs_trial && !call.active_dispatch;
    if (!may_be_trial) {
        this->env.placement.withdraw(number);
        this->hold_back(call, decision);
        return false;
    }
    call.placement = number;
    this->env.parts.request_trial(
        decision.part, call.shared_parts,
        [this, exchange = call.exchange, number, grant, part = decision.part](bool permitted) {
            this->on_trial_decision(exchange, number, grant, part, permitted);
        });
    return false;
}

void call_handler::on_trial_decision(http::inbound_exchange exchange, placement_number number,
                                     const core::placement_grant& grant, core::part_id part,
                                     bool permitted)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || call->placement != number)
        return;
    call->placement = 0;
    if (permitted)
        call->permitted_part = part;
    core::part_decision decision = this->decide_parts(*call);
    // Another request is the trial, or the owner is not reached.
    if (!permitted && decision.admission == part_admission::needs_trial)
        decision = {part_admission::waits, part, retry_after_trial};
    if (decision.admission > part_admission::needs_trial) {
        this->env.placement.withdraw(number);
        this->hold_back(*call, decision);
        return;
    }
    this->on_granted(*call, number, grant);
}

void call_handler::end_trial(open_call& call, std::string_view reason)
{
    call.permitted_part.reset();
    if (!call.trial)
        return;
    this->env.parts.return_trial(*call.trial, reason);
    call.trial.reset();
}

/// The connection of the active dispatch. Its trial, if it is one, passes to the guard.
static lost_connection take_lost_connection(open_call& call)
{
    const dispatch& lost = *call.active_dispatch;
    return {{lost.upstream, lost.upstream_started_at},
            lost.address,
            call.shared_parts,
            std::exchange(call.trial, std::nullopt)};
}

void call_handler::give_up_trial(open_call& call)
{
    if (!call.trial || !call.active_dispatch || call.active_dispatch->has_responded)
        return;
    this->env.parts.on_connection_lost(take_lost_connection(call), [](process_fate) {});
}

bool call_handler::report_lost_connection(open_call& call)
{
    const dispatch& lost = *call.active_dispatch;
    if (!lost.connection_lost || lost.has_responded || call.shared_parts.empty())
        return false;
    this->env.parts.on_connection_lost(
        take_lost_connection(call),
        [this, exchange = call.exchange, upstream = lost.upstream](process_fate fate) {
            if (fate == process_fate::ended)
                this->avoid_unreachable(upstream);
            this->on_fate_known(exchange);
        });
    return true;
}

bool call_handler::must_wait_for_fate(open_call& call)
{
    if (call.active_dispatch || call.shared_parts.empty())
        return false;
    call.awaits_fate = this->env.parts.wait_for_fate(
        call.shared_parts,
        [this, exchange = call.exchange](process_fate) { this->on_fate_known(exchange); });
    return call.awaits_fate;
}

void call_handler::on_fate_known(http::inbound_exchange exchange)
{
    open_call* const call = this->find(exchange);
    if (call != nullptr && std::exchange(call->awaits_fate, false))
        this->place(*call);
}

void call_handler::report_response(open_call& call)
{
    if (!std::exchange(call.active_dispatch->has_responded, true))
        this->env.parts.on_response(call.shared_parts);
}

// Without a length, the end of a response looks the same as that of its upstream's process.
void call_handler::report_complete_response(open_call& call)
{
    const dispatch& responded = *call.active_dispatch;
    if (!responded.head || !responded.head->ends_with_connection) {
        this->report_response(call);
        return;
    }
    if (responded.has_responded || !this->env.parts.has_evidence(call.shared_parts))
        return;
    this->env.parts.on_connection_lost(
        {{responded.upstream, responded.upstream_started_at}, responded.address, {}},
        [this, parts = call.shared_parts](process_fate fate) {
            if (fate == process_fate::running)
                this->env.parts.on_response(parts);
        });
}

} // namespace ragwortcove::gateway
