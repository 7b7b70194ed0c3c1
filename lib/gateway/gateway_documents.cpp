#include "gateway.pb.h"
#include "http_values.hpp"
#include "platform/rules.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/gateway.hpp"

#include <algorithm>
#include <utility>

// What a gateway does with documents: who reads them, how nodes tell one another, and how rules and
// upstreams come into force.

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using daemon::log_event;

/// How often one other node hears of this node's revisions.
static constexpr core::duration digest_period = 500ms;
/// How often all hear of a reader's.
static constexpr core::duration reader_period = 300ms;
/// How often this node looks whether it should read.
static constexpr core::duration reading_check_period = 50ms;
/// Changes up to this size travel in a datagram; for larger ones the other nodes ask the store.
static constexpr std::size_t most_delta_bytes = 8U << 10U;

// A node that is leaving reads on: until it is gone its beats hold others back from reading.
void gateway::share_documents()
{
    const core::time_point at = this->now();
    if (at >= this->reading_check_at) {
        this->reading_check_at = at + reading_check_period;
        const std::vector<std::string>& serving = this->nodes->serving_nodes();
        if (this->nodes->has_met_others())
            this->feed->set_reading(this->readers.should_read(serving, at));
        if (this->readers.audit_due(serving.size(), this->random, at))
            this->feed->audit();
    }
    if (at >= this->digest_at) {
        this->digest_at = at + digest_period;
        const core::node_name other = this->nodes->any_other();
        wire::PeerDatagram message = this->make_digest();
        if (!other.empty())
            this->nodes->send(other, message);
    }
    if (at >= this->reader_digest_at && this->feed->is_sound_reader()) {
        this->reader_digest_at = at + reader_period;
        wire::PeerDatagram message = this->make_digest();
        this->nodes->send_to_all(message);
    }
}

wire::PeerDatagram gateway::make_digest() const
{
    wire::PeerDatagram message;
    wire::DocumentDigest& digest = *message.mutable_digest();
    for (const auto kind : {adapter::document_kind::rules, adapter::document_kind::upstreams})
        digest.add_revisions(this->feed->at(kind).value);
    digest.set_reads(this->feed->is_sound_reader());
    digest.set_doubt(this->doubt_left().count());
    return message;
}

void gateway::announce(const document_delta& delta)
{
    wire::PeerDatagram message;
    std::string changes = adapter::write_changes(delta.changes);
    if (changes.size() > most_delta_bytes) {
        message = this->make_digest();
        this->nodes->send_to_all(message);
        return;
    }
    wire::DocumentDelta& made = *message.mutable_delta();
    made.set_kind(static_cast<std::uint32_t>(delta.kind));
    made.set_after(delta.after.value);
    made.set_revision(this->feed->at(delta.kind).value);
    made.set_changes(std::move(changes));
    made.set_doubt(this->doubt_left().count());
    this->nodes->send_to_all(message);
}

core::duration gateway::doubt_left() const
{
    return std::max(core::duration{0}, this->directory.doubted_until() - this->now());
}

void gateway::reader_heard(const core::node_name& reader, core::duration doubt)
{
    const core::time_point at = this->now();
    this->readers.heard(reader, at + doubt, at);
    // A reader that the store answers judges by what it has seen itself.
    if (!this->feed->is_sound_reader())
        this->directory.doubt_until(this->readers.doubt_until(at));
}

void gateway::take_digest(const core::node_name& from, const wire::DocumentDigest& digest)
{
    if (digest.reads())
        this->reader_heard(from, core::duration{digest.doubt()});
    const core::endpoint address = this->nodes->peer_address(from);
    if (address.port == 0)
        return;
    for (int index = 0; index < digest.revisions_size(); ++index) {
        if (static_cast<std::size_t>(index) < adapter::replicated_kind_count)
            this->feed->heard(static_cast<adapter::document_kind>(index),
                              core::revision{digest.revisions(index)}, to_socket_address(address));
    }
}

