#include "client_state.hpp"
#include "loop_state.hpp"

#include <algorithm>
#include <utility>

// How the client's requests and responses go over its connections.

namespace ragwortcove::http {

/// Time that a kept connection stays open unused; below the server's keep-alive time.
static constexpr int keep_warm_seconds = 30;
/// Bytes of a request that are written in one call.
static constexpr std::size_t write_size = 32U << 10U;
/// Highest status that HTTP gives a meaning to.
static constexpr int last_status = 599;

void close_connection(const client_connection& closed)
{
    if (closed.wsi != nullptr)
        lws_set_timeout(closed.wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

static bool is_written_by_client(std::string_view name)
{
    return name == "host" || name == "content-length" || name == "connection" ||
           name == "transfer-encoding";
}

static bool needs_length(const request& message)
{
    return !message.body.empty() || message.method == "POST" || message.method == "PUT" ||
           message.method == "PATCH";
}

static std::string host_of(const open_exchange& each)
{
    const std::string& address = each.wanted.address;
    const bool is_ipv6 = address.find(':') != std::string::npos;
    return (is_ipv6 ? "[" + address + "]" : address) + ":" + std::to_string(each.wanted.port);
}

/// The bytes of a request, which keeps no body of its own.
static std::string render(open_exchange& each)
{
    request& message = each.wanted.message;
    std::string text = message.method + " " + message.path;
    if (!message.query.empty())
        text += "?" + message.query;
    text += " HTTP/1.1\r\nhost: " + host_of(each) + "\r\n";
    if (each.single)
        text += "connection: close\r\n";
    for (const header& one : message.headers) {
        if (!is_written_by_client(one.name))
            text += one.name + ": " + one.value + "\r\n";
    }
    if (needs_length(message))
        text += "content-length: " + std::to_string(message.body.size()) + "\r\n";
    text += "\r\n";
    text += std::exchange(message.body, {});
    return text;
}

/// Fields with their names in lower case, as `find_header` looks for them.
static std::vector<header> with_lower_case_names(std::vector<header>&& headers)
{
    for (header& each : headers) {
        for (char& sign : each.name) {
            if (sign >= 'A' && sign <= 'Z')
                sign = static_cast<char>(sign - 'A' + 'a');
        }
    }
    return std::move(headers);
}

static void receive_head(client_connection& from, status_line_and_headers&& head)
{
    if (from.serves == nullptr)
        return;
    open_exchange& each = *from.serves;
    if (head.status > last_status) {
        close_connection(from);
        end_failed(*from.owner, each, client_error::malformed);
        return;
    }
    from.stays_open = head.keep_alive && !head.ends_with_connection;
    response_head made;
    made.status = head.status;
    made.headers = with_lower_case_names(std::move(head.headers));
    made.content_length = head.content_length;
    if (each.handlers.headed)
        each.handlers.headed(made);
}

static void receive_body(const client_connection& from, std::string_view bytes)
{
    if (from.serves != nullptr && from.serves->handlers.body)
        from.serves->handlers.body(bytes);
}

/// Gives a connection an exchange, whose request goes out once it is open.
static void begin(const client_connection_pointer& on_connection, open_exchange& each)
{
    client_connection* const used = on_connection.get();
    each.connection = on_connection;
    used->serves = &each;
    used->request = render(each);
    used->written_bytes = 0;
    used->stays_open = false;
    response_reader::handlers reading;
    reading.head = [used](status_line_and_headers&& head) { receive_head(*used, std::move(head)); };
    reading.body = [used](std::string_view bytes) { receive_body(*used, bytes); };
    reading.complete = [] {};
    used->reader =
        std::make_unique<response_reader>(each.wanted.message.method == "HEAD", std::move(reading));
}

void reuse(const client_connection_pointer& kept, open_exchange& each)
{
    begin(kept, each);
    lws_set_timeout(kept->wsi, NO_PENDING_TIMEOUT, 0);
    lws_callback_on_writable(kept->wsi);
}

/// The next part of the request. From here on it may have reached the upstream.
static std::string_view take_request_part(client_connection& from)
{
    if (!from.opened || from.serves == nullptr)
        return {};
    const std::string_view part =
        std::string_view(from.request).substr(from.written_bytes, write_size);
    if (part.empty())
        return part;
    from.serves->written = true;
    from.serves->last_activity = from.owner->on.now();
    from.written_bytes += part.size();
    return part;
}

static int write_some(client_connection& to)
{
    const std::string_view part = take_request_part(to);
    std::string bytes(LWS_PRE, '\0');
    if (!to.tls)
        bytes += part;
    if (to.tls && !part.empty() && !to.tls->send(part))
        return -1;
    if (to.tls)
        bytes += to.tls->take_outgoing();
    const std::size_t length = bytes.size() - LWS_PRE;
    if (length == 0)
        return 0;
    if (lws_write(to.wsi, reinterpret_cast<unsigned char*>(bytes.data()) + LWS_PRE, length,
                  LWS_WRITE_RAW) < static_cast<int>(length))
        return -1;
    if (to.opened && to.written_bytes < to.request.size())
        lws_callback_on_writable(to.wsi);
    return 0;
}

/// Whether another exchange may use a connection whose response is complete.
static bool can_be_kept(const client_connection& used)
{
    return used.stays_open && !used.reader->has_surplus() &&
           used.written_bytes == used.request.size() && lws_partial_buffered(used.wsi) == 0;
}

static int complete(client_connection& from)
{
    client::state& self = *from.owner;
    open_exchange& each = *from.serves;
    const bool keep = each.slot && can_be_kept(from);
    from.request = {};
    if (keep) {
        self.pool[*each.slot].kept = each.connection;
        lws_set_timeout(from.wsi, PENDING_TIMEOUT_USER_REASON_BASE, keep_warm_seconds);
    }
    end_whole(self, each);
    return keep ? 0 : -1;
}

// A handler may end its exchange while the reader runs.
static int receive(client_connection& from, std::string_view bytes)
{
    // Bytes that answer nothing: the connection is of no more use.
    if (from.serves == nullptr)
        return -1;
    from.serves->last_activity = from.owner->on.now();
    const message_fault fault = from.reader->take(bytes);
    if (from.serves == nullptr)
        return -1;
    if (fault != message_fault::none) {
        end_failed(*from.owner, *from.serves, client_error::malformed);
        return -1;
    }
    return from.reader->is_complete() ? complete(from) : 0;
}

/// The connection takes requests from now on.
static int become_open(client_connection& opened)
{
    opened.opened = true;
    if (opened.serves == nullptr)
        return -1;
    lws_callback_on_writable(opened.wsi);
    return 0;
}

static int receive_over_tls(client_connection& from, std::string_view bytes)
{
    const tls_session::received got = from.tls->receive(bytes);
    // The session may have to answer something itself.
    lws_callback_on_writable(from.wsi);
    if (!from.opened && from.tls->is_open() && become_open(from) != 0)
        return -1;
    if (!got.plain.empty() && receive(from, got.plain) != 0)
        return -1;
    return got.is_over ? -1 : 0;
}

/// The other end has accepted the connection.
static int on_connected(client_connection& accepted)
{
    if (!accepted.owner->settings.tls)
        return become_open(accepted);
    accepted.tls = std::make_unique<tls_session>(accepted.owner->trusted, accepted.address);
    if (accepted.tls->has_failed())
        return -1;
    lws_callback_on_writable(accepted.wsi);
    return 0;
}

// libwebsockets may report the loss inside `client::start`, and the reader may be running; the
// caller hears of it, and the connection goes, when the turn is over.
static void lose_connection(client_connection& lost)
{
    client::state& self = *lost.owner;
    lost.wsi = nullptr;
    lost.opened = false;
    for (pool_slot& slot : self.pool) {
        if (slot.kept.get() == &lost)
            slot.kept.reset();
    }
    const client_exchange id = lost.serves != nullptr ? lost.serves->id : 0;
    run_after_turn(self.on, [&self, gone = lost.shared_from_this(), id] {
        std::erase(self.connections, gone);
        const auto found = self.exchanges.find(id);
        if (found == self.exchanges.end())
            return;
        open_exchange& each = *found->second;
        end_failed(self, each,
                   each.written ? client_error::connection_lost : client_error::not_sent);
    });
}

static client_connection* connection_of(lws* wsi)
{
    return static_cast<client_connection*>(lws_get_opaque_user_data(wsi));
}

static int handle_client_event(lws* wsi, lws_callback_reasons reason, void*, void* in,
                               std::size_t length)
{
    client_connection* const used = connection_of(wsi);
    if (used == nullptr)
        return reason == LWS_CALLBACK_RAW_RX ? -1 : 0;
    switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
        return on_connected(*used);
    case LWS_CALLBACK_RAW_WRITEABLE:
        return write_some(*used);
    case LWS_CALLBACK_RAW_RX: {
        const std::string_view bytes(static_cast<const char*>(in), length);
        return used->tls ? receive_over_tls(*used, bytes) : receive(*used, bytes);
    }
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
        lws_set_opaque_user_data(wsi, nullptr);
        lose_connection(*used);
        return 0;
    default:
        return 0;
    }
}

// libwebsockets carries the bytes alone. Its own reader of responses takes heads that are not HTTP,
// so they are read as all others are; its TLS (4.1) works only under that reader.
static const lws_protocols client_protocols[] = {
    {"http", handle_client_event, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

/// libwebsockets keeps the name's address, so it is one that lasts; names need not differ.
lws_vhost* create_client_vhost(client::state& self)
{
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = "client";
    info.protocols = client_protocols;
    info.user = &self;
    return lws_create_vhost(self.on.context(), &info);
}

void connect(client::state& self, open_exchange& each)
{
    const auto made = std::make_shared<client_connection>();
    made->owner = &self;
    made->address = each.wanted.address;
    made->upstream = each.upstream;
    self.connections.push_back(made);
    begin(made, each);
    lws_client_connect_info info{};
    info.context = self.on.context();
    info.address = made->address.c_str();
    info.port = each.wanted.port;
    info.host = info.address;
    info.method = "RAW";
    info.local_protocol_name = client_protocols[0].name;
    info.vhost = self.vhost;
    info.pwsi = &made->wsi;
    info.opaque_user_data = made.get();
    if (lws_client_connect_via_info(&info) == nullptr)
        lose_connection(*made);
}

} // namespace ragwortcove::http
