/// \file
/// Model of a language model engine with continuous batching, on virtual time.
#pragma once

#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/standin/prefix_cache.hpp"
#include "ragwortcove/standin/random_source.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortcove::standin {

/// How fast an engine works.
struct engine_speed {
    double prefill_tokens_per_second = 10'000.0;
    /// Time between tokens of a sequence that runs alone.
    core::duration base_between_tokens = std::chrono::milliseconds{20};
    /// What each further running sequence adds to it.
    core::duration between_tokens_per_sequence = std::chrono::microseconds{500};
};

inline constexpr engine_speed fast_engine{20'000.0, std::chrono::milliseconds{12},
                                          std::chrono::microseconds{300}};
inline constexpr engine_speed middle_engine{10'000.0, std::chrono::milliseconds{20},
                                            std::chrono::microseconds{500}};
inline constexpr engine_speed slow_engine{5'000.0, std::chrono::milliseconds{30},
                                          std::chrono::microseconds{800}};
/// One of `fast`, `middle` and `slow`.
[[nodiscard]] std::optional<engine_speed> find_engine_speed(std::string_view name);

struct engine_settings {
    engine_speed speed;
    /// Most sequences that run side by side; the others wait in arrival order.
    std::uint32_t slots = 16;
    std::uint32_t cache_tokens = 200'000;
    core::target_name target;
    core::version_name version;
    /// Whether orders with an old fencing number are refused.
    bool checks_fencing = true;
    /// Age of the state that load reports show.
    core::duration report_lag = std::chrono::seconds{2};
    core::duration cache_event_lag = std::chrono::seconds{1};
    double cache_event_loss = 0.05;
    /// Time to load another version; new requests are refused meanwhile.
    core::duration load_time = std::chrono::seconds{5};
    /// How long a request whose connection is gone, or that has ended, can be resumed.
    core::duration resume_window = std::chrono::seconds{10};
    /// Tokens of one sequence that are told as one event, after the first.
    std::uint32_t tokens_per_event = 1;
};

/// Number that the user of the model gives to one connection.
using engine_stream = core::basic_number<struct engine_stream_tag>;

struct engine_request {
    core::request_id id;
    core::route_name route;
    std::uint32_t prompt_tokens = 0;
    std::vector<core::prefix_hash> prefix;
    std::uint32_t output_tokens = 1;
};

/// The request is taken; it waits or runs.
struct engine_accepted {
    engine_stream stream;
};
/// Output tokens from `offset` on.
struct engine_tokens {
    engine_stream stream;
    std::uint32_t offset = 0;
    std::uint32_t count = 0;
};
/// The end marker.
struct engine_finished {
    engine_stream stream;
    std::uint32_t total = 0;
    std::uint32_t cached_tokens = 0;
    /// Prompt tokens that were computed for this answer.
    std::uint32_t prefilled_tokens = 0;
};
enum class engine_failure {
    /// Refused before anything ran.
    not_run,
    /// Nothing is known of the request to be resumed.
    unknown_request,
    /// The engine answered with an error of its own.
    error_answer,
    /// The engine closed the connection.
    connection_lost,
};
struct engine_failed {
    engine_stream stream;
    engine_failure failure = engine_failure::error_answer;
};
using engine_event = std::variant<engine_accepted, engine_tokens, engine_finished, engine_failed>;

struct engine_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    core::duration age{0};
};

struct engine_cache_event {
    std::uint64_t sequence = 0;
    std::vector<core::prefix_hash> added;
    std::vector<core::prefix_hash> removed;
};

/// A sequence's state as it goes from one engine to another.
struct kv_snapshot {
    engine_request request;
    std::uint32_t cached_tokens = 0;
    std::uint32_t prefilled_tokens = 0;
    std::uint32_t prefill_left = 0;
    std::uint32_t produced = 0;
};

struct engine_order {
    core::target_name target;
    core::version_name version;
    core::fencing_number fencing;
};
struct engine_order_result {
    bool refused_as_stale = false;
    core::version_name serving;
};

enum class engine_request_state { unknown, waiting, running, finished };
struct engine_request_status {
    engine_request_state state = engine_request_state::unknown;
    std::uint32_t produced = 0;
};

/// A fault on order; it holds while every condition does.
struct engine_fault {
    /// Condition: the version served; empty means any.
    core::version_name version;
    /// Condition: the request's route; empty means any.
    core::route_name route;
    /// Condition: at least so many sequences run.
    std::uint32_t least_running = 0;
    core::time_point from = core::time_point::min();
    core::time_point until = core::time_point::max();

    /// Every step takes so many times as long.
    double slow_factor = 1.0;
    /// Share of requests that end in an error.
    double failure_rate = 0.0;
};

struct engine_counts {
    std::uint64_t prefilled_tokens = 0;
    /// Prefilled for sequences that ended unfinished.
    std::uint64_t wasted_prefill_tokens = 0;
    std::uint64_t cached_tokens = 0;
    std::uint64_t output_tokens = 0;
    /// Fresh starts of each request.
    std::map<core::request_id, std::uint32_t> dispatches;
};

/// A model engine: admits requests as they come and knows no priorities.
///
/// Each step of the batch prefills a chunk of the oldest prompts and gives every decoding sequence
/// one token. What happens is told by `advance`, also for calls that end at once.
class engine_model {
public:
    engine_model(const engine_settings& settings, std::uint64_t seed);

