#include "hangup_watch.hpp"

#include <array>
#include <cassert>
#include <sys/epoll.h>
#include <utility>

namespace ragwortcove::http {

static constexpr int most_events = 64;

// libwebsockets 4.1 doesn't read from a connection while a request on it is served, and spins as
// long as something is there to read. So reading is paused then, and this watch of its own, which
// the loop sees as one more descriptor, hears of the close. The loop closes the descriptor.
hangup_watch::hangup_watch(loop& on, hangup_handler handler)
    : descriptor(epoll_create1(EPOLL_CLOEXEC)), hung_up(std::move(handler))
{
    assert(this->descriptor >= 0 && "epoll descriptor not created");
    on.watch_datagrams(this->descriptor, [this] { this->dispatch(); });
}

void hangup_watch::add(lws* connection) const
{
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.ptr = connection;
    epoll_ctl(this->descriptor, EPOLL_CTL_ADD, lws_get_socket_fd(connection), &event);
}

void hangup_watch::dispatch() const
{
    std::array<epoll_event, most_events> events{};
    const int count = epoll_wait(this->descriptor, events.data(), most_events, 0);
    for (int index = 0; index < count; ++index)
        this->hung_up(static_cast<lws*>(events[static_cast<std::size_t>(index)].data.ptr));
}

} // namespace ragwortcove::http
