#include "ragwortcove/http/outbound.hpp"

#include "loop_state.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace ragwortcove::http {

using std::chrono::microseconds;

/// How often kept connections are looked through.
static constexpr std::chrono::milliseconds sweep_interval{500};
/// Tenths of the other end's stated idle time for which a connection is kept: it must not close it
/// while a request is on its way.
static constexpr int used_tenths_of_idle_time = 6;
/// Kept connections to one identity.
static constexpr std::size_t most_kept_per_identity = 32;
/// Bytes that a response's head is looked for in.
static constexpr std::size_t max_peeked_bytes = 4U << 10U;

namespace {

struct link {
    std::string identity;
    std::unique_ptr<tcp_stream> stream;
    std::unique_ptr<response_reader> reader;
    outbound_exchange exchange = 0;
    outbound_handlers handlers;
    timer_id connect_timer = 0;
    bool opened = false;
    bool reusable = true;
    /// Whether a response came on the connection that belongs to no exchange of it.
    bool has_misplaced = false;
    /// Bytes that the connection had sent before the exchange under way.
    std::uint64_t sent_before = 0;
    microseconds idle_since{0};
    microseconds keep_for{0};
    bool dead = false;
};

using link_pointer = std::shared_ptr<link>;

} // namespace

struct outbound_client::state {
    loop& on;
    microseconds keep_time;
    std::map<outbound_exchange, link_pointer> active;
    /// Exchanges whose response is whole, until their end is told.
    std::set<outbound_exchange> completing;
    std::map<std::string, std::deque<link_pointer>, std::less<>> kept;
    outbound_exchange last_exchange = 0;
    timer_id sweep_timer = 0;
    outbound_counters counters;

    state(loop& loop, microseconds keep) : on(loop), keep_time(keep) {}

    link_pointer take_kept(std::string_view identity);
    link_pointer open(const outbound_request& request);
    void begin(const link_pointer& on_link, outbound_request&& request);
    void received(link& from, std::string_view bytes);
    void ended(link& from, stream_end how);
    void headed(link& from, status_line_and_headers&& head);
    void completed(link& from);
    void keep_or_close(const link_pointer& done);
    void fail(link& from, outbound_failure why);
    void bury(link& from);
    void sweep();
};

// The reader may be running when its link is buried, so the link outlives the turn.
void outbound_client::state::bury(link& from)
{
    if (from.dead)
        return;
    from.dead = true;
    this->on.cancel(from.connect_timer);
    link_pointer kept_alive;
    const auto found = this->active.find(from.exchange);
    if (found != this->active.end() && found->second.get() == &from) {
        kept_alive = found->second;
        this->active.erase(found);
    }
    const auto queue = this->kept.find(from.identity);
    if (queue != this->kept.end()) {
        for (auto at = queue->second.begin(); at != queue->second.end(); ++at) {
            if (at->get() != &from)
                continue;
            kept_alive = *at;
            queue->second.erase(at);
            break;
        }
        if (queue->second.empty())
            this->kept.erase(queue);
    }
    run_after_turn(this->on, [kept_alive] {
        if (kept_alive)
            kept_alive->stream.reset();
    });
}

void outbound_client::state::fail(link& from, outbound_failure why)
{
    const auto failed = from.handlers.failed;
    if (from.stream)
        from.stream->reset();
    this->bury(from);
    if (failed)
        failed(why);
}

void outbound_client::state::received(link& from, std::string_view bytes)
{
    if (from.dead)
        return;
    if (from.exchange == 0) {
        // Bytes that answer nothing: the connection is of no more use.
        from.stream->reset();
        this->bury(from);
        return;
    }
    if (from.reader->take(bytes) != message_fault::none && !from.dead && from.exchange != 0)
        this->fail(from, outbound_failure::malformed);
}

void outbound_client::state::ended(link& from, stream_end how)
{
    if (from.dead)
        return;
    if (from.exchange == 0) {
        this->bury(from);
        return;
    }
    // A kept connection that was reset before we wrote has taken no byte of the request.
    const bool nothing_sent = from.stream->sent_bytes() == from.sent_before;
    if (!from.opened || nothing_sent) {
        this->fail(from, outbound_failure::not_sent);
        return;
    }
    const bool whole = how == stream_end::orderly && from.reader->finish() == message_fault::none;
    if (!whole && !from.dead && from.exchange != 0)
        this->fail(from, how == stream_end::silent ? outbound_failure::connection_silent
                                                   : outbound_failure::connection_lost);
}

