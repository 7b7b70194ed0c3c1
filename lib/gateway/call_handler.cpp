#include "ragwortcove/gateway/call_handler.hpp"

#include "call_responses.hpp"
#include "ragwortcove/daemon/event_log.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;
using daemon::log_event;

/// Time after which a caller may retry while this node has no configuration.
static constexpr duration retry_after_no_rules = 500ms;
/// Time after which a caller may retry at another node while this one shuts down.
static constexpr duration retry_after_shutdown = 50ms;
/// Time in which a response reaches its caller, before this process ends its calls.
static constexpr duration shutdown_margin = 100ms;
/// Number of grants for removed or leaving upstreams after which the next one counts as a denial.
static constexpr std::uint32_t max_stale_grants = 4;
/// Time-out for connecting to an upstream.
static constexpr std::chrono::milliseconds connect_timeout{250};
/// Within this time after a common reason to wait has ended, requests that were refused come again.
static constexpr duration return_spread = 400ms;
/// Assumed ratio of the output length to its maximum when the caller gives no hint.
static constexpr double typical_length_ratio = 0.6;
/// Part of the latency goal that a request waits for a canary before it is placed on another
/// upstream, as a divisor.
static constexpr int canary_wait_divisor = 8;

call_handler::call_handler(call_dependencies&& dependencies)
    : env(std::move(dependencies)),
      random(static_cast<std::uint64_t>(this->env.event_loop.now().count()))
{
}

call_handler::~call_handler() = default;

open_call* call_handler::find(http::inbound_exchange exchange)
{
    const auto found = this->calls.find(exchange);
    return found == this->calls.end() ? nullptr : &found->second;
}

// The last part is the request's own, or its session's.
static std::vector<core::part_id> shared_parts_of(std::span<const core::prompt_part> parts)
{
    std::vector<core::part_id> shared;
    if (parts.empty())
        return shared;
    for (const core::prompt_part& part : parts.first(parts.size() - 1))
        shared.push_back({part.id});
    return shared;
}

void call_handler::handle_request(http::inbound_exchange exchange, http::inbound_request&& request)
{
    open_call& call = this->calls[exchange];
    call.exchange = exchange;
    call.facts = adapter::read_call(request.head);
    call.shared_parts = shared_parts_of(call.facts.parts);
    call.request = std::move(request);
    call.arrived_at = this->now();
    call.rules = this->env.rules();
    if (!this->admit(call))
        return;
    const duration requested_time = call.facts.time_left.value_or(call.route->timeout);
    const duration time_left = std::min(requested_time, call.route->timeout);
    call.deadline = call.arrived_at + time_left;
    if (this->is_too_late(call)) {
        this->refuse_for_shutdown(call);
        return;
    }
    call.deadline_timer =
        this->env.event_loop.after(time_left, [this, exchange] { this->on_deadline(exchange); });
    call.earlier_attempts_time =
        this->timeouts.earlier(*call.route, requested_time, call.arrived_at);
    this->choose_target(call);
    this->env.repeats.count_request(call.target, call.arrived_at);
    this->env.metrics.count("requests", "route", call.route->name.value);
    this->request_quota(call);
}

// A response that has begun can only go on here. A request whose deadline comes first is ended by
// that.
bool call_handler::is_too_late(const open_call& call) const
{
    if (this->calls_end_at == time_point::max() || call.history.response_started)
        return false;
    const duration usual =
        this->usual_times.usual_limit(*call.route, call.facts.max_output_tokens.value_or(0));
    const time_point answered_at = this->now() + usual + shutdown_margin;
    return std::min(call.deadline, answered_at) > this->calls_end_at;
}

void call_handler::refuse_for_shutdown(open_call& call)
{
    this->end_without_response(call, {"this node is shutting down", retry_after_shutdown,
                                      status_bad_gateway, "this node is shutting down",
                                      "this node is shutting down"});
}

void call_handler::end_all_calls()
{
    std::vector<http::inbound_exchange> open;
    for (const auto& [exchange, call] : this->calls)
        open.push_back(exchange);
    for (const http::inbound_exchange exchange : open)
        this->on_deadline(exchange);
}

