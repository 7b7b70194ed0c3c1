/// \file
/// Attempts on upstreams: sends requests, reads answers, and tells the core what happened.
#pragma once

#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/daemon/chat.hpp"
#include "ragwortcove/http/client.hpp"
#include "ragwortcove/http/event_stream.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::daemon {

/// A caller's request as an upstream gets it; kept until the exchange ends, for retries.
struct upstream_message {
    core::route_name route;
    std::string method;
    /// Path and query.
    std::string target;
    std::string content_type;
    std::string idempotency_key;
    std::string body;
};

/// Tokens of an answer that arrived together, and their text.
struct answer_piece {
    std::uint32_t count = 0;
    std::string text;
};

/// Answer of an engine, read from its stream as it comes.
struct engine_answer {
    http::event_stream_reader events;
    /// Offset of the next token.
    std::uint32_t next_offset = 0;
    /// What the last `upstream_progress` stands for.
    std::vector<answer_piece> pieces;
    std::optional<chat_usage> usage;
    std::string finish_reason;
};

/// Answer of a plain service; it is passed on when it is whole.
struct service_answer {
    int status = 200;
    std::string content_type;
    std::string body;
};

/// Answer to the question what became of a request.
struct status_answer {
    std::string body;
};

using upstream_answer = std::variant<engine_answer, service_answer, status_answer>;

class upstream_client {
public:
    using reporter = std::function<void(const core::event&)>;

    upstream_client(http::loop& on, http::client& client, reporter report);

    void open(const core::open_attempt& wanted, const upstream_message& message);
    /// Closes an attempt; an engine is also told to stop.
    void cancel(core::attempt_id attempt);
    /// Closes an attempt whose answer can't be used, and reports the failure.
    void abandon(core::attempt_id attempt, core::upstream_failure failure);
    /// What has come of an open attempt; nothing when it is over.
    [[nodiscard]] const upstream_answer* find_answer(core::attempt_id attempt) const;
    [[nodiscard]] std::size_t open_attempts() const { return this->attempts.size(); }

private:
    struct attempt {
        core::open_attempt wanted;
        http::client_exchange exchange = 0;
        upstream_answer answer;
        /// Set with the end marker; nothing is left to stop then.
        bool ended = false;
    };

    void take_head(core::attempt_id id, const http::response_head& head);
    void take_body(core::attempt_id id, std::string_view bytes);
    void take_end(core::attempt_id id);
    void take_failure(core::attempt_id id, http::client_error error);
    void fail(core::attempt_id id, core::upstream_failure failure);
    void take_engine_bytes(core::attempt_id id, std::string_view bytes);
    void report_engine_progress(core::attempt_id id, std::uint32_t count);
    void end_engine(core::attempt_id id);
    void end_service(core::attempt_id id);
    void end_status(core::attempt_id id);
    void finish(core::attempt_id id, std::uint32_t total, std::uint32_t cached_tokens);
    [[nodiscard]] attempt* find(core::attempt_id id);

    http::loop& on;
    http::client& client;
    reporter report;
    std::map<core::attempt_id, attempt> attempts;
};

} // namespace ragwortcove::daemon
