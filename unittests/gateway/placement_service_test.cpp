#include "gateway.pb.h"
#include "ragwortcove/gateway/placement_service.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

namespace {

/// Some nodes on virtual time, with a network that delays and loses datagrams.
struct nodes_on_a_network {
    struct node {
        core::node_name name;
        core::incarnation run;
        std::unique_ptr<placement_service> service;
        /// Nodes that it can choose for placing, and those that it takes for running.
        std::vector<std::string> knows;
        std::vector<std::string> running;
        bool met = true;
        bool cut_off = false;
    };
    struct datagram {
        time_point due;
        std::size_t from = 0;
        std::size_t to = 0;
        std::string bytes;
    };

    std::vector<std::unique_ptr<node>> nodes;
    std::deque<datagram> on_the_way;
    time_point now{1h};
    std::minstd_rand random{7};
    double loss = 0.0;
    std::shared_ptr<const core::rule_index> rules;
    std::vector<core::announced_upstream> upstreams;
    std::uint64_t runs = 0;

    explicit nodes_on_a_network(std::size_t count)
    {
        core::ruleset made;
        made.targets = {{{"engines"}, true, 2, 0, 5}};
        core::team_rule team;
        team.name.value = "team";
        team.counts_tokens = true;
        team.rate = 1000.0;
        team.burst = 1000.0;
        made.teams = {team};
        this->rules = std::make_shared<const core::rule_index>(std::move(made));
        for (std::size_t index = 0; index < 3; ++index) {
            core::announced_upstream one;
            one.name.value = "e" + std::to_string(index);
            one.target.value = "engines";
            this->upstreams.push_back(one);
        }
        std::vector<std::string> all;
        for (std::size_t index = 0; index < count; ++index)
            all.push_back("n" + std::to_string(index));
        for (std::size_t index = 0; index < count; ++index) {
            this->nodes.push_back(std::make_unique<node>());
            this->nodes.back()->name.value = all[index];
            this->nodes.back()->knows = all;
            this->nodes.back()->running = all;
            this->start(index);
        }
    }

    /// Starts a node's process anew.
    void start(std::size_t index)
    {
        node& of = *this->nodes[index];
        of.run.value = ++this->runs;
        placement_dependencies dependencies;
        dependencies.self = of.name;
        dependencies.run = of.run;
        dependencies.now = [this] { return this->now; };
        dependencies.owner_of = [&of](std::string_view) {
            return core::node_name{of.knows.front()};
        };
        dependencies.quota_owner_of = [&of](std::string_view) {
            return core::node_name{of.running.front()};
        };
        dependencies.is_discovery_finished = [&of] { return of.met; };
        dependencies.mark_unreachable = [this, &of](const core::node_name& name) {
            std::erase(of.knows, name.value);
            if (of.knows.empty())
                of.knows.push_back(of.name.value);
            of.service->owners_changed();
            (void)this;
        };
        dependencies.send = [this, index](const core::node_name& to, wire::PeerDatagram& message) {
            this->send(index, to, message);
        };
        dependencies.serving_count = [&of] { return of.running.size(); };
        dependencies.lost_count = [this, &of] { return this->nodes.size() - of.running.size(); };
        dependencies.tolerance = {8s, 0.1, 1000.0};
        of.service = std::make_unique<placement_service>(std::move(dependencies));
        of.service->set_rules(this->rules);
        of.service->set_upstreams(this->upstreams);
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
        this->on_the_way.push_back({this->now + 1ms, from, index, message.SerializeAsString()});
    }

    void pass(duration time)
    {
        for (const time_point end = this->now + time; this->now < end;) {
            this->now += 1ms;
            while (!this->on_the_way.empty() && this->on_the_way.front().due <= this->now) {
                const datagram next = this->on_the_way.front();
                this->on_the_way.pop_front();
                const bool cut = this->nodes[next.from]->cut_off || this->nodes[next.to]->cut_off;
                wire::PeerDatagram message;
                REQUIRE(message.ParseFromString(next.bytes));
                const bool for_this_run = message.receiver_run() == 0 ||
                                          message.receiver_run() == this->nodes[next.to]->run.value;
                if (!cut && for_this_run)
                    this->nodes[next.to]->service->receive_message({message.sender()}, message);
            }
            if (this->now.time_since_epoch().count() % 25000 == 0) {
                for (const auto& each : this->nodes)
                    each->service->tick();
            }
        }
    }

    [[nodiscard]] core::placement_ask make_ask() const
    {
        core::placement_ask made;
        made.target.value = "engines";
        made.prompt_tokens = 100;
        made.output_tokens = 50;
        made.goal_left = 500ms;
        made.patience = 2s;
        return made;
    }
};

/// What came of an ask.
struct placed {
    placement_number number = 0;
    std::optional<core::placement_answer> answer;
    [[nodiscard]] bool granted() const
    {
        return this->answer && std::holds_alternative<core::placement_grant>(*this->answer);
    }
};

void place(placement_service& service, const nodes_on_a_network& network, placed& into)
{
    into.number = service.place(
        network.make_ask(), [&into](placement_number number, const core::placement_answer& answer) {
            into.number = number;
            into.answer = answer;
        });
}

} // namespace

