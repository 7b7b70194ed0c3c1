/// \file
/// Model of the platform's object service, on virtual time.
#pragma once

#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/platform_call.hpp"
#include "ragwortcove/standin/random_source.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::standin {

struct platform_settings {
    core::store_id store{"store-1"};
    double reads_per_second = 2000.0;
    double writes_per_second = 300.0;
    core::duration answer_time = std::chrono::milliseconds{3};
    /// Changes that a watch can still be opened after.
    std::size_t history_limit = 1000;
};

/// Faults on order; several can hold at once.
struct platform_faults {
    double slow_factor = 1.0;
    /// No call is carried out or answered.
    bool down = false;
    /// Share of answers that are lost after the call took effect.
    double lost_answer_rate = 0.0;
};

/// What a call came to; without a result it is never answered.
struct platform_reply {
    std::optional<core::platform_result> result;
    core::duration after{0};
};

using watch_id = core::basic_number<struct watch_tag>;

struct watch_opened {
    watch_id watch;
};
/// The history no longer covers the revision asked for: list, then watch.
struct watch_gone {};
struct watch_throttled {
    core::duration retry_after{0};
};
struct watch_unreachable {};
using watch_reply = std::variant<watch_opened, watch_gone, watch_throttled, watch_unreachable>;

struct platform_counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t throttled = 0;
};

/// Refills at a steady rate up to one second's worth.
class token_bucket {
public:
    explicit token_bucket(double per_second);
    /// Takes one token, or says how long to wait for it.
    [[nodiscard]] std::optional<core::duration> take_or_wait(core::time_point now);

private:
    double rate;
    double tokens;
    core::time_point filled_at;
};

/// Objects with revisions, conditional writes and watches. Claims are kept apart: they count their
/// own revisions and appear in no list and no watch.
class platform_model {
public:
    platform_model(const platform_settings& settings, std::uint64_t seed);

    /// Carries a call out at once; the reply says when its answer is due.
    [[nodiscard]] platform_reply call(const core::platform_request& request, core::time_point now);
    [[nodiscard]] watch_reply open_watch(core::revision after, core::time_point now);
    void close_watch(watch_id watch);
    /// Watches that have changes to take, in order of opening.
    [[nodiscard]] std::vector<watch_id> watches_with_changes() const;
    /// Changes since the watch last took some; nothing when the history no longer covers them, and
    /// then the watch is over.
    [[nodiscard]] std::optional<core::feed_delta> take_changes(watch_id watch);

    void set_faults(const platform_faults& ordered) { this->faults = ordered; }
    [[nodiscard]] bool down() const { return this->faults.down; }
    /// Open watches carry nothing any more; new ones work.
    void silence_watches();

    [[nodiscard]] core::revision current() const { return this->latest; }
    [[nodiscard]] const platform_counts& counts() const { return this->counted; }
    [[nodiscard]] const platform_settings& settings() const { return this->configured; }

private:
    struct stored_object {
        core::object value;
        std::string change_id;
    };
    struct change {
        core::revision at;
        core::object_key key;
        /// Unset for a removal.
        std::optional<core::object> value;
    };
    struct open_watch_state {
        core::revision taken;
        bool silent = false;
    };

    [[nodiscard]] core::platform_result carry_out(const core::platform_request& request,
                                                  core::time_point now);
    [[nodiscard]] core::platform_result get(const core::platform_get& request) const;
    [[nodiscard]] core::platform_result list() const;
    [[nodiscard]] core::platform_result put(const core::platform_put& request);
    [[nodiscard]] core::platform_result remove(const core::platform_delete& request);
    [[nodiscard]] std::optional<core::platform_conflict>
    find_conflict(const core::object_key& key, core::revision expected) const;
    [[nodiscard]] core::revision next_revision(core::object_kind kind);
    void record(change&& made);
    [[nodiscard]] bool covers(core::revision after) const;

    platform_settings configured;
    random_source random;
    platform_faults faults;
    token_bucket reads;
    token_bucket writes;
    std::map<core::object_key, stored_object> objects;
    /// Changes that removed objects, so that a lost answer to a removal can be looked up.
    std::map<core::object_key, std::string> removed_by;
    std::deque<change> history;
    core::revision latest;
    core::revision latest_claim;
    std::map<watch_id, open_watch_state> watches;
    watch_id last_watch;
    platform_counts counted;
};

} // namespace ragwortcove::standin
