#include "ragwortcove/core/placement_owner.hpp"

#include "prompt_work.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// How long an entry may leave a grant unused.
static constexpr duration grant_validity = 2s;
/// How long a new owner waits for the entries' reports before it grants.
static constexpr duration takeover_wait = 100ms;
/// Maximum number of queued permit requests in one cell.
static constexpr std::size_t max_queued = 4096;
/// Requests with a greater estimated cost count as long.
static constexpr duration long_work_threshold = 4s;
/// Time between two polls of an upstream's load and cache reports.
static constexpr duration poll_period = 1s;
/// Rank of an undeclared tier: after every declared one.
static constexpr std::uint32_t unknown_rank = 1000;

owned_cell* placement_owner::open(const cell_id& id, step_context& context)
{
    const auto found = this->owned.find(id);
    if (found != this->owned.end())
        return &found->second;
    if (this->map.find(id) == nullptr)
        return nullptr;
    owned_cell& created = this->owned[id];
    created.id = id;
    created.grants_start_at = context.now + takeover_wait;
    this->sync_engines(created);
    return &created;
}

void placement_owner::sync_engines(owned_cell& cell)
{
    const core::cell* from = this->map.find(cell.id);
    std::map<upstream_name, engine_state> retained;
    if (from != nullptr) {
        for (const cell_upstream& upstream : from->upstreams) {
            auto known = cell.engines.extract(upstream.name);
            if (known.empty()) {
                retained.emplace(upstream.name, engine_state{upstream});
                continue;
            }
            known.mapped().info = upstream;
            known.mapped().limit.set_max(upstream.spec.slots);
            retained.insert(std::move(known));
        }
    }
    cell.engines = std::move(retained);
}

static duration mean_between_tokens(const owned_cell& cell)
{
    duration total{0};
    for (const auto& [name, engine] : cell.engines)
        total += engine.rates.between_tokens();
    return cell.engines.empty() ? duration{0}
                                : total / static_cast<std::int64_t>(cell.engines.size());
}

static duration mean_prefill_time(const owned_cell& cell, std::uint32_t tokens)
{
    duration total{0};
    for (const auto& [name, engine] : cell.engines)
        total += engine.rates.prefill_time(tokens);
    return cell.engines.empty() ? duration{0}
                                : total / static_cast<std::int64_t>(cell.engines.size());
}

queued_request placement_owner::make_queued(const owned_cell& cell, const node_name& entry,
                                            const permit_request& message, time_point now) const
{
    const tier_spec* tier = this->config.find_tier(message.tier);
    const team_spec* team = this->config.find_team(message.team);
    const duration prefill = mean_prefill_time(cell, message.prefill_tokens);
    queued_request waiting;
    waiting.received = message;
    waiting.entry = entry;
    waiting.rank = tier == nullptr ? unknown_rank : tier->rank;
    if (!this->has_tiers)
        waiting.rank = 0;
    waiting.weight = team == nullptr ? 1.0 : team->weight;
    waiting.cost = prefill + mean_between_tokens(cell) * std::int64_t{message.output_tokens} + 1ms;
    waiting.is_long = waiting.cost > long_work_threshold || prefill > long_prefill_threshold;
    waiting.arrived_at = now;
    const duration queue_limit = tier == nullptr ? message.time_left : tier->queue_limit;
    waiting.expires_at = now + std::min(queue_limit, message.time_left);
    return waiting;
}

// Long requests cannot use all of an upstream, so they are not counted in the wait of short ones.
duration placement_owner::estimated_wait(const owned_cell& cell, std::uint32_t rank,
                                         bool is_long) const
{
    std::uint32_t total_limit = 0;
    for (const auto& [name, engine] : cell.engines)
        total_limit += engine.health.limit(engine.limit.value());
    if (total_limit == 0)
        return duration{0};
    return cell.queue.queued_cost(rank, !is_long) / std::int64_t{total_limit};
}

void placement_owner::deny(const node_name& entry, const permit_request& request,
                           refusal_reason reason, duration retry_after, step_context& context)
{
    context.log(decision_kind::denied, request.request, to_string(request.cell),
                std::string(to_string(reason)));
    context.send(entry, permit_denial{request.request, request.cell, reason, retry_after});
}

