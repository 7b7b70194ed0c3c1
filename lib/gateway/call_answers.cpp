#include "call_answers.hpp"

#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/call_handler.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;
using daemon::log_event;

/// How long an upstream that could not be connected to is not tried by this node.
static constexpr duration unreachable_time = 1s;

bool call_handler::is_streaming(const open_call& call) const
{
    const dispatch& running = *call.running;
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    return call.route->streams && running.head && running.head->status >= first_success &&
           running.head->status < first_redirect && !running.facts.not_run;
}

static bool is_usable(const adapter::response_facts& facts)
{
    return facts.is_signed && facts.is_for_attempt && !facts.has_content_encoding;
}

void call_handler::headed(http::inbound_exchange exchange, http::status_line_and_headers&& head)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || !call->running)
        return;
    call->running->facts = adapter::read_response_headers(head, call->facts.attempt);
    call->running->head = std::move(head);
    if (this->is_streaming(*call) && !is_usable(call->running->facts)) {
        this->env.upstreams.cancel(call->running->exchange);
        this->after_dispatch(*call, core::dispatch_end::broken);
    }
}

void call_handler::body_came(http::inbound_exchange exchange, std::string_view bytes)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || !call->running)
        return;
    if (!this->is_streaming(*call)) {
        call->running->body.append(bytes);
        return;
    }
    for (const std::string& event : call->running->splitter.take(bytes)) {
        const std::optional<std::uint64_t> number = adapter::read_event_number(event);
        // An upstream that goes on with a stream may repeat what the caller has.
        if (number && call->last_event && *number <= *call->last_event)
            continue;
        this->begin_stream(*call);
        if (number)
            call->last_event = number;
        this->env.callers.write(exchange, event);
    }
    this->arm_silence(*call);
}

void call_handler::begin_stream(open_call& call)
{
    dispatch& running = *call.running;
    const time_point at = this->now();
    running.last_event_at = at;
    if (running.events++ == 0) {
        running.first_event_at = at;
        this->env.placement.started(call.placement, at - running.sent_at);
    }
    if (call.history.response_started)
        return;
    call.history.response_started = true;
    this->env.figures.observe("first_event", call.route->name.value, at - call.arrived);
    http::inbound_response head;
    head.status = running.head->status;
    head.headers = adapter::make_caller_headers(*running.head);
    this->env.callers.start_response(call.exchange, std::move(head));
}

void call_handler::complete(http::inbound_exchange exchange)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || !call->running)
        return;
    const dispatch& running = *call->running;
    if (this->is_streaming(*call)) {
        this->complete_stream(*call);
        return;
    }
    constexpr int first_client_error = 400;
    constexpr int first_server_error = 500;
    const int status = running.head->status;
    if (running.facts.not_run) {
        this->after_dispatch(*call, running.facts.wrong_upstream
                                        ? core::dispatch_end::wrong_upstream
                                        : core::dispatch_end::refused);
        return;
    }
    if (!is_usable(running.facts) && status < first_client_error) {
        this->after_dispatch(*call, core::dispatch_end::broken);
        return;
    }
    if (!running.facts.is_for_attempt) {
        this->after_dispatch(*call, core::dispatch_end::broken);
        return;
    }
    if (status >= first_server_error || !running.facts.is_signed) {
        this->after_dispatch(*call, core::dispatch_end::error_answer);
        return;
    }
    call->history.may_have_run = true;
    this->release(*call, core::placement_outcome::completed);
    this->pass_answer(*call);
}

void call_handler::complete_stream(open_call& call)
{
    if (call.running->splitter.inside_event()) {
        this->after_dispatch(call, core::dispatch_end::broken);
        return;
    }
    if (!call.history.response_started)
        this->begin_stream(call);
    this->env.callers.finish(call.exchange);
    const time_point at = this->now();
    daemon::write_log(log_event::request_answered,
                      {{"request", call.facts.attempt},
                       {"upstream", call.running->upstream.value},
                       {"status", std::to_string(call.running->head->status)},
                       {"first_event_ms", to_ms(call.running->first_event_at - call.arrived)},
                       {"whole_ms", to_ms(at - call.arrived)},
                       {"events", std::to_string(call.running->events)}});
    this->env.figures.count("answers", "route", call.route->name.value);
    this->env.figures.observe("whole_answer", call.route->name.value, at - call.arrived);
    call.history.may_have_run = true;
    this->release(call, core::placement_outcome::completed);
    this->end(call);
}

void call_handler::failed(http::inbound_exchange exchange, http::outbound_failure why)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || !call->running)
        return;
    const bool not_sent = why == http::outbound_failure::not_sent;
    if (not_sent)
        this->unreachable[call->running->upstream] = this->now() + unreachable_time;
    this->after_dispatch(*call,
                         not_sent ? core::dispatch_end::not_sent : core::dispatch_end::broken);
}

