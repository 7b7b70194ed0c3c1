#include "datagram_socket.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace ragwortcove::peer {

/// Room for any datagram.
static constexpr std::size_t receive_buffer_bytes = 64U << 10U;
/// Datagrams read in one turn of the loop.
static constexpr int most_datagrams_a_turn = 64;

namespace {

struct socket_address {
    sockaddr_storage storage{};
    socklen_t length = 0;
    [[nodiscard]] const sockaddr* get() const
    {
        return reinterpret_cast<const sockaddr*>(&this->storage);
    }
};

} // namespace

static std::optional<socket_address> to_socket_address(const core::endpoint& from)
{
    socket_address result;
    sockaddr_in v4{};
    if (::inet_pton(AF_INET, from.address.c_str(), &v4.sin_addr) == 1) {
        v4.sin_family = AF_INET;
        v4.sin_port = htons(from.port);
        std::memcpy(&result.storage, &v4, sizeof v4);
        result.length = sizeof v4;
        return result;
    }
    sockaddr_in6 v6{};
    if (::inet_pton(AF_INET6, from.address.c_str(), &v6.sin6_addr) == 1) {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(from.port);
        std::memcpy(&result.storage, &v6, sizeof v6);
        result.length = sizeof v6;
        return result;
    }
    return std::nullopt;
}

int open_datagram_socket(const core::endpoint& at)
{
    const auto address = to_socket_address(at);
    if (!address) {
        errno = EINVAL;
        return -1;
    }
    const int type = SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC;
    const int descriptor = ::socket(address->storage.ss_family, type, 0);
    if (descriptor < 0)
        return -1;
    if (::bind(descriptor, address->get(), address->length) != 0) {
        const int error = errno;
        ::close(descriptor);
        errno = error;
        return -1;
    }
    return descriptor;
}

bool send_datagram(int descriptor, const core::endpoint& to, std::string_view bytes)
{
    const auto address = to_socket_address(to);
    if (!address || bytes.size() > most_datagram_bytes)
        return false;
    const ssize_t sent =
        ::sendto(descriptor, bytes.data(), bytes.size(), 0, address->get(), address->length);
    return sent == static_cast<ssize_t>(bytes.size());
}

void receive_datagrams(int descriptor, const std::function<void(std::string_view)>& received)
{
    std::array<char, receive_buffer_bytes> buffer{};
    for (int count = 0; count != most_datagrams_a_turn; ++count) {
        const ssize_t size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (size < 0)
            return;
        received({buffer.data(), static_cast<std::size_t>(size)});
    }
}

} // namespace ragwortcove::peer
