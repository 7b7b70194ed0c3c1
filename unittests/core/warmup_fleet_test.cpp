// Guards against a failure domain that begins to warm up at once under full load: its upstreams end
// when all nodes together send them much more than they bear. They say that they are warming up
// only one to two seconds later, while owners die and the fleet is cut.
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/placement_scheduler.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t node_count = 12;
constexpr std::size_t domain_count = 3;
constexpr std::size_t upstreams_per_domain = 3;
constexpr std::size_t seed_count = 200;
/// 11 requests a second, times 1.5, and 5 more.
constexpr double rate = 11.0;
constexpr warmup_tolerance tolerance{1.5, 5.0};
constexpr std::size_t max_in_second = 21;
constexpr duration tick_interval = 25ms;
/// More than all upstreams run, so that each free slot is used at once.
constexpr double requests_per_second = 500.0;
constexpr duration load_start = 4s;
constexpr duration end = 11s;
constexpr duration warmup_length = 4s;

/// Schedulers of several nodes that exchange messages in virtual time. All upstreams are one cell;
/// its owner is the first node that a node believes to be there.
struct warmup_fleet {
    struct node {
        node_name name;
        std::unique_ptr<placement_scheduler> scheduler;
        std::size_t owner = 0;
        bool is_running = true;
        /// Sides of a cut; nodes of different sides do not reach each other.
        std::size_t side = 0;
        std::vector<announced_upstream> upstreams;
    };
    struct waiting_request {
        placement_request request;
        std::size_t entry = 0;
        std::size_t owner = 0;
        bool is_granted = false;
        bool has_ended = false;
    };

    random_engine random;
    time_point now{1h};
    const time_point started_at = now;
    std::multimap<time_point, std::function<void()>> events;
    std::vector<node> nodes;
    std::unique_ptr<rule_index> rules;
    std::map<std::uint64_t, waiting_request> requests;
    std::uint64_t sequence = 0;
    time_point warming_from = time_point::max();
    /// When requests were sent to the upstreams of the domain that warms up.
    std::map<upstream_name, std::vector<time_point>> sent_while_warming;
    std::size_t sent_in_all = 0;

    warmup_fleet(std::uint64_t seed, double limit) : random(seed)
    {
        ruleset made;
        made.targets = {{{"engines"}, true, 9, 0, 1, limit, 3s}};
        this->rules = std::make_unique<rule_index>(std::move(made));
        std::vector<announced_upstream> upstreams;
        for (std::size_t index = 0; index < domain_count * upstreams_per_domain; ++index) {
            announced_upstream upstream;
            upstream.name.value = "e" + std::to_string(index);
            upstream.target.value = "engines";
            upstream.failure_domain.value = std::string(1, char('a' + index % domain_count));
            upstream.started_at = 1;
            upstreams.push_back(upstream);
        }
        for (std::size_t index = 0; index < node_count; ++index) {
            node& made_node = this->nodes.emplace_back();
            made_node.name.value = "n" + std::to_string(index);
            made_node.scheduler = std::make_unique<placement_scheduler>(seed * 100 + index);
            made_node.scheduler->set_warmup_tolerance(tolerance);
            made_node.upstreams = upstreams;
            made_node.scheduler->set_upstreams(upstreams, this->rules.get());
            this->limit_warmups(index);
            this->after(this->any_time(0s, tick_interval), [this, index] { this->tick(index); });
        }
        this->after(load_start, [this] { this->request(); });
    }

    [[nodiscard]] duration any_time(duration from, duration to)
    {
        return from + duration{static_cast<duration::rep>(
                          uniform(this->random) * static_cast<double>((to - from).count()))};
    }
    void after(duration wait, std::function<void()>&& event)
    {
        this->events.emplace(this->now + wait, std::move(event));
    }
    void at(duration since_start, std::function<void()>&& event)
    {
        this->events.emplace(this->started_at + since_start, std::move(event));
    }
    /// A datagram may be lost, and is then repeated.
    [[nodiscard]] duration datagram_time()
    {
        const bool is_lost = uniform(this->random) < 0.05;
        return this->any_time(1ms, 3ms) + (is_lost ? duration{40ms} : duration{0});
    }
    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const
    {
        return this->nodes[from].is_running && this->nodes[to].is_running &&
               this->nodes[from].side == this->nodes[to].side;
    }

