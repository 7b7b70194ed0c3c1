#include "ragwortcove/standin/engine_model.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace ragwortcove::standin {

using core::duration;
using core::time_point;

/// Longest part of a step that is spent on prefill while other sequences decode.
static constexpr duration shared_prefill_time = std::chrono::milliseconds{10};
/// The same while none decodes.
static constexpr duration lone_prefill_time = std::chrono::milliseconds{40};

static constexpr double microseconds_per_second = 1e6;

std::optional<engine_speed> find_engine_speed(std::string_view name)
{
    if (name == "fast") {
        return fast_engine;
    }
    if (name == "middle") {
        return middle_engine;
    }
    if (name == "slow") {
        return slow_engine;
    }
    return std::nullopt;
}

engine_model::engine_model(const engine_settings& settings, std::uint64_t seed)
    : configured(settings), random(seed), cache(settings.cache_tokens)
{
}

void engine_model::start(const engine_request& request, engine_stream stream, time_point now)
{
    this->catch_up(now);
    this->settle_version(now);
    if (this->refusing || this->loaded_at) {
        this->untold.push_back(engine_failed{stream, engine_failure::not_run});
        return;
    }
    ++this->counted.dispatches[request.id];
    sequence arrived;
    arrived.request = request;
    arrived.stream = stream;
    arrived.prefill_left = std::max<std::uint32_t>(request.prompt_tokens, 1);
    if (this->random.chance(this->failure_rate(request, now))) {
        const std::uint64_t tokens = this->random.below(request.output_tokens);
        arrived.fails_at = static_cast<std::uint32_t>(tokens);
    }
    this->enqueue(std::move(arrived), now);
}

void engine_model::resume(const core::request_id& id, std::uint32_t offset, engine_stream stream,
                          time_point now)
{
    this->catch_up(now);
    if (sequence* live = this->find_live(id)) {
        live->stream = stream;
        live->connected = true;
        live->silent = false;
        live->told = offset;
        this->untold.push_back(engine_accepted{stream});
        this->tell_tokens(*live);
        return;
    }
    const auto known = this->ended.find(id);
    if (known == this->ended.end()) {
        this->untold.push_back(engine_failed{stream, engine_failure::unknown_request});
        return;
    }
    sequence& last = known->second.last;
    this->untold.push_back(engine_accepted{stream});
    if (last.produced > offset) {
        this->untold.push_back(engine_tokens{stream, offset, last.produced - offset});
    }
    this->untold.push_back(
        engine_finished{stream, last.produced, last.cached_tokens, last.prefilled_tokens});
    last.delivered = true;
}

void engine_model::disconnect(engine_stream stream, time_point now)
{
    this->catch_up(now);
    const auto leave = [&](sequence& value) {
        if (value.stream == stream && value.connected) {
            value.connected = false;
            value.disconnected_at = now;
        }
    };
    std::for_each(this->running.begin(), this->running.end(), leave);
    std::for_each(this->waiting.begin(), this->waiting.end(), leave);
}

void engine_model::cancel(const core::request_id& id, time_point now)
{
    this->catch_up(now);
    const auto cancelled = [&](const sequence& value) { return value.request.id == id; };
    for (const sequence& value : this->running) {
        if (cancelled(value)) {
            this->waste(value);
        }
    }
    std::erase_if(this->running, cancelled);
    std::erase_if(this->waiting, cancelled);
}

void engine_model::advance(time_point now, std::vector<engine_event>& events)
{
    if (now < this->paused_until) {
        return;
    }
    this->catch_up(now);
    events.insert(events.end(), this->untold.begin(), this->untold.end());
    this->untold.clear();
}

time_point engine_model::next_event_at() const
{
    if (!this->untold.empty()) {
        return this->paused_until;
    }
    if (this->step_ends) {
        return std::max(*this->step_ends, this->paused_until);
    }
    return time_point::max();
}

void engine_model::silence_connections()
{
    const auto silence = [](sequence& value) { value.silent = value.connected; };
    std::for_each(this->running.begin(), this->running.end(), silence);
    std::for_each(this->waiting.begin(), this->waiting.end(), silence);
}

void engine_model::pause(time_point until)
{
    this->paused_until = std::max(this->paused_until, until);
}

