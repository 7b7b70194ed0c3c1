#include "ragwortcove/core/upstream_directory.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time after an outage of the store within which running upstreams have renewed their lapsed
/// announcements.
static constexpr duration announcements_return_within = 2200ms;

/// Ends the name of a canary pool.
static constexpr std::string_view canary_suffix = "/canary";

const target_name& pool_of(const announced_upstream& upstream)
{
    return upstream.pool.empty() ? upstream.target : upstream.pool;
}

target_name canary_pool_of(const target_name& target)
{
    return {target.value + std::string(canary_suffix)};
}

target_name target_of_pool(const target_name& pool)
{
    std::string_view name = pool.value;
    if (name.ends_with(canary_suffix))
        name.remove_suffix(canary_suffix.size());
    return {std::string(name)};
}

void upstream_directory::restart_removal_grace(time_point now)
{
    this->extend_removal_grace(now + announcements_return_within);
}

void upstream_directory::extend_removal_grace(time_point until)
{
    if (until <= this->grace_until)
        return;
    this->grace_until = until;
    for (auto& [name, each] : this->entries) {
        if (each.remove_at != time_point::max())
            each.remove_at = this->grace_until;
    }
}

void upstream_directory::mark_missing(entry& missing_entry, revision at, time_point now,
                                      directory_changes& changes)
{
    missing_entry.missing_since = at;
    // An upstream that announced that it leaves has no grace period.
    if (missing_entry.value.leaving || now >= this->grace_until) {
        changes.removed.push_back(missing_entry.value.name);
        return;
    }
    missing_entry.remove_at = std::min(missing_entry.remove_at, this->grace_until);
}

directory_changes upstream_directory::put(const announced_upstream& announced)
{
    directory_changes changes;
    const auto found = this->entries.find(announced.name);
    this->newest = std::max(this->newest, announced.at);
    if (found == this->entries.end()) {
        this->entries[announced.name].value = announced;
        changes.added.push_back(announced.name);
        return changes;
    }
    entry& known = found->second;
    if (announced.at <= known.value.at || announced.at < known.missing_since)
        return changes;
    known.remove_at = time_point::max();
    if (announced.started_at != known.value.started_at || announced.address != known.value.address)
        changes.restarted.push_back(announced.name);
    if (announced.leaving && !known.value.leaving)
        changes.leaving.push_back(announced.name);
    else if (!announced.leaving && known.value.leaving)
        changes.added.push_back(announced.name);
    known.value = announced;
    return changes;
}

directory_changes upstream_directory::remove(const upstream_name& name, revision at, time_point now)
{
    directory_changes changes;
    this->newest = std::max(this->newest, at);
    const auto found = this->entries.find(name);
    if (found == this->entries.end() || at <= found->second.value.at)
        return changes;
    this->mark_missing(found->second, at, now, changes);
    if (!changes.removed.empty())
        this->entries.erase(found);
    return changes;
}

static void append_names(std::vector<upstream_name>& target, const std::vector<upstream_name>& from)
{
    target.insert(target.end(), from.begin(), from.end());
}

void directory_changes::append(const directory_changes& more)
{
    append_names(this->added, more.added);
    append_names(this->leaving, more.leaving);
    append_names(this->removed, more.removed);
    append_names(this->restarted, more.restarted);
}

directory_changes upstream_directory::replace(std::span<const announced_upstream> all, revision at,
                                              time_point now)
{
    directory_changes changes;
    if (at < this->newest)
        return changes;
    std::set<upstream_name> present;
    for (const announced_upstream& announced : all) {
        present.insert(announced.name);
        changes.append(this->put(announced));
    }
    std::vector<upstream_name> missing;
    for (const auto& [name, each] : this->entries) {
        if (!present.contains(name))
            missing.push_back(name);
    }
    for (const upstream_name& name : missing)
        changes.append(this->remove(name, at, now));
    return changes;
}

directory_changes upstream_directory::tick(time_point now)
{
    directory_changes changes;
    for (auto at = this->entries.begin(); at != this->entries.end();) {
        if (at->second.remove_at > now) {
            ++at;
            continue;
        }
        changes.removed.push_back(at->first);
        at = this->entries.erase(at);
    }
    return changes;
}

const announced_upstream* upstream_directory::find(const upstream_name& name) const
{
    const auto found = this->entries.find(name);
    return found == this->entries.end() ? nullptr : &found->second.value;
}

std::vector<announced_upstream> upstream_directory::all() const
{
    std::vector<announced_upstream> values;
    values.reserve(this->entries.size());
    for (const auto& [name, each] : this->entries)
        values.push_back(each.value);
    return values;
}

} // namespace ragwortcove::core
