#include "ragwortcove/core/placement_owner.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// How long a grant may lie unused at the entry.
static constexpr duration grant_validity = 2s;
/// How long a new owner waits for the entries' reports before it grants.
static constexpr duration takeover_wait = 100ms;
/// Permit requests that wait in one cell, at most.
static constexpr std::size_t most_waiting = 4096;
/// Work estimated to take longer counts as long.
static constexpr duration long_work = 4s;
/// Prompts that take longer to compute hold up others and count as long.
static constexpr duration long_prefill = 400ms;
/// Longest wait for an engine that holds a prompt's prefix before another one is used.
static constexpr duration longest_warm_wait = 300ms;
/// Share of an upstream's limit that long work may take.
static constexpr double long_share = 0.75;
/// Time between two polls of an upstream's load and cache reports.
static constexpr duration poll_period = 1s;
/// Rank of a tier that is not declared: behind every declared one.
static constexpr std::uint32_t unknown_rank = 1000;

owned_cell* placement_owner::open(const cell_id& id, step_context& context)
{
    const auto found = this->owned.find(id);
    if (found != this->owned.end())
        return &found->second;
    if (this->map.find(id) == nullptr)
        return nullptr;
    owned_cell& made = this->owned[id];
    made.id = id;
    made.grants_from = context.now + takeover_wait;
    this->sync_engines(made);
    return &made;
}

void placement_owner::sync_engines(owned_cell& cell)
{
    const core::cell* from = this->map.find(cell.id);
    std::map<upstream_name, engine_state> kept;
    if (from != nullptr) {
        for (const cell_upstream& upstream : from->upstreams) {
            auto known = cell.engines.extract(upstream.name);
            if (known.empty()) {
                kept.emplace(upstream.name, engine_state{upstream});
                continue;
            }
            known.mapped().info = upstream;
            known.mapped().limit.set_most(upstream.spec.slots);
            kept.insert(std::move(known));
        }
    }
    cell.engines = std::move(kept);
}

static duration typical_between_tokens(const owned_cell& cell)
{
    duration total{0};
    for (const auto& [name, engine] : cell.engines)
        total += engine.rates.between_tokens();
    return cell.engines.empty() ? duration{0}
                                : total / static_cast<std::int64_t>(cell.engines.size());
}

static duration typical_prefill(const owned_cell& cell, std::uint32_t tokens)
{
    duration total{0};
    for (const auto& [name, engine] : cell.engines)
        total += engine.rates.prefill_time(tokens);
    return cell.engines.empty() ? duration{0}
                                : total / static_cast<std::int64_t>(cell.engines.size());
}

waiting_ask placement_owner::make_waiting(const owned_cell& cell, const node_name& entry,
                                          const permit_request& message, time_point now) const
{
    const tier_spec* tier = this->config.find_tier(message.tier);
    const team_spec* team = this->config.find_team(message.team);
    const duration prefill = typical_prefill(cell, message.prefill_tokens);
    waiting_ask waiting;
    waiting.ask = message;
    waiting.entry = entry;
    waiting.rank = tier == nullptr ? unknown_rank : tier->rank;
    if (!this->tiered)
        waiting.rank = 0;
    waiting.weight = team == nullptr ? 1.0 : team->weight;
    waiting.cost =
        prefill + typical_between_tokens(cell) * std::int64_t{message.output_tokens} + 1ms;
    waiting.is_long = waiting.cost > long_work || prefill > long_prefill;
    waiting.arrived = now;
    const duration queue_limit = tier == nullptr ? message.time_left : tier->queue_limit;
    waiting.expires = now + std::min(queue_limit, message.time_left);
    return waiting;
}

// Long work cannot take the whole of an upstream, so it does not count for short work's wait.
duration placement_owner::estimated_wait(const owned_cell& cell, std::uint32_t rank,
                                         bool is_long) const
{
    std::uint32_t side_by_side = 0;
    for (const auto& [name, engine] : cell.engines)
        side_by_side += engine.health.limit(engine.limit.value());
    if (side_by_side == 0)
        return duration{0};
    return cell.queue.queued_cost(rank, !is_long) / std::int64_t{side_by_side};
}

