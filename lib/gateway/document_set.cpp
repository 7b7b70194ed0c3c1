#include "ragwortcove/gateway/document_set.hpp"

#include "ragwortcove/core/upstream_directory.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;

/// How long a removal is remembered: much longer than the age of a copy that a store comes back
/// from.
static constexpr core::duration removal_lifetime = 2min;
/// Time after the beginning of an era within which what the store has lost is written again.
static constexpr core::duration settle_time = core::announcements_return_within;

std::string_view to_text(adapter::document_kind kind)
{
    switch (kind) {
    case adapter::document_kind::rules:
        return "rules";
    case adapter::document_kind::upstreams:
        return "upstreams";
    case adapter::document_kind::rollouts:
        return "rollouts";
    case adapter::document_kind::held_parts:
        return "held_parts";
    case adapter::document_kind::domain_drains:
        return "domain_drains";
    case adapter::document_kind::own_objects:
        return "objects";
    case adapter::document_kind::own_claims:
        return "claims";
    case adapter::document_kind::own_nodes:
        return "nodes";
    }
    return "unknown";
}

/// Changes that lead from one set of documents to another.
static adapter::document_changes
difference(const std::map<std::string, adapter::store_document>& before,
           const std::map<std::string, adapter::store_document>& after,
           core::store_position position)
{
    adapter::document_changes result;
    result.upto = position.revision;
    result.era = position.era;
    for (const auto& [name, document] : before) {
        if (after.contains(name))
            continue;
        result.changes.push_back({document, true});
        result.changes.back().document.at = position.revision;
        result.changes.back().document.era = position.era;
    }
    for (const auto& [name, document] : after) {
        const auto known = before.find(name);
        if (known == before.end() || known->second.position() != document.position())
            result.changes.push_back({document, false});
    }
    return result;
}

static bool has_removals(const adapter::document_changes& changes)
{
    return std::any_of(changes.changes.begin(), changes.changes.end(),
                       [](const auto& each) { return each.removed; });
}

bool document_set::is_settling(core::time_point now) const
{
    return now < this->settled_at;
}

std::optional<core::time_point> document_set::settles_at() const
{
    return this->must_settle ? std::optional(this->settled_at) : std::nullopt;
}

void document_set::begin_era(core::time_point now)
{
    this->settled_at = now + settle_time;
    this->must_settle = this->kind == adapter::document_kind::rollouts ||
                        this->kind == adapter::document_kind::domain_drains;
}

// The rules stay until others come: without any, no request would be served. The announcement of
// an upstream goes, since the directory of upstreams has a grace period of its own. So does a held
// part's document, since the part's owner writes it again. An order to drain a domain stays until
// the operator has had time to write it again: a domain that is used too late loses less than one
// that is used too early.
bool document_set::keeps_missing(const adapter::store_document& known, core::store_era list_era,
                                 core::time_point now) const
{
    if (known.era >= list_era)
        return false;
    switch (this->kind) {
    case adapter::document_kind::rules:
        return true;
    case adapter::document_kind::rollouts:
    case adapter::document_kind::domain_drains:
        return this->is_settling(now);
    case adapter::document_kind::upstreams:
    case adapter::document_kind::held_parts:
    case adapter::document_kind::own_objects:
    case adapter::document_kind::own_claims:
    case adapter::document_kind::own_nodes:
        return false;
    }
    return false;
}

// The copy may hold a document that was removed since. It is not newer than its removal, unless its
// writer has written it anew.
static bool is_newer_than_removal(const core::document_order& candidate,
                                  const core::document_order& gone)
{
    const bool is_counted = candidate.sequence != core::writer_sequence{};
    const bool is_same = candidate.position.era != gone.position.era && is_counted &&
                         candidate.sequence == gone.sequence;
    return !is_same && core::is_newer(candidate, gone);
}

bool document_set::is_newer_than_known(const adapter::store_document& candidate) const
{
    const core::document_order order = adapter::order_of(this->kind, candidate);
    const auto known = this->documents.find(candidate.name);
    if (known != this->documents.end())
        return core::is_newer(order, adapter::order_of(this->kind, known->second));
    const auto gone = this->removed.find(candidate.name);
    return gone == this->removed.end() || is_newer_than_removal(order, gone->second.order);
}

// Writers of roll-outs do not count them: one that is not above the known revision may be the
// copy's.
bool document_set::accepts(const adapter::store_document& listed, core::time_point now) const
{
    const auto known = this->documents.find(listed.name);
    const bool is_uncounted = this->kind == adapter::document_kind::rollouts;
    const bool may_be_older = is_uncounted && known != this->documents.end() &&
                              this->is_settling(now) && listed.era > known->second.era &&
                              listed.at <= known->second.at;
    return !may_be_older && this->is_newer_than_known(listed);
}

