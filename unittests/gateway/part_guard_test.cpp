#include "../http/loopback.hpp"
#include "gateway.pb.h"
#include "ragwortcove/core/context.hpp"
#include "ragwortcove/core/rendezvous.hpp"
#include "ragwortcove/gateway/part_guard.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using core::part_admission;
using core::part_id;
using http::test::raw_connection;
using http::test::raw_server;
using http::test::run_until;

namespace {

constexpr part_id shared_part{0xa1};
constexpr part_id bad_part{0xbad};

/// A port on which nobody listens.
http::socket_address closed_address()
{
    const raw_server probe([](raw_connection&) {});
    return {"127.0.0.1", probe.port()};
}

/// Guards of many nodes on one loop, whose datagrams may be lost.
struct guard_fleet {
    http::loop event_loop;
    core::random_engine random{7};
    std::vector<std::unique_ptr<part_guard>> guards;
    std::vector<std::string> names;
    double loss = 0.0;
    /// Nodes that no datagram reaches or leaves.
    std::set<std::size_t> cut_off;
    /// Nodes that do not know the fleet as the others do.
    std::set<std::size_t> unsettled;
    http::socket_address nobody = closed_address();
    /// Upstreams that have ended so far.
    int ended = 0;
    std::uint64_t bytes_sent = 0;

    explicit guard_fleet(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->names.push_back("n" + std::to_string(index));
        this->guards.resize(count);
        for (std::size_t index = 0; index < count; ++index)
            this->start(index);
    }

    void start(std::size_t index)
    {
        part_guard_dependencies functions{
            this->event_loop,
            {this->names[index]},
            [this, index](std::string_view key) {
                const bool is_alone = this->cut_off.contains(index);
                const std::size_t owner =
                    is_alone ? index : core::rendezvous_first(key, this->names);
                return core::node_name{this->names[owner]};
            },
            [this, index] { return !this->unsettled.contains(index); },
            [this, index](const core::node_name& to, wire::PeerDatagram& message) {
                for (std::size_t receiver = 0; receiver < this->names.size(); ++receiver) {
                    if (this->names[receiver] == to.value)
                        this->deliver(index, receiver, message);
                }
            },
            [this, index](wire::PeerDatagram& message) {
                for (std::size_t receiver = 0; receiver < this->names.size(); ++receiver) {
                    if (receiver != index)
                        this->deliver(index, receiver, message);
                }
            },
            [this] {
                return core::node_name{
                    this->names[core::uniform_below(this->random, this->names.size())]};
            },
            [](const core::upstream_name&) { return false; }};
        this->guards[index] = std::make_unique<part_guard>(std::move(functions));
    }

    void deliver(std::size_t from, std::size_t to, const wire::PeerDatagram& message)
    {
        this->bytes_sent += message.ByteSizeLong();
        const bool is_cut = this->cut_off.contains(from) || this->cut_off.contains(to);
        if (from == to || is_cut || core::uniform(this->random) < this->loss)
            return;
        this->event_loop.post([this, from, to, message] {
            this->guards[to]->receive_message({this->names[from]}, message);
        });
    }

    void run(core::duration length)
    {
        core::duration next_tick{0};
        static_cast<void>(run_until(
            this->event_loop,
            [&] {
                if (this->event_loop.now() < next_tick)
                    return false;
                next_tick = this->event_loop.now() + 25ms;
                for (const auto& each : this->guards)
                    each->tick();
                return false;
            },
            length));
    }

    /// An upstream ends while a request waits at it that a node has sent.
    void end_upstream(std::size_t node, std::vector<part_id> parts,
                      const std::optional<core::part_trial>& trial = std::nullopt)
    {
        core::upstream_process process{{"i-" + std::to_string(++this->ended)}, 1};
        this->guards[node]->on_connection_lost({process, this->nobody, std::move(parts), trial},
                                               [](process_fate) {});
    }

    [[nodiscard]] std::size_t any_node()
    {
        return core::uniform_below(this->random, this->guards.size());
    }