void placement_owner::deny(const node_name& entry, const permit_request& ask, refusal_reason reason,
                           duration retry_after, step_context& context)
{
    context.log(decision_kind::denied, ask.request, to_string(ask.cell),
                std::string(to_string(reason)));
    context.send(entry, permit_denial{ask.request, ask.cell, reason, retry_after});
}

static bool any_serves(const owned_cell& cell, const route_spec& route, const version_name& version)
{
    return std::any_of(cell.engines.begin(), cell.engines.end(), [&](const auto& entry) {
        return serves(entry.second.info, route, version);
    });
}

static bool holds(const owned_cell& cell, const request_id& request)
{
    return std::any_of(cell.engines.begin(), cell.engines.end(),
                       [&](const auto& entry) { return entry.second.held.contains(request); });
}

void placement_owner::ask(const node_name& entry, const permit_request& message,
                          step_context& context)
{
    owned_cell* cell = this->open(message.cell, context);
    const route_spec* route = this->config.find_route(message.route);
    if (cell == nullptr || route == nullptr || !any_serves(*cell, *route, message.version)) {
        this->deny(entry, message, refusal_reason::no_upstream, 1s, context);
        return;
    }
    // An entry asks again when it has heard nothing; it must not wait or hold twice.
    if (cell->queue.contains(message.request) || holds(*cell, message.request))
        return;
    waiting_ask waiting = this->make_waiting(*cell, entry, message, context.now);
    const bool has_room = this->choose(*cell, waiting) != nullptr;
    const duration wait =
        has_room ? duration{0} : this->estimated_wait(*cell, waiting.rank, waiting.is_long);
    if (waiting.cost > message.time_left) {
        this->deny(entry, message, refusal_reason::deadline_unreachable, 0s, context);
        return;
    }
    if (context.now + wait > waiting.expires || wait + waiting.cost > message.time_left) {
        this->deny(entry, message, refusal_reason::overloaded, wait, context);
        return;
    }
    if (cell->queue.size() >= most_waiting) {
        std::optional<waiting_ask> displaced = cell->queue.take_lowest_above(waiting.rank);
        if (!displaced) {
            this->deny(entry, message, refusal_reason::overloaded, wait, context);
            return;
        }
        this->deny(displaced->entry, displaced->ask, refusal_reason::displaced, wait, context);
    }
    cell->queue.push(std::move(waiting));
    this->grant_waiting(*cell, context);
    if (cell->queue.contains(message.request))
        context.log(decision_kind::queued, message.request, to_string(cell->id));
}

static bool all_ejected(const owned_cell& cell)
{
    return std::all_of(cell.engines.begin(), cell.engines.end(),
                       [](const auto& entry) { return entry.second.health.ejected(); });
}

static bool has_backlog(const engine_state& engine)
{
    return engine.prefill_backlog() > 0;
}

// An engine computes prompts in the order in which they come, so a long one holds up every short
// one behind it. Long prompts go one at a time, and one engine in three is kept free of them.
static bool may_compute_long_prompt(const owned_cell& cell, const engine_state& engine)
{
    if (has_backlog(engine))
        return false;
    const auto busy = std::count_if(cell.engines.begin(), cell.engines.end(),
                                    [](const auto& entry) { return has_backlog(entry.second); });
    constexpr std::size_t engines_to_one_kept_free = 3;
    const std::size_t kept_free = cell.engines.size() / engines_to_one_kept_free;
    return static_cast<std::size_t>(busy) + kept_free < cell.engines.size();
}

static std::uint32_t uncached_tokens(const engine_state& engine, const permit_request& ask)
{
    return ask.prefill_tokens -
           std::min(ask.prefill_tokens, engine.cache.cached_tokens(ask.prefix));
}

// Panic: when every upstream of a cell looks bad, the judgement itself is in doubt, and refusing
// all work would be worse than trying. Each then gets one request at a time.
static bool can_take(const owned_cell& cell, const engine_state& engine, const waiting_ask& ask,
                     bool panic)
{
    if (panic)
        return engine.held.empty();
    if (engine.free_permits() == 0)
        return false;
    const duration prefill = engine.rates.prefill_time(uncached_tokens(engine, ask.ask));
    if (prefill > long_prefill && !may_compute_long_prompt(cell, engine))
        return false;
    if (!ask.is_long)
        return true;
    const double most_long = std::max(1.0, long_share * static_cast<double>(engine.limit.value()));
    return static_cast<double>(engine.held_long()) < most_long;
}