static std::optional<microseconds> stated_idle_time(const std::vector<header>& headers)
{
    static constexpr std::string_view key = "timeout=";
    const auto value = find_any_case(headers, "Keep-Alive");
    if (!value)
        return std::nullopt;
    const std::size_t at = value->find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char* first = value->data() + at + key.size();
    if (std::from_chars(first, value->data() + value->size(), seconds).ec != std::errc{})
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

void outbound_client::state::headed(link& from, status_line_and_headers&& head)
{
    from.reusable = head.keep_alive && !head.ends_with_connection;
    from.keep_for = this->keep_time;
    if (const auto stated = stated_idle_time(head.headers)) {
        from.keep_for = std::min(from.keep_for, *stated * used_tenths_of_idle_time / 10);
    }
    from.handlers.head(std::move(head));
}

// The reader is still running here, and the next exchange brings a reader of its own: the link is
// handed on, and the end told, when the turn is over.
void outbound_client::state::completed(link& from)
{
    const auto found = this->active.find(from.exchange);
    const link_pointer done = found->second;
    this->active.erase(found);
    const outbound_exchange ended = std::exchange(from.exchange, 0);
    this->completing.insert(ended);
    run_after_turn(this->on, [this, done, ended] {
        const auto complete = std::move(done->handlers.complete);
        this->keep_or_close(done);
        if (this->completing.erase(ended) != 0)
            complete();
    });
}

void outbound_client::state::keep_or_close(const link_pointer& done)
{
    if (done->dead)
        return;
    // A response that came before the request was out leaves the connection in no known state.
    const bool keep = done->reusable && !done->has_misplaced && done->stream->is_open() &&
                      done->stream->unsent_bytes() == 0 && !done->reader->has_surplus();
    if (!keep) {
        this->bury(*done);
        done->stream.reset();
        return;
    }
    done->idle_since = this->on.now();
    std::deque<link_pointer>& queue = this->kept[done->identity];
    queue.push_back(done);
    if (queue.size() > most_kept_per_identity)
        this->bury(*queue.front());
}

link_pointer outbound_client::state::take_kept(std::string_view identity)
{
    const auto found = this->kept.find(identity);
    if (found == this->kept.end())
        return nullptr;
    const microseconds now = this->on.now();
    while (!found->second.empty()) {
        link_pointer newest = found->second.back();
        found->second.pop_back();
        // An end or a reset may have come that the loop has not told of yet.
        const bool usable = !newest->dead && newest->stream->is_open() &&
                            newest->stream->is_quiet() && !newest->reader->has_surplus() &&
                            now - newest->idle_since < newest->keep_for;
        if (usable) {
            if (found->second.empty())
                this->kept.erase(found);
            return newest;
        }
        newest->dead = true;
        newest->stream.reset();
    }
    this->kept.erase(found);
    return nullptr;
}

link_pointer outbound_client::state::open(const outbound_request& request)
{
    auto made = std::make_shared<link>();
    made->identity = request.identity;
    link* const raw = made.get();
    tcp_stream_handlers handlers;
    handlers.opened = [this, raw] {
        raw->opened = true;
        this->on.cancel(raw->connect_timer);
        raw->connect_timer = 0;
    };
    handlers.received = [this, raw](std::string_view bytes) { this->received(*raw, bytes); };
    handlers.ended = [this, raw](stream_end how) { this->ended(*raw, how); };
    made->stream = tcp_stream::connect(this->on, request.to, std::move(handlers));
    return made;
}

static std::string render(const outbound_request& request)
{
    std::string text;
    text.reserve(512 + request.body.size());
    text += request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const header& each : request.headers)
        text += each.name + ": " + each.value + "\r\n";
    const bool bodiless = request.method == "GET" || request.method == "HEAD" ||
                          request.method == "DELETE" || request.method == "OPTIONS";
    if (!request.body.empty() || !bodiless)
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    text += request.body;
    return text;
}

void outbound_client::state::begin(const link_pointer& on_link, outbound_request&& request)
{
    link* const raw = on_link.get();
    response_reader::handlers reading;
    reading.head = [this, raw](status_line_and_headers&& head) {
        this->headed(*raw, std::move(head));
    };
    reading.body = [raw](std::string_view bytes) {
        if (!raw->dead)
            raw->handlers.body(bytes);
    };
    reading.complete = [this, raw] {
        if (!raw->dead)
            this->completed(*raw);
    };
    raw->reader = std::make_unique<response_reader>(request.method == "HEAD", std::move(reading));
    raw->sent_before = raw->stream->sent_bytes();
    raw->stream->write(render(request));
}

