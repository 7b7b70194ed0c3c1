#include "ragwortcove/gateway/part_guard.hpp"

#include "gateway.pb.h"
#include "http_values.hpp"
#include "part_messages.hpp"
#include "ragwortcove/daemon/event_log.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::part_id;
using core::to_text;
using daemon::log_event;

/// Time after which the ends of all connections to a process have been read that broke at once.
static constexpr core::duration first_look_delay = 5ms;
/// Time from a probe that was accepted to the next one: a process may still accept while it ends.
static constexpr core::duration second_probe_delay = 250ms;
static constexpr std::uint32_t max_probes = 2;
/// Time within which a process that runs accepts a connection.
static constexpr core::duration probe_timeout = 100ms;
/// How long a change of an upstream's announcement still tells why a connection was lost.
static constexpr core::duration suspicion_lifetime = 5s;
/// How long the announcement of a process that has ended stays at most.
static constexpr core::duration announcement_lifetime = 10s;
/// Number of processes that are examined at a time.
static constexpr std::size_t max_suspicions = 256;
/// Parts of the requests that waited at one process, beyond which further ones are left out.
static constexpr std::size_t max_parts_of_process = 128;
/// A datagram may be lost, so each change is sent so often, this far apart.
static constexpr std::uint32_t sends_of_news = 3;
static constexpr core::duration news_interval = 80ms;
/// Records in one datagram.
static constexpr int max_records_of_message = 32;
/// Interval at which one other node is sent the records of all parts that are held back.
static constexpr core::duration gossip_interval = 2s;
/// How long a node that starts asks the others, and how often.
static constexpr core::duration query_time = 500ms;
static constexpr core::duration query_interval = 100ms;

part_guard::part_guard(part_guard_dependencies&& dependencies)
    : env(std::move(dependencies)), started_at(this->now())
{
}

part_guard::~part_guard()
{
    for (const auto& [name, each] : this->suspicions)
        this->env.event_loop.cancel(each.timer);
}

core::part_decision part_guard::decide(std::span<const part_id> all,
                                       const std::optional<core::part_trial>& own) const
{
    return this->parts.decide(all, this->now(), own);
}

core::node_name part_guard::owner_of(part_id part) const
{
    return this->env.owner_of("part/" + to_text(part));
}

bool part_guard::owns(part_id part) const
{
    return this->owner_of(part) == this->env.self;
}

bool part_guard::has_evidence(std::span<const part_id> all) const
{
    return std::any_of(all.begin(), all.end(), [this](part_id part) {
        const core::part_record* const known = this->parts.find(part);
        return known != nullptr && !known->ends.empty();
    });
}

std::vector<core::upstream_process> part_guard::recently_ended(std::span<const part_id> all) const
{
    std::vector<core::upstream_process> result;
    for (const part_id part : all) {
        const core::part_record* const known = this->parts.find(part);
        if (known == nullptr)
            continue;
        for (const core::upstream_end& end : known->ends) {
            if (this->now() - end.at < announcement_lifetime)
                result.push_back(end.process);
        }
    }
    return result;
}

// Whether an upstream has ended.

part_guard::suspicion* part_guard::find_suspicion(const core::upstream_name& name)
{
    const auto found = this->suspicions.find(name);
    return found == this->suspicions.end() ? nullptr : &found->second;
}

/// Adds parts that are not listed yet, up to a number that is kept.
static void add_parts(std::vector<part_id>& listed, std::span<const part_id> added)
{
    for (const part_id part : added) {
        const bool is_listed = std::find(listed.begin(), listed.end(), part) != listed.end();
        if (!is_listed && listed.size() < max_parts_of_process)
            listed.push_back(part);
    }
}

