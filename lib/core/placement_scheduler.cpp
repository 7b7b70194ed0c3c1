#include "ragwortcove/core/placement_scheduler.hpp"

#include "placement_limits.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Tenths of an engine's cache in which prompt parts are expected to stay.
static constexpr std::uint64_t usable_cache_tenths = 8;
/// How long a new owner waits for the entries' reports before it grants.
static constexpr duration takeover_wait = 60ms;
/// A queued request that its entry has not repeated for this long is dropped.
static constexpr duration refresh_timeout = 1500ms;
/// A grant younger than this may be missing from a report, since it may not have reached the entry.
static constexpr duration report_grace = 600ms;
/// A request that its entry has not reported for this long has ended.
static constexpr duration report_timeout = 3s;
/// How long ended requests are remembered.
static constexpr duration ended_retention = 3s;
/// Shortest and longest time after which a denied request may be sent again.
static constexpr duration min_retry = 200ms;
static constexpr duration max_retry = 3s;

void placement_scheduler::set_upstreams(std::span<const announced_upstream> all,
                                        const rule_index* rules)
{
    std::set<upstream_name> present;
    this->weights = rules == nullptr ? team_weights{} : make_team_weights(rules->rules());
    for (auto& [key, each] : this->cells)
        each.members.clear();
    this->cell_counts = count_cells(all);
    for (const announced_upstream& upstream : all) {
        present.insert(upstream.name);
        upstream_state& state = this->upstreams[upstream.name];
        state.info = upstream;
        state.cell = placement_cell_of(upstream.name, this->cell_counts.at(pool_of(upstream)));
        const target_rule* rule = rules == nullptr ? nullptr : rules->find_target(upstream.target);
        state.is_engine = rule != nullptr && rule->is_engine;
        const bool rule_states_slots = rule != nullptr && rule->slots > 0;
        state.slots = std::max(1U, rule_states_slots ? rule->slots : upstream.slots);
        state.cache_tokens = rule == nullptr ? 0 : rule->cache_tokens;
        state.event_tokens = rule == nullptr ? 1 : rule->event_tokens;
        state.warmup_rate = rule == nullptr ? 0.0 : rule->warmup_rate;
        state.warmup_time = rule == nullptr ? duration{0} : rule->warmup_time;
        state.memory.set_limits(state.is_engine ? state.cache_tokens : 0, state.slots);
        cell& own_cell = this->cells[{pool_of(upstream), state.cell}];
        own_cell.members.push_back(&state);
        own_cell.is_canary = pool_of(upstream) != upstream.target;
    }
    std::erase_if(this->upstreams, [&](const auto& each) { return !present.contains(each.first); });
}

// An entry that knows more or fewer upstreams may assume another number of cells than this node.
placement_scheduler::cell_key placement_scheduler::key_of(const placement_request& request) const
{
    const auto found = this->cell_counts.find(request.pool);
    return {request.pool, found == this->cell_counts.end() ? 0 : request.cell % found->second};
}

void placement_scheduler::forget(const upstream_name& name)
{
    const auto found = this->upstreams.find(name);
    if (found == this->upstreams.end())
        return;
    upstream_state& state = found->second;
    state.cache.clear();
    state.cached_tokens = 0;
    state.successes = 0.0;
    state.failures = 0.0;
    state.ejected_until = time_point{};
    state.ejections = 0;
}

// A part counts as cached only when all parts before it are cached.
std::uint32_t placement_scheduler::count_uncached_tokens(const upstream_state& state,
                                                         const placement_request& request) const
{
    std::uint32_t retained = 0;
    for (const prompt_part& part : request.parts) {
        const auto found = state.cache.find(part.id);
        if (found == state.cache.end())
            break;
        retained += part.tokens;
    }
    return request.prompt_tokens - std::min(retained, request.prompt_tokens);
}

