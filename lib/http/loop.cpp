#include "ragwortcove/http/loop.hpp"

#include "loop_state.hpp"

#include <libwebsockets.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <ctime>
#include <sys/timerfd.h>
#include <unistd.h>
#include <utility>

namespace ragwortcove::http {

/// Header bytes of one request or response; more is refused by libwebsockets.
static constexpr unsigned int most_header_bytes = 16U << 10U;
/// Size of one read or of one outgoing head.
static constexpr unsigned int service_buffer_bytes = 64U << 10U;
/// Descriptors of one process; libwebsockets sizes its tables by it.
static constexpr int most_descriptors = 16384;
/// Upper bound for steps of a handshake; exchanges have limits of their own.
static constexpr unsigned int handshake_timeout_seconds = 3600;

static void request_writable(loop::state& self, descriptor_id watched)
{
    const auto found = self.descriptors.find(watched);
    if (found == self.descriptors.end() || found->second->released)
        return;
    if (found->second->handles_writable)
        found->second->wants_writable = true;
    else
        lws_callback_on_writable(found->second->wsi);
}

static int handle_datagram_event(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t)
{
    if (reason != LWS_CALLBACK_RAW_RX_FILE)
        return 0;
    const auto* readable = static_cast<const std::function<void()>*>(lws_get_opaque_user_data(wsi));
    if (readable != nullptr)
        (*readable)();
    return 0;
}

// After this callback libwebsockets forgets that a raw file waits to be writable, also when that
// was asked for during the callback. So such a wish is passed on when the turn is over.
static void handle_writable(watched_descriptor& watched)
{
    loop::state* const owner = watched.owner;
    watched.handles_writable = true;
    watched.wants_writable = false;
    watched.handlers.writable();
    watched.handles_writable = false;
    if (!watched.wants_writable || watched.released)
        return;
    owner->deferred.emplace_back([owner, id = watched.id] { request_writable(*owner, id); });
}

// Handlers may unwatch the descriptor they are called for, so its state goes only with the
// descriptor itself.
static int handle_descriptor_event(lws* wsi, lws_callback_reasons reason, void*, void*, std::size_t)
{
    auto* watched = static_cast<watched_descriptor*>(lws_get_opaque_user_data(wsi));
    if (watched == nullptr)
        return 0;
    const bool active = !watched->released && !watched->owner->ending;
    switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
        if (active)
            watched->handlers.readable();
        return watched->released ? -1 : 0;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
        if (active)
            handle_writable(*watched);
        return watched->released ? -1 : 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
        if (active) {
            watched->released = true;
            watched->handlers.closed();
        }
        lws_set_opaque_user_data(wsi, nullptr);
        watched->owner->descriptors.erase(watched->id);
        return 0;
    default:
        return 0;
    }
}

