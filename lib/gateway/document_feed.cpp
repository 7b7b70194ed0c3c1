#include "ragwortcove/gateway/document_feed.hpp"

#include "ragwortcove/daemon/event_log.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;

/// Longest time that the store holds one watch open.
static constexpr std::chrono::milliseconds max_watch_wait{8000};
/// Minimum time from the start of one watch to the start of the next.
static constexpr core::duration min_watch_interval = 100ms;
/// Base of the delay after a failed call: exponential backoff with full jitter.
static constexpr core::duration retry_base_delay = 100ms;
static constexpr core::duration max_retry_delay = 1s;
/// Time to wait for a change that another node already has before fetching it, while the store is
/// unavailable to this node.
static constexpr core::duration fetch_delay_without_store = 1ms;
/// Minimum time between two fetches of a kind: while changes are frequent, one response brings
/// many.
static constexpr core::duration min_fetch_interval = 400ms;

static std::string_view kind_text(adapter::document_kind kind)
{
    switch (kind) {
    case adapter::document_kind::rules:
        return "rules";
    case adapter::document_kind::upstreams:
        return "upstreams";
    case adapter::document_kind::rollouts:
        return "rollouts";
    case adapter::document_kind::own_objects:
        return "objects";
    case adapter::document_kind::own_claims:
        return "claims";
    }
    return "unknown";
}

document_feed::document_feed(http::loop& loop, adapter::store_client& client, std::uint64_t seed,
                             document_feed_handlers&& given)
    : event_loop(loop), store(client), random(seed), handlers(std::move(given))
{
    for (std::size_t index = 0; index < this->kinds.size(); ++index) {
        this->kinds[index].kind = static_cast<adapter::document_kind>(index);
        this->list_store(this->kinds[index]);
    }
}

document_feed::~document_feed() = default;

document_feed::kind_state& document_feed::state_of(adapter::document_kind kind)
{
    return this->kinds[static_cast<std::size_t>(kind)];
}

const document_feed::kind_state& document_feed::state_of(adapter::document_kind kind) const
{
    return this->kinds[static_cast<std::size_t>(kind)];
}

void document_feed::list_store(kind_state& state)
{
    state.polling = true;
    this->store.list(state.kind, [this, &state](const adapter::document_list* all,
                                                const adapter::store_error& error) {
        if (all == nullptr) {
            this->on_store_call_failed(state, error);
            return;
        }
        this->note_store_available(state);
        state.store_revision = all->at;
        this->replace_documents(state, *all, true);
        this->continue_watching(state);
    });
}

// Readers are the nodes that watch the store and send its changes to the others. No other node
// opens a watch.
void document_feed::continue_watching(kind_state& state)
{
    state.polling = this->reading;
    if (!this->reading)
        return;
    const core::duration elapsed = this->event_loop.now() - state.watch_opened_at;
    if (elapsed >= min_watch_interval) {
        this->watch_store(state);
        return;
    }
    // After many changes in a row, for example when all upstreams start, a short pause collects
    // them in one response.
    this->event_loop.after(min_watch_interval - elapsed, [this, &state] {
        state.polling = this->reading;
        if (this->reading)
            this->watch_store(state);
    });
}

void document_feed::watch_store(kind_state& state)
{
    state.watch_opened_at = this->event_loop.now();
    state.watch_call = this->store.watch(state.kind, state.store_revision, max_watch_wait,
                                         [this, &state](const adapter::document_changes* changes,
                                                        const adapter::store_error& error) {
                                             state.watch_call = 0;
                                             if (changes == nullptr) {
                                                 this->on_store_call_failed(state, error);
                                                 return;
                                             }
                                             this->note_store_available(state);
                                             this->apply_and_announce(state, *changes);
                                             this->continue_watching(state);
                                         });
}

/// Applies changes that were read from the store and announces them to the other nodes.
void document_feed::apply_and_announce(kind_state& state, const adapter::document_changes& changes)
{
    state.store_revision = std::max(state.store_revision, changes.upto);
    const core::revision before = state.revision;
    if (this->apply_changes(state, changes))
        this->handlers.announce({state.kind, before, changes});
}

