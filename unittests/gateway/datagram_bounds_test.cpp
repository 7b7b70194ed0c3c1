#include "../../lib/gateway/datagram_bounds.hpp"
#include "../../lib/gateway/rollout_messages.hpp"
#include "../http/loopback.hpp"
#include "gateway.pb.h"
#include "ragwortcove/gateway/fleet.hpp"

#include <doctest/doctest.h>

#include <limits>
#include <string>
#include <vector>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using http::test::raw_connection;
using http::test::raw_server;
using http::test::run_until;

static constexpr std::int64_t long_ago = std::numeric_limits<std::int64_t>::min();
static constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();
static constexpr double nothing = std::numeric_limits<double>::quiet_NaN();
static constexpr double endless = std::numeric_limits<double>::infinity();

TEST_CASE("a message with a time or a number of units that no node can mean is out of bounds")
{
    wire::PeerDatagram message;
    SUBCASE("of the way to another failure domain")
    {
        wire::PlacementHeld& held = *message.mutable_held();
        held.add_ways()->set_way(1000);
        CHECK(is_within_bounds(message));
        held.mutable_ways(0)->set_way(-1);
        CHECK_FALSE(is_within_bounds(message));
        held.mutable_ways(0)->set_way(never);
    }
    SUBCASE("of a request to an owner")
    {
        message.mutable_ask()->set_goal_left(long_ago);
    }
    SUBCASE("of its wait")
    {
        message.mutable_ask()->set_patience(never);
    }
    SUBCASE("of its pauses")
    {
        message.mutable_ask()->set_longest_pause(never);
    }
    SUBCASE("of a denial")
    {
        message.mutable_denial()->set_retry_after(never);
    }
    SUBCASE("of a start")
    {
        message.mutable_started()->set_after(long_ago);
    }
    SUBCASE("of a release")
    {
        message.mutable_release()->set_between_events(never);
    }
    SUBCASE("of a charge")
    {
        message.mutable_quota_ask()->set_cost(nothing);
    }
    SUBCASE("of a charge that adds units")
    {
        message.mutable_quota_ask()->set_cost(-1.0);
    }
    SUBCASE("of an answer to a charge")
    {
        message.mutable_quota_answer()->set_wait(never);
    }
    SUBCASE("of returned units")
    {
        message.mutable_quota_return()->set_cost(nothing);
    }
    SUBCASE("of endless units")
    {
        message.mutable_quota_return()->set_cost(-endless);
    }
    SUBCASE("of one of the units spent")
    {
        message.mutable_quota_spending()->add_units(1.0);
        message.mutable_quota_spending()->add_units(nothing);
    }
    SUBCASE("of a digest")
    {
        message.mutable_digest()->set_doubt(never);
    }
    SUBCASE("of changes")
    {
        message.mutable_delta()->set_doubt(long_ago);
    }
    SUBCASE("of a report on a roll-out")
    {
        message.mutable_rollout_report()->set_order_age(never);
    }
    CHECK_FALSE(is_within_bounds(message));
}

TEST_CASE("what nodes state of requests and quotas is within bounds")
{
    wire::PeerDatagram message;
    CHECK(is_within_bounds(message));
    message.mutable_ask()->set_goal_left(core::duration{-20s}.count());
    message.mutable_ask()->set_patience(core::duration{24h * 30}.count());
    CHECK(is_within_bounds(message));
    message.mutable_quota_return()->set_cost(-3'000'000.0);
    CHECK(is_within_bounds(message));
    message.mutable_quota_spending()->add_units(0.0);
    CHECK(is_within_bounds(message));
}

TEST_CASE("an odd item of a report on a roll-out costs that item alone")
{
    wire::RolloutReport report;
    report.set_share_permille(4'000'000'000);
    const std::vector<float> times{250.0F, std::numeric_limits<float>::quiet_NaN(), -1.0F};
    for (const float time : times) {
        wire::RolloutPace& pace = *report.add_paces();
        pace.set_upstream("i-1");
        pace.set_time_ms(time);
    }
    const core::rollout_report read = read_rollout_report(report);
    REQUIRE(read.paces.size() == 1);
    CHECK(read.paces[0].time_ms == 250.0);
    CHECK(read.share_permille == 1000);
}

TEST_CASE("a node drops a datagram that is out of bounds, and takes the next one")
{
    gateway_settings settings;
    settings.name.value = "n";
    settings.peers = {"127.0.0.1", raw_server([](raw_connection&) {}).port()};
    http::loop event_loop;
    std::vector<double> returned;
    fleet_handlers handlers;
    handlers.received = [&](const core::node_name&, const wire::PeerDatagram& message) {
        returned.push_back(message.quota_return().cost());
    };
    handlers.owners_changed = [] {};
    handlers.ended = [](core::incarnation) {};
    fleet nodes(event_loop, settings, core::incarnation{1}, std::move(handlers));
    REQUIRE(nodes.listening());

    const int sender = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    REQUIRE(sender >= 0);
    const sockaddr_in address = http::test::loopback_address(settings.peers.port);
    for (const double cost : {nothing, 5.0}) {
        wire::PeerDatagram message;
        message.set_sender("m");
        message.mutable_quota_return()->set_cost(cost);
        const std::string bytes = "M" + message.SerializeAsString();
        REQUIRE(sendto(sender, bytes.data(), bytes.size(), 0,
                       reinterpret_cast<const sockaddr*>(&address), sizeof address) > 0);
    }
    CHECK(run_until(
        event_loop, [&] { return !returned.empty(); }, 5s));
    CHECK(returned == std::vector<double>{5.0});
    close(sender);
}

} // namespace ragwortcove::gateway
