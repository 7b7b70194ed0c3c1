// Reports, orders and KV transfer of the engine model; its batching is in engine_model.cpp.
#include "ragwortcove/standin/engine_model.hpp"

#include <algorithm>

namespace ragwortcove::standin {

using core::time_point;

/// Cache events that an engine remembers; older ones show as a gap.
static constexpr std::size_t cache_history_limit = 1024;

engine_request_status engine_model::status(const core::request_id& id) const
{
    if (const sequence* live = this->find_live(id)) {
        const bool runs = live->has_kv;
        return {runs ? engine_request_state::running : engine_request_state::waiting,
                live->produced};
    }
    const auto known = this->ended.find(id);
    if (known == this->ended.end()) {
        return {};
    }
    return {engine_request_state::finished, known->second.last.produced};
}

bool engine_model::live(const core::request_id& id) const
{
    return this->find_live(id) != nullptr;
}

const engine_model::sequence* engine_model::find_live(const core::request_id& id) const
{
    const auto wanted = [&](const sequence& value) { return value.request.id == id; };
    const auto runs = std::find_if(this->running.begin(), this->running.end(), wanted);
    if (runs != this->running.end()) {
        return &*runs;
    }
    const auto waits = std::find_if(this->waiting.begin(), this->waiting.end(), wanted);
    return waits == this->waiting.end() ? nullptr : &*waits;
}

engine_load engine_model::load(time_point now) const
{
    const time_point shown = now - this->configured.report_lag;
    engine_load report{0, 0, this->configured.report_lag};
    for (const load_sample& sample : this->samples) {
        if (sample.at > shown) {
            break;
        }
        report.running = sample.running;
        report.waiting = sample.waiting;
    }
    return report;
}

void engine_model::sample_load(time_point at)
{
    const auto running_now = static_cast<std::uint32_t>(this->running.size());
    const auto waiting_now = static_cast<std::uint32_t>(this->waiting.size());
    if (!this->samples.empty() && this->samples.back().running == running_now &&
        this->samples.back().waiting == waiting_now) {
        return;
    }
    this->samples.push_back({at, running_now, waiting_now});
    const time_point shown = at - this->configured.report_lag;
    while (this->samples.size() > 1 && this->samples[1].at <= shown) {
        this->samples.pop_front();
    }
}

std::vector<engine_cache_event> engine_model::cache_events(std::uint64_t after,
                                                           time_point now) const
{
    std::vector<engine_cache_event> visible;
    for (const stamped_cache_event& stamped : this->cache_history) {
        if (stamped.visible_at > now) {
            break;
        }
        if (stamped.change.sequence > after) {
            visible.push_back(stamped.change);
        }
    }
    return visible;
}

void engine_model::finish_prefill(const sequence& stepped, time_point at)
{
    cache_change change = this->cache.insert(stepped.request.prefix);
    if (change.added.empty() && change.removed.empty()) {
        return;
    }
    ++this->cache_sequence;
    if (this->random.chance(this->configured.cache_event_loss)) {
        return;
    }
    this->cache_history.push_back(
        {at + this->configured.cache_event_lag,
         {this->cache_sequence, std::move(change.added), std::move(change.removed)}});
    if (this->cache_history.size() > cache_history_limit) {
        this->cache_history.pop_front();
    }
}

std::optional<kv_snapshot> engine_model::export_kv(const core::request_id& id, time_point now)
{
    this->catch_up(now);
    const sequence* live = this->find_live(id);
    if (live == nullptr) {
        return std::nullopt;
    }
    kv_snapshot snapshot{live->request, live->cached_tokens, live->prefilled_tokens,
                         live->prefill_left, live->produced};
    const auto exported = [&](const sequence& value) { return value.request.id == id; };
    std::erase_if(this->running, exported);
    std::erase_if(this->waiting, exported);
    return snapshot;
}

void engine_model::import_kv(const kv_snapshot& snapshot, engine_stream stream, time_point now)
{
    this->catch_up(now);
    sequence arrived;
    arrived.request = snapshot.request;
    arrived.stream = stream;
    arrived.has_kv = snapshot.prefilled_tokens > 0;
    arrived.cached_tokens = snapshot.cached_tokens;
    arrived.prefilled_tokens = snapshot.prefilled_tokens;
    arrived.prefill_left = snapshot.prefill_left;
    arrived.produced = snapshot.produced;
    arrived.told = snapshot.produced;
    this->enqueue(std::move(arrived), now);
}

engine_order_result engine_model::order(const engine_order& given, time_point now)
{
    this->catch_up(now);
    this->settle_version(now);
    if (this->configured.checks_fencing && given.fencing < this->highest_fencing) {
        return {true, this->configured.version};
    }
    this->highest_fencing = std::max(this->highest_fencing, given.fencing);
    const bool serves = !this->loaded_at && given.version == this->configured.version;
    const bool loads = this->loaded_at && given.version == this->loading;
    if (!serves && !loads) {
        this->configured.target = given.target;
        this->loading = given.version;
        this->loaded_at = now + this->configured.load_time;
    }
    return {false, this->configured.version};
}

core::version_name engine_model::serving(time_point now) const
{
    const bool loaded = this->loaded_at && *this->loaded_at <= now;
    return loaded ? this->loading : this->configured.version;
}

void engine_model::settle_version(time_point at)
{
    if (!this->loaded_at || *this->loaded_at > at) {
        return;
    }
    this->configured.version = this->loading;
    this->loaded_at.reset();
}

} // namespace ragwortcove::standin
