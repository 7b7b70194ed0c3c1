#include "ragwortcove/bench/runner.hpp"

#include "run_state.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

/// Nodes start one after another, as on a first deployment.
static constexpr duration start_interval = 50ms;
/// Callers begin when the nodes have met and read the configuration.
static constexpr duration traffic_starts_after = 1500ms;
static constexpr duration finish_step = 100ms;

static std::deque<upstream_process> make_upstreams(const deployment& plan, std::uint64_t seed)
{
    std::deque<upstream_process> made;
    const auto add = [&](const auto& upstream, upstream_model model) {
        upstream_process& added = made.emplace_back(upstream_process{.model = std::move(model)});
        added.name = upstream.name;
        added.failure_domain = upstream.failure_domain;
        added.address = upstream.address;
        added.index = made.size() - 1;
    };
    for (const engine_plan& engine : plan.engines) {
        add(engine, standin::engine_model(engine.engine, seed * 1009 + made.size()));
    }
    for (const service_plan& service : plan.services) {
        add(service, standin::service_model(service.service, seed * 1009 + made.size()));
    }
    return made;
}

runner::state::state(const deployment& wanted, const run_settings& run)
    : plan(wanted), settings(run), links(run.seed * 7919 + 1), random(run.seed * 7919 + 2),
      platform(wanted.platform, run.seed * 7919 + 3), upstreams(make_upstreams(wanted, run.seed)),
      callers(wanted.callers)
{
    for (const upstream_process& upstream : this->upstreams) {
        this->upstream_by_address[upstream.address] = upstream.index;
    }
    // One more than there is traffic: the last is for calls made by hand.
    for (std::size_t traffic = 0; traffic <= this->plan.traffic.size(); ++traffic) {
        this->arrivals.emplace_back(run.seed * 104'729 + traffic);
    }
    this->engine_requests_per_second = engine_capacity(this->plan) * run.load;
    for (const core::object& object : this->plan.objects) {
        const auto reply =
            this->platform.call(core::platform_put{object, {}, "setup"}, this->now());
        assert(reply.result && std::holds_alternative<core::platform_written>(*reply.result) &&
               "the deployment's objects fit the platform's write rate");
    }
    for (std::size_t index = 0; index < this->plan.nodes.size(); ++index) {
        node_process& node = this->nodes.emplace_back();
        node.plan = this->plan.nodes[index];
        node.index = index;
    }
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        this->queue.after(start_interval * static_cast<std::int64_t>(index),
                          [this, index] { this->start_node(index); });
    }
    this->queue.after(traffic_starts_after, [this] {
        for (std::size_t traffic = 0; traffic < this->plan.traffic.size(); ++traffic) {
            this->schedule_arrival(traffic);
        }
        this->sample_nodes();
    });
}

runner::runner(const deployment& plan, const run_settings& settings)
    : self(std::make_unique<state>(plan, settings))
{
}

runner::~runner() = default;

void runner::schedule(const std::vector<timed_fault>& faults)
{
    for (const timed_fault& timed : faults) {
        this->self->queue.at(time_point{timed.at},
                             [run = this->self.get(), what = timed.what] { run->inject(what); });
    }
}

void runner::inject(const fault& what)
{
    this->self->inject(what);
}

void runner::run_for(duration length)
{
    this->self->queue.run_until(this->now() + length);
}

void runner::finish(duration limit)
{
    this->self->sending = false;
    const time_point end = this->now() + limit;
    while (this->self->calls.open_calls() > 0 && this->now() < end) {
        this->run_for(finish_step);
    }
}

call_number runner::call(const call_plan& wanted)
{
    traffic_plan traffic;
    traffic.route = wanted.route;
    traffic.team = wanted.team;
    traffic.prompt_tokens = {static_cast<double>(wanted.prompt_tokens),
                             static_cast<double>(wanted.prompt_tokens)};
    traffic.output_tokens = {static_cast<double>(wanted.output_tokens),
                             static_cast<double>(wanted.output_tokens)};
    call_record& call = this->self->make_call(traffic, this->self->arrivals.back());
    if (!wanted.entry.empty()) {
        call.fixed_entry = this->self->node_named(wanted.entry).index;
    }
    this->self->launch(call);
    return call.number;
}

call_view runner::view(call_number number) const
{
    const call_record& call = this->self->calls.at(number);
    const bool open = call.state == call_state::open;
    return {call.state, call.refusal, call.received, call.tries,
            open ? duration{0} : call.ended_at - call.made_at};
}

void runner::put_object(const core::object& value)
{
    this->self->write_object(value);
}

void runner::delete_object(const core::object_key& key)
{
    this->self->remove_object(key);
}

time_point runner::now() const
{
    return this->self->now();
}

std::optional<core::node_status> runner::status(const core::node_name& node) const
{
    const node_process& found = this->self->node_named(node);
    if (!found.core) {
        return std::nullopt;
    }
    return found.core->status(this->now());
}

const std::vector<violation>& runner::violations() const
{
    std::map<std::string, std::uint32_t> runs;
    for (const upstream_process& upstream : this->self->upstreams) {
        const auto* service = std::get_if<standin::service_model>(&upstream.model);
        if (service == nullptr) {
            continue;
        }
        for (const auto& [key, times] : service->counts().runs_by_key) {
            runs[key] += times;
        }
    }
    this->self->truth.check_runs(runs, this->now());
    return this->self->truth.violations();
}

std::vector<std::string> runner::trace() const
{
    return {this->self->decisions.begin(), this->self->decisions.end()};
}

run_result runner::result() const
{
    run_result result = this->self->figures;
    result.violations = this->violations();
    result.routes = this->self->calls.results();
    result.length = this->now().time_since_epoch();
    result.caller_retries = this->self->calls.retries();
    for (const upstream_process& upstream : this->self->upstreams) {
        const auto* engine = std::get_if<standin::engine_model>(&upstream.model);
        if (engine == nullptr) {
            continue;
        }
        result.prefilled_tokens += engine->counts().prefilled_tokens;
        result.cached_tokens += engine->counts().cached_tokens;
        result.output_tokens += engine->counts().output_tokens;
    }
    result.undelivered_prefill_tokens = result.prefilled_tokens - result.delivered_prefill_tokens;
    return result;
}

} // namespace ragwortcove::bench
