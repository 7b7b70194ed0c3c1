/// \file
/// Open exchanges with callers: what each asked, and how its answer is written.
#pragma once

#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/daemon/caller_call.hpp"
#include "ragwortcove/daemon/metrics.hpp"
#include "ragwortcove/daemon/upstream_client.hpp"
#include "ragwortcove/http/server.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace ragwortcove::daemon {

/// A chat answer on its way to a caller.
struct chat_reply {
    std::string model;
    bool stream = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    /// Text so far of an answer that is not streamed.
    std::string content;
    /// Set with the head of a streamed answer.
    std::optional<chat_chunk_writer> chunks;
};

/// A plain service's answer on its way to a caller.
struct service_reply {
    int status = 200;
    std::string content_type;
    std::string body;
};

/// An answer to which addresses a caller should use.
struct addresses_reply {
    core::route_name route;
};

using caller_reply = std::variant<chat_reply, service_reply, addresses_reply>;

/// One caller's open request.
struct caller_exchange {
    caller_reply reply;
    upstream_message message;
    core::time_point arrived;
    core::unix_millis arrived_at;
    std::optional<core::request_id> request;
    /// The last attempt on an upstream.
    core::attempt_id attempt;
    bool answered_first_byte = false;
};

enum class forward_outcome { forwarded, caller_too_slow, not_aligned, nothing_open };

class caller_exchanges {
public:
    /// Most bytes that may wait for a caller who reads slowly.
    static constexpr std::size_t most_unsent_bytes = 1U << 20U;

    caller_exchanges(http::server& server, metrics& figures, core::incarnation run);

    void open(core::exchange_id id, caller_exchange&& exchange);
    void close(core::exchange_id id);
    [[nodiscard]] const caller_exchange* find(core::exchange_id id) const;
    /// Notes which attempt an exchange's answer will come from.
    void note_attempt(const core::open_attempt& opened);

    /// Passes on what an attempt brought last, from `skip` on.
    forward_outcome forward(core::exchange_id id, const upstream_answer& answer,
                            std::uint32_t skip);
    void finish(const core::finish_exchange& done, const upstream_answer* answer,
                core::time_point now);
    void refuse(const core::refuse_exchange& refused);
    void cut(const core::abort_exchange& broken);
    void answer_addresses(const core::address_response& answer);
    /// Answers a call that never reaches the core.
    void reject(core::exchange_id id, const problem& value);
    void respond(core::exchange_id id, int status, std::string_view content_type,
                 std::string_view body);
    /// Closes the connection of a caller that can't be served on.
    void abort(core::exchange_id id);
    void observe_first_byte(core::exchange_id id, core::time_point now);
    /// Whether a finished answer still waits to be written to its caller.
    [[nodiscard]] bool has_unsent_answers();

private:
    [[nodiscard]] caller_exchange* find(core::exchange_id id);
    /// Notes under which id the core handles an exchange.
    void identify(core::exchange_id id, const core::request_id& request);
    [[nodiscard]] std::string next_local_request_id();
    [[nodiscard]] std::string request_text(const caller_exchange& exchange);
    void write_problem(core::exchange_id id, const problem& value, std::string_view request_id);
    void write_chat_tokens(core::exchange_id id, const caller_exchange& exchange, chat_reply& reply,
                           std::string_view text);
    void start_chat_stream(core::exchange_id id, const caller_exchange& exchange,
                           chat_reply& reply);
    void write_chat_end(core::exchange_id id, caller_exchange& exchange, chat_reply& reply,
                        const engine_answer& answer);

    http::server& server;
    metrics& figures;
    core::incarnation run;
    std::uint64_t last_local_request = 0;
    std::map<core::exchange_id, caller_exchange> exchanges;
    /// Exchanges that are closed here and may have bytes to be written.
    std::vector<core::exchange_id> finishing;
};

/// Name of a reply's kind, for metrics.
[[nodiscard]] std::string_view kind_name(const caller_reply& reply);

} // namespace ragwortcove::daemon