    void limit_warmups(std::size_t index)
    {
        const bool is_owner = this->nodes[index].owner == index;
        this->nodes[index].scheduler->limit_warmups(
            [is_owner](const target_name&, cell_index) { return is_owner; }, this->now);
    }
    void tick(std::size_t index)
    {
        if (!this->nodes[index].is_running)
            return;
        placement_scheduler::responses responses;
        this->nodes[index].scheduler->tick(this->now, responses);
        this->deliver(index, responses);
        this->after(tick_interval, [this, index] { this->tick(index); });
    }
    void request()
    {
        this->after(duration{static_cast<duration::rep>(1e6 / requests_per_second * 2.0 *
                                                        uniform(this->random))},
                    [this] { this->request(); });
        const auto entry = static_cast<std::size_t>(uniform(this->random) * node_count);
        if (!this->nodes[entry].is_running)
            return;
        waiting_request& made = this->requests[++this->sequence];
        made.entry = entry;
        made.request.id = {this->nodes[entry].name, {entry + 1}, this->sequence};
        made.request.pool.value = "engines";
        made.request.prompt_tokens = 100;
        made.request.output_tokens = 3;
        made.request.latency_budget = 500ms;
        made.request.max_wait = 1s;
        made.request.failure_domain.value = std::string(1, char('a' + entry % domain_count));
        this->send_to_owner(this->sequence);
    }
    void send_to_owner(std::uint64_t number)
    {
        waiting_request& waiting = this->requests.at(number);
        const std::size_t owner = this->nodes[waiting.entry].owner;
        waiting.owner = owner;
        this->after(this->datagram_time(), [this, number, owner] {
            const waiting_request& sent = this->requests.at(number);
            if (!this->reaches(sent.entry, owner) || sent.is_granted || sent.has_ended)
                return;
            placement_scheduler::responses responses;
            this->nodes[owner].scheduler->submit(sent.request, this->now, responses);
            this->deliver(owner, responses);
        });
    }
    void deliver(std::size_t owner, const placement_scheduler::responses& responses)
    {
        for (const placement_response& response : responses) {
            this->after(this->datagram_time(), [this, owner, response] {
                const placement_id id =
                    std::visit([](const auto& each) { return each.id; }, response);
                waiting_request& waiting = this->requests.at(id.sequence);
                if (!this->reaches(owner, waiting.entry) || waiting.is_granted)
                    return;
                const auto* grant = std::get_if<placement_grant>(&response);
                waiting.has_ended = grant == nullptr;
                waiting.is_granted = grant != nullptr;
                // A new connection, or a busy node.
                if (grant != nullptr)
                    this->after(this->any_time(0s, 40ms),
                                [this, owner, granted = *grant] { this->send(owner, granted); });
            });
        }
    }
    void send(std::size_t owner, const placement_grant& grant)
    {
        const std::size_t entry = this->requests.at(grant.id.sequence).entry;
        if (!this->nodes[entry].is_running)
            return;
        ++this->sent_in_all;
        const auto found = std::find_if(
            this->nodes[entry].upstreams.begin(), this->nodes[entry].upstreams.end(),
            [&](const announced_upstream& each) { return each.name == grant.upstream; });
        const bool is_warming = found->failure_domain.value == "a" &&
                                this->now >= this->warming_from &&
                                this->now < this->warming_from + warmup_length;
        if (is_warming)
            this->sent_while_warming[grant.upstream].push_back(this->now);
        this->after(this->any_time(40ms, 120ms), [this, owner, entry, id = grant.id] {
            if (!this->reaches(entry, owner))
                return;
            placement_scheduler::responses responses;
            this->nodes[owner].scheduler->release({id, placement_outcome::completed, 20ms, 5ms},
                                                  this->now, responses);
            this->deliver(owner, responses);
        });
    }

