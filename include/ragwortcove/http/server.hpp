/// \file
/// HTTP server on the loop.
#pragma once

#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/http/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ragwortcove::http {

/// Number of an exchange (one request and its response) on one server.
using server_exchange = std::uint64_t;

/// Files of a certificate and what to ask of clients; unset paths mean plain HTTP.
struct tls_settings {
    std::string certificate_file;
    std::string private_key_file;
    /// Certificate authorities whose clients are accepted; empty asks for no client certificate.
    std::string client_authority_file;
    [[nodiscard]] bool enabled() const { return !this->certificate_file.empty(); }
    bool operator==(const tls_settings&) const = default;
};

struct server_settings {
    std::string address = "127.0.0.1";
    /// Zero takes any free port; see `server::port()`.
    std::uint16_t port = 0;
    tls_settings tls;
    std::size_t most_body_bytes = 8U << 20U;
};

/// Takes requests whole and lets their responses be written in parts.
class server {
public:
    /// A request has been read whole.
    using request_handler = std::function<void(server_exchange, request&&)>;
    /// The client went away before the response was finished; the exchange is over.
    using closed_handler = std::function<void(server_exchange)>;

    server(loop& on, const server_settings& settings, request_handler requested,
           closed_handler closed);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    [[nodiscard]] bool listening() const;
    [[nodiscard]] std::uint16_t port() const;
    /// Writes to an exchange that is over are dropped.
    void start_response(server_exchange exchange, response_head&& head);
    void write(server_exchange exchange, std::string_view bytes);
    void finish(server_exchange exchange);
    /// Answers with a whole body at once.
    void respond(server_exchange exchange, int status, std::string_view content_type,
                 std::string_view body, std::vector<header> headers = {});
    /// Reads the files of the certificate again, for new connections; false leaves the old ones in
    /// force.
    [[nodiscard]] bool reload_tls();
    /// Closes the connection without a proper end, so that the client sees a cut answer.
    void abort(server_exchange exchange);
    /// Bytes waiting to be written to the client.
    [[nodiscard]] std::size_t unsent_bytes(server_exchange exchange) const;

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::http
