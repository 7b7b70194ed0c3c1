#include "ragwortcove/http/client.hpp"

#include "known_headers.hpp"
#include "loop_state.hpp"

#include <libwebsockets.h>

#include <array>
#include <charconv>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace ragwortcove::http {

/// Time that a kept connection stays open unused; below the server's keep-alive time.
static constexpr std::uint16_t keep_warm_seconds = 30;
static constexpr std::size_t read_buffer_bytes = 32U << 10U;
/// Time that an exchange waits for a connection of the pool before it gets one of its own.
static constexpr std::chrono::milliseconds longest_pool_wait{20};
/// Connections outside the pool, not counting those that callers ask for.
static constexpr std::uint32_t most_single_connections = 1024;

namespace {

struct exchange {
    client_exchange id = 0;
    client::state* owner = nullptr;
    client_request wanted;
    client_handlers handlers;
    lws* connection = nullptr;
    /// Index of the pooled vhost; unset while it waits and on a connection of its own.
    std::optional<std::size_t> slot;
    /// Has a connection of its own.
    bool single = false;
    std::chrono::microseconds started{0};
    /// Address and port of the upstream.
    std::string upstream;
    std::string target;
    std::size_t body_written = 0;
    /// Set from the first byte that may have reached the socket.
    bool written = false;
    bool headed = false;
    /// The response has no body by its method or status.
    bool bodiless = false;
    /// Buffer of the body read under way, and how far libwebsockets has consumed it.
    const char* read_start = nullptr;
    char* const* read_position = nullptr;
    std::optional<std::uint64_t> body_expected;
    std::uint64_t body_received = 0;
    std::chrono::microseconds last_activity{0};
    timer_id idle_timer = 0;
};

/// One vhost of the pool; libwebsockets keeps its connections, one an upstream.
struct pool_slot {
    lws_vhost* vhost = nullptr;
    bool busy = false;
    /// Upstream of the last exchange, whose connection is likely still open.
    std::string upstream;
};

} // namespace

struct client::state {
    loop& on;
    client_settings settings;
    lws_vhost* single_vhost = nullptr;
    std::vector<pool_slot> pool;
    bool ended = false;
    client_exchange last_exchange = 0;
    std::map<client_exchange, std::unique_ptr<exchange>> exchanges;
    /// Exchanges that wait for a connection, in their order.
    std::deque<client_exchange> waiting;
    /// Connections outside the pool.
    std::uint32_t single_connections = 0;
};

static void serve_waiting(client::state& self);

static exchange* exchange_of(lws* wsi)
{
    return static_cast<exchange*>(lws_get_opaque_user_data(wsi));
}

/// Frees the slot in a later turn, when libwebsockets is done with the ended exchange.
static void free_slot(client::state& self, std::optional<std::size_t> slot)
{
    if (!slot)
        return;
    run_after_turn(self.on, [&self, slot] {
        self.pool[*slot].busy = false;
        serve_waiting(self);
    });
}

static std::unique_ptr<exchange> take(client::state& self, client_exchange id)
{
    const auto found = self.exchanges.find(id);
    std::unique_ptr<exchange> taken = std::move(found->second);
    self.exchanges.erase(found);
    self.on.cancel(taken->idle_timer);
    if (taken->connection != nullptr)
        lws_set_opaque_user_data(taken->connection, nullptr);
    free_slot(self, taken->slot);
    if (taken->single) {
        --self.single_connections;
        run_after_turn(self.on, [&self] { serve_waiting(self); });
    }
    return taken;
}

static void end_whole(client::state& self, exchange& each)
{
    const std::unique_ptr<exchange> taken = take(self, each.id);
    if (!self.ended && taken->handlers.ended)
        taken->handlers.ended();
}

static void end_failed(client::state& self, exchange& each, client_error error)
{
    const std::unique_ptr<exchange> taken = take(self, each.id);
    if (!self.ended && taken->handlers.failed)
        taken->handlers.failed(error);
}

