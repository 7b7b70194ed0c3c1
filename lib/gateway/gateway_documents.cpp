#include "call_responses.hpp"
#include "gateway.pb.h"
#include "http_values.hpp"
#include "platform/announcement.hpp"
#include "platform/rules.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/gateway.hpp"

#include <algorithm>
#include <set>
#include <utility>

// How a gateway handles documents: which nodes read the store, how nodes exchange revisions and
// changes, and how rules and upstreams are applied.

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using daemon::log_event;

/// Interval at which one other node is sent this node's revisions.
static constexpr core::duration digest_period = 500ms;
/// Interval at which a reader sends its revisions to all nodes.
static constexpr core::duration reader_digest_period = 300ms;
/// Interval at which this node checks whether it should be a reader.
static constexpr core::duration reading_check_period = 50ms;
/// Time from the start of this node to its first reading for others.
static constexpr core::duration first_reading_delay = 1s;
/// Changes up to this size are sent in a datagram; larger ones are offered to a few nodes, which
/// read them from this one and offer them in turn.
static constexpr std::size_t max_delta_bytes = 8U << 10U;
/// How long a change may take to arrive, before a node reads the store itself: for a few nodes, and
/// more for each further one.
static constexpr core::duration min_arrival_time = 100ms;
static constexpr core::duration arrival_time_per_node = 3ms;
static constexpr core::duration max_arrival_time = 600ms;

// A leaving node continues to read: until its process ends, its messages keep other nodes from
// becoming readers.
void gateway::exchange_documents()
{
    const core::time_point at = this->now();
    if (at >= this->next_reading_check_at) {
        this->next_reading_check_at = at + reading_check_period;
        // Of many nodes that start together, each knows few others that serve, and would take
        // itself for a reader. It has lists of its own.
        if (this->nodes->is_settled() && at - this->started_at >= first_reading_delay)
            this->update_reading(at);
    }
    if (at >= this->next_digest_at) {
        this->next_digest_at = at + digest_period;
        const core::node_name other = this->nodes->random_other_node();
        wire::PeerDatagram message = this->make_digest();
        if (!other.empty())
            this->nodes->send(other, message);
    }
    if (at >= this->next_reader_digest_at && this->feed->is_healthy_reader()) {
        this->next_reader_digest_at = at + reader_digest_period;
        wire::PeerDatagram message = this->make_digest();
        this->nodes->send_to_all(message);
    }
}

void gateway::update_reading(core::time_point at)
{
    // Nodes that do not serve yet read, too: they wait for the first rules.
    const std::vector<std::string>& present = this->nodes->present_nodes();
    const auto count = static_cast<core::duration::rep>(present.size());
    this->feed->set_arrival_time(
        std::min(max_arrival_time, min_arrival_time + arrival_time_per_node * count));
    this->feed->set_reading(this->readers.should_read(present, at));
    if (this->readers.audit_due(present.size(), this->random, at))
        this->feed->audit();
}

wire::PeerDatagram gateway::make_digest() const
{
    wire::PeerDatagram message;
    wire::DocumentDigest& digest = *message.mutable_digest();
    for (std::size_t index = 0; index < adapter::replicated_kind_count; ++index) {
        // Others would take what this node has for all up to its position.
        const auto kind = static_cast<adapter::document_kind>(index);
        const core::store_position position =
            this->feed->has_whole(kind) ? this->feed->position_of(kind) : core::store_position{};
        digest.add_revisions(position.revision.value);
        digest.add_eras(position.era.value);
    }
    if (this->rules != nullptr)
        digest.set_rules_version(this->rules->rules().version);
    digest.set_reads(this->feed->is_healthy_reader());
    digest.set_doubt(this->removal_grace_left().count());
    return message;
}

void gateway::announce(const document_delta& delta)
{
    wire::PeerDatagram message;
    std::string changes = adapter::write_changes(delta.changes);
    if (changes.size() > max_delta_bytes) {
        this->offer_documents();
        this->offer_documents_to(this->readers.roots(this->nodes->present_nodes()));
        return;
    }
    wire::DocumentDelta& body = *message.mutable_delta();
    body.set_kind(static_cast<std::uint32_t>(delta.kind));
    body.set_after(delta.base_revision.value);
    const core::store_position position = this->feed->position_of(delta.kind);
    body.set_revision(position.revision.value);
    body.set_era(position.era.value);
    body.set_changes(std::move(changes));
    body.set_doubt(this->removal_grace_left().count());
    this->nodes->send_to_all(message);
}

void gateway::offer_documents()
{
    this->offer_documents_to(this->readers.receivers(this->nodes->present_nodes()));
}

void gateway::offer_documents_to(std::span<const core::node_name> receivers)
{
    wire::PeerDatagram message = this->make_digest();
    message.mutable_digest()->set_offers(true);
    for (const core::node_name& receiver : receivers)
        this->nodes->send(receiver, message);
}

