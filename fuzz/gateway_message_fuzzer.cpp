// Datagrams of other nodes are dropped or taken, in any order and with any values; nothing that a
// node does with them afterwards overflows or ends it.
#include "../lib/gateway/datagram_bounds.hpp"
#include "gateway.pb.h"
#include "ragwortcove/gateway/placement_service.hpp"
#include "ragwortcove/gateway/rollout_service.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

using namespace ragwortcove;
using namespace std::chrono_literals;

namespace {

/// A node that owns all cells, quotas and roll-outs, on virtual time.
struct node {
    core::time_point now{std::chrono::hours{100}};
    gateway::placement_service placement{make_placement_dependencies()};
    gateway::rollout_service rollouts{make_rollout_dependencies()};

    node()
    {
        core::ruleset rules;
        rules.targets = {{{"t"}, true, 2, 0, 5}};
        core::team_rule team;
        team.name.value = "a";
        team.counts_tokens = true;
        team.rate = 1000.0;
        team.burst = 1000.0;
        rules.teams = {team};
        this->placement.set_rules(std::make_shared<const core::rule_index>(std::move(rules)));
        std::vector<core::announced_upstream> upstreams(2);
        upstreams[0].name.value = "u";
        upstreams[1].name.value = "w";
        for (core::announced_upstream& each : upstreams)
            each.target.value = "t";
        upstreams[1].version.value = "v";
        this->placement.set_upstreams(upstreams);
        this->rollouts.set_upstreams(std::vector(upstreams));
        core::rollout_order order;
        order.target.value = "t";
        order.version.value = "v";
        this->rollouts.set_orders({&order, 1});
    }
    gateway::placement_dependencies make_placement_dependencies()
    {
        gateway::placement_dependencies result;
        result.self.value = "n";
        result.run.value = 1;
        result.now = [this] { return this->now; };
        result.owner_of = [](std::string_view) { return core::node_name{"n"}; };
        result.quota_owner_of = result.owner_of;
        result.is_settled = [] { return true; };
        result.mark_unreachable = [](const core::node_name&) {};
        result.send = [](const core::node_name&, wire::PeerDatagram&) {};
        result.serving_node_count = [] { return std::size_t{3}; };
        result.lost_node_count = [] { return std::size_t{0}; };
        result.running_node_count = [] { return std::size_t{3}; };
        result.tolerance = {8s, 0.1, 1000.0};
        return result;
    }
    gateway::rollout_dependencies make_rollout_dependencies()
    {
        gateway::rollout_dependencies result;
        result.self.value = "n";
        result.run.value = 1;
        result.now = [this] { return this->now; };
        result.owner_of = [](std::string_view) { return core::node_name{"n"}; };
        result.serving_node_count = [] { return std::size_t{3}; };
        result.send = [](const core::node_name&, wire::PeerDatagram&) {};
        result.send_to_all = [](wire::PeerDatagram&) {};
        result.store_state = [](const core::rollout_order&, core::rollout_state,
                                gateway::state_write_handler&& done) {
            done(gateway::state_write_result::stored);
        };
        result.place_upstreams = [](std::span<const core::announced_upstream>) {};
        return result;
    }
    void receive(const wire::PeerDatagram& message)
    {
        this->placement.receive_message({"m"}, message);
        this->rollouts.receive_message({"m"}, message);
        this->now += 50ms;
        this->placement.tick();
        this->rollouts.tick();
    }
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string_view bytes(reinterpret_cast<const char*>(data), size);
    node receiver;
    // Each message follows a byte with its length.
    while (!bytes.empty()) {
        const auto length = static_cast<std::uint8_t>(bytes.front());
        const std::string_view part = bytes.substr(1, length);
        bytes.remove_prefix(1 + part.size());
        wire::PeerDatagram message;
        if (message.ParseFromArray(part.data(), static_cast<int>(part.size())) &&
            gateway::is_within_bounds(message))
            receiver.receive(message);
    }
    return 0;
}
