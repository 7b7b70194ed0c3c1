/// \file
/// HTTP/1.1 server that passes on every header and tells how each connection ends.
#pragma once

#include "ragwortcove/http/message_reader.hpp"
#include "ragwortcove/http/tcp_stream.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::http {

/// Number of an exchange (one request and its response) on one server.
using inbound_exchange = std::uint64_t;

/// What clients may send, and how long they may take.
struct inbound_limits {
    message_limits message;
    /// From the first byte of a head to its last, and the longest pause within a body.
    std::chrono::milliseconds header_time{5000};
    /// From the first byte of a request to its last.
    std::chrono::milliseconds request_time{60000};
    /// How long a kept connection may lie idle.
    std::chrono::milliseconds idle_time{15000};
    /// How long after `idle_time` was lowered callers may still count on the longer one.
    std::chrono::milliseconds idle_notice_time{5000};
    /// Bytes that may wait for a client that takes none for `clogged_time`.
    std::size_t unsent_bytes = 4U << 20U;
    std::chrono::milliseconds clogged_time{1000};
    /// Bytes that may wait for a client that reads slowly.
    std::size_t max_unsent_bytes = 24U << 20U;
    /// Bytes that may wait for all clients; over it the one for which most wait is cut off.
    std::size_t max_all_unsent_bytes = 48U << 20U;
    /// Memory of the bodies of all requests that are being read or answered; over it the longest
    /// that is being read is refused.
    std::size_t max_all_request_bytes = 32U << 20U;
    /// Connections that are held; for a further one the one is closed that has been idle for
    /// longest.
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
};

struct inbound_request {
    request_line_and_headers head;
    std::string body;
};

enum class connection_phase {
    /// No byte of a request has come.
    idle,
    reading,
    /// A request is with the handler; its response may have begun.
    answering,
};

/// Why this end closed a connection other than at the end of its use.
enum class closing_reason {
    /// A request was not whole in time.
    slow_request,
    /// The client did not take the bytes that it was sent.
    clogged,
    /// The handler aborted a response.
    aborted,
    /// The server ended before the client had its answer.
    server_ended,
};

/// How this end closed one connection.
struct connection_closing {
    closing_reason reason = closing_reason::slow_request;
    connection_phase phase = connection_phase::idle;
    /// Exchange that was open; zero is none.
    inbound_exchange exchange = 0;
    /// Time since the connection became idle, or since the first byte of the request under way.
    std::chrono::microseconds age{0};
    /// Bytes that were not handed to the network.
    std::size_t unsent_bytes = 0;
};

/// Head of a response; the server adds what frames the body.
struct inbound_response {
    int status = 200;
    std::vector<header> headers;
    /// Length of the body; unset sends it in chunks, or until the end of the connection to a client
    /// of HTTP/1.0.
    std::optional<std::uint64_t> content_length;
};

struct inbound_handlers {
    /// A request has been read whole.
    std::function<void(inbound_exchange, inbound_request&&)> requested;
    /// The client went away, or reads too slowly, before the response was finished.
    std::function<void(inbound_exchange)> abandoned;
    /// A client's bytes were refused with that status before they were a request.
    std::function<void(int status)> rejected;
    /// This end closes a connection other than at the end of its use; comes before `abandoned`.
    std::function<void(const connection_closing&)> closing;
    /// A client's connection is refused, since there is no room or the system cannot accept it;
    /// `error` is the system's error number.
    std::function<void(int error)> accept_failed;
};

class inbound_server {
public:
    inbound_server(loop& on, const socket_address& at, const inbound_limits& limits,
                   inbound_handlers&& handlers);
    ~inbound_server();
    inbound_server(const inbound_server&) = delete;
    inbound_server& operator=(const inbound_server&) = delete;

    [[nodiscard]] bool listening() const;
    /// As `tcp_listener::error()`.
    [[nodiscard]] int listen_error() const;
    [[nodiscard]] std::uint16_t port() const;
    /// Takes effect for messages that begin later, and a lowered idle time for connections that
    /// become idle later.
    void set_limits(const inbound_limits& limits);

    /// Writes to an exchange that is over are dropped.
    void start_response(inbound_exchange exchange, inbound_response&& head);
    void write(inbound_exchange exchange, std::string_view bytes);
    void finish(inbound_exchange exchange);
    /// A whole response at once.
    void respond(inbound_exchange exchange, int status, std::vector<header> headers,
                 std::string_view body);
    /// Resets the connection, so that the client sees a cut answer.
    void abort(inbound_exchange exchange);
    /// From now on every response says that its connection closes.
    void begin_drain();
    /// Closes the connections on which no request is open or waits to be read.
    void close_idle();
    [[nodiscard]] std::size_t connections() const;
    /// Connections with a request that is being read or answered, or with bytes that are not handed
    /// to the network yet.
    [[nodiscard]] std::size_t unfinished() const;
    /// Bytes of responses that wait for clients to take them.
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Closes every connection, with a reset where `unfinished()` counts it.
    void close_all();

    struct state;

private:
    std::unique_ptr<state> self;
};

[[nodiscard]] std::string_view to_string(connection_phase phase);
[[nodiscard]] std::string_view to_string(closing_reason reason);
/// Reason phrase of a status; empty for one that is not known.
[[nodiscard]] std::string_view reason_phrase(int status);

} // namespace ragwortcove::http