void gateway::delay_removals()
{
    if (this->removal_grace_left() == core::duration{0})
        daemon::write_log(log_event::removals_delayed,
                          {{"for_ms", to_ms_text(core::announcements_return_within)},
                           {"revision", std::to_string(this->directory.at().revision.value)}});
    this->directory.restart_removal_grace(this->now());
}

core::duration gateway::removal_grace_left() const
{
    return std::max(core::duration{0}, this->directory.removal_grace_until() - this->now());
}

void gateway::on_reader_message(const core::node_name& reader, core::duration removal_grace)
{
    const core::time_point at = this->now();
    this->readers.record_reader(reader, at + removal_grace, at);
    // A reader to which the store is available uses its own observations.
    if (!this->feed->is_healthy_reader())
        this->directory.extend_removal_grace(this->readers.removal_grace_until(at));
}

/// Era of one of a digest's revisions; a node that states none is taken to be in this node's own.
static core::store_era read_era(const wire::DocumentDigest& digest, int index,
                                core::store_position own)
{
    const bool is_stated = index < digest.eras_size() && digest.eras(index) != 0;
    return is_stated ? core::store_era{digest.eras(index)} : own.era;
}

void gateway::on_digest(const core::node_name& from, const wire::DocumentDigest& digest)
{
    if (digest.reads())
        this->on_reader_message(from, core::duration{digest.doubt()});
    const core::endpoint address = this->nodes->peer_address(from);
    if (address.port == 0)
        return;
    const http::socket_address peer = to_socket_address(address);
    for (int index = 0; index < digest.revisions_size(); ++index) {
        if (static_cast<std::size_t>(index) >= adapter::replicated_kind_count)
            continue;
        const auto kind = static_cast<adapter::document_kind>(index);
        const core::store_position position{{digest.revisions(index)},
                                            read_era(digest, index, this->feed->position_of(kind))};
        if (digest.offers())
            this->feed->on_peer_offer(kind, position, peer);
        else
            this->feed->on_peer_position(kind, position, peer);
        if (kind == adapter::document_kind::rules)
            this->on_peer_rules(digest.rules_version(), position, peer);
    }
}

// A node that has started since the store came back from a copy knows the copy's rules only, while
// other nodes have kept newer ones in force.
void gateway::on_peer_rules(std::uint64_t version, core::store_position position,
                            const http::socket_address& peer)
{
    const bool has_newer = this->rules != nullptr && version > this->rules->rules().version;
    if (has_newer && position <= this->feed->position_of(adapter::document_kind::rules))
        this->feed->read_kept(adapter::document_kind::rules, peer);
}

void gateway::on_delta(const core::node_name& from, const wire::DocumentDelta& delta)
{
    const core::endpoint address = this->nodes->peer_address(from);
    std::optional<adapter::document_changes> changes = adapter::read_changes(delta.changes());
    if (delta.kind() >= adapter::replicated_kind_count || address.port == 0 || !changes) {
        daemon::write_log(log_event::peer_message_unreadable,
                          {{"bytes", std::to_string(delta.changes().size())}});
        return;
    }
    this->on_reader_message(from, core::duration{delta.doubt()});
    changes->upto = core::revision{delta.revision()};
    changes->era = core::store_era{delta.era()};
    this->feed->on_peer_delta({static_cast<adapter::document_kind>(delta.kind()),
                               core::revision{delta.after()}, std::move(*changes)},
                              to_socket_address(address));
}

void gateway::apply_documents(const document_update& update)
{
    // A full list stands for changes that did not come in a datagram, to others no more than here.
    if (update.is_full_list && this->nodes->is_settled())
        this->offer_documents();
    switch (update.kind) {
    case adapter::document_kind::rules:
        this->apply_rules(update);
        break;
    case adapter::document_kind::upstreams:
        this->apply_upstreams(update);
        break;
    case adapter::document_kind::rollouts:
        this->apply_rollouts();
        break;
    case adapter::document_kind::held_parts:
        this->apply_parts(update);
        break;
    case adapter::document_kind::domain_drains:
        this->apply_domain_drains();
        break;
    case adapter::document_kind::own_objects:
    case adapter::document_kind::own_claims:
    case adapter::document_kind::own_nodes:
        break; // A gateway does not store these documents.
    }
}

