#include "loopback.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::http::test {

TEST_CASE("the loop runs timers and work from other threads on its own thread")
{
    loop on;

    SUBCASE("timers run in the order of their time, and not when cancelled")
    {
        std::vector<int> order;
        on.after(std::chrono::milliseconds(3), [&] { order.push_back(2); });
        on.after(std::chrono::milliseconds(1), [&] { order.push_back(1); });
        const timer_id dropped =
            on.after(std::chrono::milliseconds(2), [&] { order.push_back(9); });
        on.cancel(dropped);
        on.after(std::chrono::milliseconds(4), [&] {
            on.cancel(dropped);
            on.stop();
        });
        on.run();
        CHECK(order == std::vector<int>{1, 2});
    }

    SUBCASE("what is due after the machine was suspended runs when it goes on")
    {
        std::chrono::microseconds suspended{0};
        loop on_suspended([&] { return boot_time() + suspended; });
        const std::chrono::microseconds start = on_suspended.now();
        bool due = false;
        bool later = false;
        on_suspended.after(std::chrono::seconds(10), [&] { due = true; });
        on_suspended.after(std::chrono::seconds(60), [&] { later = true; });
        on_suspended.after(std::chrono::milliseconds(1),
                           [&] { suspended = std::chrono::seconds(10); });
        on_suspended.after(std::chrono::milliseconds(2), [] {});
        REQUIRE(run_until(on_suspended, [&] { return due; }));
        CHECK_FALSE(later);
        CHECK(on_suspended.now() - start >= std::chrono::seconds(10));
    }

    SUBCASE("a timer may set the next one")
    {
        int rounds = 0;
        std::function<void()> next = [&] {
            if (++rounds == 10) {
                on.stop();
                return;
            }
            on.after(std::chrono::microseconds(0), next);
        };
        next();
        on.run();
        CHECK(rounds == 10);
    }

    SUBCASE("work of four threads is run once each")
    {
        constexpr int each = 1000;
        int done = 0;
        const std::thread::id own = std::this_thread::get_id();
        bool elsewhere = false;
        std::vector<std::thread> workers;
        workers.reserve(4);
        for (int worker = 0; worker < 4; ++worker) {
            workers.emplace_back([&] {
                for (int index = 0; index < each; ++index) {
                    on.post([&] {
                        ++done;
                        elsewhere = elsewhere || std::this_thread::get_id() != own;
                    });
                }
            });
        }
        REQUIRE(run_until(on, [&] { return done == 4 * each; }));
        for (std::thread& worker : workers)
            worker.join();
        CHECK_FALSE(elsewhere);
    }

    SUBCASE("datagrams wake the loop")
    {
        const int receiver = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const int sender = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback_address(0);
        socklen_t length = sizeof address;
        REQUIRE(::bind(receiver, reinterpret_cast<sockaddr*>(&address), length) == 0);
        REQUIRE(::getsockname(receiver, reinterpret_cast<sockaddr*>(&address), &length) == 0);
        std::string got;
        on.watch_datagrams(receiver, [&] {
            char part[16];
            const ssize_t count = ::recv(receiver, part, sizeof part, 0);
            if (count > 0)
                got.append(part, static_cast<std::size_t>(count));
        });
        for (const char* word : {"one", "two"})
            ::sendto(sender, word, 3, 0, reinterpret_cast<sockaddr*>(&address), length);
        REQUIRE(run_until(on, [&] { return got.size() == 6; }));
        CHECK(got == "onetwo");
        ::close(sender);
    }
}

} // namespace ragwortcove::http::test