static bool avoids(const permit_request& ask, const upstream_name& name)
{
    return std::find(ask.avoid.begin(), ask.avoid.end(), name) != ask.avoid.end();
}

// Engines that hold the prompt's prefix are preferred while they can begin soon: a prefix computed
// once more costs all later work of that engine.
static void keep_warm(std::vector<engine_state*>& candidates, const permit_request& ask)
{
    std::uint32_t most_cached = 0;
    for (const engine_state* candidate : candidates)
        most_cached = std::max(most_cached, candidate->cache.cached_tokens(ask.prefix));
    if (most_cached == 0)
        return;
    const auto is_warm = [&](const engine_state* candidate) {
        return candidate->cache.cached_tokens(ask.prefix) == most_cached &&
               candidate->prefill_wait() <= longest_warm_wait;
    };
    if (!std::any_of(candidates.begin(), candidates.end(), is_warm))
        return;
    std::erase_if(candidates, [&](const engine_state* candidate) { return !is_warm(candidate); });
}

engine_state* placement_owner::choose(owned_cell& cell, const waiting_ask& ask)
{
    const route_spec* route = this->config.find_route(ask.ask.route);
    if (route == nullptr)
        return nullptr;
    const bool panic = all_ejected(cell);
    std::vector<engine_state*> candidates;
    for (auto& [name, engine] : cell.engines) {
        if (!serves(engine.info, *route, ask.ask.version) || avoids(ask.ask, name))
            continue;
        if (can_take(cell, engine, ask, panic))
            candidates.push_back(&engine);
    }
    keep_warm(candidates, ask.ask);
    engine_state* best = nullptr;
    duration best_time{0};
    for (engine_state* candidate : candidates) {
        const duration time =
            candidate->time_to_finish(uncached_tokens(*candidate, ask.ask), ask.ask.output_tokens);
        if (best != nullptr && time >= best_time)
            continue;
        best = candidate;
        best_time = time;
    }
    return best;
}

void placement_owner::grant(owned_cell& cell, engine_state& engine, const waiting_ask& ask,
                            step_context& context)
{
    const std::uint32_t cached = engine.cache.cached_tokens(ask.ask.prefix);
    held_permit permit;
    permit.entry = ask.entry;
    permit.rank = ask.rank;
    permit.is_long = ask.is_long;
    permit.uncached_tokens = uncached_tokens(engine, ask.ask);
    permit.output_tokens = ask.ask.output_tokens;
    permit.granted = context.now;
    engine.cache.use(ask.ask.prefix);
    engine.hold(ask.ask.request, std::move(permit));
    const grant_id number{this->next_grant++};
    context.log(decision_kind::granted, ask.ask.request, engine.info.name.value,
                to_string(cell.id));
    context.send(ask.entry, permit_grant{ask.ask.request, cell.id, number, engine.info.name,
                                         grant_validity, cached});
}

