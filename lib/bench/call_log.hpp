/// \file
/// Every call that a caller made, as it truly went.
#pragma once

#include "ragwortcove/bench/result.hpp"
#include "ragwortcove/bench/runner.hpp"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwortcove::bench {

/// One try of a call at one entry.
struct try_id {
    core::incarnation entry;
    core::exchange_id exchange;
    auto operator<=>(const try_id&) const = default;
};

/// A fresh start of a call on an upstream.
struct call_start {
    try_id from;
    core::request_id request;
    std::size_t upstream = 0;
};

struct call_record {
    call_number number = 0;
    core::route_name route;
    core::team_name team;
    core::target_name target;
    std::uint32_t rank = 0;
    core::upstream_kind kind = core::upstream_kind::engine;
    bool idempotent = true;
    bool streaming = false;
    std::size_t caller = 0;
    /// Entry to use; unset uses the caller's addresses.
    std::optional<std::size_t> fixed_entry;
    std::string key;
    core::time_point made_at;
    core::time_point deadline;
    std::uint32_t prompt_tokens = 0;
    std::vector<core::prefix_hash> prefix;
    /// True length of the answer: tokens, or bytes of a service's answer.
    std::uint32_t answer_length = 0;
    std::uint32_t max_output_tokens = 0;

    call_state state = call_state::open;
    std::optional<core::refusal> refusal;
    std::uint32_t tries = 0;
    std::uint32_t connections_lost = 0;
    std::optional<try_id> current;
    std::uint32_t received = 0;
    std::optional<core::time_point> first_part;
    std::optional<core::time_point> last_part;
    core::time_point ended_at;

    std::vector<call_start> starts;
    std::set<try_id> refused_not_run;
};

/// Calls by number, and what they came to.
class call_log {
public:
    call_record& add();
    [[nodiscard]] call_record& at(call_number number);
    [[nodiscard]] const call_record& at(call_number number) const;
    [[nodiscard]] std::size_t open_calls() const { return this->open; }
    void end(call_record& call, call_state state, core::time_point now);
    [[nodiscard]] std::vector<route_result> results() const;
    [[nodiscard]] std::uint64_t retries() const;

private:
    std::deque<call_record> calls;
    std::size_t open = 0;
};

} // namespace ragwortcove::bench
