/// \file
/// The published chat completion form: callers' requests read, upstreams' chunks read, answers
/// written.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortcove::daemon {

/// What is wrong with a chat request.
struct chat_error {
    std::string detail;
};

/// A caller's chat request.
struct chat_request {
    std::string model;
    /// Text of all messages, role and content, in order.
    std::string prompt;
    std::uint32_t max_tokens = 0;
    bool stream = false;
    /// Body for the upstream: the caller's, but always streamed and with usage figures.
    std::string upstream_body;
};

[[nodiscard]] boost::leaf::result<chat_request> parse_chat_request(std::string_view body);

/// Figures that end an engine's answer.
struct chat_usage {
    std::uint32_t completion_tokens = 0;
    std::uint32_t cached_tokens = 0;
};

/// One chunk of an engine's stream.
struct chat_chunk {
    std::uint32_t count = 0;
    std::string content;
    /// Why the engine stopped; empty in all but the last chunk.
    std::string finish_reason;
    std::optional<chat_usage> usage;
};

/// Reads a chunk; nothing when it is not one, or reports an error.
[[nodiscard]] std::optional<chat_chunk> parse_chat_chunk(std::string_view data);

/// What each part of one answer says of it.
struct chat_answer_head {
    std::string_view request_id;
    std::string_view model;
    core::unix_millis created;
};

/// Figures and stop reason of a whole answer.
struct chat_answer_end {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::string_view finish_reason;
};

/// Writes an answer's chunks; what is the same in all of them is written once.
class chat_chunk_writer {
public:
    explicit chat_chunk_writer(const chat_answer_head& head);
    [[nodiscard]] std::string write(std::string_view content) const;

private:
    /// Text before and after the content.
    std::string before;
    std::string after;
};

[[nodiscard]] std::string render_chat_end(const chat_answer_head& head, const chat_answer_end& end);
[[nodiscard]] std::string render_chat_answer(const chat_answer_head& head, std::string_view content,
                                             const chat_answer_end& end);

} // namespace ragwortcove::daemon