void call_handler::on_connection_closing(const http::connection_closing& closing)
{
    const open_call* const call = this->find(closing.exchange);
    daemon::write_log(log_event::connection_closed,
                      {{"reason", to_string(closing.reason)},
                       {"phase", to_string(closing.phase)},
                       {"request", call == nullptr ? "" : call->facts.attempt},
                       {"age_ms", to_ms_text(closing.age)},
                       {"unsent", std::to_string(closing.unsent_bytes)}});
    this->env.metrics.count("closed_connections", "reason", to_string(closing.reason));
}

/// Makes the checks that need no other node; returns false when the call has been responded to.
bool call_handler::admit(open_call& call)
{
    if (this->refusing_new_requests) {
        this->refuse_for_shutdown(call);
        return false;
    }
    if (call.rules == nullptr) {
        this->refuse(call, status_unavailable, "no configuration yet", retry_after_no_rules);
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

void call_handler::request_quota(open_call& call)
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
    this->env.placement.acquire_quota(
        *call.team, call.target, call.quota_cost,
        core::max_quota_wait(*call.route, call.deadline - call.arrived_at),
        [this, exchange = call.exchange, rules = call.rules, team = call.team,
         cost = call.quota_cost](const core::quota_decision& decision) {
            if (this->find(exchange) != nullptr)
                this->on_quota_decision(exchange, decision);
            else if (decision.granted)
                this->env.placement.refund_quota(*team, cost);
        });
}

void call_handler::on_quota_decision(http::inbound_exchange exchange,
                                     const core::quota_decision& decision)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr)
        return;
    if (!decision.granted) {
        daemon::write_log(log_event::quota_exceeded,
                          {{"request", call->facts.attempt},
                           {"team", call->team->name.value},
                           {"cost", std::to_string(static_cast<long>(call->quota_cost))},
                           {"retry_after_ms", to_ms_text(decision.wait)},
                           {"rules", std::to_string(call->rules->rules().version)}});
        this->refuse(*call, status_too_many, "over the team's quota", decision.wait);
        return;
    }
    call->quota_charged = call->team->rate > 0.0;
    if (decision.wait <= duration::zero()) {
        this->place(*call);
        return;
    }
    daemon::write_log(log_event::quota_awaited, {{"request", call->facts.attempt},
                                                 {"team", call->team->name.value},
                                                 {"wait_ms", to_ms_text(decision.wait)}});
    this->env.event_loop.after(decision.wait, [this, exchange] {
        open_call* const waiting = this->find(exchange);
        if (waiting != nullptr)
            this->place(*waiting);
    });
}

core::placement_request call_handler::make_placement_request(const open_call& call)
{
    const time_point at = this->now();
    core::placement_request request;
    request.pool = call.pool;
    if (call.team != nullptr)
        request.team = call.team->name;
    const std::uint32_t team_rank = call.team == nullptr ? 0 : call.team->rank.value_or(0);
    constexpr std::uint32_t route_rank_count = 100;
    request.rank = team_rank * route_rank_count + std::min(call.route->rank, route_rank_count - 1);
    request.prompt_tokens = call.facts.prompt_tokens.value_or(0);
    const std::uint32_t max_output_tokens = call.facts.max_output_tokens.value_or(0);
    request.output_tokens = call.facts.expected_output_tokens.value_or(
        static_cast<std::uint32_t>(max_output_tokens * typical_length_ratio));
    if (max_output_tokens > 0)
        request.output_tokens = std::min(request.output_tokens, max_output_tokens);
    request.parts = call.facts.parts;
    request.latency_budget = call.arrived_at + call.route->goal - at - call.earlier_attempts_time;
    request.max_wait =
        core::max_placement_wait(*call.route, call.deadline - at, call.history.response_started);
    request.longest_pause = call.route->longest_pause;
    request.time_left = std::max(duration{1}, call.deadline - at); // Zero would mean no limit.
    request.returned = call.earlier_attempts_time > duration{0};
    request.failure_domain = this->env.failure_domain;
    request.avoid = call.avoid;
    if (call.active_dispatch)
        request.avoid.push_back(call.active_dispatch->upstream);
    if (call.pool != call.target)
        this->limit_to_canaries(request, call);
    for (core::upstream_name& name : this->avoided_upstreams(at))
        request.avoid.push_back(std::move(name));
    // They stay announced for seconds, and a trial there would show nothing.
    for (core::upstream_process& ended : this->env.parts.recently_ended(call.shared_parts)) {
        const core::announced_upstream* const known = this->env.find_upstream(ended.name);
        if (known != nullptr && known->started_at == ended.started_at)
            request.avoid.push_back(std::move(ended.name));
    }
    return request;
}