static bool any_upstream_serves(const owned_cell& cell, const route_spec& route,
                                const version_name& version)
{
    return std::any_of(cell.engines.begin(), cell.engines.end(), [&](const auto& entry) {
        return serves(entry.second.info, route, version);
    });
}

static bool holds_permit(const owned_cell& cell, const request_id& request)
{
    return std::any_of(cell.engines.begin(), cell.engines.end(),
                       [&](const auto& entry) { return entry.second.held.contains(request); });
}

void placement_owner::submit(const node_name& entry, const permit_request& message,
                             step_context& context)
{
    owned_cell* cell = this->open(message.cell, context);
    const route_spec* route = this->config.find_route(message.route);
    if (cell == nullptr || route == nullptr ||
        !any_upstream_serves(*cell, *route, message.version)) {
        this->deny(entry, message, refusal_reason::no_upstream, 1s, context);
        return;
    }
    // An entry without a response repeats its request, which must be queued and granted only once.
    if (cell->queue.contains(message.request) || holds_permit(*cell, message.request))
        return;
    queued_request waiting = this->make_queued(*cell, entry, message, context.now);
    const bool has_free_slot = this->choose(*cell, waiting) != nullptr;
    const duration wait =
        has_free_slot ? duration{0} : this->estimated_wait(*cell, waiting.rank, waiting.is_long);
    if (waiting.cost > message.time_left) {
        this->deny(entry, message, refusal_reason::deadline_unreachable, 0s, context);
        return;
    }
    if (context.now + wait > waiting.expires_at || wait + waiting.cost > message.time_left) {
        this->deny(entry, message, refusal_reason::overloaded, wait, context);
        return;
    }
    if (cell->queue.size() >= max_queued) {
        std::optional<queued_request> displaced = cell->queue.take_lowest_above(waiting.rank);
        if (!displaced) {
            this->deny(entry, message, refusal_reason::overloaded, wait, context);
            return;
        }
        this->deny(displaced->entry, displaced->received, refusal_reason::displaced, wait, context);
    }
    cell->queue.push(std::move(waiting));
    this->grant_waiting(*cell, context);
    if (cell->queue.contains(message.request))
        context.log(decision_kind::queued, message.request, to_string(cell->id));
}

void placement_owner::grant(owned_cell& cell, engine_state& engine, const queued_request& queued,
                            step_context& context)
{
    const std::uint32_t cached = engine.cache.cached_tokens(queued.received.prefix);
    held_permit permit;
    permit.entry = queued.entry;
    permit.rank = queued.rank;
    permit.is_long = queued.is_long;
    permit.uncached_tokens = uncached_tokens(engine, queued.received);
    permit.output_tokens = queued.received.output_tokens;
    permit.granted_at = context.now;
    engine.cache.use(queued.received.prefix);
    engine.add_permit(queued.received.request, std::move(permit));
    const grant_id number{this->next_grant++};
    context.log(decision_kind::granted, queued.received.request, engine.info.name.value,
                to_string(cell.id));
    context.send(queued.entry, permit_grant{queued.received.request, cell.id, number,
                                            engine.info.name, grant_validity, cached});
}

void placement_owner::grant_waiting(owned_cell& cell, step_context& context)
{
    if (context.now < cell.grants_start_at)
        return;
    engine_state* chosen = nullptr;
    const auto fits = [&](const queued_request& queued) {
        chosen = this->choose(cell, queued);
        return chosen != nullptr;
    };
    while (std::optional<queued_request> next = cell.queue.take_first(fits))
        this->grant(cell, *chosen, *next, context);
}

void placement_owner::withdraw(const permit_withdrawal& message, step_context& context)
{
    const auto found = this->owned.find(message.cell);
    if (found == this->owned.end())
        return;
    owned_cell& cell = found->second;
    if (cell.queue.erase(message.request))
        return;
    for (auto& [name, engine] : cell.engines)
        engine.held.erase(message.request);
    this->grant_waiting(cell, context);
}

