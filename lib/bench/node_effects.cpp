// What a node wants done: its shell's side of every effect.
#include "ragwortcove/core/object_fields.hpp"
#include "run_state.hpp"

#include <algorithm>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

/// How long a connection attempt to an unreachable place takes to fail.
static constexpr duration connect_timeout = 1s;
static constexpr duration platform_call_limit = 2s;
static constexpr duration probe_limit = 1s;
/// Streams that are lost are noticed by their keep-alive.
static constexpr duration attempt_check_interval = 500ms;

static place place_of(const node_process& node)
{
    return {place_kind::node, node.index};
}

static place place_of(const upstream_process& upstream)
{
    return {place_kind::upstream, upstream.index};
}

void runner::state::carry_out(node_process& node, const core::open_attempt& effect)
{
    node_attempt attempt;
    attempt.made = effect;
    attempt.stream = ++this->last_stream;
    attempt.last_heard = this->now();
    upstream_process* upstream = this->find_upstream(effect.address);
    if (upstream == nullptr) {
        this->fail_attempt(node.index, node.run, effect.attempt, core::upstream_failure::not_sent,
                           1ms);
        node.attempts[effect.attempt] = attempt;
        return;
    }
    const auto open = node.exchanges.find(effect.exchange);
    const bool fresh = effect.mode == core::attempt_mode::fresh;
    if (fresh && open == node.exchanges.end()) {
        // Nobody waits for the answer and there is no body to send.
        this->fail_attempt(node.index, node.run, effect.attempt, core::upstream_failure::not_sent,
                           1ms);
        node.attempts[effect.attempt] = attempt;
        return;
    }
    if (fresh) {
        const call_record& call = this->calls.at(open->second.call);
        this->owner_of_request[effect.request] = call.number;
        this->truth.admitted(call, upstream->name, node.cut_off_until, this->now());
        if (!call.streaming) {
            // The shell has held the parts of an answer that begins again.
            open->second.forwarded = 0;
        }
    }
    const auto owner = this->owner_of_request.find(effect.request);
    attempt.content = owner == this->owner_of_request.end() ? 0 : owner->second;
    const place here = place_of(node);
    const place there = place_of(*upstream);
    const bool reached = this->links.carries(here, there, this->now());
    // A kept connection takes the bytes even when they get nowhere.
    attempt.silent = !reached && !effect.fresh_connection;
    node.attempts[effect.attempt] = attempt;
    this->queue.after(attempt_check_interval,
                      [this, index = node.index, run = node.run, id = effect.attempt] {
                          this->watch_attempt(index, run, id);
                      });
    if (!reached) {
        if (effect.fresh_connection) {
            this->fail_attempt(node.index, node.run, effect.attempt,
                               core::upstream_failure::not_sent, connect_timeout);
        }
        return;
    }
    this->queue.after(this->links.draw_delay(here, there),
                      [this, target = upstream->index, index = node.index, run = node.run, effect,
                       stream = attempt.stream, content = attempt.content] {
                          this->attempt_arrived(target, index, run, effect, stream, content);
                      });
}

void runner::state::carry_out(node_process& node, const core::cancel_attempt& effect)
{
    const auto found = node.attempts.find(effect.attempt);
    if (found == node.attempts.end()) {
        return;
    }
    const node_attempt attempt = found->second;
    node.attempts.erase(found);
    upstream_process* upstream = this->find_upstream(attempt.made.address);
    const place here = place_of(node);
    if (upstream == nullptr || !this->links.carries(here, place_of(*upstream), this->now())) {
        return;
    }
    const duration delay = this->links.draw_delay(here, place_of(*upstream));
    this->queue.after(delay, [this, index = upstream->index, attempt] {
        upstream_process& told = this->upstreams[index];
        told.streams.erase(attempt.stream);
        if (!told.up) {
            return;
        }
        this->disconnect(told, attempt.stream);
        if (auto* engine = std::get_if<standin::engine_model>(&told.model)) {
            engine->cancel(attempt.made.request, this->now());
        }
        this->pump(told);
    });
}

