#include "ragwortcove/gateway/call_handler.hpp"

#include "ragwortcove/daemon/event_log.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;
using daemon::log_event;

static constexpr int status_unauthorized = 401;
static constexpr int status_not_found = 404;
static constexpr int status_bad_request = 400;
static constexpr int status_too_many = 429;
static constexpr int status_bad_gateway = 502;
static constexpr int status_unavailable = 503;
static constexpr int status_gateway_timeout = 504;

/// When a caller may come back while this node knows no configuration.
static constexpr duration retry_without_rules = 500ms;
/// When a caller may come back to another node while this one ends.
static constexpr duration retry_elsewhere = 50ms;
/// When a caller may come back after a dispatch that was refused.
static constexpr duration retry_after_refusal = 300ms;
/// How long an upstream that could not be connected to is not tried by this node.
static constexpr duration unreachable_time = 1s;
/// Grants for upstreams that are gone by now, before the request is refused.
static constexpr std::uint32_t most_stale_grants = 4;
/// Time limit for connecting to an upstream.
static constexpr std::chrono::milliseconds connect_time{250};
/// Part of the answer's largest length that is assumed when the caller gives no hint.
static constexpr double usual_length_share = 0.6;

static std::string to_ms(duration value)
{
    return std::to_string(value.count() / 1000);
}

call_handler::call_handler(call_surroundings&& around)
    : env(std::move(around)), random(static_cast<std::uint64_t>(this->env.on.now().count()))
{
}

call_handler::~call_handler() = default;

open_call* call_handler::find(http::inbound_exchange exchange)
{
    const auto found = this->calls.find(exchange);
    return found == this->calls.end() ? nullptr : &found->second;
}

void call_handler::take(http::inbound_exchange exchange, http::inbound_request&& request)
{
    open_call& call = this->calls[exchange];
    call.exchange = exchange;
    call.facts = adapter::read_call(request.head);
    call.request = std::move(request);
    call.arrived = this->now();
    call.rules = this->env.rules();
    if (!this->admit(call))
        return;
    const duration asked = call.facts.time_left.value_or(call.route->timeout);
    const duration time_left = std::min(asked, call.route->timeout);
    call.deadline = call.arrived + time_left;
    call.deadline_timer =
        this->env.on.after(time_left, [this, exchange] { this->time_up(exchange); });
    call.earlier = this->callers_times.earlier(*call.route, asked, call.arrived);
    this->choose_target(call);
    this->env.repeats.count_request(call.target, call.arrived);
    this->env.figures.count("requests", "route", call.route->name.value);
    this->ask_quota(call);
}

/// Checks what needs no other node; false when the call has been answered.
bool call_handler::admit(open_call& call)
{
    if (this->refusing) {
        this->refuse(call, status_unavailable, "this node is shutting down", retry_elsewhere);
        return false;
    }
    if (call.rules == nullptr) {
        this->refuse(call, status_unavailable, "no configuration yet", retry_without_rules);
        return false;
    }
    call.route = call.rules->find_route(call.facts.host, call.facts.path);
    if (call.route == nullptr) {
        this->fail(call, status_not_found, "no route for this host and path");
        return false;
    }
    if (call.rules->has_teams() && !call.route->is_public) {
        call.team = call.facts.key ? call.rules->find_team_by_key(*call.facts.key) : nullptr;
        if (call.team == nullptr) {
            this->fail(call, status_unauthorized, "unknown key");
            return false;
        }
    }
    if (call.facts.attempt.empty()) {
        this->fail(call, status_bad_request, "the request has no id");
        return false;
    }
    return true;
}

void call_handler::choose_target(open_call& call)
{
    double total = 0.0;
    for (const core::target_weight& each : call.route->targets)
        total += each.weight;
    double point = core::uniform(this->random) * total;
    call.target = call.route->targets.front().target;
    for (const core::target_weight& each : call.route->targets) {
        if (each.weight <= 0.0)
            continue;
        call.target = each.target;
        point -= each.weight;
        if (point < 0.0)
            return;
    }
}

