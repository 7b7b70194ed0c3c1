/// \file
/// TCP connections on the loop, without a protocol: bytes in, bytes out, and how they end.
#pragma once

#include "ragwortcove/http/loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ragwortcove::http {

/// IP address and port of a socket.
struct socket_address {
    std::string address;
    std::uint16_t port = 0;
};

enum class stream_end {
    /// The other end sent everything and closed.
    orderly,
    /// The connection was reset, or could not be opened.
    broken,
    /// The other end acknowledged nothing for seconds.
    silent,
};

struct tcp_stream_handlers {
    /// The connection is open; only for those that this end opens.
    std::function<void()> opened;
    std::function<void(std::string_view)> received;
    /// Comes once and last.
    std::function<void(stream_end)> ended;
    /// Everything written has been handed to the network.
    std::function<void()> drained;
};

/// One TCP connection. Handlers may close or destroy it.
class tcp_stream {
public:
    /// Begins to open a connection; null when no socket could be made.
    [[nodiscard]] static std::unique_ptr<tcp_stream> connect(loop& on, const socket_address& to,
                                                             tcp_stream_handlers&& handlers);
    /// Takes over an accepted connection; null when the loop cannot watch it.
    [[nodiscard]] static std::unique_ptr<tcp_stream> adopt(loop& on, int descriptor,
                                                           tcp_stream_handlers&& handlers);
    /// Closes at once; bytes not yet sent are lost.
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    void write(std::string_view bytes);
    /// Closes once everything written has gone out.
    void close_after_writes();
    /// Closes with a reset, so that the other end cannot take what it got for whole.
    void reset();
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// Bytes handed to the network since the connection opened.
    [[nodiscard]] std::uint64_t sent_bytes() const;
    /// Whether nothing has come that was not read yet: no byte, no end, no reset.
    [[nodiscard]] bool is_quiet() const;
    /// Bytes that have come and were not read yet, which stay to be read; `max_bytes` at most.
    [[nodiscard]] std::string peek(std::size_t max_bytes) const;
    [[nodiscard]] bool is_open() const;

    struct state;

private:
    explicit tcp_stream(std::shared_ptr<state> made);
    std::shared_ptr<state> self;
};

struct tcp_listener_handlers {
    /// A connection was accepted; the handler owns its descriptor.
    std::function<void(int descriptor)> accepted;
    /// Connections wait that cannot be accepted; `error` is the system's error number.
    std::function<void(int error)> accept_failed;
};

/// Accepts connections on one address. While the address cannot be listened on, it is tried again.
/// While the process has no room for connections, the address is not listened on.
class tcp_listener {
public:
    tcp_listener(loop& on, socket_address at, tcp_listener_handlers&& handlers);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

    [[nodiscard]] bool listening() const { return this->watched != 0; }
    /// The system's error number if the address cannot be listened on now, otherwise zero.
    [[nodiscard]] int error() const { return this->listen_error; }
    /// The port that is listened on, also when any free one was asked for.
    [[nodiscard]] std::uint16_t port() const { return this->address.port; }

private:
    void try_to_listen();
    void accept_from(int descriptor);
    void fail(int error);

    loop& on;
    socket_address address;
    tcp_listener_handlers handlers;
    timer_id retry_timer = 0;
    descriptor_id watched = 0;
    int listen_error = 0;
};

} // namespace ragwortcove::http
