#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/daemon/process_support.hpp"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace ragwortcove::daemon {

using namespace std::chrono_literals;

namespace {

/// Stands for a library's object that waits for a thread which never ends.
struct waits_for_ever {
    ~waits_for_ever()
    {
        while (true)
            ::pause();
    }
};

} // namespace

/// Exit status of a child process, or nothing when it is still there after a while.
static std::optional<int> wait_for_end(pid_t child)
{
    constexpr int max_checks = 500;
    for (int checks = 0; checks < max_checks; ++checks) {
        int status = 0;
        if (::waitpid(child, &status, WNOHANG) == child)
            return status;
        std::this_thread::sleep_for(10ms);
    }
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    return std::nullopt;
}

TEST_CASE("a process ends although a library's threads never do")
{
    constexpr int exit_code = 3;
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        static const waits_for_ever library;
        end_process(exit_code);
    }
    const std::optional<int> status = wait_for_end(child);
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == exit_code);
}

namespace {

/// How a child process has ended, and what it had written to its standard output.
struct child_result {
    std::optional<int> status;
    std::string output;
};

} // namespace

/// Runs `work` in a child process whose log goes to its standard output.
template <class Work> static child_result run_in_child(Work&& work)
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        configure_log({log_level::info, "stdout"});
        work();
    }
    ::close(ends[1]);
    child_result result;
    result.status = wait_for_end(child);
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = ::read(ends[0], buffer.data(), buffer.size())) > 0)
        result.output.append(buffer.data(), static_cast<std::size_t>(count));
    ::close(ends[0]);
    return result;
}

TEST_CASE("the last lines of a log on standard output are written when the process ends")
{
    const child_result ended = run_in_child([] {
        write_log(log_event::drain_finished, {{"open", "0"}});
        end_process(0);
    });
    CHECK(ended.status == 0);
    CHECK(ended.output.find("name=drain_finished open=0") != std::string::npos);
}

TEST_CASE("an exception that nothing handles is logged before the process ends")
{
    const child_result ended = run_in_child([] {
        // The tests' framework has a handler of its own for the signal.
        std::signal(SIGABRT, SIG_DFL);
        log_unhandled_exceptions();
        const std::function<void()> fails = [] { throw std::runtime_error("no such engine"); };
        [&]() noexcept { fails(); }();
    });
    REQUIRE(ended.status);
    CHECK(WIFSIGNALED(*ended.status));
    CHECK(ended.output.find("name=process_failed reason=\"no such engine\"") != std::string::npos);
}

} // namespace ragwortcove::daemon