static void log_health(const engine_state& engine, upstream_health::change change,
                       step_context& context)
{
    switch (change) {
    case upstream_health::change::none:
        return;
    case upstream_health::change::ejected:
        context.log(decision_kind::upstream_ejected, {}, engine.info.name.value);
        return;
    case upstream_health::change::restored:
        context.log(decision_kind::upstream_restored, {}, engine.info.name.value);
        return;
    }
}

static void record_outcome(engine_state& engine, const permit_release& release,
                           std::uint32_t in_flight, step_context& context)
{
    switch (release.outcome) {
    case attempt_outcome::completed: {
        engine.rates.update(release);
        // An engine's first token includes the prefill, so it does not show the time of one token.
        const bool is_engine = engine.info.spec.kind == upstream_kind::engine;
        const duration unit = is_engine ? release.between_tokens : release.first_token_after;
        engine.limit.sample(unit, in_flight);
        log_health(engine, engine.health.succeeded(), context);
        return;
    }
    case attempt_outcome::failed:
    case attempt_outcome::silent:
        engine.limit.failed();
        log_health(engine, engine.health.failed(context.now), context);
        // An upstream with consecutive failures has probably restarted, which empties its cache.
        if (engine.health.ejected())
            engine.cache.clear();
        return;
    case attempt_outcome::cancelled:
    case attempt_outcome::unused:
        return;
    }
}

void placement_owner::started(const permit_started& message, step_context& context)
{
    const auto found = this->owned.find(message.cell);
    if (found == this->owned.end())
        return;
    const auto engine = found->second.engines.find(message.upstream);
    if (engine == found->second.engines.end())
        return;
    engine->second.started(message.request, context.now);
    this->grant_waiting(found->second, context);
}

void placement_owner::release(const permit_release& message, step_context& context)
{
    const auto found = this->owned.find(message.cell);
    if (found == this->owned.end())
        return;
    owned_cell& cell = found->second;
    const auto engine = cell.engines.find(message.upstream);
    if (engine != cell.engines.end()) {
        const auto in_flight = static_cast<std::uint32_t>(engine->second.held.size());
        engine->second.held.erase(message.request);
        record_outcome(engine->second, message, in_flight, context);
    }
    this->grant_waiting(cell, context);
}

void placement_owner::report(const node_name& entry, const permit_report& message,
                             step_context& context)
{
    owned_cell* cell = this->open(message.cell, context);
    if (cell == nullptr)
        return;
    const auto engine = cell->engines.find(message.upstream);
    if (engine == cell->engines.end())
        return;
    // A request that is queued here, but reported as granted, was granted by an earlier owner.
    (void)cell->queue.erase(message.request);
    const tier_spec* tier = this->config.find_tier(message.tier);
    const bool is_long =
        engine->second.rates.between_tokens() * std::int64_t{message.output_tokens} >
        long_work_threshold;
    held_permit permit;
    permit.entry = entry;
    permit.rank = tier == nullptr ? unknown_rank : tier->rank;
    permit.is_long = is_long;
    permit.output_tokens = message.output_tokens;
    permit.granted_at = context.now;
    engine->second.add_permit(message.request, std::move(permit));
}

void placement_owner::on_entry_ended(incarnation run, step_context& context)
{
    const auto is_from_entry = [run](const request_id& request) { return request.entry == run; };
    for (auto& [id, cell] : this->owned) {
        for (auto& [name, engine] : cell.engines)
            std::erase_if(engine.held, [&](const auto& held) { return is_from_entry(held.first); });
        std::vector<queued_request> waiting = cell.queue.take_all();
        for (queued_request& queued : waiting) {
            if (!is_from_entry(queued.received.request))
                cell.queue.push(std::move(queued));
        }
        this->grant_waiting(cell, context);
    }
}

void placement_owner::on_load_report(const load_reported& message)
{
    // The counts of granted permits are exact while load reports are delayed, so reports are not
    // used.
    (void)message;
}

void placement_owner::on_cache_report(const cache_reported& message)
{
    for (auto& [id, cell] : this->owned) {
        const auto found = cell.engines.find(message.upstream);
        if (found == cell.engines.end())
            continue;
        engine_state& engine = found->second;
        // After a gap in the sequence some changes are unknown; the estimate is kept, since it is
        // not known which blocks are no longer cached.
        engine.cache_events_seen = std::max(engine.cache_events_seen, message.sequence);
        for (const prefix_hash& block : message.removed)
            engine.cache.remove(block);
        for (const prefix_hash& block : message.added)
            engine.cache.add(block);
    }
}

