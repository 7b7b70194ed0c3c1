#include "ragwortcove/daemon/log_sampler.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::daemon {

/// Time between two reports of what was left out.
static constexpr std::chrono::seconds report_period{1};

bool log_sampler::admit(log_event event, time now)
{
    const auto [found, is_new] = this->buckets.try_emplace(event);
    bucket& own = found->second;
    if (!is_new) {
        const double passed = std::chrono::duration<double>(now - own.filled_at).count();
        own.lines = std::min(burst, own.lines + passed * lines_per_second);
    }
    own.filled_at = now;
    if (own.lines < 1.0) {
        ++own.left_out;
        return false;
    }
    own.lines -= 1.0;
    return true;
}

std::vector<left_out_lines> log_sampler::take_left_out(time now)
{
    std::vector<left_out_lines> taken;
    if (now - this->told_at < report_period)
        return taken;
    for (auto& [event, each] : this->buckets) {
        if (each.left_out > 0)
            taken.push_back({event, std::exchange(each.left_out, 0)});
    }
    if (!taken.empty())
        this->told_at = now;
    return taken;
}

} // namespace ragwortcove::daemon
