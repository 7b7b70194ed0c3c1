#include "ragwortcove/core/feed_readers.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Number of nodes that are assigned to read.
static constexpr std::size_t assigned_readers = 3;
static constexpr std::size_t receivers_per_node = 4;
/// Number of active readers below which another node becomes a substitute reader.
static constexpr std::size_t min_active_readers = 2;
/// How long a reader counts as active after its last report.
static constexpr duration reader_timeout = 900ms;
/// Nodes become substitutes one after the other, so that once the first ones read, the others need
/// no calls to the store.
static constexpr duration substitution_interval = 25ms;
static constexpr duration max_substitution_delay = 400ms;
/// Minimum time for which a substitute reads.
static constexpr duration min_substitute_time = 3s;
/// Mean time between two audits by all nodes together.
static constexpr duration audit_period = 300ms;

feed_readers::feed_readers(const node_name& given) : self(given) {}

void feed_readers::record_reader(const node_name& reader, time_point removal_grace_until,
                                 time_point now)
{
    this->recent_readers[reader] = {now, removal_grace_until};
    this->has_seen_reader = true;
}

time_point feed_readers::removal_grace_until(time_point now) const
{
    time_point latest{};
    for (const auto& [name, each] : this->recent_readers) {
        if (now - each.last_seen_at > reader_timeout)
            continue;
        if (each.removal_grace_until <= now)
            return time_point{};
        latest = std::max(latest, each.removal_grace_until);
    }
    return latest;
}

bool feed_readers::should_read(std::span<const std::string> serving, time_point now)
{
    std::erase_if(this->recent_readers, [now](const auto& each) {
        return now - each.second.last_seen_at > reader_timeout;
    });
    const std::vector<std::size_t> order = rendezvous_order("readers", serving);
    const auto own = std::find_if(order.begin(), order.end(), [&](std::size_t index) {
        return serving[index] == this->self.value;
    });
    const auto rank = static_cast<std::size_t>(own - order.begin());
    if (rank < assigned_readers) {
        this->reading = true;
        this->too_few_since = time_point::max();
        return true;
    }
    const std::size_t active_readers = this->recent_readers.size();
    if (this->reading) {
        if (active_readers >= assigned_readers &&
            now - this->substitute_since >= min_substitute_time)
            this->reading = false;
        return this->reading;
    }
    if (active_readers >= min_active_readers) {
        this->too_few_since = time_point::max();
        return false;
    }
    this->too_few_since = std::min(this->too_few_since, now);
    const duration substitution_delay =
        std::min(max_substitution_delay,
                 substitution_interval * static_cast<duration::rep>(rank - assigned_readers));
    // A node that has just started has not had the time to receive a report.
    const duration wait =
        substitution_delay + (this->has_seen_reader ? duration{0} : reader_timeout);
    if (now - this->too_few_since < wait)
        return false;
    this->reading = true;
    this->substitute_since = now;
    return true;
}

// If a node passes a change on to few others, no node and no link has to serve all, and a change
// reaches hundreds of nodes in a few steps.
std::vector<node_name> feed_readers::receivers(std::span<const std::string> serving) const
{
    const std::vector<std::size_t> order = rendezvous_order("readers", serving);
    const auto own = std::find_if(order.begin(), order.end(), [&](std::size_t index) {
        return serving[index] == this->self.value;
    });
    if (own == order.end())
        return {};
    const auto rank = static_cast<std::size_t>(own - order.begin());
    const std::size_t first = assigned_readers + rank * receivers_per_node;
    std::vector<node_name> found;
    for (std::size_t at = first; at < std::min(first + receivers_per_node, order.size()); ++at)
        found.push_back(node_name{serving[order[at]]});
    return found;
}

std::vector<node_name> feed_readers::roots(std::span<const std::string> serving) const
{
    const std::vector<std::size_t> order = rendezvous_order("readers", serving);
    std::vector<node_name> found;
    for (std::size_t at = 0; at < std::min(assigned_readers, order.size()); ++at) {
        if (serving[order[at]] != this->self.value)
            found.push_back(node_name{serving[order[at]]});
    }
    return found;
}

// All readers may have been cut off from changes without an error. Each node therefore reads once
// at random times; the more nodes there are, the less often each one reads.
bool feed_readers::audit_due(std::size_t serving, random_engine& random, time_point now)
{
    const bool is_first = this->next_audit_at == time_point{};
    const bool is_due = !is_first && now >= this->next_audit_at;
    if (is_first || is_due) {
        const double mean = static_cast<double>(audit_period.count()) *
                            static_cast<double>(std::max<std::size_t>(serving, 1));
        // Uniform between half and one and a half times the mean. The first ones are spread from
        // the start on, so that nodes that start together audit at the same rate.
        const double periods = is_first ? uniform(random) : 0.5 + uniform(random);
        this->next_audit_at = now + duration{static_cast<duration::rep>(mean * periods)};
    }
    return is_due;
}

} // namespace ragwortcove::core
