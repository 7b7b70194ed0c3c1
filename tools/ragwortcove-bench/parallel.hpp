/// \file
/// Separate runs over the cores.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace ragwortcove::bench {

/// Calls `work(index)` once for each index below `count`, on several threads.
template <class Work> void run_parallel(std::size_t count, unsigned threads, const Work& work)
{
    std::atomic<std::size_t> next{0};
    const auto take = [&] {
        for (std::size_t index = next++; index < count; index = next++) {
            work(index);
        }
    };
    std::vector<std::thread> running;
    for (unsigned thread = 0; thread < std::max(threads, 1U); ++thread) {
        running.emplace_back(take);
    }
    for (std::thread& thread : running) {
        thread.join();
    }
}

} // namespace ragwortcove::bench
