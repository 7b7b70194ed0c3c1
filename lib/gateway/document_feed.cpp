#include "ragwortcove/gateway/document_feed.hpp"

#include "call_responses.hpp"
#include "ragwortcove/daemon/event_log.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using daemon::log_event;

/// Longest time that the store holds one watch open.
static constexpr std::chrono::milliseconds max_watch_wait{8000};
/// Time within which a sound store answers, and the longest wait for a list.
static constexpr core::duration list_response_time = 1500ms;
static constexpr std::chrono::milliseconds max_list_wait{12000};
/// Minimum time from the start of one watch to the start of the next.
static constexpr core::duration min_watch_interval = 100ms;
/// Base of the delay after a failed call: exponential backoff with full jitter.
static constexpr core::duration retry_base_delay = 100ms;
static constexpr core::duration max_retry_delay = 1s;
static constexpr core::duration min_retry_delay = 10ms;
static constexpr std::uint32_t max_counted_failures = 6;
/// Status from which on a response tells of a fault of the store.
static constexpr int first_server_error = 500;
/// Interval at which a kind is listed again that the store does not know.
static constexpr core::duration unknown_kind_interval = 2s;

document_feed::document_feed(http::loop& loop, adapter::store_client& client, std::uint64_t seed,
                             document_feed_handlers&& given)
    : event_loop(loop), store(client), random(seed), handlers(std::move(given))
{
    for (std::size_t index = 0; index < this->kinds.size(); ++index) {
        this->kinds[index].kind = static_cast<adapter::document_kind>(index);
        this->kinds[index].documents = document_set(this->kinds[index].kind);
        this->list_store(this->kinds[index]);
    }
}

document_feed::~document_feed() = default;

document_feed::kind_state& document_feed::state_of(adapter::document_kind kind)
{
    return this->kinds[static_cast<std::size_t>(kind)];
}

const document_feed::kind_state& document_feed::state_of(adapter::document_kind kind) const
{
    return this->kinds[static_cast<std::size_t>(kind)];
}

document_feed::era_relation document_feed::compare_era(kind_state& state, core::store_era& era,
                                                       core::duration sent_at)
{
    const core::store_era in_force = state.documents.position().era;
    if (era == core::store_era{})
        era = in_force;
    if (era == in_force)
        return era_relation::current;
    if (era > in_force) {
        state.era_since = this->event_loop.now();
        return era_relation::later;
    }
    if (sent_at < state.era_since) {
        daemon::write_log(log_event::store_response_outdated,
                          {{"documents", to_text(state.kind)},
                           {"era", std::to_string(era.value)},
                           {"era_in_force", std::to_string(in_force.value)}});
        return era_relation::outdated;
    }
    // The store does not count its eras as it should. What it gives now is newer all the same.
    if (state.lower_era != era) {
        state.lower_era = era;
        daemon::write_log(
            log_event::store_era_invalid,
            {{"era", std::to_string(era.value)}, {"era_in_force", std::to_string(in_force.value)}});
    }
    era = in_force;
    return era_relation::current;
}

/// Whether an error says that there is no document of a kind. Without the other kinds, a node could
/// not serve.
static bool is_kind_unknown(adapter::document_kind kind, const adapter::store_error& error)
{
    return kind == adapter::document_kind::domain_drains &&
           error.failure == adapter::store_failure::missing;
}

// A store may be slower than it should be. Whoever gives a call up each time and makes it anew
// never gets a response, and a node that starts cannot serve.
void document_feed::list_store(kind_state& state)
{
    state.polling = true;
    const std::uint64_t number = ++state.lists.latest;
    const core::duration sent_at = this->event_loop.now();
    state.progress = {};
    this->store.list(
        state.kind,
        [this, &state, number, sent_at](const adapter::document_list* all,
                                        const adapter::store_error& error) {
            if (all != nullptr)
                this->on_list(state, number, *all, sent_at);
            else
                this->on_no_list(state, number, error, sent_at);
        },
        max_list_wait,
        [this, &state, number](const adapter::list_progress& progress) {
            this->on_page(state, number, progress);
        });
    this->expect_page(state, number, sent_at);
}