void document_feed::set_reading(bool reads)
{
    if (reads == this->reading)
        return;
    this->reading = reads;
    const auto revision_text = [this](adapter::document_kind kind) {
        return std::to_string(this->revision_of(kind).value);
    };
    daemon::write_log(daemon::log_event::reading_changed,
                      {{"reads", reads ? "true" : "false"},
                       {"rules_revision", revision_text(adapter::document_kind::rules)},
                       {"upstreams_revision", revision_text(adapter::document_kind::upstreams)},
                       {"rollouts_revision", revision_text(adapter::document_kind::rollouts)}});
    for (kind_state& each : this->kinds) {
        if (reads && !each.polling)
            this->list_store(each);
        if (!reads && each.watch_call != 0) {
            this->store.cancel(std::exchange(each.watch_call, 0));
            each.polling = false;
        }
    }
}

void document_feed::audit()
{
    for (kind_state& each : this->kinds) {
        const bool is_up_to_date = each.loaded && !each.catching_up;
        if (!is_up_to_date)
            continue;
        this->store.watch(each.kind, std::max(each.store_revision, each.revision), 0ms,
                          [this, &each](const adapter::document_changes* changes,
                                        const adapter::store_error& error) {
                              if (changes != nullptr) {
                                  this->note_store_available(each);
                                  this->apply_and_announce(each, *changes);
                                  return;
                              }
                              this->note_store_failure(each, error);
                              const bool history_expired =
                                  error.failure == adapter::store_failure::history_expired;
                              if (history_expired && !each.polling)
                                  this->list_store(each);
                          });
    }
}

/// Records and logs that a call to the store has failed.
void document_feed::note_store_failure(kind_state& state, const adapter::store_error& error)
{
    if (error.failure == adapter::store_failure::history_expired)
        return;
    if (state.store_available) {
        state.store_available = false;
        daemon::write_log(daemon::log_event::platform_lost,
                          {{"documents", kind_text(state.kind)},
                           {"status", std::to_string(error.status)},
                           {"revision", std::to_string(state.revision.value)}});
    }
    this->handlers.store_availability_changed(false);
}

// After a failed call the documents are listed again, which also returns the changes that a failed
// watch missed.
void document_feed::on_store_call_failed(kind_state& state, const adapter::store_error& error)
{
    if (error.failure == adapter::store_failure::history_expired) {
        this->list_store(state);
        return;
    }
    this->note_store_failure(state, error);
    const core::duration delay =
        10ms + core::full_jitter(this->random, retry_base_delay, state.failures, max_retry_delay);
    state.failures = std::min(state.failures + 1, 6U);
    this->event_loop.after(delay, [this, &state] {
        state.polling = this->reading || !state.loaded;
        if (state.polling)
            this->list_store(state);
    });
}

void document_feed::note_store_available(kind_state& state)
{
    state.failures = 0;
    if (state.store_available)
        return;
    state.store_available = true;
    daemon::write_log(
        daemon::log_event::platform_regained,
        {{"documents", kind_text(state.kind)}, {"revision", std::to_string(state.revision.value)}});
    this->handlers.store_availability_changed(true);
}

/// Changes that lead from one set of documents to another.
static adapter::document_changes
difference(const std::map<std::string, adapter::store_document>& before,
           const std::map<std::string, adapter::store_document>& after, core::revision revision)
{
    adapter::document_changes result;
    result.upto = revision;
    for (const auto& [name, document] : before) {
        if (after.contains(name))
            continue;
        result.changes.push_back({document, true});
        result.changes.back().document.at = revision;
    }
    for (const auto& [name, document] : after) {
        const auto known = before.find(name);
        if (known == before.end() || known->second.at < document.at)
            result.changes.push_back({document, false});
    }
    return result;
}