void runner::state::carry_out(node_process& node, const core::forward_progress& effect)
{
    const auto open = node.exchanges.find(effect.exchange);
    const auto attempt = node.attempts.find(effect.attempt);
    if (open == node.exchanges.end() || attempt == node.attempts.end()) {
        return;
    }
    open_exchange& exchange = open->second;
    const core::upstream_progress& progress = attempt->second.last_progress;
    if (attempt->second.content != exchange.call) {
        this->truth.break_promise(promise::own_answer, this->now(),
                                  "call " + std::to_string(exchange.call) + " got tokens of call " +
                                      std::to_string(attempt->second.content));
    }
    const std::uint32_t from = progress.offset + effect.skip;
    const std::uint32_t end = progress.offset + progress.count;
    if (from != exchange.forwarded) {
        this->truth.break_promise(promise::whole_answer, this->now(),
                                  "call " + std::to_string(exchange.call) + " got part " +
                                      std::to_string(from) + " after " +
                                      std::to_string(exchange.forwarded));
    }
    exchange.forwarded = end;
    if (!this->calls.at(exchange.call).streaming) {
        return;
    }
    const duration delay = this->links.draw_delay(place_of(node), {place_kind::caller, 0});
    exchange.last_delivery = std::max(exchange.last_delivery, this->now() + delay);
    this->queue.at(exchange.last_delivery,
                   [this, call = exchange.call, tried = try_id{node.run, effect.exchange},
                    count = end - from] { this->part_received(call, tried, count); });
}

void runner::state::carry_out(node_process& node, const core::finish_exchange& effect)
{
    const auto open = node.exchanges.find(effect.exchange);
    if (open == node.exchanges.end()) {
        return;
    }
    const open_exchange exchange = open->second;
    node.exchanges.erase(open);
    const call_record& call = this->calls.at(exchange.call);
    if (exchange.forwarded != call.answer_length) {
        this->truth.break_promise(promise::whole_answer, this->now(),
                                  "call " + std::to_string(call.number) + " finished at " +
                                      std::to_string(exchange.forwarded) + " of " +
                                      std::to_string(call.answer_length));
    }
    const auto computed = this->prefilled.find(effect.request);
    if (computed != this->prefilled.end()) {
        this->figures.delivered_prefill_tokens += computed->second;
        this->prefilled.erase(computed);
    }
    const duration delay = this->links.draw_delay(place_of(node), {place_kind::caller, 0});
    const time_point at = std::max(exchange.last_delivery, this->now() + delay);
    const std::uint32_t held = call.streaming ? 0 : exchange.forwarded;
    this->queue.at(at,
                   [this, number = call.number, held, tried = try_id{node.run, effect.exchange}] {
                       if (held > 0) {
                           this->part_received(number, tried, held);
                       }
                       this->whole_received(number, tried);
                   });
}

void runner::state::carry_out(node_process& node, const core::refuse_exchange& effect)
{
    const auto open = node.exchanges.find(effect.exchange);
    if (open == node.exchanges.end()) {
        return;
    }
    const open_exchange exchange = open->second;
    node.exchanges.erase(open);
    const try_id tried{node.run, effect.exchange};
    if (exchange.call == 0) {
        this->queue.after(
            3ms, [this, caller = exchange.caller] { this->addresses_known(caller, {}, 0s); });
        return;
    }
    this->truth.refused(this->calls.at(exchange.call), tried, effect.answer, exchange.arrived,
                        this->now());
    const duration delay = this->links.draw_delay(place_of(node), {place_kind::caller, 0});
    this->queue.after(delay, [this, call = exchange.call, tried, answer = effect.answer] {
        this->refusal_received(call, tried, answer, false);
    });
}