// Calls that repeat a list whose pages arrive would only slow a slow store down.
void document_feed::expect_page(kind_state& state, std::uint64_t number, core::duration heard_at)
{
    const core::duration left = heard_at + list_response_time - this->event_loop.now();
    this->event_loop.after(std::max(left, core::duration{0}), [this, &state, number, heard_at] {
        const bool is_latest = number == state.lists.latest;
        if (is_latest && state.page_read_at > heard_at) {
            this->expect_page(state, number, state.page_read_at);
            return;
        }
        adapter::store_error late;
        late.is_silent = true;
        this->on_no_list(state, number, late, heard_at);
    });
}

void document_feed::on_page(kind_state& state, std::uint64_t number,
                            const adapter::list_progress& progress)
{
    if (this->handlers.page_read)
        this->handlers.page_read(state.kind);
    if (number != state.lists.latest)
        return;
    state.progress = progress;
    state.page_read_at = this->event_loop.now();
}

void document_feed::on_list(kind_state& state, std::uint64_t number,
                            const adapter::document_list& all, core::duration sent_at)
{
    if (number <= state.lists.obsolete_upto)
        return;
    state.lists.obsolete_upto = state.lists.latest;
    this->note_store_available(state);
    state.is_unknown = false;
    state.is_partial = false;
    if (this->take_store_list(state, all, sent_at, true))
        this->continue_watching(state);
    else
        this->list_store(state);
}

void document_feed::on_no_list(kind_state& state, std::uint64_t number,
                               const adapter::store_error& error, core::duration sent_at)
{
    if (number <= state.lists.obsolete_upto)
        return;
    if (error.part != nullptr) {
        state.lists.obsolete_upto = state.lists.latest;
        this->on_list_stuck(state, *error.part, sent_at);
        return;
    }
    const bool is_repeated = number != state.lists.latest || number == state.lists.failed;
    if (is_repeated)
        return;
    state.lists.failed = number;
    if (is_kind_unknown(state.kind, error))
        this->on_kind_unknown(state);
    else
        this->on_list_failed(state, error, sent_at);
}

void document_feed::restart_reading(kind_state& state)
{
    if (state.watch_call != 0) {
        this->store.cancel(std::exchange(state.watch_call, 0));
        state.polling = false;
    }
    if (!state.polling)
        this->list_store(state);
}

static void log_left_out(adapter::document_kind kind, std::size_t count, core::store_position at)
{
    if (count == 0)
        return;
    daemon::write_log(log_event::documents_left_out,
                      {{"documents", to_text(kind)},
                       {"count", std::to_string(count)},
                       {"revision", std::to_string(at.revision.value)}});
}

bool document_feed::take_store_list(kind_state& state, const adapter::document_list& all,
                                    core::duration sent_at, bool announces)
{
    adapter::document_list taken = all;
    if (this->compare_era(state, taken.era, sent_at) == era_relation::outdated)
        return false;
    for (adapter::store_document& document : taken.documents)
        document.era = taken.era;
    log_left_out(state.kind, taken.unreadable, taken.position());
    state.read_upto = std::max(state.read_upto, taken.position());
    this->apply_list(state, std::move(taken), announces);
    return true;
}

void document_feed::apply_list(kind_state& state, adapter::document_list&& all, bool announces)
{
    const core::revision before = state.documents.position().revision;
    const bool was_loaded = state.documents.is_loaded();
    const core::time_point now{this->event_loop.now()};
    const list_result result = state.documents.apply_list(all, now);
    if (result.begins_era)
        this->on_era_began(state, result);
    if (result.update)
        this->handlers.updated(*result.update);
    // The first list is not announced: every node lists the store when it starts, so the others
    // have their own.
    if (result.update && announces && was_loaded)
        this->handlers.announce({state.kind, before, result.changes});
    this->schedule_settling(state);
}

static std::string join(const std::vector<std::string>& names)
{
    constexpr std::size_t max_names = 20;
    std::string text;
    for (std::size_t at = 0; at < std::min(names.size(), max_names); ++at)
        text += (at == 0 ? "" : ",") + names[at];
    return text;
}