static const lws_protocols datagram_protocols[] = {
    {"datagram", handle_datagram_event, 0, 0, 0, nullptr, 0},
    {"descriptor", handle_descriptor_event, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
};

static lws_context* create_context()
{
    lws_set_log_level(LLL_ERR, nullptr);
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT |
                   LWS_SERVER_OPTION_NO_LWS_SYSTEM_STATES;
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.max_http_header_data2 = most_header_bytes;
    info.pt_serv_buf_size = service_buffer_bytes;
    info.rlimit_nofile = most_descriptors;
    info.timeout_secs = handshake_timeout_seconds;
    return lws_create_context(&info);
}

static lws_vhost* create_datagram_vhost(lws_context* context)
{
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = "datagram";
    info.protocols = datagram_protocols;
    return lws_create_vhost(context, &info);
}

static void run_due_timers(loop::state& self);

// Leases and deadlines run out while a machine is suspended, so the monotonic clock, which stands
// still then, will not do.
std::chrono::microseconds boot_time()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

loop::loop(loop_clock clock) : self(std::make_unique<state>())
{
    this->self->clock = std::move(clock);
    this->self->context = create_context();
    assert(this->self->context != nullptr && "libwebsockets context not created");
    this->self->datagram_vhost = create_datagram_vhost(this->self->context);
    this->self->alarm = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    assert(this->self->alarm >= 0 && "timer descriptor not created");
    state* const own = this->self.get();
    this->watch_datagrams(own->alarm, [own] { run_due_timers(*own); });
}

loop::~loop()
{
    this->self->ending = true;
    lws_context_destroy(this->self->context);
}

static void run_posted(loop::state& self)
{
    std::vector<std::function<void()>> ready;
    {
        const std::lock_guard<std::mutex> guard(self.posted_mutex);
        ready.swap(self.posted);
    }
    for (const std::function<void()>& work : ready)
        work();
}

static void run_deferred(loop::state& self)
{
    while (!self.deferred.empty()) {
        const std::vector<std::function<void()>> ready = std::exchange(self.deferred, {});
        for (const std::function<void()>& work : ready)
            work();
    }
}

void loop::run()
{
    this->self->stopped = false;
    this->self->wait_error = 0;
    run_posted(*this->self);
    run_deferred(*this->self);
    while (!this->self->stopped) {
        if (lws_service(this->self->context, 0) < 0) {
            this->self->wait_error = errno;
            return;
        }
        run_posted(*this->self);
        run_deferred(*this->self);
    }
}

int loop::error() const
{
    return this->self->wait_error;
}

void loop::stop()
{
    this->self->stopped = true;
    lws_cancel_service(this->self->context);
}

void loop::post(std::function<void()> work)
{
    {
        const std::lock_guard<std::mutex> guard(this->self->posted_mutex);
        this->self->posted.push_back(std::move(work));
    }
    lws_cancel_service(this->self->context);
}

// libwebsockets waits for its own timers in whole milliseconds and polls without pause for the
// rest, so the earliest of ours is a descriptor of the kernel's.
static void set_alarm(const loop::state& self)
{
    itimerspec when{};
    if (!self.timers.empty()) {
        const auto due = self.timers.begin()->first.first;
        const std::chrono::microseconds now = self.clock();
        const auto wait = std::max(due - now, std::chrono::microseconds(1));
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
        when.it_value.tv_sec = seconds.count();
        when.it_value.tv_nsec = std::chrono::nanoseconds(wait - seconds).count();
    }
    timerfd_settime(self.alarm, 0, &when, nullptr);
}

static void run_due_timers(loop::state& self)
{
    std::uint64_t expirations = 0;
    // Nothing to read means that the alarm was moved since.
    static_cast<void>(::read(self.alarm, &expirations, sizeof expirations));
    const std::chrono::microseconds now = self.clock();
    while (!self.timers.empty() && self.timers.begin()->first.first <= now) {
        auto due = self.timers.extract(self.timers.begin());
        self.due_times.erase(due.key().second);
        due.mapped()();
    }
    set_alarm(self);
}

timer_id loop::after(std::chrono::microseconds delay, std::function<void()> work)
{
    // Work due at once runs in the next turn, not in this one.
    const auto due = this->now() + std::max(delay, std::chrono::microseconds(1));
    const timer_id id = ++this->self->last_timer;
    const auto placed = this->self->timers.emplace(std::pair(due, id), std::move(work)).first;
    this->self->due_times.emplace(id, due);
    if (placed == this->self->timers.begin())
        set_alarm(*this->self);
    return id;
}

void loop::cancel(timer_id timer)
{
    const auto found = this->self->due_times.find(timer);
    if (found == this->self->due_times.end())
        return;
    this->self->timers.erase(std::pair(found->second, timer));
    this->self->due_times.erase(found);
}

std::chrono::microseconds loop::now() const
{
    return this->self->clock();
}

void loop::watch_datagrams(int descriptor, std::function<void()> readable)
{
    this->self->datagram_watches.push_back(
        std::make_unique<std::function<void()>>(std::move(readable)));
    lws_sock_file_fd_type file{};
    file.filefd = descriptor;
    lws* wsi = lws_adopt_descriptor_vhost(this->self->datagram_vhost, LWS_ADOPT_RAW_FILE_DESC, file,
                                          "datagram", nullptr);
    assert(wsi != nullptr && "datagram descriptor not adopted");
    lws_set_opaque_user_data(wsi, this->self->datagram_watches.back().get());
}

descriptor_id loop::watch(int descriptor, descriptor_handlers&& handlers)
{
    auto made = std::make_unique<watched_descriptor>();
    made->owner = this->self.get();
    made->id = ++this->self->last_descriptor;
    made->handlers = std::move(handlers);
    lws_sock_file_fd_type file{};
    file.filefd = descriptor;
    lws* wsi = lws_adopt_descriptor_vhost(this->self->datagram_vhost, LWS_ADOPT_RAW_FILE_DESC, file,
                                          "descriptor", nullptr);
    if (wsi == nullptr)
        return 0;
    made->wsi = wsi;
    lws_set_opaque_user_data(wsi, made.get());
    const descriptor_id id = made->id;
    this->self->descriptors.emplace(id, std::move(made));
    return id;
}

void loop::want_writable(descriptor_id watched)
{
    request_writable(*this->self, watched);
}

void loop::unwatch(descriptor_id watched)
{
    const auto found = this->self->descriptors.find(watched);
    if (found == this->self->descriptors.end() || found->second->released)
        return;
    found->second->released = true;
    lws_set_timeout(found->second->wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

lws_context* loop::context() const
{
    return this->self->context;
}

void run_after_turn(loop& on, std::function<void()> work)
{
    on.self->deferred.push_back(std::move(work));
}

void retain_until_context_ends(loop& on, std::shared_ptr<void> object)
{
    on.self->retained.push_back(std::move(object));
}

} // namespace ragwortcove::http
