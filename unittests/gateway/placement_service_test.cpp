#include "gateway.pb.h"
#include "ragwortcove/gateway/placement_service.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

namespace {

/// Several nodes on virtual time, with a network that delays and loses datagrams.
struct simulated_network {
    struct node {
        core::node_name name;
        core::incarnation run;
        std::unique_ptr<placement_service> service;
        /// Nodes that this one can choose as owners, and nodes that it considers running.
        std::vector<std::string> owner_candidates;
        std::vector<std::string> running_nodes;
        bool settled = true;
        bool disconnected = false;
    };
    struct datagram {
        time_point due;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
    };

    std::vector<std::unique_ptr<node>> nodes;
    std::deque<datagram> in_transit;
    time_point now{1h};
    std::minstd_rand random{7};
    double loss = 0.0;
    std::shared_ptr<const core::rule_index> rules;
    std::vector<core::announced_upstream> upstreams;
    std::uint64_t runs = 0;

    explicit simulated_network(std::size_t count)
    {
        core::ruleset ruleset;
        ruleset.targets = {{{"engines"}, true, 2, 0, 5}};
        core::team_rule team;
        team.name.value = "team";
        team.counts_tokens = true;
        team.rate = 1000.0;
        team.burst = 1000.0;
        ruleset.teams = {team};
        this->rules = std::make_shared<const core::rule_index>(std::move(ruleset));
        for (std::size_t index = 0; index < 3; ++index) {
            core::announced_upstream upstream;
            upstream.name.value = "e" + std::to_string(index);
            upstream.target.value = "engines";
            this->upstreams.push_back(upstream);
        }
        std::vector<std::string> all;
        for (std::size_t index = 0; index < count; ++index)
            all.push_back("n" + std::to_string(index));
        for (std::size_t index = 0; index < count; ++index) {
            this->nodes.push_back(std::make_unique<node>());
            this->nodes.back()->name.value = all[index];
            this->nodes.back()->owner_candidates = all;
            this->nodes.back()->running_nodes = all;
            this->start(index);
        }
    }

    /// Starts a new process of a node.
    void start(std::size_t index)
    {
        node& started = *this->nodes[index];
        started.run.value = ++this->runs;
        placement_dependencies dependencies;
        dependencies.self = started.name;
        dependencies.run = started.run;
        dependencies.now = [this] { return this->now; };
        dependencies.owner_of = [&started](std::string_view) {
            return core::node_name{started.owner_candidates.front()};
        };
        dependencies.quota_owner_of = [&started](std::string_view) {
            return core::node_name{started.running_nodes.front()};
        };
        dependencies.is_settled = [&started] { return started.settled; };
        dependencies.mark_unreachable = [this, &started](const core::node_name& name) {
            std::erase(started.owner_candidates, name.value);
            if (started.owner_candidates.empty())
                started.owner_candidates.push_back(started.name.value);
            started.service->owners_changed();
            (void)this;
        };
        dependencies.send = [this, index](const core::node_name& to, wire::PeerDatagram& message) {
            this->send(index, to, message);
        };
        dependencies.serving_node_count = [&started] { return started.running_nodes.size(); };
        dependencies.lost_node_count = [this, &started] {
            return this->nodes.size() - started.running_nodes.size();
        };
        dependencies.running_node_count = [&started] { return started.running_nodes.size(); };
        dependencies.tolerance = {8s, 0.1, 1000.0};
        started.service = std::make_unique<placement_service>(std::move(dependencies));
        started.service->set_rules(this->rules);
        started.service->set_upstreams(this->upstreams);
    }

    void send(std::size_t from, const core::node_name& to, wire::PeerDatagram& message)
    {
        message.set_sender(this->nodes[from]->name.value);
        message.set_run(this->nodes[from]->run.value);
        const bool lost =
            std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < this->loss;
        const auto found = std::find_if(this->nodes.begin(), this->nodes.end(),
                                        [&](const auto& each) { return each->name == to; });
        if (lost || found == this->nodes.end())
            return;
        const auto index = static_cast<std::size_t>(found - this->nodes.begin());
        this->in_transit.push_back({this->now + 1ms, from, index, message.SerializeAsString()});
    }

    void pass(duration time)
    {
        for (const time_point end = this->now + time; this->now < end;) {
            this->now += 1ms;
            while (!this->in_transit.empty() && this->in_transit.front().due <= this->now) {
                const datagram next = this->in_transit.front();
                this->in_transit.pop_front();
                const bool is_disconnected =
                    this->nodes[next.from]->disconnected || this->nodes[next.to]->disconnected;
                wire::PeerDatagram message;
                REQUIRE(message.ParseFromString(next.bytes));
                const bool is_for_this_run =
                    message.receiver_run() == 0 ||
                    message.receiver_run() == this->nodes[next.to]->run.value;
                if (!is_disconnected && is_for_this_run)
                    this->nodes[next.to]->service->receive_message({message.sender()}, message);
            }
            if (this->now.time_since_epoch().count() % 25000 == 0) {
                for (const auto& each : this->nodes)
                    each->service->tick();
            }
        }
    }

