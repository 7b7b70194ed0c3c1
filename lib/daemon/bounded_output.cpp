#include "ragwortcove/daemon/bounded_output.hpp"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace ragwortcove::daemon {

/// Bytes from which on a line is not kept waiting for the next flush.
static constexpr std::size_t flush_from_bytes = 16U << 10U;

void bounded_output::write(std::string_view line)
{
    const std::uint64_t untold = this->left_out - this->told_left_out;
    std::string notice;
    if (untold > 0)
        notice = "level=warning event=116 name=lines_left_out reason=reader_stalled count=" +
                 std::to_string(untold) + "\n";
    if (this->waiting.size() + notice.size() + line.size() > most_waiting_bytes) {
        ++this->left_out;
        return;
    }
    this->told_left_out = this->left_out;
    this->waiting += notice;
    this->waiting += line;
    if (this->waiting.size() >= flush_from_bytes)
        this->flush();
}

// A pipe that polls as writable takes as many bytes as it writes atomically. The descriptor itself
// is left as it is: it may be shared with other processes.
void bounded_output::flush()
{
    std::size_t sent = 0;
    while (sent < this->waiting.size()) {
        pollfd polled{this->descriptor, POLLOUT, 0};
        if (::poll(&polled, 1, 0) != 1 || (polled.revents & POLLOUT) == 0)
            break;
        const std::size_t size = std::min<std::size_t>(this->waiting.size() - sent, PIPE_BUF);
        const ssize_t count = ::write(this->descriptor, this->waiting.data() + sent, size);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            break;
        sent += static_cast<std::size_t>(count);
    }
    this->waiting.erase(0, sent);
}

} // namespace ragwortcove::daemon
