/// \file
/// A small group of engines of uneven pace under an open load, in virtual time; for tests of where
/// requests are placed.
#pragma once

#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ragwortcove::core::testing {

/// Requests of one kind, and how many of them arrive each second.
struct load_kind {
    double per_second = 0.0;
    std::uint32_t rank = 0;
    std::uint32_t prompt_tokens = 0;
    /// Mean length of the responses in events.
    double events = 0.0;
    duration objective{0};
    duration longest_pause{0};
    duration deadline{0};
};

struct tally {
    double offered = 0.0;
    double on_time = 0.0;
    double denied = 0.0;
    /// Responses that were cut off because their caller gave up.
    double cut_off = 0.0;
    /// Prompt and response tokens of requests that were placed in another failure domain.
    double tokens_away = 0.0;
    [[nodiscard]] double share() const { return this->on_time / std::max(1.0, this->offered); }
};

/// Engines that compute prompts in order and one event of all their streams at a time.
class engine_fleet {
public:
    static constexpr std::uint32_t event_tokens = 8;
    static constexpr std::uint32_t slots = 7;

    placement_scheduler scheduler;
    time_point now{std::chrono::hours{1}};
    /// By kind, and by the failure domain of the caller.
    std::vector<tally> by_kind;
    std::map<failure_domain_name, tally> by_domain;
    /// Additional time that a request from one domain takes to reach an upstream in another.
    std::function<duration(const failure_domain_name&, const failure_domain_name&)> way =
        [](const auto&, const auto&) { return duration{0}; };
    /// Tokens that left one domain for another.
    std::map<std::pair<failure_domain_name, failure_domain_name>, double> tokens_between;
    /// How old the scheduler's knowledge of beginnings and ends is.
    duration report_age{0};
    /// Earlier requests do not count: the estimates have not settled yet.
    time_point counted_from{std::chrono::hours{1}};

    explicit engine_fleet(std::uint64_t seed) : random(seed) {}

