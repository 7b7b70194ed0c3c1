#include "placement_messages.hpp"
#include "ragwortcove/gateway/placement_service.hpp"

#include <algorithm>

// Handlers for messages of other nodes: placement requests, grants and releases, and quotas.

namespace ragwortcove::gateway {

using core::duration;
using core::time_point;

void placement_service::on_placement_request(const core::node_name& from, core::incarnation run,
                                             const wire::PeerDatagram& message)
{
    const core::placement_id id{from, run, message.ask().sequence()};
    const core::placement_request request = read_placement_request(id, message.ask());
    core::placement_scheduler::responses responses;
    this->scheduler.submit(request, this->env.now(), responses);
    const bool has_response =
        std::any_of(responses.begin(), responses.end(), [&](const auto& response) {
            return std::visit([&](const auto& each) { return each.id == id; }, response);
        });
    this->deliver_responses(responses);
    if (has_response)
        return;
    wire::PeerDatagram queued;
    queued.set_receiver_run(run.value);
    queued.mutable_queued()->set_sequence(id.sequence);
    write_load(this->scheduler.load_for(request, this->env.now()),
               *queued.mutable_queued()->mutable_load());
    this->env.send(from, queued);
}

void placement_service::on_in_flight_report(const core::node_name& from, core::incarnation run,
                                            const wire::PeerDatagram& message)
{
    std::vector<core::placement_report> reports;
    for (const wire::PlacementHeld::Request& each : message.held().requests()) {
        core::placement_report report;
        report.id = {from, run, each.sequence()};
        report.pool.value = each.target();
        report.upstream.value = each.upstream();
        report.uncached_tokens = each.uncached_tokens();
        report.started = each.started();
        reports.push_back(std::move(report));
    }
    this->read_ways(message);
    core::placement_scheduler::responses responses;
    this->scheduler.reconcile(from, run, reports, this->env.now(), responses);
    this->deliver_responses(responses);
}

void placement_service::receive_message(const core::node_name& from,
                                        const wire::PeerDatagram& message)
{
    const core::incarnation run{message.run()};
    const time_point now = this->env.now();
    core::placement_scheduler::responses responses;
    switch (message.body_case()) {
    case wire::PeerDatagram::kAsk:
        this->on_placement_request(from, run, message);
        return;
    case wire::PeerDatagram::kGrant: {
        const placement_number number = message.grant().sequence();
        const auto found = this->requests.find(number);
        if (found == this->requests.end()) {
            // The grant came too late, so the slot is released.
            wire::PeerDatagram withdrawal;
            withdrawal.mutable_withdrawal()->set_sequence(number);
            this->env.send(from, withdrawal);
            return;
        }
        if (found->second.grant)
            return;
        const bool is_withdrawn = found->second.withdrawn_from_queue && found->second.owner != from;
        if (is_withdrawn)
            return; // The withdrawal was already sent to that owner.
        if (found->second.owner == from)
            this->record_round_trip(found->second);
        found->second.owner = from;
        this->on_own_response(number, core::placement_grant{found->second.details.id,
                                                            {message.grant().upstream()},
                                                            message.grant().uncached_tokens(),
                                                            read_load(message.grant().load()),
                                                            message.grant().ahead_tokens(),
                                                            read_departure(message.grant())});
        return;
    }
    case wire::PeerDatagram::kQueued: {
        const auto found = this->requests.find(message.queued().sequence());
        if (found == this->requests.end() || found->second.owner != from)
            return;
        this->record_round_trip(found->second);
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
        core::placement_release release;
        release.id = {from, run, message.release().sequence()};
        const auto last = static_cast<std::uint32_t>(core::placement_outcome::cancelled);
        release.outcome =
            static_cast<core::placement_outcome>(std::min(message.release().outcome(), last));
        release.first_part_after = duration{message.release().first_part_after()};
        release.between_events = duration{message.release().between_events()};
        this->scheduler.release(release, now, responses);
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
        // What arrives during a pause is read after it, and may have been spent long ago.
        if (team != nullptr && this->env.is_settled())
            this->quotas.refund(*team, message.quota_return().cost(), now);
        return;
    }
    case wire::PeerDatagram::kQuotaSpending: {
        const wire::QuotaSpending& body = message.quota_spending();
        this->on_quota_spending(
            from, run,
            {{body.team()}, body.last_period(), {body.units().begin(), body.units().end()}});
        return;
    }
    case wire::PeerDatagram::kDigest:
    case wire::PeerDatagram::kDelta:
    case wire::PeerDatagram::kRolloutReport:
    case wire::PeerDatagram::kRolloutDirective:
    case wire::PeerDatagram::kUpstreamLeaving:
    case wire::PeerDatagram::kPartRecords:
    case wire::PeerDatagram::kPartTrialAsk:
    case wire::PeerDatagram::kPartTrialAnswer:
    case wire::PeerDatagram::BODY_NOT_SET:
        return;
    }
    this->deliver_responses(responses);
}

} // namespace ragwortcove::gateway
