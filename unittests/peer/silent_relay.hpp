/// \file
/// TCP relay whose open connections can be made silent while new ones work.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cassert>
#include <cstdint>
#include <list>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace ragwortcove::peer {

class silent_relay {
public:
    explicit silent_relay(std::uint16_t to) : target(to)
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = loopback(0);
        const int bind_result =
            ::bind(this->listener, reinterpret_cast<const sockaddr*>(&at), sizeof at);
        assert(bind_result == 0 && "loopback has a free port");
        ::listen(this->listener, 16);
        socklen_t length = sizeof at;
        ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&at), &length);
        this->bound = ntohs(at.sin_port);
        this->worker = std::thread([this] { this->relay(); });
    }
    ~silent_relay()
    {
        this->ending = true;
        this->worker.join();
        ::close(this->listener);
    }
    silent_relay(const silent_relay&) = delete;
    silent_relay& operator=(const silent_relay&) = delete;

    [[nodiscard]] std::uint16_t port() const { return this->bound; }
    /// Drops, from now on, what comes on the connections that are open.
    void silence_open_connections() { this->silenced = this->accepted.load(); }
    [[nodiscard]] int connections() const { return this->accepted; }

private:
    struct pair {
        int left = -1;
        int right = -1;
        int number = 0;
    };

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in result{};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return result;
    }

    void accept_one()
    {
        const int left = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        const int right = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in at = loopback(this->target);
        const int connected = ::connect(right, reinterpret_cast<const sockaddr*>(&at), sizeof at);
        if (connected != 0) {
            ::close(left);
            ::close(right);
            return;
        }
        this->pairs.push_back({left, right, ++this->accepted});
    }

    /// False when the connection has ended.
    bool forward(int from, int to, bool silent)
    {
        std::array<char, 16384> buffer{};
        const ssize_t size = ::recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size <= 0 || silent)
            return size > 0 || silent;
        return ::send(to, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL) == size;
    }

    void relay()
    {
        while (!this->ending) {
            std::vector<pollfd> watched{{this->listener, POLLIN, 0}};
            for (const pair& each : this->pairs) {
                watched.push_back({each.left, POLLIN, 0});
                watched.push_back({each.right, POLLIN, 0});
            }
            ::poll(watched.data(), watched.size(), 10);
            std::size_t position = 1;
            for (auto each = this->pairs.begin(); each != this->pairs.end(); position += 2) {
                const bool silent = each->number <= this->silenced;
                bool open = true;
                if (watched[position].revents != 0)
                    open = this->forward(each->left, each->right, silent);
                if (open && watched[position + 1].revents != 0)
                    open = this->forward(each->right, each->left, silent);
                if (open) {
                    ++each;
                    continue;
                }
                ::close(each->left);
                ::close(each->right);
                each = this->pairs.erase(each);
            }
            if (watched.front().revents != 0)
                this->accept_one();
        }
        for (const pair& each : this->pairs) {
            ::close(each.left);
            ::close(each.right);
        }
    }

    std::uint16_t target;
    std::uint16_t bound = 0;
    int listener = -1;
    std::list<pair> pairs;
    std::atomic<bool> ending{false};
    std::atomic<int> accepted{0};
    std::atomic<int> silenced{0};
    std::thread worker;
};

} // namespace ragwortcove::peer
