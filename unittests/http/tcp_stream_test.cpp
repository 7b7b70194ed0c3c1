#include "loopback.hpp"
#include "ragwortcove/http/tcp_stream.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <cerrno>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace ragwortcove::http::test {

using namespace std::chrono_literals;

TEST_CASE("a peer that sends without end does not keep the loop from its other work")
{
    constexpr std::size_t max_calls = 400;
    const std::string block(256U << 10U, 'x');
    raw_server endless([&](raw_connection& connection) {
        while (connection.send(block)) {
        }
    });
    loop on;
    std::size_t calls = 0;
    std::size_t calls_before_timer = 0;
    std::unique_ptr<tcp_stream> stream;
    tcp_stream_handlers handlers;
    handlers.received = [&](std::string_view) {
        // Slower than the peer, so the socket is never empty.
        std::this_thread::sleep_for(2ms);
        if (++calls == 1)
            on.after(1ms, [&] { calls_before_timer = calls; });
        if (calls == max_calls)
            stream->reset();
    };
    handlers.ended = [](stream_end) {};
    stream = tcp_stream::connect(on, {"127.0.0.1", endless.port()}, std::move(handlers));
    REQUIRE(stream);
    REQUIRE(run_until(on, [&] { return calls_before_timer > 0; }));
    CHECK(calls_before_timer < max_calls / 10);
    stream->reset();
}

TEST_CASE("an address that another process holds is listened on when it is free")
{
    std::optional<raw_server> holder(std::in_place, [](raw_connection&) {});
    loop on;
    int accepted = 0;
    tcp_listener_handlers handlers;
    handlers.accepted = [&](int descriptor) {
        ++accepted;
        ::close(descriptor);
    };
    const tcp_listener listener(on, {"127.0.0.1", holder->port()}, std::move(handlers));
    CHECK_FALSE(listener.listening());
    CHECK(listener.error() == EADDRINUSE);
    holder.reset();
    REQUIRE(run_until(
        on, [&] { return listener.listening(); }, 3s));
    CHECK(listener.error() == 0);
    const raw_client caller(listener.port(), [](raw_connection& connection) {
        static_cast<void>(connection.receive_all());
    });
    CHECK(run_until(
        on, [&] { return accepted == 1; }, 3s));
}

namespace {

/// Leaves this process room for a few more descriptors only.
class few_descriptors {
public:
    explicit few_descriptors(rlim_t free)
    {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &this->before) == 0);
        const int lowest_free = ::dup(0);
        REQUIRE(lowest_free >= 0);
        ::close(lowest_free);
        rlimit lowered = this->before;
        lowered.rlim_cur = static_cast<rlim_t>(lowest_free) + free;
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~few_descriptors() { ::setrlimit(RLIMIT_NOFILE, &this->before); }
    few_descriptors(const few_descriptors&) = delete;
    few_descriptors& operator=(const few_descriptors&) = delete;

private:
    rlimit before{};
};

} // namespace