static void close_connection(exchange& each)
{
    if (each.connection != nullptr)
        lws_set_timeout(each.connection, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

static void watch_idle(exchange& each);

static void check_idle(exchange& each)
{
    each.idle_timer = 0;
    client::state& self = *each.owner;
    if (self.on.now() - each.last_activity < each.wanted.idle_limit) {
        watch_idle(each);
        return;
    }
    close_connection(each);
    end_failed(self, each, each.written ? client_error::silent : client_error::not_sent);
}

/// The timer is not moved on each byte; it looks at the last activity when it fires.
static void watch_idle(exchange& each)
{
    loop& on = each.owner->on;
    const auto due = each.last_activity + each.wanted.idle_limit;
    each.idle_timer = on.after(due - on.now(), [&each] { check_idle(each); });
}

static bool add_header(lws* wsi, std::string_view name, std::string_view value, unsigned char** at,
                       unsigned char* end)
{
    const std::string with_colon = std::string(name) + ":";
    return lws_add_http_header_by_name(wsi,
                                       reinterpret_cast<const unsigned char*>(with_colon.c_str()),
                                       reinterpret_cast<const unsigned char*>(value.data()),
                                       static_cast<int>(value.size()), at, end) == 0;
}

static bool is_written_by_library(std::string_view name)
{
    return name == "host" || name == "content-length" || name == "connection" ||
           name == "transfer-encoding";
}

static bool needs_length(const request& message)
{
    return !message.body.empty() || message.method == "POST" || message.method == "PUT" ||
           message.method == "PATCH";
}

static int append_request_headers(lws* wsi, exchange* each, void* in, std::size_t length)
{
    if (each == nullptr)
        return -1;
    each->written = true;
    auto** at = static_cast<unsigned char**>(in);
    unsigned char* const end = *at + length;
    const request& message = each->wanted.message;
    for (const header& one : message.headers) {
        if (!is_written_by_library(one.name) && !add_header(wsi, one.name, one.value, at, end))
            return -1;
    }
    if (!needs_length(message))
        return 0;
    if (!add_header(wsi, "content-length", std::to_string(message.body.size()), at, end))
        return -1;
    if (message.body.empty())
        return 0;
    lws_client_http_body_pending(wsi, 1);
    lws_callback_on_writable(wsi);
    return 0;
}

static int write_request_body(lws* wsi, exchange* each)
{
    if (each == nullptr)
        return -1;
    const std::string& body = each->wanted.message.body;
    if (each->body_written == body.size())
        return 0;
    std::string part(LWS_PRE, '\0');
    part.append(body, each->body_written, read_buffer_bytes);
    const std::size_t length = part.size() - LWS_PRE;
    each->body_written += length;
    const bool last = each->body_written == body.size();
    each->last_activity = each->owner->on.now();
    if (last)
        lws_client_http_body_pending(wsi, 0);
    if (lws_write(wsi, reinterpret_cast<unsigned char*>(part.data()) + LWS_PRE, length,
                  last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) < static_cast<int>(length))
        return -1;
    if (!last)
        lws_callback_on_writable(wsi);
    return 0;
}

static std::optional<std::uint64_t> parse_length(std::optional<std::string_view> text)
{
    if (!text)
        return std::nullopt;
    std::uint64_t length = 0;
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), length);
    if (parsed.ec != std::errc{})
        return std::nullopt;
    return length;
}

static bool has_no_body(std::string_view method, int status)
{
    return method == "HEAD" || status == 204 || status == 304;
}

static constexpr int first_status = 100;
static constexpr int last_status = 599;

static int receive_head(lws* wsi, exchange* each)
{
    if (each == nullptr)
        return -1;
    each->headed = true;
    each->last_activity = each->owner->on.now();
    response_head head;
    head.status = static_cast<int>(lws_http_client_http_response(wsi));
    head.headers = read_headers(wsi);
    head.content_length = parse_length(find_header(head.headers, "content-length"));
    each->body_expected = head.content_length;
    each->bodiless = has_no_body(each->wanted.message.method, head.status);
    const client_exchange id = each->id;
    client::state& self = *each->owner;
    if (head.status < first_status || head.status > last_status) {
        end_failed(self, *each, client_error::malformed);
        return -1;
    }
    if (each->handlers.headed)
        each->handlers.headed(head);
    if (self.exchanges.count(id) == 0)
        return -1;
    if (!each->bodiless || head.content_length == 0)
        return 0;
    // libwebsockets would wait for a body that never comes.
    end_whole(self, *each);
    return -1;
}

static int read_body(lws* wsi, exchange* each)
{
    if (each == nullptr)
        return -1;
    std::array<char, LWS_PRE + read_buffer_bytes> buffer; // NOLINT: filled by libwebsockets
    char* at = buffer.data() + LWS_PRE;
    int room = static_cast<int>(read_buffer_bytes);
    each->read_start = at;
    each->read_position = &at;
    const bool open = lws_http_client_read(wsi, &at, &room) >= 0;
    if (exchange* still = exchange_of(wsi))
        still->read_position = nullptr;
    return open ? 0 : -1;
}

static int receive_body(exchange* each, const void* in, std::size_t length)
{
    if (each == nullptr)
        return -1;
    each->last_activity = each->owner->on.now();
    each->body_received += length;
    const client_exchange id = each->id;
    client::state& self = *each->owner;
    if (each->handlers.body)
        each->handlers.body({static_cast<const char*>(in), length});
    return self.exchanges.count(id) == 0 ? -1 : 0;
}

