/// \file
/// Model of a plain application service, on virtual time.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/standin/random_source.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::standin {

struct service_settings {
    core::duration least_service_time = std::chrono::milliseconds{2};
    core::duration most_service_time = std::chrono::milliseconds{10};
    /// Most calls that run side by side; the others wait in arrival order.
    std::uint32_t slots = 16;
    /// Most calls that wait; further ones are refused, not run.
    std::uint32_t queue_limit = 256;
    std::uint32_t answer_bytes = 64;
};

using service_stream = core::basic_number<struct service_stream_tag>;

struct service_call {
    core::request_id id;
    /// Idempotency key; empty for a call that may be repeated.
    std::string key;
};

/// The whole answer.
struct service_answered {
    service_stream stream;
    std::uint32_t bytes = 0;
};
enum class service_failure {
    not_run,
    /// An error answer that does not say whether the call ran.
    error_answer,
    connection_lost,
};
struct service_failed {
    service_stream stream;
    service_failure failure = service_failure::error_answer;
};
using service_event = std::variant<service_answered, service_failed>;

/// Faults on order; several can hold at once.
struct service_faults {
    double slow_factor = 1.0;
    /// Share of calls refused before they run, truly not run.
    double refusal_rate = 0.0;
    /// Share of calls that end in an error answer before they run.
    double failure_rate = 0.0;
    /// Share of calls that run and whose answer is then lost with the connection.
    double lost_answer_rate = 0.0;
    /// Share of calls that run and whose connection then stays open and silent.
    double silent_rate = 0.0;
};

struct service_counts {
    /// Times each idempotency key ran.
    std::map<std::string, std::uint32_t> runs_by_key;
    std::map<core::request_id, std::uint32_t> dispatches;
    std::uint64_t runs = 0;
};

/// A service with a fixed number of slots; a call takes effect when its service time is over.
class service_model {
public:
    service_model(const service_settings& settings, std::uint64_t seed);

    void start(const service_call& call, service_stream stream, core::time_point now);
    /// The client closed the connection: a waiting call is dropped, a running one goes on.
    void disconnect(service_stream stream);
    /// Appends what has happened up to `now`.
    void advance(core::time_point now, std::vector<service_event>& events);
    [[nodiscard]] core::time_point next_event_at() const;
    [[nodiscard]] bool live(const core::request_id& id) const;

    void set_faults(const service_faults& ordered) { this->faults = ordered; }
    void set_refusing(bool value) { this->refusing = value; }
    /// Open connections carry nothing any more; new ones work.
    void silence_connections();
    /// Does nothing until `until`; what arrives meanwhile is taken then.
    void pause(core::time_point until);
    /// Waiting and running calls are lost without effect.
    void crash(core::time_point now, bool connections_break);

    [[nodiscard]] const service_counts& counts() const { return this->counted; }

private:
    struct open_call {
        service_call call;
        service_stream stream;
        bool connected = true;
        core::time_point done_at;
    };

    void catch_up(core::time_point now);
    void admit_waiting(core::time_point at);
    void end_call(const open_call& done);
    void count_run(const service_call& call);

    service_settings configured;
    random_source random;
    service_faults faults;
    bool refusing = false;
    core::time_point paused_until = core::time_point::min();
    std::vector<open_call> running;
    std::deque<open_call> waiting;
    std::vector<service_event> untold;
    service_counts counted;
};

} // namespace ragwortcove::standin
