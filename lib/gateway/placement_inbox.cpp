#include "placement_messages.hpp"
#include "ragwortcove/gateway/placement_service.hpp"

#include <algorithm>

// Messages of other nodes: asks, grants and releases of places, and quotas.

namespace ragwortcove::gateway {

using core::duration;
using core::time_point;

void placement_service::on_placement_request(const core::node_name& from, core::incarnation run,
                                             const wire::PeerDatagram& message)
{
    const core::placement_id id{from, run, message.ask().sequence()};
    const core::placement_ask asked = read_placement_request(id, message.ask());
    core::placement_board::answers responses;
    this->scheduler.ask(asked, this->env.now(), responses);
    const bool answered =
        std::any_of(responses.begin(), responses.end(), [&](const auto& response) {
            return std::visit([&](const auto& each) { return each.id == id; }, response);
        });
    this->deliver_responses(responses);
    if (answered)
        return;
    wire::PeerDatagram queued;
    queued.set_receiver_run(run.value);
    queued.mutable_queued()->set_sequence(id.sequence);
    write_load(this->scheduler.load_for(asked), *queued.mutable_queued()->mutable_load());
    this->env.send(from, queued);
}

void placement_service::on_in_flight_report(const core::node_name& from, core::incarnation run,
                                            const wire::PeerDatagram& message)
{
    std::vector<core::placement_held> all;
    for (const wire::PlacementHeld::Request& each : message.held().requests()) {
        core::placement_held made;
        made.id = {from, run, each.sequence()};
        made.target.value = each.target();
        made.upstream.value = each.upstream();
        made.uncached_tokens = each.uncached_tokens();
        made.started = each.started();
        all.push_back(std::move(made));
    }
    core::placement_board::answers responses;
    this->scheduler.held(from, run, all, this->env.now(), responses);
    this->deliver_responses(responses);
}

void placement_service::receive_message(const core::node_name& from,
                                        const wire::PeerDatagram& message)
{
    const core::incarnation run{message.run()};
    const time_point now = this->env.now();
    core::placement_board::answers responses;
    switch (message.body_case()) {
    case wire::PeerDatagram::kAsk:
        this->on_placement_request(from, run, message);
        return;
    case wire::PeerDatagram::kGrant: {
        const placement_number number = message.grant().sequence();
        const auto found = this->requests.find(number);
        if (found == this->requests.end()) {
            // Granted too late: the place is given back.
            wire::PeerDatagram unused;
            unused.mutable_withdrawal()->set_sequence(number);
            this->env.send(from, unused);
            return;
        }
        if (found->second.grant)
            return;
        const bool left_it = found->second.withdrawn_from_queue && found->second.owner != from;
        if (left_it)
            return; // That owner has the request's withdrawal.
        found->second.owner = from;
        this->on_own_response(number, core::placement_grant{found->second.details.id,
                                                            {message.grant().upstream()},
                                                            message.grant().uncached_tokens(),
                                                            read_load(message.grant().load())});
        return;
    }
    case wire::PeerDatagram::kQueued: {
        const auto found = this->requests.find(message.queued().sequence());
        if (found == this->requests.end() || found->second.owner != from)
            return;
        found->second.unanswered_count = 0;
        this->record_load(found->second, read_load(message.queued().load()));
        return;
    }
    case wire::PeerDatagram::kDenial: {
        const placement_number number = message.denial().sequence();
        const auto found = this->requests.find(number);
        if (found == this->requests.end() || found->second.owner != from)
            return;
        const auto reason = message.denial().reason() == 0 ? core::denial_reason::no_upstream
                                                           : core::denial_reason::overloaded;
        this->on_own_response(number,
                              core::placement_denial{found->second.details.id, reason,
                                                     duration{message.denial().retry_after()},
                                                     read_load(message.denial().load())});
        return;
    }
    case wire::PeerDatagram::kWithdrawal:
        this->scheduler.withdraw({from, run, message.withdrawal().sequence()}, now, responses);
        break;
    case wire::PeerDatagram::kStarted:
        this->scheduler.started({from, run, message.started().sequence()},
                                duration{message.started().after()});
        break;
    case wire::PeerDatagram::kRelease: {
        core::placement_release made;
        made.id = {from, run, message.release().sequence()};
        const auto last = static_cast<std::uint32_t>(core::placement_outcome::cancelled);
        made.outcome =
            static_cast<core::placement_outcome>(std::min(message.release().outcome(), last));
        made.first_part_after = duration{message.release().first_part_after()};
        made.between_events = duration{message.release().between_events()};
        this->scheduler.release(made, now, responses);
        break;
    }
    case wire::PeerDatagram::kHeld:
        this->on_in_flight_report(from, run, message);
        return;
    case wire::PeerDatagram::kQuotaAsk:
        this->on_quota_request(from, message);
        return;
    case wire::PeerDatagram::kQuotaAnswer:
        this->finish_quota_request(
            message.quota_answer().sequence(),
            {message.quota_answer().granted(), duration{message.quota_answer().wait()}});
        return;
    case wire::PeerDatagram::kQuotaReturn: {
        const core::team_rule* team = this->rules == nullptr
                                          ? nullptr
                                          : this->rules->find_team({message.quota_return().team()});
        if (team != nullptr)
            this->quotas.give_back(*team, message.quota_return().cost(), now);
        return;
    }
    case wire::PeerDatagram::kDigest:
    case wire::PeerDatagram::kDelta:
    case wire::PeerDatagram::BODY_NOT_SET:
        return;
    }
    this->deliver_responses(responses);
}

} // namespace ragwortcove::gateway