void placement_owner::on_probe_result(const probe_answered& message, step_context& context)
{
    for (auto& [id, cell] : this->owned) {
        const auto found = cell.engines.find(message.upstream);
        if (found == cell.engines.end())
            continue;
        log_health(found->second, found->second.health.probed(message.healthy, context.now),
                   context);
        this->grant_waiting(cell, context);
    }
}

void placement_owner::refresh(step_context& context)
{
    for (auto& [id, cell] : this->owned) {
        this->sync_engines(cell);
        for (queued_request& queued : cell.queue.take_all()) {
            const route_spec* route = this->config.find_route(queued.received.route);
            if (route != nullptr && any_upstream_serves(cell, *route, queued.received.version)) {
                cell.queue.push(std::move(queued));
                continue;
            }
            this->deny(queued.entry, queued.received, refusal_reason::no_upstream, 1s, context);
        }
        this->grant_waiting(cell, context);
    }
}

void placement_owner::retain_cells(std::span<const cell_id> retained, step_context& context)
{
    for (auto at = this->owned.begin(); at != this->owned.end();) {
        if (std::find(retained.begin(), retained.end(), at->first) != retained.end()) {
            ++at;
            continue;
        }
        // The entries learn of the changed membership, too, and send their requests to the new
        // owner; the denial makes sure that they do.
        for (const queued_request& queued : at->second.queue.take_all())
            this->deny(queued.entry, queued.received, refusal_reason::no_upstream, 0s, context);
        at = this->owned.erase(at);
    }
}

void placement_owner::poll(owned_cell& cell, step_context& context)
{
    for (auto& [name, engine] : cell.engines) {
        if (engine.info.spec.kind != upstream_kind::engine)
            continue;
        context.effects.emplace_back(
            poll_upstream{name, engine.info.spec.address, engine.cache_events_seen});
    }
}

void placement_owner::tick(step_context& context)
{
    this->last_tick_at = context.now;
    const bool poll_due = this->next_poll_at <= context.now;
    if (poll_due)
        this->next_poll_at = context.now + poll_period;
    for (auto& [id, cell] : this->owned) {
        for (const queued_request& expired : cell.queue.take_expired(context.now))
            this->deny(expired.entry, expired.received, refusal_reason::overloaded,
                       this->estimated_wait(cell, expired.rank, expired.is_long), context);
        for (auto& [name, engine] : cell.engines) {
            if (engine.health.take_probe(context.now))
                context.effects.emplace_back(probe_upstream{name, engine.info.spec.address});
        }
        if (poll_due)
            this->poll(cell, context);
        this->grant_waiting(cell, context);
    }
}

time_point placement_owner::next_wakeup() const
{
    time_point next = time_point::max();
    for (const auto& [id, cell] : this->owned) {
        next = std::min({next, cell.queue.next_expiry(), this->next_poll_at});
        if (!cell.queue.empty() && cell.grants_start_at > this->last_tick_at)
            next = std::min(next, cell.grants_start_at);
        for (const auto& [name, engine] : cell.engines)
            next = std::min(next, engine.health.next_probe());
    }
    return next;
}

std::vector<cell_digest> placement_owner::digests() const
{
    std::vector<cell_digest> created;
    for (const auto& [id, cell] : this->owned) {
        cell_digest digest;
        digest.cell = id;
        digest.queued = static_cast<std::uint32_t>(cell.queue.size());
        digest.lowest_rank_queued = cell.queue.lowest_rank();
        for (const auto& [name, engine] : cell.engines)
            digest.free_permits += engine.free_permits();
        const duration wait = this->estimated_wait(cell, unknown_rank, true);
        digest.queued_tokens =
            static_cast<std::uint32_t>(wait / std::max(duration{1000}, mean_between_tokens(cell)));
        created.push_back(digest);
    }
    return created;
}

} // namespace ragwortcove::core
