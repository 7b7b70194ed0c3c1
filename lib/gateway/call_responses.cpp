#include "call_responses.hpp"

#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/call_handler.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;
using daemon::log_event;

/// Time after the first event of a stream from which on its upstream does not end for its request.
static constexpr duration min_response_time = 500ms;

/// Longest pause that an upstream's response can ask for. After it, one request shows whether it
/// still wants none.
static constexpr duration max_upstream_pause = 1h;

bool call_handler::is_streaming(const open_call& call) const
{
    const dispatch& active_dispatch = *call.active_dispatch;
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    const bool is_success = active_dispatch.head && active_dispatch.head->status >= first_success &&
                            active_dispatch.head->status < first_redirect;
    if (!call.route->streams || !is_success || active_dispatch.facts.not_run)
        return false;
    switch (active_dispatch.facts.body) {
    case adapter::body_kind::events:
        return true;
    case adapter::body_kind::unstated:
        // What is to go on within a response must be known to be a stream.
        return !call.history.response_started || active_dispatch.events > 0;
    case adapter::body_kind::other:
        return false;
    }
    return false;
}

static bool is_usable(const adapter::response_facts& facts)
{
    return facts.is_signed && facts.is_for_attempt && !facts.has_content_encoding;
}

void call_handler::on_upstream_progress(open_call& call)
{
    call.last_byte_at = this->now();
    call.active_dispatch->silent = false;
    this->withdraw_waiting(call);
    this->arm_idle_timer(call);
}

void call_handler::on_upstream_leaves(const dispatch& active_dispatch)
{
    const core::upstream_process process{active_dispatch.upstream,
                                         active_dispatch.upstream_started_at};
    this->leaving.insert_or_assign(process.name, process.started_at);
    this->env.upstream_leaves(process);
}

void call_handler::on_upstream_pauses(const open_call& call, duration stated)
{
    const dispatch& active_dispatch = *call.active_dispatch;
    const duration pause = std::min(stated, max_upstream_pause);
    const time_point until = this->now() + pause;
    const std::int64_t started_at = active_dispatch.upstream_started_at;
    const auto [found, is_new] = this->pauses.try_emplace(active_dispatch.upstream);
    upstream_pause& known = found->second;
    // A late response of an earlier process says nothing of the one after it.
    if (!is_new && started_at < known.started_at)
        return;
    const bool is_same_process = started_at == known.started_at;
    known.until = is_same_process ? std::max(known.until, until) : until;
    known.target = call.target;
    known.started_at = started_at;
    daemon::write_log(log_event::upstream_pauses, {{"request", call.facts.attempt},
                                                   {"upstream", active_dispatch.upstream.value},
                                                   {"stated_ms", to_ms_text(stated)},
                                                   {"pause_ms", to_ms_text(pause)}});
    this->env.metrics.count("upstream_pauses", "target", call.target.value);
}

void call_handler::on_response_head(http::inbound_exchange exchange,
                                    http::status_line_and_headers&& head)
{
    open_call* call = this->find(exchange);
    if (call == nullptr || !call->active_dispatch)
        return;
    adapter::response_facts facts = adapter::read_response_headers(head, call->facts.attempt);
    this->note_statements(*call, facts);
    // The upstreams may have changed, which may have ended any request.
    call = this->find(exchange);
    if (call == nullptr || !call->active_dispatch)
        return;
    if (facts.is_for_other_attempt) {
        this->skip_misplaced_response(*call, head.status);
        return;
    }
    this->on_upstream_progress(*call);
    this->env.parts.on_sign_of_life(
        {call->active_dispatch->upstream, call->active_dispatch->upstream_started_at});
    call->active_dispatch->facts = std::move(facts);
    call->active_dispatch->head = std::move(head);
    const bool is_unusable = this->is_streaming(*call) && !is_usable(call->active_dispatch->facts);
    if (is_unusable || !call->active_dispatch->facts.is_for_attempt) {
        this->env.upstreams.cancel(call->active_dispatch->exchange);
        this->handle_failed_dispatch(*call, core::dispatch_end::broken);
    }
}

// What an upstream says of itself holds whichever request it responds to.
void call_handler::note_statements(const open_call& call, const adapter::response_facts& facts)
{
    const dispatch& active_dispatch = *call.active_dispatch;
    if (facts.pause)
        this->on_upstream_pauses(call, *facts.pause);
    if (!facts.unreadable_pause.empty())
        daemon::write_log(log_event::retry_after_unreadable,
                          {{"request", call.facts.attempt},
                           {"upstream", active_dispatch.upstream.value},
                           {"text", facts.unreadable_pause}});
    // Another server at the same address speaks for itself only.
    if (facts.is_leaving && !facts.wrong_upstream)
        this->on_upstream_leaves(active_dispatch);
}

// A refusal that has come already may ask for a pause, which holds for all requests.
void call_handler::give_up_dispatch(open_call& call)
{
    const http::outbound_exchange exchange = call.active_dispatch->exchange;
    const auto unread = this->env.upstreams.peek_head(exchange);
    this->env.upstreams.cancel(exchange);
    this->give_up_trial(call);
    if (!unread)
        return;
    const adapter::response_facts facts =
        adapter::read_response_headers(*unread, call.facts.attempt);
    if (facts.pause)
        this->on_upstream_pauses(call, *facts.pause);
}