/// libwebsockets also calls a response completed when its connection closes before the last chunk;
/// the end marker has been met only where the read under way has consumed some bytes.
static bool is_whole(const exchange& each)
{
    if (each.bodiless)
        return true;
    if (each.body_expected)
        return *each.body_expected == each.body_received;
    return each.read_position != nullptr && *each.read_position != each.read_start;
}

static int complete(exchange* each)
{
    if (each == nullptr)
        return 0;
    if (is_whole(*each)) {
        end_whole(*each->owner, *each);
        return 0;
    }
    end_failed(*each->owner, *each, client_error::connection_lost);
    return -1;
}

/// libwebsockets starts its texts about a response that it can't read with this.
static constexpr std::string_view unreadable_response = "HS:";

static client_error error_of_text(const exchange& each, std::string_view text)
{
    if (!each.written)
        return client_error::not_sent;
    return text.starts_with(unreadable_response) ? client_error::malformed
                                                 : client_error::connection_lost;
}

static void lose_connection(exchange* each, std::string_view text = {})
{
    if (each == nullptr)
        return;
    client::state& self = *each->owner;
    each->connection = nullptr;
    const client_exchange id = each->id;
    const client_error error = error_of_text(*each, text);
    // libwebsockets may report this inside `client::start`; the caller hears of it later.
    run_after_turn(self.on, [&self, id, error] {
        const auto found = self.exchanges.find(id);
        if (found != self.exchanges.end())
            end_failed(self, *found->second, error);
    });
}

static int handle_client_event(lws* wsi, lws_callback_reasons reason, void* user, void* in,
                               std::size_t length)
{
    if (reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER)
        return append_request_headers(wsi, exchange_of(wsi), in, length);
    if (reason == LWS_CALLBACK_CLIENT_HTTP_WRITEABLE)
        return write_request_body(wsi, exchange_of(wsi));
    if (reason == LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP)
        return receive_head(wsi, exchange_of(wsi));
    if (reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP)
        return read_body(wsi, exchange_of(wsi));
    if (reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ)
        return receive_body(exchange_of(wsi), in, length);
    if (reason == LWS_CALLBACK_COMPLETED_CLIENT_HTTP)
        return complete(exchange_of(wsi));
    if (reason == LWS_CALLBACK_CLIENT_CONNECTION_ERROR) {
        lose_connection(exchange_of(wsi),
                        {static_cast<const char*>(in), in != nullptr ? length : 0});
        lws_set_opaque_user_data(wsi, nullptr);
        return 0;
    }
    if (reason == LWS_CALLBACK_CLOSED_CLIENT_HTTP || reason == LWS_CALLBACK_WSI_DESTROY) {
        lose_connection(exchange_of(wsi));
        lws_set_opaque_user_data(wsi, nullptr);
        return 0;
    }
    return lws_callback_http_dummy(wsi, reason, user, in, length);
}

