/// \file
/// Grants permits for the upstreams of the cells that this node owns.
#pragma once

#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/engine_state.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/fair_queue.hpp"
#include "ragwortcove/core/peer_message.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// One owned cell.
struct owned_cell {
    cell_id id;
    fair_queue queue;
    std::map<upstream_name, engine_state> engines;
    /// No permit is granted before this time, until which entries report the permits that an
    /// earlier owner granted.
    time_point grants_start_at;
};

/// Placement owner: queues permit requests by tier and by fair shares of teams, and counts the
/// granted permits exactly. Two nodes may own a cell for a short time; the worst effect is an
/// overloaded upstream, since the entries guarantee that a request runs at most once.
class placement_owner {
public:
    /// Without tiers, all requests have the same rank.
    placement_owner(const configuration& current, const cell_map& cells, bool with_tiers)
        : config{current}, map{cells}, has_tiers{with_tiers}
    {
    }

    /// Grants, queues or denies a permit request. A repeated request has no effect while the first
    /// one is queued or granted.
    void submit(const node_name& entry, const permit_request& message, step_context& context);
    /// Removes a queued request, or ends its permit.
    void withdraw(const permit_withdrawal& message, step_context& context);
    /// Records that the upstream has computed the prompt.
    void started(const permit_started& message, step_context& context);
    /// Ends a permit and updates the estimates and the health of its upstream.
    void release(const permit_release& message, step_context& context);
    /// Counts a permit that an earlier owner granted.
    void report(const node_name& entry, const permit_report& message, step_context& context);
    /// Removes the permits and the queued requests of an entry's incarnation that ended.
    void on_entry_ended(incarnation run, step_context& context);
    void on_load_report(const load_reported& message);
    void on_cache_report(const cache_reported& message);
    void on_probe_result(const probe_answered& message, step_context& context);
    /// Applies a change of the configuration or of the cells.
    void refresh(step_context& context);
    /// Retains only these cells. Requests queued in the others are denied, so that their entries
    /// ask the new owners.
    void retain_cells(std::span<const cell_id> retained, step_context& context);
    /// Expires queued requests, sends probes and polls that are due, and grants permits.
    void tick(step_context& context);

    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] std::vector<cell_digest> digests() const;
    [[nodiscard]] const std::map<cell_id, owned_cell>& cells() const { return this->owned; }

private:
    owned_cell* open(const cell_id& id, step_context& context);
    void grant_waiting(owned_cell& cell, step_context& context);
    [[nodiscard]] engine_state* choose(owned_cell& cell, const queued_request& queued);
    void grant(owned_cell& cell, engine_state& engine, const queued_request& queued,
               step_context& context);
    void deny(const node_name& entry, const permit_request& request, refusal_reason reason,
              duration retry_after, step_context& context);
    [[nodiscard]] queued_request make_queued(const owned_cell& cell, const node_name& entry,
                                             const permit_request& message, time_point now) const;
    [[nodiscard]] duration estimated_wait(const owned_cell& cell, std::uint32_t rank,
                                          bool is_long) const;
    void sync_engines(owned_cell& cell);
    void poll(owned_cell& cell, step_context& context);

    const configuration& config;
    const cell_map& map;
    bool has_tiers;
    std::map<cell_id, owned_cell> owned;
    std::uint64_t next_grant = 1;
    time_point next_poll_at;
    time_point last_tick_at;
};

} // namespace ragwortcove::core