void document_feed::on_era_began(kind_state& state, const list_result& result)
{
    const core::store_position position = state.documents.position();
    daemon::write_log(log_event::store_era_began,
                      {{"documents", to_text(state.kind)},
                       {"era", std::to_string(position.era.value)},
                       {"revision", std::to_string(position.revision.value)},
                       {"kept", std::to_string(result.kept.size())},
                       {"names", join(result.kept)}});
    this->handlers.era_began();
    this->on_store_era(position.era);
}

// What the store has lost of the other kinds shows only in lists.
void document_feed::on_store_era(core::store_era era)
{
    for (kind_state& each : this->kinds) {
        if (each.documents.is_loaded() && each.documents.position().era < era)
            this->restart_reading(each);
    }
}

void document_feed::schedule_settling(kind_state& state)
{
    const std::optional<core::time_point> settles_at = state.documents.settles_at();
    if (!settles_at || state.settling)
        return;
    state.settling = true;
    const core::duration left = settles_at->time_since_epoch() - this->event_loop.now();
    const core::duration spread =
        core::full_jitter(this->random, retry_base_delay, 0, max_retry_delay);
    this->event_loop.after(std::max(core::duration{0}, left) + spread, [this, &state] {
        state.settling = false;
        this->restart_reading(state);
    });
}

// Readers are the nodes that watch the store and send its changes to the others. No other node
// opens a watch.
void document_feed::continue_watching(kind_state& state)
{
    state.polling = this->watches(state);
    if (!state.polling)
        return;
    const core::duration elapsed = this->event_loop.now() - state.watch_opened_at;
    if (elapsed >= min_watch_interval) {
        this->watch_store(state);
        return;
    }
    // After many changes in a row, for example when all upstreams start, a short pause collects
    // them in one response.
    this->event_loop.after(min_watch_interval - elapsed, [this, &state] {
        state.polling = this->watches(state);
        if (state.polling)
            this->watch_store(state);
    });
}

void document_feed::watch_store(kind_state& state)
{
    state.watch_opened_at = this->event_loop.now();
    state.watch_call = this->store.watch(
        state.kind, state.read_upto.revision, max_watch_wait,
        [this, &state, sent_at = state.watch_opened_at](const adapter::document_changes* changes,
                                                        const adapter::store_error& error) {
            state.watch_call = 0;
            if (changes == nullptr) {
                this->on_watch_failed(state, error, sent_at);
                return;
            }
            this->note_store_available(state);
            if (this->take_store_changes(state, *changes, sent_at))
                this->continue_watching(state);
            else
                this->list_store(state);
        });
}

// Changes of a later era follow a revision of that era, which is not the one that was asked for.
bool document_feed::take_store_changes(kind_state& state, const adapter::document_changes& changes,
                                       core::duration sent_at)
{
    adapter::document_changes taken = changes;
    if (this->compare_era(state, taken.era, sent_at) != era_relation::current)
        return false;
    for (adapter::document_change& change : taken.changes)
        change.document.era = taken.era;
    log_left_out(state.kind, taken.unreadable, taken.position());
    state.read_upto = std::max(state.read_upto, taken.position());
    const core::revision before = state.documents.position().revision;
    const core::time_point now{this->event_loop.now()};
    if (const std::optional<document_update> update = state.documents.apply_changes(taken, now)) {
        this->handlers.updated(*update);
        // Others would take the changes for all after a position that this node does not know
        // whole.
        if (!state.is_partial)
            this->handlers.announce({state.kind, before, taken});
    }
    return true;
}

void document_feed::set_reading(bool reads)
{
    if (reads == this->reading)
        return;
    this->reading = reads;
    const auto revision_text = [this](adapter::document_kind kind) {
        return std::to_string(this->revision_of(kind).value);
    };
    daemon::write_log(log_event::reading_changed,
                      {{"reads", reads ? "true" : "false"},
                       {"rules_revision", revision_text(adapter::document_kind::rules)},
                       {"upstreams_revision", revision_text(adapter::document_kind::upstreams)},
                       {"rollouts_revision", revision_text(adapter::document_kind::rollouts)}});
    for (kind_state& each : this->kinds) {
        if (reads && !each.polling)
            this->list_store(each);
        if (!this->watches(each) && each.watch_call != 0) {
            this->store.cancel(std::exchange(each.watch_call, 0));
            each.polling = false;
        }
    }
}

