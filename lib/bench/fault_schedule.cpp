#include "ragwortcove/bench/fault.hpp"
#include "ragwortcove/standin/random_source.hpp"

#include <algorithm>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using standin::random_source;

/// No fault begins in the first part of a run, so that the nodes have met.
static constexpr core::duration quiet_start = 2s;
static constexpr std::uint64_t most_faults = 4;
/// Share of faults that come together with another.
static constexpr double double_fault_share = 0.4;

namespace {

/// Draws places and lengths for one fault after another.
struct fault_drawer {
    const deployment& plan;
    random_source& random;

    [[nodiscard]] core::node_name node() const
    {
        return this->plan.nodes[this->random.below(this->plan.nodes.size())].name;
    }
    [[nodiscard]] core::node_name node_other_than(const core::node_name& name) const
    {
        core::node_name drawn = this->node();
        while (drawn == name) {
            drawn = this->node();
        }
        return drawn;
    }
    [[nodiscard]] core::upstream_name engine() const
    {
        return this->plan.engines[this->random.below(this->plan.engines.size())].name;
    }
    [[nodiscard]] core::upstream_name service() const
    {
        return this->plan.services[this->random.below(this->plan.services.size())].name;
    }
    [[nodiscard]] core::upstream_name upstream() const
    {
        return this->random.chance(0.5) ? this->engine() : this->service();
    }
    [[nodiscard]] core::failure_domain_name domain() const
    {
        return this->draw_node_plan().failure_domain;
    }
    [[nodiscard]] const node_plan& draw_node_plan() const
    {
        return this->plan.nodes[this->random.below(this->plan.nodes.size())];
    }
    [[nodiscard]] core::duration length() const { return this->random.between(200ms, 6s); }
    [[nodiscard]] double rate() const { return 0.2 + 0.8 * this->random.uniform(); }

    [[nodiscard]] fault draw() const;
    [[nodiscard]] fault draw_node_fault() const;
    [[nodiscard]] fault draw_upstream_fault() const;
    [[nodiscard]] fault draw_network_fault() const;
    [[nodiscard]] fault draw_platform_fault() const;
};

} // namespace

fault fault_drawer::draw() const
{
    switch (this->random.below(5)) {
    case 0:
        return this->draw_node_fault();
    case 1:
        return this->draw_network_fault();
    case 2:
        return this->draw_platform_fault();
    default:
        return this->draw_upstream_fault();
    }
}

fault fault_drawer::draw_node_fault() const
{
    switch (this->random.below(4)) {
    case 0:
        return node_crash{this->node(), this->length(), this->random.chance(0.3)};
    case 1:
        return node_drain{this->node(), this->length()};
    case 2:
        return burst{1.0 + 4.0 * this->random.uniform(), this->length()};
    default:
        return node_pause{this->node(), this->length()};
    }
}

fault fault_drawer::draw_upstream_fault() const
{
    switch (this->random.below(8)) {
    case 0:
        return upstream_crash{this->upstream(), this->length(), this->random.chance(0.3)};
    case 1:
        return upstream_pause{this->upstream(), this->length()};
    case 2:
        return upstream_slow{this->upstream(), 2.0 + 8.0 * this->random.uniform(), this->length()};
    case 3:
        return upstream_failing{this->upstream(), this->rate(), this->length()};
    case 4:
        return upstream_refusing{this->upstream(), this->length()};
    case 5:
        return upstream_lost_answers{this->service(), this->rate(), this->length()};
    case 6:
        return upstream_leave{this->upstream()};
    default:
        return upstream_silence{this->upstream()};
    }
}

fault fault_drawer::draw_network_fault() const
{
    const core::node_name from = this->node();
    switch (this->random.below(4)) {
    case 0:
        return peer_silence{from, this->node_other_than(from)};
    case 1:
        return one_way_loss{from, this->node_other_than(from), this->length()};
    case 2:
        return datagram_loss{this->rate(), this->length()};
    default:
        return domain_partition{this->domain(), this->length()};
    }
}

fault fault_drawer::draw_platform_fault() const
{
    switch (this->random.below(4)) {
    case 0:
        return platform_slow{5.0 + 200.0 * this->random.uniform(), this->length()};
    case 1:
        return platform_lost_answers{this->rate(), this->length()};
    case 2:
        return watch_silence{};
    default:
        return platform_outage{this->length()};
    }
}

