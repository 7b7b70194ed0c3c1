#include "ragwortcove/standin/service_model.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::standin {

using core::duration;
using core::time_point;

service_model::service_model(const service_settings& settings, std::uint64_t seed)
    : configured(settings), random(seed)
{
}

void service_model::start(const service_call& call, service_stream stream, time_point now)
{
    this->catch_up(now);
    const bool full = this->waiting.size() >= this->configured.queue_limit;
    if (this->refusing || full || this->random.chance(this->faults.refusal_rate)) {
        this->untold.push_back(service_failed{stream, service_failure::not_run});
        return;
    }
    ++this->counted.dispatches[call.id];
    this->waiting.push_back({call, stream, true, {}});
    this->admit_waiting(std::max(now, this->paused_until));
}

void service_model::disconnect(service_stream stream)
{
    std::erase_if(this->waiting, [&](const open_call& open) { return open.stream == stream; });
    for (open_call& open : this->running) {
        if (open.stream == stream) {
            open.connected = false;
        }
    }
}

void service_model::advance(time_point now, std::vector<service_event>& events)
{
    if (now < this->paused_until) {
        return;
    }
    this->catch_up(now);
    events.insert(events.end(), this->untold.begin(), this->untold.end());
    this->untold.clear();
}

time_point service_model::next_event_at() const
{
    if (!this->untold.empty()) {
        return this->paused_until;
    }
    time_point next = time_point::max();
    for (const open_call& open : this->running) {
        next = std::min(next, open.done_at);
    }
    return std::max(next, this->paused_until);
}

bool service_model::live(const core::request_id& id) const
{
    const auto wanted = [&](const open_call& open) { return open.call.id == id; };
    return std::any_of(this->running.begin(), this->running.end(), wanted) ||
           std::any_of(this->waiting.begin(), this->waiting.end(), wanted);
}

void service_model::silence_connections()
{
    const auto silence = [](open_call& open) { open.connected = false; };
    std::for_each(this->running.begin(), this->running.end(), silence);
    std::for_each(this->waiting.begin(), this->waiting.end(), silence);
}

void service_model::pause(time_point until)
{
    this->paused_until = std::max(this->paused_until, until);
}

void service_model::crash(time_point now, bool connections_break)
{
    this->catch_up(now);
    this->untold.clear();
    const auto lose = [&](const open_call& open) {
        if (connections_break && open.connected) {
            this->untold.push_back(service_failed{open.stream, service_failure::connection_lost});
        }
    };
    std::for_each(this->running.begin(), this->running.end(), lose);
    std::for_each(this->waiting.begin(), this->waiting.end(), lose);
    this->running.clear();
    this->waiting.clear();
    this->paused_until = time_point::min();
}

void service_model::catch_up(time_point now)
{
    if (now < this->paused_until) {
        return;
    }
    const auto earlier = [](const open_call& left, const open_call& right) {
        return left.done_at < right.done_at;
    };
    while (!this->running.empty()) {
        const auto first = std::min_element(this->running.begin(), this->running.end(), earlier);
        const time_point at = std::max(first->done_at, this->paused_until);
        if (at > now) {
            break;
        }
        const open_call done = *first;
        this->running.erase(first);
        this->end_call(done);
        this->admit_waiting(at);
    }
}

void service_model::admit_waiting(time_point at)
{
    while (this->running.size() < this->configured.slots && !this->waiting.empty()) {
        open_call admitted = this->waiting.front();
        this->waiting.pop_front();
        const duration drawn = this->random.between(this->configured.least_service_time,
                                                    this->configured.most_service_time);
        const double slowed = static_cast<double>(drawn.count()) * this->faults.slow_factor;
        admitted.done_at = at + duration{std::llround(slowed)};
        this->running.push_back(admitted);
    }
}

void service_model::end_call(const open_call& done)
{
    if (this->random.chance(this->faults.failure_rate)) {
        if (done.connected) {
            this->untold.push_back(service_failed{done.stream, service_failure::error_answer});
        }
        return;
    }
    this->count_run(done.call);
    if (!done.connected || this->random.chance(this->faults.silent_rate)) {
        return;
    }
    if (this->random.chance(this->faults.lost_answer_rate)) {
        this->untold.push_back(service_failed{done.stream, service_failure::connection_lost});
        return;
    }
    this->untold.push_back(service_answered{done.stream, this->configured.answer_bytes});
}

void service_model::count_run(const service_call& call)
{
    ++this->counted.runs;
    if (!call.key.empty()) {
        ++this->counted.runs_by_key[call.key];
    }
}

} // namespace ragwortcove::standin
