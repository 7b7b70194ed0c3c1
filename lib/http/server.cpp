#include "ragwortcove/http/server.hpp"

#include "hangup_watch.hpp"
#include "known_headers.hpp"
#include "loop_state.hpp"
#include "ragwortcove/http/percent_encoding.hpp"

#include <libwebsockets.h>
#include <openssl/ssl.h>

#include <array>
#include <cassert>
#include <charconv>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace ragwortcove::http {

static constexpr int status_bad_request = 400;
static constexpr int status_payload_too_large = 413;
static constexpr int status_length_required = 411;
/// Idle time after which a kept connection is closed.
static constexpr int keep_alive_seconds = 60;
/// Room for the head of a response.
static constexpr std::size_t most_head_bytes = 32U << 10U;
/// Body bytes passed to the socket in one write.
static constexpr std::size_t most_write_bytes = 60U << 10U;

namespace {

/// One request and its response.
struct exchange {
    server_exchange id = 0;
    lws* connection = nullptr;
    request message;
    response_head head;
    std::string unsent;
    /// The response to a HEAD request has no body.
    bool head_only = false;
    bool delivered = false;
    bool refused = false;
    bool head_ready = false;
    bool head_written = false;
    bool finished = false;
    bool aborted = false;
    /// Reading from the connection is paused.
    bool paused = false;
};

} // namespace

struct server::state {
    loop& on;
    server_settings settings;
    request_handler requested;
    closed_handler closed;
    lws_vhost* vhost = nullptr;
    bool ended = false;
    server_exchange last_exchange = 0;
    std::map<server_exchange, exchange> exchanges;
    /// Connections that have carried a request and are still open.
    std::set<lws*> connections;
    std::optional<hangup_watch> hangups;
    /// OpenSSL's settings for new connections; null without TLS.
    SSL_CTX* tls_context = nullptr;

    exchange* find(server_exchange id)
    {
        const auto found = this->exchanges.find(id);
        return found == this->exchanges.end() ? nullptr : &found->second;
    }
};

static std::string read_method(lws* wsi, std::string& path)
{
    char* uri = nullptr;
    int length = 0;
    const int method = lws_http_get_uri_and_method(wsi, &uri, &length);
    static constexpr std::array<std::string_view, 8> names{"GET",   "POST",   "OPTIONS", "PUT",
                                                           "PATCH", "DELETE", "CONNECT", "HEAD"};
    if (method < 0 || static_cast<std::size_t>(method) >= names.size())
        return {};
    path.assign(uri, static_cast<std::size_t>(length));
    return std::string(names[static_cast<std::size_t>(method)]);
}

/// libwebsockets hands out the arguments decoded and apart; this joins them again.
static std::string read_query(lws* wsi)
{
    std::string query;
    std::array<char, 4096> fragment{};
    for (int index = 0;; ++index) {
        const int length = lws_hdr_copy_fragment(wsi, fragment.data(), fragment.size(),
                                                 WSI_TOKEN_HTTP_URI_ARGS, index);
        if (length <= 0)
            return query;
        const std::string_view pair(fragment.data(), static_cast<std::size_t>(length));
        const std::size_t equals = pair.find('=');
        if (!query.empty())
            query += '&';
        query += percent_encoded(pair.substr(0, equals));
        if (equals == std::string_view::npos)
            continue;
        query += '=';
        query += percent_encoded(pair.substr(equals + 1));
    }
}

/// Nothing when the text is no number.
static std::optional<std::uint64_t> parse_length(std::string_view text)
{
    std::uint64_t length = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, length);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return length;
}

static exchange* exchange_of(lws* wsi)
{
    return static_cast<exchange*>(lws_get_opaque_user_data(wsi));
}

/// Pauses reading while there is nothing to write; see `hangup_watch`.
static void pause_reading(exchange& each)
{
    each.paused = true;
    lws_rx_flow_control(each.connection, 0);
}

/// libwebsockets writes nothing to a connection whose reading is paused.
static void request_write(exchange& each)
{
    if (each.paused) {
        each.paused = false;
        lws_rx_flow_control(each.connection, 1);
    }
    lws_callback_on_writable(each.connection);
}

static void deliver(server::state& self, exchange& each)
{
    if (each.delivered || each.refused)
        return;
    each.delivered = true;
    lws_set_timeout(each.connection, NO_PENDING_TIMEOUT, 0);
    const server_exchange id = each.id;
    self.requested(id, std::move(each.message));
    exchange* const still = self.find(id);
    if (still != nullptr && !still->head_ready && !still->aborted)
        pause_reading(*still);
}

