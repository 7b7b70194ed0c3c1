#include "ragwortcove/core/platform_caller.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::core {

platform_caller::platform_caller(double calls_per_second, double max_burst)
    : rate{calls_per_second}, burst{max_burst}, tokens{max_burst}
{
}

call_id platform_caller::call(call_purpose purpose, platform_request&& request,
                              step_context& context)
{
    const call_id id{this->next_call++};
    this->queues[purpose].push_back(queued_call{id, std::move(request)});
    this->send_queued(context);
    return id;
}

bool platform_caller::withdraw(call_id call)
{
    for (auto& [purpose, queue] : this->queues) {
        const auto found = std::find_if(queue.begin(), queue.end(), [&](const queued_call& queued) {
            return queued.call == call;
        });
        if (found == queue.end())
            continue;
        queue.erase(found);
        return true;
    }
    return false;
}

call_purpose platform_caller::answered(call_id call)
{
    const auto found = this->sent.find(call);
    assert(found != this->sent.end() && "result of a call that was not sent");
    const call_purpose purpose = found->second;
    this->sent.erase(found);
    return purpose;
}

void platform_caller::send_queued(step_context& context)
{
    const std::chrono::duration<double> passed = context.now - this->filled_at;
    this->filled_at = context.now;
    this->tokens = std::min(this->burst, this->tokens + passed.count() * this->rate);
    for (auto& [purpose, queue] : this->queues) {
        while (!queue.empty() && this->tokens >= 1.0) {
            this->tokens -= 1.0;
            queued_call next = std::move(queue.front());
            queue.pop_front();
            this->sent[next.call] = purpose;
            context.effects.emplace_back(call_platform{next.call, std::move(next.request)});
        }
    }
}

void platform_caller::tick(step_context& context)
{
    this->send_queued(context);
}

static constexpr duration refill_margin = std::chrono::milliseconds{1};

time_point platform_caller::next_wakeup() const
{
    const bool waiting = std::any_of(this->queues.begin(), this->queues.end(),
                                     [](const auto& entry) { return !entry.second.empty(); });
    if (!waiting)
        return time_point::max();
    const std::chrono::duration<double> wait{std::max(0.0, 1.0 - this->tokens) / this->rate};
    return this->filled_at + std::chrono::duration_cast<duration>(wait) + refill_margin;
}

} // namespace ragwortcove::core