    [[nodiscard]] core::placement_request make_request() const
    {
        core::placement_request result;
        result.pool.value = "engines";
        result.prompt_tokens = 100;
        result.output_tokens = 50;
        result.latency_budget = 500ms;
        result.max_wait = 2s;
        return result;
    }
};

/// The response to one placement request.
struct placement_result {
    placement_number number = 0;
    std::optional<core::placement_response> response;
    [[nodiscard]] bool granted() const
    {
        return this->response && std::holds_alternative<core::placement_grant>(*this->response);
    }
};

void place_request(placement_service& service, const simulated_network& network,
                   placement_result& result)
{
    result.number =
        service.place(network.make_request(),
                      [&result](placement_number number, const core::placement_response& response) {
                          result.number = number;
                          result.response = response;
                      });
}

} // namespace

TEST_CASE("requests of all nodes share the slots of one owner")
{
    simulated_network network{3};
    std::vector<placement_result> placements(8);
    for (std::size_t index = 0; index < placements.size(); ++index)
        place_request(*network.nodes[index % 3]->service, network, placements[index]);
    network.pass(500ms);
    const auto granted = [&] {
        return std::count_if(placements.begin(), placements.end(),
                             [](const placement_result& each) { return each.granted(); });
    };
    CHECK(granted() == 6);

    SUBCASE("a released slot is granted to a request of another node")
    {
        for (std::size_t index = 0; index < placements.size(); ++index) {
            if (placements[index].granted()) {
                network.nodes[index % 3]->service->release(
                    placements[index].number, core::placement_outcome::completed, 50ms, 20ms);
                break;
            }
        }
        network.pass(100ms);
        CHECK(granted() == 7);
    }
    SUBCASE("an unresponsive owner is replaced, and its grants stay counted")
    {
        network.nodes[0]->disconnected = true;
        std::vector<placement_result> later(4);
        for (placement_result& each : later)
            place_request(*network.nodes[1]->service, network, each);
        network.pass(1s);
        const auto granted_later = static_cast<std::size_t>(
            std::count_if(later.begin(), later.end(),
                          [](const placement_result& each) { return each.granted(); }));
        // The new owner is sent the four requests that itself and the third node hold, but not
        // those of the first node.
        CHECK(granted_later >= 1);
        CHECK(network.nodes[1]->service->owned_placements().in_flight() <= 6);
    }
}

TEST_CASE("lost datagrams lose no request and no slot")
{
    simulated_network network{3};
    network.loss = 0.2;
    for (int round = 0; round < 30; ++round) {
        std::vector<placement_result> placements(5);
        for (std::size_t index = 0; index < placements.size(); ++index)
            place_request(*network.nodes[index % 3]->service, network, placements[index]);
        network.pass(800ms);
        for (std::size_t index = 0; index < placements.size(); ++index) {
            CHECK(placements[index].response.has_value());
            network.nodes[index % 3]->service->release(
                placements[index].number, core::placement_outcome::completed, 50ms, 20ms);
        }
    }
    network.loss = 0.0;
    network.pass(4s);
    for (const auto& each : network.nodes)
        CHECK(each->service->owned_placements().in_flight() == 0);
}

TEST_CASE("a request that waits while the cells change is granted once and leaves no slot taken")
{
    simulated_network network(1);
    placement_service& service = *network.nodes[0]->service;
    std::vector<core::announced_upstream> few;
    std::vector<core::announced_upstream> all;
    // One usable upstream for each of two cells, and so many leaving ones that there are two cells.
    std::set<core::cell_index> cells;
    for (int index = 0; index < 30; ++index) {
        core::announced_upstream upstream;
        upstream.name.value = "u" + std::to_string(index);
        upstream.target.value = "engines";
        upstream.leaving = !cells.insert(core::placement_cell_of(upstream.name, 2)).second;
        all.push_back(upstream);
        if (!upstream.leaving)
            few.push_back(upstream);
    }
    REQUIRE(few.size() == 2);
    service.set_upstreams(all);
    constexpr std::size_t slot_count = 4;
    constexpr std::size_t request_count = 24;
    std::vector<int> responses(request_count, 0);
    std::vector<placement_number> granted;
    std::size_t denied = 0;
    for (std::size_t index = 0; index < request_count; ++index) {
        service.place(network.make_request(), [&, index](placement_number number,
                                                         const core::placement_response& response) {
            ++responses[index];
            if (std::holds_alternative<core::placement_grant>(response))
                granted.push_back(number);
            else
                ++denied;
        });
    }
    network.pass(200ms);
    REQUIRE(granted.size() == slot_count);
    REQUIRE(service.owned_placements().waiting() == request_count - slot_count);
    SUBCASE("two cells become one")
    {
        service.set_upstreams(few);
    }
    SUBCASE("two cells become one and two again")
    {
        service.set_upstreams(few);
        service.set_upstreams(all);
    }
    SUBCASE("no upstream is left, and then all are back")
    {
        service.set_upstreams({});
        network.pass(100ms);
        service.set_upstreams(all);
    }
    // Long enough for each request that waits to be sent again.
    network.pass(500ms);
    const std::size_t waiting = service.owned_placements().waiting();
    CHECK(waiting + granted.size() + denied <= request_count);
    for (int round = 0; round < 100; ++round) {
        for (const placement_number number : std::exchange(granted, {}))
            service.release(number, core::placement_outcome::completed, 10ms, 0ms);
        network.pass(50ms);
        CHECK(service.owned_placements().in_flight() == granted.size());
    }
    CHECK(std::all_of(responses.begin(), responses.end(), [](int count) { return count == 1; }));
    CHECK(service.owned_placements().waiting() == 0);
    CHECK(service.owned_placements().in_flight() == 0);
    for (const core::upstream_view& each : service.owned_placements().views())
        CHECK(each.in_flight == 0);
}