void call_handler::ask_quota(open_call& call)
{
    if (call.team == nullptr) {
        this->place(call);
        return;
    }
    std::optional<std::uint64_t> tokens;
    if (call.facts.prompt_tokens)
        tokens =
            std::uint64_t{*call.facts.prompt_tokens} + call.facts.most_output_tokens.value_or(0);
    call.quota_cost = core::quota_cost(*call.team, tokens);
    this->env.placement.take_quota(
        *call.team, call.target, call.quota_cost,
        core::quota_patience(*call.route, call.deadline - call.arrived),
        [this, exchange = call.exchange](const core::quota_answer& answer) {
            this->quota_answered(exchange, answer);
        });
}

void call_handler::quota_answered(http::inbound_exchange exchange, const core::quota_answer& answer)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr)
        return;
    if (!answer.granted) {
        daemon::write_log(log_event::quota_exceeded,
                          {{"request", call->facts.attempt},
                           {"team", call->team->name.value},
                           {"cost", std::to_string(static_cast<long>(call->quota_cost))},
                           {"retry_after_ms", to_ms(answer.wait)},
                           {"rules", std::to_string(call->rules->rules().version)}});
        this->refuse(*call, status_too_many, "over the team's quota", answer.wait);
        return;
    }
    call->quota_taken = call->team->rate > 0.0;
    if (answer.wait <= duration::zero()) {
        this->place(*call);
        return;
    }
    daemon::write_log(log_event::quota_awaited, {{"request", call->facts.attempt},
                                                 {"team", call->team->name.value},
                                                 {"wait_ms", to_ms(answer.wait)}});
    this->env.on.after(answer.wait, [this, exchange] {
        open_call* const waiting = this->find(exchange);
        if (waiting != nullptr)
            this->place(*waiting);
    });
}

core::placement_ask call_handler::make_ask(const open_call& call)
{
    const time_point at = this->now();
    core::placement_ask ask;
    ask.target = call.target;
    if (call.team != nullptr)
        ask.team = call.team->name;
    const std::uint32_t team_rank = call.team == nullptr ? 0 : call.team->rank.value_or(0);
    constexpr std::uint32_t ranks_of_routes = 100;
    ask.rank = team_rank * ranks_of_routes + std::min(call.route->rank, ranks_of_routes - 1);
    ask.prompt_tokens = call.facts.prompt_tokens.value_or(0);
    const std::uint32_t most = call.facts.most_output_tokens.value_or(0);
    ask.output_tokens = call.facts.likely_output_tokens.value_or(
        static_cast<std::uint32_t>(most * usual_length_share));
    if (most > 0)
        ask.output_tokens = std::min(ask.output_tokens, most);
    ask.parts = call.facts.parts;
    ask.goal_left = call.arrived + call.route->goal - at - call.earlier;
    ask.patience = core::placement_patience(*call.route, call.deadline - at);
    ask.longest_pause = call.route->longest_pause;
    ask.failure_domain = this->env.failure_domain;
    ask.avoid = call.avoid;
    std::erase_if(this->unreachable, [at](const auto& each) { return each.second <= at; });
    for (const auto& [name, until] : this->unreachable)
        ask.avoid.push_back(name);
    return ask;
}

void call_handler::place(open_call& call)
{
    call.placing_since = this->now();
    const http::inbound_exchange exchange = call.exchange;
    const placement_number number = this->env.placement.place(
        this->make_ask(call),
        [this, exchange](placement_number placement, const core::placement_answer& answer) {
            this->placed(exchange, placement, answer);
        });
    // The answer may have come from inside the call, and with it the end of the request.
    open_call* const still = this->find(exchange);
    if (still != nullptr && !still->running && still->placement == 0)
        still->placement = number;
}

void call_handler::placed(http::inbound_exchange exchange, placement_number number,
                          const core::placement_answer& answer)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr) {
        this->env.placement.withdraw(number);
        return;
    }
    if (const auto* denial = std::get_if<core::placement_denial>(&answer)) {
        call->placement = 0;
        this->denied(*call, *denial);
        return;
    }
    call->placement = number;
    this->granted(*call, std::get<core::placement_grant>(answer));
}

void call_handler::granted(open_call& call, const core::placement_grant& grant)
{
    const core::announced_upstream* upstream = this->env.find_upstream(grant.upstream);
    if (upstream != nullptr && !upstream->leaving) {
        call.uncached_tokens = grant.uncached_tokens;
        this->send(call, *upstream);
        return;
    }
    // The owner has not heard yet that the upstream leaves.
    this->release(call, core::placement_outcome::cancelled);
    call.avoid.push_back(grant.upstream);
    if (++call.stale_grants > most_stale_grants) {
        this->refuse(call, status_unavailable, "no upstream", retry_after_refusal);
        return;
    }
    this->place(call);
}

