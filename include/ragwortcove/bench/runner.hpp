/// \file
/// Runs core nodes, stand-in models and callers on virtual time, and checks the promises.
#pragma once

#include "ragwortcove/bench/deployment.hpp"
#include "ragwortcove/bench/fault.hpp"
#include "ragwortcove/bench/result.hpp"
#include "ragwortcove/core/node.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortcove::bench {

struct run_settings {
    std::uint64_t seed = 1;
    /// Offered work as a share of the engines' capacity; zero sends only calls made by `call`.
    double load = 0.6;
    std::string placement_policy = "permits";
    /// Whether permit and control messages are encoded to count their bytes.
    bool count_bytes = false;
    /// Decisions of the nodes kept for `trace()`.
    std::size_t trace_limit = 0;
};

/// Number of a call that a caller made, over all its tries.
using call_number = std::uint64_t;

enum class call_state { open, answered, refused, cut, timed_out, connection_lost };

/// What a caller knows of its call.
struct call_view {
    call_state state = call_state::open;
    std::optional<core::refusal> refusal;
    std::uint32_t received = 0;
    std::uint32_t tries = 0;
    core::duration latency{0};
};

/// A call made by hand rather than by the traffic plan.
struct call_plan {
    core::route_name route;
    core::team_name team;
    std::uint32_t prompt_tokens = 64;
    std::uint32_t output_tokens = 16;
    /// Entry to call; empty asks for addresses as callers do.
    core::node_name entry;
};

/// One run; it ends when it is destroyed.
class runner {
public:
    runner(const deployment& plan, const run_settings& settings);
    ~runner();
    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    void schedule(const std::vector<timed_fault>& faults);
    void inject(const fault& what);
    void run_for(core::duration length);
    /// Sends nothing more and runs until every call has ended, or for `limit`.
    void finish(core::duration limit);

    call_number call(const call_plan& plan);
    [[nodiscard]] call_view view(call_number call) const;
    /// Writes an object as an operator does: over whatever is there.
    void put_object(const core::object& value);
    void delete_object(const core::object_key& key);

    [[nodiscard]] core::time_point now() const;
    /// Status of a node; nothing while it is down.
    [[nodiscard]] std::optional<core::node_status> status(const core::node_name& node) const;
    [[nodiscard]] const std::vector<violation>& violations() const;
    /// The last decisions of all nodes, one a line.
    [[nodiscard]] std::vector<std::string> trace() const;
    [[nodiscard]] run_result result() const;

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::bench