    /// A whole domain begins to warm up again, and says so a while later.
    void restart_warmups(duration when)
    {
        this->at(when, [this] {
            this->warming_from = this->now;
            const duration silence = this->any_time(1s, 2s);
            for (std::size_t index = 0; index < node_count; ++index)
                this->after(silence + this->any_time(0s, 50ms), [this, index] {
                    for (announced_upstream& each : this->nodes[index].upstreams) {
                        if (each.failure_domain.value == "a")
                            each.warm_at = this->warming_from + warmup_length;
                    }
                    this->nodes[index].scheduler->set_upstreams(this->nodes[index].upstreams,
                                                                this->rules.get());
                    this->limit_warmups(index);
                });
        });
    }
    /// A node that gets no response from its owner takes the next one that it reaches.
    void change_owner(std::size_t index, std::size_t owner)
    {
        if (!this->nodes[index].is_running || this->nodes[index].owner == owner)
            return;
        this->nodes[index].owner = owner;
        this->limit_warmups(index);
        for (auto& [number, waiting] : this->requests) {
            if (waiting.entry == index && !waiting.is_granted && !waiting.has_ended)
                this->send_to_owner(number);
        }
    }
    void kill(std::size_t index, duration when)
    {
        this->at(when, [this, index] {
            this->nodes[index].is_running = false;
            for (std::size_t other = index + 1; other < node_count; ++other)
                this->after(this->any_time(100ms, 260ms),
                            [this, other, next = index + 1] { this->change_owner(other, next); });
        });
    }
    /// Cuts off the nodes from `first` on; each side notices that the other is gone a while later.
    void cut(std::size_t first, duration when, duration length)
    {
        const double small_share = 1.0 - static_cast<double>(first) / node_count;
        this->at(when, [this, first, small_share, length] {
            for (std::size_t index = first; index < node_count; ++index) {
                this->nodes[index].side = 1;
                this->after(this->any_time(100ms, 260ms),
                            [this, index, first] { this->change_owner(index, first); });
            }
            for (std::size_t index = 0; index < node_count; ++index) {
                const double share = index < first ? 1.0 - small_share : small_share;
                this->after(this->any_time(1500ms, 2500ms), [this, index, share] {
                    this->nodes[index].scheduler->set_fleet_share(share);
                });
                this->after(length + this->any_time(100ms, 1s), [this, index] {
                    this->nodes[index].scheduler->set_fleet_share(1.0);
                    this->change_owner(index, 0);
                });
            }
            this->after(length, [this] {
                for (node& each : this->nodes)
                    each.side = 0;
            });
        });
    }

    /// All processes end and start again. Each takes itself for the owner, until it hears that the
    /// others serve, too.
    void restart_all(duration when)
    {
        this->at(when, [this] {
            duration last_serves{0};
            std::vector<duration> serves;
            for (std::size_t index = 0; index < node_count; ++index) {
                serves.push_back(this->any_time(400ms, 700ms));
                last_serves = std::max(last_serves, serves.back());
            }
            for (auto& [number, waiting] : this->requests)
                waiting.has_ended = true;
            for (std::size_t index = 0; index < node_count; ++index) {
                this->nodes[index].is_running = false;
                this->after(serves[index] - 400ms, [this, index] { this->start_again(index); });
                this->after(serves[index], [this, index] { this->nodes[index].is_running = true; });
                this->after(serves[index], [this, index] { this->tick(index); });
                this->after(last_serves + this->any_time(5ms, 200ms), [this, index] {
                    this->nodes[index].scheduler->set_serving_share(1.0);
                    this->change_owner(index, 0);
                });
            }
        });
    }
    void start_again(std::size_t index)
    {
        node& started = this->nodes[index];
        started.scheduler = std::make_unique<placement_scheduler>(this->sequence + index);
        started.scheduler->set_warmup_tolerance(tolerance);
        started.scheduler->set_upstreams(started.upstreams, this->rules.get());
        started.scheduler->set_serving_share(1.0 / node_count);
        started.owner = index;
        this->limit_warmups(index);
    }