void document_feed::replace_documents(kind_state& state, const adapter::document_list& all,
                                      bool from_store)
{
    const bool is_older = all.at < state.revision;
    if (state.loaded && is_older)
        return;
    document_update update;
    update.kind = state.kind;
    update.is_full_list = true;
    std::map<std::string, adapter::store_document> next;
    core::revision newest = state.revision;
    for (const adapter::store_document& document : all.documents) {
        newest = std::max(newest, document.at);
        const auto known = state.documents.find(document.name);
        const bool keep_known = known != state.documents.end() && known->second.at > document.at;
        next.emplace(document.name, keep_known ? known->second : document);
    }
    const bool same =
        state.loaded && next.size() == state.documents.size() &&
        std::equal(next.begin(), next.end(), state.documents.begin(),
                   [](const auto& left, const auto& right) {
                       return left.first == right.first && left.second.at == right.second.at;
                   });
    const core::revision before = state.revision;
    const bool was_loaded = state.loaded;
    document_delta delta{state.kind, before, difference(state.documents, next, all.at)};
    state.documents = std::move(next);
    // A removed document is not in the list, so the list's own revision serves as the revision of
    // the removal.
    const bool has_removals =
        std::any_of(delta.changes.changes.begin(), delta.changes.changes.end(),
                    [](const auto& each) { return each.removed; });
    state.revision = has_removals ? std::max(newest, all.at) : newest;
    delta.changes.upto = state.revision;
    state.loaded = true;
    if (same)
        return;
    for (const auto& [name, document] : state.documents)
        update.documents.push_back(document);
    update.revision = std::max(state.revision, all.at);
    this->handlers.updated(update);
    // The first list is not announced: every node lists the store when it starts, so the others
    // have their own.
    if (from_store && was_loaded)
        this->handlers.announce(delta);
}

bool document_feed::apply_changes(kind_state& state, const adapter::document_changes& changes)
{
    document_update update;
    update.kind = state.kind;
    for (const adapter::document_change& change : changes.changes) {
        const auto known = state.documents.find(change.document.name);
        if (change.removed) {
            const bool is_newer =
                known != state.documents.end() && known->second.at <= change.document.at;
            if (!is_newer)
                continue;
            state.documents.erase(known);
            update.removed.push_back(change.document.name);
            state.revision = std::max(state.revision, changes.upto);
            continue;
        }
        if (known != state.documents.end() && known->second.at >= change.document.at)
            continue;
        state.documents.insert_or_assign(change.document.name, change.document);
        update.documents.push_back(change.document);
        std::erase(update.removed, change.document.name);
        state.revision = std::max(state.revision, change.document.at);
    }
    if (update.documents.empty() && update.removed.empty())
        return false;
    update.revision = state.revision;
    this->handlers.updated(update);
    return true;
}

void document_feed::on_peer_revision(adapter::document_kind kind, core::revision revision,
                                     const http::socket_address& peer)
{
    kind_state& state = this->state_of(kind);
    if (revision <= state.revision || state.catching_up || state.fetch_scheduled)
        return;
    state.fetch_scheduled = true;
    const core::duration min_delay =
        state.store_available && state.loaded ? this->arrival_time : fetch_delay_without_store;
    const core::duration delay =
        std::max(min_delay, state.last_fetch_at + min_fetch_interval - this->event_loop.now());
    this->event_loop.after(delay, [this, &state, revision, peer] {
        state.fetch_scheduled = false;
        if (!state.catching_up)
            this->catch_up(state, revision, peer);
    });
}

void document_feed::on_peer_offer(adapter::document_kind kind, core::revision revision,
                                  const http::socket_address& peer)
{
    kind_state& state = this->state_of(kind);
    if (revision <= state.revision || state.catching_up || !state.loaded)
        return;
    state.catching_up = true;
    const core::duration delay =
        std::max(fetch_delay_without_store,
                 state.last_fetch_at + min_fetch_interval - this->event_loop.now());
    this->event_loop.after(delay, [this, &state, revision, peer] {
        if (revision <= state.revision) {
            state.catching_up = false;
            return;
        }
        state.last_fetch_at = this->event_loop.now();
        this->fetch_from_peer(state, peer);
    });
}

