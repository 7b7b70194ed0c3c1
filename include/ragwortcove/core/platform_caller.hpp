/// \file
/// Sends calls to the platform within this node's rate limit, the urgent ones first.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/platform_call.hpp"
#include "ragwortcove/core/types.hpp"

#include <deque>
#include <map>

namespace ragwortcove::core {

/// Purpose of a call; calls of a lower value are sent first.
enum class call_purpose { claim, move_status, lease, configuration };

/// Token bucket over all calls, with a queue for each purpose.
class platform_caller {
public:
    platform_caller(double calls_per_second, double burst);

    /// Queues a call and sends it when the token bucket allows.
    call_id call(call_purpose purpose, platform_request&& request, step_context& context);
    /// Removes a call that has not been sent; returns whether it was removed.
    bool withdraw(call_id call);
    /// Records that a call that was sent has its result; returns the call's purpose.
    [[nodiscard]] call_purpose answered(call_id call);
    /// Whether the call was sent and has no result yet.
    [[nodiscard]] bool is_awaiting(call_id call) const { return this->sent.contains(call); }
    void tick(step_context& context);
    [[nodiscard]] time_point next_wakeup() const;

private:
    struct queued_call {
        call_id call;
        platform_request request;
    };
    void send_queued(step_context& context);

    double rate;
    double burst;
    double tokens;
    time_point filled_at;
    std::uint64_t next_call = 1;
    std::map<call_purpose, std::deque<queued_call>> queues;
    std::map<call_id, call_purpose> sent;
};

} // namespace ragwortcove::core
