#include "gateway.pb.h"
#include "ragwortcove/gateway/placement_service.hpp"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

namespace {

/// Three nodes, named by their failure domain and a number: a1 and b1 own a
/// target each, b2 asks. Messages between the domains take longer.
struct distant_nodes {
    struct datagram {
        time_point due;
        std::string to;
        std::string bytes;
    };

    time_point now{1h};
    duration way = 30ms;
    std::map<std::string, std::unique_ptr<placement_service>> services;
    std::vector<datagram> in_transit;
    /// Ways that a1 was told last, by domain.
    std::map<std::string, duration> reported;

    explicit distant_nodes(bool spills)
    {
        std::uint64_t run = 0;
        for (const std::string name : {"a1", "b1", "b2"}) {
            placement_dependencies made;
            made.self.value = name;
            made.run.value = ++run;
            made.now = [this] { return this->now; };
            made.owner_of = [](std::string_view key) {
                return core::node_name{key.find("/near/") == key.npos ? "a1" : "b1"};
            };
            made.quota_owner_of = made.owner_of;
            made.is_settled = [] { return true; };
            made.mark_unreachable = [](const core::node_name&) {};
            made.send = [this, name, run](const core::node_name& to, wire::PeerDatagram& message) {
                this->send(name, run, to.value, message);
            };
            made.serving_node_count = [] { return std::size_t{3}; };
            made.running_node_count = [] { return std::size_t{3}; };
            made.lost_node_count = [] { return std::size_t{0}; };
            made.options.spill.enabled = spills;
            made.failure_domain.value = name.substr(0, 1);
            made.domain_of = [](const core::node_name& node) {
                return core::failure_domain_name{node.value.substr(0, 1)};
            };
            this->services[name] = std::make_unique<placement_service>(std::move(made));
        }
        std::vector<core::announced_upstream> upstreams;
        for (const std::string target : {"near", "far"}) {
            core::announced_upstream& added = upstreams.emplace_back();
            added.name.value = "s-" + target;
            added.target.value = target;
            added.failure_domain.value = target == "near" ? "b" : "a";
            added.slots = 4;
        }
        for (const auto& [name, service] : this->services)
            service->set_upstreams(upstreams);
    }
    void send(const std::string& from, std::uint64_t run, const std::string& to,
              wire::PeerDatagram& message)
    {
        message.set_sender(from);
        message.set_run(run);
        for (const wire::PlacementHeld::Way& each : message.held().ways())
            this->reported[each.failure_domain()] = duration{each.way()};
        const duration time = from.front() == to.front() ? duration{1ms} : this->way;
        this->in_transit.push_back({this->now + time, to, message.SerializeAsString()});
    }
    void pass(duration time)
    {
        for (const time_point end = this->now + time; this->now < end;) {
            this->now += 1ms;
            std::vector<datagram> due;
            std::erase_if(this->in_transit, [&](const datagram& each) {
                const bool has_arrived = each.due <= this->now;
                if (has_arrived)
                    due.push_back(each);
                return has_arrived;
            });
            for (const datagram& each : due) {
                wire::PeerDatagram message;
                REQUIRE(message.ParseFromString(each.bytes));
                this->services.at(each.to)->receive_message({message.sender()}, message);
            }
            if (this->now.time_since_epoch() % 25ms == duration{0}) {
                for (const auto& [name, service] : this->services)
                    service->tick();
            }
        }
    }
    /// Places a request of b2, ends it after a while, and returns why it left its
    /// domain.
    core::departure ask(const std::string& target)
    {
        core::placement_request wanted;
        wanted.pool.value = target;
        wanted.latency_budget = 500ms;
        wanted.max_wait = 1s;
        wanted.failure_domain.value = "b";
        core::departure left = core::departure::none;
        placement_service& entry = *this->services.at("b2");
        const placement_number number = entry.place(
            std::move(wanted), [&](placement_number, const core::placement_response& response) {
                left = std::get<core::placement_grant>(response).left_domain;
            });
        this->pass(150ms);
        entry.release(number, core::placement_outcome::completed, 15ms, {});
        return left;
    }
};

} // namespace

TEST_CASE("an entry measures the way to other failure domains and tells the owners")
{
    distant_nodes nodes{true};
    for (int count = 0; count < 50; ++count) {
        nodes.ask("near");
        nodes.ask("far");
    }
    REQUIRE(nodes.reported.contains("a"));
    CHECK(nodes.reported.size() == 1);
    CHECK(nodes.reported.at("a") >= 56ms);
    CHECK(nodes.reported.at("a") <= 60ms);
    SUBCASE("a grant says why the request left its domain")
    {
        CHECK(nodes.ask("near") == core::departure::none);
        CHECK(nodes.ask("far") == core::departure::too_few);
    }
}

TEST_CASE("without spill-over, no way is measured")
{
    distant_nodes nodes{false};
    for (int count = 0; count < 50; ++count) {
        nodes.ask("near");
        CHECK(nodes.ask("far") == core::departure::none);
    }
    CHECK(nodes.reported.empty());
}

} // namespace ragwortcove::gateway
