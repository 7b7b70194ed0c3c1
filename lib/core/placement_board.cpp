#include "ragwortcove/core/placement_board.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Assumed until an upstream has shown its own figures.
static constexpr double first_prefill_us_per_token = 20.0;
static constexpr double first_event_us = 25'000.0;
static constexpr double first_service_us = 20'000.0;
/// Weight of a new observation.
static constexpr double learning_rate = 0.2;
/// Prompts shorter than this say little of an engine's prefill speed.
static constexpr std::uint32_t least_tokens_to_learn = 512;
/// Time until an engine's first event besides its prefill.
static constexpr double engine_base_us = 20'000.0;
/// Extra time to an upstream in another failure domain.
static constexpr double far_us = 3'000.0;
/// A plain service may have this many more requests than places, so that a place that gets free is
/// taken without a round trip.
static constexpr std::uint32_t service_overlap = 1;
/// Half of the weight of what was seen of an upstream is lost in this time.
static constexpr duration health_half_life = 3s;
/// Failures, weighed by age, from which on an upstream is judged.
static constexpr double least_failures = 3.0;
/// An upstream is ejected when its failure rate is over that of its peers by this much.
static constexpr double tolerated_excess = 0.25;
static constexpr duration first_ejection = 1s;
static constexpr duration longest_ejection = 8s;
/// A new owner waits this long for the entries' reports before it grants.
static constexpr duration takeover_wait = 60ms;
/// An ask that its entry has not repeated for this long is dropped.
static constexpr duration refresh_limit = 1500ms;
/// A grant that no report mentions may still be on its way to the entry for this long.
static constexpr duration report_grace = 600ms;
/// How long the end of a request is remembered.
static constexpr duration over_memory = 3s;
/// Shortest and longest time after which a refused caller is told to come back.
static constexpr duration shortest_retry = 200ms;
static constexpr duration longest_retry = 3s;
/// Time over which the rate of grants is averaged.
static constexpr duration rate_window = 2s;

static double to_us(duration span)
{
    return static_cast<double>(span.count());
}

static duration from_us(double value)
{
    return duration{static_cast<duration::rep>(value)};
}

static void blend(double& into, double seen)
{
    into = into <= 0.0 ? seen : into + learning_rate * (seen - into);
}

double placement_board::typical(const cell& of, double upstream_state::*figure,
                                double otherwise) const
{
    double total = 0.0;
    std::size_t known = 0;
    for (const upstream_name& name : of.members) {
        const double value = this->upstreams.at(name).*figure;
        if (value <= 0.0)
            continue;
        total += value;
        ++known;
    }
    return known == 0 ? otherwise : total / static_cast<double>(known);
}

void placement_board::set_upstreams(std::span<const announced_upstream> all,
                                    const rule_index* rules)
{
    std::set<upstream_name> present;
    for (auto& [target, each] : this->cells)
        each.members.clear();
    for (const announced_upstream& one : all) {
        present.insert(one.name);
        upstream_state& state = this->upstreams[one.name];
        state.info = one;
        const target_rule* rule = rules == nullptr ? nullptr : rules->find_target(one.target);
        state.is_engine = rule != nullptr && rule->is_engine;
        const bool rule_states_slots = rule != nullptr && rule->slots > 0;
        state.slots = std::max(1U, rule_states_slots ? rule->slots : one.slots);
        state.cache_tokens = rule == nullptr ? 0 : rule->cache_tokens;
        this->cells[one.target].members.push_back(one.name);
    }
    std::erase_if(this->upstreams, [&](const auto& each) { return !present.contains(each.first); });
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
    const std::uint64_t room = state.cache_tokens / 10 * 8;
    while (state.cached_tokens > room && !state.cache.empty()) {
        const auto oldest = std::min_element(state.cache.begin(), state.cache.end(),
                                             [](const auto& one, const auto& other) {
                                                 return one.second.used < other.second.used;
                                             });
        state.cached_tokens -= oldest->second.tokens;
        state.cache.erase(oldest);
    }
}

