/// \file
/// HTTP/1.1 client with kept connections, one exchange at a time on each, that tells apart what was
/// never sent from what may have been read.
#pragma once

#include "ragwortcove/http/message_reader.hpp"
#include "ragwortcove/http/tcp_stream.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::http {

/// Number of an exchange on one client; zero is none.
using outbound_exchange = std::uint64_t;

enum class outbound_failure {
    /// The connection never opened, so no byte was sent.
    not_sent,
    /// The connection ended before the response was whole.
    connection_lost,
    /// The same, after the other end had acknowledged nothing for seconds.
    connection_silent,
    /// The response is not proper HTTP.
    malformed,
};

struct outbound_handlers {
    std::function<void(status_line_and_headers&&)> head;
    std::function<void(std::string_view)> body;
    /// `complete` or `failed` comes once and last.
    std::function<void()> complete;
    std::function<void(outbound_failure)> failed;
};

struct outbound_request {
    socket_address to;
    /// Who is at that address; kept connections are shared only under the same identity.
    std::string identity;
    std::string method;
    std::string target;
    /// Without those that frame the body, which the client adds.
    std::vector<header> headers;
    std::string body;
    std::chrono::milliseconds connect_time{250};
    /// Does not take a kept connection.
    bool fresh_connection = false;
};

struct outbound_counters {
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_reused = 0;
};

class outbound_client {
public:
    /// Kept connections are closed after `keep_time`, or sooner if the other end says so.
    outbound_client(loop& on, std::chrono::milliseconds keep_time);
    ~outbound_client();
    outbound_client(const outbound_client&) = delete;
    outbound_client& operator=(const outbound_client&) = delete;

    /// No handler is called from inside this call.
    outbound_exchange start(outbound_request&& request, outbound_handlers&& handlers);
    /// Head of an exchange's response that has come and was not read yet; unset when there is none,
    /// or a part of it was read.
    [[nodiscard]] std::optional<status_line_and_headers>
    peek_head(outbound_exchange exchange) const;
    /// Ends an exchange and closes its connection at once; no handler is called after.
    void cancel(outbound_exchange exchange);
    /// Drops the response whose head has just come, since it belongs to another exchange, and waits
    /// for this one's. Only to be called by the `head` handler. The connection is not kept.
    void skip_response(outbound_exchange exchange);
    /// Whether a connection to an identity is open, as far as this end knows.
    [[nodiscard]] bool has_connection(std::string_view identity) const;
    /// Closes the kept connections of an identity.
    void forget(std::string_view identity);
    [[nodiscard]] const outbound_counters& counters() const;
    /// Bytes of requests that wait for the other ends to take them.
    [[nodiscard]] std::size_t unsent_bytes() const;

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::http
