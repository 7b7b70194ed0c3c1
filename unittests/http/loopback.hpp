/// \file
/// A server, a client and a raw socket on one loop, for the tests of this folder.
#pragma once

#include "ragwortcove/http/client.hpp"
#include "ragwortcove/http/server.hpp"

#include <doctest/doctest.h>
#include <initializer_list>

#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace ragwortcove::http::test {

/// The parts of a message as one text.
inline std::string join(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts)
        text += part;
    return text;
}

/// What a client's handlers heard of one exchange.
struct heard {
    response_head head;
    std::string body;
    std::vector<std::string> parts;
    bool ended = false;
    std::optional<client_error> error;

    [[nodiscard]] bool over() const { return this->ended || this->error.has_value(); }
};

inline client_handlers handlers_into(heard& into, const std::function<void()>& over)
{
    client_handlers handlers;
    handlers.headed = [&into](const response_head& head) { into.head = head; };
    handlers.body = [&into](std::string_view bytes) {
        into.body += bytes;
        into.parts.emplace_back(bytes);
    };
    handlers.ended = [&into, over] {
        into.ended = true;
        over();
    };
    handlers.failed = [&into, over](client_error error) {
        into.error = error;
        over();
    };
    return handlers;
}

inline client_request request_to(std::uint16_t port, std::string method, std::string path,
                                 std::string body = {})
{
    client_request made;
    made.address = "127.0.0.1";
    made.port = port;
    made.message.method = std::move(method);
    made.message.path = std::move(path);
    made.message.body = std::move(body);
    return made;
}

/// Runs the loop until `done` holds; false when that takes longer than `limit`.
inline bool run_until(loop& on, const std::function<bool()>& done,
                      std::chrono::microseconds limit = std::chrono::seconds(20))
{
    const auto end = on.now() + limit;
    bool has_ended = false;
    std::function<void()> check = [&] {
        if (done() || on.now() >= end) {
            has_ended = true;
            on.stop();
            return;
        }
        on.after(std::chrono::milliseconds(1), check);
    };
    check();
    // A check that is scheduled must have run before its variables go.
    if (!has_ended)
        on.run();
    return done();
}

inline sockaddr_in loopback_address(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// A plain connected socket, for messages that no proper HTTP library would send.
class raw_connection {
public:
    explicit raw_connection(int connected) : descriptor(connected)
    {
        const timeval limit{10, 0};
        ::setsockopt(connected, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    ~raw_connection() { this->close(); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    /// Returns whether the other side took everything.
    bool send(std::string_view bytes) const // NOLINT(modernize-use-nodiscard)
    {
        while (!bytes.empty()) {
            const ssize_t count =
                ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    /// Reads until `end` has come or the other side closes.
    [[nodiscard]] std::string receive_until(std::string_view end) const
    {
        std::string all;
        char part[4096];
        while (all.find(end) == std::string::npos) {
            const ssize_t count = ::recv(this->descriptor, part, sizeof part, 0);
            if (count <= 0)
                return all;
            all.append(part, static_cast<std::size_t>(count));
        }
        return all;
    }

    /// Waits for the end of the connection; returns whether it came in order and without a byte.
    [[nodiscard]] bool ends_in_order() const
    {
        char byte = 0;
        return ::recv(this->descriptor, &byte, 1, 0) == 0;
    }

    /// Reads once; empty when the other side has closed.
    [[nodiscard]] std::string receive_some(std::size_t max_bytes) const
    {
        std::string part(max_bytes, '\0');
        const ssize_t count = ::recv(this->descriptor, part.data(), part.size(), 0);
        part.resize(count <= 0 ? 0 : static_cast<std::size_t>(count));
        return part;
    }

    [[nodiscard]] std::string receive_all() const
    {
        std::string all;
        char part[4096];
        for (;;) {
            const ssize_t count = ::recv(this->descriptor, part, sizeof part, 0);
            if (count <= 0)
                return all;
            all.append(part, static_cast<std::size_t>(count));
        }
    }

    /// Port of the other side.
    [[nodiscard]] std::uint16_t peer_port() const
    {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        REQUIRE(::getpeername(this->descriptor, reinterpret_cast<sockaddr*>(&address), &length) ==
                0);
        return ntohs(address.sin_port);
    }

    /// Closes this side in order; the other side may still send.
    void end_sending() const { ::shutdown(this->descriptor, SHUT_WR); }

    /// Closes with a reset.
    void reset()
    {
        const linger at_once{1, 0};
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        this->close();
    }

    void close()
    {
        if (this->descriptor >= 0)
            ::close(this->descriptor);
        this->descriptor = -1;
    }

private:
    int descriptor;
};

/// Runs `talk` on a thread of its own with a connection to `port`; tells when it is done.
class raw_client {
public:
    raw_client(std::uint16_t port, std::function<void(raw_connection&)> talk)
        : worker([this, port, talk = std::move(talk)] {
              const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
              const sockaddr_in address = loopback_address(port);
              raw_connection connection(descriptor);
              if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                            sizeof address) == 0)
                  talk(connection);
              this->finished = true;
          })
    {
    }
    ~raw_client() { this->worker.join(); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    [[nodiscard]] bool done() const { return this->finished; }

private:
    std::atomic<bool> finished{false};
    std::thread worker;
};

/// Accepts connections one after another and lets `talk` serve each until it returns.
class raw_server {
public:
    explicit raw_server(std::function<void(raw_connection&)> talk)
        : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address = loopback_address(0);
        socklen_t length = sizeof address;
        auto* const generic = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(this->descriptor, generic, length) == 0);
        REQUIRE(::listen(this->descriptor, 16) == 0);
        REQUIRE(::getsockname(this->descriptor, generic, &length) == 0);
        this->own_port = ntohs(address.sin_port);
        this->worker = std::thread([this, talk = std::move(talk)] {
            for (;;) {
                const int accepted = ::accept(this->descriptor, nullptr, nullptr);
                if (accepted < 0)
                    return;
                ++this->accepted_count;
                this->serving = accepted;
                raw_connection connection(accepted);
                talk(connection);
                this->serving = -1;
            }
        });
    }
    ~raw_server()
    {
        ::shutdown(this->descriptor, SHUT_RDWR);
        ::shutdown(this->serving, SHUT_RDWR);
        this->worker.join();
        ::close(this->descriptor);
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    /// Refuses every later connection, as after the end of a process.
    void stop_listening() const { ::shutdown(this->descriptor, SHUT_RDWR); }
    [[nodiscard]] std::uint16_t port() const { return this->own_port; }
    [[nodiscard]] int accepted() const { return this->accepted_count; }

private:
    int descriptor;
    std::uint16_t own_port = 0;
    std::atomic<int> accepted_count{0};
    std::atomic<int> serving{-1};
    std::thread worker;
};

} // namespace ragwortcove::http::test