    /// Sends a request with a part that ends upstreams, if the node may.
    void send_bad(std::size_t node, part_id part)
    {
        const std::array parts{shared_part, part};
        const core::part_decision decision = this->guards[node]->decide(parts);
        if (decision.admission == part_admission::admitted)
            this->end_upstream(node, {shared_part, part});
        if (decision.admission != part_admission::needs_trial)
            return;
        this->guards[node]->request_trial(part, parts, [this, node, part](bool permitted) {
            if (!permitted)
                return;
            const auto trial = this->guards[node]->on_trial_sent(part, "trial");
            this->end_upstream(node, {shared_part, part}, trial);
        });
    }

    /// A sound request at a node gets its response.
    void respond(std::size_t node, std::vector<part_id> parts)
    {
        this->guards[node]->on_response(parts);
    }

    /// Number of nodes that hold a part back.
    [[nodiscard]] std::size_t count_holding(part_id part) const
    {
        std::size_t count = 0;
        for (const auto& each : this->guards) {
            const std::array parts{part};
            count += each->decide(parts).admission == part_admission::admitted ? 0 : 1;
        }
        return count;
    }
};

} // namespace

TEST_CASE("a part that ends upstreams is kept from them by all nodes after a few ends")
{
    std::size_t node_count = 7;
    double loss = 0.0;
    SUBCASE("of seven nodes") {}
    SUBCASE("of seven nodes that lose a quarter of their datagrams")
    {
        loss = 0.25;
    }
    SUBCASE("of 195 nodes")
    {
        node_count = 195;
    }
    guard_fleet fleet(node_count);
    fleet.loss = loss;
    for (int count = 0; count < 10; ++count) {
        fleet.send_bad(fleet.any_node(), bad_part);
        fleet.respond(fleet.any_node(), {shared_part});
        fleet.run(200ms);
    }
    const int ended = fleet.ended;
    CHECK(ended <= 5);
    CHECK(fleet.count_holding(bad_part) == node_count);
    for (int count = 0; count < 10; ++count) {
        fleet.send_bad(fleet.any_node(), bad_part);
        fleet.respond(fleet.any_node(), {shared_part});
        fleet.run(100ms);
    }
    CHECK(fleet.ended == ended);
    CHECK(fleet.count_holding(shared_part) == 0);
}

TEST_CASE("two parts that end upstreams are told apart from what they share")
{
    guard_fleet fleet(7);
    constexpr part_id second_part{0xbad2};
    for (int count = 0; count < 15; ++count) {
        fleet.send_bad(fleet.any_node(), count % 2 == 0 ? bad_part : second_part);
        fleet.respond(fleet.any_node(), {shared_part});
        fleet.run(150ms);
    }
    CHECK(fleet.ended <= 9);
    CHECK(fleet.count_holding(bad_part) == 7);
    CHECK(fleet.count_holding(second_part) == 7);
    CHECK(fleet.count_holding(shared_part) == 0);
}

// Guards against a trial that counts before an upstream has begun it: no other request was tried
// for 30 s, on any node.
TEST_CASE("a trial that shows nothing is given back on all nodes")
{
    guard_fleet fleet(7);
    SUBCASE("of nodes that reach each other") {}
    SUBCASE("of nodes that lose a quarter of their datagrams")
    {
        fleet.loss = 0.25;
    }
    for (std::size_t node = 1; node < 3; ++node) {
        fleet.end_upstream(node, {bad_part});
        fleet.run(300ms);
    }
    REQUIRE(fleet.count_holding(bad_part) == 7);
    const std::array parts{bad_part};
    const auto count_waiting = [&] {
        std::size_t count = 0;
        for (const auto& each : fleet.guards)
            count += each->decide(parts).admission == part_admission::waits ? 1 : 0;
        return count;
    };
    for (std::size_t node = 0; node < 4; ++node) {
        std::optional<core::part_trial> trial;
        for (int count = 0; count < 10 && !trial; ++count) {
            fleet.guards[node]->request_trial(bad_part, parts, [&](bool permitted) {
                if (permitted && !trial)
                    trial = fleet.guards[node]->on_trial_sent(bad_part, "trial");
            });
            fleet.run(300ms);
        }
        REQUIRE(trial.has_value());
        CHECK(count_waiting() >= 6);
        fleet.guards[node]->return_trial(*trial, "not_sent");
        fleet.run(500ms);
        CHECK(count_waiting() == 0);
    }
}

