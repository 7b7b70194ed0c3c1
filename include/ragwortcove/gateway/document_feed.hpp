/// \file
/// Keeps this node's documents up to date: from the store by watches, from other nodes when the
/// store does not answer.
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

struct document_feed_handlers {
    std::function<void(const document_update&)> updated;
    /// The store stopped answering, or answers again.
    std::function<void(bool answers)> store_changed;
    /// Other nodes should hear of a revision.
    std::function<void(adapter::document_kind, core::revision)> announce;
};

/// Revisions only go up: what is older than what is in force changes nothing.
class document_feed {
public:
    document_feed(http::loop& on, adapter::store_client& through, std::uint64_t seed,
                  document_feed_handlers&& given);
    ~document_feed();
    document_feed(const document_feed&) = delete;
    document_feed& operator=(const document_feed&) = delete;

    /// Another node says which revision it has.
    void heard(adapter::document_kind kind, core::revision at, const http::socket_address& peer);
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
        bool asking_peer = false;
        /// When the watch under way was opened, on the loop's clock.
        core::duration watched_since{0};
    };

    void list(kind_state& of);
    void watch(kind_state& of);
    void watch_again(kind_state& of);
    void failed(kind_state& of, const adapter::store_outcome_error& why);
    void answered(kind_state& of);
    void replace(kind_state& of, const adapter::document_list& all);
    void apply(kind_state& of, const adapter::document_changes& changes);
    void ask_peer(kind_state& of, core::revision at, const http::socket_address& peer);
    [[nodiscard]] kind_state& state_of(adapter::document_kind kind);
    [[nodiscard]] const kind_state& state_of(adapter::document_kind kind) const;

    http::loop& on;
    adapter::store_client& store;
    core::random_engine random;
    document_feed_handlers handlers;
    std::array<kind_state, adapter::fed_kinds> kinds;
};

} // namespace ragwortcove::gateway