void call_handler::denied(open_call& call, const core::placement_denial& denial)
{
    const bool no_upstream = denial.reason == core::denial_reason::no_upstream;
    const std::string_view reason = no_upstream ? "no upstream" : "no place in time";
    if (call.history.answer_begun) {
        this->cut(call, reason);
        return;
    }
    if (call.history.may_have_run) {
        this->fail(call, status_bad_gateway, "failed, and no other upstream has a place");
        return;
    }
    this->refuse(call, status_unavailable, reason, denial.retry_after);
}

void call_handler::send(open_call& call, const core::announced_upstream& upstream)
{
    const time_point at = this->now();
    const http::inbound_exchange exchange = call.exchange;
    adapter::dispatch_facts facts;
    facts.upstream = upstream.name;
    if (call.team != nullptr)
        facts.team = call.team->name;
    facts.time_left = call.deadline - at;
    if (call.history.answer_begun)
        facts.resume_after = call.last_event;
    http::outbound_request request;
    request.to = {upstream.address.address, upstream.address.port};
    request.identity = upstream.name.value;
    request.method = call.request.head.method;
    request.target = call.request.head.target;
    request.headers = adapter::make_upstream_headers(call.request.head, facts);
    request.body = call.request.body;
    request.connect_time = connect_time;
    http::outbound_handlers handlers;
    handlers.head = [this, exchange](http::status_line_and_headers&& head) {
        this->headed(exchange, std::move(head));
    };
    handlers.body = [this, exchange](std::string_view bytes) { this->body_came(exchange, bytes); };
    handlers.complete = [this, exchange] { this->complete(exchange); };
    handlers.failed = [this, exchange](http::outbound_failure why) { this->failed(exchange, why); };
    call.running.emplace();
    call.running->upstream = upstream.name;
    call.running->sent_at = at;
    daemon::write_log(log_event::request_placed,
                      {{"request", call.facts.attempt},
                       {"route", call.route->name.value},
                       {"team", call.team == nullptr ? "" : call.team->name.value},
                       {"upstream", upstream.name.value},
                       {"upstream_revision", std::to_string(upstream.at.value)},
                       {"attempt", std::to_string(call.history.sent + 1)},
                       {"waited_ms", to_ms(at - call.placing_since)},
                       {"age_ms", to_ms(at - call.arrived)},
                       {"uncached_tokens", std::to_string(call.uncached_tokens)},
                       {"rules", std::to_string(call.rules->rules().version)}});
    this->env.figures.observe("placement_wait", call.route->name.value, at - call.placing_since);
    call.running->exchange = this->env.upstreams.start(std::move(request), std::move(handlers));
    this->arm_silence(call);
}

// Only a request that may be repeated gains from giving up an upstream before the deadline.
void call_handler::arm_silence(open_call& call)
{
    this->env.on.cancel(call.silence_timer);
    call.silence_timer = 0;
    if (!call.route->idempotent || call.history.sent + 1 >= call.route->most_upstreams)
        return;
    call.silence_timer =
        this->env.on.after(core::silence_limit(*call.route),
                           [this, exchange = call.exchange] { this->silent(exchange); });
}

bool call_handler::is_streaming(const open_call& call) const
{
    const dispatch& running = *call.running;
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    return call.route->streams && running.head && running.head->status >= first_success &&
           running.head->status < first_redirect && !running.facts.not_run;
}

static bool is_usable(const adapter::answer_facts& facts)
{
    return facts.is_signed && facts.is_for_attempt && !facts.is_recoded;
}

void call_handler::headed(http::inbound_exchange exchange, http::status_line_and_headers&& head)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || !call->running)
        return;
    call->running->facts = adapter::read_answer(head, call->facts.attempt);
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
    if (call.history.answer_begun)
        return;
    call.history.answer_begun = true;
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
    if (!call.history.answer_begun)
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
        core::decide_after(*call.route, history, end, true) == core::next_step::place_again;
    if (wanted && core::repeat_counts(end))
        budget_left = this->env.repeats.spend(call.target, this->env.serving_nodes(), at);
    const core::next_step step = core::decide_after(*call.route, history, end, budget_left);
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
    if (call->history.answer_begun) {
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