void part_guard::on_connection_lost(lost_connection&& lost, fate_handler&& done)
{
    suspicion* known = this->find_suspicion(lost.process.name);
    if (known != nullptr && known->process != lost.process) {
        this->return_trials(*known);
        this->tell_waiting(*known, process_fate::ended);
        this->env.event_loop.cancel(known->timer);
        this->suspicions.erase(lost.process.name);
        known = nullptr;
    }
    const bool is_new = known == nullptr;
    if (is_new && this->suspicions.size() >= max_suspicions) {
        if (lost.trial)
            this->return_trial(*lost.trial, "too many processes are examined");
        this->env.event_loop.post([done = std::move(done)] { done(process_fate::unknown); });
        return;
    }
    suspicion& examined = is_new ? this->suspicions[lost.process.name] : *known;
    const bool is_under_way = examined.timer != 0;
    // The process has gone on since the connections before were lost.
    if (!is_under_way)
        examined.parts.clear();
    examined.process = lost.process;
    examined.address = std::move(lost.address);
    examined.lost_at = this->now();
    add_parts(examined.parts, lost.parts);
    if (lost.trial) {
        examined.trials.push_back(*lost.trial);
        add_parts(examined.tried_parts, lost.parts);
    }
    examined.waiting.push_back(std::move(done));
    if (is_under_way)
        return;
    examined.probes = 0;
    examined.timer = this->env.event_loop.after(
        first_look_delay, [this, name = examined.process.name] { this->examine(name); });
}

bool part_guard::wait_for_fate(std::span<const part_id> all, fate_handler&& done)
{
    for (auto& [name, examined] : this->suspicions) {
        if (examined.waiting.empty())
            continue;
        for (const part_id part : examined.parts) {
            const std::array single{part};
            const bool is_shared = std::find(all.begin(), all.end(), part) != all.end();
            if (!is_shared || !this->has_evidence(single))
                continue;
            examined.waiting.push_back(std::move(done));
            return true;
        }
    }
    return false;
}

// A process that ends takes all its connections along.
void part_guard::examine(const core::upstream_name& name)
{
    suspicion* const examined = this->find_suspicion(name);
    if (examined == nullptr)
        return;
    examined->timer = 0;
    if (this->env.has_connection(name)) {
        ++examined->probes;
        this->conclude_not_ended(*examined, process_fate::running);
        return;
    }
    this->probe(*examined);
}

void part_guard::probe(suspicion& examined)
{
    const core::upstream_name name = examined.process.name;
    const auto report = [this, name](process_fate fate) {
        // The stream that calls this is destroyed with its result.
        this->env.event_loop.post([this, name, fate] { this->on_probe_result(name, fate); });
    };
    ++examined.probes;
    examined.is_probing = true;
    http::tcp_stream_handlers handlers;
    handlers.opened = [report] { report(process_fate::running); };
    handlers.received = [](std::string_view) {};
    handlers.ended = [report](http::stream_end) { report(process_fate::ended); };
    examined.probe =
        http::tcp_stream::connect(this->env.event_loop, examined.address, std::move(handlers));
    if (!examined.probe) {
        report(process_fate::unknown);
        return;
    }
    examined.timer = this->env.event_loop.after(
        probe_timeout, [this, name] { this->on_probe_result(name, process_fate::unknown); });
}

// Only the first result of a probe counts: one that is accepted may be closed at once.
void part_guard::on_probe_result(const core::upstream_name& name, process_fate fate)
{
    suspicion* const examined = this->find_suspicion(name);
    if (examined == nullptr || !std::exchange(examined->is_probing, false))
        return;
    this->env.event_loop.cancel(std::exchange(examined->timer, 0));
    examined->probe.reset();
    if (fate == process_fate::ended)
        this->conclude_ended(name);
    else
        this->conclude_not_ended(*examined, fate);
}

void part_guard::conclude_not_ended(suspicion& examined, process_fate fate)
{
    if (fate == process_fate::running && examined.probes < max_probes) {
        const core::upstream_name name = examined.process.name;
        examined.timer =
            this->env.event_loop.after(second_probe_delay, [this, name] { this->examine(name); });
    }
    else {
        this->return_trials(examined);
    }
    this->tell_waiting(examined, fate);
}

