/// \file
/// Keeps this node's documents up to date. A reader watches the store and sends changes to the
/// other nodes, which list documents from the store or from a peer only after missing a change.
#pragma once

#include "platform/store_client.hpp"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/store_contact.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/gateway/document_set.hpp"
#include "ragwortcove/http/loop.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>

namespace ragwortcove::gateway {

/// Changes of one kind, as a reader sends them to the other nodes.
struct document_delta {
    adapter::document_kind kind = adapter::document_kind::rules;
    /// Revision of the kind to which the changes apply; its era is that of the changes.
    core::revision base_revision;
    adapter::document_changes changes;
};

struct document_feed_handlers {
    std::function<void(const document_update&)> updated;
    /// An outage of the store is under way, or has ended: announcements may have lapsed in it.
    std::function<void(bool has_ended)> outage_observed;
    /// The store has come back from an older copy; documents that were in it may be missing.
    std::function<void()> era_began;
    /// Sends changes that this node has read from the store to the other nodes.
    std::function<void(const document_delta&)> announce;
    /// A page of a list that another one follows has been read; may be empty.
    std::function<void(adapter::document_kind)> page_read;
};

/// Documents in force are only replaced by newer ones, as `document_set` tells.
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
    /// Handles the revision that another node reports to have. What one source does not serve, be
    /// it the store or that node, is read from the other one.
    void on_peer_position(adapter::document_kind kind, core::store_position position,
                          const http::socket_address& peer);
    /// The same, where the other node is to be read from at once: it serves few nodes.
    void on_peer_offer(adapter::document_kind kind, core::store_position position,
                       const http::socket_address& peer);
    /// Reads from another node that has kept a document which the store has lost.
    void read_kept(adapter::document_kind kind, const http::socket_address& peer);
    /// Sets how long a change that another node has may take to arrive by itself.
    void set_arrival_time(core::duration time) { this->arrival_time = time; }
    /// Applies changes sent by a reader. If revisions before the changes are missing, the store and
    /// then `peer` are asked for all documents.
    void on_peer_delta(const document_delta& delta, const http::socket_address& peer);
    /// Handles the era of a response to a call other than the feed's own.
    void on_store_era(core::store_era era);
    /// Whether this node is a reader that has read every kind and the store is available to it.
    [[nodiscard]] bool is_healthy_reader() const;
    /// All documents of a kind, to be served to other nodes.
    [[nodiscard]] adapter::document_list all_documents(adapter::document_kind kind) const;
    [[nodiscard]] core::revision revision_of(adapter::document_kind kind) const;
    [[nodiscard]] core::store_position position_of(adapter::document_kind kind) const;
    /// Whether this node has all documents of a kind, so that others may take them from it.
    [[nodiscard]] bool has_whole(adapter::document_kind kind) const;
    /// Whether every kind has been read at least once.
    [[nodiscard]] bool is_complete() const;
    /// Kinds that have not been read yet.
    [[nodiscard]] std::vector<adapter::document_kind> missing_kinds() const;
    /// How far the latest list of a kind has come; zero pages when it needs but one.
    [[nodiscard]] const adapter::list_progress& list_progress_of(adapter::document_kind kind) const;
    /// Whether the last call to the store succeeded for every kind.
    [[nodiscard]] bool is_store_available() const;

private:
    /// The calls for lists of one kind, by number. Several may be open.
    struct list_calls {
        std::uint64_t latest = 0;
        /// The latest one that has failed or is late, for which another one is asked for.
        std::uint64_t failed = 0;
        /// The latest one when a list was last read: responses to those up to it have no use.
        std::uint64_t obsolete_upto = 0;
        bool operator==(const list_calls&) const = default;
    };
    struct kind_state {
        adapter::document_kind kind = adapter::document_kind::rules;
        document_set documents{adapter::document_kind::rules};
        /// Position up to which the store has been read, which may be later than any change.
        core::store_position read_upto;
        /// When a response of the era in force came first, on the loop's clock.
        core::duration era_since{0};
        /// An era lower than the one in force that later responses state.
        core::store_era lower_era;
        bool settling = false;
        bool store_available = true;
        /// Whether the store has said that it does not know the kind.
        bool is_unknown = false;
        std::uint32_t failures = 0;
        /// Whether a call that fetches the revision reported by another node is scheduled, or open.
        bool fetch_scheduled = false;
        bool catching_up = false;
        /// When the last such call was sent, on the loop's clock.
        core::duration last_fetch_at = -std::chrono::hours{1};
        /// Whether documents may be missing here, since only a part of the list could be read.
        bool is_partial = false;
        /// Whether another list is scheduled, since the last one was incomplete.
        bool completion_scheduled = false;
        /// Whether a call that repeats a failed audit is scheduled.
        bool audit_scheduled = false;
        /// Whether a watch or list is open, or a pause before the next one runs.
        bool polling = false;
        list_calls lists;
        /// Of the latest list.
        adapter::list_progress progress;
        /// When its last page was read, on the loop's clock.
        core::duration page_read_at{0};
        adapter::store_call_number watch_call = 0;
        /// When the latest watch was opened, on the loop's clock.
        core::duration watch_opened_at{0};
    };

