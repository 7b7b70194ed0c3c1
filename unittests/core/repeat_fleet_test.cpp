#include "ragwortcove/core/fleet_view.hpp"
#include "ragwortcove/core/repeat_budget.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

constexpr repeat_limits limits{0.2, 52.0, 10s};
const target_name target{"t"};

/// Nodes on virtual time that find each other and repeat requests whenever their budget lets them.
struct repeating_fleet {
    struct node {
        node_settings settings;
        std::unique_ptr<fleet_view> view;
        std::unique_ptr<repeat_budget> budget;
    };
    time_point now{1h};
    random_engine random{7};
    effect_list effects;
    std::vector<node> nodes;
    /// Whether no datagram arrives.
    bool is_cut = false;
    /// When a request was repeated, and when one came in.
    std::vector<time_point> repeats;
    std::vector<time_point> requests;

    explicit repeating_fleet(std::size_t count)
    {
        this->nodes.resize(count);
        for (std::size_t index = 0; index < count; ++index) {
            node_settings& settings = this->nodes[index].settings;
            settings.name.value = "n" + std::to_string(index);
            settings.peers = address_of(index);
            for (std::size_t seed = 0; seed < std::min<std::size_t>(count, 3); ++seed)
                settings.seeds.push_back(address_of(seed));
            this->start(index);
        }
    }

    static endpoint address_of(std::size_t index)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    }

    [[nodiscard]] step_context step() { return {this->now, {}, this->random, this->effects}; }

    void start(std::size_t index)
    {
        node& started = this->nodes[index];
        started.settings.run.value += 1000 + index;
        started.view = std::make_unique<fleet_view>(started.settings, this->now);
        started.budget = std::make_unique<repeat_budget>(limits, this->now);
        step_context context = this->step();
        started.view->become_live(context);
    }

    void deliver()
    {
        // What a datagram leads to is delivered with the next step.
        for (const effect& each : std::exchange(this->effects, {})) {
            const auto* sent = std::get_if<send_peer>(&each);
            if (sent == nullptr || this->is_cut)
                continue;
            for (node& receiver : this->nodes) {
                step_context context = this->step();
                if (receiver.settings.peers == sent->address)
                    receiver.view->receive(std::get<heartbeat>(sent->message), context);
            }
        }
    }

    /// Each node gets a few requests a second and repeats as many of them as it may.
    void run(duration length)
    {
        const time_point until = this->now + length;
        for (int count = 0; this->now < until; ++count) {
            this->now += fleet_view::tick_interval;
            this->deliver();
            for (node& each : this->nodes) {
                step_context context = this->step();
                each.view->tick(context);
                static_cast<void>(each.view->refresh_owners(this->now));
                if (count % 5 == 0) {
                    this->requests.push_back(this->now);
                    each.budget->count_request(target, this->now);
                }
                while (each.budget->spend(target, each.view->known_node_count(), this->now))
                    this->repeats.push_back(this->now);
            }
        }
    }

    [[nodiscard]] static std::size_t count_in(const std::vector<time_point>& times, time_point from)
    {
        std::size_t count = 0;
        for (const time_point each : times)
            count += each >= from && each < from + limits.window ? 1 : 0;
        return count;
    }

    /// Most repeats in a window beyond what is allowed in it.
    [[nodiscard]] double excess() const
    {
        double most = -limits.allowance;
        for (const time_point from : this->repeats) {
            const double allowed =
                limits.share * static_cast<double>(count_in(this->requests, from)) +
                limits.allowance;
            most = std::max(most, static_cast<double>(count_in(this->repeats, from)) - allowed);
        }
        return most;
    }
};

} // namespace

TEST_CASE("the repeats of all nodes together stay within the shared budget")
{
    repeating_fleet fleet(7);
    SUBCASE("while all start at once")
    {
        fleet.run(15s);
    }
    SUBCASE("while no node reaches another one")
    {
        fleet.run(15s);
        fleet.is_cut = true;
        fleet.run(40s);
    }
    SUBCASE("while no node reaches another one and some start")
    {
        fleet.run(15s);
        fleet.is_cut = true;
        fleet.run(12s);
        for (const std::size_t index : {1, 3, 5})
            fleet.start(index);
        fleet.run(15s);
    }
    SUBCASE("while nodes are killed one after the other")
    {
        fleet.run(15s);
        for (int count = 0; count < 20; ++count) {
            fleet.start(static_cast<std::size_t>(count) % fleet.nodes.size());
            fleet.run(700ms);
        }
    }
    SUBCASE("while all are killed again and again")
    {
        fleet.run(15s);
        for (int count = 0; count < 4; ++count) {
            for (std::size_t index = 0; index < fleet.nodes.size(); ++index)
                fleet.start(index);
            fleet.run(3s);
        }
    }
    CHECK(fleet.excess() <= 0.0);
}

TEST_CASE("a settled fleet uses most of its shared budget")
{
    repeating_fleet fleet(7);
    fleet.run(30s);
    const time_point from = fleet.now - limits.window;
    const double allowed =
        limits.share * static_cast<double>(repeating_fleet::count_in(fleet.requests, from)) +
        limits.allowance;
    CHECK(static_cast<double>(repeating_fleet::count_in(fleet.repeats, from)) >= 0.6 * allowed);
}

TEST_CASE("a node alone has the whole allowance")
{
    repeating_fleet fleet(1);
    fleet.run(30s);
    CHECK(repeating_fleet::count_in(fleet.repeats, fleet.now - limits.window) >= 35);
}

} // namespace ragwortcove::core