static std::uint32_t most_in_flight(bool is_engine, std::uint32_t slots)
{
    return is_engine ? slots : slots + service_overlap;
}

bool placement_board::may_use(const upstream_state& state, const placement_ask& ask,
                              bool last_resort, time_point now) const
{
    if (state.info.leaving)
        return false;
    if (std::find(ask.avoid.begin(), ask.avoid.end(), state.info.name) != ask.avoid.end())
        return false;
    return last_resort || state.ejected_until <= now;
}

// Time to the last event, as far as it is known: prompts ahead, the prompt itself, the answer.
double placement_board::estimated_us(const upstream_state& state, const cell& of,
                                     const placement_ask& ask) const
{
    const double distance = state.info.failure_domain == ask.failure_domain ? 0.0 : far_us;
    if (!state.is_engine) {
        const double each =
            state.service_us > 0.0
                ? state.service_us
                : this->typical(of, &upstream_state::service_us, first_service_us);
        const double share =
            static_cast<double>(state.in_flight + 1) / static_cast<double>(state.slots);
        return distance + each * (1.0 + share);
    }
    const double per_token = state.prefill_us_per_token > 0.0
                                 ? state.prefill_us_per_token
                                 : this->typical(of, &upstream_state::prefill_us_per_token,
                                                 first_prefill_us_per_token);
    const double per_event =
        state.event_us > 0.0 ? state.event_us
                             : this->typical(of, &upstream_state::event_us, first_event_us);
    const double ahead = static_cast<double>(state.backlog_tokens);
    const double own = static_cast<double>(this->uncached(state, ask));
    // Every request that runs beside makes each token a little slower.
    const double crowding = 1.0 + 0.02 * static_cast<double>(state.in_flight);
    constexpr double tokens_per_event = 5.0;
    const double answer = per_event * crowding * ask.output_tokens / tokens_per_event;
    return distance + engine_base_us + (ahead + own) * per_token + answer;
}

placement_board::upstream_state* placement_board::choose(cell& of, const placement_ask& ask,
                                                         time_point now)
{
    upstream_state* best = nullptr;
    double best_time = 0.0;
    const auto look = [&](bool last_resort) {
        for (const upstream_name& name : of.members) {
            upstream_state& state = this->upstreams.at(name);
            if (!this->may_use(state, ask, last_resort, now))
                continue;
            const std::uint32_t most =
                last_resort ? 1 : most_in_flight(state.is_engine, state.slots);
            if (state.in_flight >= most)
                continue;
            const double time = this->estimated_us(state, of, ask);
            if (best != nullptr && time >= best_time)
                continue;
            best = &state;
            best_time = time;
        }
    };
    look(false);
    // When every upstream looks bad, the judgement itself is in doubt: each gets one at a time.
    if (best == nullptr && !this->has_usable(of, ask, now))
        look(true);
    return best;
}

bool placement_board::has_usable(const cell& of, const placement_ask& ask, time_point now) const
{
    return std::any_of(of.members.begin(), of.members.end(), [&](const upstream_name& name) {
        return this->may_use(this->upstreams.at(name), ask, false, now);
    });
}

duration placement_board::estimated_wait(const cell& of, const placement_ask& ask) const
{
    std::size_t ahead = 0;
    for (const waiting_ask& each : of.queue)
        ahead += each.ask.rank <= ask.rank ? 1 : 0;
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
        out.emplace_back(
            placement_grant{message.id, held->second.upstream, held->second.uncached_tokens});
        return;
    }
    cell& of = this->cells[message.target];
    for (waiting_ask& each : of.queue) {
        if (each.ask.id != message.id)
            continue;
        each.refreshed = now;
        return;
    }
    const bool any = std::any_of(
        of.members.begin(), of.members.end(), [&](const upstream_name& name) {
            return this->may_use(this->upstreams.at(name), message, true, now);
        });
    if (!any) {
        out.emplace_back(placement_denial{message.id, denial_reason::no_upstream, 1s});
        return;
    }
    if (!of.in_use) {
        of.in_use = true;
        of.grants_from = now + takeover_wait;
    }
    const duration wait = this->estimated_wait(of, message);
    if (wait > message.patience) {
        out.emplace_back(
            placement_denial{message.id, denial_reason::overloaded, retry_hint(wait)});
        return;
    }
    of.queue.push_back({message, now, now + message.goal_left, now + message.patience, now});
    this->grant_waiting(of, now, out);
}