void document_feed::on_peer_delta(const document_delta& delta, const http::socket_address& peer)
{
    kind_state& state = this->state_of(delta.kind);
    if (!state.loaded || delta.changes.upto <= state.revision)
        return;
    // The delta starts after this node's revision, so applying it would skip the changes in
    // between.
    if (delta.base_revision > state.revision) {
        this->on_peer_revision(delta.kind, delta.changes.upto, peer);
        return;
    }
    this->apply_changes(state, delta.changes);
    state.revision = std::max(state.revision, delta.changes.upto);
    state.store_revision = std::max(state.store_revision, state.revision);
}

// If the open watch has still not returned a change that another node already has, it is treated as
// unresponsive and replaced by a new one.
void document_feed::catch_up(kind_state& state, core::revision revision,
                             const http::socket_address& peer)
{
    if (revision <= state.revision)
        return;
    state.catching_up = true;
    state.last_fetch_at = this->event_loop.now();
    if (state.watch_call != 0) {
        this->store.cancel(std::exchange(state.watch_call, 0));
        state.polling = false;
    }
    if (state.store_available)
        this->fetch_from_store(state, revision, peer);
    else
        this->fetch_from_peer(state, peer);
}

void document_feed::finish_catch_up(kind_state& state)
{
    state.catching_up = false;
    if (!this->reading || state.polling)
        return;
    if (state.store_available)
        this->continue_watching(state);
    else
        this->list_store(state);
}

void document_feed::fetch_from_store(kind_state& state, core::revision revision,
                                     const http::socket_address& peer)
{
    this->store.list(state.kind, [this, &state, revision, peer](const adapter::document_list* all,
                                                                const adapter::store_error& error) {
        if (all == nullptr) {
            this->note_store_failure(state, error);
            this->fetch_from_peer(state, peer);
            return;
        }
        this->note_store_available(state);
        state.store_revision = std::max(state.store_revision, all->at);
        this->replace_documents(state, *all, false);
        if (revision > state.revision)
            this->fetch_from_peer(state, peer);
        else
            this->finish_catch_up(state);
    });
}

void document_feed::fetch_from_peer(kind_state& state, const http::socket_address& peer)
{
    this->store.list_from_peer(
        peer, state.kind,
        [this, &state, peer](const adapter::document_list* all, const adapter::store_error&) {
            this->finish_catch_up(state);
            if (all == nullptr) {
                daemon::write_log(daemon::log_event::peer_documents_failed,
                                  {{"documents", kind_text(state.kind)}, {"peer", peer.address}});
                return;
            }
            const core::revision before = state.revision;
            this->replace_documents(state, *all, false);
            daemon::write_log(daemon::log_event::peer_documents_read,
                              {{"documents", kind_text(state.kind)},
                               {"peer", peer.address},
                               {"before", std::to_string(before.value)},
                               {"revision", std::to_string(state.revision.value)}});
        });
}

adapter::document_list document_feed::all_documents(adapter::document_kind kind) const
{
    const kind_state& state = this->state_of(kind);
    adapter::document_list result;
    result.at = state.revision;
    for (const auto& [name, document] : state.documents)
        result.documents.push_back(document);
    return result;
}

core::revision document_feed::revision_of(adapter::document_kind kind) const
{
    return this->state_of(kind).revision;
}

bool document_feed::is_complete() const
{
    return std::all_of(this->kinds.begin(), this->kinds.end(),
                       [](const kind_state& each) { return each.loaded; });
}

bool document_feed::is_healthy_reader() const
{
    return this->reading && this->is_complete() && this->is_store_available();
}

bool document_feed::is_store_available() const
{
    return std::all_of(this->kinds.begin(), this->kinds.end(),
                       [](const kind_state& each) { return each.store_available; });
}

} // namespace ragwortcove::gateway
