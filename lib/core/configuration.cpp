#include "ragwortcove/core/configuration.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ragwortcove::core {

/// Maximum number of deltas kept for peers; a peer that needs older ones gets a snapshot.
static constexpr std::size_t max_backlog_deltas = 256;

static bool same_store(const store_id& own, const store_id& other)
{
    return own.empty() || own == other;
}

// Revisions only increase. A snapshot of another store is rejected as well: a store that was
// created again counts from the start, and its snapshot would put old configuration back in force.
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

bool configuration::can_apply(const feed_delta& delta) const
{
    return !this->empty() && delta.store == this->store_name && delta.after <= this->current;
}

// A delta may overlap the revision in force. Changes that are not newer are dropped here, so that
// the backlog holds every change once; otherwise deltas that are joined and passed on would grow
// without bound.
static feed_delta newer_part(const feed_delta& delta, revision base)
{
    feed_delta part{delta.store, base, delta.upto, {}, {}};
    std::copy_if(delta.changed.begin(), delta.changed.end(), std::back_inserter(part.changed),
                 [&](const object& value) { return value.written_at > base; });
    std::copy_if(delta.removed.begin(), delta.removed.end(), std::back_inserter(part.removed),
                 [&](const feed_delta::removal& removed) { return removed.at > base; });
    return part;
}

bool configuration::apply(const feed_delta& delta)
{
    if (!this->can_apply(delta) || delta.upto <= this->current)
        return false;
    feed_delta part = newer_part(delta, this->current);
    for (const object& value : part.changed) {
        const auto found = this->by_key.find(value.key);
        if (found != this->by_key.end() && found->second.written_at >= value.written_at)
            continue;
        this->by_key.insert_or_assign(value.key, value);
    }
    for (const feed_delta::removal& removed : part.removed) {
        const auto found = this->by_key.find(removed.key);
        if (found != this->by_key.end() && found->second.written_at < removed.at)
            this->by_key.erase(found);
    }
    this->current = part.upto;
    this->add_to_backlog(std::move(part));
    return true;
}

void configuration::add_to_backlog(feed_delta&& delta)
{
    this->backlog.push_back(std::move(delta));
    if (this->backlog.size() > max_backlog_deltas)
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

const feed_delta* configuration::last_change() const
{
    return this->backlog.empty() ? nullptr : &this->backlog.back();
}

feed_snapshot configuration::snapshot() const
{
    feed_snapshot result{this->store_name, this->current, {}};
    result.objects.reserve(this->by_key.size());
    for (const auto& [key, value] : this->by_key)
        result.objects.push_back(value);
    return result;
}

bool configuration::has_teams() const
{
    const auto first = this->by_key.lower_bound(object_key{object_kind::team, {}});
    return first != this->by_key.end() && first->first.kind == object_kind::team;
}

} // namespace ragwortcove::core