void placement_scheduler::update_cache(upstream_state& state, const placement_request& request)
{
    if (state.cache_tokens == 0)
        return;
    for (const prompt_part& part : request.parts) {
        cached_part& known = state.cache[part.id];
        state.cached_tokens += part.tokens - known.tokens;
        known.tokens = part.tokens;
        known.last_used = ++this->use_counter;
    }
    // Running requests use a part of the memory, too.
    const std::uint64_t capacity = std::uint64_t{state.cache_tokens} * usable_cache_tenths / 10;
    while (state.cached_tokens > capacity && !state.cache.empty()) {
        const auto oldest = std::min_element(
            state.cache.begin(), state.cache.end(), [](const auto& left, const auto& right) {
                return left.second.last_used < right.second.last_used;
            });
        state.cached_tokens -= oldest->second.tokens;
        state.cache.erase(oldest);
    }
}

duration placement_scheduler::estimated_wait(const cell& own_cell, const queued_request& waiting,
                                             time_point now) const
{
    if (own_cell.grant_rate <= 0.0)
        return 0s;
    const auto ahead = static_cast<double>(this->count_ahead(own_cell, waiting, now));
    return from_us(1e6 * ahead / own_cell.grant_rate);
}

static duration retry_hint(duration wait)
{
    return std::clamp(wait, min_retry, max_retry);
}

void placement_scheduler::submit(const placement_request& message, time_point now, responses& out)
{
    // An entry without a response repeats its request, which must be queued and granted only once.
    const auto granted = this->in_flight_by_id.find(message.id);
    if (granted != this->in_flight_by_id.end()) {
        out.emplace_back(placement_grant{message.id, granted->second.upstream,
                                         granted->second.uncached_tokens,
                                         this->load_for(message, now), granted->second.ahead_tokens,
                                         granted->second.left_domain});
        return;
    }
    cell& own_cell = this->cells[this->key_of(message)];
    for (const auto& each : own_cell.queue) {
        if (each->request.id != message.id)
            continue;
        each->refreshed_at = now;
        return;
    }
    // After a change of the number of cells, an entry sends a request that waits to another cell.
    this->remove_queued(message.id);
    const bool any_allowed = std::any_of(
        own_cell.members.begin(), own_cell.members.end(), [&](const upstream_state* each) {
            return !each->info.leaving && is_allowed(*each, message);
        });
    if (!any_allowed) {
        out.emplace_back(placement_denial{message.id, denial_reason::no_upstream, 1s,
                                          this->load_of(own_cell, message.rank, now)});
        return;
    }
    if (!own_cell.in_use) {
        own_cell.in_use = true;
        own_cell.grants_start_at = now + takeover_wait;
    }
    own_cell.service.record_request(message.rank, now);
    auto created = std::make_unique<queued_request>();
    created->request = message;
    created->arrived_at = now;
    created->latency_deadline = now + message.latency_budget;
    created->expires_at = now + message.max_wait;
    created->refreshed_at = now;
    this->assign_account(own_cell, *created, now);
    own_cell.domains.record_request(message.failure_domain, now);
    if (this->admits_by_deadline(own_cell)) {
        this->record_arrival(own_cell, *created, now);
    }
    else {
        const duration wait = this->estimated_wait(own_cell, *created, now);
        if (wait > message.max_wait && !own_cell.service.is_starved(message.rank)) {
            this->deny(own_cell, *created, denial_reason::overloaded, now, out);
            return;
        }
    }
    own_cell.queue.push_back(std::move(created));
    this->grant_waiting(own_cell, now, out);
}

// Orders by rank. Within a rank, requests that can still meet their latency objective precede those
// that are late already. Of the former, the newest is first: under overload, serving the oldest
// first would make every one of them miss its objective narrowly. Late requests are served oldest
// first.
static bool is_served_before(std::uint32_t rank, time_point deadline, std::uint32_t other_rank,
                             time_point other_deadline, time_point now)
{
    if (rank != other_rank)
        return rank < other_rank;
    const bool late = deadline <= now;
    const bool other_late = other_deadline <= now;
    if (late != other_late)
        return other_late;
    return late ? deadline < other_deadline : deadline > other_deadline;
}

