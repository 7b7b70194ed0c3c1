#include "gateway.pb.h"
#include "ragwortcove/gateway/placement_service.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

/// How long the owner of a quota may take before this node spends its own share.
static constexpr duration quota_limit = 160ms;
/// How long this node goes by itself after the owner of a quota did not answer.
static constexpr duration silence_memory = 300ms;
/// How long answers are kept for asks that come again.
static constexpr duration answer_memory = 1s;

static std::string quota_key(const core::team_name& team)
{
    return "quota/" + team.value;
}

void placement_service::refresh_owned_quotas()
{
    if (this->rules == nullptr || !this->env.has_met_others())
        return;
    for (const core::team_rule& team : this->rules->rules().teams) {
        if (this->env.quota_owner_of(quota_key(team.name)) == this->env.self) {
            this->quotas.begin(team, this->env.now());
            continue;
        }
        const double left = this->quotas.end(team.name);
        if (left != 0.0)
            this->change_at_owner(team, left);
    }
}

core::quota_decision placement_service::take_locally(const core::team_rule& team,
                                                     const core::quota_request& wanted,
                                                     bool as_owner)
{
    const double serving = static_cast<double>(std::max<std::size_t>(this->env.serving(), 1));
    const double lost = static_cast<double>(this->env.lost());
    core::quota_request request = wanted;
    // Nodes that cannot be reached may be spending their shares.
    request.share = as_owner ? serving / (serving + lost) : 1.0 / (serving + lost);
    request.accounts = as_owner;
    const core::quota_decision answer = this->quotas.take(team, request, this->env.now());
    // An owner that only this node cannot hear from counts what is spent here.
    if (answer.granted && !as_owner)
        this->change_at_owner(team, -request.cost);
    return answer;
}

bool placement_service::has_room(const core::target_name& target) const
{
    const auto found = this->crowded_until.find(target);
    return found == this->crowded_until.end() || found->second <= this->env.now();
}

void placement_service::change_at_owner(const core::team_rule& team, double units)
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

void placement_service::take_quota(const core::team_rule& team, const core::target_name& target,
                                   double cost, duration most_wait, quota_handler&& answered)
{
    if (team.rate <= 0.0) {
        answered({});
        return;
    }
    const core::quota_request wanted{cost, 1.0, most_wait, this->has_room(target)};
    const core::node_name owner = this->env.quota_owner_of(quota_key(team.name));
    if (owner == this->env.self && this->env.has_met_others()) {
        answered(this->take_locally(team, wanted, true));
        return;
    }
    const auto silent = this->silent_until.find(owner);
    if (silent != this->silent_until.end() && this->env.now() < silent->second) {
        answered(this->take_locally(team, wanted, false));
        return;
    }
    const placement_number number = ++this->last_number;
    quota_question& made = this->quota_requests[number];
    made.team = team.name;
    made.wanted = wanted;
    made.answered = std::move(answered);
    made.owner = owner;
    made.first_asked_at = this->env.now();
    this->ask_quota_owner(number, made);
}

void placement_service::ask_quota_owner(placement_number number, quota_question& request)
{
    request.asked_at = this->env.now();
    // Nodes that start together would each take themselves for the only one.
    if (!this->env.has_met_others())
        return;
    if (request.owner == this->env.self) {
        this->answer_quota_alone(number, true);
        return;
    }
    wire::PeerDatagram message;
    wire::QuotaAsk& ask = *message.mutable_quota_ask();
    ask.set_sequence(number);
    ask.set_team(request.team.value);
    ask.set_cost(request.wanted.cost);
    ask.set_most_wait(request.wanted.max_wait.count());
    ask.set_has_room(request.wanted.has_free_slots);
    this->env.send(request.owner, message);
}

void placement_service::answer_quota_alone(placement_number number, bool as_owner)
{
    const quota_question& question = this->quota_requests.at(number);
    const core::team_rule* team =
        this->rules == nullptr ? nullptr : this->rules->find_team(question.team);
    this->answer_quota(number, team == nullptr
                                   ? core::quota_decision{}
                                   : this->take_locally(*team, question.wanted, as_owner));
}

void placement_service::answer_quota(placement_number number, const core::quota_decision& answer)
{
    const auto found = this->quota_requests.find(number);
    if (found == this->quota_requests.end())
        return;
    const quota_handler answered = std::move(found->second.answered);
    this->quota_requests.erase(found);
    answered(answer);
}

void placement_service::tick_quotas(time_point now)
{
    std::erase_if(this->given_quotas,
                  [now](const auto& each) { return now - each.second.at > answer_memory; });
    std::vector<placement_number> again;
    std::vector<placement_number> late;
    for (auto& [number, request] : this->quota_requests) {
        const bool waits_for_others = !this->env.has_met_others();
        if (!waits_for_others && now - request.first_asked_at >= quota_limit &&
            now - request.asked_at >= ask_again_after)
            late.push_back(number);
        else if (now - request.asked_at >= ask_again_after)
            again.push_back(number);
    }
    for (const placement_number number : again) {
        const auto found = this->quota_requests.find(number);
        if (found == this->quota_requests.end())
            continue;
        found->second.owner = this->env.quota_owner_of(quota_key(found->second.team));
        this->ask_quota_owner(number, found->second);
    }
    for (const placement_number number : late) {
        const auto found = this->quota_requests.find(number);
        if (found == this->quota_requests.end())
            continue;
        // Another node takes over only when this one is known to have ended: two that account for
        // a team at once would give out twice its quota.
        this->silent_until[found->second.owner] = now + silence_memory;
        this->answer_quota_alone(number, false);
    }
}

void placement_service::return_quota(const core::team_rule& team, double cost)
{
    if (team.rate > 0.0)
        this->change_at_owner(team, cost);
}

void placement_service::take_quota_ask(const core::node_name& from,
                                       const wire::PeerDatagram& message)
{
    const core::incarnation run{message.run()};
    const core::placement_id id{from, run, message.quota_ask().sequence()};
    const core::team_rule* team =
        this->rules == nullptr ? nullptr : this->rules->find_team({message.quota_ask().team()});
    if (team == nullptr || !this->env.has_met_others())
        return; // The other node goes on by itself.
    // An ask that comes again must not take the units twice.
    const auto known = this->given_quotas.find(id);
    const core::quota_decision answer =
        known != this->given_quotas.end()
            ? known->second.answer
            : this->take_locally(*team,
                                 {message.quota_ask().cost(), 1.0,
                                  duration{message.quota_ask().most_wait()},
                                  message.quota_ask().has_room()},
                                 true);
    this->given_quotas[id] = {answer, this->env.now()};
    wire::PeerDatagram made;
    made.set_receiver_run(run.value);
    made.mutable_quota_answer()->set_sequence(id.sequence);
    made.mutable_quota_answer()->set_granted(answer.granted);
    made.mutable_quota_answer()->set_wait(answer.wait.count());
    this->env.send(from, made);
}

void placement_service::quota_owners_changed()
{
    this->refresh_owned_quotas();
    std::vector<placement_number> asking;
    for (auto& [number, request] : this->quota_requests) {
        const core::node_name owner = this->env.quota_owner_of(quota_key(request.team));
        if (owner == request.owner)
            continue;
        request.owner = owner;
        asking.push_back(number);
    }
    for (const placement_number number : asking) {
        const auto found = this->quota_requests.find(number);
        if (found != this->quota_requests.end())
            this->ask_quota_owner(number, found->second);
    }
}

} // namespace ragwortcove::gateway
