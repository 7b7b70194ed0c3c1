/// \file
/// Handles callers' requests from arrival until each has had exactly one final response.
#pragma once

#include "platform/headers.hpp"
#include "ragwortcove/core/call_policy.hpp"
#include "ragwortcove/core/caller_timeouts.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/repeat_budget.hpp"
#include "ragwortcove/core/response_times.hpp"
#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"
#include "ragwortcove/gateway/gateway_metrics.hpp"
#include "ragwortcove/gateway/open_call.hpp"
#include "ragwortcove/gateway/part_guard.hpp"
#include "ragwortcove/gateway/placement_service.hpp"
#include "ragwortcove/gateway/rollout_service.hpp"
#include "ragwortcove/http/inbound.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/outbound.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::gateway {

/// Objects and functions that a call handler uses but does not own.
struct call_dependencies {
    http::loop& event_loop;
    http::inbound_server& callers;
    http::outbound_client& upstreams;
    placement_service& placement;
    /// Bounds the repeats: dispatches by which a request would arrive at an upstream a second time.
    core::repeat_budget& repeats;
    gateway_metrics& metrics;
    core::failure_domain_name failure_domain;
    std::function<std::shared_ptr<const core::rule_index>()> rules;
    std::function<const core::announced_upstream*(const core::upstream_name&)> find_upstream;
    /// Number of nodes that share the repeats' allowance, as `core::fleet_view`.
    std::function<std::size_t()> known_node_count;
    /// Decides which version of a target gets a request.
    rollout_service& rollouts;
    /// Decides which requests are held back for a part of their prompts.
    part_guard& parts;
    /// Takes that a process of an upstream has said in a response that it leaves.
    std::function<void(const core::upstream_process&)> upstream_leaves;
    /// Whether the operator has ordered that upstreams of a failure domain get no requests.
    std::function<bool(const core::failure_domain_name&)> is_drained;
};

class call_handler {
public:
    explicit call_handler(call_dependencies&& dependencies);
    ~call_handler();
    call_handler(const call_handler&) = delete;
    call_handler& operator=(const call_handler&) = delete;

    void handle_request(http::inbound_exchange exchange, http::inbound_request&& request);
    void on_caller_disconnected(http::inbound_exchange exchange);
    /// Logs and counts that this node closes a caller's connection out of order.
    void on_connection_closing(const http::connection_closing& closing);
    /// Ends every open call as at its deadline, since the process is about to be killed.
    void end_all_calls();
    /// Refuses requests from now on that cannot be answered before `end`, when all open calls are
    /// ended.
    void begin_shutdown(core::time_point end) { this->calls_end_at = end; }
    /// Refuses every later request, since the process is about to end.
    void refuse_new_requests() { this->refusing_new_requests = true; }
    [[nodiscard]] std::size_t open_calls() const { return this->calls.size(); }
    /// Memory of the parts of responses that wait for their end, in bytes.
    [[nodiscard]] std::size_t response_memory() const { return this->held_response_bytes; }

private:
    [[nodiscard]] core::time_point now() const
    {
        return core::time_point{this->env.event_loop.now()};
    }
    [[nodiscard]] open_call* find(http::inbound_exchange exchange);
    [[nodiscard]] bool admit(open_call& call);
    /// Whether the request can hardly be answered before this process ends its calls.
    [[nodiscard]] bool is_too_late(const open_call& call) const;
    void refuse_for_shutdown(open_call& call);
    void choose_target(open_call& call);
    void request_quota(open_call& call);
    void on_quota_decision(http::inbound_exchange exchange, const core::quota_decision& decision);
    /// Chooses the version that may get the request, and places it there.
    void place(open_call& call);
    void place_in_pool(open_call& call, core::target_name&& pool);
    /// The strictest admission of the request's parts. One that may be sent as the trial of a part
    /// needs no permission for others that need a trial, too.
    [[nodiscard]] core::part_decision decide_parts(const open_call& call) const;
    /// Keeps a request from all upstreams for now, for a part of its prompt.
    void hold_back(open_call& call, const core::part_decision& decision);
    /// Whether a granted request may be sent. If a trial is to be permitted first, the answer
    /// comes to `on_trial_decision`.
    [[nodiscard]] bool may_send(open_call& call, placement_number number,
                                const core::placement_grant& grant);
    void on_trial_decision(http::inbound_exchange exchange, placement_number number,
                           const core::placement_grant& grant, core::part_id part, bool permitted);
    /// Takes the permission for a trial from a request, and gives back a trial that has shown
    /// nothing.
    void end_trial(open_call& call, std::string_view reason);
    /// Gives up a trial that an upstream may have begun: it may still end on the request.
    void give_up_trial(open_call& call);
    /// Tells the guard of parts that the connection was lost while the request waited on it. If so,
    /// `on_fate_known` is called later.
    bool report_lost_connection(open_call& call);
    /// Whether the request is placed only once it is known if another one's upstream has ended.
    [[nodiscard]] bool must_wait_for_fate(open_call& call);
    void on_fate_known(http::inbound_exchange exchange);
    /// Tells the guard of parts that the upstream responds and has not ended.
    void report_response(open_call& call);
    /// The same for a response that has come to its end.
    void report_complete_response(open_call& call);
    [[nodiscard]] core::placement_request make_placement_request(const open_call& call);
    /// Upstreams that no request of this node is to be placed on now.
    [[nodiscard]] std::vector<core::upstream_name> avoided_upstreams(core::time_point at);
    void limit_to_canaries(core::placement_request& request, const open_call& call) const;
    void on_placement_response(http::inbound_exchange exchange, placement_number number,
                               const core::placement_response& response);
    void on_granted(open_call& call, placement_number number, const core::placement_grant& grant);
    void on_denied(open_call& call, const core::placement_denial& denial);
    void send_to_upstream(open_call& call, const core::announced_upstream& upstream);
    void arm_idle_timer(open_call& call);
    /// Counts bytes of a request or a response that pass between failure domains.
    void count_bytes_between_domains(const open_call& call, std::size_t bytes);
    /// Whether the active dispatch may give way to one at another upstream.
    [[nodiscard]] bool may_replace(open_call& call);
    /// Requests a slot at another upstream, while the silent one keeps the request.
    void seek_replacement(open_call& call);
    void withdraw_waiting(open_call& call);
    [[nodiscard]] bool take_from_silent(open_call& call);
    void on_upstream_progress(open_call& call);

