/// \file
/// Load of several teams on engines in several cells, in virtual time and without a network: the
/// owners of the cells and the entries' choice of cells are real, the messages take no time.
#pragma once

#include "ragwortcove/core/placement_cells.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortcove::core::test {

using namespace std::chrono_literals;

/// How many of a team's requests, or of a cell's, came to which end.
struct load_result {
    int asked = 0;
    int on_time = 0;
    int late = 0;
    int denied = 0;
    /// Denials while another cell could have placed the request in time.
    int denied_needlessly = 0;
    double slot_seconds = 0.0;
    [[nodiscard]] double on_time_share() const
    {
        return this->asked == 0 ? 1.0 : static_cast<double>(this->on_time) / this->asked;
    }
};

struct team_load {
    /// Share of the usual load, in arbitrary units; the quota is in the same proportion.
    double size = 1.0;
    /// Factor of the usual load from `flood_from` to `flood_until`.
    double flood = 1.0;
    /// Whether the team sends anything.
    bool is_idle = false;
};

struct load_options {
    bool team_shares = true;
    bool cell_waits = true;
    std::size_t engines = 104;
    std::uint32_t slots = 7;
    /// Usual load of all teams as a fraction of what the engines can serve.
    double usual_load = 0.9;
    std::vector<team_load> teams = std::vector<team_load>(16);
    /// Factor of the first entry's share of all requests.
    double entry_skew = 1.0;
    duration flood_from = 3s;
    duration flood_until = 14s;
    duration end = 15s;
    /// From and until when the owner of cell 0 is gone.
    duration owner_dies = 1h;
    duration owner_returns = 1h;
    std::uint64_t seed = 1;
};

/// Kinds of requests: long, medium and short ones.
struct load_kind {
    double share = 0.0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t events = 0;
    duration budget{0};
    duration max_wait{0};
};

inline constexpr std::array load_kinds{load_kind{0.26, 6610, 42, 800ms, 7s},
                                       load_kind{0.34, 628, 32, 400ms, 6s},
                                       load_kind{0.40, 1800, 3, 400ms, 1800ms}};

