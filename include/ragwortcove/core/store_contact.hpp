/// \file
/// Tells a store that is away from single calls to it that fail.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <optional>

namespace ragwortcove::core {

/// What one node's calls show of the store. An outage lasts from the first call without an answer
/// to the next answer. Only one in which leases can lapse counts: announcements that are missing
/// soon after it may belong to upstreams that run. A watch that the store ends says nothing, since
/// the store may end watches that wait at any time; the call after it shows whether it is there.
class store_contact {
public:
    /// Shortest outage that counts. A lease lapses after several missed heartbeats.
    static constexpr duration min_outage = std::chrono::seconds{1};

    /// A call was answered. Returns whether this ends an outage that counts.
    [[nodiscard]] bool on_answer(time_point now);
    /// A call that the store should have answered at once was sent at `sent_at`, and has failed.
    /// Returns whether an outage that counts is under way.
    [[nodiscard]] bool on_no_answer(time_point sent_at, time_point now);

private:
    time_point answered_at;
    /// Since when the store has answered no call, if one has failed after the last answer.
    std::optional<time_point> silent_since;
};

} // namespace ragwortcove::core
