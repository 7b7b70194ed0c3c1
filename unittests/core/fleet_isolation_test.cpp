#include "ragwortcove/core/fleet_view.hpp"

#include <doctest/doctest.h>

#include <array>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

/// One node whose only seed is another one, on virtual time.
struct lone_node {
    time_point now{1h};
    random_engine random{7};
    effect_list effects;
    fleet_view view;

    explicit lone_node(bool confirms_isolation) : view(settings(confirms_isolation), time_point{1h})
    {
    }
    static node_settings settings(bool confirms_isolation)
    {
        node_settings made;
        made.name.value = "a";
        made.run.value = 1;
        made.peers = {"10.0.0.1", 1};
        made.seeds = {{"10.0.0.2", 1}};
        made.confirms_isolation = confirms_isolation;
        return made;
    }
    void pass(duration time)
    {
        for (const time_point end = this->now + time; this->now < end;) {
            this->now += fleet_view::tick_interval;
            step_context context{this->now, {}, this->random, this->effects};
            this->view.tick(context);
            static_cast<void>(this->view.refresh_owners(this->now));
        }
    }
    [[nodiscard]] bool has_contacted(const endpoint& address)
    {
        bool found = false;
        for (const effect& each : this->effects) {
            const auto* sent = std::get_if<send_peer>(&each);
            found = found || (sent != nullptr && sent->address == address);
        }
        this->effects.clear();
        return found;
    }
};

} // namespace

// Guards against nodes that each account for a whole quota: those that are added while all seeds
// are away hear of no other, and took themselves for the only one.
TEST_CASE("a node that hears of no other takes itself for the only one once that is confirmed")
{
    SUBCASE("where something else tells")
    {
        lone_node node{true};
        node.pass(5s);
        CHECK(node.view.is_isolated());
        CHECK_FALSE(node.view.is_settled(node.now));
        node.view.confirm_isolation();
        node.pass(500ms);
        CHECK(node.view.is_settled(node.now));
    }
    SUBCASE("after a time where nothing does")
    {
        lone_node node{false};
        node.pass(600ms);
        CHECK(node.view.is_settled(node.now));
    }
    SUBCASE("and contacts at once what it is told of")
    {
        lone_node node{true};
        node.pass(1500ms);
        const endpoint other{"10.0.0.3", 1};
        CHECK_FALSE(node.has_contacted(other));
        node.view.add_seeds(std::array{other});
        node.pass(100ms);
        CHECK(node.has_contacted(other));
    }
}

} // namespace ragwortcove::core
