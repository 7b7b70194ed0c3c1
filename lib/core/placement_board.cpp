#include "ragwortcove/core/placement_board.hpp"

#include "placement_figures.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Tenths of an engine's memory in which parts are counted on to stay.
static constexpr std::uint64_t usable_cache_tenths = 8;
/// A new owner waits this long for the entries' reports before it grants.
static constexpr duration takeover_wait = 60ms;
/// An ask that its entry has not repeated for this long is dropped.
static constexpr duration refresh_limit = 1500ms;
/// A grant that no report mentions may still be on its way to the entry for this long.
static constexpr duration report_grace = 600ms;
/// A request that its entry has not reported for this long is over.
static constexpr duration report_limit = 3s;
/// How long the end of a request is remembered.
static constexpr duration over_memory = 3s;
/// Shortest and longest time after which a refused caller is told to come back.
static constexpr duration shortest_retry = 200ms;
static constexpr duration longest_retry = 3s;
/// Requests of one rank that are looked at in vain before the next rank's turn comes.
static constexpr std::size_t most_passed_over = 6;
/// Time over which the rate of grants is averaged.
static constexpr duration rate_window = 2s;

static duration from_us(double value)
{
    return duration{static_cast<duration::rep>(value)};
}

void placement_board::set_upstreams(std::span<const announced_upstream> all,
                                    const rule_index* rules)
{
    std::set<upstream_name> present;
    for (auto& [key, each] : this->cells)
        each.members.clear();
    this->cell_counts = count_cells(all);
    for (const announced_upstream& one : all) {
        present.insert(one.name);
        upstream_state& state = this->upstreams[one.name];
        state.info = one;
        state.cell = placement_cell_of(one.name, this->cell_counts.at(one.target));
        const target_rule* rule = rules == nullptr ? nullptr : rules->find_target(one.target);
        state.is_engine = rule != nullptr && rule->is_engine;
        const bool rule_states_slots = rule != nullptr && rule->slots > 0;
        state.slots = std::max(1U, rule_states_slots ? rule->slots : one.slots);
        state.cache_tokens = rule == nullptr ? 0 : rule->cache_tokens;
        state.event_tokens = rule == nullptr ? 1 : rule->event_tokens;
        this->cells[{one.target, state.cell}].members.push_back(one.name);
    }
    std::erase_if(this->upstreams, [&](const auto& each) { return !present.contains(each.first); });
}

// An entry that knows of more or fewer upstreams may count other cells than this node.
placement_board::cell_key placement_board::key_of(const placement_ask& ask) const
{
    const auto found = this->cell_counts.find(ask.target);
    return {ask.target, found == this->cell_counts.end() ? 0 : ask.cell % found->second};
}

cell_load placement_board::load_for(const placement_ask& ask) const
{
    const auto found = this->cells.find(this->key_of(ask));
    return found == this->cells.end() ? cell_load{} : this->load_of(found->second);
}

cell_load placement_board::load_of(const cell& one) const
{
    cell_load made;
    made.waiting = static_cast<std::uint32_t>(one.queue.size());
    for (const upstream_name& name : one.members) {
        const upstream_state& state = this->upstreams.at(name);
        const std::size_t most = this->most_placed(state);
        if (!state.info.leaving && state.in_flight < most)
            made.free_places += static_cast<std::uint32_t>(most - state.in_flight);
    }
    return made;
}

void placement_board::forget(const upstream_name& name)
{
    const auto found = this->upstreams.find(name);
    if (found == this->upstreams.end())
        return;
    upstream_state& state = found->second;
    state.cache.clear();
    state.cached_tokens = 0;
    state.good = 0.0;
    state.bad = 0.0;
    state.ejected_until = time_point{};
    state.ejections = 0;
}

