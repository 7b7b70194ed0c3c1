#include "ragwortcove/core/feed_readers.hpp"
#include "ragwortcove/core/rendezvous.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {

/// Nodes that each decide for themselves; beats of those that read reach whom the test says.
struct nodes_that_read {
    std::vector<std::string> names;
    std::vector<feed_readers> deciders;
    std::vector<bool> reads;
    std::vector<bool> runs;
    /// Part of the network that a node is in; beats do not leave it.
    std::vector<int> side;
    time_point now{1h};

    explicit nodes_that_read(std::size_t count) : reads(count), runs(count, true), side(count)
    {
        for (std::size_t index = 0; index != count; ++index) {
            this->names.push_back("n" + std::to_string(100 + index));
            this->deciders.emplace_back(node_name{this->names.back()});
        }
    }
    void pass(duration time)
    {
        for (const time_point end = this->now + time; this->now < end; this->now += 50ms) {
            const bool beat = this->now.time_since_epoch() / 1ms % 300 == 0;
            for (std::size_t index = 0; beat && index != this->names.size(); ++index)
                this->send_beats(index);
            for (std::size_t index = 0; index != this->names.size(); ++index)
                this->reads[index] =
                    this->runs[index] && this->deciders[index].should_read(this->names, this->now);
        }
    }
    void send_beats(std::size_t from)
    {
        if (!this->reads[from] || !this->runs[from])
            return;
        for (std::size_t to = 0; to != this->names.size(); ++to) {
            if (to != from && this->side[to] == this->side[from])
                this->deciders[to].record_reader(node_name{this->names[from]}, {}, this->now);
        }
    }
    [[nodiscard]] std::size_t reading(int on_side = 0) const
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index != this->names.size(); ++index)
            count += this->reads[index] && this->side[index] == on_side ? 1 : 0;
        return count;
    }
    /// Nodes in the order in which they are appointed.
    [[nodiscard]] std::vector<std::size_t> order() const
    {
        return rendezvous_order("readers", this->names);
    }
};

} // namespace

TEST_CASE("few nodes read for all")
{
    nodes_that_read nodes(40);
    nodes.pass(3s);
    CHECK(nodes.reading() == 3);

    SUBCASE("others step in within a second and a half when those end")
    {
        for (std::size_t rank = 0; rank != 3; ++rank)
            nodes.runs[nodes.order()[rank]] = false;
        nodes.pass(1500ms);
        CHECK(nodes.reading() >= 2);
        // One after the other, not all at once.
        CHECK(nodes.reading() <= 20);
    }
    SUBCASE("those who stepped in leave it again when the appointed ones are back")
    {
        for (std::size_t rank = 0; rank != 3; ++rank)
            nodes.runs[nodes.order()[rank]] = false;
        nodes.pass(2s);
        for (std::size_t rank = 0; rank != 3; ++rank)
            nodes.runs[nodes.order()[rank]] = true;
        nodes.pass(6s);
        CHECK(nodes.reading() == 3);
    }
    SUBCASE("each side of a partition has its readers")
    {
        for (std::size_t rank = 20; rank != 40; ++rank)
            nodes.side[nodes.order()[rank]] = 1;
        nodes.pass(1500ms);
        CHECK(nodes.reading(0) == 3);
        CHECK(nodes.reading(1) >= 2);
    }
    SUBCASE("a node that is cut off from all others reads by itself")
    {
        const std::size_t last = nodes.order()[39];
        nodes.side[last] = 1;
        nodes.pass(1500ms);
        CHECK(nodes.reads[last]);
    }
}

TEST_CASE("a small fleet reads as a large one does, and a single node for itself")
{
    nodes_that_read six(6);
    six.pass(3s);
    CHECK(six.reading() == 3);
    nodes_that_read one(1);
    one.pass(50ms);
    CHECK(one.reading() == 1);
}

// Found on a day on which the store turned two of six nodes away: what one of them still doubted
// after its return kept the others from believing that an upstream had gone.
TEST_CASE("what readers doubt counts only when all of them do")
{
    feed_readers node{node_name{"n"}};
    const time_point now{1h};
    node.record_reader(node_name{"a"}, now + 2s, now);
    CHECK(node.removal_grace_until(now) == now + 2s);
    SUBCASE("one that has seen no disturbance settles it")
    {
        node.record_reader(node_name{"b"}, now - 10s, now);
        CHECK(node.removal_grace_until(now) == time_point{});
    }
    SUBCASE("as long as it is heard")
    {
        node.record_reader(node_name{"b"}, now - 10s, now);
        node.record_reader(node_name{"a"}, now + 2s, now + 1s);
        CHECK(node.removal_grace_until(now + 1s) == now + 2s);
    }
    SUBCASE("a doubt ends by itself")
    {
        node.record_reader(node_name{"a"}, now + 2s, now + 2s);
        CHECK(node.removal_grace_until(now + 2s) == time_point{});
    }
}

TEST_CASE("audits are drawn so that the fleet makes about one a second")
{
    constexpr std::size_t nodes = 30;
    std::vector<feed_readers> deciders(nodes, feed_readers{node_name{"n"}});
    random_engine random{5};
    int audits = 0;
    time_point now{1h};
    for (const time_point end = now + 300s; now < end; now += 50ms) {
        for (feed_readers& each : deciders)
            audits += each.audit_due(nodes, random, now) ? 1 : 0;
    }
    CHECK(audits >= 240);
    CHECK(audits <= 360);
}