static void refuse(exchange& each, int status)
{
    each.refused = true;
    each.head = {status, {{"connection", "close"}}, 0};
    each.head_ready = true;
    each.finished = true;
    request_write(each);
}

/// Subject common name of the client's certificate, if it showed one.
static std::string read_peer_name(lws* wsi)
{
    union {
        lws_tls_cert_info_results results;
        std::array<char, 512> room;
    } info{};
    const std::size_t most = sizeof info - sizeof info.results + sizeof info.results.ns.name;
    if (!lws_is_ssl(wsi) ||
        lws_tls_peer_cert_info(wsi, LWS_TLS_CERT_INFO_COMMON_NAME, &info.results, most) != 0)
        return {};
    return {info.results.ns.name, static_cast<std::size_t>(info.results.ns.len)};
}

static int begin_exchange(server::state& self, lws* wsi)
{
    if (self.connections.insert(wsi).second)
        self.hangups->add(wsi);
    const server_exchange id = ++self.last_exchange;
    exchange& each = self.exchanges[id];
    each.id = id;
    each.connection = wsi;
    each.message.method = read_method(wsi, each.message.path);
    each.message.peer_common_name = read_peer_name(wsi);
    each.head_only = each.message.method == "HEAD";
    each.message.query = read_query(wsi);
    each.message.headers = read_headers(wsi);
    lws_set_opaque_user_data(wsi, &each);
    if (find_header(each.message.headers, "transfer-encoding")) {
        refuse(each, status_length_required);
        return 0;
    }
    const auto length =
        parse_length(find_header(each.message.headers, "content-length").value_or("0"));
    if (!length) {
        refuse(each, status_bad_request);
        return 0;
    }
    if (*length > self.settings.most_body_bytes) {
        refuse(each, status_payload_too_large);
        return 0;
    }
    if (*length == 0) {
        deliver(self, each);
        return 0;
    }
    each.message.body.reserve(*length);
    return 0;
}

static int receive_body(exchange* each, const void* in, std::size_t length)
{
    if (each == nullptr || each->refused)
        return 0;
    each->message.body.append(static_cast<const char*>(in), length);
    return 0;
}

static bool has_no_body(const exchange& each)
{
    return each.head_only || each.head.status == 204 || each.head.status == 304;
}

static bool add_header(lws* wsi, const header& each, unsigned char** at, unsigned char* end)
{
    const std::string name = each.name + ":";
    return lws_add_http_header_by_name(wsi, reinterpret_cast<const unsigned char*>(name.c_str()),
                                       reinterpret_cast<const unsigned char*>(each.value.data()),
                                       static_cast<int>(each.value.size()), at, end) == 0;
}

/// Appends the head to `out`; false when it does not fit.
static bool append_head(exchange& each, std::string& out)
{
    std::array<unsigned char, most_head_bytes> buffer; // NOLINT: filled by libwebsockets
    unsigned char* at = buffer.data();
    unsigned char* const end = buffer.data() + buffer.size();
    lws* wsi = each.connection;
    if (lws_add_http_header_status(wsi, static_cast<unsigned int>(each.head.status), &at, end) != 0)
        return false;
    for (const header& one : each.head.headers) {
        if (!add_header(wsi, one, &at, end))
            return false;
    }
    const header framing = each.head.content_length
                               ? header{"content-length", std::to_string(*each.head.content_length)}
                               : header{"transfer-encoding", "chunked"};
    if (!add_header(wsi, framing, &at, end))
        return false;
    if (lws_finalize_http_header(wsi, &at, end) != 0)
        return false;
    out.append(reinterpret_cast<const char*>(buffer.data()),
               static_cast<std::size_t>(at - buffer.data()));
    return true;
}

static void append_chunk(std::string& out, std::string_view bytes)
{
    std::array<char, 20> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    out.append(size.data(), static_cast<std::size_t>(length));
    out += bytes;
    out += "\r\n";
}

/// Moves what may go out now into `out`.
static void append_body(exchange& each, std::string& out)
{
    const bool chunked = !each.head.content_length;
    const std::size_t count = std::min(each.unsent.size(), most_write_bytes);
    const std::string_view part = std::string_view(each.unsent).substr(0, count);
    if (has_no_body(each)) {
        each.unsent.clear();
        return;
    }
    if (!chunked)
        out += part;
    if (chunked && !part.empty())
        append_chunk(out, part);
    each.unsent.erase(0, count);
    if (chunked && each.finished && each.unsent.empty())
        append_chunk(out, {});
}

