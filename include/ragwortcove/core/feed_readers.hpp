/// \file
/// Which nodes read documents from the platform's store: a few, and whoever hears of too few.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/types.hpp"

#include <map>
#include <span>
#include <string>

namespace ragwortcove::core {

/// Calls to the store are counted and dear, so three nodes watch it and tell the others. Nothing is
/// agreed: a node that hears from too few readers, since they are gone or it is cut off from them,
/// reads by itself.
class feed_readers {
public:
    explicit feed_readers(const node_name& self);

    /// Another node tells that it reads and that the store answers it. Until `removal_grace_until`
    /// what it misses there may come back, since the store has failed it lately.
    void record_reader(const node_name& reader, time_point removal_grace_until, time_point now);
    /// Until when what readers miss may come back. While one of them has seen no disturbance, the
    /// others were only turned away themselves, and there is no doubt.
    [[nodiscard]] time_point removal_grace_until(time_point now) const;
    /// Whether this node should read now; `serving` names the nodes that serve.
    [[nodiscard]] bool should_read(std::span<const std::string> serving, time_point now);
    /// Whether this node is among the few, rather than one that steps in.
    [[nodiscard]] bool is_appointed() const { return this->appointed; }
    /// Whether it is time for this node to look once whether the readers miss something.
    [[nodiscard]] bool audit_due(std::size_t serving, random_engine& random, time_point now);

private:
    node_name self;
    struct reader_state {
        time_point last_seen_at;
        time_point removal_grace_until;
    };
    std::map<node_name, reader_state> recent_readers;
    /// Since when too few readers were heard.
    time_point lacking_since = time_point::max();
    time_point stepped_in;
    bool has_seen_reader = false;
    bool appointed = false;
    bool reading = false;
    time_point audit_at;
};

} // namespace ragwortcove::core