// A part counts as kept only when all parts before it are.
std::uint32_t placement_board::uncached(const upstream_state& state, const placement_ask& ask) const
{
    std::uint32_t kept = 0;
    for (const prompt_part& part : ask.parts) {
        const auto found = state.cache.find(part.id);
        if (found == state.cache.end())
            break;
        kept += part.tokens;
    }
    return ask.prompt_tokens - std::min(kept, ask.prompt_tokens);
}

void placement_board::remember_prompt(upstream_state& state, const placement_ask& ask)
{
    if (state.cache_tokens == 0)
        return;
    for (const prompt_part& part : ask.parts) {
        cached_part& known = state.cache[part.id];
        state.cached_tokens += part.tokens - known.tokens;
        known.tokens = part.tokens;
        known.used = ++this->use_counter;
    }
    // Running requests use part of the memory too.
    const std::uint64_t room = std::uint64_t{state.cache_tokens} * usable_cache_tenths / 10;
    while (state.cached_tokens > room && !state.cache.empty()) {
        const auto oldest = std::min_element(
            state.cache.begin(), state.cache.end(),
            [](const auto& one, const auto& other) { return one.second.used < other.second.used; });
        state.cached_tokens -= oldest->second.tokens;
        state.cache.erase(oldest);
    }
}

duration placement_board::estimated_wait(const cell& of, const placement_ask& ask) const
{
    std::size_t ahead = 0;
    for (const auto& each : of.queue)
        ahead += each->ask.rank <= ask.rank ? 1 : 0;
    if (of.grant_rate <= 0.0)
        return 0s;
    return from_us(1e6 * static_cast<double>(ahead) / of.grant_rate);
}

static duration retry_hint(duration wait)
{
    return std::clamp(wait, shortest_retry, longest_retry);
}

void placement_board::ask(const placement_ask& message, time_point now, answers& out)
{
    // An entry that has heard nothing asks again; it must not wait or hold twice.
    const auto held = this->out_by_id.find(message.id);
    if (held != this->out_by_id.end()) {
        out.emplace_back(placement_grant{message.id, held->second.upstream,
                                         held->second.uncached_tokens, this->load_for(message)});
        return;
    }
    cell& of = this->cells[this->key_of(message)];
    for (const auto& each : of.queue) {
        if (each->ask.id != message.id)
            continue;
        each->refreshed = now;
        return;
    }
    const bool any =
        std::any_of(of.members.begin(), of.members.end(), [&](const upstream_name& name) {
            const upstream_state& state = this->upstreams.at(name);
            return !state.info.leaving && may_use(state, message);
        });
    if (!any) {
        out.emplace_back(
            placement_denial{message.id, denial_reason::no_upstream, 1s, this->load_of(of)});
        return;
    }
    if (!of.in_use) {
        of.in_use = true;
        of.grants_from = now + takeover_wait;
    }
    of.service.asked(message.rank, now);
    const duration wait = this->estimated_wait(of, message);
    if (wait > message.patience && !of.service.is_starved(message.rank)) {
        out.emplace_back(placement_denial{message.id, denial_reason::overloaded, retry_hint(wait),
                                          this->load_of(of)});
        return;
    }
    of.queue.push_back(std::make_unique<waiting_ask>(
        waiting_ask{message, now, now + message.goal_left, now + message.patience, now}));
    this->grant_waiting(of, now, out);
}

// Rank first. Within a rank, those that can still reach their goal go before those that are late
// already. Of the former the newest goes first: when there is more work than places, taking the
// oldest first would bring every one of them just past its goal. The late ones go in their order.
static bool goes_before(std::uint32_t rank, time_point goal, std::uint32_t other_rank,
                        time_point other_goal, time_point now)
{
    if (rank != other_rank)
        return rank < other_rank;
    const bool late = goal <= now;
    const bool other_late = other_goal <= now;
    if (late != other_late)
        return other_late;
    return late ? goal < other_goal : goal > other_goal;
}