std::vector<core::upstream_name> call_handler::avoided_upstreams(time_point at)
{
    std::erase_if(this->unreachable_until, [at](const auto& each) { return each.second <= at; });
    // The owner of a cell may not know yet that an upstream leaves, and would grant it.
    std::erase_if(this->leaving, [this](const auto& each) {
        const core::announced_upstream* const known = this->env.find_upstream(each.first);
        return known == nullptr || known->started_at != each.second;
    });
    std::erase_if(this->pauses, [at](const auto& each) { return each.second.until <= at; });
    std::vector<core::upstream_name> avoided;
    for (const auto& [name, until] : this->unreachable_until)
        avoided.push_back(name);
    for (const auto& [name, pause] : this->pauses) {
        const core::announced_upstream* const known = this->env.find_upstream(name);
        if (known != nullptr && this->is_paused(*known, at))
            avoided.push_back(name);
    }
    for (const auto& [name, started_at] : this->leaving)
        avoided.push_back(name);
    return avoided;
}

bool call_handler::is_paused(const core::announced_upstream& upstream, time_point at)
{
    const auto found = this->pauses.find(upstream.name);
    if (found == this->pauses.end() || at >= found->second.until)
        return false;
    // Only a later process has not asked for it: an announcement of an earlier one is outdated.
    return upstream.started_at <= found->second.started_at;
}

std::optional<duration> call_handler::retry_after_pause(const core::target_name& target)
{
    const time_point at = this->now();
    std::optional<duration> shortest;
    for (const auto& [name, pause] : this->pauses) {
        if (pause.target == target && at < pause.until)
            shortest = std::min(shortest.value_or(duration::max()), pause.until - at);
    }
    if (!shortest)
        return std::nullopt;
    return this->spread_retry(*shortest);
}

duration call_handler::spread_retry(duration after)
{
    const auto spread = static_cast<double>(return_spread.count()) * core::uniform(this->random);
    return after + duration{static_cast<duration::rep>(spread)};
}

// A request can be placed on another upstream instead of a canary, until all of them are to go to
// the new version.
void call_handler::limit_to_canaries(core::placement_request& request, const open_call& call) const
{
    for (core::upstream_name& unused : this->env.rollouts.unused_canaries(call.target))
        request.avoid.push_back(std::move(unused));
    if (!this->env.rollouts.moves_all(call.target))
        request.max_wait = std::min(request.max_wait, call.route->goal / canary_wait_divisor);
}

void call_handler::place(open_call& call)
{
    if (this->must_wait_for_fate(call))
        return;
    const core::part_decision decision = this->decide_parts(call);
    if (decision.admission > core::part_admission::needs_trial) {
        this->hold_back(call, decision);
        return;
    }
    call.placement_started_at = this->now();
    const bool on_canary = this->env.rollouts.split().choose_canary(
        {call.target, call.route->name, call.route->idempotent}, this->random,
        call.placement_started_at);
    this->place_in_pool(call, on_canary ? core::canary_pool_of(call.target)
                                        : core::target_name{call.target});
}

void call_handler::place_in_pool(open_call& call, core::target_name&& pool)
{
    call.pool = std::move(pool);
    const http::inbound_exchange exchange = call.exchange;
    const placement_number number = this->env.placement.place(
        this->make_placement_request(call),
        [this, exchange](placement_number placement, const core::placement_response& response) {
            this->on_placement_response(exchange, placement, response);
        });
    // The response may have arrived inside the call to `place` and may have ended the request.
    open_call* const placed_call = this->find(exchange);
    if (placed_call != nullptr && this->env.placement.is_waiting(number))
        placed_call->waiting_placement = number;
}

void call_handler::on_placement_response(http::inbound_exchange exchange, placement_number number,
                                         const core::placement_response& response)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr) {
        this->env.placement.withdraw(number);
        return;
    }
    call->waiting_placement = 0;
    if (const auto* denial = std::get_if<core::placement_denial>(&response)) {
        this->on_denied(*call, *denial);
        return;
    }
    this->on_granted(*call, number, std::get<core::placement_grant>(response));
}

