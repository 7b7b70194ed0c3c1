#include "http_values.hpp"
#include "platform/part_document.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/gateway.hpp"

#include <algorithm>
#include <utility>

// How a gateway keeps prompt parts in the store that requests are held back for, so that nodes that
// start know them.

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using daemon::log_event;

/// Interval at which an owner compares what it knows of its parts with what is stored. A document
/// that it has written comes back to it within this time.
static constexpr core::duration storing_interval = 500ms;

part_guard_dependencies gateway::make_part_dependencies()
{
    return {this->event_loop,
            this->settings.name,
            [this](std::string_view key) { return this->nodes->owner_of(key); },
            [this] { return this->nodes->is_settled(); },
            [this](const core::node_name& to, wire::PeerDatagram& message) {
                this->nodes->send(to, message);
            },
            [this](wire::PeerDatagram& message) { this->nodes->send_to_all(message); },
            [this] { return this->nodes->random_other_node(); },
            [this](const core::upstream_name& name) {
                return this->upstream_connections.has_connection(name.value);
            }};
}

// That a document is missing says nothing: a store that comes back from a copy may have lost it.
void gateway::apply_parts(const document_update& update)
{
    for (const adapter::store_document& document : update.documents) {
        if (document.deleting)
            continue;
        auto parsed = adapter::read_part_document(document, this->now());
        if (const auto* error = std::get_if<adapter::document_error>(&parsed)) {
            daemon::write_log(log_event::part_unreadable,
                              {{"document", document.name},
                               {"revision", std::to_string(document.at.value)},
                               {"place", error->location},
                               {"expected", error->expected}});
            continue;
        }
        this->parts->on_stored_record(std::get<core::part_record>(parsed));
    }
}

/// Whether a stored document says what its owner knows, apart from the times.
static bool is_stored(const core::part_record& record, const core::part_record& stored)
{
    return stored.generation == record.generation &&
           core::count_failed_trials(stored) == core::count_failed_trials(record) &&
           stored.ends.size() >= record.ends.size();
}

void gateway::store_parts()
{
    const core::time_point at = this->now();
    if (at < this->next_part_storing_at || !this->feed->is_complete() || !this->nodes->is_settled())
        return;
    this->next_part_storing_at = at + storing_interval;
    std::map<core::part_id, core::part_record> stored;
    for (const adapter::store_document& document :
         this->feed->all_documents(adapter::document_kind::held_parts).documents) {
        auto parsed = adapter::read_part_document(document, at);
        if (auto* record = std::get_if<core::part_record>(&parsed))
            stored.emplace(record->part, std::move(*record));
    }
    for (const core::part_record& record : this->parts->quarantine().held_back()) {
        const auto known = stored.find(record.part);
        const bool is_up_to_date = known != stored.end() && is_stored(record, known->second);
        if (!is_up_to_date && this->parts->owns(record.part))
            this->store_part(record, known != stored.end());
        if (known != stored.end())
            stored.erase(known);
    }
    // What is left has been cleared.
    for (const auto& [part, record] : stored) {
        const core::part_record* const known = this->parts->quarantine().find(part);
        if (known != nullptr && this->parts->owns(part))
            this->remove_stored_part(part);
    }
}

void gateway::store_part(const core::part_record& record, bool replaces)
{
    const std::string kind(adapter::store_name(adapter::document_kind::held_parts));
    adapter::store_document document = adapter::write_part_document(record);
    adapter::store_call call = adapter::create_document{kind, document};
    if (replaces)
        call = adapter::replace_document{kind, std::move(document), std::nullopt};
    this->store.send(call, [this, part = record.part](const adapter::store_document* written,
                                                      const adapter::store_error& error) {
        this->on_part_written(part, written != nullptr, error);
    });
}

void gateway::remove_stored_part(core::part_id part)
{
    const std::string kind(adapter::store_name(adapter::document_kind::held_parts));
    this->store.send(
        adapter::remove_document{kind, adapter::part_document_name(part), std::nullopt},
        [this, part](const adapter::store_document* written, const adapter::store_error& error) {
            this->on_part_written(part, written != nullptr, error);
        });
}

// A write that has failed is repeated until the store says what the owner knows.
void gateway::on_part_written(core::part_id part, bool is_written,
                              const adapter::store_error& error)
{
    if (is_written || error.failure == adapter::store_failure::conflict ||
        error.failure == adapter::store_failure::missing)
        return;
    daemon::write_log(log_event::part_not_stored,
                      {{"part", core::to_text(part)}, {"status", std::to_string(error.status)}});
}

} // namespace ragwortcove::gateway
