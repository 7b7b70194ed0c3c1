/// \file
/// Model of the users' object store: documents of any kind, conditional writes, pages, history.
#pragma once

#include "platform/store_call.hpp"
#include "ragwortcove/standin/platform_model.hpp"
#include "ragwortcove/standin/random_source.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortcove::standin {

struct store_model_settings {
    double reads_per_second = 2000.0;
    double writes_per_second = 400.0;
    core::duration answer_time = std::chrono::milliseconds{4};
    /// Changes that a watch can still begin after.
    std::size_t history_limit = 1000;
    /// Documents on one page of a list.
    std::size_t page_size = 500;
};

/// An answer as HTTP carries it.
struct store_answer {
    int status = 200;
    std::string body;
    /// When a call that was turned away may come again.
    std::optional<core::duration> retry_after;
};

/// What a call came to; without an answer it is never answered.
struct store_reply {
    std::optional<store_answer> answer;
    core::duration after{0};
};

/// Faults on order; several can hold at once.
struct store_faults {
    double slow_factor = 1.0;
    /// No call is carried out or answered.
    bool down = false;
    /// Share of answers that are lost after the call took effect.
    double lost_answer_rate = 0.0;
    /// Share of calls that are turned away, and with which status.
    double refused_rate = 0.0;
    int refusal_status = 503;
};

class store_model {
public:
    store_model(const store_model_settings& settings, std::uint64_t seed);

    /// Carries out a call that does not wait; the reply says when its answer is due.
    [[nodiscard]] store_reply call(const adapter::store_call& call, core::time_point now);
    /// Takes up a watch; nothing while there is nothing to answer yet.
    [[nodiscard]] std::optional<store_reply> begin_watch(const adapter::watch_documents& watch,
                                                         core::time_point now);
    /// Looks again at a watch that waits; nothing while it must go on waiting.
    [[nodiscard]] std::optional<store_answer>
    look_at_watch(const adapter::watch_documents& watch) const;
    /// Answer to a watch whose time is over.
    [[nodiscard]] store_answer end_watch() const;

    void set_faults(const store_faults& ordered) { this->faults = ordered; }
    [[nodiscard]] bool down() const { return this->faults.down; }
    /// Writes a document whose content is any text, as another writer may leave it.
    void write_raw(const std::string& kind, const std::string& name, std::string_view raw_content);
    /// Forgets all changes: a watch that does not know the newest revision must list.
    void compact();
    /// Keeps a copy of all documents, in place of an earlier one.
    void keep_copy() { this->copy = this->contents; }
    /// Goes back to the kept copy, and begins a new era: later changes are lost, and their
    /// revisions are given out again.
    void restore_copy();

    [[nodiscard]] core::revision current() const { return this->contents.latest; }
    /// Rises by one each time that the store has come back from a copy.
    [[nodiscard]] core::store_era era() const { return this->current_era; }
    [[nodiscard]] const platform_counts& counts() const { return this->counted; }

private:
    struct change {
        std::string kind;
        adapter::document_change what;
    };
    using documents = std::map<std::string, adapter::store_document>;
    /// What a copy of the store holds.
    struct stored_contents {
        std::map<std::string, documents, std::less<>> kinds;
        std::deque<change> history;
        /// Changes up to this revision are forgotten.
        core::revision forgotten;
        core::revision latest;
    };

    /// An answer with the text in place of each raw content.
    [[nodiscard]] store_answer answer_with(const std::string& body) const;
    [[nodiscard]] std::optional<store_answer> turn_away(bool is_write, core::time_point now);
    [[nodiscard]] store_reply reply_with(store_answer&& answer);
    [[nodiscard]] store_answer carry_out(const adapter::store_call& call);
    [[nodiscard]] store_answer list(const adapter::list_documents& call) const;
    [[nodiscard]] store_answer get(const adapter::get_document& call) const;
    [[nodiscard]] store_answer create(const adapter::create_document& call);
    [[nodiscard]] store_answer replace(const adapter::replace_document& call);
    [[nodiscard]] store_answer report(const adapter::report_status& call);
    [[nodiscard]] store_answer remove(const adapter::remove_document& call);
    [[nodiscard]] adapter::store_document* find(std::string_view kind, std::string_view name);
    /// Writes a document's next revision down; a removed one is gone after.
    store_answer record(const std::string& kind, adapter::store_document& document, bool removed);

    store_model_settings configured;
    random_source random;
    store_faults faults;
    token_bucket reads;
    token_bucket writes;
    stored_contents contents;
    stored_contents copy;
    core::store_era current_era{1};
    /// Raw contents, by the string that stands for each in its document.
    std::map<std::string, std::string> raw_contents;
    platform_counts counted;
};

} // namespace ragwortcove::standin
