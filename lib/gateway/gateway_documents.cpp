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
void gateway::exchange_documents()
{
    const core::time_point at = this->now();
    if (at >= this->next_reading_check_at) {
        this->next_reading_check_at = at + reading_check_period;
        const std::vector<std::string>& serving = this->nodes->serving_nodes();
        if (this->nodes->is_discovery_finished())
            this->feed->set_reading(this->readers.should_read(serving, at));
        if (this->readers.audit_due(serving.size(), this->random, at))
            this->feed->audit();
    }
    if (at >= this->next_digest_at) {
        this->next_digest_at = at + digest_period;
        const core::node_name other = this->nodes->random_other_node();
        wire::PeerDatagram message = this->make_digest();
        if (!other.empty())
            this->nodes->send(other, message);
    }
    if (at >= this->next_reader_digest_at && this->feed->is_healthy_reader()) {
        this->next_reader_digest_at = at + reader_period;
        wire::PeerDatagram message = this->make_digest();
        this->nodes->send_to_all(message);
    }
}

wire::PeerDatagram gateway::make_digest() const
{
    wire::PeerDatagram message;
    wire::DocumentDigest& digest = *message.mutable_digest();
    for (const auto kind : {adapter::document_kind::rules, adapter::document_kind::upstreams})
        digest.add_revisions(this->feed->revision_of(kind).value);
    digest.set_reads(this->feed->is_healthy_reader());
    digest.set_doubt(this->removal_grace_left().count());
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
    made.set_after(delta.base_revision.value);
    made.set_revision(this->feed->revision_of(delta.kind).value);
    made.set_changes(std::move(changes));
    made.set_doubt(this->removal_grace_left().count());
    this->nodes->send_to_all(message);
}

core::duration gateway::removal_grace_left() const
{
    return std::max(core::duration{0}, this->directory.doubted_until() - this->now());
}

void gateway::on_reader_message(const core::node_name& reader, core::duration removal_grace)
{
    const core::time_point at = this->now();
    this->readers.heard(reader, at + removal_grace, at);
    // A reader that the store answers judges by what it has seen itself.
    if (!this->feed->is_healthy_reader())
        this->directory.doubt_until(this->readers.doubt_until(at));
}

void gateway::on_digest(const core::node_name& from, const wire::DocumentDigest& digest)
{
    if (digest.reads())
        this->on_reader_message(from, core::duration{digest.doubt()});
    const core::endpoint address = this->nodes->peer_address(from);
    if (address.port == 0)
        return;
    for (int index = 0; index < digest.revisions_size(); ++index) {
        if (static_cast<std::size_t>(index) < adapter::fed_kinds)
            this->feed->on_peer_revision(static_cast<adapter::document_kind>(index),
                                         core::revision{digest.revisions(index)},
                                         to_socket_address(address));
    }
}

void gateway::on_delta(const core::node_name& from, const wire::DocumentDelta& delta)
{
    const core::endpoint address = this->nodes->peer_address(from);
    std::optional<adapter::document_changes> changes = adapter::read_changes(delta.changes());
    if (delta.kind() >= adapter::fed_kinds || address.port == 0 || !changes) {
        daemon::write_log(log_event::peer_message_unreadable,
                          {{"bytes", std::to_string(delta.changes().size())}});
        return;
    }
    this->on_reader_message(from, core::duration{delta.doubt()});
    changes->upto = core::revision{delta.revision()};
    this->feed->on_peer_delta({static_cast<adapter::document_kind>(delta.kind()),
                               core::revision{delta.after()}, std::move(*changes)},
                              to_socket_address(address));
}

void gateway::apply_documents(const document_update& update)
{
    switch (update.kind) {
    case adapter::document_kind::rules:
        this->apply_rules(update);
        break;
    case adapter::document_kind::upstreams:
        this->apply_upstreams(update);
        break;
    case adapter::document_kind::own_objects:
    case adapter::document_kind::own_claims:
        break; // A gateway keeps no copy of these.
    }
}

void gateway::apply_rules(const document_update& update)
{
    for (const adapter::store_document& document : update.documents) {
        if (document.name != adapter::rules_document_name())
            continue;
        auto read = adapter::read_ruleset(document.content);
        if (const auto* wrong = std::get_if<adapter::document_error>(&read)) {
            daemon::write_log(log_event::rules_rejected,
                              {{"revision", std::to_string(document.at.value)},
                               {"place", wrong->place},
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
        this->caller_server->set_limits(make_limits(this->rules->rules().limits));
        this->placement->set_rules(this->rules);
    }
}

void gateway::apply_upstreams(const document_update& update)
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
        if (!update.is_full_list)
            changes.append(this->directory.remove({document.name}, document.at, at));
    }
    if (update.is_full_list) {
        changes.append(this->directory.replace(readable, update.revision, at));
    }
    else {
        for (const core::announced_upstream& one : readable)
            changes.append(this->directory.put(one));
        for (const std::string& name : update.removed)
            changes.append(this->directory.remove({name}, update.revision, at));
    }
    this->on_directory_changed(changes);
}

void gateway::on_directory_changed(const core::directory_changes& changes)
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
