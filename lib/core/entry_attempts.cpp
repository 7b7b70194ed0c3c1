#include "ragwortcove/core/entry.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Maximum number of times that one dispatch is resumed.
static constexpr std::uint32_t max_resumes = 3;

void entry::dispatch(open_request& request, const upstream_name& upstream,
                     std::uint32_t cached_tokens, step_context& context)
{
    assert(this->ledger.may_dispatch(request.id) && "a request has at most one current dispatch");
    running_attempt running;
    running.upstream = upstream;
    running.address = this->env.config.find_upstream(upstream)->address;
    running.cached_tokens = cached_tokens;
    running.dispatched_at = context.now;
    request.running = running;
    request.phase = request_phase::running;
    request.received = 0;
    this->set_wakeup(request, request.deadline);
    const attempt_id attempt{this->next_attempt};
    this->ledger.record(request.id, attempt, upstream);
    if (this->direct.active())
        this->direct.dispatched(upstream);
    this->start_attempt(request, attempt_mode::fresh, context);
}

void entry::start_attempt(open_request& request, attempt_mode mode, step_context& context)
{
    running_attempt& running = *request.running;
    this->by_attempt.erase(running.attempt);
    running.attempt = attempt_id{this->next_attempt++};
    running.resuming = mode != attempt_mode::fresh;
    this->by_attempt[running.attempt] = request.exchange;
    open_attempt opened;
    opened.attempt = running.attempt;
    opened.exchange = request.exchange;
    opened.request = request.id;
    opened.upstream = running.upstream;
    opened.address = running.address;
    opened.kind = request.route.kind;
    opened.mode = mode;
    opened.offset = request.received;
    opened.idle_limit = this->env.self.idle_limit;
    // If the upstream closed a reused connection during the write, the outcome would be unknown.
    opened.fresh_connection = !request.idempotent || running.resuming;
    context.effects.emplace_back(std::move(opened));
}

void entry::on_upstream_accepted(const upstream_accepted& message, step_context& context)
{
    (void)context;
    open_request* request = this->find_attempt(message.attempt);
    if (request != nullptr)
        request->running->resuming = false;
}

void entry::on_upstream_progress(const upstream_progress& message, step_context& context)
{
    open_request* request = this->find_attempt(message.attempt);
    if (request == nullptr)
        return;
    running_attempt& running = *request->running;
    const std::uint32_t end = message.offset + message.count;
    if (message.offset > request->received) {
        context.effects.emplace_back(cancel_attempt{message.attempt});
        this->on_attempt_failed(*request, upstream_failure::incomplete, context);
        return;
    }
    if (end <= request->received)
        return;
    const std::uint32_t skip = request->received - message.offset;
    if (request->received == 0)
        this->on_first_part(*request, context);
    running.last_part_at = context.now;
    request->received = end;
    context.effects.emplace_back(forward_progress{request->exchange, message.attempt, skip});
}

void entry::on_first_part(open_request& request, step_context& context)
{
    running_attempt& running = *request.running;
    running.first_part_at = context.now;
    const bool is_long_prompt =
        request.route.kind == upstream_kind::engine &&
        request.call.prompt_tokens >= running.cached_tokens + min_tokens_to_report;
    if (is_long_prompt && request.cell)
        context.send(request.owner, permit_started{request.id, *request.cell, running.upstream});
}

// Reports what the owner's estimates need; the time between tokens only when there were at least
// two.
void entry::release_permit(open_request& request, attempt_outcome outcome, step_context& context)
{
    this->env.moves.observe(request, outcome, context);
    const running_attempt& running = *request.running;
    if (!request.cell) {
        this->direct.released(running.upstream);
        return;
    }
    permit_release report;
    report.request = request.id;
    report.cell = *request.cell;
    report.upstream = running.upstream;
    report.outcome = outcome;
    report.prefill_tokens = request.call.prompt_tokens;
    report.cached_tokens = running.cached_tokens;
    report.output_tokens = request.received;
    if (request.received > 0)
        report.first_token_after = running.first_part_at - running.dispatched_at;
    if (request.route.kind == upstream_kind::engine && request.received > 1)
        report.between_tokens =
            (running.last_part_at - running.first_part_at) / std::int64_t{request.received - 1};
    context.send(request.owner, std::move(report));
}

void entry::on_upstream_finished(const upstream_finished& message, step_context& context)
{
    open_request* request = this->find_attempt(message.attempt);
    if (request == nullptr)
        return;
    if (message.total != request->received) {
        this->on_attempt_failed(*request, upstream_failure::incomplete, context);
        return;
    }
    if (request->received == 0) {
        request->running->first_part_at = context.now;
        request->running->last_part_at = context.now;
    }
    request->running->cached_tokens = message.cached_tokens;
    this->release_permit(*request, attempt_outcome::completed, context);
    this->retries.record_success();
    if (request->route.kind == upstream_kind::engine)
        this->outputs.record_length(request->call.route, request->received);
    context.log(decision_kind::answered, request->id, request->running->upstream.value);
    context.effects.emplace_back(finish_exchange{request->exchange, request->id});
    this->end_request(*request, true, context);
}

