#include "ragwortcove/gateway/call_handler.hpp"

#include "call_answers.hpp"
#include "ragwortcove/daemon/event_log.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;
using daemon::log_event;

/// When a caller may come back while this node knows no configuration.
static constexpr duration retry_without_rules = 500ms;
/// When a caller may come back to another node while this one ends.
static constexpr duration retry_elsewhere = 50ms;
/// Grants for upstreams that are gone by now, before the request is refused.
static constexpr std::uint32_t most_stale_grants = 4;
/// Time limit for connecting to an upstream.
static constexpr std::chrono::milliseconds connect_time{250};
/// Part of the answer's largest length that is assumed when the caller gives no hint.
static constexpr double usual_length_share = 0.6;

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
            std::uint64_t{*call.facts.prompt_tokens} + call.facts.max_output_tokens.value_or(0);
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
    const std::uint32_t most = call.facts.max_output_tokens.value_or(0);
    ask.output_tokens = call.facts.expected_output_tokens.value_or(
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

} // namespace ragwortcove::gateway