class fleet_load {
public:
    explicit fleet_load(const load_options& given) : options(given)
    {
        ruleset made;
        made.targets = {{pool, true, this->options.slots, 400'000, event_tokens}};
        double total_size = 0.0;
        for (const team_load& team : this->options.teams)
            total_size += team.size;
        for (std::size_t index = 0; index != this->options.teams.size(); ++index) {
            team_rule team;
            team.name = name_of(index);
            team.counts_tokens = true;
            team.rate = 1000.0 * this->options.teams[index].size;
            made.teams.push_back(team);
            this->arrivals.push_back({0.0, random_engine{this->options.seed * 100 + index}});
            this->size_shares.push_back(this->options.teams[index].size / total_size);
        }
        this->rules = std::make_unique<rule_index>(std::move(made));
        for (std::size_t index = 0; index != this->options.engines; ++index) {
            announced_upstream upstream;
            upstream.name.value = "e" + std::to_string(index);
            upstream.target = pool;
            this->upstreams.push_back(upstream);
        }
        this->cell_count = placement_cell_count(this->upstreams.size());
        for (cell_index cell = 0; cell != this->cell_count; ++cell)
            this->owners.push_back(this->make_owner());
        this->entries = std::vector<cell_chooser>(entry_count);
        for (cell_chooser& each : this->entries)
            each.set_uses_waits(this->options.cell_waits);
        this->by_team.resize(this->options.teams.size());
        this->by_cell.resize(this->cell_count);
    }

    /// Makes an engine run its requests slower by a factor.
    void slow_down(const upstream_name& engine, double factor)
    {
        this->slowness_by_name[engine] = factor;
    }
    void remove_upstreams(const std::vector<upstream_name>& names)
    {
        std::erase_if(this->upstreams, [&](const announced_upstream& each) {
            return std::find(names.begin(), names.end(), each.name) != names.end();
        });
        for (const auto& owner : this->owners)
            owner->set_upstreams(this->upstreams, this->rules.get());
    }
    [[nodiscard]] std::vector<upstream_name> upstreams_of(cell_index cell) const
    {
        std::vector<upstream_name> found;
        for (const announced_upstream& each : this->upstreams) {
            if (placement_cell_of(each.name, this->cell_count) == cell)
                found.push_back(each.name);
        }
        return found;
    }

    void run()
    {
        while (this->now - start < this->options.end)
            this->step();
    }

    /// Results of the requests that arrived during the flood.
    std::vector<load_result> by_team;
    /// The same, by the cell that placed or denied the request last.
    std::vector<load_result> by_cell;
    /// Requests to owners, and those among them that follow a denial.
    int sent = 0;
    int sent_after_denial = 0;
    std::size_t most_waiting = 0;

private:
    static constexpr time_point start{1h};
    static constexpr duration step_time = 5ms;
    static constexpr std::size_t entry_count = 6;
    static constexpr std::uint32_t event_tokens = 9;
    static constexpr double us_per_event = 30'000.0;
    static constexpr double us_per_prompt_token = 18.2;
    inline static const target_name pool{"engines"};

    struct arrival {
        /// Seconds after the start.
        double next = 0.0;
        random_engine random;
    };
    struct open_request {
        placement_request details;
        std::size_t team = 0;
        std::size_t entry = 0;
        const load_kind* kind = nullptr;
        time_point arrived_at;
        time_point sent_at;
        std::vector<cell_index> denied;
        std::optional<placement_grant> grant;
        time_point first_event_at;
        time_point ends_at;
        bool started = false;
    };

    static team_name name_of(std::size_t team) { return {"team-" + std::to_string(team)}; }

    [[nodiscard]] std::unique_ptr<placement_scheduler> make_owner() const
    {
        auto made = std::make_unique<placement_scheduler>();
        made->set_team_shares(this->options.team_shares);
        made->set_states_waits(this->options.cell_waits);
        made->set_upstreams(this->upstreams, this->rules.get());
        return made;
    }

    [[nodiscard]] static duration run_time(const load_kind& kind, double slowness)
    {
        const double us = kind.prompt_tokens * us_per_prompt_token + kind.events * us_per_event;
        return duration{static_cast<duration::rep>(us * slowness)};
    }
    [[nodiscard]] static duration first_event_after(const load_kind& kind, double slowness)
    {
        const double us = kind.prompt_tokens * us_per_prompt_token + us_per_event;
        return duration{static_cast<duration::rep>(us * slowness)};
    }
    /// Requests a second that all engines serve when none is slow.
    [[nodiscard]] double capacity() const
    {
        double mean_us = 0.0;
        for (const load_kind& each : load_kinds)
            mean_us += each.share * static_cast<double>(run_time(each, 1.0).count());
        return 1e6 * static_cast<double>(this->options.engines * this->options.slots) / mean_us;
    }
    [[nodiscard]] double slowness_of(const upstream_name& name) const
    {
        const auto found = this->slowness_by_name.find(name);
        return found == this->slowness_by_name.end() ? 1.0 : found->second;
    }
    [[nodiscard]] bool is_gone(cell_index cell) const
    {
        const duration elapsed = this->now - start;
        return cell == 0 && elapsed >= this->options.owner_dies &&
               elapsed < this->options.owner_returns;
    }
    [[nodiscard]] bool counts(const open_request& request) const
    {
        const duration arrived = request.arrived_at - start;
        return arrived >= this->options.flood_from && arrived < this->options.flood_until;
    }

    void step()
    {
        this->now += step_time;
        const duration elapsed = this->now - start;
        if (elapsed == this->options.owner_returns)
            this->replace_owner();
        this->end_requests();
        for (std::size_t team = 0; team != this->arrivals.size(); ++team)
            this->add_arrivals(team);
        if (elapsed % 25ms == 0ms)
            this->tick();
        if (elapsed % 400ms == 0ms)
            this->report();
    }

    void add_arrivals(std::size_t team)
    {
        const team_load& load = this->options.teams[team];
        arrival& source = this->arrivals[team];
        const double present = std::chrono::duration<double>(this->now - start).count();
        while (source.next <= present) {
            const duration at = this->now - start;
            const bool floods = at >= this->options.flood_from && at < this->options.flood_until;
            const double rate = this->capacity() * this->options.usual_load *
                                this->size_shares[team] * (floods ? load.flood : 1.0);
            source.next += -std::log(1.0 - uniform(source.random)) / rate;
            if (!load.is_idle)
                this->ask(team, source.random);
        }
    }

    void ask(std::size_t team, random_engine& team_random)
    {
        double point = uniform(team_random);
        const load_kind* kind = load_kinds.begin();
        while (kind != load_kinds.end() - 1 && point >= kind->share) {
            point -= kind->share;
            ++kind;
        }
        const double entry_point = uniform(team_random) * (static_cast<double>(entry_count - 1) +
                                                           this->options.entry_skew);
        open_request created;
        created.entry = entry_point < this->options.entry_skew
                            ? 0
                            : 1 + static_cast<std::size_t>(entry_point - this->options.entry_skew);
        created.team = team;
        created.kind = kind;
        created.arrived_at = this->now;
        placement_request& details = created.details;
        details.id = {
            {"entry-" + std::to_string(created.entry)}, {created.entry + 1}, ++this->sequence};
        details.pool = pool;
        details.team = name_of(team);
        details.prompt_tokens = kind->prompt_tokens;
        details.output_tokens = kind->events * event_tokens;
        details.latency_budget = kind->budget;
        details.max_wait = kind->max_wait;
        details.cell = this->entries[created.entry].choose(pool, this->cell_count, {}, this->random,
                                                           this->now);
        if (this->counts(created))
            ++this->by_team[team].asked;
        const placement_id id = details.id;
        this->open.emplace(id, std::move(created));
        this->send(id);
    }

    void send(const placement_id& id)
    {
        open_request& request = this->open.at(id);
        request.sent_at = this->now;
        if (this->is_gone(request.details.cell))
            return;
        ++this->sent;
        placement_request current = request.details;
        current.latency_budget -= this->now - request.arrived_at;
        current.max_wait =
            std::max(duration{0}, current.max_wait - (this->now - request.arrived_at));
        placement_scheduler::responses responses;
        this->owners[current.cell]->submit(current, this->now, responses);
        this->on_responses(responses);
    }

    void on_responses(const placement_scheduler::responses& responses)
    {
        for (const placement_response& each : responses) {
            if (const auto* grant = std::get_if<placement_grant>(&each))
                this->on_grant(*grant);
            else
                this->on_denial(std::get<placement_denial>(each));
        }
    }

    void record_load(const open_request& request, const cell_load& load)
    {
        this->entries[request.entry].record_load(pool, request.details.cell, load, this->now,
                                                 request.details.rank);
    }

    void on_grant(const placement_grant& grant)
    {
        const auto found = this->open.find(grant.id);
        if (found == this->open.end() || found->second.grant)
            return;
        open_request& request = found->second;
        this->record_load(request, grant.load);
        request.grant = grant;
        const double slowness = this->slowness_of(grant.upstream);
        const duration served = run_time(*request.kind, slowness);
        request.ends_at = this->now + served;
        request.first_event_at = this->now + first_event_after(*request.kind, slowness);
        if (!this->counts(request))
            return;
        const bool in_time = request.first_event_at - request.arrived_at <= request.kind->budget;
        for (load_result* result :
             {&this->by_team[request.team], &this->by_cell[request.details.cell]}) {
            ++(in_time ? result->on_time : result->late);
            result->slot_seconds += std::chrono::duration<double>(served).count();
        }
        ++this->by_cell[request.details.cell].asked;
    }

    /// Whether another cell would place the request at once.
    [[nodiscard]] bool has_free_cell(const open_request& request) const
    {
        for (cell_index cell = 0; cell != this->cell_count; ++cell) {
            placement_request other = request.details;
            other.cell = cell;
            if (!this->is_gone(cell) && cell != request.details.cell &&
                this->owners[cell]->load_for(other, this->now).free_slots > 0)
                return true;
        }
        return false;
    }

    void on_denial(const placement_denial& denial)
    {
        const auto found = this->open.find(denial.id);
        if (found == this->open.end() || found->second.grant)
            return;
        open_request& request = found->second;
        this->record_load(request, denial.load);
        request.denied.push_back(request.details.cell);
        const duration waited = this->now - request.arrived_at;
        const cell_retry retry{request.details.rank,
                               std::min(request.details.latency_budget, request.details.max_wait) -
                                   waited,
                               request.denied};
        const auto other = this->entries[request.entry].choose_after_denial(
            pool, this->cell_count, retry, this->random, this->now);
        if (other) {
            ++this->sent_after_denial;
            request.details.cell = *other;
            this->send(denial.id);
            return;
        }
        if (this->counts(request)) {
            const bool needless = this->has_free_cell(request);
            for (load_result* result :
                 {&this->by_team[request.team], &this->by_cell[request.details.cell]}) {
                ++result->denied;
                result->denied_needlessly += needless ? 1 : 0;
            }
            ++this->by_cell[request.details.cell].asked;
        }
        this->open.erase(found);
    }

    void end_requests()
    {
        std::vector<placement_id> ended;
        for (auto& [id, request] : this->open) {
            if (!request.grant)
                continue;
            if (!request.started && request.first_event_at <= this->now) {
                request.started = true;
                if (!this->is_gone(request.details.cell))
                    this->owners[request.details.cell]->started(
                        id, first_event_after(*request.kind,
                                              this->slowness_of(request.grant->upstream)));
            }
            if (request.ends_at <= this->now)
                ended.push_back(id);
        }
        for (const placement_id& id : ended) {
            const open_request request = this->open.at(id);
            this->open.erase(id);
            if (this->is_gone(request.details.cell))
                continue;
            const double slowness = this->slowness_of(request.grant->upstream);
            const duration between{static_cast<duration::rep>(slowness * us_per_event)};
            placement_scheduler::responses responses;
            this->owners[request.details.cell]->release({id, placement_outcome::completed,
                                                         first_event_after(*request.kind, slowness),
                                                         between},
                                                        this->now, responses);
            this->on_responses(responses);
        }
    }

    void tick()
    {
        this->most_waiting = 0;
        for (cell_index cell = 0; cell != this->cell_count; ++cell) {
            if (this->is_gone(cell))
                continue;
            placement_scheduler::responses responses;
            this->owners[cell]->tick(this->now, responses);
            this->on_responses(responses);
            this->most_waiting = std::max(this->most_waiting, this->owners[cell]->waiting());
        }
        // Sent again, so that the owner keeps them in its queue.
        std::vector<placement_id> due;
        for (const auto& [id, request] : this->open) {
            if (!request.grant && this->now - request.sent_at >= 400ms)
                due.push_back(id);
        }
        for (const placement_id& id : due) {
            if (this->open.contains(id))
                this->send(id);
        }
    }

    void report()
    {
        for (cell_index cell = 0; cell != this->cell_count; ++cell) {
            if (!this->is_gone(cell))
                this->report_to(cell);
        }
    }

    void report_to(cell_index cell)
    {
        for (std::size_t entry = 0; entry != entry_count; ++entry) {
            std::vector<placement_report> held;
            for (const auto& [id, request] : this->open) {
                if (request.grant && request.entry == entry && request.details.cell == cell)
                    held.push_back({id, pool, request.grant->upstream,
                                    request.grant->uncached_tokens, request.started});
            }
            placement_scheduler::responses responses;
            this->owners[cell]->reconcile({"entry-" + std::to_string(entry)}, {entry + 1}, held,
                                          this->now, responses);
            this->on_responses(responses);
        }
    }

    void replace_owner()
    {
        this->owners[0] = this->make_owner();
        this->report_to(0);
    }

    load_options options;
    std::unique_ptr<rule_index> rules;
    std::vector<announced_upstream> upstreams;
    cell_index cell_count = 1;
    std::vector<std::unique_ptr<placement_scheduler>> owners;
    std::vector<cell_chooser> entries;
    std::vector<arrival> arrivals;
    std::vector<double> size_shares;
    std::map<upstream_name, double> slowness_by_name;
    std::map<placement_id, open_request> open;
    random_engine random{17};
    time_point now{start};
    std::uint64_t sequence = 0;
};

} // namespace ragwortcove::core::test
