#include "ragwortcove/core/feed_readers.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <algorithm>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Nodes that read.
static constexpr std::size_t wanted_readers = 3;
/// Readers that a node must hear of to leave the reading to them.
static constexpr std::size_t least_heard = 2;
/// How long a reader that was heard counts.
static constexpr duration reader_memory = 900ms;
/// Those that step in do so one after the other, so that the first ones spare the rest the calls.
static constexpr duration step_in_interval = 25ms;
static constexpr duration longest_step_in = 400ms;
/// A node that has stepped in reads for this long at least.
static constexpr duration shortest_reading = 3s;
/// Mean time between two audits in the whole fleet.
static constexpr duration audit_period = 1s;

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
        if (now - each.last_seen_at > reader_memory)
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
        return now - each.second.last_seen_at > reader_memory;
    });
    const std::vector<std::size_t> order = rendezvous_order("readers", serving);
    const auto own = std::find_if(order.begin(), order.end(), [&](std::size_t index) {
        return serving[index] == this->self.value;
    });
    const auto rank = static_cast<std::size_t>(own - order.begin());
    this->assigned = rank < wanted_readers;
    if (this->assigned) {
        this->reading = true;
        this->too_few_since = time_point::max();
        return true;
    }
    const std::size_t heard = this->recent_readers.size();
    if (this->reading) {
        if (heard >= wanted_readers && now - this->substitute_since >= shortest_reading)
            this->reading = false;
        return this->reading;
    }
    if (heard >= least_heard) {
        this->too_few_since = time_point::max();
        return false;
    }
    this->too_few_since = std::min(this->too_few_since, now);
    const duration turn = std::min(
        longest_step_in, step_in_interval * static_cast<duration::rep>(rank - wanted_readers));
    // A node that has just started has not had the time to hear of anybody.
    const duration patience = turn + (this->has_seen_reader ? duration{0} : reader_memory);
    if (now - this->too_few_since < patience)
        return false;
    this->reading = true;
    this->substitute_since = now;
    return true;
}

// All readers may have been turned away without a word. A node drawn at random looks once; with
// more nodes each looks more seldom.
bool feed_readers::audit_due(std::size_t serving, random_engine& random, time_point now)
{
    const bool is_first = this->next_audit_at == time_point{};
    const bool is_due = !is_first && now >= this->next_audit_at;
    if (is_first || is_due) {
        const double mean = static_cast<double>(audit_period.count()) *
                            static_cast<double>(std::max<std::size_t>(serving, 1));
        // Between half and one and a half times the mean.
        this->next_audit_at =
            now + duration{static_cast<duration::rep>(mean * (0.5 + uniform(random)))};
    }
    return is_due;
}

} // namespace ragwortcove::core
