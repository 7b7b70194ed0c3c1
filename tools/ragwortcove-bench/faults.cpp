// Checks the promises under many seeded fault schedules.
#include "commands.hpp"
#include "parallel.hpp"
#include "ragwortcove/bench/fault_run.hpp"

#include <tclap/CmdLine.h>

#include <iostream>
#include <mutex>

namespace ragwortcove::bench {

static constexpr std::size_t most_explained = 5;

int run_faults_command(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Checks the promises under seeded fault schedules. Example: "
                        "ragwortcove-bench faults --count 10000 --threads 4",
                        ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> first("f", "first", "first seed", false, 1, "seed", line);
    TCLAP::ValueArg<std::uint64_t> count("c", "count", "number of seeds", false, 100, "count",
                                         line);
    TCLAP::ValueArg<unsigned> threads("t", "threads", "runs side by side", false, 1, "count", line);
    line.parse(arguments);

    std::mutex guard;
    std::vector<std::uint64_t> failed;
    std::uint64_t offered = 0;
    std::uint64_t answered = 0;
    run_parallel(count.getValue(), threads.getValue(), [&](std::size_t index) {
        const std::uint64_t seed = first.getValue() + index;
        const run_result result = run_faults(schedule_of(seed), seed);
        const std::lock_guard lock(guard);
        offered += result.offered();
        answered += result.answered();
        if (!result.violations.empty()) {
            failed.push_back(seed);
        }
    });
    std::sort(failed.begin(), failed.end());
    for (std::size_t index = 0; index < std::min(failed.size(), most_explained); ++index) {
        std::cout << explain_seed(failed[index]) << '\n';
    }
    std::cout << "schedules " << count.getValue() << ", with a broken promise " << failed.size()
              << ", calls offered " << offered << ", answered " << answered << '\n';
    if (!failed.empty()) {
        std::cout << "failing seeds:";
        for (const std::uint64_t seed : failed) {
            std::cout << ' ' << seed;
        }
        std::cout << '\n';
    }
    return failed.empty() ? 0 : 1;
}

} // namespace ragwortcove::bench
