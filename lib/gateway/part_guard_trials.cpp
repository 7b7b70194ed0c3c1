#include "gateway.pb.h"
#include "part_messages.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/gateway/part_guard.hpp"

#include <array>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// How a guard of parts asks for trials, permits them, and tells the other nodes of them.

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::part_id;
using core::to_text;
using daemon::log_event;

/// How often an owner is asked for a trial, and how long.
static constexpr core::duration trial_request_interval = 40ms;
static constexpr core::duration trial_request_timeout = 250ms;
/// Parts of one request that the owner of one of them takes.
static constexpr int max_parts_of_request = 1024;

void part_guard::request_trial(part_id part, std::span<const part_id> all, trial_handler&& done)
{
    const std::uint64_t number = ++this->last_trial_number;
    open_trial_request& request = this->trial_requests[number];
    request.part = part;
    request.parts.assign(all.begin(), all.end());
    request.done = std::move(done);
    request.first_sent_at = this->now();
    this->send_trial_request(number, request);
}

void part_guard::send_trial_request(std::uint64_t number, open_trial_request& request)
{
    request.sent_at = this->now();
    const core::part_record* const known = this->parts.find(request.part);
    const core::node_name owner = this->owner_of(request.part);
    const bool decides_itself = known == nullptr || owner == this->env.self;
    if (decides_itself) {
        const bool permitted = known == nullptr || this->permit_trial(request.part, request.parts,
                                                                      {this->env.self, number});
        this->env.event_loop.post(
            [this, number, permitted] { this->finish_trial_request(number, permitted); });
        return;
    }
    wire::PeerDatagram message;
    wire::PartTrialAsk& body = *message.mutable_part_trial_ask();
    body.set_sequence(number);
    write_part_record(*known, this->now(), *body.mutable_record());
    for (const part_id part : request.parts)
        body.add_parts(part.value);
    this->env.send(owner, message);
}

// A node that is not the owner any more permits nothing beside the one that is.
bool part_guard::permit_trial(part_id part, std::span<const part_id> all,
                              const core::trial_holder& holder)
{
    return this->owns(part) && this->env.is_settled() &&
           this->parts.permit_trial(part, all, holder, this->now());
}

void part_guard::finish_trial_request(std::uint64_t number, bool permitted)
{
    const auto found = this->trial_requests.find(number);
    if (found == this->trial_requests.end())
        return;
    const trial_handler done = std::move(found->second.done);
    this->trial_requests.erase(found);
    done(permitted);
}

void part_guard::retry_trial_requests()
{
    const core::time_point at = this->now();
    std::vector<std::uint64_t> timed_out;
    for (auto& [number, request] : this->trial_requests) {
        if (at - request.first_sent_at >= trial_request_timeout)
            timed_out.push_back(number);
        else if (at - request.sent_at >= trial_request_interval)
            this->send_trial_request(number, request);
    }
    for (const std::uint64_t number : timed_out)
        this->finish_trial_request(number, false);
}

void part_guard::on_trial_ask(const core::node_name& from, const wire::PartTrialAsk& message)
{
    const std::optional<core::part_record> stated = read_part_record(message.record(), this->now());
    if (!stated || message.parts_size() > max_parts_of_request) {
        daemon::write_log(log_event::peer_message_unreadable,
                          {{"bytes", std::to_string(message.ByteSizeLong())}});
        return;
    }
    static_cast<void>(this->take_record(*stated, from.value));
    std::vector<part_id> all{stated->part};
    for (const std::uint64_t part : message.parts())
        all.push_back({part});
    wire::PeerDatagram reply;
    wire::PartTrialAnswer& body = *reply.mutable_part_trial_answer();
    body.set_sequence(message.sequence());
    body.set_permitted(this->permit_trial(stated->part, all, {from, message.sequence()}));
    if (const core::part_record* const known = this->parts.find(stated->part))
        write_part_record(*known, this->now(), *body.mutable_record());
    this->env.send(from, reply);
}

void part_guard::on_trial_answer(const core::node_name& from, const wire::PartTrialAnswer& message)
{
    const std::optional<core::part_record> stated = read_part_record(message.record(), this->now());
    if (message.has_record() && stated)
        static_cast<void>(this->take_record(*stated, from.value));
    this->finish_trial_request(message.sequence(), message.permitted());
}

std::optional<core::part_trial> part_guard::on_trial_sent(part_id part, std::string_view request)
{
    const std::optional<core::part_trial> trial = this->parts.record_trial(part, this->now());
    if (!trial)
        return std::nullopt;
    daemon::write_log(log_event::part_trial_sent,
                      {{"request", request},
                       {"part", to_text(part)},
                       {"trial", std::to_string(trial->number)},
                       {"ends", std::to_string(this->parts.find(part)->ends.size())}});
    const std::array changed{part};
    this->spread(changed);
    return trial;
}

void part_guard::return_trial(const core::part_trial& trial, std::string_view reason)
{
    if (!this->parts.record_trial_over(trial))
        return;
    daemon::write_log(log_event::part_trial_returned, {{"part", to_text(trial.part)},
                                                       {"trial", std::to_string(trial.number)},
                                                       {"reason", reason}});
    const std::array changed{trial.part};
    this->spread(changed);
}

bool part_guard::is_open(const core::part_trial& trial) const
{
    return this->parts.is_open(trial, this->now());
}

} // namespace ragwortcove::gateway
