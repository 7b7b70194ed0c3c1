#include "ragwortcove/core/placement_board.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Assumed until an upstream has shown its own figures.
static constexpr double first_prefill_us_per_token = 20.0;
static constexpr double first_event_us_assumed = 25'000.0;
static constexpr double first_service_us = 20'000.0;
/// Weight of a new observation.
static constexpr double learning_rate = 0.2;
/// Prompts shorter than this say little of an engine's prefill speed.
static constexpr std::uint32_t least_tokens_to_learn = 512;
/// Time until an engine's first event besides its prefill, until it has shown its own.
static constexpr double first_base_us = 20'000.0;
/// Prompts up to this length show how long a first event takes by itself.
static constexpr std::uint32_t most_tokens_for_base = 256;
/// Prompt tokens that engines compute between two tokens of the requests beside.
static constexpr std::uint64_t usual_chunk_tokens = 4096;
/// Tenths of an engine's memory in which parts are counted on to stay.
static constexpr std::uint64_t usable_cache_tenths = 8;
/// Part of a limit that an estimate may reach.
static constexpr double safe_share = 0.9;
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
        state.event_tokens = rule == nullptr ? 1 : rule->event_tokens;
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
    const std::uint64_t room = std::uint64_t{state.cache_tokens} * usable_cache_tenths / 10;
    while (state.cached_tokens > room && !state.cache.empty()) {
        const auto oldest = std::min_element(
            state.cache.begin(), state.cache.end(),
            [](const auto& one, const auto& other) { return one.second.used < other.second.used; });
        state.cached_tokens -= oldest->second.tokens;
        state.cache.erase(oldest);
    }
}

static std::uint32_t most_in_flight(bool is_engine, std::uint32_t slots)
{
    return is_engine ? slots : slots + service_overlap;
}

bool placement_board::may_use(const upstream_state& state, const placement_ask& ask)
{
    return std::find(ask.avoid.begin(), ask.avoid.end(), state.info.name) == ask.avoid.end();
}

placement_board::engine_figures placement_board::usual_figures(const cell& of) const
{
    return {this->typical(of, &upstream_state::prefill_us_per_token, first_prefill_us_per_token),
            this->typical(of, &upstream_state::first_event_us, first_base_us),
            this->typical(of, &upstream_state::event_us, first_event_us_assumed),
            this->typical(of, &upstream_state::service_us, first_service_us)};
}

/// Upstreams that take work. When every one looks bad, the judgement itself is in doubt: then all
/// are listed, and each gets one request at a time.
std::vector<placement_board::candidate> placement_board::list_candidates(const cell& of,
                                                                         time_point now)
{
    const engine_figures usual = this->usual_figures(of);
    const bool all_ejected =
        std::all_of(of.members.begin(), of.members.end(), [&](const upstream_name& name) {
            const upstream_state& state = this->upstreams.at(name);
            return state.info.leaving || state.ejected_until > now;
        });
    std::vector<candidate> made;
    made.reserve(of.members.size());
    for (const upstream_name& name : of.members) {
        upstream_state& state = this->upstreams.at(name);
        if (state.info.leaving || (state.ejected_until > now && !all_ejected))
            continue;
        // An engine that is slow at one thing is slow at the others: what it has not shown is
        // scaled from what it has.
        double pace = 1.0;
        if (state.event_us > 0.0)
            pace = state.event_us / usual.event_us;
        else if (state.prefill_us_per_token > 0.0)
            pace = state.prefill_us_per_token / usual.prefill_us_per_token;
        else if (state.first_event_us > 0.0)
            pace = state.first_event_us / usual.first_event_us;
        const auto own = [pace](double seen, double otherwise) {
            return seen > 0.0 ? seen : otherwise * pace;
        };
        candidate one;
        one.state = &state;
        one.figures = {own(state.prefill_us_per_token, usual.prefill_us_per_token),
                       own(state.first_event_us, usual.first_event_us),
                       own(state.event_us, usual.event_us),
                       state.service_us > 0.0 ? state.service_us : usual.service_us};
        const std::uint32_t most = all_ejected ? 1 : most_in_flight(state.is_engine, state.slots);
        one.has_room = state.in_flight < most;
        made.push_back(one);
    }
    return made;
}

static double distance_us(const announced_upstream& upstream, const placement_ask& ask)
{
    return upstream.failure_domain == ask.failure_domain ? 0.0 : far_us;
}

double placement_board::first_event_us(const candidate& by, const placement_ask& ask,
                                       std::uint64_t ahead) const
{
    const double tokens = static_cast<double>(ahead + this->uncached(*by.state, ask));
    return distance_us(by.state->info, ask) + by.figures.first_event_us +
           tokens * by.figures.prefill_us_per_token;
}

// Time to the last event, as far as it is known: prompts ahead, the prompt itself, the answer.
double placement_board::whole_us(const candidate& by, const placement_ask& ask) const
{
    const upstream_state& state = *by.state;
    if (!state.is_engine) {
        const double share =
            static_cast<double>(state.in_flight + 1) / static_cast<double>(state.slots);
        return distance_us(state.info, ask) + by.figures.service_us * (1.0 + share);
    }
    // Every request that runs beside makes each token a little slower.
    const double crowding = 1.0 + 0.02 * static_cast<double>(state.in_flight);
    const double events = static_cast<double>(ask.output_tokens) / state.event_tokens;
    return this->first_event_us(by, ask, state.backlog_tokens) +
           by.figures.event_us * crowding * events;
}