    void play()
    {
        while (!this->events.empty() && this->events.begin()->first < this->started_at + end) {
            const auto next = this->events.begin();
            this->now = next->first;
            const std::function<void()> event = std::move(next->second);
            this->events.erase(next);
            event();
        }
    }
    /// Requests that an upstream got within a second while it warmed up, at most.
    [[nodiscard]] std::size_t most_in_second() const
    {
        std::size_t most = 0;
        for (const auto& [name, times] : this->sent_while_warming) {
            auto first = times.begin();
            for (auto last = times.begin(); last != times.end(); ++last) {
                while (*last - *first >= 1s)
                    ++first;
                most = std::max(most, static_cast<std::size_t>(last - first) + 1);
            }
        }
        return most;
    }
};

/// Plays a story with each seed; returns the most requests in a second to an upstream that warms
/// up.
std::size_t play_all(const std::function<void(warmup_fleet&)>& story, double limit = rate,
                     std::size_t seeds = seed_count)
{
    std::size_t most = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        warmup_fleet fleet{seed, limit};
        story(fleet);
        fleet.play();
        const std::size_t found = fleet.most_in_second();
        if (found > max_in_second)
            MESSAGE("seed " << seed << ": " << found);
        CHECK(fleet.sent_in_all > 0);
        most = std::max(most, found);
    }
    MESSAGE("most in a second: " << most);
    return most;
}

} // namespace

TEST_CASE("a failure domain that warms up under full load is never sent more than it bears")
{
    const auto warm_up = [](warmup_fleet& fleet) { fleet.restart_warmups(fleet.any_time(5s, 6s)); };
    SUBCASE("without a rate for the warm-up it is")
    {
        CHECK(play_all(warm_up, 0.0, 3) > max_in_second);
    }
    SUBCASE("with one owner")
    {
        CHECK(play_all(warm_up) <= max_in_second);
    }
    SUBCASE("when the owner dies in mid-second and another one takes over")
    {
        CHECK(play_all([&](warmup_fleet& fleet) {
                  warm_up(fleet);
                  fleet.kill(0, fleet.any_time(5s, 9s));
              }) <= max_in_second);
    }
    SUBCASE("when two owners die one after the other")
    {
        CHECK(play_all([&](warmup_fleet& fleet) {
                  warm_up(fleet);
                  const duration first = fleet.any_time(5s, 8s);
                  fleet.kill(0, first);
                  fleet.kill(1, first + fleet.any_time(300ms, 900ms));
              }) <= max_in_second);
    }
    SUBCASE("when the fleet is cut in two, and both sides have an owner")
    {
        CHECK(play_all([&](warmup_fleet& fleet) {
                  warm_up(fleet);
                  const auto first = static_cast<std::size_t>(1.0 + uniform(fleet.random) * 10.0);
                  fleet.cut(first, fleet.any_time(4500ms, 8s), 20s);
              }) <= max_in_second);
    }
    SUBCASE("when all nodes end and start again together")
    {
        CHECK(play_all([&](warmup_fleet& fleet) {
                  warm_up(fleet);
                  fleet.restart_all(fleet.any_time(4500ms, 8s));
              }) <= max_in_second);
    }
    SUBCASE("when the fleet is cut in two and joined again")
    {
        CHECK(play_all([&](warmup_fleet& fleet) {
                  warm_up(fleet);
                  const auto first = static_cast<std::size_t>(1.0 + uniform(fleet.random) * 10.0);
                  fleet.cut(first, fleet.any_time(4200ms, 6s), fleet.any_time(500ms, 5s));
              }) <= max_in_second);
    }
}

} // namespace ragwortcove::core
