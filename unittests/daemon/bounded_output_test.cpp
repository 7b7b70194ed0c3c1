#include "ragwortcove/daemon/bounded_output.hpp"
#include "ragwortcove/daemon/log_sampler.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <unistd.h>

namespace ragwortcove::daemon {

using namespace std::chrono_literals;

TEST_CASE("a log whose reader stalls does not hold up its writer")
{
    int ends[2] = {-1, -1};
    REQUIRE(::pipe(ends) == 0);
    bounded_output output(ends[1]);
    const std::string line = "event=1 " + std::string(500, 'x') + "\n";
    const auto began = std::chrono::steady_clock::now();
    for (int count = 0; count < 20'000; ++count) {
        output.write(line);
        output.flush();
    }
    // A write that blocked would never have come back.
    CHECK(std::chrono::steady_clock::now() - began < 20s);
    CHECK(output.waiting_bytes() <= bounded_output::most_waiting_bytes);
    const std::uint64_t left_out = output.lines_left_out();
    CHECK(left_out > 0);

    SUBCASE("when it reads again it gets whole lines, and hears how many are missing")
    {
        std::string all;
        const auto read_some = [&] {
            char part[65536];
            const ssize_t count = ::read(ends[0], part, sizeof part);
            if (count > 0)
                all.append(part, static_cast<std::size_t>(count));
        };
        const auto drain = [&] {
            while (output.waiting_bytes() > 0) {
                read_some();
                output.flush();
            }
        };
        drain();
        output.write(line);
        drain();
        ::close(ends[1]);
        ends[1] = -1;
        for (std::size_t before = all.size() + 1; before != all.size();) {
            before = all.size();
            read_some();
        }
        CHECK(all.find("name=lines_left_out reason=reader_stalled count=" +
                       std::to_string(left_out) + "\n") != std::string::npos);
        CHECK(all.find("event=1 ") == 0);
        CHECK(all.back() == '\n');
    }
    ::close(ends[0]);
    if (ends[1] >= 0)
        ::close(ends[1]);
}

TEST_CASE("lines of one event are bounded, and what is left out is told")
{
    log_sampler sampler;
    const log_sampler::time start{1h};
    std::uint64_t admitted = 0;
    for (int count = 0; count < 10'000; ++count)
        admitted += sampler.admit(log_event::request_placed, start + count * 100us) ? 1 : 0;
    CHECK(admitted <= 400 + 200);
    CHECK(sampler.admit(log_event::request_answered, start));
    const auto left_out = sampler.take_left_out(start + 1s);
    REQUIRE(left_out.size() == 1);
    CHECK(left_out[0].event == log_event::request_placed);
    CHECK(left_out[0].count + admitted == 10'000);
    CHECK(sampler.take_left_out(start + 3s).empty());
}

} // namespace ragwortcove::daemon
