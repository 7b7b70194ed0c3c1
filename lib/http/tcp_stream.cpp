#include "ragwortcove/http/tcp_stream.hpp"

#include <arpa/inet.h>
#include <cerrno>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace ragwortcove::http {

/// Bytes taken from a socket in one call.
static constexpr std::size_t read_size = 16U << 10U;
/// Reads from one connection before the loop turns to the others: many connections may bring bytes
/// without end at the same time.
static constexpr int max_reads_per_turn = 1;
/// Memory that a stream keeps for bytes that it sends later.
static constexpr std::size_t max_spare_bytes = 4U << 10U;
/// Time from a failed try to listen to the next one.
static constexpr std::chrono::milliseconds listen_retry_interval{200};
/// Connections that may wait to be accepted.
static constexpr int accept_backlog = 1024;
/// Silence before the kernel probes a connection, and time between its probes.
static constexpr int probe_after_seconds = 2;
static constexpr int probe_interval_seconds = 1;
static constexpr int probes_before_reset = 2;
/// How long bytes may lie unacknowledged before the connection counts as broken.
static constexpr unsigned int unacknowledged_limit_ms = 4000;

struct tcp_stream::state {
    loop* on = nullptr;
    int descriptor = -1;
    descriptor_id watched = 0;
    tcp_stream_handlers handlers;
    /// Bytes to send, after those that are sent already.
    std::string unsent;
    std::size_t unsent_from = 0;
    std::uint64_t sent = 0;
    /// How the connection has failed, if a call other than the read of its end met that first.
    std::optional<stream_end> failure;
    bool opening = false;
    bool closing = false;
    bool open = true;
};

using state_pointer = std::shared_ptr<tcp_stream::state>;

static std::optional<sockaddr_in> to_sockaddr(const socket_address& from)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(from.port);
    if (inet_pton(AF_INET, from.address.c_str(), &made.sin_addr) != 1)
        return std::nullopt;
    return made;
}

static void set_option(int descriptor, int level, int name, int value)
{
    // A kernel that lacks one of these options still carries the connection.
    static_cast<void>(setsockopt(descriptor, level, name, &value, sizeof value));
}

// Connections can go silent without a reset when something between the ends forgets them.
static void set_stream_options(int descriptor)
{
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_seconds);
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, probes_before_reset);
    set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

static std::size_t count_unsent(const tcp_stream::state& self)
{
    return self.unsent.size() - self.unsent_from;
}

static void clear_unsent(tcp_stream::state& self)
{
    if (self.unsent.capacity() > max_spare_bytes)
        self.unsent = {};
    self.unsent.clear();
    self.unsent_from = 0;
}

/// Drops bytes that are sent. The rest is moved only when it is the smaller part, so that the cost
/// of a byte does not grow with what waits.
static void drop_sent(tcp_stream::state& self)
{
    if (count_unsent(self) == 0) {
        clear_unsent(self);
        return;
    }
    if (self.unsent_from < self.unsent.size() / 2)
        return;
    self.unsent.erase(0, self.unsent_from);
    self.unsent_from = 0;
}

static void release(tcp_stream::state& self)
{
    self.open = false;
    clear_unsent(self);
    self.on->unwatch(self.watched);
    self.watched = 0;
    self.descriptor = -1;
}

static void end(const state_pointer& self, stream_end how)
{
    if (!self->open)
        return;
    release(*self);
    const auto ended = self->handlers.ended;
    if (!self->closing && ended)
        ended(how);
}

static bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK;
}

static stream_end end_of(int error)
{
    return error == ETIMEDOUT ? stream_end::silent : stream_end::broken;
}

// The kernel tells of a failure once, to whichever call comes first, and the reads after it meet an
// end as if the other side had closed. A broken pipe is no failure of what was received: the other
// side had closed in order before it refused more bytes.
static void keep_failure(tcp_stream::state& self, int error)
{
    const bool is_failure = !would_block(error) && error != EINTR && error != EPIPE;
    if (is_failure && !self.failure)
        self.failure = end_of(error);
}

/// Reads at most `max_reads` times; ends the stream at its end. What is left is read when the loop
/// tells of it again.
static void read_some(const state_pointer& self, int max_reads)
{
    static thread_local std::string buffer(read_size, '\0');
    for (int count_of_reads = 0; self->open && count_of_reads < max_reads; ++count_of_reads) {
        const ssize_t count = ::recv(self->descriptor, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            if (!self->closing)
                self->handlers.received({buffer.data(), static_cast<std::size_t>(count)});
            if (static_cast<std::size_t>(count) < buffer.size())
                return;
            continue;
        }
        if (count == 0) {
            end(self, self->failure.value_or(stream_end::orderly));
            return;
        }
        if (errno == EINTR)
            continue;
        if (!would_block(errno))
            end(self, end_of(errno));
        return;
    }
}

