/// \file
/// Upstreams that have announced themselves, and how sure it is that a missing one is gone.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// One upstream as it announces itself. Its name is new at nearly every start.
struct announced_upstream {
    upstream_name name;
    target_name target;
    endpoint address;
    failure_domain_name failure_domain;
    version_name version;
    std::uint32_t slots = 1;
    /// Takes no new work.
    bool leaving = false;
    /// When it started, in Unix milliseconds by its own clock; tells two runs under one name apart.
    std::int64_t started_at = 0;
    /// Revision of the announcement.
    revision at;
    bool operator==(const announced_upstream&) const = default;
};

/// What a change of the directory did.
struct directory_changes {
    std::vector<upstream_name> added;
    std::vector<upstream_name> leaving;
    std::vector<upstream_name> removed;
    /// Same name, but started anew: what was known of it is void.
    std::vector<upstream_name> restarted;
    [[nodiscard]] bool empty() const
    {
        return this->added.empty() && this->leaving.empty() && this->removed.empty() &&
               this->restarted.empty();
    }
    void append(const directory_changes& more);
};

/// Announcements in force. Leases of announcements lapse while the store is away, so an upstream
/// that is missing soon after the store's return may still be there.
class upstream_directory {
public:
    /// Everything announced at a revision; older lists and older announcements change nothing.
    directory_changes replace(std::span<const announced_upstream> all, revision at, time_point now);
    directory_changes put(const announced_upstream& one);
    directory_changes remove(const upstream_name& name, revision at, time_point now);
    /// The store failed to answer, or has answered again: absence is believed only later.
    void store_disturbed(time_point now);
    /// The same, learned from others: absence is not believed before that time.
    void doubt_until(time_point until);
    /// Until when absence is not believed.
    [[nodiscard]] time_point doubted_until() const { return this->doubtful_until; }
    /// Removes what has been missing long enough.
    directory_changes tick(time_point now);

    [[nodiscard]] const announced_upstream* find(const upstream_name& name) const;
    [[nodiscard]] std::vector<announced_upstream> all() const;
    /// Revision of the newest change that is in force.
    [[nodiscard]] revision at() const { return this->newest; }

private:
    struct entry {
        announced_upstream value;
        /// When a missing upstream counts as gone.
        time_point gone_at = time_point::max();
        revision missing_since;
    };
    void miss(entry& of, revision at, time_point now, directory_changes& changes);

    std::map<upstream_name, entry> entries;
    revision newest;
    time_point doubtful_until;
};

} // namespace ragwortcove::core
