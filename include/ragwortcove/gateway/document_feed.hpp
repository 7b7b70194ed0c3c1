/// \file
/// Keeps this node's documents up to date. A reader watches the store and sends changes to the
/// other nodes, which list documents from the store or from a peer only after missing a change.
#pragma once

#include "platform/store_client.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/http/loop.hpp"

#include <array>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::gateway {

/// A change of the documents of one kind.
struct document_update {
    adapter::document_kind kind = adapter::document_kind::rules;
    /// Whether `documents` holds all documents of the kind.
    bool is_full_list = false;
    std::vector<adapter::store_document> documents;
    std::vector<std::string> removed;
    core::revision revision;
};

/// Changes of one kind, as a reader sends them to the other nodes.
struct document_delta {
    adapter::document_kind kind = adapter::document_kind::rules;
    /// Revision of the kind to which the changes apply.
    core::revision base_revision;
    adapter::document_changes changes;
};

struct document_feed_handlers {
    std::function<void(const document_update&)> updated;
    /// The store became unavailable, or available again.
    std::function<void(bool available)> store_availability_changed;
    /// Sends changes that this node has read from the store to the other nodes.
    std::function<void(const document_delta&)> announce;
};

/// Revisions only increase: a document older than the one in force is ignored.
class document_feed {
public:
    document_feed(http::loop& event_loop, adapter::store_client& client, std::uint64_t seed,
                  document_feed_handlers&& given);
    ~document_feed();
    document_feed(const document_feed&) = delete;
    document_feed& operator=(const document_feed&) = delete;

    /// Starts to watch the store, or cancels the open watches and leaves the watching to other
    /// nodes.
    void set_reading(bool reads);
    /// Checks the store once for changes that no reader has announced.
    void audit();
    /// Handles the revision that another node reports to have.
    void on_peer_revision(adapter::document_kind kind, core::revision revision,
                          const http::socket_address& peer);
    /// The same, where the other node is to be read from at once: it serves few nodes.
    void on_peer_offer(adapter::document_kind kind, core::revision revision,
                       const http::socket_address& peer);
    /// Sets how long a change that another node has may take to arrive by itself.
    void set_arrival_time(core::duration time) { this->arrival_time = time; }
    /// Applies changes sent by a reader. If revisions before the changes are missing, the store and
    /// then `peer` are asked for all documents.
    void on_peer_delta(const document_delta& delta, const http::socket_address& peer);
    /// Whether this node is a reader that has read every kind and the store is available to it.
    [[nodiscard]] bool is_healthy_reader() const;
    /// All documents of a kind, to be served to other nodes.
    [[nodiscard]] adapter::document_list all_documents(adapter::document_kind kind) const;
    [[nodiscard]] core::revision revision_of(adapter::document_kind kind) const;
    /// Whether every kind has been read at least once.
    [[nodiscard]] bool is_complete() const;
    /// Whether the last call to the store succeeded for every kind.
    [[nodiscard]] bool is_store_available() const;

private:
    struct kind_state {
        adapter::document_kind kind = adapter::document_kind::rules;
        std::map<std::string, adapter::store_document> documents;
        /// Revision of the newest change in force.
        core::revision revision;
        /// Revision up to which the store has been read, which may be later than any change.
        core::revision store_revision;
        bool loaded = false;
        bool store_available = true;
        std::uint32_t failures = 0;
        /// Whether a call that fetches the revision reported by another node is scheduled, or open.
        bool fetch_scheduled = false;
        bool catching_up = false;
        /// When the last such call was sent, on the loop's clock.
        core::duration last_fetch_at = -std::chrono::hours{1};
        /// Whether a watch or list is open, or a pause before the next one runs.
        bool polling = false;
        adapter::store_call_number watch_call = 0;
        /// When the latest watch was opened, on the loop's clock.
        core::duration watch_opened_at{0};
    };

    void list_store(kind_state& state);
    void watch_store(kind_state& state);
    void continue_watching(kind_state& state);
    void on_store_call_failed(kind_state& state, const adapter::store_error& error);
    void note_store_failure(kind_state& state, const adapter::store_error& error);
    void note_store_available(kind_state& state);
    void replace_documents(kind_state& state, const adapter::document_list& all, bool from_store);
    /// Returns false when no change was newer than the documents in force.
    bool apply_changes(kind_state& state, const adapter::document_changes& changes);
    void apply_and_announce(kind_state& state, const adapter::document_changes& changes);
    void catch_up(kind_state& state, core::revision revision, const http::socket_address& peer);
    void finish_catch_up(kind_state& state);
    void fetch_from_store(kind_state& state, core::revision revision,
                          const http::socket_address& peer);
    void fetch_from_peer(kind_state& state, const http::socket_address& peer);
    [[nodiscard]] kind_state& state_of(adapter::document_kind kind);
    [[nodiscard]] const kind_state& state_of(adapter::document_kind kind) const;

    http::loop& event_loop;
    adapter::store_client& store;
    core::random_engine random;
    document_feed_handlers handlers;
    std::array<kind_state, adapter::replicated_kind_count> kinds;
    bool reading = false;
    core::duration arrival_time = std::chrono::milliseconds{100};
};

} // namespace ragwortcove::gateway