TEST_CASE("slots of a node are released when its process ends")
{
    simulated_network network{2};
    placement_result placement;
    place_request(*network.nodes[1]->service, network, placement);
    network.pass(300ms);
    REQUIRE(placement.granted());
    CHECK(network.nodes[0]->service->owned_placements().in_flight() == 1);
    network.nodes[0]->service->node_ended(network.nodes[1]->run);
    CHECK(network.nodes[0]->service->owned_placements().in_flight() == 0);
}

static simulated_network::node& node_at(simulated_network& network, std::size_t index)
{
    return *network.nodes[index];
}

/// Lets every node request a team's units every 5 ms; returns the units granted.
static double use_up_quota(simulated_network& network, duration time)
{
    double granted = 0.0;
    const core::team_rule& team = network.rules->rules().teams.front();
    for (const time_point end = network.now + time; network.now < end;) {
        for (const auto& each : network.nodes) {
            each->service->acquire_quota(team, {"engines"}, 20.0, 0s,
                                         [&](const core::quota_decision& response) {
                                             granted += response.granted ? 20.0 : 0.0;
                                         });
        }
        network.pass(5ms);
    }
    network.pass(1s);
    return granted;
}

/// Units that the team may use in a window of eight seconds, including the tolerance.
static constexpr double max_units_in_window = (1000.0 * 8.0 + 1000.0) * 1.1 + 1000.0;

TEST_CASE("a team's quota is enforced across all nodes")
{
    simulated_network network{9};
    network.pass(10s);

    SUBCASE("without failures, and few requests within the quota are refused")
    {
        const double granted = use_up_quota(network, 7s);
        CHECK(granted <= max_units_in_window);
        CHECK(granted >= 1000.0 * 8.0);
    }
    SUBCASE("when all nodes are killed and restart at once without knowing each other")
    {
        double granted = use_up_quota(network, 3s);
        for (std::size_t index = 0; index < network.nodes.size(); ++index) {
            network.nodes[index]->owner_candidates = {network.nodes[index]->name.value};
            network.nodes[index]->running_nodes = network.nodes[index]->owner_candidates;
            network.nodes[index]->settled = false;
            network.start(index);
        }
        granted += use_up_quota(network, 200ms);
        for (const auto& each : network.nodes) {
            each->owner_candidates.clear();
            for (const auto& other : network.nodes)
                each->owner_candidates.push_back(other->name.value);
            each->running_nodes = each->owner_candidates;
            each->settled = true;
            each->service->owners_changed();
        }
        granted += use_up_quota(network, 2s);
        CHECK(granted <= max_units_in_window);
    }
    SUBCASE("when some nodes are disconnected and spend their own shares")
    {
        for (std::size_t index = 6; index < 9; ++index)
            network.nodes[index]->disconnected = true;
        double granted = use_up_quota(network, 1s);
        // After two seconds both sides consider each other dead.
        for (std::size_t index = 0; index < 9; ++index) {
            node_at(network, index).running_nodes.clear();
            for (std::size_t other = 0; other < 9; ++other) {
                const bool is_same_side = index < 6 ? other < 6 : other == index;
                if (is_same_side)
                    node_at(network, index)
                        .running_nodes.push_back(node_at(network, other).name.value);
            }
            node_at(network, index).service->owners_changed();
        }
        granted += use_up_quota(network, 5s);
        CHECK(granted <= max_units_in_window);
        CHECK(granted >= 1000.0 * 6.0);
    }
    SUBCASE("when datagrams are lost, no request is charged twice")
    {
        network.loss = 0.2;
        const double granted = use_up_quota(network, 7s);
        CHECK(granted <= max_units_in_window);
        CHECK(granted >= 1000.0 * 7.0);
    }
}

} // namespace ragwortcove::gateway
