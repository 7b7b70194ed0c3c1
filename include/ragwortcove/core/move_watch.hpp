/// \file
/// What every node does for the moves under way: chooses the version of each request, collects
/// evidence from its attempts, and halts a move whose new version is bad.
#pragma once

#include "ragwortcove/core/cell_map.hpp"
#include "ragwortcove/core/configuration.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/membership.hpp"
#include "ragwortcove/core/open_request.hpp"
#include "ragwortcove/core/traffic_split.hpp"
#include "ragwortcove/core/version_evidence.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// Version that a request is sent to, and the move whose new version it is, if any.
struct version_choice {
    version_name version;
    /// Empty unless the request goes to the new version of a move under way.
    move_name move;
};

/// State of the moves under way, as this node knows them.
class move_watch {
public:
    move_watch(const configuration& in_force, const cell_map& known_cells,
               const membership& known_members)
        : config{in_force}, cells{known_cells}, members{known_members}
    {
    }

    /// Rebuilds the state on moves after a change of the configuration.
    void refresh();

    /// Chooses a request's version, and counts the request in flight if it goes to a move's new
    /// version.
    [[nodiscard]] version_choice choose(const route_name& route, const route_spec& spec,
                                        bool idempotent, step_context& context);
    /// The version that a request falls back to when it leaves the move's new version.
    [[nodiscard]] version_name old_version(const move_name& move) const;
    /// Called when a request that was counted in flight has ended or leaves the new version.
    void release_in_flight(const move_name& move);
    /// Whether no more requests may be sent to the move's new version.
    [[nodiscard]] bool is_stopped(const move_name& move, const step_context& context) const;

    /// Adds the outcome of an attempt to the evidence.
    void observe(const open_request& request, attempt_outcome outcome, step_context& context);
    /// Adds evidence that a peer has collected.
    void merge(incarnation sender, std::span<const version_evidence> records,
               step_context& context);
    /// At most `max_records` records for a heartbeat, those of halted moves first.
    [[nodiscard]] std::vector<version_evidence> records(std::size_t max_records);

    [[nodiscard]] move_standing standing(const move_name& move, time_point now) const;
    [[nodiscard]] std::uint32_t pairs(const move_name& move) const;
    [[nodiscard]] const traffic_split& split() const { return this->by_route; }
    /// Halts the move for good: no more requests go to its new version.
    void halt(const move_name& move, step_context& context);
    /// Whether a move was halted since the last call.
    [[nodiscard]] bool take_halt_set();
    /// Whether this node has collected evidence on a move under way since the last call.
    [[nodiscard]] bool take_new_evidence();

private:
    [[nodiscard]] const route_move* find(const move_name& move) const;
    void set_canary_quota(const route_move& move, unix_millis wall, split_request& request) const;
    [[nodiscard]] std::vector<std::string> entries() const;
    void find_old_hardware();
    void halt_if_bad(const move_name& move, step_context& context);

    const configuration& config;
    const cell_map& cells;
    const membership& members;
    traffic_split by_route;
    std::map<move_name, route_name> routes;
    std::map<move_name, move_evidence> evidence;
    std::map<move_name, std::uint32_t> in_flight;
    /// Hardware types that a move's old version runs on.
    std::map<move_name, std::set<std::string>> old_hardware;
    bool halt_set = false;
    bool has_new_evidence = false;
    std::size_t next_record = 0;
};

} // namespace ragwortcove::core
