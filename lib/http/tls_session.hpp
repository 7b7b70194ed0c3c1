/// \file
/// TLS of the client's connections, without input or output: the bytes of the other end go in, and
/// those for it come out.
#pragma once

#include <openssl/types.h>

#include <memory>
#include <string>
#include <string_view>

namespace ragwortcove::http {

struct client_settings;

/// What all sessions of a client trust and show of themselves.
using tls_context = std::shared_ptr<SSL_CTX>;

/// Reads the files that the settings name; null, with a line in the log, when that fails.
[[nodiscard]] tls_context load_tls_context(const client_settings& settings);

/// The client's end of one session.
class tls_session {
public:
    /// What bytes of the other end have brought.
    struct received {
        std::string plain;
        /// Whether the session is over: closed by the other end, or failed.
        bool is_over = false;
    };

    /// `host` is the name or IP address that the other end's certificate has to state.
    tls_session(const tls_context& context, std::string_view host);
    ~tls_session();
    tls_session(const tls_session&) = delete;
    tls_session& operator=(const tls_session&) = delete;

    [[nodiscard]] received receive(std::string_view bytes);
    /// Encrypts bytes; only to be called once the session is open. Returns whether it was possible.
    [[nodiscard]] bool send(std::string_view plain);
    /// Bytes that the other end is to get next, each once.
    [[nodiscard]] std::string take_outgoing();
    /// Whether the other end has shown that it is `host`, and takes bytes.
    [[nodiscard]] bool is_open() const;
    /// Whether there is no session and will be none.
    [[nodiscard]] bool has_failed() const;

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::http