TEST_CASE("connections that cannot be accepted take no processor time, and later ones are accepted")
{
    constexpr std::size_t client_count = 24;
    loop on;
    std::vector<int> accepted;
    int failures = 0;
    tcp_listener_handlers handlers;
    handlers.accepted = [&](int descriptor) { accepted.push_back(descriptor); };
    handlers.accept_failed = [&](int error) {
        CHECK(error == EMFILE);
        ++failures;
    };
    const tcp_listener listener(on, {"127.0.0.1", 0}, std::move(handlers));
    const std::uint16_t port = listener.port();
    std::vector<int> clients;
    for (std::size_t count = 0; count < client_count; ++count)
        clients.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const sockaddr_in address = loopback_address(port);
    const auto connect = [&](int client) {
        static_cast<void>(
            ::connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    };
    {
        const few_descriptors limit(8);
        for (const int client : clients)
            connect(client);
        static_cast<void>(run_until(
            on, [] { return false; }, 600ms));
        CHECK(failures > 0);
        CHECK(failures < 20);
    }
    for (const int descriptor : std::exchange(accepted, {}))
        ::close(descriptor);
    for (const int client : clients)
        ::close(client);
    REQUIRE(run_until(
        on, [&] { return listener.listening(); }, 3s));
    CHECK(listener.port() == port);
    const raw_client caller(
        port, [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
    CHECK(run_until(
        on, [&] { return !accepted.empty(); }, 3s));
    for (const int descriptor : accepted)
        ::close(descriptor);
}

TEST_CASE("an ended outgoing connection keeps no port from being listened on")
{
    std::atomic<std::uint16_t> port{0};
    const raw_server other([&](raw_connection& connection) {
        port = connection.peer_port();
        static_cast<void>(connection.ends_in_order());
    });
    loop on;
    tcp_stream_handlers ignored;
    ignored.received = [](std::string_view) {};
    ignored.ended = [](stream_end) {};
    std::unique_ptr<tcp_stream> stream =
        tcp_stream::connect(on, {"127.0.0.1", other.port()}, std::move(ignored));
    REQUIRE(run_until(on, [&] { return port != 0; }));
    // This side closes first, so the system remembers the connection for a minute.
    stream.reset();
    tcp_listener_handlers handlers;
    handlers.accepted = [](int descriptor) { ::close(descriptor); };
    const tcp_listener listener(on, {"127.0.0.1", port}, std::move(handlers));
    CHECK(run_until(
        on, [&] { return listener.listening(); }, 3s));
}

TEST_CASE("bytes that the network takes only in many parts are all sent")
{
    constexpr std::size_t all_bytes = 24U << 20U;
    std::atomic<std::size_t> received{0};
    raw_server slow([&](raw_connection& connection) {
        std::string part = connection.receive_some(256U << 10U);
        while (!part.empty()) {
            received += part.size();
            std::this_thread::sleep_for(2ms);
            part = connection.receive_some(256U << 10U);
        }
    });
    loop on;
    tcp_stream_handlers handlers;
    handlers.received = [](std::string_view) {};
    handlers.ended = [](stream_end) {};
    const auto stream = tcp_stream::connect(on, {"127.0.0.1", slow.port()}, std::move(handlers));
    REQUIRE(stream);
    stream->write(std::string(all_bytes, 'x'));
    static_cast<void>(run_until(
        on, [&] { return received == all_bytes; }, 5s));
    CHECK(received.load() == all_bytes);
    CHECK(stream->unsent_bytes() == 0);
}

namespace {

/// One stream, and what its handlers heard.
struct watched_stream {
    loop on;
    std::atomic<bool> is_open{false};
    std::string received;
    std::optional<stream_end> end;
    std::unique_ptr<tcp_stream> stream;

    explicit watched_stream(std::uint16_t port)
    {
        tcp_stream_handlers handlers;
        handlers.opened = [this] { this->is_open = true; };
        handlers.received = [this](std::string_view bytes) { this->received += bytes; };
        handlers.ended = [this](stream_end how) { this->end = how; };
        this->stream = tcp_stream::connect(this->on, {"127.0.0.1", port}, std::move(handlers));
        REQUIRE(this->stream);
        REQUIRE(run_until(this->on, [this] { return this->is_open.load(); }));
    }
    stream_end wait_for_end()
    {
        REQUIRE(run_until(this->on, [this] { return this->end.has_value(); }));
        return *this->end;
    }
};

/// The other end of a stream. Its steps follow when they are allowed to, so that the loop stands
/// still meanwhile, as it does while it handles something else.
struct ending_server {
    std::atomic<bool> may_go_on{false};
    std::atomic<bool> has_ended{false};
    raw_server server;

    explicit ending_server(std::function<void(raw_connection&)> ends)
        : server([this, ends = std::move(ends)](raw_connection& connection) {
              while (!this->may_go_on)
                  std::this_thread::sleep_for(1ms);
              ends(connection);
              this->has_ended = true;
          })
    {
    }
    void go_on_without_the_loop()
    {
        this->may_go_on = true;
        while (!this->has_ended)
            std::this_thread::sleep_for(1ms);
        std::this_thread::sleep_for(20ms);
    }
};

} // namespace

// Guards against a connection that seems closed in order although it was reset: the kernel tells of
// a reset once, to whichever call comes first.
TEST_CASE("a stream that was reset ends as broken, whichever call met the reset")
{
    ending_server other([](raw_connection& connection) { connection.reset(); });
    watched_stream own(other.server.port());
    other.go_on_without_the_loop();
    SUBCASE("the loop's own read") {}
    SUBCASE("a write")
    {
        own.stream->write("x");
    }
    SUBCASE("two writes")
    {
        own.stream->write("x");
        own.stream->write("y");
    }
    SUBCASE("a question whether anything has come")
    {
        CHECK_FALSE(own.stream->is_quiet());
    }
    SUBCASE("a look at what has come")
    {
        CHECK(own.stream->peek(10).empty());
    }
    SUBCASE("a look, then a write")
    {
        CHECK(own.stream->peek(10).empty());
        own.stream->write("x");
    }
    CHECK(own.wait_for_end() == stream_end::broken);
}

TEST_CASE("a stream whose other end has closed ends in order, though that end then refuses bytes")
{
    ending_server other([](raw_connection& connection) {
        connection.send("all");
        connection.end_sending();
        std::this_thread::sleep_for(20ms);
        connection.reset();
    });
    watched_stream own(other.server.port());
    SUBCASE("the end is read first")
    {
        other.may_go_on = true;
    }
    SUBCASE("a write meets the refusal first")
    {
        other.go_on_without_the_loop();
        own.stream->write("x");
        own.stream->write("y");
    }
    CHECK(own.wait_for_end() == stream_end::orderly);
    CHECK(own.received == "all");
}

} // namespace ragwortcove::http::test
