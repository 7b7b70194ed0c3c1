/// \file
/// Faults that a run can be given, and seeded schedules of them.
#pragma once

#include "ragwortcove/bench/deployment.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ragwortcove::bench {

/// A process ends at once; with `vm_lost` its connections are not closed, they go silent.
struct node_crash {
    core::node_name node;
    core::duration restart_after{0};
    bool vm_lost = false;
};
struct node_pause {
    core::node_name node;
    core::duration length{0};
};
/// A graceful shutdown; a new process starts `restart_after` the old one has ended.
struct node_drain {
    core::node_name node;
    core::duration restart_after{0};
};
struct upstream_crash {
    core::upstream_name upstream;
    core::duration restart_after{0};
    bool vm_lost = false;
};
struct upstream_pause {
    core::upstream_name upstream;
    core::duration length{0};
};
struct upstream_slow {
    core::upstream_name upstream;
    double factor = 1.0;
    core::duration length{0};
};
struct upstream_failing {
    core::upstream_name upstream;
    double rate = 0.0;
    core::duration length{0};
};
struct upstream_refusing {
    core::upstream_name upstream;
    core::duration length{0};
};
/// A service runs calls and loses their answers.
struct upstream_lost_answers {
    core::upstream_name upstream;
    double rate = 0.0;
    core::duration length{0};
};
/// Open connections to an upstream go silent for good; new ones work.
struct upstream_silence {
    core::upstream_name upstream;
};
/// The operator marks an upstream as leaving.
struct upstream_leave {
    core::upstream_name upstream;
};
/// Open streams between two nodes go silent for good; new ones work.
struct peer_silence {
    core::node_name from;
    core::node_name to;
};
/// Nothing gets from one node to another.
struct one_way_loss {
    core::node_name from;
    core::node_name to;
    core::duration length{0};
};
struct datagram_loss {
    double rate = 0.0;
    core::duration length{0};
};
/// A failure domain's nodes and upstreams are cut off from all others; callers reach both sides.
struct domain_partition {
    core::failure_domain_name failure_domain;
    core::duration length{0};
};
struct platform_outage {
    core::duration length{0};
};
struct platform_slow {
    double factor = 1.0;
    core::duration length{0};
};
struct platform_lost_answers {
    double rate = 0.0;
    core::duration length{0};
};
struct watch_silence {};
/// Callers send so many times as much.
struct burst {
    double factor = 1.0;
    core::duration length{0};
};

using fault =
    std::variant<node_crash, node_pause, node_drain, upstream_crash, upstream_pause, upstream_slow,
                 upstream_failing, upstream_refusing, upstream_lost_answers, upstream_silence,
                 upstream_leave, peer_silence, one_way_loss, datagram_loss, domain_partition,
                 platform_outage, platform_slow, platform_lost_answers, watch_silence, burst>;

struct timed_fault {
    core::duration at{0};
    fault what;
};

/// Faults in order of time, drawn from the seed; often two at once.
[[nodiscard]] std::vector<timed_fault>
draw_fault_schedule(const deployment& plan, std::uint64_t seed, core::duration run_length);
/// One line for people, as `crash of node-2 for 3000 ms`.
[[nodiscard]] std::string describe(const fault& value);

} // namespace ragwortcove::bench
