#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/document_feed.hpp"

#include <algorithm>
#include <utility>

// What a document feed takes from other nodes: their positions, offers, changes and lists.

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using daemon::log_event;

/// Delay of a fetch that is not to wait for the change to arrive: the store is unavailable to this
/// node, or the other node has offered what it has.
static constexpr core::duration immediate_fetch_delay = 1ms;
/// Minimum time between two fetches of a kind: while changes are frequent, one response brings
/// many.
static constexpr core::duration min_fetch_interval = 400ms;

bool document_feed::is_behind(const kind_state& state, core::store_position position)
{
    return state.is_partial ? position >= state.documents.position()
                            : position > state.documents.position();
}

void document_feed::on_peer_position(adapter::document_kind kind, core::store_position position,
                                     const http::socket_address& peer)
{
    kind_state& state = this->state_of(kind);
    if (!is_behind(state, position) || state.catching_up || state.fetch_scheduled)
        return;
    state.fetch_scheduled = true;
    const bool may_arrive = state.store_available && state.documents.is_loaded();
    const core::duration min_delay = may_arrive ? this->arrival_time : immediate_fetch_delay;
    const core::duration delay =
        std::max(min_delay, state.last_fetch_at + min_fetch_interval - this->event_loop.now());
    this->event_loop.after(delay, [this, &state, position, peer] {
        state.fetch_scheduled = false;
        if (!state.catching_up)
            this->catch_up(state, position, peer);
    });
}

void document_feed::on_peer_offer(adapter::document_kind kind, core::store_position position,
                                  const http::socket_address& peer)
{
    kind_state& state = this->state_of(kind);
    if (is_behind(state, position))
        this->schedule_peer_read(state, peer, position);
}

void document_feed::read_kept(adapter::document_kind kind, const http::socket_address& peer)
{
    this->schedule_peer_read(this->state_of(kind), peer, std::nullopt);
}

void document_feed::schedule_peer_read(kind_state& state, const http::socket_address& peer,
                                       std::optional<core::store_position> sought)
{
    if (state.catching_up || !state.documents.is_loaded())
        return;
    state.catching_up = true;
    const core::duration delay = std::max(
        immediate_fetch_delay, state.last_fetch_at + min_fetch_interval - this->event_loop.now());
    this->event_loop.after(delay, [this, &state, peer, sought] {
        if (sought && !is_behind(state, *sought)) {
            state.catching_up = false;
            return;
        }
        state.last_fetch_at = this->event_loop.now();
        this->fetch_from_peer(state, peer, sought);
    });
}

void document_feed::on_peer_delta(const document_delta& delta, const http::socket_address& peer)
{
    kind_state& state = this->state_of(delta.kind);
    const core::store_position in_force = state.documents.position();
    adapter::document_changes changes = delta.changes;
    if (changes.era == core::store_era{})
        changes.era = in_force.era;
    if (!state.documents.is_loaded() || changes.position() <= in_force)
        return;
    // The delta starts after this node's revision, or in an era that this node has not read, so
    // applying it would skip the changes in between.
    const core::store_position base{delta.base_revision, changes.era};
    if (base > in_force || changes.era != in_force.era) {
        this->on_peer_position(delta.kind, changes.position(), peer);
        return;
    }
    for (adapter::document_change& change : changes.changes) {
        if (change.document.era == core::store_era{})
            change.document.era = changes.era;
    }
    const core::time_point now{this->event_loop.now()};
    if (const std::optional<document_update> update = state.documents.apply_changes(changes, now))
        this->handlers.updated(*update);
    state.documents.advance(changes.position());
    state.read_upto = std::max(state.read_upto, changes.position());
}

// If the open watch has still not returned a change that another node already has, it is treated as
// unresponsive and replaced by a new one.
void document_feed::catch_up(kind_state& state, core::store_position position,
                             const http::socket_address& peer)
{
    if (!is_behind(state, position))
        return;
    state.catching_up = true;
    state.last_fetch_at = this->event_loop.now();
    if (state.watch_call != 0) {
        this->store.cancel(std::exchange(state.watch_call, 0));
        state.polling = false;
    }
    if (state.store_available)
        this->fetch_from_store(state, position, peer);
    else
        this->fetch_from_peer(state, peer, position);
}

void document_feed::finish_catch_up(kind_state& state)
{
    state.catching_up = false;
    if (!this->watches(state) || state.polling)
        return;
    if (state.store_available)
        this->continue_watching(state);
    else
        this->list_store(state);
}

void document_feed::fetch_from_store(kind_state& state, core::store_position position,
                                     const std::optional<http::socket_address>& peer)
{
    this->store.list(
        state.kind, [this, &state, position, peer, sent_at = this->event_loop.now()](
                        const adapter::document_list* all, const adapter::store_error& error) {
            bool is_read = false;
            if (all == nullptr) {
                if (error.part == nullptr)
                    this->note_store_failure(state, error, sent_at);
            }
            else {
                this->note_store_available(state);
                const bool is_taken = this->take_store_list(state, *all, sent_at, false);
                state.is_partial = state.is_partial && !is_taken;
                is_read = is_taken && position <= state.documents.position();
            }
            if (!is_read && peer)
                this->fetch_from_peer(state, *peer, std::nullopt);
            else
                this->finish_catch_up(state);
        });
}

// A node may be too busy to serve its documents, or end. That the store did not respond to this
// node is known from its last call, which may have been long ago.
void document_feed::fetch_from_peer(kind_state& state, const http::socket_address& peer,
                                    std::optional<core::store_position> sought)
{
    this->store.list_from_peer(
        peer, state.kind,
        [this, &state, peer, sought](const adapter::document_list* all,
                                     const adapter::store_error&) {
            if (all == nullptr) {
                daemon::write_log(log_event::peer_documents_failed,
                                  {{"documents", to_text(state.kind)}, {"peer", peer.address}});
                if (sought)
                    this->fetch_from_store(state, *sought, std::nullopt);
                else
                    this->finish_catch_up(state);
                return;
            }
            this->finish_catch_up(state);
            const core::revision before = state.documents.position().revision;
            this->take_peer_list(state, *all);
            daemon::write_log(
                log_event::peer_documents_read,
                {{"documents", to_text(state.kind)},
                 {"peer", peer.address},
                 {"before", std::to_string(before.value)},
                 {"revision", std::to_string(state.documents.position().revision.value)}});
        });
}

void document_feed::take_peer_list(kind_state& state, const adapter::document_list& all)
{
    adapter::document_list taken = all;
    const core::store_era in_force = state.documents.position().era;
    if (taken.era == core::store_era{})
        taken.era = in_force;
    for (adapter::store_document& document : taken.documents) {
        if (document.era == core::store_era{})
            document.era = taken.era;
    }
    if (taken.position() >= state.documents.position())
        state.is_partial = false;
    const bool is_later = taken.era > in_force;
    if (is_later)
        state.era_since = this->event_loop.now();
    this->apply_list(state, std::move(taken), false);
    // An open watch follows a revision of the era before.
    if (is_later && state.watch_call != 0)
        this->restart_reading(state);
}

} // namespace ragwortcove::gateway