void call_handler::silent(http::inbound_exchange exchange)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || !call->running)
        return;
    call->silence_timer = 0;
    this->env.upstreams.cancel(call->running->exchange);
    this->after_dispatch(*call, core::dispatch_end::silent);
}

static core::placement_outcome outcome_of(core::dispatch_end end)
{
    switch (end) {
    case core::dispatch_end::not_sent:
        return core::placement_outcome::unreachable;
    case core::dispatch_end::refused:
    case core::dispatch_end::wrong_upstream:
        return core::placement_outcome::refused;
    case core::dispatch_end::error_answer:
        return core::placement_outcome::error_answer;
    case core::dispatch_end::broken:
        return core::placement_outcome::broken;
    case core::dispatch_end::silent:
        return core::placement_outcome::silent;
    }
    return core::placement_outcome::broken;
}

static std::string_view describe(core::dispatch_end end)
{
    switch (end) {
    case core::dispatch_end::not_sent:
        return "not_sent";
    case core::dispatch_end::refused:
        return "refused";
    case core::dispatch_end::wrong_upstream:
        return "wrong_upstream";
    case core::dispatch_end::error_answer:
        return "error_answer";
    case core::dispatch_end::broken:
        return "broken";
    case core::dispatch_end::silent:
        return "silent";
    }
    return "unknown";
}

void call_handler::after_dispatch(open_call& call, core::dispatch_end end)
{
    const time_point at = this->now();
    core::call_history& history = call.history;
    const bool proven_not_run = end == core::dispatch_end::not_sent ||
                                end == core::dispatch_end::refused ||
                                end == core::dispatch_end::wrong_upstream;
    history.sent += end == core::dispatch_end::not_sent ? 0 : 1;
    history.may_have_run = history.may_have_run || !proven_not_run;
    history.time_left = call.deadline - at;
    const core::upstream_name upstream = call.running->upstream;
    this->release(call, outcome_of(end));
    // The budget is spent only on a repeat that would otherwise go ahead.
    bool budget_left = true;
    const bool wanted =
        core::decide_next_step(*call.route, history, end, true) == core::next_step::place_again;
    if (wanted && core::counts_as_repeat(end))
        budget_left = this->env.repeats.spend(call.target, this->env.serving_nodes(), at);
    const core::next_step step = core::decide_next_step(*call.route, history, end, budget_left);
    daemon::write_log(
        log_event::attempt_failed,
        {{"request", call.facts.attempt},
         {"upstream", upstream.value},
         {"how", describe(end)},
         {"status", call.running->head ? std::to_string(call.running->head->status) : "none"},
         {"after_ms", to_ms(at - call.running->sent_at)},
         {"may_have_run", history.may_have_run ? "true" : "false"},
         {"budget_left", budget_left ? "true" : "false"},
         {"again", step == core::next_step::place_again ? "true" : "false"}});
    this->env.figures.count("failed_attempts", "how", describe(end));
    switch (step) {
    case core::next_step::place_again:
        call.running.reset();
        call.avoid.push_back(upstream);
        this->place(call);
        return;
    case core::next_step::pass_answer:
        this->pass_answer(call);
        return;
    case core::next_step::refuse:
        this->refuse(call, status_unavailable, "the upstream did not take the request",
                     retry_after_refusal);
        return;
    case core::next_step::fail:
        this->fail(call, status_bad_gateway, "the upstream failed");
        return;
    case core::next_step::cut:
        this->cut(call, describe(end));
        return;
    }
}

void call_handler::release(open_call& call, core::placement_outcome outcome)
{
    this->env.on.cancel(call.silence_timer);
    call.silence_timer = 0;
    if (call.placement == 0)
        return;
    duration first_part{0};
    duration between{0};
    if (call.running) {
        const dispatch& running = *call.running;
        const time_point first = running.events > 0 ? running.first_event_at : this->now();
        first_part = first - running.sent_at;
        constexpr std::uint32_t least_events = 4;
        if (running.events >= least_events)
            between = (running.last_event_at - running.first_event_at) /
                      static_cast<std::int64_t>(running.events - 1);
    }
    const placement_number number = std::exchange(call.placement, 0);
    this->env.placement.release(number, outcome, first_part, between);
}

/// Statuses that promise that the request has not run.
static bool promises_not_run(int status)
{
    constexpr int status_request_timeout = 408;
    constexpr int status_misdirected = 421;
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many || status == status_unavailable;
}

