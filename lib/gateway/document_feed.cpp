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
/// How long this node's own watch may take to bring what another node already has.
static constexpr core::duration peer_patience = 100ms;

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
    this->store.list(of.kind, [this, &of](const adapter::document_list* all,
                                          const adapter::store_outcome_error& why) {
        if (all == nullptr) {
            this->failed(of, why);
            return;
        }
        this->answered(of);
        of.read_to = all->at;
        this->replace(of, *all);
        this->watch(of);
    });
}

void document_feed::watch(kind_state& of)
{
    of.watched_since = this->on.now();
    this->store.watch(of.kind, of.read_to, watch_time,
                      [this, &of](const adapter::document_changes* changes,
                                  const adapter::store_outcome_error& why) {
                          if (changes == nullptr) {
                              this->failed(of, why);
                              return;
                          }
                          this->answered(of);
                          of.read_to = std::max(of.read_to, changes->upto);
                          this->apply(of, *changes);
                          this->watch_again(of);
                      });
}

// A change that comes by itself is followed by the next watch at once. When many come in a row, as
// when a whole fleet of upstreams starts, a short pause brings them together in one answer.
void document_feed::watch_again(kind_state& of)
{
    const core::duration passed = this->on.now() - of.watched_since;
    if (passed >= shortest_watch) {
        this->watch(of);
        return;
    }
    this->on.after(shortest_watch - passed, [this, &of] { this->watch(of); });
}

// Whatever a watch failed of, a list finds out what was missed.
void document_feed::failed(kind_state& of, const adapter::store_outcome_error& why)
{
    if (why.failure == adapter::store_failure::history_gone) {
        this->list(of);
        return;
    }
    if (of.answers) {
        of.answers = false;
        daemon::write_log(daemon::log_event::platform_lost,
                          {{"documents", kind_text(of.kind)},
                           {"status", std::to_string(why.status)},
                           {"revision", std::to_string(of.at.value)}});
    }
    this->handlers.store_changed(false);
    const core::duration delay =
        10ms + core::full_jitter(this->random, retry_base, of.failures, retry_most);
    of.failures = std::min(of.failures + 1, 6U);
    this->on.after(delay, [this, &of] { this->list(of); });
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

void document_feed::replace(kind_state& of, const adapter::document_list& all)
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
    const bool lost_some =
        std::any_of(of.documents.begin(), of.documents.end(),
                    [&](const auto& each) { return !next.contains(each.first); });
    of.documents = std::move(next);
    // A removal leaves no document behind, so the list's own revision stands for it.
    of.at = lost_some ? std::max(newest, all.at) : newest;
    of.known = true;
    if (same)
        return;
    for (const auto& [name, document] : of.documents)
        update.documents.push_back(document);
    update.at = std::max(of.at, all.at);
    this->handlers.updated(update);
    this->handlers.announce(of.kind, of.at);
}

void document_feed::apply(kind_state& of, const adapter::document_changes& changes)
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
        return;
    update.at = of.at;
    this->handlers.updated(update);
    this->handlers.announce(of.kind, of.at);
}

void document_feed::heard(adapter::document_kind kind, core::revision at,
                          const http::socket_address& peer)
{
    kind_state& of = this->state_of(kind);
    if (at <= of.at || of.asking_peer)
        return;
    of.asking_peer = true;
    const core::duration patience = of.answers && of.known ? peer_patience : 1ms;
    this->on.after(patience, [this, &of, at, peer] { this->ask_peer(of, at, peer); });
}

void document_feed::ask_peer(kind_state& of, core::revision at, const http::socket_address& peer)
{
    if (at <= of.at) {
        of.asking_peer = false;
        return;
    }
    this->store.list_from_peer(
        peer, of.kind,
        [this, &of, peer](const adapter::document_list* all, const adapter::store_outcome_error&) {
            of.asking_peer = false;
            if (all == nullptr) {
                daemon::write_log(daemon::log_event::peer_documents_failed,
                                  {{"documents", kind_text(of.kind)}, {"peer", peer.address}});
                return;
            }
            const core::revision before = of.at;
            this->replace(of, *all);
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

bool document_feed::store_answers() const
{
    return std::all_of(this->kinds.begin(), this->kinds.end(),
                       [](const kind_state& each) { return each.answers; });
}

} // namespace ragwortcove::gateway
