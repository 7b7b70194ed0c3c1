/// \file
/// State of a run: the shells round the core nodes and the models, and the callers.
#pragma once

#include "call_log.hpp"
#include "event_queue.hpp"
#include "ledger.hpp"
#include "network.hpp"
#include "ragwortcove/bench/runner.hpp"
#include "ragwortcove/core/node.hpp"
#include "ragwortcove/standin/engine_model.hpp"
#include "ragwortcove/standin/platform_model.hpp"
#include "ragwortcove/standin/service_model.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::bench {

/// Number of one connection to an upstream, over the whole run.
using stream_number = std::uint64_t;

/// A caller's open request at a node.
struct open_exchange {
    /// Zero for a question for addresses.
    call_number call = 0;
    std::size_t caller = 0;
    core::time_point arrived;
    /// Parts of the answer passed on so far.
    std::uint32_t forwarded = 0;
    /// When the last part reaches the caller; parts keep their order.
    core::time_point last_delivery;
};

/// A dispatch that a node has open at an upstream.
struct node_attempt {
    core::open_attempt made;
    stream_number stream = 0;
    /// Call whose answer this connection carries.
    call_number content = 0;
    core::time_point last_heard;
    core::time_point last_delivery;
    core::upstream_progress last_progress;
    bool silent = false;
};

/// A node's watch on the platform.
struct node_watch {
    std::uint64_t number = 0;
    std::optional<standin::watch_id> opened;
    bool silent = false;
    core::time_point last_heard;
};

/// Process of one node: the core and what its shell keeps.
struct node_process {
    node_plan plan;
    std::size_t index = 0;
    std::uint64_t starts = 0;
    /// Unset while the process is down.
    std::optional<core::node> core;
    core::incarnation run;
    bool vm_lost = false;
    bool draining = false;
    core::duration restart_after{0};
    core::time_point paused_until;
    /// Until then neither the platform nor a node of another failure domain reaches this one.
    core::time_point cut_off_until;
    std::deque<core::event> inbox;
    core::time_point wake_at = core::time_point::max();
    std::uint64_t last_exchange = 0;
    std::map<core::exchange_id, open_exchange> exchanges;
    std::map<core::attempt_id, node_attempt> attempts;
    node_watch watch;
    std::uint64_t last_watch = 0;
};

/// Connection at an upstream's end.
struct upstream_stream {
    std::size_t node = 0;
    core::incarnation run;
    core::attempt_id attempt;
    bool silent = false;
};

using upstream_model = std::variant<standin::engine_model, standin::service_model>;

/// Process of one upstream: its model and its connections.
struct upstream_process {
    core::upstream_name name;
    core::failure_domain_name failure_domain;
    core::endpoint address;
    std::size_t index = 0;
    upstream_model model;
    bool up = true;
    bool vm_lost = false;
    core::time_point paused_until;
    std::map<stream_number, upstream_stream> streams;
    core::time_point pump_at = core::time_point::max();
    std::vector<standin::engine_fault> engine_faults;
    standin::service_faults service_faults;
};

/// Open stream from one node's run to another's.
struct peer_stream {
    core::time_point last_delivery;
    bool lost = false;
};

/// What one caller knows of the system's addresses.
struct caller_process {
    std::vector<core::offered_address> addresses;
    core::time_point known_until;
    bool asking = false;
    std::vector<call_number> waiting;
};

/// A change of configuration that is not yet in force everywhere.
struct pending_change {
    core::revision at;
    core::time_point accepted;
};

struct runner::state {
    state(const deployment& wanted, const run_settings& run);

    // Nodes (node_process.cpp).
    void start_node(std::size_t index);
    void step(node_process& node, const core::event& happened);
    void schedule_wake(node_process& node);
    void crash_node(node_process& node, core::duration restart_after, bool vm_lost);
    void end_process(node_process& node, bool vm_lost);
    void lose_exchanges(node_process& node, bool vm_lost);
    void pause_node(node_process& node, core::duration length);
    void restart_node_later(node_process& node, core::duration wait);
    void send_wall_clock(std::size_t index, core::incarnation run);
    void deliver_event(std::size_t node, core::incarnation run, core::event happened,
                       core::duration wait);
    void sample_nodes();

    // Effects of a node (node_effects.cpp).
    void carry_out(node_process& node, const core::open_attempt& effect);
    void carry_out(node_process& node, const core::cancel_attempt& effect);
    void carry_out(node_process& node, const core::forward_progress& effect);
    void carry_out(node_process& node, const core::finish_exchange& effect);
    void carry_out(node_process& node, const core::refuse_exchange& effect);
    void carry_out(node_process& node, const core::abort_exchange& effect);
    void carry_out(node_process& node, const core::send_peer& effect);
    void carry_out(node_process& node, const core::call_platform& effect);
    void carry_out(node_process& node, const core::open_watch& effect);
    void carry_out(node_process& node, const core::close_watch& effect);
    void carry_out(node_process& node, const core::probe_upstream& effect);
    void carry_out(node_process& node, const core::poll_upstream& effect);
    void carry_out(node_process& node, const core::order_upstream& effect);
    void carry_out(node_process& node, const core::address_response& effect);
    void carry_out(node_process& node, const core::log_decision& effect);
    void carry_out(node_process& node, const core::drained& effect);