void call_handler::pass_answer(open_call& call)
{
    const dispatch& running = *call.running;
    const int status = running.head->status;
    // What an upstream did not sign may come from something between, and promises nothing.
    if (!running.facts.is_signed && promises_not_run(status)) {
        this->fail(call, status_bad_gateway, "the upstream failed");
        return;
    }
    const time_point at = this->now();
    daemon::write_log(log_event::request_answered, {{"request", call.facts.attempt},
                                                    {"upstream", running.upstream.value},
                                                    {"status", std::to_string(status)},
                                                    {"whole_ms", to_ms(at - call.arrived)}});
    this->env.figures.count("answers", "route", call.route->name.value);
    this->env.figures.observe("whole_answer", call.route->name.value, at - call.arrived);
    this->env.callers.respond(call.exchange, status, adapter::make_caller_headers(*running.head),
                              running.body);
    this->end(call);
}

void call_handler::refuse(open_call& call, int status, std::string_view reason,
                          duration retry_after)
{
    const time_point at = this->now();
    daemon::write_log(log_event::request_refused,
                      {{"request", call.facts.attempt},
                       {"route", call.route == nullptr ? "" : call.route->name.value},
                       {"status", std::to_string(status)},
                       {"reason", reason},
                       {"verdict", to_string(core::verdict_of(call.history))},
                       {"age_ms", to_ms(at - call.arrived)},
                       {"retry_after_ms", to_ms(retry_after)}});
    this->env.figures.count("refusals", "reason", reason);
    this->env.callers.respond(
        call.exchange, status,
        {{"Content-Type", "text/plain"}, adapter::make_retry_header(retry_after)}, reason);
    this->end(call);
}

void call_handler::fail(open_call& call, int status, std::string_view reason)
{
    daemon::write_log(
        log_event::request_failed,
        {{"request", call.facts.attempt},
         {"route", call.route == nullptr ? "" : call.route->name.value},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"verdict", to_string(core::verdict_of(call.history))},
         {"age_ms", to_ms(this->now() - call.arrived)},
         {"rules", call.rules == nullptr ? "none" : std::to_string(call.rules->rules().version)}});
    this->env.figures.count("failures", "reason", reason);
    this->env.callers.respond(call.exchange, status, {{"Content-Type", "text/plain"}}, reason);
    this->end(call);
}

void call_handler::cut(open_call& call, std::string_view reason)
{
    daemon::write_log(
        log_event::answer_cut,
        {{"request", call.facts.attempt},
         {"route", call.route->name.value},
         {"reason", reason},
         {"age_ms", to_ms(this->now() - call.arrived)},
         {"last_event", call.last_event ? std::to_string(*call.last_event) : "none"}});
    this->env.figures.count("cuts", "reason", reason);
    this->env.callers.abort(call.exchange);
    this->end(call);
}

void call_handler::time_up(http::inbound_exchange exchange)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr)
        return;
    call->deadline_timer = 0;
    const bool was_sent = call->running.has_value();
    const bool was_silent = was_sent && !call->running->head;
    if (was_sent) {
        this->env.upstreams.cancel(call->running->exchange);
        call->history.may_have_run = true;
    }
    this->release(*call, was_silent ? core::placement_outcome::silent
                                    : core::placement_outcome::cancelled);
    if (call->history.response_started) {
        this->cut(*call, "time is up");
        return;
    }
    if (call->history.may_have_run) {
        this->fail(*call, status_gateway_timeout, "no answer in time");
        return;
    }
    this->refuse(*call, status_unavailable, "no place in time", retry_after_refusal);
}

void call_handler::caller_left(http::inbound_exchange exchange)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr)
        return;
    daemon::write_log(log_event::caller_vanished,
                      {{"request", call->facts.attempt},
                       {"route", call->route == nullptr ? "" : call->route->name.value},
                       {"upstream", call->running ? call->running->upstream.value : ""},
                       {"age_ms", to_ms(this->now() - call->arrived)}});
    this->env.figures.count("callers_gone", "route",
                            call->route == nullptr ? "" : call->route->name.value);
    if (call->running)
        this->env.upstreams.cancel(call->running->exchange);
    if (call->running)
        call->history.may_have_run = true;
    this->release(*call, core::placement_outcome::cancelled);
    this->end(*call);
}

void call_handler::end(open_call& call)
{
    this->env.on.cancel(call.deadline_timer);
    this->env.on.cancel(call.silence_timer);
    if (call.placement != 0)
        this->env.placement.withdraw(std::exchange(call.placement, 0));
    if (call.quota_taken && !call.history.may_have_run)
        this->env.placement.return_quota(*call.team, call.quota_cost);
    this->calls.erase(call.exchange);
}

} // namespace ragwortcove::gateway