void gateway::apply_rules(const document_update& update)
{
    for (const adapter::store_document& document : update.documents) {
        if (document.name != adapter::rules_document_name())
            continue;
        auto parsed = adapter::read_ruleset(document.content);
        if (const auto* error = std::get_if<adapter::document_error>(&parsed)) {
            daemon::write_log(log_event::rules_rejected,
                              {{"revision", std::to_string(document.at.value)},
                               {"place", error->location},
                               {"expected", error->expected}});
            continue;
        }
        this->rules =
            std::make_shared<const core::rule_index>(std::move(std::get<core::ruleset>(parsed)));
        daemon::write_log(log_event::rules_applied,
                          {{"revision", std::to_string(document.at.value)},
                           {"version", std::to_string(this->rules->rules().version)},
                           {"routes", std::to_string(this->rules->rules().routes.size())},
                           {"teams", std::to_string(this->rules->rules().teams.size())},
                           {"keys", std::to_string(this->rules->key_count())}});
        this->caller_server->set_limits(
            make_limits(this->rules->rules().limits, max_caller_connections()));
        this->placement->set_rules(this->rules);
    }
}

void gateway::apply_upstreams(const document_update& update)
{
    std::vector<core::announced_upstream> readable;
    core::directory_changes changes;
    const core::time_point at = this->now();
    for (const adapter::store_document& document : update.documents) {
        if (std::optional<core::announced_upstream> upstream =
                adapter::read_upstream(document, at)) {
            readable.push_back(std::move(*upstream));
            continue;
        }
        daemon::write_log(
            log_event::upstream_unreadable,
            {{"upstream", document.name}, {"revision", std::to_string(document.at.value)}});
        if (!update.is_full_list)
            changes.append(this->directory.remove({document.name}, document.position(), at));
    }
    if (update.is_full_list) {
        changes.append(this->directory.replace(readable, update.position, at));
    }
    else {
        for (const core::announced_upstream& upstream : readable)
            changes.append(this->directory.put(upstream));
        for (const std::string& name : update.removed)
            changes.append(this->directory.remove({name}, update.position, at));
    }
    this->on_directory_changed(changes);
}

void gateway::on_upstream_leaves(const core::upstream_process& process, const core::node_name& from)
{
    const core::directory_changes changes = this->directory.mark_leaving(process, this->now());
    if (changes.empty())
        return;
    const core::announced_upstream& known = *this->directory.find(process.name);
    daemon::write_log(log_event::upstream_leaves,
                      {{"upstream", process.name.value},
                       {"from", from.value},
                       {"started_at", std::to_string(process.started_at)},
                       {"revision", std::to_string(known.at.revision.value)}});
    if (from == this->settings.name) {
        wire::PeerDatagram message;
        message.mutable_upstream_leaving()->set_upstream(process.name.value);
        message.mutable_upstream_leaving()->set_started_at(process.started_at);
        this->nodes->send_to_all(message);
    }
    this->on_directory_changed(changes);
}

void gateway::log_warmups(const std::set<core::upstream_name>& names) const
{
    const core::time_point at = this->now();
    for (const core::upstream_name& name : names) {
        const core::announced_upstream* known = this->directory.find(name);
        const bool is_limited = known != nullptr && known->warm_at > at && this->rules != nullptr;
        const core::target_rule* rule =
            is_limited ? this->rules->find_target(known->target) : nullptr;
        if (rule != nullptr && rule->warmup_rate > 0.0)
            daemon::write_log(log_event::upstream_warms_up,
                              {{"upstream", name.value},
                               {"for_ms", to_ms_text(known->warm_at - at)},
                               {"rate", std::to_string(rule->warmup_rate)}});
    }
}

void gateway::on_directory_changed(const core::directory_changes& changes)
{
    if (changes.empty())
        return;
    const auto log_changes = [this](const std::vector<core::upstream_name>& names,
                                    std::string_view state) {
        for (const core::upstream_name& name : names) {
            const core::announced_upstream* known = this->directory.find(name);
            daemon::write_log(log_event::upstream_changed,
                              {{"upstream", name.value},
                               {"state", state},
                               {"target", known == nullptr ? "" : known->target.value},
                               {"version", known == nullptr ? "" : known->version.value},
                               {"revision", std::to_string(this->directory.at().revision.value)}});
        }
    };
    log_changes(changes.added, "ready");
    log_changes(changes.leaving, "leaving");
    log_changes(changes.removed, "gone");
    log_changes(changes.restarted, "restarted");
    std::set<core::upstream_name> warming(changes.added.begin(), changes.added.end());
    warming.insert(changes.restarted.begin(), changes.restarted.end());
    warming.insert(changes.warming.begin(), changes.warming.end());
    this->log_warmups(warming);
    for (const core::upstream_name& name : changes.restarted) {
        this->parts->on_process_gone(name);
        this->placement->forget_upstream(name);
        this->upstream_connections.forget(name.value);
    }
    for (const core::upstream_name& name : changes.removed) {
        this->parts->on_process_gone(name);
        this->upstream_connections.forget(name.value);
    }
    this->offer_upstreams();
}

} // namespace ragwortcove::gateway
