#include "ragwortcove/core/upstream_health.hpp"

#include <algorithm>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Number of consecutive failures that eject an upstream.
static constexpr std::uint32_t failures_to_eject = 3;
/// Time from an ejection to the first probe; doubles with each further ejection or failed probe.
static constexpr duration first_probe_after = 500ms;
static constexpr duration max_probe_wait = 15s;

static duration probe_wait(std::uint32_t ejections)
{
    constexpr std::uint32_t max_doublings = 5;
    return std::min(max_probe_wait,
                    first_probe_after * (std::int64_t{1} << std::min(ejections, max_doublings)));
}

upstream_health::change upstream_health::succeeded()
{
    this->consecutive_failures = 0;
    this->ejections = 0;
    const bool was_on_trial = this->on_trial || this->is_ejected;
    this->on_trial = false;
    this->is_ejected = false;
    this->probe_at = time_point::max();
    return was_on_trial ? change::restored : change::none;
}

upstream_health::change upstream_health::failed(time_point now)
{
    ++this->consecutive_failures;
    if (this->is_ejected)
        return change::none;
    if (!this->on_trial && this->consecutive_failures < failures_to_eject)
        return change::none;
    this->is_ejected = true;
    this->on_trial = false;
    this->probe_at = now + probe_wait(this->ejections);
    ++this->ejections;
    return change::ejected;
}

upstream_health::change upstream_health::probed(bool healthy, time_point now)
{
    if (!this->is_ejected)
        return change::none;
    if (!healthy) {
        this->probe_at = now + probe_wait(this->ejections);
        ++this->ejections;
        return change::none;
    }
    this->is_ejected = false;
    this->on_trial = true;
    this->probe_at = time_point::max();
    return change::none;
}

bool upstream_health::take_probe(time_point now)
{
    if (!this->is_ejected || this->probe_at > now)
        return false;
    // A probe without a response is sent again.
    this->probe_at = now + probe_wait(this->ejections);
    return true;
}

std::uint32_t upstream_health::limit(std::uint32_t healthy_limit) const
{
    if (this->is_ejected)
        return 0;
    return this->on_trial ? std::min(healthy_limit, 1U) : healthy_limit;
}

time_point upstream_health::next_probe() const
{
    return this->probe_at;
}

} // namespace ragwortcove::core