static void send_unsent(const state_pointer& self)
{
    while (count_unsent(*self) > 0) {
        const ssize_t count = ::send(self->descriptor, self->unsent.data() + self->unsent_from,
                                     count_unsent(*self), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0 && !would_block(errno)) {
            // What the other end sent before it closed may still be there to read.
            keep_failure(*self, errno);
            clear_unsent(*self);
            return;
        }
        if (count < 0)
            break;
        self->unsent_from += static_cast<std::size_t>(count);
        self->sent += static_cast<std::uint64_t>(count);
    }
    drop_sent(*self);
    if (count_unsent(*self) > 0)
        self->on->want_writable(self->watched);
}

static bool finish_opening(const state_pointer& self)
{
    int error = 0;
    socklen_t length = sizeof error;
    getsockopt(self->descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
        end(self, stream_end::broken);
        return false;
    }
    self->opening = false;
    if (self->handlers.opened)
        self->handlers.opened();
    return self->open;
}

static void take_writable(const state_pointer& self)
{
    if (self->opening && !finish_opening(self))
        return;
    send_unsent(self);
    if (!self->unsent.empty())
        return;
    if (self->closing) {
        release(*self);
        return;
    }
    if (self->handlers.drained)
        self->handlers.drained();
}

// The loop tells of a reset only by closing, so the kind of end is read once more.
static void take_closed(const state_pointer& self)
{
    if (!self->open)
        return;
    // Nothing more can come, so what is left is no more than the socket's buffer.
    if (!self->opening)
        read_some(self, std::numeric_limits<int>::max());
    end(self, stream_end::broken);
}

static bool watch(const state_pointer& self)
{
    descriptor_handlers handlers;
    handlers.readable = [self] {
        if (self->open && !self->opening)
            read_some(self, max_reads_per_turn);
    };
    handlers.writable = [self] {
        if (self->open)
            take_writable(self);
    };
    handlers.closed = [self] { take_closed(self); };
    self->watched = self->on->watch(self->descriptor, std::move(handlers));
    return self->watched != 0;
}

static state_pointer make_state(loop& on, int descriptor, tcp_stream_handlers&& handlers)
{
    auto made = std::make_shared<tcp_stream::state>();
    made->on = &on;
    made->descriptor = descriptor;
    made->handlers = std::move(handlers);
    set_stream_options(descriptor);
    return made;
}

tcp_stream::tcp_stream(std::shared_ptr<state> made) : self(std::move(made)) {}

std::unique_ptr<tcp_stream> tcp_stream::connect(loop& on, const socket_address& to,
                                                tcp_stream_handlers&& handlers)
{
    const std::optional<sockaddr_in> address = to_sockaddr(to);
    if (!address)
        return nullptr;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    // The system may give it a port that a daemon of this VM listens on after its next start.
    set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    const int begun =
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&*address), sizeof *address);
    if (begun != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return nullptr;
    }
    const state_pointer made = make_state(on, descriptor, std::move(handlers));
    made->opening = true;
    if (!watch(made)) {
        ::close(descriptor);
        return nullptr;
    }
    on.want_writable(made->watched);
    return std::unique_ptr<tcp_stream>(new tcp_stream(made));
}

std::unique_ptr<tcp_stream> tcp_stream::adopt(loop& on, int descriptor,
                                              tcp_stream_handlers&& handlers)
{
    const state_pointer made = make_state(on, descriptor, std::move(handlers));
    if (!watch(made)) {
        ::close(descriptor);
        return nullptr;
    }
    return std::unique_ptr<tcp_stream>(new tcp_stream(made));
}

tcp_stream::~tcp_stream()
{
    // A stream that is closing goes on by itself until its bytes are out. The handlers stay until
    // the descriptor goes: one of them may be running now.
    if (this->self->open && !this->self->closing)
        release(*this->self);
}

void tcp_stream::write(std::string_view bytes)
{
    if (!this->self->open || this->self->closing || bytes.empty())
        return;
    const bool idle = this->self->unsent.empty();
    this->self->unsent.append(bytes);
    if (idle && !this->self->opening)
        send_unsent(this->self);
}

