// Processes of nodes: start, steps, crash, pause and end.
#include "run_state.hpp"

#include <algorithm>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

static constexpr duration wall_clock_interval = 5s;
/// Wall-clock time at the start of every run.
static constexpr std::int64_t wall_clock_origin_millis = 1'800'000'000'000;
/// Shortest time from a step to the tick that it asks for.
static constexpr duration least_tick_wait = 100us;
/// How long the other end takes to see that a VM has gone.
static constexpr duration silence_seen_after = 2s;

void runner::state::start_node(std::size_t index)
{
    node_process& node = this->nodes[index];
    ++node.starts;
    node.run = {node.starts * 1000 + index + 1};
    node.vm_lost = false;
    node.draining = false;
    node.paused_until = {};
    node.wake_at = time_point::max();
    node.inbox.clear();
    core::node_settings given;
    given.name = node.plan.name;
    given.run = node.run;
    given.callers = node.plan.callers;
    given.peers = node.plan.peers;
    given.region = this->plan.region;
    given.failure_domain = node.plan.failure_domain;
    given.placement_policy = this->settings.placement_policy;
    for (const node_process& other : this->nodes) {
        if (other.index != index) {
            given.seeds.push_back(other.plan.peers);
        }
    }
    node.core.emplace(given, this->settings.seed * 1'000'003 + node.run.value);
    this->send_wall_clock(index, node.run);
}

void runner::state::send_wall_clock(std::size_t index, core::incarnation run)
{
    node_process& node = this->nodes[index];
    if (!node.core || node.run != run) {
        return;
    }
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->now().time_since_epoch());
    this->step(node, core::wall_clock_read{{wall_clock_origin_millis + millis.count()}});
    this->queue.after(wall_clock_interval,
                      [this, index, run] { this->send_wall_clock(index, run); });
}

namespace {

/// Does what the shell does with an attempt before the core hears of it; gives false for news of an
/// attempt that is over.
struct attempt_news {
    node_process& node;

    bool operator()(const core::upstream_progress& news) const
    {
        const auto found = this->node.attempts.find(news.attempt);
        if (found == this->node.attempts.end()) {
            return false;
        }
        found->second.last_progress = news;
        return true;
    }
    bool operator()(const core::upstream_accepted& news) const
    {
        return this->node.attempts.contains(news.attempt);
    }
    bool operator()(const core::upstream_finished& news) const
    {
        return this->node.attempts.erase(news.attempt) > 0;
    }
    bool operator()(const core::upstream_failed& news) const
    {
        return this->node.attempts.erase(news.attempt) > 0;
    }
    template <class Other> bool operator()(const Other&) const { return true; }
};

} // namespace

void runner::state::step(node_process& node, const core::event& happened)
{
    if (!node.core) {
        return;
    }
    if (this->now() < node.paused_until) {
        node.inbox.push_back(happened);
        return;
    }
    if (!std::visit(attempt_news{node}, happened)) {
        return;
    }
    core::effect_list effects;
    node.core->step(happened, this->now(), effects);
    ++this->figures.core_steps;
    for (const core::effect& effect : effects) {
        std::visit([&](const auto& wanted) { this->carry_out(node, wanted); }, effect);
    }
    this->schedule_wake(node);
}

void runner::state::schedule_wake(node_process& node)
{
    if (!node.core) {
        return;
    }
    const time_point wanted = node.core->next_wakeup();
    if (wanted == time_point::max()) {
        return;
    }
    const time_point next = std::max(wanted, this->now() + least_tick_wait);
    if (node.wake_at > this->now() && node.wake_at <= next) {
        return;
    }
    node.wake_at = next;
    this->queue.at(next, [this, index = node.index, run = node.run, next] {
        node_process& waked = this->nodes[index];
        if (!waked.core || waked.run != run || waked.wake_at != next) {
            return;
        }
        waked.wake_at = time_point::max();
        if (this->now() >= waked.paused_until) {
            this->step(waked, core::tick{});
        }
    });
}