void call_handler::on_granted(open_call& call, placement_number number,
                              const core::placement_grant& grant)
{
    const core::announced_upstream* upstream = this->env.find_upstream(grant.upstream);
    const bool is_serving = upstream != nullptr && !upstream->leaving;
    const bool is_paused = upstream != nullptr && this->is_paused(*upstream, this->now());
    const bool is_drained = upstream != nullptr && this->env.is_drained(upstream->failure_domain);
    if (is_serving && !is_paused && !is_drained &&
        this->env.rollouts.split().may_send(*upstream, this->now())) {
        if (!call.active_dispatch && this->is_too_late(call)) {
            this->env.placement.withdraw(number);
            this->refuse_for_shutdown(call);
            return;
        }
        if (!this->may_send(call, number, grant))
            return;
        if (call.active_dispatch && !this->take_from_silent(call)) {
            this->env.placement.withdraw(number);
            return;
        }
        call.placement = number;
        call.uncached_tokens = grant.uncached_tokens;
        call.ahead_tokens = grant.ahead_tokens;
        call.left_domain = grant.left_domain;
        this->send_to_upstream(call, *upstream);
        return;
    }
    // The owner does not know yet that the upstream was removed or is leaving, that it pauses for
    // this node, that its failure domain is drained, or that its version gets no more requests.
    // There may be many upstreams of that domain or version, each granted once.
    this->env.placement.withdraw(number);
    call.avoid.push_back(grant.upstream);
    if (is_serving)
        this->env.metrics.count("withheld_grants", "target", call.target.value);
    else if (++call.stale_grants > max_stale_grants) {
        this->on_unplaced(call, "no upstream", retry_after_refusal);
        return;
    }
    this->place(call);
}

void call_handler::on_denied(open_call& call, const core::placement_denial& denial)
{
    const bool no_upstream = denial.reason == core::denial_reason::no_upstream;
    const bool has_other_version = no_upstream || !this->env.rollouts.moves_all(call.target);
    if (call.pool != call.target && has_other_version) {
        this->env.metrics.count("canary_denials", "target", call.target.value);
        this->place_in_pool(call, core::target_name{call.target});
        return;
    }
    const std::optional<duration> pause =
        no_upstream ? this->retry_after_pause(call.target) : std::nullopt;
    const std::string_view reason = pause         ? "all upstreams pause"
                                    : no_upstream ? "no upstream"
                                                  : "no place in time";
    const duration retry_after =
        no_upstream ? denial.retry_after : this->retry_after_denial(call, denial);
    this->on_unplaced(call, reason, pause.value_or(retry_after));
}

void call_handler::on_unplaced(open_call& call, std::string_view reason, duration retry_after)
{
    if (call.active_dispatch) {
        this->arm_idle_timer(call);
        return;
    }
    this->end_without_response(call, {reason, retry_after, status_bad_gateway,
                                      "failed, and no other upstream has a place", reason});
}

