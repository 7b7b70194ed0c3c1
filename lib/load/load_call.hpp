/// \file
/// One request of a load run, over all its tries.
#pragma once

#include "ragwortcove/http/client.hpp"
#include "ragwortcove/http/event_stream.hpp"
#include "ragwortcove/load/address_book.hpp"
#include "ragwortcove/load/load_result.hpp"

#include <cstdint>
#include <string>

namespace ragwortcove::load {

struct load_call {
    const load_class* kind = nullptr;
    class_result* result = nullptr;
    bool counted = true;
    std::uint64_t number = 0;
    /// When the arrival process had it sent.
    std::chrono::microseconds intended{0};
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;

    /// Tries that were refused so far.
    std::uint32_t refusals = 0;

    // The try under way.
    entry_address entry;
    http::response_head head;
    std::string body;
    http::event_stream_reader events;
    bool stream_whole = false;
    bool stream_broken = false;
    std::chrono::microseconds last_token{0};
};

/// How one try ended.
struct try_outcome {
    enum class kind { answered, not_run, may_have_run, cut };
    kind ended = kind::may_have_run;
    /// When to come back after `not_run`; unset when asking again does not help.
    std::optional<std::chrono::milliseconds> retry_after;
};

[[nodiscard]] http::client_request make_request(const load_call& call, bool direct,
                                                std::chrono::microseconds time_left,
                                                const std::string& run_name);
/// Takes bytes of the answer.
void take_body(load_call& call, std::string_view part, std::chrono::microseconds now);
[[nodiscard]] try_outcome judge_answer(const load_call& call);
[[nodiscard]] try_outcome judge_failure(const load_call& call, http::client_error error);

} // namespace ragwortcove::load