// One call tells how far the store is, whatever kind it is for. The other kinds are read only when
// this node has not read them so far.
void document_feed::audit()
{
    kind_state& first = this->state_of(adapter::document_kind::rules);
    this->audit_kind(first, [this](core::store_position upto) {
        for (kind_state& each : this->kinds) {
            if (!each.is_unknown && each.read_upto < upto)
                this->audit_kind(each, [](core::store_position) {});
        }
    });
}

void document_feed::audit_kind(kind_state& state,
                               std::function<void(core::store_position upto)>&& done)
{
    const bool is_up_to_date = state.documents.is_loaded() && !state.catching_up;
    if (!is_up_to_date)
        return;
    const core::store_position from = std::max(state.read_upto, state.documents.position());
    this->store.watch(state.kind, from.revision, 0ms,
                      [this, &state, sent_at = this->event_loop.now(),
                       done = std::move(done)](const adapter::document_changes* changes,
                                               const adapter::store_error& error) {
                          if (changes == nullptr) {
                              this->on_audit_failed(state, error, sent_at);
                              return;
                          }
                          this->note_store_available(state);
                          if (this->take_store_changes(state, *changes, sent_at))
                              done(state.read_upto);
                          else
                              this->restart_reading(state);
                      });
}

// One call may fail while the store is there, so a node that does not watch asks again.
void document_feed::on_audit_failed(kind_state& state, const adapter::store_error& error,
                                    core::duration sent_at)
{
    this->note_store_failure(state, error, sent_at);
    const bool is_later = error.era > state.documents.position().era;
    const bool history_expired = error.failure == adapter::store_failure::history_expired;
    if (is_later || (history_expired && !state.polling)) {
        this->restart_reading(state);
        return;
    }
    if (state.polling || history_expired || state.audit_scheduled)
        return;
    state.audit_scheduled = true;
    this->event_loop.after(this->next_retry_delay(state), [this, &state] {
        state.audit_scheduled = false;
        if (!state.polling)
            this->audit_kind(state, [](core::store_position) {});
    });
}

/// How a call to the store has failed.
static std::string_view describe_failure(const adapter::store_error& error)
{
    constexpr int status_ok = 200;
    if (error.failure == adapter::store_failure::list_stuck)
        return "list without an end";
    if (error.failure == adapter::store_failure::list_too_long)
        return "too many documents";
    if (error.status == status_ok)
        return "unreadable response";
    if (error.status != 0)
        return "refused";
    return error.is_silent ? "no answer in time" : "no connection";
}

void document_feed::note_store_failure(kind_state& state, const adapter::store_error& error,
                                       core::duration sent_at)
{
    if (adapter::is_answered(error))
        this->note_store_answer();
    if (error.failure == adapter::store_failure::history_expired)
        return;
    if (state.store_available) {
        state.store_available = false;
        daemon::write_log(
            log_event::platform_lost,
            {{"documents", to_text(state.kind)},
             {"status", std::to_string(error.status)},
             {"reason", describe_failure(error)},
             {"after_ms", to_ms_text(this->event_loop.now() - sent_at)},
             {"pages", std::to_string(state.progress.pages)},
             {"page_after", shorten_name(state.progress.after)},
             {"revision", std::to_string(state.documents.position().revision.value)}});
    }
    const core::time_point now{this->event_loop.now()};
    if (!adapter::is_answered(error) && this->contact.on_no_answer(core::time_point{sent_at}, now))
        this->handlers.outage_observed(false);
}

core::duration document_feed::next_retry_delay(kind_state& state)
{
    const core::duration delay =
        min_retry_delay +
        core::full_jitter(this->random, retry_base_delay, state.failures, max_retry_delay);
    state.failures = std::min(state.failures + 1, max_counted_failures);
    return delay;
}