void engine_model::crash(time_point now, bool connections_break)
{
    this->catch_up(now);
    this->untold.clear();
    const auto lose = [&](const sequence& value) {
        this->waste(value);
        if (connections_break && value.connected && !value.silent) {
            this->untold.push_back(engine_failed{value.stream, engine_failure::connection_lost});
        }
    };
    std::for_each(this->running.begin(), this->running.end(), lose);
    std::for_each(this->waiting.begin(), this->waiting.end(), lose);
    this->running.clear();
    this->waiting.clear();
    this->ended.clear();
    this->ended_order.clear();
    this->step_ends.reset();
    this->paused_until = time_point::min();
    this->cache.clear();
    this->cache_history.clear();
    this->samples.clear();
    this->loaded_at.reset();
    this->highest_fencing = {};
}

void engine_model::enqueue(sequence&& arrived, time_point now)
{
    this->untold.push_back(engine_accepted{arrived.stream});
    this->waiting.push_back(std::move(arrived));
    if (!this->step_ends) {
        this->begin_step(std::max(now, this->paused_until));
    }
    this->sample_load(now);
}

void engine_model::catch_up(time_point now)
{
    if (now < this->paused_until) {
        return;
    }
    while (this->step_ends) {
        const time_point at = std::max(*this->step_ends, this->paused_until);
        if (at > now) {
            break;
        }
        this->end_step(at);
        this->begin_step(at);
    }
}

void engine_model::begin_step(time_point at)
{
    this->step_ends.reset();
    this->drop_abandoned(at);
    this->forget_ended(at);
    this->admit_waiting(at);
    this->sample_load(at);
    if (!this->running.empty()) {
        this->step_ends = at + this->plan_step(at);
    }
}

void engine_model::end_step(time_point at)
{
    std::vector<sequence> left;
    left.reserve(this->running.size());
    for (sequence& value : this->running) {
        if (this->step_sequence(value, at)) {
            left.push_back(std::move(value));
        }
    }
    this->running = std::move(left);
}

void engine_model::admit_waiting(time_point at)
{
    this->settle_version(at);
    while (this->running.size() < this->configured.slots && !this->waiting.empty()) {
        sequence admitted = std::move(this->waiting.front());
        this->waiting.pop_front();
        if (!admitted.has_kv) {
            // The last prompt token is always computed: its output is the first token.
            const std::uint32_t found = this->cache.find(admitted.request.prefix);
            admitted.cached_tokens = std::min(found, admitted.prefill_left - 1);
            admitted.prefill_left -= admitted.cached_tokens;
            admitted.has_kv = true;
            this->counted.cached_tokens += admitted.cached_tokens;
        }
        this->running.push_back(std::move(admitted));
    }
}

duration engine_model::plan_step(time_point at)
{
    const auto decodes = [](const sequence& value) { return value.prefill_left == 0; };
    const auto decoding = std::count_if(this->running.begin(), this->running.end(), decodes);
    const duration most = decoding > 0 ? shared_prefill_time : lone_prefill_time;
    const double tokens_per_microsecond =
        this->configured.speed.prefill_tokens_per_second / microseconds_per_second;
    const double budget = std::max(1.0, tokens_per_microsecond * static_cast<double>(most.count()));
    auto left = static_cast<std::uint32_t>(budget);
    std::uint32_t prefilled = 0;
    for (sequence& value : this->running) {
        value.prefill_chunk = std::min(value.prefill_left, left);
        left -= value.prefill_chunk;
        prefilled += value.prefill_chunk;
    }
    double length = static_cast<double>(prefilled) / tokens_per_microsecond;
    if (decoding > 0) {
        const duration decode = this->configured.speed.base_between_tokens +
                                (decoding - 1) * this->configured.speed.between_tokens_per_sequence;
        length += static_cast<double>(decode.count());
    }
    return duration{std::max<std::int64_t>(1, std::llround(length * this->slow_factor(at)))};
}