TEST_CASE("requests of all nodes share the places of one owner")
{
    nodes_on_a_network network{3};
    std::vector<placed> asked(8);
    for (std::size_t index = 0; index < asked.size(); ++index)
        place(*network.nodes[index % 3]->service, network, asked[index]);
    network.pass(500ms);
    const auto granted = [&] {
        return std::count_if(asked.begin(), asked.end(),
                             [](const placed& each) { return each.granted(); });
    };
    CHECK(granted() == 6);

    SUBCASE("a place that gets free goes to a request of another node")
    {
        for (std::size_t index = 0; index < asked.size(); ++index) {
            if (asked[index].granted()) {
                network.nodes[index % 3]->service->release(
                    asked[index].number, core::placement_outcome::completed, 50ms, 20ms);
                break;
            }
        }
        network.pass(100ms);
        CHECK(granted() == 7);
    }
    SUBCASE("an owner that falls silent is replaced, and its grants stay counted")
    {
        network.nodes[0]->cut_off = true;
        std::vector<placed> more(4);
        for (placed& each : more)
            place(*network.nodes[1]->service, network, each);
        network.pass(1s);
        const auto by_others = static_cast<std::size_t>(std::count_if(
            more.begin(), more.end(), [](const placed& each) { return each.granted(); }));
        // The new owner hears of four requests of its own and of the third node, and knows nothing
        // of those of the first.
        CHECK(by_others >= 1);
        CHECK(network.nodes[1]->service->owned_placements().in_flight() <= 6);
    }
}

TEST_CASE("lost datagrams lose no request and no place")
{
    nodes_on_a_network network{3};
    network.loss = 0.2;
    for (int round = 0; round < 30; ++round) {
        std::vector<placed> asked(5);
        for (std::size_t index = 0; index < asked.size(); ++index)
            place(*network.nodes[index % 3]->service, network, asked[index]);
        network.pass(800ms);
        for (std::size_t index = 0; index < asked.size(); ++index) {
            CHECK(asked[index].answer.has_value());
            network.nodes[index % 3]->service->release(
                asked[index].number, core::placement_outcome::completed, 50ms, 20ms);
        }
    }
    network.loss = 0.0;
    network.pass(4s);
    for (const auto& each : network.nodes)
        CHECK(each->service->owned_placements().in_flight() == 0);
}

TEST_CASE("a node that asks for a place and ends leaves none behind")
{
    nodes_on_a_network network{2};
    placed asked;
    place(*network.nodes[1]->service, network, asked);
    network.pass(300ms);
    REQUIRE(asked.granted());
    CHECK(network.nodes[0]->service->owned_placements().in_flight() == 1);
    network.nodes[0]->service->node_ended(network.nodes[1]->run);
    CHECK(network.nodes[0]->service->owned_placements().in_flight() == 0);
}

static nodes_on_a_network::node& node_of(nodes_on_a_network& network, std::size_t index)
{
    return *network.nodes[index];
}

/// Lets every node ask for a team's units as fast as it can; gives the units granted.
static double drain_quota(nodes_on_a_network& network, duration time)
{
    double granted = 0.0;
    const core::team_rule& team = network.rules->rules().teams.front();
    for (const time_point end = network.now + time; network.now < end;) {
        for (const auto& each : network.nodes) {
            each->service->acquire_quota(
                team, {"engines"}, 20.0, 0s,
                [&](const core::quota_answer& answer) { granted += answer.granted ? 20.0 : 0.0; });
        }
        network.pass(5ms);
    }
    network.pass(1s);
    return granted;
}

/// What the team may use in a window of eight seconds, with the tolerance.
static constexpr double most_in_window = (1000.0 * 8.0 + 1000.0) * 1.1 + 1000.0;

TEST_CASE("a team's quota is kept over all nodes")
{
    nodes_on_a_network network{9};
    network.pass(10s);

    SUBCASE("when nothing is wrong, and hardly anything below it is refused")
    {
        const double granted = drain_quota(network, 7s);
        CHECK(granted <= most_in_window);
        CHECK(granted >= 1000.0 * 8.0);
    }
    SUBCASE("when all nodes are killed and start at once, knowing nobody")
    {
        double granted = drain_quota(network, 3s);
        for (std::size_t index = 0; index < network.nodes.size(); ++index) {
            network.nodes[index]->knows = {network.nodes[index]->name.value};
            network.nodes[index]->running = network.nodes[index]->knows;
            network.nodes[index]->met = false;
            network.start(index);
        }
        granted += drain_quota(network, 200ms);
        for (const auto& each : network.nodes) {
            each->knows.clear();
            for (const auto& other : network.nodes)
                each->knows.push_back(other->name.value);
            each->running = each->knows;
            each->met = true;
            each->service->owners_changed();
        }
        granted += drain_quota(network, 2s);
        CHECK(granted <= most_in_window);
    }
    SUBCASE("when some are cut off and spend their own share")
    {
        for (std::size_t index = 6; index < 9; ++index)
            network.nodes[index]->cut_off = true;
        double granted = drain_quota(network, 1s);
        // After two seconds both sides take each other for dead.
        for (std::size_t index = 0; index < 9; ++index) {
            node_of(network, index).running.clear();
            for (std::size_t other = 0; other < 9; ++other) {
                const bool together = index < 6 ? other < 6 : other == index;
                if (together)
                    node_of(network, index).running.push_back(node_of(network, other).name.value);
            }
            node_of(network, index).service->owners_changed();
        }
        granted += drain_quota(network, 5s);
        CHECK(granted <= most_in_window);
        CHECK(granted >= 1000.0 * 6.0);
    }
    SUBCASE("when datagrams are lost, nothing is taken twice")
    {
        network.loss = 0.2;
        const double granted = drain_quota(network, 7s);
        CHECK(granted <= most_in_window);
        CHECK(granted >= 1000.0 * 7.0);
    }
}

} // namespace ragwortcove::gateway