void document_feed::list_later(kind_state& state, core::duration delay)
{
    this->event_loop.after(delay, [this, &state, before = state.lists] {
        // A list has been read meanwhile, or another one is on its way.
        if (state.lists != before)
            return;
        state.polling = this->watches(state) || !state.documents.is_loaded();
        if (state.polling)
            this->list_store(state);
    });
}

// What is known already stays in force: the store states no position for what it does not know.
void document_feed::on_kind_unknown(kind_state& state)
{
    this->note_store_available(state);
    state.is_unknown = true;
    if (!state.documents.is_loaded())
        this->apply_list(state, {}, false);
    this->list_later(state, unknown_kind_interval);
}

void document_feed::on_list_failed(kind_state& state, const adapter::store_error& error,
                                   core::duration sent_at)
{
    this->note_store_failure(state, error, sent_at);
    if (error.failure == adapter::store_failure::history_expired)
        this->list_store(state);
    else
        this->list_later(state, this->next_retry_delay(state));
}

// The store should have answered a watch at the end of its wait, and may refuse it before. A store
// that is silent for long has the connection end. A watch that ends otherwise says nothing of the
// store. In each case the documents are listed again, which also returns the changes that the
// watch missed.
void document_feed::on_watch_failed(kind_state& state, const adapter::store_error& error,
                                    core::duration sent_at)
{
    const core::duration now = this->event_loop.now();
    const bool is_refused = error.failure != adapter::store_failure::unreachable;
    const bool is_server_error = error.status >= first_server_error;
    if (is_refused || is_server_error) {
        this->on_list_failed(state, error, now);
        return;
    }
    const core::duration waited = now - sent_at;
    if (error.is_silent)
        this->on_list_failed(state, error, now - core::store_contact::min_outage);
    else
        this->on_watch_cut(state, waited);
}

void document_feed::on_watch_cut(kind_state& state, core::duration waited)
{
    daemon::write_log(log_event::watch_cut,
                      {{"documents", to_text(state.kind)},
                       {"waited_ms", to_ms_text(waited)},
                       {"revision", std::to_string(state.read_upto.revision.value)}});
    this->list_later(state, min_retry_delay + core::full_jitter(this->random, retry_base_delay, 0,
                                                                max_retry_delay));
}

void document_feed::note_store_answer()
{
    if (this->contact.on_answer(core::time_point{this->event_loop.now()}))
        this->handlers.outage_observed(true);
}

void document_feed::note_store_available(kind_state& state)
{
    this->note_store_answer();
    state.failures = 0;
    if (state.store_available)
        return;
    state.store_available = true;
    daemon::write_log(log_event::platform_regained,
                      {{"documents", to_text(state.kind)},
                       {"revision", std::to_string(state.documents.position().revision.value)}});
}

adapter::document_list document_feed::all_documents(adapter::document_kind kind) const
{
    return this->state_of(kind).documents.all();
}

core::revision document_feed::revision_of(adapter::document_kind kind) const
{
    return this->position_of(kind).revision;
}

core::store_position document_feed::position_of(adapter::document_kind kind) const
{
    return this->state_of(kind).documents.position();
}

bool document_feed::is_complete() const
{
    return this->missing_kinds().empty();
}

std::vector<adapter::document_kind> document_feed::missing_kinds() const
{
    std::vector<adapter::document_kind> missing;
    for (const kind_state& each : this->kinds) {
        if (!each.documents.is_loaded())
            missing.push_back(each.kind);
    }
    return missing;
}

const adapter::list_progress& document_feed::list_progress_of(adapter::document_kind kind) const
{
    return this->state_of(kind).progress;
}

bool document_feed::is_healthy_reader() const
{
    const bool is_whole = std::ranges::all_of(
        this->kinds, [this](const kind_state& each) { return this->has_whole(each.kind); });
    return this->reading && is_whole && this->is_store_available();
}

bool document_feed::is_store_available() const
{
    return std::all_of(this->kinds.begin(), this->kinds.end(),
                       [](const kind_state& each) { return each.store_available; });
}

} // namespace ragwortcove::gateway