    // Streams between nodes (peer_links.cpp).
    void send_on_stream(node_process& from, node_process& to, const core::peer_message& message);
    void lose_stream(std::size_t from, std::size_t to);
    void count_message(const core::peer_message& message);
    [[nodiscard]] node_process* find_node(const core::endpoint& peers);

    // Upstreams (upstream_process.cpp).
    void attempt_arrived(std::size_t upstream, std::size_t node, core::incarnation run,
                         const core::open_attempt& made, stream_number stream, call_number content);
    void disconnect(upstream_process& upstream, stream_number stream);
    void start_fresh(upstream_process& upstream, const call_record& call,
                     const core::open_attempt& made, stream_number stream);
    void continue_known(upstream_process& upstream, const core::open_attempt& made,
                        stream_number stream);
    void pump(upstream_process& upstream);
    void tell(upstream_process& upstream, const standin::engine_accepted& event);
    void tell(upstream_process& upstream, const standin::engine_tokens& event);
    void tell(upstream_process& upstream, const standin::engine_finished& event);
    void tell(upstream_process& upstream, const standin::engine_failed& event);
    void tell(upstream_process& upstream, const standin::service_answered& event);
    void tell(upstream_process& upstream, const standin::service_failed& event);
    void answer_node(upstream_process& upstream, stream_number stream,
                     const std::function<core::event(core::attempt_id)>& make, bool last);
    void fail_attempt(std::size_t node, core::incarnation run, core::attempt_id attempt,
                      core::upstream_failure failure, core::duration wait);
    void watch_attempt(std::size_t node, core::incarnation run, core::attempt_id attempt);
    [[nodiscard]] bool carries_keep_alive(const node_process& node,
                                          const node_attempt& attempt) const;
    [[nodiscard]] bool live_on(const upstream_process& upstream,
                               const core::request_id& request) const;
    [[nodiscard]] upstream_process* find_upstream(const core::endpoint& address);
    void close_streams_of(const node_process& node);
    void crash_upstream(upstream_process& upstream, core::duration restart_after, bool vm_lost);
    void count_prefill(const upstream_process& upstream, const call_record& call);

    // Platform (platform_link.cpp).
    [[nodiscard]] bool reaches_platform(const node_process& node) const;
    void tell_watches();
    void watch_platform(std::size_t node, core::incarnation run, std::uint64_t watch);
    void end_watch(node_process& node, bool must_list, core::duration wait);
    void write_object(const core::object& value);
    void remove_object(const core::object_key& key);

    // Callers (callers.cpp).
    void schedule_arrival(std::size_t traffic);
    void arrive(std::size_t traffic);
    [[nodiscard]] call_record& make_call(const traffic_plan& traffic,
                                         standin::random_source& source);
    static void add_prefix(call_record& call, const traffic_plan& traffic,
                           standin::random_source& source);
    void launch(call_record& call);
    void try_call(call_number number);
    void ask_addresses(std::size_t caller);
    void addresses_known(std::size_t caller, std::vector<core::offered_address> addresses,
                         core::duration time_to_live);
    void send_try(call_record& call, std::size_t node, const core::ticket& proof);
    void try_arrived(call_number number, std::size_t node);
    void entry_unreachable(call_number number, std::size_t node);
    void part_received(call_number number, const try_id& tried, std::uint32_t count);
    void whole_received(call_number number, const try_id& tried);
    void refusal_received(call_number number, const try_id& tried, const core::refusal& answer,
                          bool cut);
    void connection_lost(call_number number, const try_id& tried);
    void deadline_reached(call_number number);
    [[nodiscard]] bool is_current(call_number number, const try_id& tried) const;

    // Faults (faults.cpp).
    void inject(const fault& what);
    void set_engine_fault(const core::upstream_name& name, const standin::engine_fault& added);
    [[nodiscard]] node_process& node_named(const core::node_name& name);
    [[nodiscard]] upstream_process& upstream_named(const core::upstream_name& name);
    [[nodiscard]] std::set<place> places_of(const core::failure_domain_name& domain,
                                            bool inside) const;

    [[nodiscard]] core::time_point now() const { return this->queue.now(); }

    deployment plan;
    run_settings settings;
    event_queue queue;
    network links;
    /// For what callers and nodes come upon; arrivals have sources of their own.
    standin::random_source random;
    /// A source for each traffic and one for calls made by hand, so that what is offered depends on
    /// neither placement nor faults.
    std::vector<standin::random_source> arrivals;
    standin::platform_model platform;
    ledger truth;
    call_log calls;
    std::deque<node_process> nodes;
    std::deque<upstream_process> upstreams;
    std::vector<caller_process> callers;
    std::map<std::pair<std::size_t, std::size_t>, peer_stream> streams;
    std::map<core::request_id, call_number> owner_of_request;
    /// Prompt tokens computed for answers that have ended at an engine.
    std::map<core::request_id, std::uint32_t> prefilled;
    std::map<core::endpoint, std::size_t> upstream_by_address;
    stream_number last_stream = 0;
    bool sending = true;
    double load_factor = 1.0;
    double engine_requests_per_second = 0.0;
    std::vector<pending_change> pending_changes;
    std::deque<std::string> decisions;
    run_result figures;
    std::uint64_t last_change = 0;
};

} // namespace ragwortcove::bench