void runner::state::deliver_event(std::size_t node, core::incarnation run, core::event happened,
                                  duration wait)
{
    this->queue.after(wait, [this, node, run, happened = std::move(happened)] {
        node_process& receiver = this->nodes[node];
        if (receiver.core && receiver.run == run) {
            this->step(receiver, happened);
        }
    });
}

void runner::state::crash_node(node_process& node, duration restart_after, bool vm_lost)
{
    if (!node.core) {
        return;
    }
    this->end_process(node, vm_lost);
    this->restart_node_later(node, restart_after);
}

void runner::state::restart_node_later(node_process& node, duration wait)
{
    this->queue.after(wait, [this, index = node.index, run = node.run] {
        const node_process& ended = this->nodes[index];
        if (!ended.core && ended.run == run) {
            this->start_node(index);
        }
    });
}

void runner::state::end_process(node_process& node, bool vm_lost)
{
    this->lose_exchanges(node, vm_lost);
    if (!vm_lost) {
        this->close_streams_of(node);
    }
    node.attempts.clear();
    node.exchanges.clear();
    node.inbox.clear();
    if (node.watch.opened) {
        this->platform.close_watch(*node.watch.opened);
    }
    node.watch = {};
    node.vm_lost = vm_lost;
    node.core.reset();
    const duration seen_after = vm_lost ? silence_seen_after : 1ms;
    for (const node_process& peer : this->nodes) {
        if (peer.index != node.index && peer.core) {
            this->deliver_event(peer.index, peer.run, core::peer_disconnected{node.plan.name},
                                seen_after);
        }
        this->streams.erase({node.index, peer.index});
        this->streams.erase({peer.index, node.index});
    }
}

void runner::state::lose_exchanges(node_process& node, bool vm_lost)
{
    const duration seen_after = vm_lost ? silence_seen_after : 3ms;
    for (const auto& [exchange, open] : node.exchanges) {
        const try_id tried{node.run, exchange};
        const std::size_t caller = open.caller;
        if (open.call == 0) {
            this->queue.after(seen_after,
                              [this, caller] { this->addresses_known(caller, {}, 0s); });
            continue;
        }
        this->queue.after(seen_after,
                          [this, call = open.call, tried] { this->connection_lost(call, tried); });
    }
}

void runner::state::pause_node(node_process& node, duration length)
{
    if (!node.core) {
        return;
    }
    node.paused_until = std::max(node.paused_until, this->now() + length);
    this->queue.at(node.paused_until, [this, index = node.index, run = node.run] {
        node_process& paused = this->nodes[index];
        if (!paused.core || paused.run != run || this->now() < paused.paused_until) {
            return;
        }
        // Timers come due together with all that has arrived meanwhile.
        this->step(paused, core::tick{});
        std::deque<core::event> arrived;
        arrived.swap(paused.inbox);
        for (const core::event& happened : arrived) {
            this->step(paused, happened);
        }
    });
}

/// Looks at every node's configuration, as an operator's `status` does.
void runner::state::sample_nodes()
{
    core::revision oldest{this->platform.current()};
    for (const node_process& node : this->nodes) {
        if (!node.core || this->now() < node.paused_until) {
            continue;
        }
        const core::revision seen = node.core->status(this->now()).configuration;
        this->truth.saw_revision(node.plan.name, node.run, seen, this->now());
        oldest = std::min(oldest, seen);
    }
    const auto in_force = [&](const pending_change& change) {
        if (change.at > oldest) {
            return false;
        }
        this->figures.slowest_configuration =
            std::max(this->figures.slowest_configuration, this->now() - change.accepted);
        return true;
    };
    std::erase_if(this->pending_changes, in_force);
    this->queue.after(500ms, [this] { this->sample_nodes(); });
}

} // namespace ragwortcove::bench