// The process may still turn out to have ended, when its announcement is gone.
void part_guard::return_trials(suspicion& examined)
{
    for (const core::part_trial& each : std::exchange(examined.trials, {}))
        this->return_trial(each, "the upstream is not known to have ended");
}

// A handler may send the request again, and so lose another connection.
void part_guard::tell_waiting(suspicion& examined, process_fate fate)
{
    for (fate_handler& each : std::exchange(examined.waiting, {}))
        this->env.event_loop.post([each = std::move(each), fate] { each(fate); });
}

void part_guard::conclude_ended(const core::upstream_name& name)
{
    const auto found = this->suspicions.find(name);
    suspicion ended = std::move(found->second);
    this->suspicions.erase(found);
    this->env.event_loop.cancel(ended.timer);
    std::vector<part_id> changed =
        this->parts.record_end({ended.process, ended.lost_at, false}, ended.parts, this->now());
    for (const part_id part : this->parts.record_end({ended.process, ended.lost_at, true},
                                                     ended.tried_parts, this->now()))
        changed.push_back(part);
    for (const core::part_trial& each : ended.trials) {
        if (this->parts.record_trial_over(each))
            changed.push_back(each.part);
    }
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    daemon::write_log(log_event::upstream_ended,
                      {{"upstream", name.value},
                       {"started_at", std::to_string(ended.process.started_at)},
                       {"requests", std::to_string(ended.waiting.size())},
                       {"parts", std::to_string(ended.parts.size())}});
    for (const part_id part : changed) {
        // A record may have made room for a later one.
        if (const core::part_record* const known = this->parts.find(part))
            this->log_held_back(*known, this->env.self.value);
    }
    this->spread(changed);
    this->tell_waiting(ended, process_fate::ended);
}

void part_guard::on_sign_of_life(const core::upstream_process& process)
{
    if (this->suspicions.empty())
        return;
    suspicion* const known = this->find_suspicion(process.name);
    if (known == nullptr || known->process != process || known->timer != 0)
        return;
    this->suspicions.erase(process.name);
}

void part_guard::on_process_gone(const core::upstream_name& name)
{
    if (this->find_suspicion(name) != nullptr)
        this->conclude_ended(name);
}

// What is known of parts.

void part_guard::on_response(std::span<const part_id> all)
{
    const std::vector<part_id> cleared = this->parts.record_response(all, this->now());
    for (const part_id part : cleared)
        daemon::write_log(log_event::part_cleared,
                          {{"part", to_text(part)}, {"from", this->env.self.value}});
    this->spread(cleared);
}

void part_guard::log_held_back(const core::part_record& record, std::string_view from) const
{
    if (!core::is_held_back(record))
        return;
    daemon::write_log(log_event::part_held_back,
                      {{"part", to_text(record.part)},
                       {"ends", std::to_string(record.ends.size())},
                       {"upstreams", core::list_upstreams(record)},
                       {"trials", std::to_string(core::count_failed_trials(record))},
                       {"from", from}});
}

void part_guard::on_stored_record(const core::part_record& stored)
{
    static_cast<void>(this->take_record(stored, "the store"));
}

bool part_guard::take_record(const core::part_record& record, std::string_view from)
{
    const core::part_record* const known = this->parts.find(record.part);
    const bool was_held_back = known != nullptr && core::is_held_back(*known);
    if (!this->parts.merge(record, this->now()))
        return false;
    const core::part_record& merged = *this->parts.find(record.part);
    if (core::is_held_back(merged))
        this->log_held_back(merged, from);
    else if (was_held_back)
        daemon::write_log(log_event::part_cleared,
                          {{"part", to_text(record.part)}, {"from", from}});
    return true;
}

// Messages between nodes.

void part_guard::spread(std::span<const part_id> changed)
{
    for (const part_id part : changed)
        this->news[part] = sends_of_news;
    this->send_news();
}