std::vector<timed_fault> draw_fault_schedule(const deployment& plan, std::uint64_t seed,
                                             core::duration run_length)
{
    random_source random(seed);
    const fault_drawer drawer{plan, random};
    std::vector<timed_fault> schedule;
    const std::uint64_t count = 1 + random.below(most_faults);
    for (std::uint64_t drawn = 0; drawn < count; ++drawn) {
        const core::duration at = random.between(quiet_start, run_length);
        schedule.push_back({at, drawer.draw()});
        if (random.chance(double_fault_share)) {
            schedule.push_back({at + random.between(0ms, 500ms), drawer.draw()});
        }
    }
    const auto earlier = [](const timed_fault& left, const timed_fault& right) {
        return left.at < right.at;
    };
    std::stable_sort(schedule.begin(), schedule.end(), earlier);
    return schedule;
}

static std::string in_millis(core::duration value)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(value);
    return std::to_string(millis.count()) + " ms";
}

namespace {

struct fault_describer {
    std::string operator()(const node_crash& f) const
    {
        return (f.vm_lost ? "loss of the VM of " : "crash of ") + f.node.value + " for " +
               in_millis(f.restart_after);
    }
    std::string operator()(const node_pause& f) const
    {
        return "pause of " + f.node.value + " for " + in_millis(f.length);
    }
    std::string operator()(const node_drain& f) const { return "drain of " + f.node.value; }
    std::string operator()(const upstream_crash& f) const
    {
        return (f.vm_lost ? "loss of the VM of " : "crash of ") + f.upstream.value + " for " +
               in_millis(f.restart_after);
    }
    std::string operator()(const upstream_pause& f) const
    {
        return "pause of " + f.upstream.value + " for " + in_millis(f.length);
    }
    std::string operator()(const upstream_slow& f) const
    {
        return f.upstream.value + " slow by " + std::to_string(f.factor) + " for " +
               in_millis(f.length);
    }
    std::string operator()(const upstream_failing& f) const
    {
        return f.upstream.value + " failing at " + std::to_string(f.rate) + " for " +
               in_millis(f.length);
    }
    std::string operator()(const upstream_refusing& f) const
    {
        return f.upstream.value + " refusing for " + in_millis(f.length);
    }
    std::string operator()(const upstream_lost_answers& f) const
    {
        return f.upstream.value + " losing answers at " + std::to_string(f.rate) + " for " +
               in_millis(f.length);
    }
    std::string operator()(const upstream_silence& f) const
    {
        return "silence of connections to " + f.upstream.value;
    }
    std::string operator()(const upstream_leave& f) const { return f.upstream.value + " leaving"; }
    std::string operator()(const peer_silence& f) const
    {
        return "silence of streams between " + f.from.value + " and " + f.to.value;
    }
    std::string operator()(const one_way_loss& f) const
    {
        return "loss from " + f.from.value + " to " + f.to.value + " for " + in_millis(f.length);
    }
    std::string operator()(const datagram_loss& f) const
    {
        return "datagram loss at " + std::to_string(f.rate) + " for " + in_millis(f.length);
    }
    std::string operator()(const domain_partition& f) const
    {
        return "partition of " + f.failure_domain.value + " for " + in_millis(f.length);
    }
    std::string operator()(const platform_outage& f) const
    {
        return "platform outage for " + in_millis(f.length);
    }
    std::string operator()(const platform_slow& f) const
    {
        return "platform slow by " + std::to_string(f.factor) + " for " + in_millis(f.length);
    }
    std::string operator()(const platform_lost_answers& f) const
    {
        return "platform losing answers at " + std::to_string(f.rate) + " for " +
               in_millis(f.length);
    }
    std::string operator()(const watch_silence&) const { return "silence of the watches"; }
    std::string operator()(const burst& f) const
    {
        return "burst by " + std::to_string(f.factor) + " for " + in_millis(f.length);
    }
};

} // namespace

std::string describe(const fault& value)
{
    return std::visit(fault_describer{}, value);
}

} // namespace ragwortcove::bench
