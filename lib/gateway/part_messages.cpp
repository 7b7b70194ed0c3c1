#include "part_messages.hpp"

#include <chrono>
#include <cstddef>
#include <string>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;

/// Longest name of an upstream.
static constexpr std::size_t max_name_bytes = 256;
/// Longest time that something in a message can have happened ago.
static constexpr core::duration max_age = 24h * 365;

static std::int64_t age_of(core::time_point at, core::time_point now)
{
    return std::max<std::int64_t>(0, (now - at).count());
}

static std::optional<core::time_point> read_age(std::int64_t age, core::time_point now)
{
    if (age < 0 || age > max_age.count())
        return std::nullopt;
    return now - core::duration{age};
}

void write_part_record(const core::part_record& from, core::time_point now, wire::PartRecord& to)
{
    to.set_part(from.part.value);
    to.set_generation(from.generation);
    for (const core::upstream_end& end : from.ends) {
        wire::PartRecord::End& added = *to.add_ends();
        added.set_upstream(end.process.name.value);
        added.set_started_at(end.process.started_at);
        added.set_age(age_of(end.at, now));
        added.set_during_trial(end.during_trial);
    }
    to.set_trials_sent(from.trials_sent);
    to.set_trials_over(from.trials_over);
    if (from.trials_sent > 0)
        to.set_trial_age(age_of(from.last_trial_at, now));
}

std::optional<core::part_record> read_part_record(const wire::PartRecord& from,
                                                  core::time_point now)
{
    core::part_record result;
    result.part.value = from.part();
    result.generation = from.generation();
    result.trials_sent = from.trials_sent();
    result.trials_over = from.trials_over();
    const auto end_count = static_cast<std::size_t>(from.ends_size());
    if (result.generation > core::max_part_generation ||
        result.trials_sent > core::max_trial_number ||
        result.trials_over > core::max_trial_number || end_count > core::max_ends_of_part)
        return std::nullopt;
    for (const wire::PartRecord::End& each : from.ends()) {
        const std::optional<core::time_point> at = read_age(each.age(), now);
        if (!at || each.upstream().empty() || each.upstream().size() > max_name_bytes)
            return std::nullopt;
        result.ends.push_back({{{each.upstream()}, each.started_at()}, *at, each.during_trial()});
    }
    if (result.trials_sent == 0)
        return result;
    const std::optional<core::time_point> last_trial_at = read_age(from.trial_age(), now);
    if (!last_trial_at)
        return std::nullopt;
    result.last_trial_at = *last_trial_at;
    return result;
}

} // namespace ragwortcove::gateway
