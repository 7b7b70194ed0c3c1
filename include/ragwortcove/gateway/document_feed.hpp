/// \file
/// Keeps this node's documents up to date: a reader watches the store and passes on what changes;
/// the other nodes take that, and ask the store or a peer only for what they have missed.
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

/// What changed in one kind.
struct document_update {
    adapter::document_kind kind = adapter::document_kind::rules;
    /// Whether `documents` is all there is.
    bool whole = false;
    std::vector<adapter::store_document> documents;
    std::vector<std::string> removed;
    core::revision at;
};

/// Changes of a kind, as a reader passes them on.
struct document_delta {
    adapter::document_kind kind = adapter::document_kind::rules;
    /// Revision of the kind that the changes follow.
    core::revision after;
    adapter::document_changes changes;
};

struct document_feed_handlers {
    std::function<void(const document_update&)> updated;
    /// The store stopped answering, or answers again.
    std::function<void(bool answers)> store_changed;
    /// Other nodes should hear of what this one has read from the store.
    std::function<void(const document_delta&)> announce;
};

/// Revisions only go up: what is older than what is in force changes nothing.
class document_feed {
public:
    document_feed(http::loop& on, adapter::store_client& through, std::uint64_t seed,
                  document_feed_handlers&& given);
    ~document_feed();
    document_feed(const document_feed&) = delete;
    document_feed& operator=(const document_feed&) = delete;

    /// Begins to watch the store, or leaves that to others once the watches under way have ended.
    void set_reading(bool reads);
    /// Looks once whether the store has changes that nobody has told of.
    void audit();
    /// Another node says which revision it has.
    void heard(adapter::document_kind kind, core::revision at, const http::socket_address& peer);
    /// A reader passes on what has changed; `peer` is asked when there is a gap before it.
    void heard(const document_delta& delta, const http::socket_address& peer);
    /// Whether this node reads, and the store answers it.
    [[nodiscard]] bool is_sound_reader() const;
    /// All documents of a kind, for other nodes.
    [[nodiscard]] adapter::document_list all(adapter::document_kind kind) const;
    [[nodiscard]] core::revision at(adapter::document_kind kind) const;
    /// Whether every kind has been read once.
    [[nodiscard]] bool complete() const;
    /// Whether the store answered the last call of every kind.
    [[nodiscard]] bool store_answers() const;

private:
    struct kind_state {
        adapter::document_kind kind = adapter::document_kind::rules;
        std::map<std::string, adapter::store_document> documents;
        /// Revision of the newest change in force.
        core::revision at;
        /// Revision up to which the store has been read.
        core::revision read_to;
        bool known = false;
        bool answers = true;
        std::uint32_t failures = 0;
        /// Whether a call is on its way, or due soon, that brings what another node has.
        bool catching_up = false;
        /// When the last such call went out, on the loop's clock.
        core::duration asked_at = -std::chrono::hours{1};
        /// The watch, list or pause before them that keeps a reader up to date.
        bool busy = false;
        adapter::store_call_number watch = 0;
        /// When the watch under way was opened, on the loop's clock.
        core::duration watched_since{0};
    };

    void list(kind_state& of);
    void watch(kind_state& of);
    void go_on(kind_state& of);
    void failed(kind_state& of, const adapter::store_error& why);
    void disturbed(kind_state& of, const adapter::store_error& why);
    void answered(kind_state& of);
    void replace(kind_state& of, const adapter::document_list& all, bool from_store);
    /// False when nothing was new.
    bool apply(kind_state& of, const adapter::document_changes& changes);
    void take_changes(kind_state& of, const adapter::document_changes& changes);
    void catch_up(kind_state& of, core::revision at, const http::socket_address& peer);
    void caught_up(kind_state& of);
    void ask_store(kind_state& of, core::revision at, const http::socket_address& peer);
    void ask_peer(kind_state& of, const http::socket_address& peer);
    [[nodiscard]] kind_state& state_of(adapter::document_kind kind);
    [[nodiscard]] const kind_state& state_of(adapter::document_kind kind) const;

    http::loop& on;
    adapter::store_client& store;
    core::random_engine random;
    document_feed_handlers handlers;
    std::array<kind_state, adapter::replicated_kind_count> kinds;
    bool reading = false;
};

} // namespace ragwortcove::gateway