void runner::state::carry_out(node_process& node, const core::abort_exchange& effect)
{
    const auto open = node.exchanges.find(effect.exchange);
    if (open == node.exchanges.end()) {
        return;
    }
    const open_exchange exchange = open->second;
    node.exchanges.erase(open);
    const try_id tried{node.run, effect.exchange};
    this->truth.refused(this->calls.at(exchange.call), tried, effect.answer, exchange.arrived,
                        this->now());
    const duration delay = this->links.draw_delay(place_of(node), {place_kind::caller, 0});
    const time_point at = std::max(exchange.last_delivery, this->now() + delay);
    this->queue.at(at, [this, call = exchange.call, tried, answer = effect.answer] {
        this->refusal_received(call, tried, answer, true);
    });
}

void runner::state::carry_out(node_process& node, const core::send_peer& effect)
{
    node_process* to = this->find_node(effect.address);
    if (to == nullptr) {
        return;
    }
    if (to->index == node.index) {
        this->deliver_event(node.index, node.run,
                            core::peer_received{node.plan.name, node.run, effect.message}, 0us);
        return;
    }
    this->count_message(effect.message);
    if (!std::holds_alternative<core::heartbeat>(effect.message)) {
        this->send_on_stream(node, *to, effect.message);
        return;
    }
    const bool carried = this->links.carries(place_of(node), place_of(*to), this->now()) &&
                         !this->links.loses_datagram(this->now());
    if (carried && to->core) {
        this->deliver_event(to->index, to->run,
                            core::peer_received{node.plan.name, node.run, effect.message},
                            this->links.draw_delay(place_of(node), place_of(*to)));
    }
}

void runner::state::carry_out(node_process& node, const core::call_platform& effect)
{
    const core::platform_answered unreachable{effect.call, core::platform_unreachable{}};
    if (!this->reaches_platform(node)) {
        this->deliver_event(node.index, node.run, unreachable, platform_call_limit);
        return;
    }
    const place there{place_kind::platform, 0};
    const duration delay = this->links.draw_delay(place_of(node), there);
    this->queue.after(delay, [this, index = node.index, run = node.run, effect, unreachable] {
        const standin::platform_reply reply = this->platform.call(effect.request, this->now());
        ++this->figures.platform_calls;
        this->tell_watches();
        if (!reply.result || reply.after >= platform_call_limit) {
            this->deliver_event(index, run, unreachable, platform_call_limit);
            return;
        }
        const duration back = this->links.draw_delay({place_kind::platform, 0}, {});
        this->deliver_event(index, run, core::platform_answered{effect.call, *reply.result},
                            reply.after + back);
    });
}

void runner::state::carry_out(node_process& node, const core::open_watch& effect)
{
    if (node.watch.opened) {
        this->platform.close_watch(*node.watch.opened);
    }
    node.watch = {};
    node.watch.number = ++node.last_watch;
    node.watch.last_heard = this->now();
    if (!this->reaches_platform(node)) {
        this->end_watch(node, false, platform_call_limit);
        return;
    }
    this->queue.after(
        1ms, [this, index = node.index, run = node.run, number = node.watch.number, effect] {
            node_process& opener = this->nodes[index];
            if (!opener.core || opener.run != run || opener.watch.number != number) {
                return;
            }
            ++this->figures.platform_calls;
            const auto reply = this->platform.open_watch(effect.after, this->now());
            if (const auto* opened = std::get_if<standin::watch_opened>(&reply)) {
                opener.watch.opened = opened->watch;
                this->watch_platform(index, run, number);
                this->tell_watches();
                return;
            }
            this->end_watch(opener, std::holds_alternative<standin::watch_gone>(reply), 2ms);
        });
}

void runner::state::carry_out(node_process& node, const core::close_watch&)
{
    if (node.watch.opened) {
        this->platform.close_watch(*node.watch.opened);
    }
    node.watch = {};
}

