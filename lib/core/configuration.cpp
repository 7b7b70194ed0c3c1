#include "ragwortcove/core/configuration.hpp"

#include <algorithm>

namespace ragwortcove::core {

/// Deltas kept for peers; a peer further behind gets a snapshot.
static constexpr std::size_t most_backlog_deltas = 256;

static bool same_store(const store_id& ours, const store_id& theirs)
{
    return ours.empty() || ours == theirs;
}

// Revisions only go up. A snapshot of another store is refused as well: a store that was made anew
// counts from the start, and taking it would put old configuration back in force.
bool configuration::apply(const feed_snapshot& snapshot)
{
    if (!same_store(this->store_name, snapshot.store))
        return false;
    // The first snapshot may be of a store that holds nothing yet, at revision zero.
    if (!this->empty() && snapshot.at <= this->current)
        return false;
    this->store_name = snapshot.store;
    this->current = snapshot.at;
    this->by_key.clear();
    for (const object& value : snapshot.objects)
        this->by_key.insert_or_assign(value.key, value);
    this->backlog.clear();
    return true;
}

bool configuration::covers_gap(const feed_delta& delta) const
{
    return !this->empty() && delta.store == this->store_name && delta.after <= this->current;
}

bool configuration::apply(const feed_delta& delta)
{
    if (!this->covers_gap(delta) || delta.upto <= this->current)
        return false;
    // A delta may overlap what is in force; only what is newer than the object in force is taken.
    for (const object& value : delta.changed) {
        const auto found = this->by_key.find(value.key);
        if (found != this->by_key.end() && found->second.written_at >= value.written_at)
            continue;
        if (found == this->by_key.end() && value.written_at <= this->current)
            continue;
        this->by_key.insert_or_assign(value.key, value);
    }
    for (const feed_delta::removal& removed : delta.removed) {
        const auto found = this->by_key.find(removed.key);
        if (found != this->by_key.end() && found->second.written_at < removed.at)
            this->by_key.erase(found);
    }
    this->remember(delta);
    this->current = delta.upto;
    return true;
}

void configuration::remember(const feed_delta& delta)
{
    this->backlog.push_back(delta);
    if (this->backlog.size() > most_backlog_deltas)
        this->backlog.pop_front();
}

std::optional<feed_delta> configuration::changes_after(revision after) const
{
    if (after == this->current)
        return feed_delta{this->store_name, after, after, {}, {}};
    const auto first = std::find_if(this->backlog.begin(), this->backlog.end(),
                                    [&](const feed_delta& delta) { return delta.upto > after; });
    if (first == this->backlog.end() || first->after > after)
        return std::nullopt;
    feed_delta joined{this->store_name, after, this->current, {}, {}};
    for (auto delta = first; delta != this->backlog.end(); ++delta) {
        joined.changed.insert(joined.changed.end(), delta->changed.begin(), delta->changed.end());
        joined.removed.insert(joined.removed.end(), delta->removed.begin(), delta->removed.end());
    }
    return joined;
}

feed_snapshot configuration::snapshot() const
{
    feed_snapshot whole{this->store_name, this->current, {}};
    whole.objects.reserve(this->by_key.size());
    for (const auto& [key, value] : this->by_key)
        whole.objects.push_back(value);
    return whole;
}

bool configuration::has_teams() const
{
    const auto first = this->by_key.lower_bound(object_key{object_kind::team, {}});
    return first != this->by_key.end() && first->first.kind == object_kind::team;
}

} // namespace ragwortcove::core