void part_guard::send_news()
{
    if (this->news.empty())
        return;
    this->next_news_at = this->now() + news_interval;
    wire::PeerDatagram message;
    wire::PartRecords* body = message.mutable_part_records();
    for (auto& [part, sends_left] : this->news) {
        --sends_left;
        const core::part_record* const known = this->parts.find(part);
        if (known == nullptr)
            continue;
        write_part_record(*known, this->now(), *body->add_records());
        if (body->records_size() < max_records_of_message)
            continue;
        this->env.send_to_all(message);
        body->clear_records();
    }
    if (body->records_size() > 0)
        this->env.send_to_all(message);
    std::erase_if(this->news, [](const auto& each) { return each.second == 0; });
}

void part_guard::receive_message(const core::node_name& from, const wire::PeerDatagram& message)
{
    switch (message.body_case()) {
    case wire::PeerDatagram::kPartRecords:
        this->on_records(from, message.part_records());
        return;
    case wire::PeerDatagram::kPartTrialAsk:
        this->on_trial_ask(from, message.part_trial_ask());
        return;
    case wire::PeerDatagram::kPartTrialAnswer:
        this->on_trial_answer(from, message.part_trial_answer());
        return;
    default:
        return;
    }
}

void part_guard::on_records(const core::node_name& from, const wire::PartRecords& message)
{
    wire::PeerDatagram reply;
    wire::PartRecords& body = *reply.mutable_part_records();
    std::vector<part_id> corrected;
    std::size_t unreadable = 0;
    for (const wire::PartRecord& each : message.records()) {
        const std::optional<core::part_record> record = read_part_record(each, this->now());
        if (!record) {
            ++unreadable;
            continue;
        }
        const core::part_record* const known = this->parts.find(record->part);
        // Its sender holds a part back that has been cleared since.
        if (known != nullptr && known->generation > record->generation &&
            core::is_held_back(*record))
            write_part_record(*known, this->now(), *body.add_records());
        const bool was_held_back = known != nullptr && core::is_held_back(*known);
        const bool is_news = this->take_record(*record, from.value);
        if (is_news && message.corrects() && was_held_back)
            corrected.push_back(record->part);
    }
    if (unreadable > 0)
        daemon::write_log(log_event::peer_message_unreadable,
                          {{"bytes", std::to_string(message.ByteSizeLong())}});
    this->informed = this->informed || message.holds_all();
    // Other nodes have heard from this one that the parts were to be held back.
    this->spread(corrected);
    body.set_corrects(true);
    if (body.records_size() > 0)
        this->env.send(from, reply);
    if (message.wants_all() && this->is_informed())
        this->send_held_back(from);
}

// The last message says that the receiver has them all.
void part_guard::send_held_back(const core::node_name& to)
{
    wire::PeerDatagram message;
    wire::PartRecords& body = *message.mutable_part_records();
    for (const core::part_record& record : this->parts.held_back()) {
        if (body.records_size() == max_records_of_message) {
            this->env.send(to, message);
            body.clear_records();
        }
        write_part_record(record, this->now(), *body.add_records());
    }
    body.set_holds_all(true);
    this->env.send(to, message);
}

bool part_guard::is_informed() const
{
    return this->informed || this->now() - this->started_at >= query_time;
}

void part_guard::tick()
{
    const core::time_point at = this->now();
    this->parts.tick(at);
    std::erase_if(this->suspicions, [at](const auto& each) {
        return each.second.timer == 0 && at - each.second.lost_at > suspicion_lifetime;
    });
    if (at >= this->next_news_at)
        this->send_news();
    this->retry_trial_requests();
    if (!this->is_informed() && at >= this->next_query_at) {
        this->next_query_at = at + query_interval;
        wire::PeerDatagram message;
        message.mutable_part_records()->set_wants_all(true);
        this->env.send_to_all(message);
    }
    if (at < this->next_gossip_at)
        return;
    this->next_gossip_at = at + gossip_interval;
    const core::node_name other = this->env.random_other_node();
    if (!other.empty() && !this->parts.held_back().empty())
        this->send_held_back(other);
}

} // namespace ragwortcove::gateway
