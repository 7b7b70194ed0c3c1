#include "call_responses.hpp"
#include "platform/store_call.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/document_feed.hpp"

#include <algorithm>
#include <utility>

// What a document feed makes of a list that cannot be read to its end.

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using daemon::log_event;

/// Interval at which a kind is listed again whose list is incomplete.
static constexpr core::duration incomplete_list_interval = 5s;
/// Longest wait for the one document of rules.
static constexpr std::chrono::milliseconds max_rules_wait{12000};

void document_feed::on_list_stuck(kind_state& state, const adapter::document_list& part,
                                  core::duration sent_at)
{
    const bool has_rules = std::ranges::any_of(part.documents, [](const auto& each) {
        return each.name == adapter::rules_document_name();
    });
    if (state.kind != adapter::document_kind::rules || has_rules) {
        this->take_list_part(state, part, sent_at);
        return;
    }
    const adapter::get_document wanted{std::string(adapter::store_name(state.kind)),
                                       std::string(adapter::rules_document_name())};
    this->store.send(
        wanted,
        [this, &state, part, sent_at](const adapter::store_document* found,
                                      const adapter::store_error& error) {
            const bool is_missing = error.failure == adapter::store_failure::missing;
            if (found == nullptr && !is_missing) {
                this->on_list_failed(state, error, sent_at);
                return;
            }
            adapter::document_list extended = part;
            if (found != nullptr)
                extended.documents.push_back(*found);
            this->take_list_part(state, extended, sent_at);
        },
        max_rules_wait);
}

// A node that waited for the whole list would not serve, and not watch either. The watch follows
// the list's position, so it brings all later changes, also those of documents that are not known
// yet.
void document_feed::take_list_part(kind_state& state, const adapter::document_list& part,
                                   core::duration sent_at)
{
    this->note_store_answer();
    state.is_partial = true;
    daemon::write_log(log_event::documents_incomplete,
                      {{"documents", to_text(state.kind)},
                       {"count", std::to_string(part.documents.size())},
                       {"pages", std::to_string(state.progress.pages)},
                       {"page_after", shorten_name(state.progress.after)}});
    bool is_taken = true;
    if (state.documents.is_loaded()) {
        adapter::document_changes listed;
        listed.upto = part.at;
        listed.era = part.era;
        listed.unreadable = part.unreadable;
        for (const adapter::store_document& document : part.documents)
            listed.changes.push_back({document, false});
        is_taken = this->take_store_changes(state, listed, sent_at);
    }
    else {
        is_taken = this->take_store_list(state, part, sent_at, false);
    }
    if (!is_taken) {
        this->list_later(state, this->next_retry_delay(state));
        return;
    }
    this->note_store_available(state);
    this->continue_watching(state);
    this->schedule_completion(state);
}

void document_feed::schedule_completion(kind_state& state)
{
    if (std::exchange(state.completion_scheduled, true))
        return;
    this->event_loop.after(incomplete_list_interval, [this, &state] {
        state.completion_scheduled = false;
        if (!state.is_partial)
            return;
        // A list is on its way, or a watch about to begin.
        if (state.polling && state.watch_call == 0)
            this->schedule_completion(state);
        else
            this->restart_reading(state);
    });
}

bool document_feed::watches(const kind_state& state) const
{
    return this->reading || state.is_partial;
}

bool document_feed::has_whole(adapter::document_kind kind) const
{
    const kind_state& state = this->state_of(kind);
    return state.documents.is_loaded() && !state.is_partial;
}

} // namespace ragwortcove::gateway
