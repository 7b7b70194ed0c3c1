#include "ragwortcove/standin/store_model.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ragwortcove::standin {

using core::duration;
using core::revision;
using core::time_point;

static constexpr int status_ok = 200;
static constexpr int status_not_found = 404;
static constexpr int status_conflict = 409;
static constexpr int status_gone = 410;
static constexpr int status_too_many = 429;
/// Start of the string that stands for a raw content in its document.
static constexpr std::string_view raw_prefix = "raw-content-";

store_model::store_model(const store_model_settings& settings, std::uint64_t seed)
    : configured(settings), random(seed), reads(settings.reads_per_second),
      writes(settings.writes_per_second)
{
}

static bool writes_something(const adapter::store_call& call)
{
    return !std::holds_alternative<adapter::list_documents>(call) &&
           !std::holds_alternative<adapter::get_document>(call) &&
           !std::holds_alternative<adapter::watch_documents>(call);
}

/// A call that may be answered from an older state does not count toward the rate.
static bool is_free(const adapter::store_call& call)
{
    if (const auto* list = std::get_if<adapter::list_documents>(&call))
        return list->may_be_stale;
    const auto* get = std::get_if<adapter::get_document>(&call);
    return get != nullptr && get->may_be_stale;
}

std::optional<store_answer> store_model::turn_away(bool is_write, time_point now)
{
    if (this->random.chance(this->faults.refused_rate))
        return store_answer{this->faults.refusal_status, "", std::nullopt};
    token_bucket& bucket = is_write ? this->writes : this->reads;
    if (const std::optional<duration> wait = bucket.take_or_wait(now)) {
        ++this->counted.throttled;
        return store_answer{status_too_many, "", wait};
    }
    return std::nullopt;
}

store_reply store_model::reply_with(store_answer&& answer)
{
    const double slowed =
        static_cast<double>(this->configured.answer_time.count()) * this->faults.slow_factor;
    store_reply reply{std::move(answer), duration{std::llround(slowed)}};
    if (this->random.chance(this->faults.lost_answer_rate))
        reply.answer.reset();
    return reply;
}

store_reply store_model::call(const adapter::store_call& call, time_point now)
{
    if (this->faults.down)
        return {};
    const bool is_write = writes_something(call);
    if (!is_free(call)) {
        if (std::optional<store_answer> refusal = this->turn_away(is_write, now))
            return this->reply_with(std::move(*refusal));
    }
    ++(is_write ? this->counted.writes : this->counted.reads);
    return this->reply_with(this->carry_out(call));
}

store_answer store_model::carry_out(const adapter::store_call& call)
{
    struct worker {
        store_model& self;
        store_answer operator()(const adapter::list_documents& each) const
        {
            return this->self.list(each);
        }
        store_answer operator()(const adapter::watch_documents& each) const
        {
            return this->self.look_at_watch(each).value_or(this->self.end_watch());
        }
        store_answer operator()(const adapter::get_document& each) const
        {
            return this->self.get(each);
        }
        store_answer operator()(const adapter::create_document& each) const
        {
            return this->self.create(each);
        }
        store_answer operator()(const adapter::replace_document& each) const
        {
            return this->self.replace(each);
        }
        store_answer operator()(const adapter::report_status& each) const
        {
            return this->self.report(each);
        }
        store_answer operator()(const adapter::remove_document& each) const
        {
            return this->self.remove(each);
        }
    };
    return std::visit(worker{*this}, call);
}

store_answer store_model::list(const adapter::list_documents& call) const
{
    adapter::document_list part;
    part.at = this->contents.latest;
    bool goes_on = false;
    const auto found = this->contents.kinds.find(call.kind);
    if (found != this->contents.kinds.end()) {
        for (auto at = found->second.upper_bound(call.after); at != found->second.end(); ++at) {
            goes_on = part.documents.size() == this->configured.page_size;
            if (goes_on)
                break;
            part.documents.push_back(at->second);
        }
    }
    return this->answer_with(adapter::write_page(part, goes_on));
}

adapter::store_document* store_model::find(std::string_view kind, std::string_view name)
{
    const auto of_kind = this->contents.kinds.find(kind);
    if (of_kind == this->contents.kinds.end())
        return nullptr;
    const auto found = of_kind->second.find(std::string(name));
    return found == of_kind->second.end() ? nullptr : &found->second;
}

static store_answer missing()
{
    return {status_not_found, "", std::nullopt};
}

static store_answer conflict(const adapter::store_document& current)
{
    return {status_conflict, adapter::write_document(current), std::nullopt};
}

static bool condition_fails(const std::optional<revision>& expected,
                            const adapter::store_document& current)
{
    return expected && *expected != current.at;
}

store_answer store_model::get(const adapter::get_document& call) const
{
    const auto of_kind = this->contents.kinds.find(call.kind);
    if (of_kind == this->contents.kinds.end())
        return missing();
    const auto found = of_kind->second.find(call.name);
    if (found == of_kind->second.end())
        return missing();
    return this->answer_with(adapter::write_document(found->second));
}

