/// \file
/// Keeps requests from upstreams whose prompts hold a part under which upstreams end: finds out
/// which upstreams have ended, tells the other nodes, and asks the owner of a part for trials.
#pragma once

#include "ragwortcove/core/part_quarantine.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/tcp_stream.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::wire {
class PartRecords;
class PartTrialAnswer;
class PartTrialAsk;
class PeerDatagram;
} // namespace ragwortcove::wire

namespace ragwortcove::gateway {

/// Functions that the guard uses; tests supply their own.
struct part_guard_dependencies {
    http::loop& event_loop;
    core::node_name self;
    std::function<core::node_name(std::string_view key)> owner_of;
    /// Whether this node knows the fleet as the others do. Otherwise several nodes may take
    /// themselves for a part's owner.
    std::function<bool()> is_settled;
    std::function<void(const core::node_name&, wire::PeerDatagram&)> send;
    std::function<void(wire::PeerDatagram&)> send_to_all;
    /// Name of another node chosen at random; empty when there is none.
    std::function<core::node_name()> random_other_node;
    /// Whether a connection of this node to the upstream is open.
    std::function<bool(const core::upstream_name&)> has_connection;
};

/// A connection to an upstream that ended while a request waited on it for its response.
struct lost_connection {
    core::upstream_process process;
    http::socket_address address;
    /// Parts of the request that other requests may share.
    std::vector<core::part_id> parts;
    /// Set if the request was sent as a trial.
    std::optional<core::part_trial> trial = std::nullopt;
};

/// What is known of an upstream's process after a connection to it was lost.
enum class process_fate {
    ended,
    running,
    /// It does not respond, and may be cut off only.
    unknown,
};

class part_guard {
public:
    using fate_handler = std::function<void(process_fate)>;
    using trial_handler = std::function<void(bool permitted)>;

    explicit part_guard(part_guard_dependencies&& dependencies);
    ~part_guard();
    part_guard(const part_guard&) = delete;
    part_guard& operator=(const part_guard&) = delete;

    /// Decides on a request with these parts, which does not wait for a trial of its own.
    [[nodiscard]] core::part_decision
    decide(std::span<const core::part_id> parts,
           const std::optional<core::part_trial>& own = std::nullopt) const;
    /// Finds out whether the upstream's process has ended, and records it if so. `done` is called
    /// once, within a fraction of a second and not from inside this call. A trial is over once the
    /// process is known to have ended or to go on.
    void on_connection_lost(lost_connection&& lost, fate_handler&& done);
    /// If it is just being found out whether a process has ended, and a request with these parts
    /// would then be held back, calls `done` once that is known. Returns false otherwise.
    bool wait_for_fate(std::span<const core::part_id> parts, fate_handler&& done);
    /// Records a response to a request with these parts after which the upstream has not ended.
    void on_response(std::span<const core::part_id> parts);
    /// Records that the process sent bytes, so that it has not ended so far.
    void on_sign_of_life(const core::upstream_process& process);
    /// Records that the announcement of an upstream is gone, or states a later start.
    void on_process_gone(const core::upstream_name& name);
    /// Whether upstreams have ended under any of the parts since they were last cleared.
    [[nodiscard]] bool has_evidence(std::span<const core::part_id> parts) const;

    /// Processes that have ended of late under any of the parts, and may still be announced.
    [[nodiscard]] std::vector<core::upstream_process>
    recently_ended(std::span<const core::part_id> parts) const;

    /// Asks the owner of one of a request's parts for permission to send the request. `done` is
    /// called once, and not from inside this call.
    void request_trial(core::part_id part, std::span<const core::part_id> parts,
                       trial_handler&& done);
    /// Records that a request is sent as a trial of a part; unset when nothing holds the part back
    /// any more.
    std::optional<core::part_trial> on_trial_sent(core::part_id part, std::string_view request);
    /// Records that a trial has shown nothing, for a reason: no upstream has taken the request, or
    /// it ended before a response began. Another request may be tried.
    void return_trial(const core::part_trial& trial, std::string_view reason);
    [[nodiscard]] bool is_open(const core::part_trial& trial) const;

    void receive_message(const core::node_name& from, const wire::PeerDatagram& message);
    /// Takes what the store keeps of a part.
    void on_stored_record(const core::part_record& stored);
    /// Sends what is due; to be called every few tens of milliseconds.
    void tick();

    /// Whether this node has heard from another one which parts are held back, or has waited for
    /// that long enough.
    [[nodiscard]] bool is_informed() const;
    [[nodiscard]] const core::part_quarantine& quarantine() const { return this->parts; }
    [[nodiscard]] bool owns(core::part_id part) const;

private:
    /// A process that may have ended.
    struct suspicion {
        core::upstream_process process;
        http::socket_address address;
        core::time_point lost_at;
        std::vector<core::part_id> parts;
        /// The trials that waited there, and the parts of their requests.
        std::vector<core::part_trial> trials;
        std::vector<core::part_id> tried_parts;
        std::vector<fate_handler> waiting;
        std::unique_ptr<http::tcp_stream> probe;
        /// Whether the result of `probe` is still awaited.
        bool is_probing = false;
        std::uint32_t probes = 0;
        /// Runs until the next look at the process, or the end of a probe; zero when none is due.
        http::timer_id timer = 0;
    };
    struct open_trial_request {
        core::part_id part;
        std::vector<core::part_id> parts;
        trial_handler done;
        core::time_point first_sent_at;
        core::time_point sent_at;
    };

    [[nodiscard]] core::time_point now() const
    {
        return core::time_point{this->env.event_loop.now()};
    }
    [[nodiscard]] core::node_name owner_of(core::part_id part) const;
    [[nodiscard]] suspicion* find_suspicion(const core::upstream_name& name);
    void examine(const core::upstream_name& name);
    void probe(suspicion& examined);
    void on_probe_result(const core::upstream_name& name, process_fate fate);
    void conclude_not_ended(suspicion& examined, process_fate fate);
    void return_trials(suspicion& examined);
    void tell_waiting(suspicion& examined, process_fate fate);
    void conclude_ended(const core::upstream_name& name);

    void spread(std::span<const core::part_id> changed);
    void send_news();
    void send_held_back(const core::node_name& to);
    void send_trial_request(std::uint64_t number, open_trial_request& request);
    [[nodiscard]] bool permit_trial(core::part_id part, std::span<const core::part_id> parts,
                                    const core::trial_holder& holder);
    void finish_trial_request(std::uint64_t number, bool permitted);
    void retry_trial_requests();
    /// Merges a record and logs what follows from it; returns whether it was news.
    bool take_record(const core::part_record& record, std::string_view from);
    void on_records(const core::node_name& from, const wire::PartRecords& message);
    void on_trial_ask(const core::node_name& from, const wire::PartTrialAsk& message);
    void on_trial_answer(const core::node_name& from, const wire::PartTrialAnswer& message);
    void log_held_back(const core::part_record& record, std::string_view from) const;

    part_guard_dependencies env;
    core::part_quarantine parts;
    std::map<core::upstream_name, suspicion> suspicions;
    std::map<std::uint64_t, open_trial_request> trial_requests;
    std::uint64_t last_trial_number = 0;
    /// Parts whose records are still to be sent to all, and how often.
    std::map<core::part_id, std::uint32_t> news;
    core::time_point next_news_at;
    core::time_point next_gossip_at;
    core::time_point next_query_at;
    core::time_point started_at;
    bool informed = false;
};

} // namespace ragwortcove::gateway
