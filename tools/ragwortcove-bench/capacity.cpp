// What a node's control costs at several sizes of the fleet.
#include "ragwortcove/bench/capacity.hpp"

#include "commands.hpp"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <iostream>

namespace ragwortcove::bench {

static void print_point(const capacity_point& point)
{
    std::printf("| %zu | %zu | %.0f | %.1f | %.3f | %.0f | %.3f | %.2f | %.2f | %.0f | %s |\n",
                point.size.nodes, point.size.nodes * point.size.upstreams_per_node,
                point.idle_bytes_per_node_second, point.idle_messages_per_node_second,
                point.idle_core_share * 100.0, point.changing_bytes_per_node_second,
                point.changing_core_share * 100.0,
                std::chrono::duration<double>(point.slowest_change).count(),
                point.idle_platform_calls_per_second, point.resident_bytes_per_node / 1024.0,
                point.all_ready ? "yes" : "no");
    std::fflush(stdout);
}

int run_capacity_command(std::vector<std::string> arguments)
{
    TCLAP::CmdLine line("Measures the control traffic, processor time and memory of fleets on "
                        "virtual time. Example: ragwortcove-bench capacity 9 50 200",
                        ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed", false, 1, "number", line);
    TCLAP::ValueArg<double> changes("", "changes", "configuration changes a second", false, 1.0,
                                    "rate", line);
    TCLAP::ValueArg<std::size_t> upstreams("u", "upstreams", "upstreams for each node", false, 13,
                                           "count", line);
    TCLAP::UnlabeledMultiArg<std::size_t> sizes("nodes", "numbers of nodes", true, "nodes", line);
    line.parse(arguments);

    std::cout
        << "| nodes | upstreams | idle B/s a node | idle messages/s a node | idle % of a core "
           "| changing B/s a node | changing % of a core | slowest change, s | platform "
           "calls/s, idle, all nodes | KiB a node | all ready |\n"
           "|---|---|---|---|---|---|---|---|---|---|---|\n";
    bool all_ready = true;
    for (const std::size_t nodes : sizes.getValue()) {
        fleet_size size;
        size.nodes = nodes;
        size.upstreams_per_node = upstreams.getValue();
        size.changes_per_second = changes.getValue();
        const capacity_point point = measure_capacity(size, seed.getValue());
        print_point(point);
        all_ready = all_ready && point.all_ready;
    }
    return all_ready ? 0 : 1;
}

} // namespace ragwortcove::bench
