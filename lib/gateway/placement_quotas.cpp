#include "gateway.pb.h"
#include "ragwortcove/gateway/placement_service.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

/// Time-out for the response of a quota's owner, after which this node spends its own share.
static constexpr duration quota_response_timeout = 160ms;
/// How long this node decides locally after the owner of a quota timed out.
static constexpr duration unresponsive_duration = 300ms;
/// How long decisions are kept for requests that are sent again.
static constexpr duration decision_retention = 1s;
/// Interval of the reports of what this node has granted on its own: for a few nodes, and more for
/// each further one, so that the owner of a quota is not flooded.
static constexpr duration min_spending_report_interval = 100ms;
static constexpr duration spending_report_interval_per_node = 1ms;
static constexpr duration max_spending_report_interval = 1s;

static std::string quota_key(const core::team_name& team)
{
    return "quota/" + team.value;
}

bool placement_service::owns_quota(const core::team_name& team) const
{
    return this->env.is_settled() && this->env.quota_owner_of(quota_key(team)) == this->env.self;
}

void placement_service::refresh_owned_quotas()
{
    if (this->rules == nullptr)
        return;
    const bool is_settled = this->env.is_settled();
    for (const core::team_rule& team : this->rules->rules().teams) {
        if (this->owns_quota(team.name)) {
            this->quotas.begin(team, this->env.now());
            this->reported_spending.begin(team.name, this->env.now());
            continue;
        }
        this->reported_spending.end(team.name);
        const double units = this->quotas.end(team.name);
        // After a pause of this process another node may have granted what is left here.
        if (units != 0.0 && is_settled)
            this->adjust_at_owner(team, units);
    }
}

core::quota_decision placement_service::charge_locally(const core::team_rule& team,
                                                       const core::quota_request& wanted,
                                                       bool as_owner)
{
    const double serving =
        static_cast<double>(std::max<std::size_t>(this->env.serving_node_count(), 1));
    const double lost = static_cast<double>(this->env.lost_node_count());
    core::quota_request request = wanted;
    // Unreachable nodes may still be spending their shares.
    request.share = as_owner ? serving / (serving + lost) : 1.0 / (serving + lost);
    request.accounts = as_owner;
    const core::quota_decision decision = this->quotas.take(team, request, this->env.now());
    if (decision.granted && !as_owner)
        this->own_spending.add(team.name, request.cost, this->env.now());
    return decision;
}

bool placement_service::has_free_slots(const core::target_name& target) const
{
    const auto found = this->congested_until.find(target);
    return found == this->congested_until.end() || found->second <= this->env.now();
}

void placement_service::adjust_at_owner(const core::team_rule& team, double units)
{
    const core::node_name owner = this->env.quota_owner_of(quota_key(team.name));
    if (owner == this->env.self) {
        this->quotas.refund(team, units, this->env.now());
        return;
    }
    wire::PeerDatagram message;
    message.mutable_quota_return()->set_team(team.name.value);
    message.mutable_quota_return()->set_cost(units);
    this->env.send(owner, message);
}

void placement_service::acquire_quota(const core::team_rule& team, const core::target_name& target,
                                      double cost, duration max_wait, quota_handler&& handler)
{
    if (team.rate <= 0.0) {
        handler({});
        return;
    }
    const core::quota_request wanted{cost, 1.0, max_wait, this->has_free_slots(target)};
    if (this->owns_quota(team.name)) {
        handler(this->charge_locally(team, wanted, true));
        return;
    }
    const core::node_name owner = this->env.quota_owner_of(quota_key(team.name));
    const auto unresponsive = this->unresponsive_until.find(owner);
    const bool is_unresponsive =
        unresponsive != this->unresponsive_until.end() && this->env.now() < unresponsive->second;
    if (is_unresponsive && this->env.is_settled()) {
        handler(this->charge_locally(team, wanted, false));
        return;
    }
    const placement_number number = ++this->last_number;
    pending_quota& pending = this->quota_requests[number];
    pending.team = team.name;
    pending.wanted = wanted;
    pending.handler = std::move(handler);
    pending.owner = owner;
    pending.first_sent_at = this->env.now();
    this->send_quota_request(number, pending);
}

void placement_service::send_quota_request(placement_number number, pending_quota& request)
{
    request.sent_at = this->env.now();
    // Before its view is settled, each of several nodes that start together would consider itself
    // the only one, and a node that was paused would ask an owner that has been replaced.
    if (!this->env.is_settled())
        return;
    if (request.owner == this->env.self) {
        this->decide_quota_locally(number, true);
        return;
    }
    wire::PeerDatagram message;
    wire::QuotaAsk& body = *message.mutable_quota_ask();
    body.set_sequence(number);
    body.set_team(request.team.value);
    body.set_cost(request.wanted.cost);
    body.set_most_wait(request.wanted.max_wait.count());
    body.set_has_room(request.wanted.has_free_slots);
    this->env.send(request.owner, message);
}

void placement_service::decide_quota_locally(placement_number number, bool as_owner)
{
    const pending_quota& pending = this->quota_requests.at(number);
    const core::team_rule* team =
        this->rules == nullptr ? nullptr : this->rules->find_team(pending.team);
    this->finish_quota_request(number, team == nullptr
                                           ? core::quota_decision{}
                                           : this->charge_locally(*team, pending.wanted, as_owner));
}