static const lws_protocols client_protocols[] = {
    {"http", handle_client_event, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

static const char* path_or_null(const std::string& path)
{
    return path.empty() ? nullptr : path.c_str();
}

static void set_tls(lws_context_creation_info& info, const client_settings& settings)
{
    info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.client_ssl_ca_filepath = path_or_null(settings.authority_file);
    info.client_ssl_cert_filepath = path_or_null(settings.certificate_file);
    info.client_ssl_private_key_filepath = path_or_null(settings.private_key_file);
    info.alpn = "http/1.1";
}

/// libwebsockets keeps the name's address, so it is one that lasts; names need not differ.
static lws_vhost* create_client_vhost(client::state& self)
{
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = "client";
    info.protocols = client_protocols;
    info.user = &self;
    info.options = LWS_SERVER_OPTION_DISABLE_OS_CA_CERTS;
    if (self.settings.tls)
        set_tls(info, self.settings);
    return lws_create_vhost(self.on.context(), &info);
}

client::client(loop& on, const client_settings& settings)
    : self(std::make_unique<state>(state{on, settings, nullptr, {}, false, 0, {}}))
{
    this->self->single_vhost = create_client_vhost(*this->self);
    for (std::uint32_t index = 0; index < settings.pool_size; ++index) {
        this->self->pool.push_back({create_client_vhost(*this->self), false, {}});
    }
}

client::~client()
{
    this->self->ended = true;
    for (auto& [id, each] : this->self->exchanges) {
        this->self->on.cancel(each->idle_timer);
        if (each->connection == nullptr)
            continue;
        lws_set_opaque_user_data(each->connection, nullptr);
        lws_set_timeout(each->connection, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_SYNC);
    }
    for (const pool_slot& slot : this->self->pool)
        lws_vhost_destroy(slot.vhost);
    lws_vhost_destroy(this->self->single_vhost);
    loop& on = this->self->on;
    retain_until_context_ends(on, std::shared_ptr<state>(std::move(this->self)));
}

/// A free slot, if possible one with an open connection to that host.
static std::optional<std::size_t> choose_slot(const client::state& self,
                                              const std::string& upstream)
{
    std::optional<std::size_t> any;
    for (std::size_t index = 0; index < self.pool.size(); ++index) {
        if (self.pool[index].busy)
            continue;
        if (self.pool[index].upstream == upstream)
            return index;
        if (!any || self.pool[index].upstream.empty())
            any = index;
    }
    return any;
}

static void connect(client::state& self, exchange& each)
{
    lws_client_connect_info info{};
    info.context = self.on.context();
    info.address = each.wanted.address.c_str();
    info.port = each.wanted.port;
    info.path = each.target.c_str();
    // A kept connection is found by its host, which has to be the bare address.
    info.host = info.address;
    info.method = each.wanted.message.method.c_str();
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    if (each.slot)
        info.ssl_connection |= LCCSCF_PIPELINE;
    if (self.settings.tls)
        info.ssl_connection |= LCCSCF_USE_SSL;
    // Without it libwebsockets drops the body of the response unseen.
    info.local_protocol_name = client_protocols[0].name;
    info.vhost = each.slot ? self.pool[*each.slot].vhost : self.single_vhost;
    info.pwsi = &each.connection;
    info.opaque_user_data = &each;
    info.keep_warm_secs = keep_warm_seconds;
    if (lws_client_connect_via_info(&info) == nullptr)
        lose_connection(&each);
}

static void connect_pooled(client::state& self, exchange& each, std::size_t slot)
{
    each.slot = slot;
    self.pool[slot].busy = true;
    self.pool[slot].upstream = each.upstream;
    connect(self, each);
}

static void connect_single(client::state& self, exchange& each)
{
    each.single = true;
    ++self.single_connections;
    connect(self, each);
}

/// Long streams may hold the whole pool, so an exchange waits for it only for a while.
static bool may_leave_pool(const client::state& self, const exchange& each)
{
    return self.single_connections < most_single_connections &&
           self.on.now() - each.started >= longest_pool_wait;
}

static void serve_waiting(client::state& self)
{
    while (!self.waiting.empty() && !self.ended) {
        const auto found = self.exchanges.find(self.waiting.front());
        if (found == self.exchanges.end()) {
            self.waiting.pop_front();
            continue;
        }
        exchange& each = *found->second;
        const std::optional<std::size_t> slot = choose_slot(self, each.upstream);
        if (!slot && !may_leave_pool(self, each))
            return;
        self.waiting.pop_front();
        if (slot)
            connect_pooled(self, each, *slot);
        if (!slot)
            connect_single(self, each);
    }
}

static void wait_for_connection(client::state& self, const exchange& each)
{
    self.waiting.push_back(each.id);
    self.on.after(longest_pool_wait, [&self] { serve_waiting(self); });
}

static std::unique_ptr<exchange> make_exchange(client::state& self, client_request&& request,
                                               client_handlers&& handlers)
{
    auto made = std::make_unique<exchange>();
    made->id = ++self.last_exchange;
    made->owner = &self;
    made->wanted = std::move(request);
    made->handlers = std::move(handlers);
    made->upstream = made->wanted.address + ":" + std::to_string(made->wanted.port);
    made->target = made->wanted.message.path;
    if (!made->wanted.message.query.empty())
        made->target += "?" + made->wanted.message.query;
    made->started = self.on.now();
    made->last_activity = made->started;
    return made;
}

client_exchange client::start(client_request&& request, client_handlers&& handlers)
{
    state& pooled = *this->self;
    auto made = make_exchange(pooled, std::move(request), std::move(handlers));
    exchange& each = *made;
    const client_exchange id = each.id;
    pooled.exchanges.emplace(id, std::move(made));
    watch_idle(each);
    if (each.wanted.fresh_connection) {
        connect_single(pooled, each);
        return id;
    }
    const std::optional<std::size_t> slot =
        pooled.waiting.empty() ? choose_slot(pooled, each.upstream) : std::nullopt;
    if (slot)
        connect_pooled(pooled, each, *slot);
    if (!slot)
        wait_for_connection(pooled, each);
    return id;
}

void client::cancel(client_exchange exchange)
{
    const auto found = this->self->exchanges.find(exchange);
    if (found == this->self->exchanges.end())
        return;
    close_connection(*found->second);
    take(*this->self, exchange);
}

} // namespace ragwortcove::http