void placement_scheduler::grant_in_order(cell& own_cell, time_point now, responses& out)
{
    std::vector<candidate> candidates = this->list_candidates(own_cell, now);
    const auto has_free_slot = [](const candidate& each) { return each.has_free_slot; };
    if (std::none_of(candidates.begin(), candidates.end(), has_free_slot))
        return;
    for (const auto& each : own_cell.queue) {
        each->priority =
            own_cell.service.is_starved(each->request.rank) ? 0 : each->request.rank + 1;
        each->is_late = each->latency_deadline <= now;
    }
    std::stable_sort(own_cell.queue.begin(), own_cell.queue.end(),
                     [now](const auto& left, const auto& right) {
                         return is_served_before(left->priority, left->latency_deadline,
                                                 right->priority, right->latency_deadline, now);
                     });
    this->order_by_shares(own_cell, now);
    std::uint32_t rank = 0;
    failed_placements failed;
    for (auto at = own_cell.queue.begin(); at != own_cell.queue.end();) {
        const queued_request& waiting = **at;
        if (waiting.priority != rank) {
            rank = waiting.priority;
            failed.clear();
        }
        const failure_domain_name& domain = this->domain_of_queue(waiting);
        upstream_state* chosen =
            failed.may_try(domain) ? this->choose(candidates, waiting, now) : nullptr;
        if (chosen == nullptr) {
            failed.add(domain);
            ++at;
            continue;
        }
        this->grant(own_cell, *chosen, waiting, now, out);
        at = own_cell.queue.erase(at);
        for (candidate& each : candidates) {
            if (each.state == chosen)
                each.has_free_slot = this->has_room(*chosen, this->max_placed(*chosen), now);
        }
        if (std::none_of(candidates.begin(), candidates.end(), has_free_slot))
            return;
    }
}

void placement_scheduler::grant(cell& own_cell, upstream_state& state,
                                const queued_request& waiting, time_point now, responses& out)
{
    const placement_request& request = waiting.request;
    in_flight_request created;
    created.rank = request.rank;
    created.was_late = state.is_engine && waiting.is_late;
    this->admission_numbers.late_placements += created.was_late ? 1 : 0;
    created.is_own = true;
    created.upstream = state.info.name;
    created.uncached_tokens = state.is_engine ? this->count_uncached_tokens(state, request) : 0;
    created.granted_at = now;
    created.reported_at = now;
    created.ahead_tokens = state.backlog_tokens;
    if (state.is_engine)
        own_cell.usual.record(work_on(state, request.output_tokens, created.uncached_tokens));
    state.backlog_tokens += created.uncached_tokens;
    created.memory_tokens = tokens_in_memory(request.prompt_tokens, request.output_tokens);
    state.memory.add(created.memory_tokens);
    ++state.in_flight;
    this->warmup.record_grant(created.upstream, now);
    this->update_cache(state, request);
    const bool leaves = request.failure_domain != state.info.failure_domain;
    created.left_domain = leaves ? state.chosen_as : departure::none;
    own_cell.domains.record_grant(request.failure_domain,
                                  {request.rank, waiting.latency_deadline <= now}, now);
    own_cell.service.record_placement(request.rank, now);
    if (waiting.account != nullptr) {
        const bool is_over = waiting.account->is_over_share;
        ++(is_over ? this->over_share : this->within_share).placed;
        own_cell.shares.charge(*waiting.account, waiting.slot_time, now);
    }
    const double elapsed_us = to_us(now - own_cell.rate_updated_at);
    const double retained = std::exp(-elapsed_us / to_us(rate_window));
    own_cell.grant_rate = own_cell.grant_rate * retained + 1e6 / to_us(rate_window);
    own_cell.rate_updated_at = now;
    out.emplace_back(placement_grant{request.id, created.upstream, created.uncached_tokens,
                                     this->load_of(own_cell, request.rank, now),
                                     created.ahead_tokens, created.left_domain});
    this->in_flight_by_id.emplace(request.id, std::move(created));
}

