#include "ragwortcove/bench/fault_run.hpp"

#include "ragwortcove/bench/runner.hpp"

#include <algorithm>

namespace ragwortcove::bench {

using namespace std::chrono_literals;

static constexpr double fault_run_load = 0.6;
/// Longer than any route's timeout at the small site.
static constexpr core::duration finish_limit = 40s;

std::vector<timed_fault> schedule_of(std::uint64_t seed)
{
    return draw_fault_schedule(small_site(), seed, fault_run_length);
}

run_result run_faults(const std::vector<timed_fault>& schedule, std::uint64_t seed)
{
    run_settings settings;
    settings.seed = seed;
    settings.load = fault_run_load;
    runner run(small_site(), settings);
    run.schedule(schedule);
    run.run_for(fault_run_length);
    run.finish(finish_limit);
    return run.result();
}

static const violation* find_violation(const run_result& result, promise broken)
{
    const auto wanted = [&](const violation& value) { return value.broken == broken; };
    const auto found = std::find_if(result.violations.begin(), result.violations.end(), wanted);
    return found == result.violations.end() ? nullptr : &*found;
}

std::vector<timed_fault> shrink_schedule(std::vector<timed_fault> schedule, std::uint64_t seed,
                                         promise broken)
{
    for (std::size_t index = 0; index < schedule.size();) {
        std::vector<timed_fault> fewer = schedule;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(index));
        const run_result result = run_faults(fewer, seed);
        if (find_violation(result, broken) == nullptr) {
            ++index;
            continue;
        }
        schedule = std::move(fewer);
        index = 0;
    }
    return schedule;
}

static std::string in_seconds(core::duration value)
{
    return std::to_string(std::chrono::duration<double>(value).count()) + " s";
}

std::string explain_seed(std::uint64_t seed)
{
    const std::vector<timed_fault> schedule = schedule_of(seed);
    const run_result first = run_faults(schedule, seed);
    if (first.violations.empty()) {
        return {};
    }
    const promise broken = first.violations.front().broken;
    const std::vector<timed_fault> smallest = shrink_schedule(schedule, seed, broken);
    const run_result result = run_faults(smallest, seed);
    const violation* found = find_violation(result, broken);
    std::string text = "seed " + std::to_string(seed) + ": " + std::string(to_string(broken)) +
                       " at " + in_seconds(found->at.time_since_epoch()) + ": " + found->detail;
    for (const timed_fault& timed : smallest) {
        text += "\n    at " + in_seconds(timed.at) + ": " + describe(timed.what);
    }
    return text;
}

} // namespace ragwortcove::bench
