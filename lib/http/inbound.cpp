#include "ragwortcove/http/inbound.hpp"

#include "inbound_state.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <map>
#include <unistd.h>
#include <utility>

namespace ragwortcove::http {

using std::chrono::microseconds;

/// Reserve for a head, in bytes.
static constexpr std::size_t usual_head_bytes = 512;

std::string_view to_string(connection_phase phase)
{
    switch (phase) {
    case connection_phase::idle:
        return "idle";
    case connection_phase::reading:
        return "reading";
    case connection_phase::answering:
        return "answering";
    }
    return "unknown";
}

std::string_view to_string(closing_reason reason)
{
    switch (reason) {
    case closing_reason::slow_request:
        return "slow_request";
    case closing_reason::clogged:
        return "clogged";
    case closing_reason::aborted:
        return "aborted";
    case closing_reason::server_ended:
        return "server_ended";
    }
    return "unknown";
}

std::string_view reason_phrase(int status)
{
    const auto text = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

void inbound_server::state::accept(int descriptor)
{
    const bool is_full = this->connections.size() >= this->limits.max_connections;
    if (is_full && !this->make_room()) {
        ::close(descriptor);
        if (this->handlers.accept_failed)
            this->handlers.accept_failed(EMFILE);
        return;
    }
    auto made = std::make_shared<inbound_connection>();
    made->id = ++this->last_connection;
    this->become_idle(*made);
    inbound_connection* const raw = made.get();
    request_reader::handlers reading;
    reading.head = [this, raw](request_line_and_headers&& head) {
        this->head_came(*raw, std::move(head));
    };
    reading.body = [raw](std::string_view bytes) { raw->request.body.append(bytes); };
    reading.complete = [this, raw] { this->complete(*raw); };
    made->reader = std::make_unique<request_reader>(this->limits.message, std::move(reading));
    tcp_stream_handlers streaming;
    streaming.received = [this, raw](std::string_view bytes) { this->received(*raw, bytes); };
    streaming.ended = [this, raw](stream_end) { this->ended(*raw); };
    made->stream = tcp_stream::adopt(this->on, descriptor, std::move(streaming));
    if (made->stream)
        this->connections.emplace(made->id, std::move(made));
}

// A connection may be buried from inside its own reader, so its state outlives the turn.
void inbound_server::state::bury(inbound_connection& from)
{
    if (from.dead)
        return;
    from.dead = true;
    from.held = {};
    if (from.exchange != 0)
        this->by_exchange.erase(from.exchange);
    const auto found = this->connections.find(from.id);
    const std::shared_ptr<inbound_connection> kept = found->second;
    this->connections.erase(found);
    if (kept->stream->unsent_bytes() > 0)
        this->ending.push_back(kept);
    else
        run_after_turn(this->on, [kept] { kept->stream.reset(); });
}

void inbound_server::state::forget_ended()
{
    std::erase_if(this->ending, [](const auto& each) { return each->stream->unsent_bytes() == 0; });
}

bool inbound_server::state::is_unfinished(const inbound_connection& each)
{
    return each.phase != connection_phase::idle || each.resuming ||
           each.stream->unsent_bytes() > 0 || !each.stream->is_quiet();
}

void inbound_server::state::report(const inbound_connection& closed, closing_reason why) const
{
    if (!this->handlers.closing)
        return;
    connection_closing made;
    made.reason = why;
    made.phase = closed.phase;
    made.exchange = closed.exchange;
    made.age = this->on.now() - closed.since;
    made.unsent_bytes = closed.stream->unsent_bytes();
    this->handlers.closing(made);
}

void inbound_server::state::received(inbound_connection& from, std::string_view bytes)
{
    if (from.dead)
        return;
    if (from.phase == connection_phase::idle) {
        from.phase = connection_phase::reading;
        from.since = this->on.now();
    }
    from.body_at = this->on.now();
    this->check(from, from.reader->take(bytes));
    this->bound_requests(from);
}

static int status_of(message_fault fault)
{
    switch (fault) {
    case message_fault::header_too_long:
        return 431;
    case message_fault::body_too_long:
        return 413;
    case message_fault::none:
    case message_fault::malformed:
    case message_fault::truncated:
        return 400;
    }
    return 400;
}

void inbound_server::state::check(inbound_connection& from, message_fault fault)
{
    if (from.dead || fault == message_fault::none)
        return;
    if (from.phase == connection_phase::answering) {
        // The response under way is delivered; what follows it cannot be read.
        from.closes = true;
        return;
    }
    this->reject(from, status_of(fault));
}

void inbound_server::state::reject(inbound_connection& from, int status)
{
    if (this->handlers.rejected)
        this->handlers.rejected(status);
    from.closes = true;
    from.version_1_1 = true;
    inbound_response head;
    head.status = status;
    head.content_length = 0;
    this->send_head(from, std::move(head));
    from.stream->close_after_writes();
    this->bury(from);
}

void inbound_server::state::ended(inbound_connection& from)
{
    if (from.dead)
        return;
    const inbound_exchange open = from.exchange;
    this->bury(from);
    if (open != 0)
        this->handlers.abandoned(open);
}

void inbound_server::state::head_came(inbound_connection& from, request_line_and_headers&& head)
{
    from.keep_alive = head.keep_alive;
    from.version_1_1 = head.version_1_1;
    from.is_head_request = head.method == "HEAD";
    const auto expects = find_any_case(head.headers, "Expect");
    if (expects && same_header_name(*expects, "100-continue"))
        from.stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    from.request.head = std::move(head);
    from.request.body.clear();
    from.head_read = true;
    from.body_at = this->on.now();
}

void inbound_server::state::complete(inbound_connection& from)
{
    from.phase = connection_phase::answering;
    from.head_read = false;
    from.exchange = ++this->last_exchange;
    from.head_sent = false;
    from.chunked = false;
    this->by_exchange[from.exchange] = from.id;
    from.held.set(this->held_request_bytes, from.request.body.capacity());
    this->handlers.requested(from.exchange, std::move(from.request));
}

inbound_connection* inbound_server::state::find(inbound_exchange exchange)
{
    const auto found = this->by_exchange.find(exchange);
    if (found == this->by_exchange.end())
        return nullptr;
    return this->connections.at(found->second).get();
}

void inbound_server::state::send_head(inbound_connection& of, inbound_response&& head)
{
    std::string text;
    text.reserve(usual_head_bytes);
    text += "HTTP/1.1 " + std::to_string(head.status) + " ";
    text += reason_phrase(head.status);
    text += "\r\n";
    for (const header& each : head.headers)
        text += each.name + ": " + each.value + "\r\n";
    if (head.content_length)
        text += "Content-Length: " + std::to_string(*head.content_length) + "\r\n";
    else if (of.version_1_1)
        text += "Transfer-Encoding: chunked\r\n";
    of.chunked = !head.content_length && of.version_1_1;
    if (!of.keep_alive || this->draining || (!head.content_length && !of.version_1_1))
        of.closes = true;
    if (of.closes)
        text += "Connection: close\r\n";
    text += "\r\n";
    of.head_sent = true;
    of.stream->write(text);
    this->on_written(text.size());
}

void inbound_server::state::write(inbound_connection& of, std::string_view bytes)
{
    if (bytes.empty() || of.is_head_request)
        return;
    if (!of.chunked) {
        of.stream->write(bytes);
        this->on_written(bytes.size());
        return;
    }
    std::array<char, 24> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string framed;
    framed.reserve(bytes.size() + size.size());
    framed.append(size.data(), end);
    framed += "\r\n";
    framed += bytes;
    framed += "\r\n";
    of.stream->write(framed);
    this->on_written(framed.size());
}

void inbound_server::state::finish(inbound_connection& of)
{
    if (of.chunked && !of.is_head_request)
        of.stream->write("0\r\n\r\n");
    this->by_exchange.erase(of.exchange);
    of.exchange = 0;
    of.held = {};
    if (of.closes) {
        of.stream->close_after_writes();
        this->bury(of);
        return;
    }
    this->become_idle(of);
    of.resuming = true;
    // The next request is read from the loop, not from inside the handler of this one.
    const auto kept = this->connections.at(of.id);
    run_after_turn(this->on, [this, kept] {
        kept->resuming = false;
        if (kept->dead || kept->phase != connection_phase::idle)
            return;
        kept->reader->set_limits(this->limits.message);
        this->check(*kept, kept->reader->next());
        if (!kept->dead && kept->phase == connection_phase::idle &&
            kept->reader->inside_message()) {
            kept->phase = connection_phase::reading;
            kept->since = this->on.now();
        }
    });
}

void inbound_server::state::become_idle(inbound_connection& each) const
{
    each.phase = connection_phase::idle;
    each.since = this->on.now();
    each.idle_time = this->limits.idle_time;
    if (each.since < this->earlier_until)
        each.idle_time = std::max(each.idle_time, this->earlier_idle_time);
}

bool inbound_server::state::is_unused(const inbound_connection& each)
{
    return each.phase == connection_phase::idle && !each.resuming && each.stream->is_quiet();
}

void inbound_server::state::close(inbound_connection& unused)
{
    unused.stream->close_after_writes();
    this->bury(unused);
}

inbound_server::inbound_server(loop& on, const socket_address& at, const inbound_limits& limits,
                               inbound_handlers&& handlers)
    : self(std::make_unique<state>(on))
{
    this->self->limits = limits;
    this->self->handlers = std::move(handlers);
    state* const own = this->self.get();
    tcp_listener_handlers listening;
    listening.accepted = [own](int descriptor) { own->accept(descriptor); };
    listening.accept_failed = own->handlers.accept_failed;
    own->listener = std::make_unique<tcp_listener>(on, at, std::move(listening));
    own->sweep();
}

inbound_server::~inbound_server()
{
    this->self->on.cancel(this->self->sweep_timer);
}

bool inbound_server::listening() const
{
    return this->self->listener->listening();
}

int inbound_server::listen_error() const
{
    return this->self->listener->error();
}

std::uint16_t inbound_server::port() const
{
    return this->self->listener->port();
}

void inbound_server::set_limits(const inbound_limits& limits)
{
    state& own = *this->self;
    const microseconds now = own.on.now();
    const microseconds before = std::max<microseconds>(
        own.limits.idle_time,
        now < own.earlier_until ? own.earlier_idle_time : microseconds::zero());
    if (limits.idle_time < own.limits.idle_time) {
        own.earlier_idle_time = before;
        own.earlier_until = now + limits.idle_notice_time;
    }
    own.limits = limits;
    for (const auto& [id, each] : own.connections) {
        // A caller may count on a raised limit at once, and it may be lowered again meanwhile.
        each->idle_time = std::max<microseconds>(each->idle_time, limits.idle_time);
        // The reader of a connection that is in use gets them before its next request.
        if (each->phase == connection_phase::idle && !each->resuming)
            each->reader->set_limits(limits.message);
    }
}

void inbound_server::start_response(inbound_exchange exchange, inbound_response&& head)
{
    inbound_connection* const of = this->self->find(exchange);
    if (of != nullptr && !of->head_sent)
        this->self->send_head(*of, std::move(head));
}

void inbound_server::write(inbound_exchange exchange, std::string_view bytes)
{
    inbound_connection* const of = this->self->find(exchange);
    if (of != nullptr)
        this->self->write(*of, bytes);
}

void inbound_server::finish(inbound_exchange exchange)
{
    inbound_connection* const of = this->self->find(exchange);
    if (of != nullptr)
        this->self->finish(*of);
}

void inbound_server::respond(inbound_exchange exchange, int status, std::vector<header> headers,
                             std::string_view body)
{
    inbound_connection* const of = this->self->find(exchange);
    if (of == nullptr)
        return;
    inbound_response head;
    head.status = status;
    head.headers = std::move(headers);
    head.content_length = body.size();
    this->self->send_head(*of, std::move(head));
    this->self->write(*of, body);
    this->self->finish(*of);
}

void inbound_server::abort(inbound_exchange exchange)
{
    inbound_connection* const of = this->self->find(exchange);
    if (of == nullptr)
        return;
    this->self->report(*of, closing_reason::aborted);
    of->stream->reset();
    this->self->bury(*of);
}

void inbound_server::begin_drain()
{
    this->self->draining = true;
}

void inbound_server::close_idle()
{
    std::vector<std::shared_ptr<inbound_connection>> idle;
    for (const auto& [id, each] : this->self->connections) {
        if (state::is_unused(*each))
            idle.push_back(each);
    }
    for (const auto& each : idle)
        this->self->close(*each);
}

std::size_t inbound_server::connections() const
{
    return this->self->connections.size();
}

std::size_t inbound_server::unfinished() const
{
    this->self->forget_ended();
    std::size_t count = this->self->ending.size();
    for (const auto& [id, each] : this->self->connections)
        count += state::is_unfinished(*each) ? 1 : 0;
    return count;
}

std::size_t inbound_server::unsent_bytes() const
{
    return this->self->unsent_bytes();
}

void inbound_server::close_all()
{
    this->self->forget_ended();
    std::vector<std::shared_ptr<inbound_connection>> open = this->self->ending;
    for (const auto& [id, each] : this->self->connections)
        open.push_back(each);
    for (const auto& each : open) {
        if (state::is_unfinished(*each)) {
            this->self->report(*each, closing_reason::server_ended);
            each->stream->reset();
        }
        this->self->bury(*each);
    }
    this->self->ending.clear();
}

} // namespace ragwortcove::http
