#include "ragwortcove/gateway/document_feed.hpp"

#include "ragwortcove/daemon/event_log.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;

/// Longest time that one watch waits at the store.
static constexpr std::chrono::milliseconds watch_time{8000};
/// Time from the start of one watch to that of the next, at least.
static constexpr core::duration shortest_watch = 100ms;
/// Delay after a call that failed; doubled with each failure, with full jitter.
static constexpr core::duration retry_base = 100ms;
static constexpr core::duration retry_most = 1s;
/// How long what another node already has may take to come by itself.
static constexpr core::duration patience_before_asking = 100ms;
/// The same when the store does not answer this node.
static constexpr core::duration patience_without_store = 1ms;
/// Time between two questions for a kind, at least: in a storm of changes one answer brings many.
static constexpr core::duration least_between_questions = 400ms;

static std::string_view kind_text(adapter::document_kind kind)
{
    switch (kind) {
    case adapter::document_kind::rules:
        return "rules";
    case adapter::document_kind::upstreams:
        return "upstreams";
    case adapter::document_kind::own_objects:
        return "objects";
    case adapter::document_kind::own_claims:
        return "claims";
    }
    return "unknown";
}

document_feed::document_feed(http::loop& loop, adapter::store_client& through, std::uint64_t seed,
                             document_feed_handlers&& given)
    : on(loop), store(through), random(seed), handlers(std::move(given))
{
    this->kinds[0].kind = adapter::document_kind::rules;
    this->kinds[1].kind = adapter::document_kind::upstreams;
    for (kind_state& each : this->kinds)
        this->list(each);
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

void document_feed::list(kind_state& of)
{
    of.busy = true;
    this->store.list(
        of.kind, [this, &of](const adapter::document_list* all, const adapter::store_error& why) {
            if (all == nullptr) {
                this->failed(of, why);
                return;
            }
            this->answered(of);
            of.read_to = all->at;
            this->replace(of, *all, true);
            this->go_on(of);
        });
}

// A node that does not read leaves it at what it has.
void document_feed::go_on(kind_state& of)
{
    of.busy = this->reading;
    if (!this->reading)
        return;
    const core::duration passed = this->on.now() - of.watched_since;
    if (passed >= shortest_watch) {
        this->watch(of);
        return;
    }
    // When many changes come in a row, as when a whole fleet of upstreams starts, a short pause
    // brings them together in one answer.
    this->on.after(shortest_watch - passed, [this, &of] {
        of.busy = this->reading;
        if (this->reading)
            this->watch(of);
    });
}

void document_feed::watch(kind_state& of)
{
    of.watched_since = this->on.now();
    of.watch = this->store.watch(
        of.kind, of.read_to, watch_time,
        [this, &of](const adapter::document_changes* changes, const adapter::store_error& why) {
            of.watch = 0;
            if (changes == nullptr) {
                this->failed(of, why);
                return;
            }
            this->answered(of);
            this->take_changes(of, *changes);
            this->go_on(of);
        });
}

/// Applies what the store itself has told, and passes it on.
void document_feed::take_changes(kind_state& of, const adapter::document_changes& changes)
{
    of.read_to = std::max(of.read_to, changes.upto);
    const core::revision before = of.at;
    if (this->apply(of, changes))
        this->handlers.announce({of.kind, before, changes});
}

void document_feed::set_reading(bool reads)
{
    if (reads == this->reading)
        return;
    this->reading = reads;
    daemon::write_log(daemon::log_event::reading_changed,
                      {{"reads", reads ? "true" : "false"},
                       {"rules_revision", std::to_string(this->kinds[0].at.value)},
                       {"upstreams_revision", std::to_string(this->kinds[1].at.value)}});
    for (kind_state& each : this->kinds) {
        if (reads && !each.busy)
            this->list(each);
        if (!reads && each.watch != 0) {
            this->store.cancel(std::exchange(each.watch, 0));
            each.busy = false;
        }
    }
}

void document_feed::audit()
{
    for (kind_state& each : this->kinds) {
        const bool is_up_to_date = each.known && !each.catching_up;
        if (!is_up_to_date)
            continue;
        this->store.watch(each.kind, std::max(each.read_to, each.at), 0ms,
                          [this, &each](const adapter::document_changes* changes,
                                        const adapter::store_error& why) {
                              if (changes != nullptr) {
                                  this->answered(each);
                                  this->take_changes(each, *changes);
                                  return;
                              }
                              this->disturbed(each, why);
                              const bool gone =
                                  why.failure == adapter::store_failure::history_expired;
                              if (gone && !each.busy)
                                  this->list(each);
                          });
    }
}

/// Notes that the store has failed this node.
void document_feed::disturbed(kind_state& of, const adapter::store_error& why)
{
    if (why.failure == adapter::store_failure::history_expired)
        return;
    if (of.answers) {
        of.answers = false;
        daemon::write_log(daemon::log_event::platform_lost,
                          {{"documents", kind_text(of.kind)},
                           {"status", std::to_string(why.status)},
                           {"revision", std::to_string(of.at.value)}});
    }
    this->handlers.store_changed(false);
}

// Whatever a watch failed of, a list finds out what was missed.
void document_feed::failed(kind_state& of, const adapter::store_error& why)
{
    if (why.failure == adapter::store_failure::history_expired) {
        this->list(of);
        return;
    }
    this->disturbed(of, why);
    const core::duration delay =
        10ms + core::full_jitter(this->random, retry_base, of.failures, retry_most);
    of.failures = std::min(of.failures + 1, 6U);
    this->on.after(delay, [this, &of] {
        of.busy = this->reading || !of.known;
        if (of.busy)
            this->list(of);
    });
}

void document_feed::answered(kind_state& of)
{
    of.failures = 0;
    if (of.answers)
        return;
    of.answers = true;
    daemon::write_log(
        daemon::log_event::platform_regained,
        {{"documents", kind_text(of.kind)}, {"revision", std::to_string(of.at.value)}});
    this->handlers.store_changed(true);
}

/// Changes that lead from one set of documents to another.
static adapter::document_changes
difference(const std::map<std::string, adapter::store_document>& before,
           const std::map<std::string, adapter::store_document>& after, core::revision at)
{
    adapter::document_changes made;
    made.upto = at;
    for (const auto& [name, document] : before) {
        if (after.contains(name))
            continue;
        made.changes.push_back({document, true});
        made.changes.back().document.at = at;
    }
    for (const auto& [name, document] : after) {
        const auto known = before.find(name);
        if (known == before.end() || known->second.at < document.at)
            made.changes.push_back({document, false});
    }
    return made;
}

void document_feed::replace(kind_state& of, const adapter::document_list& all, bool from_store)
{
    const bool is_older = all.at < of.at;
    if (of.known && is_older)
        return;
    document_update update;
    update.kind = of.kind;
    update.whole = true;
    std::map<std::string, adapter::store_document> next;
    core::revision newest = of.at;
    for (const adapter::store_document& document : all.documents) {
        newest = std::max(newest, document.at);
        const auto known = of.documents.find(document.name);
        const bool keep = known != of.documents.end() && known->second.at > document.at;
        next.emplace(document.name, keep ? known->second : document);
    }
    const bool same =
        of.known && next.size() == of.documents.size() &&
        std::equal(next.begin(), next.end(), of.documents.begin(),
                   [](const auto& one, const auto& other) {
                       return one.first == other.first && one.second.at == other.second.at;
                   });
    const core::revision before = of.at;
    const bool was_known = of.known;
    document_delta delta{of.kind, before, difference(of.documents, next, all.at)};
    of.documents = std::move(next);
    // A removal leaves no document behind, so the list's own revision stands for it.
    const bool lost_some = std::any_of(delta.changes.changes.begin(), delta.changes.changes.end(),
                                       [](const auto& each) { return each.removed; });
    of.at = lost_some ? std::max(newest, all.at) : newest;
    delta.changes.upto = of.at;
    of.known = true;
    if (same)
        return;
    for (const auto& [name, document] : of.documents)
        update.documents.push_back(document);
    update.at = std::max(of.at, all.at);
    this->handlers.updated(update);
    // What a node that starts reads is no news to the others.
    if (from_store && was_known)
        this->handlers.announce(delta);
}

bool document_feed::apply(kind_state& of, const adapter::document_changes& changes)
{
    document_update update;
    update.kind = of.kind;
    for (const adapter::document_change& change : changes.changes) {
        const auto known = of.documents.find(change.document.name);
        if (change.removed) {
            const bool is_newer =
                known != of.documents.end() && known->second.at <= change.document.at;
            if (!is_newer)
                continue;
            of.documents.erase(known);
            update.removed.push_back(change.document.name);
            of.at = std::max(of.at, changes.upto);
            continue;
        }
        if (known != of.documents.end() && known->second.at >= change.document.at)
            continue;
        of.documents.insert_or_assign(change.document.name, change.document);
        update.documents.push_back(change.document);
        std::erase(update.removed, change.document.name);
        of.at = std::max(of.at, change.document.at);
    }
    if (update.documents.empty() && update.removed.empty())
        return false;
    update.at = of.at;
    this->handlers.updated(update);
    return true;
}

void document_feed::heard(adapter::document_kind kind, core::revision at,
                          const http::socket_address& peer)
{
    kind_state& of = this->state_of(kind);
    if (at <= of.at || of.catching_up)
        return;
    of.catching_up = true;
    const core::duration least =
        of.answers && of.known ? patience_before_asking : patience_without_store;
    const core::duration patience =
        std::max(least, of.asked_at + least_between_questions - this->on.now());
    this->on.after(patience, [this, &of, at, peer] { this->catch_up(of, at, peer); });
}

void document_feed::heard(const document_delta& delta, const http::socket_address& peer)
{
    kind_state& of = this->state_of(delta.kind);
    if (!of.known || delta.changes.upto <= of.at)
        return;
    // What lies between would be missed for good.
    if (delta.after > of.at) {
        this->heard(delta.kind, delta.changes.upto, peer);
        return;
    }
    this->apply(of, delta.changes);
    of.at = std::max(of.at, delta.changes.upto);
    of.read_to = std::max(of.read_to, of.at);
}

// A watch that has not brought by now what another node has is silent, and a new one is opened.
void document_feed::catch_up(kind_state& of, core::revision at, const http::socket_address& peer)
{
    if (at <= of.at) {
        of.catching_up = false;
        return;
    }
    of.asked_at = this->on.now();
    if (of.watch != 0) {
        this->store.cancel(std::exchange(of.watch, 0));
        of.busy = false;
    }
    if (of.answers)
        this->ask_store(of, at, peer);
    else
        this->ask_peer(of, peer);
}

void document_feed::caught_up(kind_state& of)
{
    of.catching_up = false;
    if (!this->reading || of.busy)
        return;
    if (of.answers)
        this->go_on(of);
    else
        this->list(of);
}

void document_feed::ask_store(kind_state& of, core::revision at, const http::socket_address& peer)
{
    this->store.list(of.kind, [this, &of, at, peer](const adapter::document_list* all,
                                                    const adapter::store_error& why) {
        if (all == nullptr) {
            this->disturbed(of, why);
            this->ask_peer(of, peer);
            return;
        }
        this->answered(of);
        of.read_to = std::max(of.read_to, all->at);
        this->replace(of, *all, false);
        if (at > of.at)
            this->ask_peer(of, peer);
        else
            this->caught_up(of);
    });
}

void document_feed::ask_peer(kind_state& of, const http::socket_address& peer)
{
    this->store.list_from_peer(
        peer, of.kind,
        [this, &of, peer](const adapter::document_list* all, const adapter::store_error&) {
            this->caught_up(of);
            if (all == nullptr) {
                daemon::write_log(daemon::log_event::peer_documents_failed,
                                  {{"documents", kind_text(of.kind)}, {"peer", peer.address}});
                return;
            }
            const core::revision before = of.at;
            this->replace(of, *all, false);
            daemon::write_log(daemon::log_event::peer_documents_read,
                              {{"documents", kind_text(of.kind)},
                               {"peer", peer.address},
                               {"before", std::to_string(before.value)},
                               {"revision", std::to_string(of.at.value)}});
        });
}

adapter::document_list document_feed::all(adapter::document_kind kind) const
{
    const kind_state& of = this->state_of(kind);
    adapter::document_list made;
    made.at = of.at;
    for (const auto& [name, document] : of.documents)
        made.documents.push_back(document);
    return made;
}

core::revision document_feed::at(adapter::document_kind kind) const
{
    return this->state_of(kind).at;
}

bool document_feed::complete() const
{
    return std::all_of(this->kinds.begin(), this->kinds.end(),
                       [](const kind_state& each) { return each.known; });
}

bool document_feed::is_sound_reader() const
{
    return this->reading && this->complete() && this->store_answers();
}

bool document_feed::store_answers() const
{
    return std::all_of(this->kinds.begin(), this->kinds.end(),
                       [](const kind_state& each) { return each.answers; });
}

} // namespace ragwortcove::gateway
