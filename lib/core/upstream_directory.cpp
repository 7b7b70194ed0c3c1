#include "ragwortcove/core/upstream_directory.hpp"

#include <algorithm>
#include <set>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time after the store's return within which lapsed announcements are back, if their upstream
/// lives.
static constexpr duration announcements_return_within = 2200ms;

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

void upstream_directory::mark_missing(entry& of, revision at, time_point now,
                                      directory_changes& changes)
{
    of.missing_since = at;
    // One that said it leaves is not waited for.
    if (of.value.leaving || now >= this->grace_until) {
        changes.removed.push_back(of.value.name);
        return;
    }
    of.remove_at = std::min(of.remove_at, this->grace_until);
}

directory_changes upstream_directory::put(const announced_upstream& one)
{
    directory_changes changes;
    const auto found = this->entries.find(one.name);
    this->newest = std::max(this->newest, one.at);
    if (found == this->entries.end()) {
        this->entries[one.name].value = one;
        changes.added.push_back(one.name);
        return changes;
    }
    entry& known = found->second;
    if (one.at <= known.value.at || one.at < known.missing_since)
        return changes;
    known.remove_at = time_point::max();
    if (one.started_at != known.value.started_at || one.address != known.value.address)
        changes.restarted.push_back(one.name);
    if (one.leaving && !known.value.leaving)
        changes.leaving.push_back(one.name);
    else if (!one.leaving && known.value.leaving)
        changes.added.push_back(one.name);
    known.value = one;
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

static void add_names(std::vector<upstream_name>& to, const std::vector<upstream_name>& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

void directory_changes::append(const directory_changes& more)
{
    add_names(this->added, more.added);
    add_names(this->leaving, more.leaving);
    add_names(this->removed, more.removed);
    add_names(this->restarted, more.restarted);
}

directory_changes upstream_directory::replace(std::span<const announced_upstream> all, revision at,
                                              time_point now)
{
    directory_changes changes;
    if (at < this->newest)
        return changes;
    std::set<upstream_name> present;
    for (const announced_upstream& one : all) {
        present.insert(one.name);
        changes.append(this->put(one));
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
    std::vector<announced_upstream> made;
    made.reserve(this->entries.size());
    for (const auto& [name, each] : this->entries)
        made.push_back(each.value);
    return made;
}

} // namespace ragwortcove::core
