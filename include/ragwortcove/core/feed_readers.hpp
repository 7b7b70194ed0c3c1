/// \file
/// Decides which nodes read documents from the platform's store: a few assigned ones, and any node
/// that knows of too few active readers.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// The store's call rate is limited, so three nodes watch it and send the changes to the others.
/// There is no consensus on who reads: a node that receives reports from too few readers, since
/// they have ended or the network is partitioned, reads the store itself.
class feed_readers {
public:
    explicit feed_readers(const node_name& self);

    /// Records a report of another node that it is a reader and that the store responds to it. If
    /// the store failed for that node lately, entries absent from its list may reappear until
    /// `removal_grace_until`.
    void record_reader(const node_name& reader, time_point removal_grace_until, time_point now);
    /// Until when entries that are absent from the readers' lists may reappear. There is no grace
    /// period while one reader has had no disturbance: the store was then available, and refused
    /// only the other readers.
    [[nodiscard]] time_point removal_grace_until(time_point now) const;
    /// Whether this node should read now; `present` names the nodes that serve or are about to.
    [[nodiscard]] bool should_read(std::span<const std::string> present, time_point now);
    /// Nodes that this one passes a change on to that is too large for a datagram: the assigned
    /// readers are the roots of trees that hold each serving node once.
    [[nodiscard]] std::vector<node_name> receivers(std::span<const std::string> present) const;
    /// Assigned readers but this node, each the root of a tree: a node that finds a change itself
    /// tells them, whose trees hold all others.
    [[nodiscard]] std::vector<node_name> roots(std::span<const std::string> present) const;
    /// Whether this node should now read once, to check that the readers have missed no change.
    [[nodiscard]] bool audit_due(std::size_t serving, random_engine& random, time_point now);

private:
    node_name self;
    struct reader_state {
        time_point last_seen_at;
        time_point removal_grace_until;
    };
    std::map<node_name, reader_state> recent_readers;
    /// Since when reports have come from too few readers.
    time_point too_few_since = time_point::max();
    /// When this node last became a substitute reader.
    time_point substitute_since;
    bool has_seen_reader = false;
    bool reading = false;
    time_point next_audit_at;
};

} // namespace ragwortcove::core
