// Faults as they are carried out.
#include "run_state.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::bench {

using core::duration;
using core::time_point;

node_process& runner::state::node_named(const core::node_name& name)
{
    const auto wanted = [&](const node_process& node) { return node.plan.name == name; };
    const auto found = std::find_if(this->nodes.begin(), this->nodes.end(), wanted);
    assert(found != this->nodes.end() && "a fault names a node of the deployment");
    return *found;
}

upstream_process& runner::state::upstream_named(const core::upstream_name& name)
{
    const auto wanted = [&](const upstream_process& upstream) { return upstream.name == name; };
    const auto found = std::find_if(this->upstreams.begin(), this->upstreams.end(), wanted);
    assert(found != this->upstreams.end() && "a fault names an upstream of the deployment");
    return *found;
}

std::set<place> runner::state::places_of(const core::failure_domain_name& domain, bool inside) const
{
    std::set<place> places;
    for (const node_process& node : this->nodes) {
        if ((node.plan.failure_domain == domain) == inside) {
            places.insert({place_kind::node, node.index});
        }
    }
    for (const upstream_process& upstream : this->upstreams) {
        if ((upstream.failure_domain == domain) == inside) {
            places.insert({place_kind::upstream, upstream.index});
        }
    }
    if (!inside) {
        places.insert({place_kind::platform, 0});
    }
    return places;
}

void runner::state::set_engine_fault(const core::upstream_name& name,
                                     const standin::engine_fault& added)
{
    upstream_process& upstream = this->upstream_named(name);
    auto* engine = std::get_if<standin::engine_model>(&upstream.model);
    if (engine == nullptr) {
        return;
    }
    upstream.engine_faults.push_back(added);
    engine->set_faults(upstream.engine_faults);
}

namespace {

/// Carries one fault out and arranges for its end.
struct fault_injector {
    runner::state& run;