void placement_board::grant_waiting(cell& of, time_point now, answers& out)
{
    if (now < of.grants_from || of.queue.empty())
        return;
    std::vector<candidate> candidates = this->list_candidates(of, now);
    const auto has_room = [](const candidate& each) { return each.has_room; };
    if (std::none_of(candidates.begin(), candidates.end(), has_room))
        return;
    for (const auto& each : of.queue)
        each->turn = of.service.is_starved(each->ask.rank) ? 0 : each->ask.rank + 1;
    std::stable_sort(of.queue.begin(), of.queue.end(), [now](const auto& one, const auto& other) {
        return goes_before(one->turn, one->goal_at, other->turn, other->goal_at, now);
    });
    // What the free places did not suit for some of a rank they will hardly suit for the rest.
    std::uint32_t rank = 0;
    std::size_t passed_over = 0;
    for (auto at = of.queue.begin(); at != of.queue.end();) {
        const waiting_ask& waiting = **at;
        if (waiting.turn != rank) {
            rank = waiting.turn;
            passed_over = 0;
        }
        upstream_state* chosen =
            passed_over < most_passed_over ? this->choose(candidates, waiting, now) : nullptr;
        if (chosen == nullptr) {
            ++passed_over;
            ++at;
            continue;
        }
        this->grant(of, *chosen, waiting.ask, now, out);
        at = of.queue.erase(at);
        for (candidate& each : candidates) {
            if (each.state == chosen)
                each.has_room = chosen->in_flight < this->most_placed(*chosen);
        }
        if (std::none_of(candidates.begin(), candidates.end(), has_room))
            return;
    }
}

void placement_board::grant(cell& of, upstream_state& state, const placement_ask& ask,
                            time_point now, answers& out)
{
    outstanding made;
    made.upstream = state.info.name;
    made.uncached_tokens = state.is_engine ? this->uncached(state, ask) : 0;
    made.granted = now;
    made.reported = now;
    made.ahead_tokens = state.backlog_tokens;
    state.backlog_tokens += made.uncached_tokens;
    ++state.in_flight;
    this->remember_prompt(state, ask);
    of.service.placed(ask.rank, now);
    const double since = to_us(now - of.rated_at);
    const double kept = std::exp(-since / to_us(rate_window));
    of.grant_rate = of.grant_rate * kept + 1e6 / to_us(rate_window);
    of.rated_at = now;
    out.emplace_back(
        placement_grant{ask.id, made.upstream, made.uncached_tokens, this->load_of(of)});
    this->out_by_id.emplace(ask.id, std::move(made));
}

