/// \file
/// A loop on a thread of its own, for servers that a waiting command talks to.
#pragma once

#include "ragwortcove/http/loop.hpp"

#include <functional>
#include <future>
#include <thread>

namespace ragwortcove::cli::test {

class background_loop {
public:
    background_loop() : thread([this] { this->run(); }) { this->started.get_future().wait(); }
    ~background_loop()
    {
        this->loop->post([this] { this->loop->stop(); });
        this->thread.join();
    }
    background_loop(const background_loop&) = delete;
    background_loop& operator=(const background_loop&) = delete;

    /// Runs `work` on the loop's thread and waits for it.
    void run_there(const std::function<void(http::loop&)>& work)
    {
        std::promise<void> done;
        this->loop->post([&] {
            work(*this->loop);
            done.set_value();
        });
        done.get_future().wait();
    }

private:
    void run()
    {
        http::loop own;
        this->loop = &own;
        this->started.set_value();
        own.run();
    }

    http::loop* loop = nullptr;
    std::promise<void> started;
    std::thread thread;
};

} // namespace ragwortcove::cli::test
