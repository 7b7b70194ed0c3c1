/// \file
/// What the sources of the client share: its exchanges, its connections and its pool.
#pragma once

#include "ragwortcove/http/client.hpp"
#include "ragwortcove/http/message_reader.hpp"
#include "tls_session.hpp"

#include <libwebsockets.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ragwortcove::http {

struct open_exchange;

/// One connection, with one exchange at a time on it.
struct client_connection : std::enable_shared_from_this<client_connection> {
    client::state* owner = nullptr;
    /// Unset once libwebsockets has closed it.
    lws* wsi = nullptr;
    /// IP address of the upstream.
    std::string address;
    /// The same with its port.
    std::string upstream;
    /// Unset for plain HTTP.
    std::unique_ptr<tls_session> tls;
    /// Whether it takes requests.
    bool opened = false;
    /// Exchange under way; none while the connection is kept, and once it is to be closed.
    open_exchange* serves = nullptr;
    /// Bytes of that exchange's request, and how many of them have been written.
    std::string request;
    std::size_t written_bytes = 0;
    std::unique_ptr<response_reader> reader;
    /// Whether the response leaves the connection open for another one.
    bool stays_open = false;
};

using client_connection_pointer = std::shared_ptr<client_connection>;

/// An exchange that has not ended.
struct open_exchange {
    client_exchange id = 0;
    client::state* owner = nullptr;
    client_request wanted;
    client_handlers handlers;
    /// Unset while it waits for one.
    client_connection_pointer connection;
    /// Index in the pool; unset while it waits and on a connection of its own.
    std::optional<std::size_t> slot;
    /// Has a connection of its own.
    bool single = false;
    std::chrono::microseconds started{0};
    /// Address and port of the upstream.
    std::string upstream;
    /// Set from the first byte that may have reached the socket.
    bool written = false;
    std::chrono::microseconds last_activity{0};
    timer_id idle_timer = 0;
};

/// Place of one connection in the pool.
struct pool_slot {
    bool busy = false;
    /// Open connection that no exchange uses.
    client_connection_pointer kept;
};

struct client::state {
    loop& on;
    client_settings settings;
    lws_vhost* vhost = nullptr;
    /// Unset for plain HTTP, and when its files can't be read.
    tls_context trusted;
    std::vector<pool_slot> pool;
    bool ended = false;
    client_exchange last_exchange = 0;
    std::map<client_exchange, std::unique_ptr<open_exchange>> exchanges;
    /// Exchanges that wait for a connection, in their order.
    std::deque<client_exchange> waiting;
    /// Connections outside the pool.
    std::uint32_t single_connections = 0;
    /// All connections that libwebsockets has not closed yet.
    std::vector<client_connection_pointer> connections;
};

// Of client.cpp: exchanges and the pool.

/// Ends an exchange whose response is complete.
void end_whole(client::state& self, open_exchange& each);
/// Ends an exchange without a whole response.
void end_failed(client::state& self, open_exchange& each, client_error error);

// Of client_connection.cpp: what goes over the connections.

/// The vhost that all connections of a client belong to.
[[nodiscard]] lws_vhost* create_client_vhost(client::state& self);
/// Opens a connection for an exchange.
void connect(client::state& self, open_exchange& each);
/// Gives an open connection its next exchange.
void reuse(const client_connection_pointer& kept, open_exchange& each);
/// Closes a connection when the turn is over; its exchange is not told.
void close_connection(const client_connection& closed);

} // namespace ragwortcove::http