void placement_board::withdraw(const placement_id& id, time_point now, answers& out)
{
    for (auto& [key, of] : this->cells)
        std::erase_if(of.queue, [&](const auto& each) { return each->ask.id == id; });
    this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

void placement_board::started(const placement_id& id, duration after)
{
    const auto found = this->out_by_id.find(id);
    if (found == this->out_by_id.end() || found->second.started)
        return;
    outstanding& out = found->second;
    out.started = true;
    const auto state = this->upstreams.find(out.upstream);
    if (state == this->upstreams.end())
        return;
    state->second.backlog_tokens -=
        std::min<std::uint64_t>(state->second.backlog_tokens, out.uncached_tokens);
    learn_start(state->second, out.ahead_tokens + out.uncached_tokens, after);
}

void placement_board::take_back(const placement_id& id)
{
    const auto found = this->out_by_id.find(id);
    if (found == this->out_by_id.end())
        return;
    const outstanding was = found->second;
    this->out_by_id.erase(found);
    const auto state = this->upstreams.find(was.upstream);
    if (state == this->upstreams.end())
        return;
    if (state->second.in_flight > 0)
        --state->second.in_flight;
    if (!was.started)
        state->second.backlog_tokens -=
            std::min<std::uint64_t>(state->second.backlog_tokens, was.uncached_tokens);
}

void placement_board::release(const placement_release& message, time_point now, answers& out)
{
    this->over[message.id] = now + over_memory;
    const auto found = this->out_by_id.find(message.id);
    if (found == this->out_by_id.end())
        return;
    const outstanding was = found->second;
    this->take_back(message.id);
    const auto state = this->upstreams.find(was.upstream);
    if (state == this->upstreams.end())
        return;
    cell& of = this->cells[{state->second.info.target, state->second.cell}];
    learn_end(state->second, message);
    this->judge(state->second, of, message.outcome, now);
    this->grant_waiting(of, now, out);
}

void placement_board::held(const node_name& entry, incarnation run,
                           std::span<const placement_held> all, time_point now, answers& out)
{
    std::set<placement_id> named;
    for (const placement_held& each : all) {
        named.insert(each.id);
        const auto known = this->out_by_id.find(each.id);
        if (known != this->out_by_id.end())
            known->second.reported = now;
        if (this->over.contains(each.id) || known != this->out_by_id.end())
            continue;
        const auto state = this->upstreams.find(each.upstream);
        if (state == this->upstreams.end())
            continue;
        outstanding made{each.upstream, each.uncached_tokens, 0, each.started, now, now};
        ++state->second.in_flight;
        if (!each.started)
            state->second.backlog_tokens += each.uncached_tokens;
        this->out_by_id.emplace(each.id, std::move(made));
    }
    std::vector<placement_id> ended;
    for (const auto& [id, each] : this->out_by_id) {
        const bool is_theirs = id.entry == entry && id.run == run;
        if (is_theirs && !named.contains(id) && now - each.granted > report_grace)
            ended.push_back(id);
    }
    for (const placement_id& id : ended)
        this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

void placement_board::entry_gone(incarnation run, time_point now, answers& out)
{
    for (auto& [key, of] : this->cells)
        std::erase_if(of.queue, [&](const auto& each) { return each->ask.id.run == run; });
    std::vector<placement_id> ended;
    for (const auto& [id, each] : this->out_by_id) {
        if (id.run == run)
            ended.push_back(id);
    }
    for (const placement_id& id : ended)
        this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

void placement_board::expire(cell& of, time_point now, answers& out)
{
    for (auto at = of.queue.begin(); at != of.queue.end();) {
        const waiting_ask& waiting = **at;
        const bool abandoned = now - waiting.refreshed > refresh_limit;
        if (!abandoned && waiting.expires > now) {
            ++at;
            continue;
        }
        if (!abandoned)
            out.emplace_back(placement_denial{waiting.ask.id, denial_reason::overloaded,
                                              retry_hint(this->estimated_wait(of, waiting.ask)),
                                              this->load_of(of)});
        at = of.queue.erase(at);
    }
}

void placement_board::tick(time_point now, answers& out)
{
    for (auto& [key, of] : this->cells) {
        this->expire(of, now, out);
        this->grant_waiting(of, now, out);
    }
    std::erase_if(this->over, [now](const auto& each) { return each.second <= now; });
    std::vector<placement_id> forgotten;
    for (const auto& [id, each] : this->out_by_id) {
        if (now - each.reported > report_limit)
            forgotten.push_back(id);
    }
    for (const placement_id& id : forgotten)
        this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

std::size_t placement_board::waiting() const
{
    std::size_t total = 0;
    for (const auto& [key, of] : this->cells)
        total += of.queue.size();
    return total;
}

std::vector<upstream_view> placement_board::views() const
{
    std::vector<upstream_view> made;
    for (const auto& [name, state] : this->upstreams) {
        upstream_view view;
        view.name = name;
        view.in_flight = state.in_flight;
        view.slots = state.slots;
        view.ejected = state.ejected_until > time_point{} && state.ejections > 0;
        view.between_events = from_us(state.event_us);
        view.prefill_us_per_token = state.prefill_us_per_token;
        view.first_event_us = state.first_event_us;
        made.push_back(view);
    }
    return made;
}

} // namespace ragwortcove::core