    void start(const engine_request& request, engine_stream stream, core::time_point now);
    /// Continues a known request's answer at an offset, on a new connection.
    void resume(const core::request_id& id, std::uint32_t offset, engine_stream stream,
                core::time_point now);
    /// The client closed the connection; the sequence runs on for the resume window.
    void disconnect(engine_stream stream, core::time_point now);
    void cancel(const core::request_id& id, core::time_point now);
    /// Appends what has happened up to `now`.
    void advance(core::time_point now, std::vector<engine_event>& events);
    /// When `advance` has something to tell; `time_point::max()` when idle.
    [[nodiscard]] core::time_point next_event_at() const;

    [[nodiscard]] engine_request_status status(const core::request_id& id) const;
    /// Whether the request waits or runs here.
    [[nodiscard]] bool live(const core::request_id& id) const;
    /// Tokens of a prompt's prefix that are cached now.
    [[nodiscard]] std::uint32_t cached_prefix(std::span<const core::prefix_hash> prefix) const
    {
        return this->cache.count(prefix);
    }
    [[nodiscard]] engine_load load(core::time_point now) const;
    [[nodiscard]] std::vector<engine_cache_event> cache_events(std::uint64_t after,
                                                               core::time_point now) const;
    /// Takes a live sequence out, to be imported elsewhere.
    [[nodiscard]] std::optional<kv_snapshot> export_kv(const core::request_id& id,
                                                       core::time_point now);
    void import_kv(const kv_snapshot& snapshot, engine_stream stream, core::time_point now);
    engine_order_result order(const engine_order& given, core::time_point now);
    [[nodiscard]] core::version_name serving(core::time_point now) const;

    void set_faults(std::vector<engine_fault> ordered) { this->faults = std::move(ordered); }
    /// Refuses all new requests, truly not run.
    void set_refusing(bool value) { this->refusing = value; }
    /// Open connections stay open and carry nothing any more; new ones work.
    void silence_connections();
    /// Does nothing until `until`; what arrives meanwhile is taken then.
    void pause(core::time_point until);
    /// Loses everything; open connections break, or go silent when the VM is gone.
    void crash(core::time_point now, bool connections_break);

    [[nodiscard]] const engine_counts& counts() const { return this->counted; }
    [[nodiscard]] const engine_settings& settings() const { return this->configured; }

private:
    struct sequence {
        engine_request request;
        engine_stream stream;
        bool connected = true;
        bool silent = false;
        /// Whether its KV state is here, so that the cache need not be asked.
        bool has_kv = false;
        /// Whether the client got the end marker.
        bool delivered = false;
        core::time_point disconnected_at;
        std::uint32_t cached_tokens = 0;
        std::uint32_t prefilled_tokens = 0;
        std::uint32_t prefill_left = 0;
        std::uint32_t prefill_chunk = 0;
        std::uint32_t produced = 0;
        std::uint32_t told = 0;
        /// Ends in an error when so many tokens have been produced.
        std::optional<std::uint32_t> fails_at;
    };
    struct ended_sequence {
        sequence last;
        core::time_point forget_at;
    };
    struct load_sample {
        core::time_point at;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };
    struct stamped_cache_event {
        core::time_point visible_at;
        engine_cache_event change;
    };

    void catch_up(core::time_point now);
    void begin_step(core::time_point at);
    void end_step(core::time_point at);
    void enqueue(sequence&& arrived, core::time_point now);
    void admit_waiting(core::time_point at);
    [[nodiscard]] core::duration plan_step(core::time_point at);
    /// Returns whether the sequence goes on.
    [[nodiscard]] bool step_sequence(sequence& stepped, core::time_point at);
    void finish_prefill(const sequence& stepped, core::time_point at);
    void tell_tokens(sequence& stepped);
    void finish(sequence& done, core::time_point at);
    void waste(const sequence& lost);
    [[nodiscard]] bool abandoned(const sequence& value, core::time_point at) const;
    void drop_abandoned(core::time_point at);
    void forget_ended(core::time_point at);
    void sample_load(core::time_point at);
    [[nodiscard]] sequence* find_live(const core::request_id& id);
    [[nodiscard]] const sequence* find_live(const core::request_id& id) const;
    [[nodiscard]] double slow_factor(core::time_point at) const;
    [[nodiscard]] double failure_rate(const engine_request& request, core::time_point at) const;
    void settle_version(core::time_point at);

    engine_settings configured;
    random_source random;
    prefix_cache cache;
    std::vector<engine_fault> faults;
    bool refusing = false;
    core::time_point paused_until = core::time_point::min();

    std::vector<sequence> running;
    std::deque<sequence> waiting;
    std::map<core::request_id, ended_sequence> ended;
    std::deque<std::pair<core::time_point, core::request_id>> ended_order;
    std::optional<core::time_point> step_ends;
    std::vector<engine_event> untold;

    std::deque<load_sample> samples;
    std::deque<stamped_cache_event> cache_history;
    std::uint64_t cache_sequence = 0;

    core::version_name loading;
    std::optional<core::time_point> loaded_at;
    core::fencing_number highest_fencing;
    engine_counts counted;
};

} // namespace ragwortcove::standin