document_set::documents_by_name document_set::merge(const adapter::document_list& all,
                                                    core::time_point now, list_result& result) const
{
    documents_by_name next;
    for (const adapter::store_document& listed : all.documents) {
        if (this->accepts(listed, now)) {
            next.emplace(listed.name, listed);
            continue;
        }
        const auto known = this->documents.find(listed.name);
        if (known == this->documents.end())
            continue;
        next.insert(*known);
        if (known->second.era < listed.era)
            result.kept.push_back(listed.name);
    }
    for (const auto& [name, known] : this->documents) {
        if (next.contains(name) || !this->keeps_missing(known, all.era, now))
            continue;
        next.emplace(name, known);
        result.kept.push_back(name);
    }
    return next;
}

// A list that is older than what is in force may still hold what the store had lost and this node
// has never known.
list_result document_set::apply_older_list(const adapter::document_list& all, core::time_point now)
{
    list_result result;
    adapter::document_changes kept_elsewhere;
    kept_elsewhere.upto = this->newest.revision;
    kept_elsewhere.era = this->newest.era;
    for (const adapter::store_document& listed : all.documents) {
        if (listed.era < all.era && this->documents.contains(listed.name))
            kept_elsewhere.changes.push_back({listed, false});
    }
    if (all.era == this->newest.era)
        result.update = this->apply_changes(kept_elsewhere, now);
    return result;
}

list_result document_set::apply_list(const adapter::document_list& all, core::time_point now)
{
    if (this->loaded && all.position() < this->newest)
        return this->apply_older_list(all, now);
    list_result result;
    result.begins_era = this->loaded && all.era > this->newest.era;
    if (result.begins_era)
        this->begin_era(now);
    else if (!this->is_settling(now))
        this->must_settle = false;
    documents_by_name next = this->merge(all, now, result);
    core::store_position newest_listed = this->newest;
    if (!this->loaded)
        newest_listed.era = all.era;
    for (const auto& [name, document] : next)
        newest_listed = std::max(newest_listed, document.position());
    result.changes = difference(this->documents, next, all.position());
    // A removed document is not in the list, so the list's own position serves for the removal.
    this->newest = has_removals(result.changes) || result.begins_era
                       ? std::max(newest_listed, all.position())
                       : newest_listed;
    result.changes.upto = this->newest.revision;
    result.changes.era = this->newest.era;
    const bool is_same = this->loaded && result.changes.changes.empty();
    this->documents = std::move(next);
    this->loaded = true;
    if (result.begins_era)
        this->remember_last(result.changes, now);
    else
        this->remember_removals(result.changes, now);
    if (is_same)
        return result;
    document_update& update = result.update.emplace();
    update.kind = this->kind;
    update.is_full_list = true;
    for (const auto& [name, document] : this->documents)
        update.documents.push_back(document);
    update.position = std::max(this->newest, all.position());
    return result;
}

void document_set::remember_removals(const adapter::document_changes& changes, core::time_point now)
{
    std::erase_if(this->removed, [now](const auto& each) { return each.second.forget_at <= now; });
    for (const adapter::document_change& change : changes.changes) {
        const std::string& name = change.document.name;
        if (change.removed)
            this->removed[name] = {adapter::order_of(this->kind, change.document),
                                   now + removal_lifetime};
        else
            this->removed.erase(name);
    }
}

void document_set::remember_last(const adapter::document_changes& changes, core::time_point now)
{
    for (const adapter::document_change& change : changes.changes) {
        core::document_order order = adapter::order_of(this->kind, change.document);
        // Only the writer's own count tells whether what comes is older.
        order.position = {};
        if (change.removed && order.sequence.is_last)
            this->removed[change.document.name] = {order, now + removal_lifetime};
    }
}

std::optional<document_update> document_set::apply_changes(const adapter::document_changes& changes,
                                                           core::time_point now)
{
    document_update update;
    update.kind = this->kind;
    adapter::document_changes applied;
    for (const adapter::document_change& change : changes.changes) {
        const auto known = this->documents.find(change.document.name);
        if (change.removed) {
            const bool is_newer = known != this->documents.end() &&
                                  known->second.position() <= change.document.position();
            if (!is_newer)
                continue;
            // What was removed tells its place among its writer's documents, its removal does not.
            applied.changes.push_back({known->second, true});
            applied.changes.back().document.at = change.document.at;
            applied.changes.back().document.era = change.document.era;
            this->documents.erase(known);
            update.removed.push_back(change.document.name);
            this->advance({changes.upto, change.document.era});
            continue;
        }
        if (!this->is_newer_than_known(change.document))
            continue;
        this->documents.insert_or_assign(change.document.name, change.document);
        applied.changes.push_back(change);
        update.documents.push_back(change.document);
        std::erase(update.removed, change.document.name);
        this->advance(change.document.position());
    }
    this->remember_removals(applied, now);
    if (update.documents.empty() && update.removed.empty())
        return std::nullopt;
    update.position = this->newest;
    return update;
}

void document_set::advance(core::store_position position)
{
    this->newest = std::max(this->newest, position);
}

adapter::document_list document_set::all() const
{
    adapter::document_list result;
    result.at = this->newest.revision;
    result.era = this->newest.era;
    for (const auto& [name, document] : this->documents)
        result.documents.push_back(document);
    return result;
}

} // namespace ragwortcove::gateway
