#include "ragwortcove/bench/capacity.hpp"

#include "ragwortcove/bench/deployment.hpp"
#include "ragwortcove/bench/runner.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <string>
#include <unistd.h>
#include <utility>

namespace ragwortcove::bench {

using namespace std::chrono_literals;

static constexpr std::size_t failure_domains = 3;
static constexpr std::uint16_t caller_port = 7000;
static constexpr std::uint16_t peer_port = 7001;
/// Nodes start one after another, this far apart in the runner.
static constexpr core::duration start_interval = 50ms;
static constexpr core::duration settling_time = 10s;
static constexpr core::duration measured_time = 60s;

static core::object make_object(core::object_kind kind, std::string name, core::object_spec spec)
{
    core::object made;
    made.key = {kind, std::move(name)};
    made.spec = std::move(spec);
    return made;
}

static std::string address_of(std::size_t network, std::size_t index)
{
    constexpr std::size_t hosts_per_net = 250;
    return "10." + std::to_string(network) + "." + std::to_string(index / hosts_per_net) + "." +
           std::to_string(index % hosts_per_net + 1);
}

static core::object make_upstream(const fleet_size& size, std::size_t index)
{
    core::upstream_spec spec;
    spec.kind = core::upstream_kind::service;
    spec.address = {address_of(1, index), caller_port};
    spec.region = {"r1"};
    spec.failure_domain = {"domain-" + std::to_string(index % failure_domains)};
    spec.target = {"model-" + std::to_string(index / size.nodes % 10)};
    spec.version = {"v1"};
    return make_object(core::object_kind::upstream, "upstream-" + std::to_string(index), spec);
}

// Upstreams are declared and not run: what is measured is what the nodes say to each other.
static deployment make_fleet(const fleet_size& size)
{
    deployment fleet;
    fleet.name = "fleet";
    fleet.region = {"r1"};
    for (std::size_t index = 0; index < size.nodes; ++index) {
        fleet.nodes.push_back({{"node-" + std::to_string(index)},
                               {"domain-" + std::to_string(index % failure_domains)},
                               {address_of(0, index), caller_port},
                               {address_of(0, index), peer_port}});
    }
    for (std::uint32_t rank = 0; rank < 4; ++rank)
        fleet.objects.push_back(make_object(core::object_kind::tier, "tier-" + std::to_string(rank),
                                            core::tier_spec{rank, 30s}));
    for (std::size_t team = 0; team < size.teams; ++team)
        fleet.objects.push_back(make_object(core::object_kind::team, "team-" + std::to_string(team),
                                            core::team_spec{}));
    for (std::size_t index = 0; index < size.nodes * size.upstreams_per_node; ++index)
        fleet.objects.push_back(make_upstream(size, index));
    const auto writes = static_cast<double>(fleet.objects.size());
    fleet.platform.writes_per_second = std::max(fleet.platform.writes_per_second, writes);
    return fleet;
}

static double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

static double resident_bytes()
{
    std::ifstream statm("/proc/self/statm");
    double total_pages = 0.0;
    double resident_pages = 0.0;
    statm >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

namespace {
/// Figures at one moment of a run.
struct reading {
    traffic_result control;
    std::uint64_t platform_calls = 0;
    double processor = 0.0;
};
} // namespace

static reading read(const runner& run)
{
    const run_result result = run.result();
    return {result.control, result.platform_calls, processor_seconds()};
}

static bool is_ready(const runner& run, const deployment& fleet)
{
    return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const node_plan& node) {
        const std::optional<core::node_status> status = run.status(node.name);
        return status && status->ready;
    });
}

static void change_configuration(runner& run, const fleet_size& size)
{
    const auto changes = static_cast<std::size_t>(
        size.changes_per_second * std::chrono::duration<double>(measured_time).count());
    const core::duration interval = measured_time / static_cast<std::int64_t>(changes);
    for (std::size_t change = 0; change < changes; ++change) {
        core::team_spec changed;
        changed.weight = 1.0 + static_cast<double>(change + 1);
        run.put_object(make_object(core::object_kind::team,
                                   "team-" + std::to_string(change % size.teams), changed));
        run.run_for(interval);
    }
}

capacity_point measure_capacity(const fleet_size& size, std::uint64_t seed)
{
    const deployment fleet = make_fleet(size);
    const auto nodes = static_cast<double>(size.nodes);
    const double seconds = std::chrono::duration<double>(measured_time).count();
    capacity_point point;
    point.size = size;
    const double resident_before = resident_bytes();

    run_settings settings;
    settings.seed = seed;
    settings.load = 0.0;
    settings.count_bytes = true;
    runner run(fleet, settings);
    run.run_for(start_interval * static_cast<std::int64_t>(size.nodes) + settling_time);
    point.all_ready = is_ready(run, fleet);
    point.resident_bytes_per_node = (resident_bytes() - resident_before) / nodes;

    const reading start = read(run);
    run.run_for(measured_time);
    const reading idle = read(run);
    change_configuration(run, size);
    const reading changed = read(run);

    const auto rate = [&](std::uint64_t from, std::uint64_t to) {
        return static_cast<double>(to - from) / seconds;
    };
    point.idle_bytes_per_node_second = rate(start.control.bytes, idle.control.bytes) / nodes;
    point.idle_messages_per_node_second =
        rate(start.control.messages, idle.control.messages) / nodes;
    point.idle_core_share = (idle.processor - start.processor) / seconds / nodes;
    point.changing_bytes_per_node_second = rate(idle.control.bytes, changed.control.bytes) / nodes;
    point.changing_core_share = (changed.processor - idle.processor) / seconds / nodes;
    point.idle_platform_calls_per_second = rate(start.platform_calls, idle.platform_calls);
    point.slowest_change = run.result().slowest_configuration;
    return point;
}

} // namespace ragwortcove::bench