// The response to this request is still to come on the connection.
void call_handler::skip_misplaced_response(const open_call& call, int status)
{
    daemon::write_log(log_event::response_misplaced,
                      {{"request", call.facts.attempt},
                       {"upstream", call.active_dispatch->upstream.value},
                       {"status", std::to_string(status)}});
    this->env.metrics.count("misplaced_responses", "target", call.target.value);
    this->env.upstreams.skip_response(call.active_dispatch->exchange);
}

void call_handler::on_response_body(http::inbound_exchange exchange, std::string_view bytes)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || !call->active_dispatch)
        return;
    this->count_bytes_between_domains(*call, bytes.size());
    if (!this->is_streaming(*call)) {
        this->on_upstream_progress(*call);
        call->active_dispatch->body.append(bytes);
        this->end_too_long_responses(*call);
        return;
    }
    const auto events = call->active_dispatch->splitter.add_bytes(bytes);
    if (!events.empty())
        this->on_upstream_progress(*call);
    for (const std::string& event : events) {
        const std::optional<std::uint64_t> number = adapter::read_event_number(event);
        // An upstream that resumes a stream may repeat events that the caller already has.
        if (number && call->last_event_number && *number <= *call->last_event_number)
            continue;
        this->begin_stream(*call);
        if (number)
            call->last_event_number = number;
        this->env.callers.write(exchange, event);
    }
    const dispatch& active_dispatch = *call->active_dispatch;
    if (active_dispatch.events > 0 &&
        this->now() - active_dispatch.first_event_at >= min_response_time)
        this->report_response(*call);
    this->end_too_long_responses(*call);
}

void call_handler::begin_stream(open_call& call)
{
    dispatch& active_dispatch = *call.active_dispatch;
    const time_point at = this->now();
    active_dispatch.last_event_at = at;
    if (active_dispatch.events++ == 0) {
        active_dispatch.first_event_at = at;
        this->env.placement.started(call.placement, at - active_dispatch.sent_at);
    }
    this->observe_event(call);
    if (call.history.response_started)
        return;
    call.history.response_started = true;
    this->env.metrics.observe("first_event", call.route->name.value, at - call.arrived_at);
    http::inbound_response head;
    head.status = active_dispatch.head->status;
    head.headers = adapter::make_caller_headers(*active_dispatch.head);
    this->env.callers.start_response(call.exchange, std::move(head));
}

void call_handler::on_response_complete(http::inbound_exchange exchange)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || !call->active_dispatch)
        return;
    const dispatch& active_dispatch = *call->active_dispatch;
    if (this->is_streaming(*call)) {
        this->complete_stream(*call);
        return;
    }
    constexpr int first_client_error = 400;
    constexpr int first_server_error = 500;
    const int status = active_dispatch.head->status;
    if (active_dispatch.facts.not_run) {
        this->handle_failed_dispatch(*call, active_dispatch.facts.wrong_upstream
                                                ? core::dispatch_end::wrong_upstream
                                                : core::dispatch_end::refused);
        return;
    }
    if (!is_usable(active_dispatch.facts) && status < first_client_error) {
        this->handle_failed_dispatch(*call, core::dispatch_end::broken);
        return;
    }
    // Nothing but further events can complete a response that has begun.
    if (call->history.response_started || status >= first_server_error ||
        !active_dispatch.facts.is_signed) {
        this->handle_failed_dispatch(*call, core::dispatch_end::error_answer);
        return;
    }
    if (status < first_client_error) {
        this->report_complete_response(*call);
        this->record_response_time(*call);
    }
    call->history.may_have_run = true;
    this->release_placement(*call, core::placement_outcome::completed);
    this->forward_response(*call);
}

void call_handler::record_response_time(const open_call& call)
{
    const dispatch& responded = *call.active_dispatch;
    core::response_time seen;
    seen.whole = this->now() - call.first_sent_at;
    seen.first = responded.events > 0 ? responded.first_event_at - call.first_sent_at : seen.whole;
    seen.max_output_tokens = call.facts.max_output_tokens.value_or(0);
    this->usual_times.add(*call.route, seen);
}

void call_handler::complete_stream(open_call& call)
{
    const dispatch& ended = *call.active_dispatch;
    // An upstream that ends after the head of its response closes the connection in order, too.
    const bool is_without_event = ended.head->ends_with_connection && ended.events == 0;
    if (ended.splitter.inside_event() || is_without_event) {
        call.active_dispatch->connection_lost = true;
        this->handle_failed_dispatch(call, core::dispatch_end::broken);
        return;
    }
    if (!call.history.response_started)
        this->begin_stream(call);
    this->report_complete_response(call);
    this->env.callers.finish(call.exchange);
    const time_point at = this->now();
    daemon::write_log(
        log_event::request_answered,
        {{"request", call.facts.attempt},
         {"upstream", call.active_dispatch->upstream.value},
         {"status", std::to_string(call.active_dispatch->head->status)},
         {"first_event_ms", to_ms_text(call.active_dispatch->first_event_at - call.arrived_at)},
         {"whole_ms", to_ms_text(at - call.arrived_at)},
         {"events", std::to_string(call.active_dispatch->events)}});
    this->env.metrics.count("answers", "route", call.route->name.value);
    this->env.metrics.observe("whole_answer", call.route->name.value, at - call.arrived_at);
    call.history.may_have_run = true;
    this->record_response_time(call);
    this->release_placement(call, core::placement_outcome::completed);
    this->end_call(call);
}

} // namespace ragwortcove::gateway