void call_handler::send_to_upstream(open_call& call, const core::announced_upstream& upstream)
{
    const time_point at = this->now();
    const http::inbound_exchange exchange = call.exchange;
    adapter::dispatch_facts facts;
    facts.upstream = upstream.name;
    if (call.team != nullptr)
        facts.team = call.team->name;
    facts.time_left = call.deadline - at;
    if (call.history.response_started)
        facts.resume_after = call.last_event_number;
    http::outbound_request request;
    request.to = {upstream.address.address, upstream.address.port};
    request.identity = upstream.name.value;
    request.method = call.request.head.method;
    request.target = call.request.head.target;
    request.headers = adapter::make_upstream_headers(call.request.head, facts);
    request.body = call.request.body;
    request.connect_time = connect_timeout;
    http::outbound_handlers handlers;
    handlers.head = [this, exchange](http::status_line_and_headers&& head) {
        this->on_response_head(exchange, std::move(head));
    };
    handlers.body = [this, exchange](std::string_view bytes) {
        this->on_response_body(exchange, bytes);
    };
    handlers.complete = [this, exchange] { this->on_response_complete(exchange); };
    handlers.failed = [this, exchange](http::outbound_failure failure) {
        this->on_dispatch_failed(exchange, failure);
    };
    call.active_dispatch.emplace();
    call.active_dispatch->upstream = upstream.name;
    call.active_dispatch->version = upstream.version;
    call.active_dispatch->upstream_started_at = upstream.started_at;
    call.active_dispatch->address = {upstream.address.address, upstream.address.port};
    call.active_dispatch->is_warming_up = at < upstream.warm_at;
    call.active_dispatch->sent_at = at;
    call.active_dispatch->repeat_spent_at = std::exchange(call.repeat_spent_at, std::nullopt);
    if (call.last_upstream.empty())
        call.first_sent_at = at;
    call.last_upstream = upstream.name;
    call.last_byte_at = at;
    daemon::write_log(log_event::request_placed,
                      {{"request", call.facts.attempt},
                       {"route", call.route->name.value},
                       {"team", call.team == nullptr ? "" : call.team->name.value},
                       {"upstream", upstream.name.value},
                       {"version", upstream.version.value},
                       {"upstream_revision", std::to_string(upstream.at.revision.value)},
                       {"attempt", std::to_string(call.history.sent + 1)},
                       {"waited_ms", to_ms_text(at - call.placement_started_at)},
                       {"age_ms", to_ms_text(at - call.arrived_at)},
                       {"uncached_tokens", std::to_string(call.uncached_tokens)},
                       {"left_domain", std::string(core::to_string(call.left_domain))},
                       {"rules", std::to_string(call.rules->rules().version)}});
    if (call.left_domain != core::departure::none)
        this->env.metrics.count("requests_left_domain", "reason",
                                core::to_string(call.left_domain));
    this->count_bytes_between_domains(call, call.request.body.size());
    this->env.metrics.observe("placement_wait", call.route->name.value,
                              at - call.placement_started_at);
    this->observe(call, core::rollout_observation::event_kind::sent);
    call.active_dispatch->exchange =
        this->env.upstreams.start(std::move(request), std::move(handlers));
    this->arm_idle_timer(call);
}

// A request that another upstream would begin anew stays with one that may go on at any time.
bool call_handler::may_replace(open_call& call)
{
    if (this->is_too_late(call))
        return false;
    call.history.time_left = call.deadline - this->now();
    return core::may_replace_silent(*call.route, call.history);
}

void call_handler::arm_idle_timer(open_call& call)
{
    this->env.event_loop.cancel(call.idle_timer);
    call.idle_timer = 0;
    if (!this->may_replace(call))
        return;
    call.idle_timer = this->env.event_loop.after(
        core::silence_timeout(*call.route),
        [this, exchange = call.exchange] { this->on_idle_timeout(exchange); });
}

void call_handler::on_idle_timeout(http::inbound_exchange exchange)
{
    open_call* const call = this->find(exchange);
    if (call == nullptr || !call->active_dispatch)
        return;
    call->idle_timer = 0;
    call->active_dispatch->silent = true;
    this->seek_replacement(*call);
}

// The silent upstream may be sound and go on at any time: it keeps the request until another one
// has a slot for it.
void call_handler::seek_replacement(open_call& call)
{
    if (!this->may_replace(call))
        return;
    const time_point at = this->now();
    const bool budget_left =
        this->env.repeats.has_left(call.target, this->env.known_node_count(), at);
    daemon::write_log(log_event::upstream_silent,
                      {{"request", call.facts.attempt},
                       {"route", call.route->name.value},
                       {"upstream", call.active_dispatch->upstream.value},
                       {"silent_ms", to_ms_text(at - call.last_byte_at)},
                       {"part_sent", to_text(call.history.response_started)},
                       {"budget_left", to_text(budget_left)}});
    if (budget_left)
        this->place(call);
    else
        this->arm_idle_timer(call);
}

void call_handler::withdraw_waiting(open_call& call)
{
    if (call.waiting_placement != 0)
        this->env.placement.withdraw(std::exchange(call.waiting_placement, 0));
}

/// Ends the active dispatch so that another upstream can take the request; returns false if the
/// request has to stay where it is.
bool call_handler::take_from_silent(open_call& call)
{
    if (!this->may_replace(call) || !this->spend_repeat(call)) {
        this->arm_idle_timer(call);
        return false;
    }
    this->give_up_dispatch(call);
    this->record_failure(call, core::dispatch_end::silent);
    this->log_failure(call, core::dispatch_end::silent, true, true);
    call.avoid.push_back(call.active_dispatch->upstream);
    call.left_silent.push_back(call.active_dispatch->upstream);
    call.active_dispatch.reset();
    return true;
}

} // namespace ragwortcove::gateway
