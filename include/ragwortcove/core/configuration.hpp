/// \file
/// The configuration in force on a node: the objects of one store at one revision, by key.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <variant>

namespace ragwortcove::core {

/// Objects in force, and a bounded backlog of recent changes for peers at a slightly older
/// revision.
class configuration {
public:
    /// Replaces the configuration by a snapshot that is newer; returns whether anything changed.
    bool apply(const feed_snapshot& snapshot);
    /// Applies changes that start at or before the revision in force; returns whether anything
    /// changed.
    bool apply(const feed_delta& delta);
    /// Whether the delta starts at or before the revision in force, so that no change is missed.
    [[nodiscard]] bool can_apply(const feed_delta& delta) const;

    [[nodiscard]] const store_id& store() const { return this->store_name; }
    [[nodiscard]] revision at() const { return this->current; }
    [[nodiscard]] bool empty() const { return this->store_name.empty(); }
    [[nodiscard]] const std::map<object_key, object>& objects() const { return this->by_key; }

    /// Changes after a revision, or nothing when the backlog no longer covers it.
    [[nodiscard]] std::optional<feed_delta> changes_after(revision after) const;
    /// The last delta that was applied; null when a snapshot was applied after it or there is none.
    [[nodiscard]] const feed_delta* last_change() const;
    [[nodiscard]] feed_snapshot snapshot() const;

    /// The object's specification, or null.
    template <class Spec>
    [[nodiscard]] const Spec* find(object_kind kind, const std::string& name) const
    {
        const auto found = this->by_key.find(object_key{kind, name});
        return found == this->by_key.end() ? nullptr : std::get_if<Spec>(&found->second.spec);
    }
    [[nodiscard]] const route_spec* find_route(const route_name& name) const
    {
        return this->find<route_spec>(object_kind::route, name.value);
    }
    [[nodiscard]] const tier_spec* find_tier(const tier_name& name) const
    {
        return this->find<tier_spec>(object_kind::tier, name.value);
    }
    [[nodiscard]] const team_spec* find_team(const team_name& name) const
    {
        return this->find<team_spec>(object_kind::team, name.value);
    }
    [[nodiscard]] const upstream_spec* find_upstream(const upstream_name& name) const
    {
        return this->find<upstream_spec>(object_kind::upstream, name.value);
    }
    [[nodiscard]] bool has_teams() const;

private:
    void add_to_backlog(feed_delta&& delta);

    store_id store_name;
    revision current;
    std::map<object_key, object> by_key;
    std::deque<feed_delta> backlog;
};

} // namespace ragwortcove::core