void gateway::take_delta(const core::node_name& from, const wire::DocumentDelta& delta)
{
    const core::endpoint address = this->nodes->peer_address(from);
    std::optional<adapter::document_changes> changes = adapter::read_changes(delta.changes());
    if (delta.kind() >= adapter::replicated_kind_count || address.port == 0 || !changes) {
        daemon::write_log(log_event::peer_message_unreadable,
                          {{"bytes", std::to_string(delta.changes().size())}});
        return;
    }
    this->reader_heard(from, core::duration{delta.doubt()});
    changes->upto = core::revision{delta.revision()};
    this->feed->heard({static_cast<adapter::document_kind>(delta.kind()),
                       core::revision{delta.after()}, std::move(*changes)},
                      to_socket_address(address));
}

void gateway::documents_updated(const document_update& update)
{
    switch (update.kind) {
    case adapter::document_kind::rules:
        this->rules_updated(update);
        break;
    case adapter::document_kind::upstreams:
        this->upstreams_updated(update);
        break;
    case adapter::document_kind::own_objects:
    case adapter::document_kind::own_claims:
        break; // A gateway keeps no copy of these.
    }
}

void gateway::rules_updated(const document_update& update)
{
    for (const adapter::store_document& document : update.documents) {
        if (document.name != adapter::rules_document_name())
            continue;
        auto read = adapter::read_ruleset(document.content);
        if (const auto* wrong = std::get_if<adapter::document_error>(&read)) {
            daemon::write_log(log_event::rules_rejected,
                              {{"revision", std::to_string(document.at.value)},
                               {"place", wrong->location},
                               {"expected", wrong->expected}});
            continue;
        }
        this->rules =
            std::make_shared<const core::rule_index>(std::move(std::get<core::ruleset>(read)));
        daemon::write_log(log_event::rules_applied,
                          {{"revision", std::to_string(document.at.value)},
                           {"version", std::to_string(this->rules->rules().version)},
                           {"routes", std::to_string(this->rules->rules().routes.size())},
                           {"teams", std::to_string(this->rules->rules().teams.size())},
                           {"keys", std::to_string(this->rules->key_count())}});
        this->callers->set_limits(make_limits(this->rules->rules().limits));
        this->placement->set_rules(this->rules);
    }
}

void gateway::upstreams_updated(const document_update& update)
{
    std::vector<core::announced_upstream> readable;
    core::directory_changes changes;
    const core::time_point at = this->now();
    for (const adapter::store_document& document : update.documents) {
        if (std::optional<core::announced_upstream> one = adapter::read_upstream(document)) {
            readable.push_back(std::move(*one));
            continue;
        }
        daemon::write_log(
            log_event::upstream_unreadable,
            {{"upstream", document.name}, {"revision", std::to_string(document.at.value)}});
        if (!update.whole)
            changes.append(this->directory.remove({document.name}, document.at, at));
    }
    if (update.whole) {
        changes.append(this->directory.replace(readable, update.at, at));
    }
    else {
        for (const core::announced_upstream& one : readable)
            changes.append(this->directory.put(one));
        for (const std::string& name : update.removed)
            changes.append(this->directory.remove({name}, update.at, at));
    }
    this->directory_changed(changes);
}

void gateway::directory_changed(const core::directory_changes& changes)
{
    if (changes.empty())
        return;
    const auto tell = [this](const std::vector<core::upstream_name>& names, std::string_view what) {
        for (const core::upstream_name& name : names) {
            const core::announced_upstream* known = this->directory.find(name);
            daemon::write_log(log_event::upstream_changed,
                              {{"upstream", name.value},
                               {"state", what},
                               {"target", known == nullptr ? "" : known->target.value},
                               {"revision", std::to_string(this->directory.at().value)}});
        }
    };
    tell(changes.added, "ready");
    tell(changes.leaving, "leaving");
    tell(changes.removed, "gone");
    tell(changes.restarted, "restarted");
    for (const core::upstream_name& name : changes.restarted) {
        this->placement->forget_upstream(name);
        this->upstream_connections.forget(name.value);
    }
    for (const core::upstream_name& name : changes.removed)
        this->upstream_connections.forget(name.value);
    this->placement->set_upstreams(this->directory.all());
}

} // namespace ragwortcove::gateway