void runner::state::carry_out(node_process& node, const core::probe_upstream& effect)
{
    const upstream_process* upstream = this->find_upstream(effect.address);
    const bool healthy =
        upstream != nullptr && upstream->up && this->now() >= upstream->paused_until &&
        this->links.carries_both_ways(place_of(node), place_of(*upstream), this->now());
    this->deliver_event(node.index, node.run, core::probe_answered{effect.upstream, healthy},
                        healthy ? 3ms : probe_limit);
}

void runner::state::carry_out(node_process& node, const core::poll_upstream& effect)
{
    const upstream_process* upstream = this->find_upstream(effect.address);
    if (upstream == nullptr || !upstream->up || this->now() < upstream->paused_until ||
        !this->links.carries_both_ways(place_of(node), place_of(*upstream), this->now())) {
        return;
    }
    const auto* engine = std::get_if<standin::engine_model>(&upstream->model);
    if (engine == nullptr) {
        return;
    }
    const standin::engine_load load = engine->load(this->now());
    this->deliver_event(node.index, node.run,
                        core::load_reported{effect.upstream, load.running, load.waiting, load.age},
                        3ms);
    for (standin::engine_cache_event& change :
         engine->cache_events(effect.cache_events_after, this->now())) {
        this->deliver_event(node.index, node.run,
                            core::cache_reported{effect.upstream, change.sequence,
                                                 std::move(change.added),
                                                 std::move(change.removed)},
                            3ms);
    }
}

void runner::state::carry_out(node_process& node, const core::order_upstream& effect)
{
    upstream_process* upstream = this->find_upstream(effect.address);
    const bool reached =
        upstream != nullptr && upstream->up &&
        this->links.carries_both_ways(place_of(node), place_of(*upstream), this->now());
    auto* engine = reached ? std::get_if<standin::engine_model>(&upstream->model) : nullptr;
    if (engine == nullptr) {
        this->deliver_event(node.index, node.run,
                            core::order_answered{effect.upstream, effect.order, false, false, {}},
                            connect_timeout);
        return;
    }
    const auto result = engine->order({effect.target, effect.version, effect.fencing}, this->now());
    this->pump(*upstream);
    this->deliver_event(node.index, node.run,
                        core::order_answered{effect.upstream, effect.order, true,
                                             result.refused_as_stale, result.serving},
                        3ms);
}

void runner::state::carry_out(node_process& node, const core::address_response& effect)
{
    const auto open = node.exchanges.find(effect.exchange);
    if (open == node.exchanges.end()) {
        return;
    }
    const std::size_t caller = open->second.caller;
    node.exchanges.erase(open);
    const duration delay = this->links.draw_delay(place_of(node), {place_kind::caller, 0});
    this->queue.after(delay, [this, caller, effect] {
        this->addresses_known(caller, effect.addresses, effect.time_to_live);
    });
}

void runner::state::carry_out(node_process& node, const core::log_decision& effect)
{
    if (this->settings.trace_limit == 0) {
        return;
    }
    const auto micros = this->now().time_since_epoch().count();
    std::string line = std::to_string(micros) + " " + node.plan.name.value + " " +
                       std::string(core::to_string(effect.kind)) + " " +
                       core::format_request_id(effect.request) + " " + effect.subject + " " +
                       effect.detail;
    this->decisions.push_back(std::move(line));
    if (this->decisions.size() > this->settings.trace_limit) {
        this->decisions.pop_front();
    }
}

void runner::state::carry_out(node_process& node, const core::drained&)
{
    for (const auto& [exchange, open] : node.exchanges) {
        if (open.call != 0) {
            this->truth.break_promise(promise::drain_cuts_nothing, this->now(),
                                      node.plan.name.value + " ended with call " +
                                          std::to_string(open.call) + " open");
        }
    }
    // The process goes after the step that said so.
    this->queue.after(0us, [this, index = node.index, run = node.run] {
        node_process& ended = this->nodes[index];
        if (ended.core && ended.run == run) {
            this->crash_node(ended, ended.restart_after, false);
        }
    });
}

} // namespace ragwortcove::bench