// Between two events of a stream the engine computes a chunk of prompts for each of the event's
// tokens. A long prompt on a slow engine would hold up all that run there beyond what is in time.
bool placement_board::keeps_pace(const candidate& by, const placement_ask& ask,
                                 std::uint64_t ahead) const
{
    if (!by.state->is_engine || ask.longest_pause <= 0s)
        return true;
    const std::uint64_t tokens = std::min<std::uint64_t>(
        ahead + this->uncached(*by.state, ask), by.state->event_tokens * usual_chunk_tokens);
    const double pause =
        by.figures.event_us + static_cast<double>(tokens) * by.figures.prefill_us_per_token;
    return pause <= to_us(ask.longest_pause) * safe_share;
}

// An upstream with a free place is not always a good one: a request waits for a better one as long
// as there is one that could still serve it in time.
placement_board::upstream_state* placement_board::choose(std::span<candidate> among,
                                                         const waiting_ask& waiting,
                                                         time_point now) const
{
    const placement_ask& ask = waiting.ask;
    const double goal_us = to_us(waiting.goal_at - now) * safe_share;
    bool some_in_time = false;
    bool some_keep_pace = false;
    for (const candidate& each : among) {
        if (!each.state->is_engine || !may_use(*each.state, ask))
            continue;
        some_in_time = some_in_time || this->first_event_us(each, ask, 0) <= goal_us;
        some_keep_pace = some_keep_pace || this->keeps_pace(each, ask, 0);
    }
    upstream_state* best = nullptr;
    double best_time = 0.0;
    for (const candidate& each : among) {
        upstream_state& state = *each.state;
        if (!each.has_room || !may_use(state, ask))
            continue;
        if (some_in_time && this->first_event_us(each, ask, state.backlog_tokens) > goal_us)
            continue;
        const bool alone = state.in_flight == 0;
        if (some_keep_pace && !alone && !this->keeps_pace(each, ask, state.backlog_tokens))
            continue;
        const double time = this->whole_us(each, ask);
        if (best != nullptr && time >= best_time)
            continue;
        best = &state;
        best_time = time;
    }
    return best;
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
        out.emplace_back(
            placement_grant{message.id, held->second.upstream, held->second.uncached_tokens});
        return;
    }
    cell& of = this->cells[message.target];
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
        out.emplace_back(placement_denial{message.id, denial_reason::no_upstream, 1s});
        return;
    }
    if (!of.in_use) {
        of.in_use = true;
        of.grants_from = now + takeover_wait;
    }
    const duration wait = this->estimated_wait(of, message);
    if (wait > message.patience) {
        out.emplace_back(placement_denial{message.id, denial_reason::overloaded, retry_hint(wait)});
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
    std::stable_sort(of.queue.begin(), of.queue.end(), [now](const auto& one, const auto& other) {
        return goes_before(one->ask.rank, one->goal_at, other->ask.rank, other->goal_at, now);
    });
    // What the free places did not suit for some of a rank they will hardly suit for the rest.
    std::uint32_t rank = 0;
    std::size_t passed_over = 0;
    for (auto at = of.queue.begin(); at != of.queue.end();) {
        const waiting_ask& waiting = **at;
        if (waiting.ask.rank != rank) {
            rank = waiting.ask.rank;
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
                each.has_room =
                    chosen->in_flight < most_in_flight(chosen->is_engine, chosen->slots);
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
        std::erase_if(of.queue, [&](const auto& each) { return each->ask.id == id; });
    this->release({id, placement_outcome::cancelled, {}, {}}, now, out);
}

void placement_board::learn_start(upstream_state& state, std::uint64_t computed_tokens,
                                  duration after)
{
    if (!state.is_engine || after <= 0s)
        return;
    const double base = state.first_event_us > 0.0 ? state.first_event_us : first_base_us;
    if (computed_tokens <= most_tokens_for_base) {
        blend(state.first_event_us, to_us(after));
        return;
    }
    if (computed_tokens < least_tokens_to_learn)
        return;
    const double computing = std::max(0.0, to_us(after) - base);
    blend(state.prefill_us_per_token, computing / static_cast<double>(computed_tokens));
}

void placement_board::learn_end(upstream_state& state, const placement_release& message)
{
    if (message.outcome != placement_outcome::completed)
        return;
    if (state.is_engine && message.between_events > 0s)
        blend(state.event_us, to_us(message.between_events));
    if (!state.is_engine && message.first_part_after > 0s)
        blend(state.service_us, to_us(message.first_part_after));
}

void placement_board::observe_start(const upstream_name& name, std::uint32_t computed_tokens,
                                    duration after)
{
    const auto found = this->upstreams.find(name);
    if (found != this->upstreams.end())
        learn_start(found->second, computed_tokens, after);
}

void placement_board::observe_end(const upstream_name& name, const placement_release& message)
{
    const auto found = this->upstreams.find(name);
    if (found != this->upstreams.end())
        learn_end(found->second, message);
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
    for (auto& [target, of] : this->cells)
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
                                              retry_hint(this->estimated_wait(of, waiting.ask))});
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
        view.first_event_us = state.first_event_us;
        made.push_back(view);
    }
    return made;
}

} // namespace ragwortcove::core
