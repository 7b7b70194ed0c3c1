// Processes of upstreams: connections, and what their models tell.
#include "run_state.hpp"

#include <algorithm>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

static constexpr duration connect_timeout = 1s;
static constexpr duration attempt_check_interval = 500ms;

upstream_process* runner::state::find_upstream(const core::endpoint& address)
{
    const auto found = this->upstream_by_address.find(address);
    return found == this->upstream_by_address.end() ? nullptr : &this->upstreams[found->second];
}

void runner::state::attempt_arrived(std::size_t target, std::size_t node, core::incarnation run,
                                    const core::open_attempt& made, stream_number stream,
                                    call_number content)
{
    upstream_process& upstream = this->upstreams[target];
    node_process& opener = this->nodes[node];
    if (!upstream.up) {
        this->fail_attempt(node, run, made.attempt, core::upstream_failure::not_sent,
                           upstream.vm_lost ? connect_timeout : 1ms);
        return;
    }
    upstream.streams[stream] = {node, run, made.attempt, false};
    if (made.mode == core::attempt_mode::fresh) {
        this->start_fresh(upstream, this->calls.at(content), made, stream);
    }
    else {
        this->continue_known(upstream, made, stream);
    }
    const bool still_open =
        opener.core && opener.run == run && opener.attempts.contains(made.attempt);
    if (!still_open) {
        // The node went away or gave up while the request was on its way, which takes it back not.
        upstream.streams.erase(stream);
        this->disconnect(upstream, stream);
    }
    this->pump(upstream);
}

void runner::state::disconnect(upstream_process& upstream, stream_number stream)
{
    if (auto* engine = std::get_if<standin::engine_model>(&upstream.model)) {
        engine->disconnect({stream}, this->now());
    }
    if (auto* service = std::get_if<standin::service_model>(&upstream.model)) {
        service->disconnect({stream});
    }
}

bool runner::state::live_on(const upstream_process& upstream, const core::request_id& request) const
{
    return std::visit([&](const auto& model) { return model.live(request); }, upstream.model);
}

void runner::state::start_fresh(upstream_process& upstream, const call_record& call,
                                const core::open_attempt& made, stream_number stream)
{
    // The model refuses or starts at once; only a start is noted.
    const call_start start{{made.request.entry, made.exchange}, made.request, upstream.index};
    bool live_elsewhere = false;
    for (const call_start& earlier : call.starts) {
        const bool lives = this->live_on(this->upstreams[earlier.upstream], earlier.request);
        live_elsewhere = live_elsewhere || (earlier.from == start.from && lives);
    }
    const auto count_starts = [&] {
        return std::visit(
            [&](const auto& model) {
                const auto found = model.counts().dispatches.find(made.request);
                return found == model.counts().dispatches.end() ? 0U : found->second;
            },
            upstream.model);
    };
    const std::uint32_t before = count_starts();
    if (auto* engine = std::get_if<standin::engine_model>(&upstream.model)) {
        this->count_prefill(upstream, call);
        standin::engine_request request;
        request.id = made.request;
        request.route = call.route;
        request.prompt_tokens = call.prompt_tokens;
        request.prefix = call.prefix;
        request.output_tokens = call.answer_length;
        engine->start(request, {stream}, this->now());
    }
    if (auto* service = std::get_if<standin::service_model>(&upstream.model)) {
        service->start({made.request, call.idempotent ? std::string{} : call.key}, {stream},
                       this->now());
    }
    if (count_starts() > before) {
        this->truth.started(this->calls.at(call.number), start, live_elsewhere, this->now());
    }
}

void runner::state::count_prefill(const upstream_process& upstream, const call_record& call)
{
    const auto cached_on = [&](const upstream_process& other) {
        const auto* engine = std::get_if<standin::engine_model>(&other.model);
        const bool usable = engine != nullptr && other.up;
        return usable ? engine->cached_prefix(call.prefix) : 0U;
    };
    std::uint32_t best = 0;
    for (const upstream_process& other : this->upstreams) {
        best = std::max(best, cached_on(other));
    }
    this->figures.repeated_prefill_tokens += best - cached_on(upstream);
}

