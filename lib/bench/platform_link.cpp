// The platform as nodes and operators reach it.
#include "run_state.hpp"

#include <algorithm>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using core::duration;

static constexpr place platform_place{place_kind::platform, 0};
static constexpr duration watch_check_interval = 250ms;
/// Longest silence of a watch, as `http_platform_settings` has it.
static constexpr duration watch_idle_limit = 1500ms;
static constexpr duration operator_retry_after = 500ms;

bool runner::state::reaches_platform(const node_process& node) const
{
    return this->links.carries_both_ways({place_kind::node, node.index}, platform_place,
                                         this->now());
}

void runner::state::tell_watches()
{
    for (node_process& node : this->nodes) {
        const auto ready = this->platform.watches_with_changes();
        if (!node.core || !node.watch.opened ||
            std::find(ready.begin(), ready.end(), *node.watch.opened) == ready.end()) {
            continue;
        }
        if (!this->reaches_platform(node)) {
            node.watch.silent = true;
            continue;
        }
        if (node.watch.silent) {
            continue;
        }
        const auto changes = this->platform.take_changes(*node.watch.opened);
        if (!changes) {
            node.watch.opened.reset();
            this->end_watch(node, false, 1ms);
            continue;
        }
        this->deliver_event(node.index, node.run, core::watch_changed{*changes},
                            this->links.draw_delay(platform_place, {}));
    }
}

/// Stands for the shell's idle limit on a watch.
void runner::state::watch_platform(std::size_t index, core::incarnation run, std::uint64_t watch)
{
    node_process& node = this->nodes[index];
    if (!node.core || node.run != run || node.watch.number != watch || !node.watch.opened) {
        return;
    }
    const bool heard = !node.watch.silent && !this->platform.down() && this->reaches_platform(node);
    if (heard) {
        node.watch.last_heard = this->now();
        this->tell_watches();
    }
    if (this->now() - node.watch.last_heard >= watch_idle_limit) {
        if (node.watch.opened) {
            this->platform.close_watch(*node.watch.opened);
        }
        this->end_watch(node, false, 0us);
        return;
    }
    this->queue.after(watch_check_interval,
                      [this, index, run, watch] { this->watch_platform(index, run, watch); });
}

void runner::state::end_watch(node_process& node, bool must_list, duration wait)
{
    node.watch.opened.reset();
    this->queue.after(
        wait, [this, index = node.index, run = node.run, number = node.watch.number, must_list] {
            node_process& watcher = this->nodes[index];
            if (watcher.core && watcher.run == run && watcher.watch.number == number) {
                this->step(watcher, core::watch_ended{must_list});
            }
        });
}

void runner::state::write_object(const core::object& value)
{
    const auto retry = [&] {
        this->queue.after(operator_retry_after, [this, value] { this->write_object(value); });
    };
    const standin::platform_reply found =
        this->platform.call(core::platform_get{value.key}, this->now());
    if (!found.result) {
        retry();
        return;
    }
    core::platform_put put{value, {}, "operator-" + std::to_string(++this->last_change)};
    if (const auto* current = std::get_if<core::platform_found>(&*found.result)) {
        put.expected = current->value.written_at;
    }
    const standin::platform_reply reply = this->platform.call(put, this->now());
    const auto* written =
        reply.result ? std::get_if<core::platform_written>(&*reply.result) : nullptr;
    if (written == nullptr) {
        retry();
        return;
    }
    this->pending_changes.push_back({written->at, this->now()});
    const auto* upstream = std::get_if<core::upstream_spec>(&value.spec);
    if (upstream != nullptr && upstream->leaving) {
        this->truth.marked_leaving({value.key.name}, this->now());
    }
    this->tell_watches();
}

void runner::state::remove_object(const core::object_key& key)
{
    const standin::platform_reply found = this->platform.call(core::platform_get{key}, this->now());
    if (found.result && std::holds_alternative<core::platform_missing>(*found.result)) {
        return;
    }
    const auto* current =
        found.result ? std::get_if<core::platform_found>(&*found.result) : nullptr;
    const auto retry = [&] {
        this->queue.after(operator_retry_after, [this, key] { this->remove_object(key); });
    };
    if (current == nullptr) {
        retry();
        return;
    }
    const core::platform_delete removal{key, current->value.written_at,
                                        "operator-" + std::to_string(++this->last_change)};
    const standin::platform_reply reply = this->platform.call(removal, this->now());
    if (!reply.result) {
        retry();
        return;
    }
    if (const auto* written = std::get_if<core::platform_written>(&*reply.result)) {
        this->pending_changes.push_back({written->at, this->now()});
    }
    this->tell_watches();
}

} // namespace ragwortcove::bench
