#include "ragwortcove/core/upstream_directory.hpp"

#include <algorithm>
#include <set>
#include <string_view>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// How long a leave notice is kept without an announcement, which may come back.
static constexpr duration leave_notice_lifetime = 1h;

/// An announcement that reaches a node later than the one before seems to move the end of a warm-up
/// by the difference.
static constexpr duration announcement_jitter = 500ms;

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

void upstream_directory::mark_missing(entry& missing_entry, store_position at, time_point now,
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
        announced_upstream& added = this->entries[announced.name].value;
        added = announced;
        added.leaving = added.leaving || this->has_said_leaving(announced);
        changes.added.push_back(announced.name);
        return changes;
    }
    entry& known = found->second;
    if (announced.at <= known.value.at || announced.at < known.missing_since)
        return changes;
    known.remove_at = time_point::max();
    if (announced.started_at != known.value.started_at || announced.address != known.value.address)
        changes.restarted.push_back(announced.name);
    if (announced.warm_at > known.value.warm_at + announcement_jitter)
        changes.warming.push_back(announced.name);
    const bool leaving = announced.leaving || this->has_said_leaving(announced);
    if (leaving && !known.value.leaving)
        changes.leaving.push_back(announced.name);
    else if (!leaving && known.value.leaving)
        changes.added.push_back(announced.name);
    known.value = announced;
    known.value.leaving = leaving;
    return changes;
}

bool upstream_directory::has_said_leaving(const announced_upstream& announced)
{
    const auto found = this->leave_notices.find(announced.name);
    if (found == this->leave_notices.end())
        return false;
    leave_notice& notice = found->second;
    const bool is_same_process = notice.started_at == announced.started_at &&
                                 notice.address.value_or(announced.address) == announced.address;
    if (!is_same_process) {
        this->leave_notices.erase(found);
        return false;
    }
    notice.address = announced.address;
    notice.forget_at = time_point::max();
    return true;
}

void upstream_directory::keep_notice(const upstream_process& process, time_point now)
{
    const auto known = this->leave_notices.find(process.name);
    const bool is_late =
        known != this->leave_notices.end() && process.started_at <= known->second.started_at;
    if (is_late)
        return;
    this->leave_notices[process.name] = {process.started_at, std::nullopt,
                                         now + leave_notice_lifetime};
}

directory_changes upstream_directory::mark_leaving(const upstream_process& process, time_point now)
{
    directory_changes changes;
    const auto found = this->entries.find(process.name);
    if (found == this->entries.end()) {
        this->keep_notice(process, now);
        return changes;
    }
    if (found->second.value.started_at != process.started_at)
        return changes;
    announced_upstream& known = found->second.value;
    this->leave_notices[process.name] = {process.started_at, known.address};
    if (!known.leaving)
        changes.leaving.push_back(process.name);
    known.leaving = true;
    return changes;
}

void upstream_directory::on_removed(const upstream_name& name, time_point now)
{
    const auto found = this->leave_notices.find(name);
    if (found != this->leave_notices.end())
        found->second.forget_at = now + leave_notice_lifetime;
}

directory_changes upstream_directory::remove(const upstream_name& name, store_position at,
                                             time_point now)
{
    directory_changes changes;
    this->newest = std::max(this->newest, at);
    const auto found = this->entries.find(name);
    if (found == this->entries.end() || at <= found->second.value.at)
        return changes;
    this->mark_missing(found->second, at, now, changes);
    if (!changes.removed.empty()) {
        this->entries.erase(found);
        this->on_removed(name, now);
    }
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
    append_names(this->warming, more.warming);
}

directory_changes upstream_directory::replace(std::span<const announced_upstream> all,
                                              store_position at, time_point now)
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
        this->on_removed(at->first, now);
        at = this->entries.erase(at);
    }
    std::erase_if(this->leave_notices,
                  [now](const auto& each) { return each.second.forget_at <= now; });
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