void runner::state::continue_known(upstream_process& upstream, const core::open_attempt& made,
                                   stream_number stream)
{
    auto* engine = std::get_if<standin::engine_model>(&upstream.model);
    const auto fail = [&] {
        this->answer_node(
            upstream, stream,
            [](core::attempt_id id) {
                return core::upstream_failed{id, core::upstream_failure::unknown_request};
            },
            true);
    };
    if (engine == nullptr) {
        fail();
        return;
    }
    if (made.mode == core::attempt_mode::resume) {
        engine->resume(made.request, made.offset, {stream}, this->now());
        return;
    }
    const standin::engine_request_status status = engine->status(made.request);
    switch (status.state) {
    case standin::engine_request_state::unknown:
        fail();
        return;
    case standin::engine_request_state::waiting:
    case standin::engine_request_state::running:
        this->answer_node(
            upstream, stream, [](core::attempt_id id) { return core::upstream_accepted{id}; },
            true);
        return;
    case standin::engine_request_state::finished:
        this->answer_node(
            upstream, stream,
            [&](core::attempt_id id) {
                return core::upstream_finished{id, status.produced, 0};
            },
            true);
        return;
    }
}

void runner::state::pump(upstream_process& upstream)
{
    const auto advance = [&](auto& model, auto&& told) {
        model.advance(this->now(), told);
        for (const auto& event : told) {
            std::visit([&](const auto& value) { this->tell(upstream, value); }, event);
        }
        return model.next_event_at();
    };
    time_point next = time_point::max();
    if (auto* engine = std::get_if<standin::engine_model>(&upstream.model)) {
        next = advance(*engine, std::vector<standin::engine_event>{});
    }
    if (auto* service = std::get_if<standin::service_model>(&upstream.model)) {
        next = advance(*service, std::vector<standin::service_event>{});
    }
    if (next == time_point::max() || (upstream.pump_at > this->now() && upstream.pump_at <= next)) {
        return;
    }
    upstream.pump_at = next;
    this->queue.at(next, [this, index = upstream.index, next] {
        upstream_process& due = this->upstreams[index];
        if (due.pump_at == next) {
            due.pump_at = time_point::max();
            this->pump(due);
        }
    });
}

void runner::state::answer_node(upstream_process& upstream, stream_number stream,
                                const std::function<core::event(core::attempt_id)>& make, bool last)
{
    const auto found = upstream.streams.find(stream);
    if (found == upstream.streams.end()) {
        return;
    }
    const upstream_stream connection = found->second;
    if (last) {
        upstream.streams.erase(found);
    }
    node_process& node = this->nodes[connection.node];
    const auto attempt =
        node.run == connection.run ? node.attempts.find(connection.attempt) : node.attempts.end();
    if (!node.core || attempt == node.attempts.end() || attempt->second.silent ||
        connection.silent) {
        return;
    }
    const place here{place_kind::upstream, upstream.index};
    const place there{place_kind::node, node.index};
    if (!this->links.carries(here, there, this->now())) {
        attempt->second.silent = true;
        return;
    }
    const time_point at = this->now() + this->links.draw_delay(here, there);
    attempt->second.last_delivery = std::max(attempt->second.last_delivery, at);
    const core::event answer = make(connection.attempt);
    this->queue.at(attempt->second.last_delivery, [this, connection, answer] {
        node_process& receiver = this->nodes[connection.node];
        const auto open = receiver.attempts.find(connection.attempt);
        if (!receiver.core || receiver.run != connection.run || open == receiver.attempts.end()) {
            return;
        }
        open->second.last_heard = this->now();
        this->step(receiver, answer);
    });
}

void runner::state::tell(upstream_process& upstream, const standin::engine_accepted& event)
{
    this->answer_node(
        upstream, event.stream.value,
        [](core::attempt_id id) { return core::upstream_accepted{id}; }, false);
}

void runner::state::tell(upstream_process& upstream, const standin::engine_tokens& event)
{
    this->answer_node(
        upstream, event.stream.value,
        [&](core::attempt_id id) {
            return core::upstream_progress{id, event.offset, event.count};
        },
        false);
}

void runner::state::tell(upstream_process& upstream, const standin::engine_finished& event)
{
    const auto open = upstream.streams.find(event.stream.value);
    if (open != upstream.streams.end()) {
        const node_process& node = this->nodes[open->second.node];
        const auto attempt = node.attempts.find(open->second.attempt);
        if (node.run == open->second.run && attempt != node.attempts.end()) {
            this->prefilled[attempt->second.made.request] = event.prefilled_tokens;
        }
    }
    this->answer_node(
        upstream, event.stream.value,
        [&](core::attempt_id id) {
            return core::upstream_finished{id, event.total, event.cached_tokens};
        },
        true);
}