    void operator()(const node_crash& f) const
    {
        this->run.crash_node(this->run.node_named(f.node), f.restart_after, f.vm_lost);
    }
    void operator()(const node_pause& f) const
    {
        this->run.pause_node(this->run.node_named(f.node), f.length);
    }
    void operator()(const node_drain& f) const
    {
        node_process& node = this->run.node_named(f.node);
        if (!node.core || node.draining) {
            return;
        }
        node.draining = true;
        node.restart_after = f.restart_after;
        this->run.step(node, core::drain_requested{});
    }
    void operator()(const upstream_crash& f) const
    {
        this->run.crash_upstream(this->run.upstream_named(f.upstream), f.restart_after, f.vm_lost);
    }
    void operator()(const upstream_pause& f) const
    {
        upstream_process& upstream = this->run.upstream_named(f.upstream);
        upstream.paused_until = std::max(upstream.paused_until, this->run.now() + f.length);
        std::visit([&](auto& model) { model.pause(upstream.paused_until); }, upstream.model);
        this->run.queue.at(upstream.paused_until, [this_run = &this->run, index = upstream.index] {
            this_run->pump(this_run->upstreams[index]);
        });
    }
    void operator()(const upstream_slow& f) const
    {
        standin::engine_fault slow;
        slow.slow_factor = f.factor;
        slow.until = this->run.now() + f.length;
        this->run.set_engine_fault(f.upstream, slow);
        this->for_service(f.upstream, f.length, [&](standin::service_faults& faults, bool begins) {
            faults.slow_factor = begins ? f.factor : 1.0;
        });
    }
    void operator()(const upstream_failing& f) const
    {
        standin::engine_fault failing;
        failing.failure_rate = f.rate;
        failing.until = this->run.now() + f.length;
        this->run.set_engine_fault(f.upstream, failing);
        this->for_service(f.upstream, f.length, [&](standin::service_faults& faults, bool begins) {
            faults.failure_rate = begins ? f.rate : 0.0;
        });
    }
    void operator()(const upstream_refusing& f) const
    {
        upstream_process& upstream = this->run.upstream_named(f.upstream);
        std::visit([](auto& model) { model.set_refusing(true); }, upstream.model);
        this->run.queue.after(f.length, [this_run = &this->run, index = upstream.index] {
            std::visit([](auto& model) { model.set_refusing(false); },
                       this_run->upstreams[index].model);
        });
    }
    void operator()(const upstream_lost_answers& f) const
    {
        this->for_service(f.upstream, f.length, [&](standin::service_faults& faults, bool begins) {
            faults.lost_answer_rate = begins ? f.rate : 0.0;
        });
    }
    void operator()(const upstream_silence& f) const
    {
        upstream_process& upstream = this->run.upstream_named(f.upstream);
        std::visit([](auto& model) { model.silence_connections(); }, upstream.model);
        for (auto& [number, stream] : upstream.streams) {
            stream.silent = true;
        }
    }
    void operator()(const upstream_leave& f) const
    {
        const core::object_key key{core::object_kind::upstream, f.upstream.value};
        for (const core::object& object : this->run.plan.objects) {
            if (object.key != key) {
                continue;
            }
            core::object leaving = object;
            std::get<core::upstream_spec>(leaving.spec).leaving = true;
            this->run.write_object(leaving);
        }
    }
    void operator()(const peer_silence& f) const
    {
        const std::size_t from = this->run.node_named(f.from).index;
        const std::size_t to = this->run.node_named(f.to).index;
        this->run.lose_stream(from, to);
        this->run.lose_stream(to, from);
    }
    void operator()(const one_way_loss& f) const
    {
        const place from{place_kind::node, this->run.node_named(f.from).index};
        const place to{place_kind::node, this->run.node_named(f.to).index};
        this->run.links.cut({from}, {to}, this->run.now() + f.length);
    }
    void operator()(const datagram_loss& f) const
    {
        this->run.links.lose_datagrams(f.rate, this->run.now() + f.length);
    }
    void operator()(const domain_partition& f) const
    {
        const auto inside = this->run.places_of(f.failure_domain, true);
        const auto outside = this->run.places_of(f.failure_domain, false);
        const time_point until = this->run.now() + f.length;
        for (node_process& node : this->run.nodes) {
            if (node.plan.failure_domain == f.failure_domain) {
                node.cut_off_until = std::max(node.cut_off_until, until);
            }
        }
        this->run.links.cut(inside, outside, until);
        this->run.links.cut(outside, inside, until);
    }
    void operator()(const platform_outage& f) const
    {
        this->set_platform({.down = true}, f.length);
    }
    void operator()(const platform_slow& f) const
    {
        this->set_platform({.slow_factor = f.factor}, f.length);
    }
    void operator()(const platform_lost_answers& f) const
    {
        this->set_platform({.lost_answer_rate = f.rate}, f.length);
    }
    void operator()(const watch_silence&) const
    {
        this->run.platform.silence_watches();
        for (node_process& node : this->run.nodes) {
            node.watch.silent = node.watch.opened.has_value();
        }
    }
    void operator()(const burst& f) const
    {
        this->run.load_factor *= f.factor;
        this->run.queue.after(f.length, [this_run = &this->run, factor = f.factor] {
            this_run->load_factor /= factor;
        });
    }

private:
    void set_platform(const standin::platform_faults& faults, duration length) const
    {
        this->run.platform.set_faults(faults);
        this->run.queue.after(length, [this_run = &this->run] {
            this_run->platform.set_faults({});
            this_run->tell_watches();
        });
    }

    template <class Change>
    void for_service(const core::upstream_name& name, duration length, Change change) const
    {
        upstream_process& upstream = this->run.upstream_named(name);
        auto* service = std::get_if<standin::service_model>(&upstream.model);
        if (service == nullptr) {
            return;
        }
        change(upstream.service_faults, true);
        service->set_faults(upstream.service_faults);
        standin::service_faults after = upstream.service_faults;
        change(after, false);
        this->run.queue.after(length, [this_run = &this->run, index = upstream.index, after] {
            upstream_process& healed = this_run->upstreams[index];
            healed.service_faults = after;
            std::get<standin::service_model>(healed.model).set_faults(after);
        });
    }
};

} // namespace

void runner::state::inject(const fault& what)
{
    if (this->settings.trace_limit > 0) {
        this->decisions.push_back(std::to_string(this->now().time_since_epoch().count()) +
                                  " fault " + describe(what));
    }
    std::visit(fault_injector{*this}, what);
}

} // namespace ragwortcove::bench