outbound_client::outbound_client(loop& on, std::chrono::milliseconds keep_time)
    : self(std::make_unique<state>(on, keep_time))
{
    this->self->sweep();
}

outbound_client::~outbound_client()
{
    this->self->on.cancel(this->self->sweep_timer);
}

outbound_exchange outbound_client::start(outbound_request&& request, outbound_handlers&& handlers)
{
    state* const own = this->self.get();
    link_pointer chosen = request.fresh_connection ? nullptr : own->take_kept(request.identity);
    const bool reused = chosen != nullptr;
    if (!reused)
        chosen = own->open(request);
    const outbound_exchange id = ++own->last_exchange;
    chosen->exchange = id;
    chosen->handlers = std::move(handlers);
    own->active.emplace(id, chosen);
    if (!chosen->stream) {
        run_after_turn(own->on, [own, chosen] {
            if (!chosen->dead)
                own->fail(*chosen, outbound_failure::not_sent);
        });
        return id;
    }
    ++(reused ? own->counters.connections_reused : own->counters.connections_opened);
    if (!reused) {
        chosen->connect_timer = own->on.after(request.connect_time, [own, chosen] {
            if (!chosen->dead && !chosen->opened)
                own->fail(*chosen, outbound_failure::not_sent);
        });
    }
    own->begin(chosen, std::move(request));
    return id;
}

std::optional<status_line_and_headers> outbound_client::peek_head(outbound_exchange exchange) const
{
    const auto found = this->self->active.find(exchange);
    if (found == this->self->active.end() || !found->second->stream ||
        found->second->reader->has_started())
        return std::nullopt;
    std::optional<status_line_and_headers> head;
    response_reader reader(false, {[&head](status_line_and_headers&& read) {
                                       if (!head)
                                           head = std::move(read);
                                   },
                                   [](std::string_view) {}, [] {}});
    // What cannot be read has no head.
    static_cast<void>(reader.take(found->second->stream->peek(max_peeked_bytes)));
    return head;
}

void outbound_client::cancel(outbound_exchange exchange)
{
    this->self->completing.erase(exchange);
    const auto found = this->self->active.find(exchange);
    if (found == this->self->active.end())
        return;
    const link_pointer chosen = found->second;
    if (chosen->stream)
        chosen->stream->reset();
    this->self->bury(*chosen);
}

void outbound_client::skip_response(outbound_exchange exchange)
{
    const auto found = this->self->active.find(exchange);
    if (found == this->self->active.end())
        return;
    found->second->has_misplaced = true;
    found->second->reader->skip();
}

bool outbound_client::has_connection(std::string_view identity) const
{
    const auto is_open = [](const link_pointer& each) {
        return !each->dead && each->opened && each->stream && each->stream->is_open();
    };
    const auto found = this->self->kept.find(identity);
    if (found != this->self->kept.end() &&
        std::any_of(found->second.begin(), found->second.end(), is_open))
        return true;
    return std::any_of(this->self->active.begin(), this->self->active.end(), [&](const auto& each) {
        return each.second->identity == identity && is_open(each.second);
    });
}

void outbound_client::forget(std::string_view identity)
{
    const auto found = this->self->kept.find(identity);
    if (found == this->self->kept.end())
        return;
    for (const link_pointer& each : found->second) {
        each->dead = true;
        each->stream.reset();
    }
    this->self->kept.erase(found);
}

void outbound_client::state::sweep()
{
    const microseconds now = this->on.now();
    std::vector<link_pointer> unused;
    for (const auto& [identity, queue] : this->kept) {
        for (const link_pointer& each : queue) {
            if (now - each->idle_since >= each->keep_for)
                unused.push_back(each);
        }
    }
    for (const link_pointer& each : unused)
        this->bury(*each);
    this->sweep_timer = this->on.after(sweep_interval, [this] { this->sweep(); });
}

std::size_t outbound_client::unsent_bytes() const
{
    std::size_t unsent = 0;
    for (const auto& [exchange, each] : this->self->active) {
        if (each->stream)
            unsent += each->stream->unsent_bytes();
    }
    return unsent;
}

const outbound_counters& outbound_client::counters() const
{
    return this->self->counters;
}

} // namespace ragwortcove::http