void placement_service::finish_quota_request(placement_number number,
                                             const core::quota_decision& decision)
{
    const auto found = this->quota_requests.find(number);
    if (found == this->quota_requests.end())
        return;
    const quota_handler handler = std::move(found->second.handler);
    this->quota_requests.erase(found);
    handler(decision);
}

void placement_service::tick_quotas(time_point now)
{
    this->report_quota_spending(now);
    std::erase_if(this->sent_decisions, [now](const auto& each) {
        return now - each.second.decided_at > decision_retention;
    });
    std::vector<placement_number> unanswered;
    std::vector<placement_number> timed_out;
    for (auto& [number, request] : this->quota_requests) {
        // The time for a response begins when the owner can be asked.
        if (!this->env.is_settled())
            request.first_sent_at = now;
        if (now - request.first_sent_at >= quota_response_timeout &&
            now - request.sent_at >= request_retry_interval)
            timed_out.push_back(number);
        else if (now - request.sent_at >= request_retry_interval)
            unanswered.push_back(number);
    }
    for (const placement_number number : unanswered) {
        const auto found = this->quota_requests.find(number);
        if (found == this->quota_requests.end())
            continue;
        found->second.owner = this->env.quota_owner_of(quota_key(found->second.team));
        this->send_quota_request(number, found->second);
    }
    for (const placement_number number : timed_out) {
        const auto found = this->quota_requests.find(number);
        if (found == this->quota_requests.end())
            continue;
        // Another node becomes the owner only when this owner is known to have ended: two owners
        // that account for a team at once would grant twice its quota.
        this->unresponsive_until[found->second.owner] = now + unresponsive_duration;
        this->decide_quota_locally(number, false);
    }
}

// The owner may still receive messages although its responses do not arrive here.
void placement_service::report_quota_spending(time_point now)
{
    if (now < this->next_spending_report_at)
        return;
    const auto nodes = static_cast<duration::rep>(this->env.serving_node_count());
    this->next_spending_report_at =
        now + std::clamp(spending_report_interval_per_node * nodes, min_spending_report_interval,
                         max_spending_report_interval);
    this->reported_spending.forget_quiet(now);
    for (const core::quota_spending& report : this->own_spending.reports(now))
        this->send_quota_spending(report);
}

void placement_service::send_quota_spending(const core::quota_spending& report)
{
    const core::node_name owner = this->env.quota_owner_of(quota_key(report.team));
    if (owner == this->env.self) {
        this->on_quota_spending(owner, this->env.run, report);
        return;
    }
    wire::PeerDatagram message;
    wire::QuotaSpending& body = *message.mutable_quota_spending();
    body.set_team(report.team.value);
    body.set_last_period(report.last_period);
    body.mutable_units()->Assign(report.units.begin(), report.units.end());
    this->env.send(owner, message);
}

// A report that arrives while this node does not account for the team is repeated, and counts then.
void placement_service::on_quota_spending(const core::node_name& from, core::incarnation run,
                                          const core::quota_spending& report)
{
    const core::team_rule* team =
        this->rules == nullptr ? nullptr : this->rules->find_team(report.team);
    if (team == nullptr || !this->owns_quota(team->name))
        return;
    const double units = this->reported_spending.add(from, run, report, this->env.now());
    if (units > 0.0)
        this->quotas.refund(*team, -units, this->env.now());
}

void placement_service::refund_quota(const core::team_rule& team, double cost)
{
    if (team.rate > 0.0)
        this->adjust_at_owner(team, cost);
}

void placement_service::on_quota_request(const core::node_name& from,
                                         const wire::PeerDatagram& message)
{
    const core::incarnation run{message.run()};
    const core::placement_id id{from, run, message.quota_ask().sequence()};
    const core::team_rule* team =
        this->rules == nullptr ? nullptr : this->rules->find_team({message.quota_ask().team()});
    // A node that is asked by mistake must not account beside the owner. The other node asks again,
    // and decides locally after its time-out.
    if (team == nullptr || !this->owns_quota(team->name))
        return;
    // A request that is sent again must not be charged twice.
    const auto known = this->sent_decisions.find(id);
    const core::quota_decision decision =
        known != this->sent_decisions.end()
            ? known->second.decision
            : this->charge_locally(*team,
                                   {message.quota_ask().cost(), 1.0,
                                    duration{message.quota_ask().most_wait()},
                                    message.quota_ask().has_room()},
                                   true);
    this->sent_decisions[id] = {decision, this->env.now()};
    wire::PeerDatagram reply;
    reply.set_receiver_run(run.value);
    reply.mutable_quota_answer()->set_sequence(id.sequence);
    reply.mutable_quota_answer()->set_granted(decision.granted);
    reply.mutable_quota_answer()->set_wait(decision.wait.count());
    this->env.send(from, reply);
}

void placement_service::quota_owners_changed()
{
    this->refresh_owned_quotas();
    std::vector<placement_number> reassigned;
    for (auto& [number, request] : this->quota_requests) {
        const core::node_name owner = this->env.quota_owner_of(quota_key(request.team));
        if (owner == request.owner)
            continue;
        request.owner = owner;
        reassigned.push_back(number);
    }
    for (const placement_number number : reassigned) {
        const auto found = this->quota_requests.find(number);
        if (found != this->quota_requests.end())
            this->send_quota_request(number, found->second);
    }
}

} // namespace ragwortcove::gateway