    void on_response_head(http::inbound_exchange exchange, http::status_line_and_headers&& head);
    /// Records that the upstream of the active dispatch has said that it leaves.
    void on_upstream_leaves(const dispatch& active_dispatch);
    /// Records what a response states of the upstream of the active dispatch.
    void note_statements(const open_call& call, const adapter::response_facts& facts);
    /// Records that the upstream of the active dispatch wants nothing from this node for a while.
    void on_upstream_pauses(const open_call& call, core::duration stated);
    /// Cancels the active dispatch, and keeps the pause that an unread refusal asks for.
    void give_up_dispatch(open_call& call);
    /// Sends nothing to an upstream for a moment that nobody can connect to.
    void avoid_unreachable(const core::upstream_name& upstream);
    /// Drops a response to another request, and waits for the one to this request.
    void skip_misplaced_response(const open_call& call, int status);
    [[nodiscard]] bool is_paused(const core::announced_upstream& upstream, core::time_point at);
    /// Time after which a request to a target whose upstreams pause may come again; unset when none
    /// pauses. Spread, so that the requests do not all come at once.
    [[nodiscard]] std::optional<core::duration> retry_after_pause(const core::target_name& target);
    /// The time `after` plus a random part, so that requests refused together do not come again at
    /// the same moment.
    [[nodiscard]] core::duration spread_retry(core::duration after);
    /// When the caller of a denied request is told to come back: when a slot is likely, as far as
    /// the caller honours that.
    [[nodiscard]] core::duration retry_after_denial(const open_call& call,
                                                    const core::placement_denial& denial);
    void on_response_body(http::inbound_exchange exchange, std::string_view bytes);
    void forward_events(open_call& call);
    void end_too_long_responses(open_call& received);
    void end_too_long_response(open_call& call, std::string_view bound, std::size_t bytes);
    void begin_stream(open_call& call);
    void on_response_complete(http::inbound_exchange exchange);
    void complete_stream(open_call& call);
    void on_dispatch_failed(http::inbound_exchange exchange, http::outbound_failure failure);
    void on_idle_timeout(http::inbound_exchange exchange);
    void on_deadline(http::inbound_exchange exchange);
    void handle_failed_dispatch(open_call& call, core::dispatch_end end);
    /// Spends the budget of repeats on the next dispatch; false when it is used up. What is spent
    /// on one that reaches no upstream is given back when the call ends.
    [[nodiscard]] bool spend_repeat(open_call& call);
    /// Records that the active dispatch has failed, and releases its slot.
    void record_failure(open_call& call, core::dispatch_end end);
    void log_failure(const open_call& call, core::dispatch_end end, bool budget_left, bool again);

    void observe(const open_call& call, core::rollout_observation::event_kind kind,
                 core::duration time = {});
    /// Observes the first event of a stream, and its pace once there are enough events.
    void observe_event(const open_call& call);
    void observe_end(open_call& call, core::placement_outcome outcome);

    void release_placement(open_call& call, core::placement_outcome outcome);
    /// Learns how long the response took.
    void record_response_time(const open_call& call);
    void forward_response(open_call& call);
    /// What a caller is told that gets no complete response; the call's history selects one.
    struct ending {
        /// While the request has not run.
        std::string_view refusal;
        core::duration retry_after{0};
        /// Once it may have run.
        int failure_status = 0;
        std::string_view failure;
        /// Once its response has begun; only for the log.
        std::string_view cut;
    };
    void end_without_response(open_call& call, const ending& why);
    /// Ends a call that no upstream can take, unless a silent one still has it.
    void on_unplaced(open_call& call, std::string_view reason, core::duration retry_after);
    void refuse(open_call& call, int status, std::string_view reason, core::duration retry_after);
    void fail(open_call& call, int status, std::string_view reason);
    void abort_response(open_call& call, std::string_view reason);
    void end_call(open_call& call);
    [[nodiscard]] bool is_streaming(const open_call& call) const;

    call_dependencies env;
    /// Memory of the parts of responses that wait for their end, of all requests.
    std::size_t held_response_bytes = 0;
    std::map<http::inbound_exchange, open_call> calls;
    /// Upstreams that this node recently failed to connect to, and when each may be tried again.
    std::map<core::upstream_name, core::time_point> unreachable_until;
    /// An upstream that has turned a request of this node away for some time.
    struct upstream_pause {
        core::time_point until;
        core::target_name target;
        /// Start of the process that pauses.
        std::int64_t started_at = 0;
    };
    std::map<core::upstream_name, upstream_pause> pauses;
    /// Upstreams that have told this node that they leave, each with the start of its process.
    std::map<core::upstream_name, std::int64_t> leaving;
    core::caller_timeouts timeouts;
    core::response_times usual_times;
    /// When all open calls are ended; `time_point::max()` until a shutdown begins.
    core::time_point calls_end_at = core::time_point::max();
    core::random_engine random;
    bool refusing_new_requests = false;
};

} // namespace ragwortcove::gateway
