/// \file
/// Upstreams that have announced themselves, and the grace period before a missing one is removed.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// Announcement of an upstream. Upstreams have a new name at nearly every start.
struct announced_upstream {
    upstream_name name;
    target_name target;
    endpoint address;
    failure_domain_name failure_domain;
    version_name version;
    std::uint32_t slots = 1;
    /// Accepts no new requests.
    bool leaving = false;
    /// Start time in Unix milliseconds by the upstream's own clock; distinguishes two processes
    /// with the same name.
    std::int64_t started_at = 0;
    /// Until when the upstream is warming up, as it announces; zero when it isn't.
    time_point warm_at;
    /// Position of the announcement in the store's history.
    store_position at;
    /// Placement pool: the target, or its canaries during a roll-out. Empty stands for the target;
    /// an announcement does not state it.
    target_name pool;
    bool operator==(const announced_upstream&) const = default;
};

/// Time after the store's return within which running upstreams have renewed announcements that had
/// lapsed, or were missing from the copy that it came back from.
inline constexpr duration announcements_return_within = std::chrono::milliseconds{2200};

/// One process of an upstream.
struct upstream_process {
    upstream_name name;
    /// As in the process's announcement.
    std::int64_t started_at = 0;
    bool operator==(const upstream_process&) const = default;
};

/// Pool in which the requests for an upstream are placed.
[[nodiscard]] const target_name& pool_of(const announced_upstream& upstream);
/// Pool of the canaries of a target's roll-out.
[[nodiscard]] target_name canary_pool_of(const target_name& target);
/// Target whose upstreams or canaries a pool holds.
[[nodiscard]] target_name target_of_pool(const target_name& pool);

/// Effects of a change of the directory.
struct directory_changes {
    std::vector<upstream_name> added;
    std::vector<upstream_name> leaving;
    std::vector<upstream_name> removed;
    /// Restarted under the same name: state kept for the earlier process is invalid.
    std::vector<upstream_name> restarted;
    /// Warming up, for the first time or for longer than was known.
    std::vector<upstream_name> warming;
    [[nodiscard]] bool empty() const
    {
        return this->added.empty() && this->leaving.empty() && this->removed.empty() &&
               this->restarted.empty() && this->warming.empty();
    }
    void append(const directory_changes& more);
};

/// Current announcements. Leases of announcements lapse while the store is unavailable, so an
/// upstream that is missing from the store's list soon after an outage may still be running.
class upstream_directory {
public:
    /// Applies the complete list of announcements at a position. A list older than the newest known
    /// change has no effect, and neither has an announcement older than the known one.
    directory_changes replace(std::span<const announced_upstream> all, store_position at,
                              time_point now);
    /// Applies one announcement.
    directory_changes put(const announced_upstream& announced);
    /// Marks an upstream as leaving that has said so in a response, whatever it announces, also
    /// when its announcement is missing and comes back. The mark ends with the process.
    directory_changes mark_leaving(const upstream_process& process, time_point now);
    /// Removes an upstream, or starts its grace period.
    directory_changes remove(const upstream_name& name, store_position at, time_point now);
    /// Starts the removal grace period again, when the store became unavailable or available.
    void restart_removal_grace(time_point now);
    /// Extends the removal grace period to at least `until`, a time known from another node.
    void extend_removal_grace(time_point until);
    /// End of the removal grace period; until then, missing upstreams are not removed.
    [[nodiscard]] time_point removal_grace_until() const { return this->grace_until; }
    /// Removes the missing upstreams whose grace period has ended.
    directory_changes tick(time_point now);

    [[nodiscard]] const announced_upstream* find(const upstream_name& name) const;
    [[nodiscard]] std::vector<announced_upstream> all() const;
    /// Position of the newest known change.
    [[nodiscard]] store_position at() const { return this->newest; }

private:
    struct entry {
        announced_upstream value;
        /// When a missing upstream is removed; `time_point::max()` while it is present.
        time_point remove_at = time_point::max();
        store_position missing_since;
    };
    /// Process of an upstream that has said in a response that it leaves.
    struct leave_notice {
        std::int64_t started_at = 0;
        /// Unset until the process's announcement is known.
        std::optional<endpoint> address;
        /// When the notice is dropped, while the upstream has no announcement.
        time_point forget_at = time_point::max();
    };
    void mark_missing(entry& missing_entry, store_position at, time_point now,
                      directory_changes& changes);
    /// Whether the process that makes an announcement has said that it leaves. The notice of an
    /// earlier process of the same name is dropped.
    [[nodiscard]] bool has_said_leaving(const announced_upstream& announced);
    /// Records the notice of a process whose announcement is missing.
    void keep_notice(const upstream_process& process, time_point now);
    void on_removed(const upstream_name& name, time_point now);

    std::map<upstream_name, entry> entries;
    std::map<upstream_name, leave_notice> leave_notices;
    store_position newest;
    time_point grace_until;
};

} // namespace ragwortcove::core