// The caller may be gone before it is known whether the upstream ends on its request.
TEST_CASE("a trial is over once it is known whether its upstream has ended")
{
    guard_fleet fleet(1);
    for (int count = 0; count < 2; ++count) {
        fleet.end_upstream(0, {bad_part});
        fleet.run(300ms);
    }
    const auto trial = fleet.guards[0]->on_trial_sent(bad_part, "trial");
    REQUIRE(trial.has_value());
    SUBCASE("it has ended, and the trial counts")
    {
        fleet.end_upstream(0, {bad_part}, trial);
        fleet.run(100ms);
        CHECK(core::count_failed_trials(*fleet.guards[0]->quarantine().find(bad_part)) == 1);
    }
    SUBCASE("it goes on, and the trial does not count")
    {
        const raw_server upstream(
            [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
        fleet.guards[0]->on_connection_lost(
            {{{"i-9"}, 1}, {"127.0.0.1", upstream.port()}, {bad_part}, trial}, [](process_fate) {});
        fleet.run(100ms);
        CHECK(fleet.guards[0]->is_open(*trial));
        fleet.run(500ms);
        CHECK(core::count_failed_trials(*fleet.guards[0]->quarantine().find(bad_part)) == 0);
    }
    CHECK_FALSE(fleet.guards[0]->is_open(*trial));
}

TEST_CASE("a node that starts knows the parts that are held back before it says that it is ready")
{
    guard_fleet fleet(7);
    fleet.run(600ms);
    for (int count = 0; count < 4; ++count) {
        fleet.send_bad(fleet.any_node(), bad_part);
        fleet.run(200ms);
    }
    REQUIRE(fleet.count_holding(bad_part) == 7);
    SUBCASE("one of them") {}
    SUBCASE("one of them, while half of the datagrams are lost")
    {
        fleet.loss = 0.5;
    }
    fleet.start(3);
    CHECK_FALSE(fleet.guards[3]->is_informed());
    for (int count = 0; count < 60 && !fleet.guards[3]->is_informed(); ++count)
        fleet.run(10ms);
    CHECK(fleet.count_holding(bad_part) == 7);
}

TEST_CASE("upstreams that end by themselves keep no sound part out")
{
    guard_fleet fleet(7);
    SUBCASE("a popular part, upstreams killed in series, and most nodes seldom see a response")
    {
        std::size_t held = 0;
        std::size_t asked = 0;
        for (int count = 0; count < 40; ++count) {
            fleet.end_upstream(fleet.any_node(), {shared_part, part_id{0xe0 + count % 4U}});
            fleet.run(60ms);
            fleet.respond(fleet.any_node(), {shared_part, part_id{0xe0 + (count + 1) % 4U}});
            fleet.run(20ms);
            held += fleet.count_holding(shared_part);
            asked += fleet.guards.size();
        }
        CHECK(held * 20 <= asked);
    }
    SUBCASE("a rare part on a rack that ends at once")
    {
        for (std::size_t node = 0; node < 5; ++node)
            fleet.end_upstream(node, {bad_part});
        fleet.run(300ms);
        CHECK(fleet.count_holding(bad_part) == 0);
    }
    SUBCASE("a rare part that was unlucky twice gets its next request through")
    {
        fleet.end_upstream(1, {bad_part});
        fleet.run(300ms);
        fleet.end_upstream(2, {bad_part});
        fleet.run(300ms);
        REQUIRE(fleet.count_holding(bad_part) == 7);
        std::optional<bool> permitted;
        const std::array parts{bad_part};
        fleet.guards[4]->request_trial(bad_part, parts, [&](bool answer) { permitted = answer; });
        fleet.run(200ms);
        REQUIRE(permitted == true);
        fleet.guards[4]->on_trial_sent(bad_part, "trial");
        fleet.run(100ms);
        fleet.respond(4, {bad_part});
        fleet.run(300ms);
        CHECK(fleet.count_holding(bad_part) == 0);
    }
}

TEST_CASE("a node that is cut off decides alone, and takes the others' knowledge when it is back")
{
    guard_fleet fleet(7);
    fleet.cut_off = {2};
    for (int count = 0; count < 6; ++count) {
        fleet.send_bad(2, bad_part);
        fleet.run(200ms);
    }
    CHECK(fleet.ended <= 3);
    CHECK(fleet.count_holding(bad_part) == 1);
    fleet.cut_off.clear();
    fleet.run(8s);
    CHECK(fleet.count_holding(bad_part) >= 4);
    const int ended = fleet.ended;
    for (int count = 0; count < 7; ++count)
        fleet.send_bad(static_cast<std::size_t>(count), bad_part);
    fleet.run(500ms);
    CHECK(fleet.ended <= ended + 2);
}

TEST_CASE("nodes that all start at once, and know no other, send no trials of their own")
{
    guard_fleet fleet(7);
    core::part_record stored;
    stored.part = bad_part;
    for (int count = 0; count < 2; ++count)
        stored.ends.push_back({{{"gone-" + std::to_string(count)}, 1},
                               core::time_point{fleet.event_loop.now()} - 2s + count * 1s});
    for (std::size_t node = 0; node < 7; ++node) {
        fleet.guards[node]->on_stored_record(stored);
        fleet.cut_off.insert(node);
        fleet.unsettled.insert(node);
    }
    for (std::size_t node = 0; node < 7; ++node)
        fleet.send_bad(node, bad_part);
    fleet.run(500ms);
    CHECK(fleet.ended == 0);
    fleet.cut_off.clear();
    fleet.unsettled.clear();
    for (std::size_t node = 0; node < 7; ++node)
        fleet.send_bad(node, bad_part);
    fleet.run(500ms);
    CHECK(fleet.ended == 1);
}

TEST_CASE("a broken connection to a process that goes on is no end of it")
{
    guard_fleet fleet(1);
    const raw_server upstream(
        [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
    std::vector<process_fate> fates;
    for (int count = 0; count < 4; ++count) {
        const core::upstream_process process{{"i-" + std::to_string(count)}, 1};
        fleet.guards[0]->on_connection_lost({process, {"127.0.0.1", upstream.port()}, {bad_part}},
                                            [&](process_fate fate) { fates.push_back(fate); });
        fleet.run(400ms);
    }
    CHECK(fates == std::vector<process_fate>(4, process_fate::running));
    CHECK(fleet.count_holding(bad_part) == 0);
    SUBCASE("unless its announcement soon states a later start")
    {
        fleet.guards[0]->on_process_gone({"i-2"});
        fleet.run(200ms);
        fleet.guards[0]->on_process_gone({"i-3"});
        fleet.run(50ms);
        CHECK(fleet.count_holding(bad_part) == 1);
    }
}

TEST_CASE("odd messages of other nodes cost themselves alone")
{
    guard_fleet fleet(2);
    wire::PeerDatagram message;
    wire::PartRecords& body = *message.mutable_part_records();
    const auto add = [&](std::uint64_t part) -> wire::PartRecord& {
        wire::PartRecord& record = *body.add_records();
        record.set_part(part);
        for (int count = 0; count < 3; ++count) {
            wire::PartRecord::End& end = *record.add_ends();
            end.set_upstream("i-" + std::to_string(count));
            end.set_age(std::int64_t{count} * 1'000'000);
        }
        return record;
    };
    add(1).set_generation(4'000'000'000U);
    add(2).mutable_ends(0)->set_age(-1);
    add(3).mutable_ends(0)->set_age(std::numeric_limits<std::int64_t>::max());
    add(4).mutable_ends(0)->set_upstream(std::string(5000, 'x'));
    add(5).set_trials_sent(4'000'000'000U);
    add(7).set_trials_over(4'000'000'000U);
    wire::PartRecord& long_record = add(6);
    for (int count = 0; count < 50; ++count)
        long_record.add_ends()->set_upstream("i");
    add(bad_part.value);
    fleet.guards[0]->receive_message({"n1"}, message);
    CHECK(fleet.guards[0]->quarantine().size() == 1);
    CHECK(fleet.guards[0]->quarantine().find(bad_part) != nullptr);
}

TEST_CASE("what nodes tell each other of parts stays small")
{
    guard_fleet fleet(20);
    for (int count = 0; count < 6; ++count) {
        fleet.send_bad(fleet.any_node(), bad_part);
        fleet.run(150ms);
    }
    fleet.bytes_sent = 0;
    fleet.run(4s);
    constexpr std::uint64_t bytes_of_node_per_second = 200;
    CHECK(fleet.bytes_sent <= bytes_of_node_per_second * 4 * fleet.guards.size());
}

} // namespace ragwortcove::gateway