store_answer store_model::record(const std::string& kind, adapter::store_document& document,
                                 bool removed)
{
    ++this->contents.latest.value;
    document.at = this->contents.latest;
    store_answer made{status_ok, adapter::write_document(document), std::nullopt};
    this->contents.history.push_back({kind, {document, removed}});
    while (this->contents.history.size() > this->configured.history_limit) {
        this->contents.forgotten = this->contents.history.front().what.document.at;
        this->contents.history.pop_front();
    }
    if (removed)
        this->contents.kinds[kind].erase(std::string(document.name));
    return made;
}

store_answer store_model::create(const adapter::create_document& call)
{
    if (const adapter::store_document* known = this->find(call.kind, call.document.name))
        return conflict(*known);
    adapter::store_document& made = this->contents.kinds[call.kind][call.document.name];
    made.name = call.document.name;
    made.content = call.document.content;
    made.finalizers = call.document.finalizers;
    made.created = revision{this->contents.latest.value + 1};
    return this->record(call.kind, made, false);
}

store_answer store_model::replace(const adapter::replace_document& call)
{
    adapter::store_document* const known = this->find(call.kind, call.document.name);
    if (known == nullptr)
        return missing();
    if (condition_fails(call.expected, *known))
        return conflict(*known);
    const bool lets_go = known->deleting && call.document.finalizers.empty();
    const bool same =
        known->content == call.document.content && known->finalizers == call.document.finalizers;
    if (same && !lets_go)
        return {status_ok, adapter::write_document(*known), std::nullopt};
    known->content = call.document.content;
    known->finalizers = call.document.finalizers;
    return this->record(call.kind, *known, lets_go);
}

store_answer store_model::report(const adapter::report_status& call)
{
    adapter::store_document* const known = this->find(call.kind, call.name);
    if (known == nullptr)
        return missing();
    if (condition_fails(call.expected, *known))
        return conflict(*known);
    if (known->status == call.status)
        return {status_ok, adapter::write_document(*known), std::nullopt};
    known->status = call.status;
    return this->record(call.kind, *known, false);
}

store_answer store_model::remove(const adapter::remove_document& call)
{
    adapter::store_document* const known = this->find(call.kind, call.name);
    if (known == nullptr)
        return missing();
    if (condition_fails(call.expected, *known))
        return conflict(*known);
    if (known->finalizers.empty())
        return this->record(call.kind, *known, true);
    if (known->deleting)
        return {status_ok, adapter::write_document(*known), std::nullopt};
    known->deleting = true;
    return this->record(call.kind, *known, false);
}

std::optional<store_reply> store_model::begin_watch(const adapter::watch_documents& watch,
                                                    time_point now)
{
    if (this->faults.down)
        return store_reply{};
    if (std::optional<store_answer> refusal = this->turn_away(false, now))
        return this->reply_with(std::move(*refusal));
    ++this->counted.watches;
    std::optional<store_answer> answer = this->look_at_watch(watch);
    if (!answer)
        return std::nullopt;
    return this->reply_with(std::move(*answer));
}

std::optional<store_answer> store_model::look_at_watch(const adapter::watch_documents& watch) const
{
    if (watch.after < this->contents.forgotten || watch.after > this->contents.latest)
        return store_answer{status_gone, "", std::nullopt};
    adapter::document_changes changes;
    changes.upto = this->contents.latest;
    for (const change& each : this->contents.history) {
        if (each.kind == watch.kind && each.what.document.at > watch.after)
            changes.changes.push_back(each.what);
    }
    if (changes.changes.empty())
        return std::nullopt;
    return this->answer_with(adapter::write_changes(changes));
}

store_answer store_model::end_watch() const
{
    adapter::document_changes none;
    none.upto = this->contents.latest;
    return {status_ok, adapter::write_changes(none), std::nullopt};
}

void store_model::write_raw(const std::string& kind, const std::string& name,
                            std::string_view raw_content)
{
    const std::string stand_in =
        std::string(raw_prefix) + std::to_string(this->raw_contents.size());
    this->raw_contents[stand_in] = raw_content;
    adapter::store_document& written = this->contents.kinds[kind][name];
    written.name = name;
    written.content = stand_in;
    static_cast<void>(this->record(kind, written, false));
}

store_answer store_model::answer_with(const std::string& body) const
{
    const std::string start = "\"" + std::string(raw_prefix);
    std::string text;
    std::size_t copied = 0;
    for (std::size_t at = body.find(start); at != std::string::npos;
         at = body.find(start, copied)) {
        const std::size_t end = body.find('"', at + start.size());
        const auto raw = this->raw_contents.find(body.substr(at + 1, end - at - 1));
        text.append(body, copied, at - copied);
        copied = end + 1;
        text += raw == this->raw_contents.end() ? body.substr(at, copied - at) : raw->second;
    }
    text.append(body, copied);
    return {status_ok, std::move(text), std::nullopt};
}

void store_model::compact()
{
    this->contents.history.clear();
    this->contents.forgotten = this->contents.latest;
}

void store_model::restore_copy()
{
    this->contents = this->copy;
    ++this->current_era.value;
}

} // namespace ragwortcove::standin
