/// \file
/// HTTP client on the loop: a bounded pool of kept connections, one exchange at a time on each.
#pragma once

#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/message.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ragwortcove::http {

/// Number of an exchange (one request and its response) on one client.
using client_exchange = std::uint64_t;

enum class client_error {
    /// No byte of the request was written; proven by the transport.
    not_sent,
    /// The connection broke after bytes were or may have been written.
    connection_lost,
    /// Nothing came for longer than the idle limit, after bytes were written.
    silent,
    /// The response is not proper HTTP.
    malformed,
};

/// What a caller of the client hears; `ended` or `failed` comes once and last, never from inside
/// `client::start`.
struct client_handlers {
    std::function<void(const response_head&)> headed;
    std::function<void(std::string_view)> body;
    std::function<void()> ended;
    std::function<void(client_error)> failed;
};

struct client_request {
    std::string address;
    std::uint16_t port = 0;
    request message;
    std::chrono::microseconds idle_limit{std::chrono::seconds{10}};
    /// Takes a new connection rather than a kept one.
    bool fresh_connection = false;
};

struct client_settings {
    /// Kept connections in the pool; each can be to any upstream.
    std::uint32_t pool_size = 32;
    bool tls = false;
    std::string authority_file;
    std::string certificate_file;
    std::string private_key_file;
};

class client {
public:
    client(loop& on, const client_settings& settings);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    client_exchange start(client_request&& request, client_handlers&& handlers);
    /// Ends an exchange at once; no handler is called after.
    void cancel(client_exchange exchange);

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::http