    /// How a response of the store stands to the era in force.
    enum class era_relation {
        current,
        /// The store has come back from a copy.
        later,
        /// The call was sent before the era in force began: the response came late.
        outdated,
    };
    /// Compares the era that a response states, and sets it to the one in force if it states none.
    [[nodiscard]] era_relation compare_era(kind_state& state, core::store_era& era,
                                           core::duration sent_at);
    /// Asks for all documents of a kind. While the response is late, it is asked for again, and the
    /// first response is taken.
    void list_store(kind_state& state);
    /// Handles it as late when no page of a list is read within the time for one.
    void expect_page(kind_state& state, std::uint64_t number, core::duration heard_at);
    /// Handles that a page of a list has been read that another one follows.
    void on_page(kind_state& state, std::uint64_t number, const adapter::list_progress& progress);
    void on_list(kind_state& state, std::uint64_t number, const adapter::document_list& all,
                 core::duration sent_at);
    /// Handles that a list has failed, or is late.
    void on_no_list(kind_state& state, std::uint64_t number, const adapter::store_error& error,
                    core::duration sent_at);
    /// Handles a list that is stuck. Without its one document of rules no request can be served, so
    /// that is read by its name.
    void on_list_stuck(kind_state& state, const adapter::document_list& part,
                       core::duration sent_at);
    /// Applies what was read of a list that is stuck: nothing else is known of, and nothing is
    /// taken for removed.
    void take_list_part(kind_state& state, const adapter::document_list& part,
                        core::duration sent_at);
    /// Lists a kind again after a while if documents may be missing by then.
    void schedule_completion(kind_state& state);
    /// Whether this node watches a kind: for all nodes, or since it cannot tell others, or be told,
    /// what it may lack.
    [[nodiscard]] bool watches(const kind_state& state) const;
    /// Whether another node that states a position may have documents that this one lacks.
    [[nodiscard]] static bool is_behind(const kind_state& state, core::store_position position);
    /// Lists a kind anew, in place of an open watch.
    void restart_reading(kind_state& state);
    /// Applies changes from the store; returns false when they are of another era.
    bool take_store_changes(kind_state& state, const adapter::document_changes& changes,
                            core::duration sent_at);
    /// Applies a list from the store; returns false when it came too late.
    bool take_store_list(kind_state& state, const adapter::document_list& all,
                         core::duration sent_at, bool announces);
    /// Applies a list; changes that it brings are announced if `announces`.
    void apply_list(kind_state& state, adapter::document_list&& all, bool announces);
    void take_peer_list(kind_state& state, const adapter::document_list& all);
    /// Reads the changes of one kind once; calls `done` with the position of the store then, unless
    /// the call fails.
    void audit_kind(kind_state& state, std::function<void(core::store_position upto)>&& done);
    void on_audit_failed(kind_state& state, const adapter::store_error& error,
                         core::duration sent_at);
    void on_era_began(kind_state& state, const list_result& result);
    void schedule_settling(kind_state& state);
    void watch_store(kind_state& state);
    void continue_watching(kind_state& state);
    /// Handles that the store does not know a kind, and so holds no document of it.
    void on_kind_unknown(kind_state& state);
    void on_list_failed(kind_state& state, const adapter::store_error& error,
                        core::duration sent_at);
    void on_watch_failed(kind_state& state, const adapter::store_error& error,
                         core::duration sent_at);
    /// Handles a watch that the store has ended before its time without a response.
    void on_watch_cut(kind_state& state, core::duration waited);
    /// Lists a kind again after a delay.
    void list_later(kind_state& state, core::duration delay);
    /// Delay before the next call after one that has failed.
    [[nodiscard]] core::duration next_retry_delay(kind_state& state);
    /// Records a call that the store has failed, and that it should have answered `sent_at` or
    /// after.
    void note_store_failure(kind_state& state, const adapter::store_error& error,
                            core::duration sent_at);
    void note_store_available(kind_state& state);
    /// Records that the store has answered a call, whichever the response.
    void note_store_answer();
    void catch_up(kind_state& state, core::store_position position,
                  const http::socket_address& peer);
    void finish_catch_up(kind_state& state);
    /// Reads from the store. If it does not have `position`, `peer` is read from next.
    void fetch_from_store(kind_state& state, core::store_position position,
                          const std::optional<http::socket_address>& peer);
    /// Reads from `peer` unless this node has `sought` by then; any position if it is not set.
    void schedule_peer_read(kind_state& state, const http::socket_address& peer,
                            std::optional<core::store_position> sought);
    /// Reads from `peer`. If it does not respond, the store is read next when `sought` is set.
    void fetch_from_peer(kind_state& state, const http::socket_address& peer,
                         std::optional<core::store_position> sought);
    [[nodiscard]] kind_state& state_of(adapter::document_kind kind);
    [[nodiscard]] const kind_state& state_of(adapter::document_kind kind) const;

    http::loop& event_loop;
    adapter::store_client& store;
    core::random_engine random;
    document_feed_handlers handlers;
    core::store_contact contact;
    std::array<kind_state, adapter::replicated_kind_count> kinds;
    bool reading = false;
    core::duration arrival_time = std::chrono::milliseconds{100};
};

} // namespace ragwortcove::gateway