    void add_engine(const std::string& domain, double pace)
    {
        engine& added = this->engines.emplace_back();
        added.info.name.value = "e" + std::to_string(this->engines.size());
        added.info.target.value = "engines";
        added.info.failure_domain.value = domain;
        added.pace = pace;
    }
    /// Announces the engines that are present to the scheduler.
    void announce()
    {
        ruleset made;
        made.targets = {{{"engines"}, true, slots, 480'000, event_tokens}};
        this->rules = std::make_unique<rule_index>(std::move(made));
        std::vector<announced_upstream> all;
        for (const engine& each : this->engines) {
            if (each.present)
                all.push_back(each.info);
        }
        this->scheduler.set_upstreams(all, this->rules.get());
    }
    /// Ends the engines of a domain but for `left` of them, with their requests.
    void lose_engines(const std::string& domain, std::size_t left)
    {
        placement_scheduler::responses out;
        for (engine& each : this->engines) {
            if (each.info.failure_domain.value != domain || !each.present)
                continue;
            if (left > 0) {
                --left;
                continue;
            }
            each.present = false;
            for (const running& ended : std::exchange(each.requests, {}))
                this->scheduler.release({ended.id, placement_outcome::cancelled, {}, {}}, this->now,
                                        out);
        }
        this->announce();
        this->accept(out);
    }
    void run(duration time, std::span<const load_kind> kinds,
             const std::map<std::string, double>& domains)
    {
        constexpr duration step = std::chrono::milliseconds{1};
        constexpr std::int64_t steps_per_tick = 30;
        constexpr std::int64_t steps_per_report = 400;
        this->by_kind.resize(std::max(this->by_kind.size(), kinds.size()));
        std::int64_t count = 0;
        for (const time_point end = this->now + time; this->now < end; this->now += step) {
            for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
                for (const auto& [domain, share] : domains) {
                    if (uniform(this->random) < kinds[kind].per_second * share / 1000.0)
                        this->ask(kinds[kind], kind, domain);
                }
            }
            for (engine& each : this->engines) {
                while (each.present && !each.requests.empty() && each.busy_until <= this->now)
                    this->advance(each);
            }
            placement_scheduler::responses out;
            if (count % steps_per_tick == 0)
                this->scheduler.tick(this->now, out);
            if (count++ % steps_per_report == 0) {
                for (const auto& [domain, share] : domains)
                    this->reconcile("entry-" + domain, out);
            }
            this->accept(out);
            this->report();
        }
    }

private:
    struct asked {
        load_kind kind;
        std::size_t index = 0;
        failure_domain_name domain;
        time_point at;
        std::uint32_t events = 0;
    };
    struct running {
        placement_id id;
        asked what;
        double prompt_left = 0.0;
        std::uint32_t sent = 0;
        time_point dispatched_at;
        time_point first_event_at;
        time_point last_event_at;
        bool in_time = true;
    };
    struct engine {
        announced_upstream info;
        double pace = 1.0;
        bool present = true;
        std::vector<running> requests;
        time_point busy_until;
    };

    void ask(const load_kind& kind, std::size_t index, const std::string& domain)
    {
        placement_request wanted;
        wanted.id = {{"entry-" + domain}, {1}, ++this->sequence};
        wanted.pool.value = "engines";
        wanted.rank = kind.rank;
        wanted.prompt_tokens = kind.prompt_tokens;
        // Few responses are much longer than the others. Half of the callers know the length.
        constexpr double max_ratio = 10.0;
        const double length = std::min(-std::log(1.0 - uniform(this->random)), max_ratio);
        const auto events = static_cast<std::uint32_t>(std::max(1.0, kind.events * length));
        const bool is_known = uniform(this->random) < 0.5;
        wanted.output_tokens =
            (is_known ? events : static_cast<std::uint32_t>(kind.events)) * event_tokens;
        wanted.latency_budget = kind.objective;
        wanted.max_wait = std::min<duration>(std::chrono::seconds{2}, kind.deadline / 2);
        wanted.longest_pause = kind.longest_pause;
        wanted.time_left = kind.deadline;
        wanted.failure_domain.value = domain;
        const asked made{kind, index, wanted.failure_domain, this->now, events};
        if (this->now >= this->counted_from) {
            this->by_kind[index].offered += 1.0;
            this->by_domain[wanted.failure_domain].offered += 1.0;
        }
        this->waiting[wanted.id] = made;
        placement_scheduler::responses out;
        this->scheduler.submit(wanted, this->now, out);
        this->accept(out);
    }
    void reconcile(const std::string& entry, placement_scheduler::responses& out)
    {
        std::vector<placement_report> reports;
        for (const engine& at : this->engines) {
            for (const running& each : at.requests) {
                if (each.id.entry.value == entry)
                    reports.push_back({each.id, {"engines"}, at.info.name, 0, each.sent > 0});
            }
        }
        for (const auto& [at, each] : this->endings) {
            if (each.id.entry.value == entry)
                reports.push_back({each.id, {"engines"}, {}, 0, true});
        }
        this->scheduler.reconcile({entry}, {1}, reports, this->now, out);
    }
    void accept(const placement_scheduler::responses& out)
    {
        for (const placement_response& each : out) {
            const placement_id id = std::visit([](const auto& of) { return of.id; }, each);
            const auto found = this->waiting.find(id);
            if (found == this->waiting.end())
                continue;
            const asked what = found->second;
            this->waiting.erase(found);
            if (const auto* grant = std::get_if<placement_grant>(&each))
                this->dispatch(*grant, what);
            else if (what.at >= this->counted_from)
                this->by_kind[what.index].denied += 1.0;
        }
    }
    void dispatch(const placement_grant& grant, const asked& what)
    {
        const auto found = std::ranges::find_if(
            this->engines, [&](const engine& each) { return each.info.name == grant.upstream; });
        running made{grant.id, what, static_cast<double>(grant.uncached_tokens), 0, this->now};
        const duration distance = this->way(what.domain, found->info.failure_domain);
        const double tokens = what.kind.prompt_tokens + what.events * event_tokens;
        if (what.domain != found->info.failure_domain && what.at >= this->counted_from) {
            this->by_domain[what.domain].tokens_away += tokens;
            this->tokens_between[{what.domain, found->info.failure_domain}] += tokens;
        }
        // The way counts for the caller only, not for the engine.
        made.what.at -= distance;
        made.dispatched_at -= distance;
        if (found->requests.empty())
            found->busy_until = this->now;
        found->requests.push_back(made);
    }
    /// Computes one event of all streams, and prompts in their order between its tokens.
    void advance(engine& at)
    {
        constexpr double us_per_token = 12.0;
        constexpr double event_us = 24'000.0;
        constexpr double first_event_us = 15'000.0;
        constexpr double max_prompt_tokens = event_tokens * 2048.0;
        double tokens = 0.0;
        bool any_stream = false;
        std::vector<std::size_t> begun;
        for (std::size_t index = 0; index < at.requests.size(); ++index) {
            running& each = at.requests[index];
            if (each.sent > 0) {
                any_stream = true;
                continue;
            }
            const double computed = std::min(each.prompt_left, max_prompt_tokens - tokens);
            tokens += computed;
            each.prompt_left -= computed;
            if (each.prompt_left <= 0.0)
                begun.push_back(index);
        }
        const double crowd = 1.0 + 0.02 * static_cast<double>(at.requests.size());
        const double taken_us =
            at.pace * (tokens * us_per_token + (any_stream ? event_us * crowd : first_event_us));
        at.busy_until += duration{static_cast<duration::rep>(taken_us)};
        const time_point done_at = at.busy_until;
        std::vector<running> left;
        for (std::size_t index = 0; index < at.requests.size(); ++index) {
            running& each = at.requests[index];
            const bool begins = std::ranges::find(begun, index) != begun.end();
            if (each.sent == 0 && !begins) {
                left.push_back(each);
                continue;
            }
            this->on_event(each, done_at);
            if (each.sent < each.what.events && done_at < each.what.at + each.what.kind.deadline)
                left.push_back(each);
            else
                this->endings.push_back({done_at, each});
        }
        at.requests = std::move(left);
    }
    void on_event(running& each, time_point at)
    {
        if (each.sent == 0) {
            each.first_event_at = at;
            each.in_time = at - each.what.at <= each.what.kind.objective;
            this->beginnings.push_back({at, each});
        }
        else if (each.what.kind.longest_pause > duration{0}) {
            each.in_time = each.in_time && at - each.last_event_at <= each.what.kind.longest_pause;
        }
        ++each.sent;
        each.last_event_at = at;
    }
    /// Tells the scheduler of what has begun and ended by now.
    void report()
    {
        const auto take_due = [this](std::vector<std::pair<time_point, running>>& from) {
            std::vector<std::pair<time_point, running>> due;
            std::erase_if(from, [&](const auto& each) {
                if (each.first + this->report_age > this->now)
                    return false;
                due.push_back(each);
                return true;
            });
            return due;
        };
        for (const auto& [at, each] : take_due(this->beginnings))
            this->scheduler.started(each.id, at - each.dispatched_at);
        placement_scheduler::responses out;
        for (const auto& [at, each] : take_due(this->endings)) {
            const duration between =
                each.sent < 2 ? duration{0}
                              : (each.last_event_at - each.first_event_at) / (each.sent - 1);
            this->scheduler.release({each.id, placement_outcome::completed,
                                     each.first_event_at - each.dispatched_at, between},
                                    this->now, out);
            const bool complete =
                each.sent >= each.what.events && at <= each.what.at + each.what.kind.deadline;
            if (each.what.at < this->counted_from)
                continue;
            const double counted = each.in_time && complete ? 1.0 : 0.0;
            this->by_kind[each.what.index].cut_off += complete ? 0.0 : 1.0;
            this->by_kind[each.what.index].on_time += counted;
            this->by_domain[each.what.domain].on_time += counted;
        }
        this->accept(out);
    }

    random_engine random;
    std::uint64_t sequence = 0;
    std::unique_ptr<rule_index> rules;
    std::deque<engine> engines;
    std::map<placement_id, asked> waiting;
    std::vector<std::pair<time_point, running>> beginnings;
    std::vector<std::pair<time_point, running>> endings;
};

} // namespace ragwortcove::core::testing
