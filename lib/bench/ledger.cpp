#include "ledger.hpp"

#include <algorithm>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using core::time_point;

/// From a notice of leaving to the last new work.
static constexpr core::duration leaving_limit = 3s;
/// Time in which a decision can still be under way between two nodes.
static constexpr core::duration decision_slack = 100ms;
/// Longest wait in a queue that the tier order looks back over.
static constexpr core::duration admission_memory = 300s;

static std::string name_of(const call_record& call)
{
    return "call " + std::to_string(call.number) + " on " + call.route.value;
}

void ledger::break_promise(promise broken, time_point at, std::string detail)
{
    this->found.push_back({broken, at, std::move(detail)});
}

void ledger::started(call_record& call, const call_start& start, bool live_elsewhere,
                     time_point now)
{
    if (live_elsewhere) {
        this->break_promise(promise::dispatched_once, now,
                            name_of(call) + " started while live on another upstream");
    }
    if (!call.idempotent && !call.starts.empty()) {
        this->break_promise(promise::dispatched_once, now,
                            name_of(call) + " may not be repeated and started again");
    }
    if (call.refused_not_run.contains(start.from)) {
        this->break_promise(promise::not_run_is_true, now,
                            name_of(call) + " started after it was refused as not run");
    }
    call.starts.push_back(start);
}

void ledger::admitted(const call_record& call, const core::upstream_name& upstream,
                      time_point reachable_since, time_point now)
{
    const auto leaving = this->leaving_since.find(upstream);
    if (leaving != this->leaving_since.end() &&
        now > std::max(leaving->second, reachable_since) + leaving_limit) {
        this->break_promise(promise::leaving_gets_nothing, now,
                            name_of(call) + " sent to " + upstream.value);
    }
    this->admissions.push_back({now, call.target, call.rank, call.number});
    while (this->admissions.front().at + admission_memory < now) {
        this->admissions.pop_front();
    }
}

void ledger::refused(call_record& call, const try_id& tried, const core::refusal& answer,
                     time_point arrived, time_point now)
{
    if (answer.outcome == core::verdict::not_run) {
        call.refused_not_run.insert(tried);
        const auto same = [&](const call_start& start) {
            // A key makes all tries of a call one request.
            return start.from == tried || !call.idempotent;
        };
        if (std::any_of(call.starts.begin(), call.starts.end(), same)) {
            this->break_promise(promise::not_run_is_true, now,
                                name_of(call) + " refused as not run after a start: " +
                                    std::string(core::to_string(answer.reason)));
        }
    }
    const bool shed = answer.reason == core::refusal_reason::overloaded ||
                      answer.reason == core::refusal_reason::displaced;
    if (shed) {
        this->check_tier_order(call, arrived, now);
    }
}

void ledger::check_tier_order(const call_record& call, time_point arrived, time_point now)
{
    const time_point first = arrived + decision_slack;
    const time_point last = now - decision_slack;
    const auto before = [](const admission& value, time_point at) { return value.at < at; };
    auto next = std::lower_bound(this->admissions.begin(), this->admissions.end(), first, before);
    for (; next != this->admissions.end() && next->at < last; ++next) {
        if (next->target != call.target || next->rank <= call.rank) {
            continue;
        }
        this->break_promise(promise::tier_order, now,
                            name_of(call) + " of rank " + std::to_string(call.rank) +
                                " shed while call " + std::to_string(next->call) + " of rank " +
                                std::to_string(next->rank) + " was admitted");
        return;
    }
}

void ledger::marked_leaving(const core::upstream_name& upstream, time_point now)
{
    this->leaving_since.emplace(upstream, now);
}

void ledger::saw_revision(const core::node_name& node, core::incarnation run, core::revision at,
                          time_point now)
{
    core::revision& seen = this->revisions[run];
    if (at < seen) {
        this->break_promise(promise::revision_never_reverts, now,
                            node.value + " went from revision " + std::to_string(seen.value) +
                                " to " + std::to_string(at.value));
    }
    seen = std::max(seen, at);
}

void ledger::check_runs(const std::map<std::string, std::uint32_t>& runs_by_key, time_point now)
{
    for (const auto& [key, runs] : runs_by_key) {
        std::uint32_t& reported = this->reported_runs[key];
        if (runs > 1 && runs > reported) {
            this->break_promise(promise::key_runs_once, now,
                                "key " + key + " ran " + std::to_string(runs) + " times");
        }
        reported = std::max(reported, runs);
    }
}

} // namespace ragwortcove::bench
