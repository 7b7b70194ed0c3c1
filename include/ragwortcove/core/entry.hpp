/// \file
/// Holds callers' requests from arrival to their one final answer.
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

/// What an entry looks at but does not own.
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

/// Entry: at most once, true refusals and the whole answer are kept here.
class entry {
public:
    entry(const entry_dependencies& around, const placement_policy& policy)
        : env{around}, direct{policy}
    {
    }

    void arrive(const request_arrived& message, step_context& context);
    void caller_left(const caller_gone& message, step_context& context);

    void accepted(const upstream_accepted& message, step_context& context);
    void progressed(const upstream_progress& message, step_context& context);
    void finished(const upstream_finished& message, step_context& context);
    void failed(const upstream_failed& message, step_context& context);

    void granted(const node_name& from, const permit_grant& message, step_context& context);
    void denied(const node_name& from, const permit_denial& message, step_context& context);
    void key_asked(const node_name& from, incarnation run, const key_query& message,
                   step_context& context);
    void key_answered(const key_response& message, step_context& context);
    /// Takes the answer of a claim's call; tells whether the call was one.
    bool claim_answered(call_id call, const platform_result& result, step_context& context);

    /// Owners of cells may have changed: asks new owners, and tells them of permits held.
    void owners_changed(step_context& context);
    /// Tells every owner of every permit held, since an owner may have taken them back.
    void report_all(step_context& context);
    /// Places requests that wait for a version which gets no more anew on the old version.
    void leave_stopped_versions(step_context& context);
    void begin_drain(time_point refuse_from);
    /// Uses no permit before that time: what this node knows may be out of date.
    void hold_dispatch(time_point until) { this->held_until = until; }
    /// A load report, for placement without owners.
    void load(const load_reported& message) { this->direct.on_load_report(message); }

    void tick(step_context& context);
    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] std::size_t open_count() const { return this->requests.size(); }

private:
    using request_map = std::map<exchange_id, open_request>;

    // entry.cpp: arrival, end and timers.
    void wake(open_request& request, time_point at);
    void refuse(open_request& request, refusal_reason reason, duration retry_after,
                step_context& context);
    void end(open_request& request, bool may_have_run, step_context& context);
    void time_up(open_request& request, step_context& context);
    [[nodiscard]] open_request* find(const request_id& id);
    [[nodiscard]] open_request* find_attempt(attempt_id attempt);

    // entry_keys.cpp: idempotency keys.
    void refuse_key(open_request& request, refusal_reason reason, step_context& context);
    void check_key(open_request& request, step_context& context);
    void check_ticket(open_request& request, const ticket& on, step_context& context);
    void use_registered_key(open_request& request, step_context& context);
    void claim_key(open_request& request, step_context& context);
    void read_claim(open_request& request, step_context& context);
    void claim_found(open_request& request, const object& value, const std::string& change_id,
                     step_context& context);
    void release_key(open_request& request, bool may_have_run, step_context& context);

    // entry_placement.cpp: cells, permits and retries.
    void place(open_request& request, step_context& context);
    void place_direct(open_request& request, step_context& context);
    void poll_all(step_context& context);
    void ask_owner(open_request& request, step_context& context);
    void withdraw(open_request& request, step_context& context);
    void report_held(open_request& request, step_context& context);
    void choose_version(open_request& request, step_context& context);
    void fall_back(open_request& request);
    [[nodiscard]] bool may_use(const open_request& request, const upstream_spec& upstream,
                               const step_context& context) const;
    void retry(open_request& request, refusal_reason otherwise, step_context& context);

    // entry_attempts.cpp: dispatch, resumption and answers.
    void dispatch(open_request& request, const upstream_name& upstream, std::uint32_t cached,
                  step_context& context);
    void open(open_request& request, attempt_mode mode, step_context& context);
    void started(open_request& request, step_context& context);
    void release(open_request& request, attempt_outcome outcome, step_context& context);
    void lost(open_request& request, upstream_failure failure, step_context& context);
    void resume(open_request& request, upstream_failure failure, step_context& context);
    void repeat_or_cut(open_request& request, upstream_failure failure, step_context& context);

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
    time_point held_until;
};

} // namespace ragwortcove::core