bool engine_model::step_sequence(sequence& stepped, time_point at)
{
    if (stepped.prefill_left > 0) {
        stepped.prefill_left -= stepped.prefill_chunk;
        stepped.prefilled_tokens += stepped.prefill_chunk;
        this->counted.prefilled_tokens += stepped.prefill_chunk;
        if (stepped.prefill_left > 0) {
            return true;
        }
        this->finish_prefill(stepped, at);
    }
    if (stepped.fails_at && stepped.produced >= *stepped.fails_at) {
        this->waste(stepped);
        if (stepped.connected && !stepped.silent) {
            this->untold.push_back(engine_failed{stepped.stream, engine_failure::error_answer});
        }
        return false;
    }
    ++stepped.produced;
    ++this->counted.output_tokens;
    this->tell_tokens(stepped);
    if (stepped.produced < stepped.request.output_tokens) {
        return true;
    }
    this->finish(stepped, at);
    return false;
}

void engine_model::tell_tokens(sequence& stepped)
{
    if (!stepped.connected || stepped.silent || stepped.produced <= stepped.told) {
        return;
    }
    const std::uint32_t fresh = stepped.produced - stepped.told;
    const bool whole = stepped.produced >= stepped.request.output_tokens;
    if (stepped.told > 0 && !whole && fresh < this->configured.tokens_per_event) {
        return;
    }
    this->untold.push_back(engine_tokens{stepped.stream, stepped.told, fresh});
    stepped.told = stepped.produced;
}

void engine_model::finish(sequence& done, time_point at)
{
    if (done.connected && !done.silent) {
        this->untold.push_back(
            engine_finished{done.stream, done.produced, done.cached_tokens, done.prefilled_tokens});
        done.delivered = true;
    }
    const time_point forget_at = at + this->configured.resume_window;
    const core::request_id id = done.request.id;
    this->ended_order.emplace_back(forget_at, id);
    this->ended.insert_or_assign(id, ended_sequence{std::move(done), forget_at});
}

void engine_model::waste(const sequence& lost)
{
    this->counted.wasted_prefill_tokens += lost.prefilled_tokens;
}

bool engine_model::abandoned(const sequence& value, time_point at) const
{
    return !value.connected && value.disconnected_at + this->configured.resume_window <= at;
}

void engine_model::drop_abandoned(time_point at)
{
    const auto dropped = [&](const sequence& value) {
        if (!this->abandoned(value, at)) {
            return false;
        }
        this->waste(value);
        return true;
    };
    std::erase_if(this->running, dropped);
    std::erase_if(this->waiting, dropped);
}

void engine_model::forget_ended(time_point at)
{
    while (!this->ended_order.empty() && this->ended_order.front().first <= at) {
        const auto known = this->ended.find(this->ended_order.front().second);
        this->ended_order.pop_front();
        if (known == this->ended.end() || known->second.forget_at > at) {
            continue;
        }
        if (!known->second.last.delivered) {
            this->waste(known->second.last);
        }
        this->ended.erase(known);
    }
}

engine_model::sequence* engine_model::find_live(const core::request_id& id)
{
    const auto wanted = [&](const sequence& value) { return value.request.id == id; };
    const auto runs = std::find_if(this->running.begin(), this->running.end(), wanted);
    if (runs != this->running.end()) {
        return &*runs;
    }
    const auto waits = std::find_if(this->waiting.begin(), this->waiting.end(), wanted);
    return waits == this->waiting.end() ? nullptr : &*waits;
}

double engine_model::slow_factor(time_point at) const
{
    double factor = 1.0;
    for (const engine_fault& fault : this->faults) {
        const bool version_matches =
            fault.version.empty() || fault.version == this->configured.version;
        const bool loaded = this->running.size() >= fault.least_running;
        if (version_matches && loaded && fault.from <= at && at < fault.until) {
            factor *= fault.slow_factor;
        }
    }
    return factor;
}

double engine_model::failure_rate(const engine_request& request, time_point at) const
{
    double rate = 0.0;
    for (const engine_fault& fault : this->faults) {
        const bool version_matches =
            fault.version.empty() || fault.version == this->configured.version;
        const bool route_matches = fault.route.empty() || fault.route == request.route;
        const bool loaded = this->running.size() >= fault.least_running;
        if (version_matches && route_matches && loaded && fault.from <= at && at < fault.until) {
            rate = std::max(rate, fault.failure_rate);
        }
    }
    return rate;
}

} // namespace ragwortcove::standin
