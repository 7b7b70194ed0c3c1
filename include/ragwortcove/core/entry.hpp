/// \file
/// Handles callers' requests from arrival to their one final response.
#pragma once

#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/cell_owners.hpp"
#include "ragwortcove/core/cell_view.hpp"
#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/dispatch_ledger.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/key_registry.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/move_watch.hpp"
#include "ragwortcove/core/open_request.hpp"
#include "ragwortcove/core/output_estimate.hpp"
#include "ragwortcove/core/placement_policy.hpp"
#include "ragwortcove/core/platform_caller.hpp"
#include "ragwortcove/core/retry_budget.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace ragwortcove::core {

/// Modules that an entry uses but does not own.
struct entry_dependencies {
    const node_settings& self;
    const configuration& config;
    const cell_map& cells;
    const membership& members;
    const cell_owners& owners;
    cell_view& view;
    platform_caller& platform;
    move_watch& moves;
};

/// Entry of a node. Guarantees that a request runs at most once unless it may be repeated, that a
/// refusal states correctly whether the request may have run, and that a response that is not
/// complete is never reported as complete.
class entry {
public:
    entry(const entry_dependencies& dependencies, const placement_policy& policy)
        : env{dependencies}, direct{policy}
    {
    }

    void on_request_arrived(const request_arrived& message, step_context& context);
    void on_caller_gone(const caller_gone& message, step_context& context);

    void on_upstream_accepted(const upstream_accepted& message, step_context& context);
    void on_upstream_progress(const upstream_progress& message, step_context& context);
    void on_upstream_finished(const upstream_finished& message, step_context& context);
    void on_upstream_failed(const upstream_failed& message, step_context& context);

    void on_permit_granted(const node_name& from, const permit_grant& message,
                           step_context& context);
    void on_permit_denied(const node_name& from, const permit_denial& message,
                          step_context& context);
    void on_key_query(const node_name& from, incarnation run, const key_query& message,
                      step_context& context);
    void on_key_response(const key_response& message, step_context& context);
    /// Handles the result of a platform call; returns false when the call did not concern a claim.
    bool on_claim_response(call_id call, const platform_result& result, step_context& context);

    /// Handles a change of cell owners: sends waiting permit requests to the new owners and reports
    /// to them the permits in use.
    void on_owners_changed(step_context& context);
    /// Reports every permit in use to its owner, since the owner may have released the permit.
    void report_all_permits(step_context& context);
    /// Places waiting requests of a new version that gets no more traffic on the old version
    /// instead.
    void leave_halted_versions(step_context& context);
    /// Refuses requests that arrive at `refuse_from` or later.
    void begin_drain(time_point refuse_from);
    /// Uses no permit before `until`, since the state of this node may be out of date.
    void suspend_dispatch_until(time_point until) { this->dispatch_suspended_until = until; }
    /// Records a load report, for placement without owners.
    void on_load_reported(const load_reported& message) { this->direct.on_load_report(message); }

    void tick(step_context& context);
    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] std::size_t open_count() const { return this->requests.size(); }

private:
    using request_map = std::map<exchange_id, open_request>;

    // entry.cpp: arrival, end and timers.
    void set_wakeup(open_request& request, time_point at);
    void refuse(open_request& request, refusal_reason reason, duration retry_after,
                step_context& context);
    void end_request(open_request& request, bool may_have_run, step_context& context);
    void on_deadline_passed(open_request& request, step_context& context);
    [[nodiscard]] open_request* find_request(const request_id& id);
    [[nodiscard]] open_request* find_attempt(attempt_id attempt);

    // entry_keys.cpp: idempotency keys.
    void refuse_key(open_request& request, refusal_reason reason, step_context& context);
    void check_key(open_request& request, step_context& context);
    void check_ticket(open_request& request, const ticket& key_ticket, step_context& context);
    void use_registered_key(open_request& request, step_context& context);
    void claim_key(open_request& request, step_context& context);
    void read_claim(open_request& request, step_context& context);
    void on_claim_found(open_request& request, const object& value, const std::string& change_id,
                        step_context& context);
    void release_key(open_request& request, bool may_have_run, step_context& context);

    // entry_placement.cpp: cells, permits and retries.
    void place(open_request& request, step_context& context);
    void place_direct(open_request& request, step_context& context);
    void poll_loads(step_context& context);
    void request_permit(open_request& request, step_context& context);
    void withdraw_permit_request(open_request& request, step_context& context);
    void report_permit(open_request& request, step_context& context);
    void choose_version(open_request& request, step_context& context);
    void fall_back_to_old_version(open_request& request);
    [[nodiscard]] bool may_use(const open_request& request, const upstream_spec& upstream,
                               const step_context& context) const;
    void retry(open_request& request, refusal_reason reason_if_refused, step_context& context);

    // entry_attempts.cpp: dispatch, resumption and responses.
    void dispatch(open_request& request, const upstream_name& upstream, std::uint32_t cached_tokens,
                  step_context& context);
    void start_attempt(open_request& request, attempt_mode mode, step_context& context);
    void on_first_part(open_request& request, step_context& context);
    void release_permit(open_request& request, attempt_outcome outcome, step_context& context);
    void on_attempt_failed(open_request& request, upstream_failure failure, step_context& context);
    void resume(open_request& request, upstream_failure failure, step_context& context);
    void repeat_or_refuse(open_request& request, upstream_failure failure, step_context& context);

    entry_dependencies env;
    request_map requests;
    std::map<request_id, exchange_id> by_request;
    std::map<attempt_id, exchange_id> by_attempt;
    std::map<call_id, exchange_id> by_call;
    std::set<std::pair<time_point, exchange_id>> timers;
    dispatch_ledger ledger;
    key_registry keys;
    retry_budget retries;
    output_estimate outputs;
    direct_placement direct;
    time_point next_poll;
    std::uint64_t next_request = 1;
    std::uint64_t next_attempt = 1;
    time_point refuse_from = time_point::max();
    time_point dispatch_suspended_until;
};

} // namespace ragwortcove::core