// Rank first. Within a rank, those that can still reach their goal go before those that are late
// already, and among each the one whose goal is nearest.
static bool goes_before(std::uint32_t rank, time_point goal, std::uint32_t other_rank,
                        time_point other_goal, time_point now)
{
    if (rank != other_rank)
        return rank < other_rank;
    const bool late = goal <= now;
    const bool other_late = other_goal <= now;
    if (late != other_late)
        return other_late;
    return goal < other_goal;
}

void placement_board::grant_waiting(cell& of, time_point now, answers& out)
{
    if (now < of.grants_from || of.queue.empty())
        return;
    std::stable_sort(of.queue.begin(), of.queue.end(),
                     [now](const waiting_ask& one, const waiting_ask& other) {
                         return goes_before(one.ask.rank, one.goal_at, other.ask.rank,
                                            other.goal_at, now);
                     });
    for (auto at = of.queue.begin(); at != of.queue.end();) {
        upstream_state* chosen = this->choose(of, at->ask, now);
        if (chosen == nullptr) {
            ++at;
            continue;
        }
        this->grant(of, *chosen, at->ask, now, out);
        at = of.queue.erase(at);
    }
}

void placement_board::grant(cell& of, upstream_state& state, const placement_ask& ask,
                            time_point now, answers& out)
{
    outstanding made;
    made.upstream = state.info.name;
    made.uncached_tokens = state.is_engine ? this->uncached(state, ask) : 0;
    made.granted = now;
    state.backlog_tokens += made.uncached_tokens;
    ++state.in_flight;
    this->remember_prompt(state, ask);
    const double since = to_us(now - of.rated_at);
    const double kept = std::exp(-since / to_us(rate_window));
    of.grant_rate = of.grant_rate * kept + 1e6 / to_us(rate_window);
    of.rated_at = now;
    out.emplace_back(placement_grant{ask.id, made.upstream, made.uncached_tokens});
    this->out_by_id.emplace(ask.id, std::move(made));
}