void placement_scheduler::remove_queued(const placement_id& id)
{
    for (auto& [key, own_cell] : this->cells)
        std::erase_if(own_cell.queue, [&](const auto& each) { return each->request.id == id; });
}

void placement_scheduler::withdraw(const placement_id& id, time_point now, responses& out)
{
    this->remove_queued(id);
    this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

void placement_scheduler::started(const placement_id& id, duration after)
{
    const auto found = this->in_flight_by_id.find(id);
    if (found == this->in_flight_by_id.end() || found->second.started)
        return;
    in_flight_request& out = found->second;
    out.started = true;
    const auto state = this->upstreams.find(out.upstream);
    if (state == this->upstreams.end())
        return;
    state->second.backlog_tokens -=
        std::min<std::uint64_t>(state->second.backlog_tokens, out.uncached_tokens);
    update_start_estimates(state->second, out.ahead_tokens + out.uncached_tokens, after);
}

void placement_scheduler::remove_in_flight(const placement_id& id)
{
    const auto found = this->in_flight_by_id.find(id);
    if (found == this->in_flight_by_id.end())
        return;
    const in_flight_request ended_request = found->second;
    this->in_flight_by_id.erase(found);
    const auto state = this->upstreams.find(ended_request.upstream);
    if (state == this->upstreams.end())
        return;
    if (state->second.in_flight > 0)
        --state->second.in_flight;
    state->second.memory.remove(ended_request.memory_tokens);
    if (!ended_request.started)
        state->second.backlog_tokens -=
            std::min<std::uint64_t>(state->second.backlog_tokens, ended_request.uncached_tokens);
}

void placement_scheduler::release(const placement_release& message, time_point now, responses& out)
{
    this->recently_ended[message.id] = now + ended_retention;
    const auto found = this->in_flight_by_id.find(message.id);
    if (found == this->in_flight_by_id.end())
        return;
    const in_flight_request ended_request = found->second;
    this->remove_in_flight(message.id);
    const auto state = this->upstreams.find(ended_request.upstream);
    if (state == this->upstreams.end())
        return;
    cell& own_cell = this->cells[{pool_of(state->second.info), state->second.cell}];
    update_end_estimates(state->second, message);
    own_cell.domains.record_release(state->second.info.failure_domain, now);
    this->update_health(state->second, own_cell, message.outcome, now);
    this->record_slot_time(own_cell, ended_request, message.outcome, now);
    this->grant_waiting(own_cell, now, out);
}

void placement_scheduler::reconcile(const node_name& entry, incarnation run,
                                    std::span<const placement_report> all, time_point now,
                                    responses& out)
{
    std::set<placement_id> reported_ids;
    for (const placement_report& each : all) {
        reported_ids.insert(each.id);
        const auto known = this->in_flight_by_id.find(each.id);
        if (known != this->in_flight_by_id.end())
            known->second.reported_at = now;
        if (this->recently_ended.contains(each.id) || known != this->in_flight_by_id.end())
            continue;
        const auto state = this->upstreams.find(each.upstream);
        if (state == this->upstreams.end())
            continue;
        engine_memory& memory = state->second.memory;
        in_flight_request created;
        created.upstream = each.upstream;
        created.uncached_tokens = each.uncached_tokens;
        created.started = each.started;
        created.granted_at = now;
        created.reported_at = now;
        created.memory_tokens = memory.assumed_tokens(each.uncached_tokens);
        memory.add(created.memory_tokens);
        ++state->second.in_flight;
        if (!each.started)
            state->second.backlog_tokens += each.uncached_tokens;
        this->in_flight_by_id.emplace(each.id, std::move(created));
    }
    std::vector<placement_id> ended;
    for (const auto& [id, each] : this->in_flight_by_id) {
        const bool is_from_entry = id.entry == entry && id.run == run;
        if (is_from_entry && !reported_ids.contains(id) && now - each.granted_at > report_grace)
            ended.push_back(id);
    }
    for (const placement_id& id : ended)
        this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

void placement_scheduler::on_entry_ended(incarnation run, time_point now, responses& out)
{
    for (auto& [key, own_cell] : this->cells)
        std::erase_if(own_cell.queue,
                      [&](const auto& each) { return each->request.id.run == run; });
    std::vector<placement_id> ended;
    for (const auto& [id, each] : this->in_flight_by_id) {
        if (id.run == run)
            ended.push_back(id);
    }
    for (const placement_id& id : ended)
        this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

void placement_scheduler::deny(cell& own_cell, const queued_request& waiting, denial_reason reason,
                               time_point now, responses& out)
{
    if (waiting.account != nullptr) {
        const bool is_over = waiting.account->is_over_share;
        ++(is_over ? this->over_share : this->within_share).denied;
    }
    duration retry_after{0};
    if (this->admits_by_deadline(own_cell)) {
        own_cell.admission.record_denial(now);
        retry_after = own_cell.admission.retry_after(now);
    }
    else {
        retry_after = retry_hint(this->estimated_wait(own_cell, waiting, now));
    }
    out.emplace_back(placement_denial{waiting.request.id, reason, retry_after,
                                      this->load_of(own_cell, waiting.request.rank, now)});
}

void placement_scheduler::expire(cell& own_cell, time_point now, responses& out)
{
    const bool has_vanished = own_cell.is_canary && own_cell.members.empty();
    for (auto at = own_cell.queue.begin(); at != own_cell.queue.end();) {
        const queued_request& waiting = **at;
        const bool abandoned = now - waiting.refreshed_at > refresh_timeout;
        if (!abandoned && !has_vanished && waiting.expires_at > now) {
            ++at;
            continue;
        }
        const denial_reason reason =
            has_vanished ? denial_reason::no_upstream : denial_reason::overloaded;
        if (!abandoned)
            this->deny(own_cell, waiting, reason, now, out);
        at = own_cell.queue.erase(at);
    }
}

void placement_scheduler::tick(time_point now, responses& out)
{
    this->warmup.set_fleet_share(this->fleet_share, now);
    for (auto& [key, own_cell] : this->cells) {
        this->expire(own_cell, now, out);
        this->grant_waiting(own_cell, now, out);
        // Queued requests refer to their accounts.
        if (own_cell.queue.empty())
            own_cell.shares.forget_idle(now);
    }
    std::erase_if(this->recently_ended, [now](const auto& each) { return each.second <= now; });
    std::vector<placement_id> unreported;
    for (const auto& [id, each] : this->in_flight_by_id) {
        if (now - each.reported_at > report_timeout)
            unreported.push_back(id);
    }
    for (const placement_id& id : unreported)
        this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

std::size_t placement_scheduler::waiting() const
{
    std::size_t total = 0;
    for (const auto& [key, own_cell] : this->cells)
        total += own_cell.queue.size();
    return total;
}

std::vector<upstream_view> placement_scheduler::views() const
{
    std::vector<upstream_view> created;
    for (const auto& [name, state] : this->upstreams) {
        upstream_view view;
        view.name = name;
        view.in_flight = state.in_flight;
        view.slots = state.slots;
        view.ejected = state.ejected_until > time_point{} && state.ejections > 0;
        view.between_events = from_us(state.event_us);
        view.prefill_us_per_token = state.prefill_us_per_token;
        view.first_event_us = state.first_event_us;
        created.push_back(view);
    }
    return created;
}

} // namespace ragwortcove::core