void runner::state::tell(upstream_process& upstream, const standin::engine_failed& event)
{
    const auto failure = [&] {
        switch (event.failure) {
        case standin::engine_failure::not_run:
            return core::upstream_failure::refused;
        case standin::engine_failure::unknown_request:
            return core::upstream_failure::unknown_request;
        case standin::engine_failure::error_answer:
            return core::upstream_failure::error_answer;
        case standin::engine_failure::connection_lost:
            return core::upstream_failure::connection_lost;
        }
        return core::upstream_failure::connection_lost;
    };
    this->answer_node(
        upstream, event.stream.value,
        [&](core::attempt_id id) {
            return core::upstream_failed{id, failure()};
        },
        true);
}

void runner::state::tell(upstream_process& upstream, const standin::service_answered& event)
{
    const stream_number stream = event.stream.value;
    this->answer_node(
        upstream, stream, [](core::attempt_id id) { return core::upstream_accepted{id}; }, false);
    this->answer_node(
        upstream, stream,
        [&](core::attempt_id id) {
            return core::upstream_progress{id, 0, event.bytes};
        },
        false);
    this->answer_node(
        upstream, stream,
        [&](core::attempt_id id) {
            return core::upstream_finished{id, event.bytes, 0};
        },
        true);
}

void runner::state::tell(upstream_process& upstream, const standin::service_failed& event)
{
    const auto failure = [&] {
        switch (event.failure) {
        case standin::service_failure::not_run:
            return core::upstream_failure::refused;
        case standin::service_failure::error_answer:
            return core::upstream_failure::error_answer;
        case standin::service_failure::connection_lost:
            return core::upstream_failure::connection_lost;
        }
        return core::upstream_failure::connection_lost;
    };
    this->answer_node(
        upstream, event.stream.value,
        [&](core::attempt_id id) {
            return core::upstream_failed{id, failure()};
        },
        true);
}

void runner::state::fail_attempt(std::size_t node, core::incarnation run, core::attempt_id attempt,
                                 core::upstream_failure failure, duration wait)
{
    this->queue.after(wait, [this, node, run, attempt, failure] {
        node_process& receiver = this->nodes[node];
        if (receiver.core && receiver.run == run) {
            this->step(receiver, core::upstream_failed{attempt, failure});
        }
    });
}

bool runner::state::carries_keep_alive(const node_process& node, const node_attempt& attempt) const
{
    const auto found = this->upstream_by_address.find(attempt.made.address);
    if (found == this->upstream_by_address.end() || attempt.silent) {
        return false;
    }
    const upstream_process& upstream = this->upstreams[found->second];
    const auto stream = upstream.streams.find(attempt.stream);
    const bool open = stream != upstream.streams.end() && !stream->second.silent;
    return open && upstream.up && this->now() >= upstream.paused_until &&
           std::holds_alternative<standin::engine_model>(upstream.model) &&
           this->links.carries({place_kind::upstream, upstream.index},
                               {place_kind::node, node.index}, this->now());
}

/// Stands for the shell's idle limit: engines send keep-alive comments, services nothing.
void runner::state::watch_attempt(std::size_t index, core::incarnation run, core::attempt_id id)
{
    node_process& node = this->nodes[index];
    const auto open = node.attempts.find(id);
    if (!node.core || node.run != run || open == node.attempts.end()) {
        return;
    }
    if (this->carries_keep_alive(node, open->second)) {
        open->second.last_heard = this->now();
    }
    if (this->now() - open->second.last_heard >= open->second.made.idle_limit) {
        this->fail_attempt(index, run, id, core::upstream_failure::silent, 0us);
        return;
    }
    this->queue.after(attempt_check_interval,
                      [this, index, run, id] { this->watch_attempt(index, run, id); });
}

void runner::state::close_streams_of(const node_process& node)
{
    for (upstream_process& upstream : this->upstreams) {
        for (auto stream = upstream.streams.begin(); stream != upstream.streams.end();) {
            if (stream->second.node != node.index || stream->second.run != node.run) {
                ++stream;
                continue;
            }
            this->disconnect(upstream, stream->first);
            stream = upstream.streams.erase(stream);
        }
        this->pump(upstream);
    }
}

void runner::state::crash_upstream(upstream_process& upstream, duration restart_after, bool vm_lost)
{
    if (!upstream.up) {
        return;
    }
    std::visit([&](auto& model) { model.crash(this->now(), !vm_lost); }, upstream.model);
    upstream.paused_until = {};
    this->pump(upstream);
    if (vm_lost) {
        upstream.streams.clear();
    }
    upstream.up = false;
    upstream.vm_lost = vm_lost;
    this->queue.after(restart_after, [this, index = upstream.index] {
        this->upstreams[index].up = true;
        this->upstreams[index].vm_lost = false;
    });
}

} // namespace ragwortcove::bench