void placement_board::withdraw(const placement_id& id, time_point now, answers& out)
{
    for (auto& [target, of] : this->cells)
        std::erase_if(of.queue, [&](const waiting_ask& each) { return each.ask.id == id; });
    this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

void placement_board::started(const placement_id& id, duration after, time_point now)
{
    (void)now;
    const auto found = this->out_by_id.find(id);
    if (found == this->out_by_id.end() || found->second.started)
        return;
    outstanding& out = found->second;
    out.started = true;
    const auto state = this->upstreams.find(out.upstream);
    if (state == this->upstreams.end())
        return;
    const double ahead = static_cast<double>(state->second.backlog_tokens);
    state->second.backlog_tokens -=
        std::min<std::uint64_t>(state->second.backlog_tokens, out.uncached_tokens);
    if (out.uncached_tokens < least_tokens_to_learn || after <= 0s)
        return;
    const double computing = std::max(0.0, to_us(after) - engine_base_us);
    blend(state->second.prefill_us_per_token,
          computing / std::max(ahead, static_cast<double>(out.uncached_tokens)));
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

void placement_board::learn(upstream_state& state, const outstanding& was,
                            const placement_release& message)
{
    (void)was;
    if (message.outcome != placement_outcome::completed)
        return;
    if (state.is_engine && message.between_events > 0s)
        blend(state.event_us, to_us(message.between_events));
    if (!state.is_engine && message.first_part_after > 0s)
        blend(state.service_us, to_us(message.first_part_after));
}

static bool speaks_against(placement_outcome outcome)
{
    switch (outcome) {
    case placement_outcome::error_answer:
    case placement_outcome::broken:
    case placement_outcome::silent:
    case placement_outcome::unreachable:
        return true;
    case placement_outcome::completed:
    case placement_outcome::refused:
    case placement_outcome::cancelled:
        return false;
    }
    return false;
}

// Some kinds of request fail often on sound upstreams too, so each upstream is held against its
// peers, not against a fixed rate.
void placement_board::judge(upstream_state& state, const cell& of, placement_outcome outcome,
                            time_point now)
{
    if (outcome == placement_outcome::refused || outcome == placement_outcome::cancelled)
        return;
    const double kept = std::exp2(-to_us(now - state.weighed_at) / to_us(health_half_life));
    state.good *= kept;
    state.bad *= kept;
    state.weighed_at = now;
    const bool failed = speaks_against(outcome);
    (failed ? state.bad : state.good) += 1.0;
    if (!failed) {
        if (state.ejected_until <= now && state.bad < 1.0)
            state.ejections = 0;
        return;
    }
    double peers_bad = 0.0;
    double peers_all = 0.0;
    for (const upstream_name& name : of.members) {
        const upstream_state& peer = this->upstreams.at(name);
        if (&peer == &state)
            continue;
        peers_bad += peer.bad;
        peers_all += peer.good + peer.bad;
    }
    const double peers_rate = peers_all > 0.0 ? peers_bad / peers_all : 0.0;
    const double rate = state.bad / (state.good + state.bad);
    const bool unreachable = outcome == placement_outcome::unreachable;
    if (!unreachable && (state.bad < least_failures || rate < peers_rate + tolerated_excess))
        return;
    const duration ejection =
        std::min(longest_ejection, first_ejection * (std::int64_t{1} << state.ejections));
    state.ejected_until = std::max(state.ejected_until, now + ejection);
    state.ejections = std::min(state.ejections + 1, 3U);
    state.bad = least_failures - 1.0;
    state.good = 0.0;
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
    cell& of = this->cells[state->second.info.target];
    this->learn(state->second, was, message);
    this->judge(state->second, of, message.outcome, now);
    this->grant_waiting(of, now, out);
}

void placement_board::held(const node_name& entry, incarnation run,
                           std::span<const placement_held> all, time_point now, answers& out)
{
    std::set<placement_id> named;
    for (const placement_held& each : all) {
        named.insert(each.id);
        if (this->over.contains(each.id) || this->out_by_id.contains(each.id))
            continue;
        const auto state = this->upstreams.find(each.upstream);
        if (state == this->upstreams.end())
            continue;
        outstanding made{each.upstream, each.uncached_tokens, each.started, now};
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
    for (auto& [target, of] : this->cells)
        std::erase_if(of.queue, [&](const waiting_ask& each) { return each.ask.id.run == run; });
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
        const bool abandoned = now - at->refreshed > refresh_limit;
        if (!abandoned && at->expires > now) {
            ++at;
            continue;
        }
        if (!abandoned)
            out.emplace_back(placement_denial{at->ask.id, denial_reason::overloaded,
                                              retry_hint(this->estimated_wait(of, at->ask))});
        at = of.queue.erase(at);
    }
}

void placement_board::tick(time_point now, answers& out)
{
    for (auto& [target, of] : this->cells) {
        this->expire(of, now, out);
        this->grant_waiting(of, now, out);
    }
    std::erase_if(this->over, [now](const auto& each) { return each.second <= now; });
}

std::size_t placement_board::waiting() const
{
    std::size_t total = 0;
    for (const auto& [target, of] : this->cells)
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
        made.push_back(view);
    }
    return made;
}

} // namespace ragwortcove::core