void entry::on_upstream_failed(const upstream_failed& message, step_context& context)
{
    open_request* request = this->find_attempt(message.attempt);
    if (request == nullptr)
        return;
    this->on_attempt_failed(*request, message.failure, context);
}

static std::string_view describe(upstream_failure failure)
{
    switch (failure) {
    case upstream_failure::not_sent:
        return "not sent";
    case upstream_failure::refused:
        return "refused";
    case upstream_failure::error_answer:
        return "error answer";
    case upstream_failure::connection_lost:
        return "connection lost";
    case upstream_failure::silent:
        return "silent";
    case upstream_failure::incomplete:
        return "incomplete";
    case upstream_failure::unknown_request:
        return "unknown request";
    }
    return "unknown";
}

static bool is_connection_failure(upstream_failure failure)
{
    return failure == upstream_failure::not_sent || failure == upstream_failure::connection_lost ||
           failure == upstream_failure::silent;
}

void entry::on_attempt_failed(open_request& request, upstream_failure failure,
                              step_context& context)
{
    running_attempt& running = *request.running;
    running.connection_failed = is_connection_failure(failure);
    context.log(decision_kind::attempt_failed, request.id, running.upstream.value,
                std::string(describe(failure)));
    const bool first_attempt = running.resumes == 0;
    const bool is_proven_not_run =
        failure == upstream_failure::not_sent || failure == upstream_failure::refused;
    if (first_attempt && is_proven_not_run) {
        this->ledger.prove_not_run(request.id);
        this->by_attempt.erase(running.attempt);
        request.avoid.push_back(running.upstream);
        // A refusal indicates load, not a failure of the upstream.
        this->release_permit(request,
                             failure == upstream_failure::refused ? attempt_outcome::cancelled
                                                                  : attempt_outcome::failed,
                             context);
        this->retry(request, refusal_reason::upstream_failed, context);
        return;
    }
    const bool can_resume = request.route.kind == upstream_kind::engine &&
                            failure != upstream_failure::unknown_request &&
                            failure != upstream_failure::error_answer &&
                            failure != upstream_failure::not_sent && running.resumes < max_resumes;
    if (can_resume) {
        this->resume(request, failure, context);
        return;
    }
    this->repeat_or_refuse(request, failure, context);
}

// A resumption asks the same engine to continue the same request, so it is not a second dispatch.
void entry::resume(open_request& request, upstream_failure failure, step_context& context)
{
    context.effects.emplace_back(cancel_attempt{request.running->attempt});
    if (failure == upstream_failure::connection_lost)
        request.running->closed_by_upstream = true;
    ++request.running->resumes;
    context.log(decision_kind::resumed, request.id, request.running->upstream.value);
    this->start_attempt(request, attempt_mode::resume, context);
}

// Whether the failed dispatch cannot be running any more. An engine that does not know the request
// or has responded with an error is not running it. An engine that sends nothing may still be
// running it, and so may an engine that could not be reached for a resumption: the engine's process
// has ended only if the engine had closed the connection itself and now accepts no connection. A
// refusal to resume proves nothing about the earlier dispatch.
static bool has_ended(const running_attempt& running, upstream_failure failure, upstream_kind kind)
{
    switch (failure) {
    case upstream_failure::not_sent:
        return running.closed_by_upstream;
    case upstream_failure::refused:
        return false;
    case upstream_failure::error_answer:
    case upstream_failure::unknown_request:
        return true;
    case upstream_failure::connection_lost:
    case upstream_failure::incomplete:
        return kind == upstream_kind::service;
    case upstream_failure::silent:
        return false;
    }
    return false;
}

void entry::repeat_or_refuse(open_request& request, upstream_failure failure, step_context& context)
{
    const bool silent = failure == upstream_failure::silent;
    this->by_attempt.erase(request.running->attempt);
    if (silent)
        context.effects.emplace_back(cancel_attempt{request.running->attempt});
    this->release_permit(request, silent ? attempt_outcome::silent : attempt_outcome::failed,
                         context);
    request.avoid.push_back(request.running->upstream);
    const bool may_repeat = request.idempotent && !request.response_started() &&
                            has_ended(*request.running, failure, request.route.kind);
    const refusal_reason reason =
        silent ? refusal_reason::upstream_silent : refusal_reason::upstream_failed;
    if (!may_repeat) {
        this->refuse(request, request.response_started() ? refusal_reason::answer_cut : reason, 1s,
                     context);
        return;
    }
    this->ledger.allow_repeat(request.id);
    request.received = 0;
    this->retry(request, reason, context);
}

} // namespace ragwortcove::core