void tcp_stream::close_after_writes()
{
    if (!this->self->open || this->self->closing)
        return;
    this->self->closing = true;
    if (this->self->unsent.empty())
        release(*this->self);
}

void tcp_stream::reset()
{
    if (!this->self->open)
        return;
    const linger at_once{1, 0};
    static_cast<void>(
        setsockopt(this->self->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once));
    release(*this->self);
}

std::size_t tcp_stream::unsent_bytes() const
{
    return count_unsent(*this->self);
}

std::uint64_t tcp_stream::sent_bytes() const
{
    return this->self->sent;
}

bool tcp_stream::is_quiet() const
{
    if (!this->self->open)
        return false;
    char byte = 0;
    const ssize_t count = ::recv(this->self->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0)
        keep_failure(*this->self, errno);
    return count < 0 && would_block(errno);
}

std::string tcp_stream::peek(std::size_t max_bytes) const
{
    if (!this->self->open || this->self->opening)
        return {};
    std::string bytes(max_bytes, '\0');
    const ssize_t count =
        ::recv(this->self->descriptor, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    if (count < 0)
        keep_failure(*this->self, errno);
    bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return bytes;
}

bool tcp_stream::is_open() const
{
    return this->self->open && !this->self->closing;
}

namespace {

/// A socket that listens, or the error that kept it from it.
struct listening_socket {
    int descriptor = -1;
    std::uint16_t port = 0;
    int error = 0;
};

} // namespace

static listening_socket open_listening_socket(const socket_address& at)
{
    const std::optional<sockaddr_in> address = to_sockaddr(at);
    if (!address)
        return {-1, 0, EINVAL};
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return {-1, 0, errno};
    set_option(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    sockaddr_in bound{};
    socklen_t length = sizeof bound;
    const bool is_listening =
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) == 0 &&
        ::listen(descriptor, accept_backlog) == 0 &&
        ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length) == 0;
    if (is_listening)
        return {descriptor, ntohs(bound.sin_port), 0};
    const int error = errno;
    ::close(descriptor);
    return {-1, 0, error};
}

/// Whether a failure to accept is that of one connection, which is gone by then.
static bool is_of_one_connection(int error)
{
    switch (error) {
    case EINTR:
    case ECONNABORTED:
    case EPROTO:
    case ENETDOWN:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
        return true;
    default:
        return false;
    }
}

/// Accepts every connection that waits; returns the system's error number if it cannot, otherwise
/// zero.
static int accept_all(int descriptor, const std::function<void(int)>& accepted)
{
    while (true) {
        const int taken = ::accept4(descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (taken >= 0)
            accepted(taken);
        else if (would_block(errno))
            return 0;
        else if (!is_of_one_connection(errno))
            return errno;
    }
}

tcp_listener::tcp_listener(loop& loop, socket_address at, tcp_listener_handlers&& given)
    : on(loop), address(std::move(at)), handlers(std::move(given))
{
    this->try_to_listen();
}

tcp_listener::~tcp_listener()
{
    this->on.cancel(this->retry_timer);
    this->on.unwatch(this->watched);
}

// Another process may hold the address for a while, or the VM may not have it yet.
void tcp_listener::try_to_listen()
{
    const listening_socket opened = open_listening_socket(this->address);
    if (opened.descriptor < 0) {
        this->fail(opened.error);
        return;
    }
    descriptor_handlers watching;
    watching.readable = [this, descriptor = opened.descriptor] { this->accept_from(descriptor); };
    watching.writable = [] {};
    watching.closed = [this] { this->fail(ECONNABORTED); };
    this->watched = this->on.watch(opened.descriptor, std::move(watching));
    if (this->watched == 0) {
        ::close(opened.descriptor);
        this->fail(EMFILE);
        return;
    }
    this->listen_error = 0;
    this->address.port = opened.port;
}

// A descriptor that stays readable takes all the processor's time. Until the process has room
// again, callers are better off with a refusal, which sends them elsewhere.
void tcp_listener::accept_from(int descriptor)
{
    const int error = accept_all(descriptor, this->handlers.accepted);
    if (error == 0)
        return;
    if (this->handlers.accept_failed)
        this->handlers.accept_failed(error);
    this->on.unwatch(this->watched);
    this->fail(error);
}

void tcp_listener::fail(int error)
{
    this->watched = 0;
    this->listen_error = error;
    this->retry_timer = this->on.after(listen_retry_interval, [this] { this->try_to_listen(); });
}

} // namespace ragwortcove::http
