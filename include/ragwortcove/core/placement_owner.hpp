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
    /// Grants start here: before, entries report the permits that an earlier owner granted.
    time_point grants_from;
};

/// Placement owner: tiered, team-fair queues of permit requests and exact counts of permits out.
/// Overfilling an upstream when two nodes own a cell for a moment is the worst it can do; at most
/// once is kept by the entries.
class placement_owner {
public:
    /// Without tiers, every request ranks the same.
    placement_owner(const configuration& in_force, const cell_map& cells, bool with_tiers)
        : config{in_force}, map{cells}, tiered{with_tiers}
    {
    }

    void ask(const node_name& entry, const permit_request& message, step_context& context);
    void withdraw(const permit_withdrawal& message, step_context& context);
    void started(const permit_started& message, step_context& context);
    void release(const permit_release& message, step_context& context);
    void report(const node_name& entry, const permit_report& message, step_context& context);
    /// An entry's incarnation ended: its permits and requests go.
    void entry_gone(incarnation run, step_context& context);
    void load(const load_reported& message);
    void cache(const cache_reported& message);
    void probed(const probe_answered& message, step_context& context);
    /// The configuration or the cells changed.
    void refresh(step_context& context);
    /// Keeps only these cells; those who wait in others are told to ask elsewhere.
    void keep(std::span<const cell_id> owned, step_context& context);
    void tick(step_context& context);

    [[nodiscard]] time_point next_wakeup() const;
    [[nodiscard]] std::vector<cell_digest> digests() const;
    [[nodiscard]] const std::map<cell_id, owned_cell>& cells() const { return this->owned; }

private:
    owned_cell* open(const cell_id& id, step_context& context);
    void grant_waiting(owned_cell& cell, step_context& context);
    [[nodiscard]] engine_state* choose(owned_cell& cell, const waiting_ask& ask);
    void grant(owned_cell& cell, engine_state& engine, const waiting_ask& ask,
               step_context& context);
    void deny(const node_name& entry, const permit_request& ask, refusal_reason reason,
              duration retry_after, step_context& context);
    [[nodiscard]] waiting_ask make_waiting(const owned_cell& cell, const node_name& entry,
                                           const permit_request& message, time_point now) const;
    [[nodiscard]] duration estimated_wait(const owned_cell& cell, std::uint32_t rank,
                                          bool is_long) const;
    void sync_engines(owned_cell& cell);
    void poll(owned_cell& cell, step_context& context);

    const configuration& config;
    const cell_map& map;
    bool tiered;
    std::map<cell_id, owned_cell> owned;
    std::uint64_t next_grant = 1;
    time_point next_poll;
    time_point ticked_at;
};

} // namespace ragwortcove::core
