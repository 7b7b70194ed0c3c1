#include "tls_session.hpp"

#include "ragwortcove/http/client.hpp"

#include <libwebsockets.h>
#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <array>

namespace ragwortcove::http {

/// Plain bytes taken from a session in one call.
static constexpr std::size_t read_size = 16U << 10U;
/// The protocol over TLS, as its length and its name.
static constexpr std::array<unsigned char, 9> offered_protocol{8,   'h', 't', 't', 'p',
                                                               '/', '1', '.', '1'};

struct tls_session::state {
    std::unique_ptr<SSL, decltype(&SSL_free)> ssl{nullptr, SSL_free};
    std::string host;
    /// Both belong to `ssl`.
    BIO* incoming = nullptr;
    BIO* outgoing = nullptr;
    bool is_open = false;
    bool has_failed = false;
};

static void log_failure(std::string_view what, const std::string& about)
{
    const char* const reason = ERR_reason_error_string(ERR_peek_error());
    lwsl_err("TLS: %.*s %s: %s\n", static_cast<int>(what.size()), what.data(), about.c_str(),
             reason == nullptr ? "no reason given" : reason);
    ERR_clear_error();
}

static bool read_files(SSL_CTX& into, const client_settings& settings)
{
    if (SSL_CTX_load_verify_locations(&into, settings.authority_file.c_str(), nullptr) != 1) {
        log_failure("can't read the authority", settings.authority_file);
        return false;
    }
    if (settings.certificate_file.empty())
        return true;
    if (SSL_CTX_use_certificate_chain_file(&into, settings.certificate_file.c_str()) != 1) {
        log_failure("can't read the certificate", settings.certificate_file);
        return false;
    }
    if (SSL_CTX_use_PrivateKey_file(&into, settings.private_key_file.c_str(), SSL_FILETYPE_PEM) !=
        1) {
        log_failure("can't read the private key", settings.private_key_file);
        return false;
    }
    return true;
}

tls_context load_tls_context(const client_settings& settings)
{
    ERR_clear_error();
    tls_context made(SSL_CTX_new(TLS_client_method()), SSL_CTX_free);
    if (!made || SSL_CTX_set_min_proto_version(made.get(), TLS1_2_VERSION) != 1) {
        log_failure("can't make", "a context");
        return nullptr;
    }
    SSL_CTX_set_verify(made.get(), SSL_VERIFY_PEER, nullptr);
    return read_files(*made, settings) ? made : nullptr;
}

/// Demands that the other end's certificate states this host; false when it can't be demanded.
static bool demand_host(SSL& of, const std::string& host)
{
    if (X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(&of), host.c_str()) == 1)
        return true;
    ERR_clear_error();
    return SSL_set1_host(&of, host.c_str()) == 1 &&
           SSL_set_tlsext_host_name(&of, host.c_str()) == 1;
}

static void fail(tls_session::state& self)
{
    log_failure("no session with", self.host);
    self.has_failed = true;
}

static void shake_hands(tls_session::state& self)
{
    ERR_clear_error();
    const int done = SSL_do_handshake(self.ssl.get());
    if (done == 1) {
        self.is_open = true;
        return;
    }
    if (SSL_get_error(self.ssl.get(), done) != SSL_ERROR_WANT_READ)
        fail(self);
}

tls_session::tls_session(const tls_context& context, std::string_view host)
    : self(std::make_unique<state>())
{
    this->self->host = host;
    this->self->ssl.reset(context ? SSL_new(context.get()) : nullptr);
    SSL* const ssl = this->self->ssl.get();
    if (ssl == nullptr || !demand_host(*ssl, this->self->host) ||
        SSL_set_alpn_protos(ssl, offered_protocol.data(), offered_protocol.size()) != 0) {
        fail(*this->self);
        return;
    }
    this->self->incoming = BIO_new(BIO_s_mem());
    this->self->outgoing = BIO_new(BIO_s_mem());
    SSL_set_bio(ssl, this->self->incoming, this->self->outgoing);
    SSL_set_connect_state(ssl);
    shake_hands(*this->self);
}

tls_session::~tls_session() = default;

/// Takes all plain bytes that have come.
static void read_plain(tls_session::state& self, tls_session::received& into)
{
    std::array<char, read_size> buffer; // NOLINT: filled by OpenSSL
    while (true) {
        ERR_clear_error();
        const int count = SSL_read(self.ssl.get(), buffer.data(), static_cast<int>(buffer.size()));
        if (count > 0) {
            into.plain.append(buffer.data(), static_cast<std::size_t>(count));
            continue;
        }
        const int why = SSL_get_error(self.ssl.get(), count);
        into.is_over = why != SSL_ERROR_WANT_READ;
        if (into.is_over && why != SSL_ERROR_ZERO_RETURN)
            fail(self);
        return;
    }
}

tls_session::received tls_session::receive(std::string_view bytes)
{
    received result;
    result.is_over = this->self->has_failed;
    if (result.is_over)
        return result;
    // A memory buffer takes everything.
    BIO_write(this->self->incoming, bytes.data(), static_cast<int>(bytes.size()));
    if (!this->self->is_open)
        shake_hands(*this->self);
    if (this->self->is_open)
        read_plain(*this->self, result);
    result.is_over = result.is_over || this->self->has_failed;
    return result;
}

bool tls_session::send(std::string_view plain)
{
    if (!this->is_open())
        return false;
    if (plain.empty())
        return true;
    ERR_clear_error();
    if (SSL_write(this->self->ssl.get(), plain.data(), static_cast<int>(plain.size())) > 0)
        return true;
    fail(*this->self);
    return false;
}

std::string tls_session::take_outgoing()
{
    if (this->self->outgoing == nullptr)
        return {};
    std::string bytes(BIO_ctrl_pending(this->self->outgoing), '\0');
    if (!bytes.empty())
        BIO_read(this->self->outgoing, bytes.data(), static_cast<int>(bytes.size()));
    return bytes;
}

bool tls_session::is_open() const
{
    return this->self->is_open && !this->self->has_failed;
}

bool tls_session::has_failed() const
{
    return this->self->has_failed;
}

} // namespace ragwortcove::http