void placement_owner::grant_waiting(owned_cell& cell, step_context& context)
{
    if (context.now < cell.grants_from)
        return;
    engine_state* chosen = nullptr;
    const auto fits = [&](const waiting_ask& ask) {
        chosen = this->choose(cell, ask);
        return chosen != nullptr;
    };
    while (std::optional<waiting_ask> next = cell.queue.take_first(fits))
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

static void learn(engine_state& engine, const permit_release& release, std::uint32_t in_flight,
                  step_context& context)
{
    switch (release.outcome) {
    case attempt_outcome::completed: {
        engine.rates.learn(release);
        // An engine's first token waits for its prompt, so it says nothing of a token's time.
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
        // An upstream that fails in a row has likely restarted, and a restart empties its cache.
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
        learn(engine->second, message, in_flight, context);
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
    // A request that waits here and is held there was granted by an earlier owner.
    (void)cell->queue.erase(message.request);
    const tier_spec* tier = this->config.find_tier(message.tier);
    const bool is_long =
        engine->second.rates.between_tokens() * std::int64_t{message.output_tokens} > long_work;
    held_permit permit;
    permit.entry = entry;
    permit.rank = tier == nullptr ? unknown_rank : tier->rank;
    permit.is_long = is_long;
    permit.output_tokens = message.output_tokens;
    permit.granted = context.now;
    engine->second.hold(message.request, std::move(permit));
}

void placement_owner::entry_gone(incarnation run, step_context& context)
{
    const auto is_theirs = [run](const request_id& request) { return request.entry == run; };
    for (auto& [id, cell] : this->owned) {
        for (auto& [name, engine] : cell.engines)
            std::erase_if(engine.held, [&](const auto& held) { return is_theirs(held.first); });
        std::vector<waiting_ask> waiting = cell.queue.take_all();
        for (waiting_ask& ask : waiting) {
            if (!is_theirs(ask.ask.request))
                cell.queue.push(std::move(ask));
        }
        this->grant_waiting(cell, context);
    }
}

void placement_owner::load(const load_reported& message)
{
    // Counts of permits out are exact and reports are late, so a report is used for nothing but to
    // show that the upstream answers.
    (void)message;
}

void placement_owner::cache(const cache_reported& message)
{
    for (auto& [id, cell] : this->owned) {
        const auto found = cell.engines.find(message.upstream);
        if (found == cell.engines.end())
            continue;
        engine_state& engine = found->second;
        // A gap means that some changes are unknown; the estimate stays, since absent is not known.
        engine.cache_events_seen = std::max(engine.cache_events_seen, message.sequence);
        for (const prefix_hash& block : message.removed)
            engine.cache.remove(block);
        for (const prefix_hash& block : message.added)
            engine.cache.add(block);
    }
}

void placement_owner::probed(const probe_answered& message, step_context& context)
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
        for (waiting_ask& ask : cell.queue.take_all()) {
            const route_spec* route = this->config.find_route(ask.ask.route);
            if (route != nullptr && any_serves(cell, *route, ask.ask.version)) {
                cell.queue.push(std::move(ask));
                continue;
            }
            this->deny(ask.entry, ask.ask, refusal_reason::no_upstream, 1s, context);
        }
        this->grant_waiting(cell, context);
    }
}

void placement_owner::keep(std::span<const cell_id> kept, step_context& context)
{
    for (auto at = this->owned.begin(); at != this->owned.end();) {
        if (std::find(kept.begin(), kept.end(), at->first) != kept.end()) {
            ++at;
            continue;
        }
        // The entries hear of the change of members too and ask the new owner themselves; the
        // denial makes sure of it.
        for (const waiting_ask& ask : at->second.queue.take_all())
            this->deny(ask.entry, ask.ask, refusal_reason::no_upstream, 0s, context);
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
    this->ticked_at = context.now;
    const bool poll_due = this->next_poll <= context.now;
    if (poll_due)
        this->next_poll = context.now + poll_period;
    for (auto& [id, cell] : this->owned) {
        for (const waiting_ask& late : cell.queue.take_expired(context.now))
            this->deny(late.entry, late.ask, refusal_reason::overloaded,
                       this->estimated_wait(cell, late.rank, late.is_long), context);
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
        next = std::min({next, cell.queue.next_expiry(), this->next_poll});
        if (!cell.queue.empty() && cell.grants_from > this->ticked_at)
            next = std::min(next, cell.grants_from);
        for (const auto& [name, engine] : cell.engines)
            next = std::min(next, engine.health.next_probe());
    }
    return next;
}

std::vector<cell_digest> placement_owner::digests() const
{
    std::vector<cell_digest> made;
    for (const auto& [id, cell] : this->owned) {
        cell_digest digest;
        digest.cell = id;
        digest.queued = static_cast<std::uint32_t>(cell.queue.size());
        digest.lowest_rank_queued = cell.queue.lowest_rank();
        for (const auto& [name, engine] : cell.engines)
            digest.free_permits += engine.free_permits();
        const duration wait = this->estimated_wait(cell, unknown_rank, true);
        digest.queued_tokens = static_cast<std::uint32_t>(
            wait / std::max(duration{1000}, typical_between_tokens(cell)));
        made.push_back(digest);
    }
    return made;
}

} // namespace ragwortcove::core