static int end_exchange(server::state& self, exchange& each)
{
    lws* wsi = each.connection;
    const bool close = each.refused;
    lws_set_opaque_user_data(wsi, nullptr);
    self.exchanges.erase(each.id);
    if (close)
        return -1;
    return lws_http_transaction_completed(wsi) != 0 ? -1 : 0;
}

static int write_response(server::state& self, exchange* each)
{
    if (each == nullptr || !each->head_ready)
        return each != nullptr && each->aborted ? -1 : 0;
    std::string out(LWS_PRE, '\0');
    if (!each->head_written && !append_head(*each, out))
        return -1;
    each->head_written = true;
    append_body(*each, out);
    const std::size_t length = out.size() - LWS_PRE;
    if (length > 0 &&
        lws_write(each->connection, reinterpret_cast<unsigned char*>(out.data()) + LWS_PRE, length,
                  LWS_WRITE_HTTP) < static_cast<int>(length))
        return -1;
    if (each->aborted && each->unsent.empty())
        return -1;
    if (each->finished && each->unsent.empty())
        return end_exchange(self, *each);
    if (each->unsent.empty())
        pause_reading(*each);
    if (!each->unsent.empty())
        request_write(*each);
    return 0;
}

static void close_exchange(server::state& self, lws* wsi)
{
    self.connections.erase(wsi);
    exchange* each = exchange_of(wsi);
    if (each == nullptr)
        return;
    lws_set_opaque_user_data(wsi, nullptr);
    const server_exchange id = each->id;
    const bool tell = each->delivered && !each->aborted && !self.ended;
    self.exchanges.erase(id);
    if (tell)
        self.closed(id);
}

static void end_hung_up(const server::state& self, lws* wsi)
{
    if (self.connections.count(wsi) != 0 && exchange_of(wsi) != nullptr)
        lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_SYNC);
}

static int handle_server_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                               std::size_t length)
{
    // OpenSSL's own result of the check comes as the length; libwebsockets would not heed it.
    if (reason == LWS_CALLBACK_OPENSSL_PERFORM_CLIENT_CERT_VERIFICATION)
        return length == 0 ? -1 : 0;
    lws_vhost* vhost = wsi != nullptr ? lws_get_vhost(wsi) : nullptr;
    auto* self = vhost != nullptr ? static_cast<server::state*>(lws_vhost_user(vhost)) : nullptr;
    if (self == nullptr)
        return 0;
    if (reason == LWS_CALLBACK_OPENSSL_LOAD_EXTRA_SERVER_VERIFY_CERTS) {
        self->tls_context = static_cast<SSL_CTX*>(user);
        return 0;
    }
    if (reason == LWS_CALLBACK_HTTP)
        return self->ended ? -1 : begin_exchange(*self, wsi);
    if (reason == LWS_CALLBACK_HTTP_BODY)
        return receive_body(exchange_of(wsi), in, length);
    if (reason == LWS_CALLBACK_HTTP_BODY_COMPLETION) {
        if (exchange* each = exchange_of(wsi))
            deliver(*self, *each);
        return 0;
    }
    if (reason == LWS_CALLBACK_HTTP_WRITEABLE)
        return write_response(*self, exchange_of(wsi));
    if (reason == LWS_CALLBACK_CLOSED_HTTP || reason == LWS_CALLBACK_WSI_DESTROY) {
        close_exchange(*self, wsi);
        return 0;
    }
    if (reason == LWS_CALLBACK_FILTER_NETWORK_CONNECTION ||
        reason == LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED)
        return 0;
    return lws_callback_http_dummy(wsi, reason, user, in, length);
}

static constexpr std::string_view unknown_method_answer =
    "HTTP/1.1 501 Not Implemented\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// libwebsockets hands over connections whose first line it can't read, such as one with a method
/// that it doesn't know.
static int handle_unreadable_event(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t)
{
    if (reason == LWS_CALLBACK_RAW_RX || reason == LWS_CALLBACK_RAW_ADOPT) {
        lws_callback_on_writable(wsi);
        return 0;
    }
    if (reason != LWS_CALLBACK_RAW_WRITEABLE)
        return 0;
    std::string out(LWS_PRE, '\0');
    out += unknown_method_answer;
    lws_write(wsi, reinterpret_cast<unsigned char*>(out.data()) + LWS_PRE, out.size() - LWS_PRE,
              LWS_WRITE_RAW);
    return -1;
}

/// Has libwebsockets ask for certificates that this server's own authority has signed; a client may
/// come without one.
static void set_tls(lws_context_creation_info& info, const tls_settings& tls)
{
    info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.ssl_cert_filepath = tls.certificate_file.c_str();
    info.ssl_private_key_filepath = tls.private_key_file.c_str();
    info.alpn = "http/1.1";
    if (tls.client_authority_file.empty())
        return;
    info.ssl_ca_filepath = tls.client_authority_file.c_str();
    info.options |= LWS_SERVER_OPTION_REQUIRE_VALID_OPENSSL_CLIENT_CERT |
                    LWS_SERVER_OPTION_PEER_CERT_NOT_REQUIRED;
}

