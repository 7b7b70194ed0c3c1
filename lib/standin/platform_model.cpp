#include "ragwortcove/standin/platform_model.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace ragwortcove::standin {

using core::duration;
using core::revision;
using core::time_point;

static constexpr double microseconds_per_second = 1e6;

token_bucket::token_bucket(double per_second) : rate(per_second), tokens(per_second) {}

std::optional<duration> token_bucket::take_or_wait(time_point now)
{
    const double passed = static_cast<double>((now - this->filled_at).count());
    this->tokens =
        std::min(this->rate, this->tokens + passed * this->rate / microseconds_per_second);
    this->filled_at = now;
    if (this->tokens < 1.0) {
        const double missing = (1.0 - this->tokens) * microseconds_per_second / this->rate;
        return duration{std::llround(std::ceil(missing))};
    }
    this->tokens -= 1.0;
    return std::nullopt;
}

static bool is_write(const core::platform_request& request)
{
    return std::holds_alternative<core::platform_put>(request) ||
           std::holds_alternative<core::platform_delete>(request);
}

platform_model::platform_model(const platform_settings& settings, std::uint64_t seed)
    : configured(settings), random(seed), reads(settings.reads_per_second),
      writes(settings.writes_per_second)
{
}

platform_reply platform_model::call(const core::platform_request& request, time_point now)
{
    if (this->faults.down) {
        return {};
    }
    const double slowed =
        static_cast<double>(this->configured.answer_time.count()) * this->faults.slow_factor;
    platform_reply reply{this->carry_out(request, now), duration{std::llround(slowed)}};
    if (this->random.chance(this->faults.lost_answer_rate)) {
        reply.result.reset();
    }
    return reply;
}

core::platform_result platform_model::carry_out(const core::platform_request& request,
                                                time_point now)
{
    const bool write = is_write(request);
    token_bucket& bucket = write ? this->writes : this->reads;
    if (const auto wait = bucket.take_or_wait(now)) {
        ++this->counted.throttled;
        return core::platform_throttled{*wait};
    }
    ++(write ? this->counted.writes : this->counted.reads);
    if (const auto* asked = std::get_if<core::platform_get>(&request)) {
        return this->get(*asked);
    }
    if (const auto* asked = std::get_if<core::platform_put>(&request)) {
        return this->put(*asked);
    }
    if (const auto* asked = std::get_if<core::platform_delete>(&request)) {
        return this->remove(*asked);
    }
    return this->list();
}

core::platform_result platform_model::get(const core::platform_get& request) const
{
    const auto found = this->objects.find(request.key);
    if (found == this->objects.end()) {
        return core::platform_missing{};
    }
    return core::platform_found{found->second.value, found->second.change_id};
}

core::platform_result platform_model::list() const
{
    core::platform_listed listed{this->configured.store, this->latest, {}};
    for (const auto& [key, stored] : this->objects) {
        if (key.kind != core::object_kind::claim) {
            listed.objects.push_back(stored.value);
        }
    }
    return listed;
}

core::platform_result platform_model::put(const core::platform_put& request)
{
    const core::object_key& key = request.value.key;
    if (key.name.empty()) {
        return core::platform_rejected{"the object has no name"};
    }
    if (auto conflict = this->find_conflict(key, request.expected)) {
        return *std::move(conflict);
    }
    stored_object stored{request.value, request.change_id};
    stored.value.written_at = this->next_revision(key.kind);
    this->record({stored.value.written_at, key, stored.value});
    const revision at = stored.value.written_at;
    this->objects.insert_or_assign(key, std::move(stored));
    this->removed_by.erase(key);
    return core::platform_written{at};
}

core::platform_result platform_model::remove(const core::platform_delete& request)
{
    if (auto conflict = this->find_conflict(request.key, request.expected)) {
        return *std::move(conflict);
    }
    if (this->objects.erase(request.key) == 0) {
        return core::platform_missing{};
    }
    const revision at = this->next_revision(request.key.kind);
    this->record({at, request.key, std::nullopt});
    this->removed_by[request.key] = request.change_id;
    return core::platform_written{at};
}

std::optional<core::platform_conflict> platform_model::find_conflict(const core::object_key& key,
                                                                     revision expected) const
{
    const auto found = this->objects.find(key);
    if (found != this->objects.end()) {
        if (found->second.value.written_at == expected) {
            return std::nullopt;
        }
        return core::platform_conflict{found->second.value, found->second.change_id};
    }
    if (expected == revision{}) {
        return std::nullopt;
    }
    const auto removal = this->removed_by.find(key);
    return core::platform_conflict{
        std::nullopt, removal == this->removed_by.end() ? std::string{} : removal->second};
}

revision platform_model::next_revision(core::object_kind kind)
{
    revision& counter = kind == core::object_kind::claim ? this->latest_claim : this->latest;
    ++counter.value;
    return counter;
}

void platform_model::record(change&& made)
{
    if (made.key.kind == core::object_kind::claim) {
        return;
    }
    this->history.push_back(std::move(made));
    if (this->history.size() > this->configured.history_limit) {
        this->history.pop_front();
    }
}

bool platform_model::covers(revision after) const
{
    if (after > this->latest) {
        return false;
    }
    return after == this->latest ||
           (!this->history.empty() && this->history.front().at.value <= after.value + 1);
}

watch_reply platform_model::open_watch(revision after, time_point now)
{
    if (this->faults.down) {
        return watch_unreachable{};
    }
    if (const auto wait = this->reads.take_or_wait(now)) {
        ++this->counted.throttled;
        return watch_throttled{*wait};
    }
    ++this->counted.watches;
    if (!this->covers(after)) {
        return watch_gone{};
    }
    ++this->last_watch.value;
    this->watches[this->last_watch] = {after, false};
    return watch_opened{this->last_watch};
}

void platform_model::close_watch(watch_id watch)
{
    this->watches.erase(watch);
}

std::vector<watch_id> platform_model::watches_with_changes() const
{
    std::vector<watch_id> ready;
    for (const auto& [watch, state] : this->watches) {
        if (!state.silent && !this->faults.down && state.taken < this->latest) {
            ready.push_back(watch);
        }
    }
    return ready;
}

std::optional<core::feed_delta> platform_model::take_changes(watch_id watch)
{
    const auto found = this->watches.find(watch);
    assert(found != this->watches.end() && "changes are taken from an open watch");
    if (!this->covers(found->second.taken)) {
        this->watches.erase(found);
        return std::nullopt;
    }
    core::feed_delta delta{this->configured.store, found->second.taken, this->latest, {}, {}};
    for (const change& made : this->history) {
        if (made.at <= delta.after) {
            continue;
        }
        if (made.value) {
            delta.changed.push_back(*made.value);
            continue;
        }
        delta.removed.push_back({made.key, made.at});
    }
    found->second.taken = this->latest;
    return delta;
}

void platform_model::silence_watches()
{
    for (auto& [watch, state] : this->watches) {
        state.silent = true;
    }
}

} // namespace ragwortcove::standin
