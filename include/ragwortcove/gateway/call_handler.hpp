/// \file
/// Holds callers' requests from arrival to their one final answer.
#pragma once

#include "platform/headers.hpp"
#include "ragwortcove/core/call_policy.hpp"
#include "ragwortcove/core/caller_timeouts.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/repeat_budget.hpp"
#include "ragwortcove/core/ruleset.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"
#include "ragwortcove/gateway/gateway_metrics.hpp"
#include "ragwortcove/gateway/open_call.hpp"
#include "ragwortcove/gateway/placement_service.hpp"
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

/// What a call handler works with but does not own.
struct call_surroundings {
    http::loop& on;
    http::inbound_server& callers;
    http::outbound_client& upstreams;
    placement_service& placement;
    core::repeat_budget& repeats;
    gateway_metrics& figures;
    core::failure_domain_name failure_domain;
    std::function<std::shared_ptr<const core::rule_index>()> rules;
    std::function<const core::announced_upstream*(const core::upstream_name&)> find_upstream;
    std::function<std::size_t()> serving_nodes;
};

class call_handler {
public:
    explicit call_handler(call_surroundings&& around);
    ~call_handler();
    call_handler(const call_handler&) = delete;
    call_handler& operator=(const call_handler&) = delete;

    void take(http::inbound_exchange exchange, http::inbound_request&& request);
    void caller_left(http::inbound_exchange exchange);
    /// From now on new requests are refused: the process is about to end.
    void refuse_new() { this->refusing = true; }
    [[nodiscard]] std::size_t open_calls() const { return this->calls.size(); }

private:
    [[nodiscard]] core::time_point now() const { return core::time_point{this->env.on.now()}; }
    [[nodiscard]] open_call* find(http::inbound_exchange exchange);
    [[nodiscard]] bool admit(open_call& call);
    void choose_target(open_call& call);
    void ask_quota(open_call& call);
    void quota_answered(http::inbound_exchange exchange, const core::quota_answer& answer);
    void place(open_call& call);
    [[nodiscard]] core::placement_ask make_ask(const open_call& call);
    void placed(http::inbound_exchange exchange, placement_number number,
                const core::placement_answer& answer);
    void granted(open_call& call, const core::placement_grant& grant);
    void denied(open_call& call, const core::placement_denial& denial);
    void send(open_call& call, const core::announced_upstream& upstream);
    void arm_silence(open_call& call);

    void headed(http::inbound_exchange exchange, http::status_line_and_headers&& head);
    void body_came(http::inbound_exchange exchange, std::string_view bytes);
    void take_events(open_call& call);
    void begin_stream(open_call& call);
    void complete(http::inbound_exchange exchange);
    void complete_stream(open_call& call);
    void failed(http::inbound_exchange exchange, http::outbound_failure why);
    void silent(http::inbound_exchange exchange);
    void time_up(http::inbound_exchange exchange);
    void after_dispatch(open_call& call, core::dispatch_end end);

    void release(open_call& call, core::placement_outcome outcome);
    void pass_answer(open_call& call);
    void refuse(open_call& call, int status, std::string_view reason, core::duration retry_after);
    void fail(open_call& call, int status, std::string_view reason);
    void cut(open_call& call, std::string_view reason);
    void end(open_call& call);
    [[nodiscard]] bool is_streaming(const open_call& call) const;

    call_surroundings env;
    std::map<http::inbound_exchange, open_call> calls;
    /// Upstreams that this node could not connect to lately.
    std::map<core::upstream_name, core::time_point> unreachable;
    core::caller_timeouts callers_times;
    core::random_engine random;
    bool refusing = false;
};

} // namespace ragwortcove::gateway