static const lws_protocols server_protocols[] = {
    {"http", handle_server_event, 0, 0, 0, nullptr, 0},
    {"unreadable", handle_unreadable_event, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

static lws_vhost* create_server_vhost(server::state& self)
{
    lws_context_creation_info info{};
    info.port = self.settings.port;
    info.iface = self.settings.address.c_str();
    info.vhost_name = "server";
    info.protocols = server_protocols;
    info.user = &self;
    info.keepalive_timeout = keep_alive_seconds;
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6 |
                   LWS_SERVER_OPTION_FALLBACK_TO_APPLY_LISTEN_ACCEPT_CONFIG;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = "unreadable";
    if (self.settings.tls.enabled())
        set_tls(info, self.settings.tls);
    return lws_create_vhost(self.on.context(), &info);
}

server::server(loop& on, const server_settings& settings, request_handler requested,
               closed_handler closed)
    : self(std::make_unique<state>(state{on,
                                         settings,
                                         std::move(requested),
                                         std::move(closed),
                                         nullptr,
                                         false,
                                         0,
                                         {},
                                         {},
                                         {},
                                         nullptr}))
{
    state* const own = this->self.get();
    own->hangups.emplace(on, [own](lws* connection) { end_hung_up(*own, connection); });
    this->self->vhost = create_server_vhost(*this->self);
}

server::~server()
{
    this->self->ended = true;
    const std::set<lws*> connections = std::move(this->self->connections);
    for (lws* const connection : connections)
        lws_set_timeout(connection, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_SYNC);
    if (this->self->vhost != nullptr)
        lws_vhost_destroy(this->self->vhost);
    loop& on = this->self->on;
    retain_until_context_ends(on, std::shared_ptr<state>(std::move(this->self)));
}

bool server::listening() const
{
    return this->self->vhost != nullptr;
}

std::uint16_t server::port() const
{
    if (!this->listening())
        return 0;
    return static_cast<std::uint16_t>(lws_get_vhost_listen_port(this->self->vhost));
}

static bool load_certificate(SSL_CTX* into, const tls_settings& tls)
{
    return SSL_CTX_use_certificate_chain_file(into, tls.certificate_file.c_str()) == 1 &&
           SSL_CTX_use_PrivateKey_file(into, tls.private_key_file.c_str(), SSL_FILETYPE_PEM) == 1 &&
           SSL_CTX_check_private_key(into) == 1;
}

bool server::reload_tls()
{
    // A trial first: a certificate without its key would leave the server with neither pair.
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> trial(SSL_CTX_new(TLS_server_method()),
                                                                  SSL_CTX_free);
    const tls_settings& tls = this->self->settings.tls;
    if (this->self->tls_context == nullptr || !load_certificate(trial.get(), tls))
        return false;
    return load_certificate(this->self->tls_context, tls);
}

void server::start_response(server_exchange exchange, response_head&& head)
{
    auto* each = this->self->find(exchange);
    if (each == nullptr || each->head_ready)
        return;
    each->head = std::move(head);
    if (has_no_body(*each) && !each->head.content_length)
        each->head.content_length = 0;
    each->head_ready = true;
    request_write(*each);
}

void server::write(server_exchange exchange, std::string_view bytes)
{
    auto* each = this->self->find(exchange);
    if (each == nullptr || each->finished || bytes.empty())
        return;
    each->unsent += bytes;
    request_write(*each);
}

void server::finish(server_exchange exchange)
{
    auto* each = this->self->find(exchange);
    if (each == nullptr)
        return;
    each->finished = true;
    request_write(*each);
}

void server::respond(server_exchange exchange, int status, std::string_view content_type,
                     std::string_view body, std::vector<header> headers)
{
    if (!content_type.empty())
        headers.push_back({"content-type", std::string(content_type)});
    this->start_response(exchange, {status, std::move(headers), body.size()});
    this->write(exchange, body);
    this->finish(exchange);
}

void server::abort(server_exchange exchange)
{
    auto* each = this->self->find(exchange);
    if (each == nullptr)
        return;
    each->aborted = true;
    request_write(*each);
}

std::size_t server::unsent_bytes(server_exchange exchange) const
{
    const auto* each = this->self->find(exchange);
    return each == nullptr ? 0 : each->unsent.size();
}

} // namespace ragwortcove::http
