#include "ragwortcove/bench/deployment.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

namespace ragwortcove::bench {

using namespace std::chrono_literals;

static constexpr std::uint16_t caller_port = 7000;
static constexpr std::uint16_t peer_port = 7001;
static constexpr std::uint16_t engine_port = 8000;
static constexpr std::uint16_t service_port = 8080;
/// Traffic whose prompts share less is short classification, taken in one piece.
static constexpr std::uint32_t least_streamed_prefix = 256;
/// Longest part of an engine's step that goes to prefill, as `engine_model` has it.
static constexpr double prefill_seconds_per_step = 0.010;

double length_range::mean() const
{
    if (this->most <= this->least) {
        return this->least;
    }
    return (this->most - this->least) / std::log(this->most / this->least);
}

double length_range::mean_beyond(double length) const
{
    if (this->most <= this->least) {
        return std::max(0.0, this->least - length);
    }
    // The density of a log-uniform length x is 1 / (x ln(most / least)).
    const double from = std::clamp(length, this->least, this->most);
    const double sum = (this->most - from) - length * std::log(this->most / from);
    return std::max(0.0, sum / std::log(this->most / this->least));
}

namespace {

/// Fills a deployment part by part; places are spread over the failure domains in turn.
struct deployment_builder {
    deployment built;
    std::vector<core::failure_domain_name> domains;

    [[nodiscard]] core::failure_domain_name domain_of(std::size_t index) const
    {
        return this->domains[index % this->domains.size()];
    }

    void add_object(core::object_kind kind, const std::string& name, core::object_spec spec)
    {
        core::object added;
        added.key = {kind, name};
        added.spec = std::move(spec);
        this->built.objects.push_back(std::move(added));
    }

    void add_nodes(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const std::string address = "10.0.0." + std::to_string(index + 1);
            this->built.nodes.push_back({{"node-" + std::to_string(index + 1)},
                                         this->domain_of(index),
                                         {address, caller_port},
                                         {address, peer_port}});
        }
    }

    /// Engines of the three speeds in turn, so that each failure domain has all.
    void add_engines(std::size_t count, const core::target_name& target)
    {
        static constexpr std::array speeds{standin::fast_engine, standin::middle_engine,
                                           standin::slow_engine};
        for (std::size_t index = 0; index < count; ++index) {
            engine_plan plan;
            plan.name = {"engine-" + std::to_string(index + 1)};
            plan.failure_domain = this->domain_of(index);
            plan.address = {"10.1.0." + std::to_string(index + 1), engine_port};
            plan.engine.speed = speeds[(index / this->domains.size() + index) % speeds.size()];
            plan.engine.target = target;
            plan.engine.version = {"v1"};
            this->add_upstream(plan.name, core::upstream_kind::engine, plan.address,
                               plan.failure_domain, target, plan.engine.slots,
                               plan.engine.cache_tokens);
            this->built.engines.push_back(std::move(plan));
        }
    }

    void add_services(std::size_t count, const core::target_name& target)
    {
        for (std::size_t index = 0; index < count; ++index) {
            service_plan plan;
            const std::size_t number = this->built.services.size() + 1;
            plan.name = {target.value + "-" + std::to_string(index + 1)};
            plan.failure_domain = this->domain_of(index);
            plan.address = {"10.2.0." + std::to_string(number), service_port};
            plan.target = target;
            plan.version = {"v1"};
            this->add_upstream(plan.name, core::upstream_kind::service, plan.address,
                               plan.failure_domain, target, plan.service.slots, 0);
            this->built.services.push_back(std::move(plan));
        }
    }

    void add_upstream(const core::upstream_name& name, core::upstream_kind kind,
                      const core::endpoint& address, const core::failure_domain_name& domain,
                      const core::target_name& target, std::uint32_t slots,
                      std::uint32_t cache_tokens)
    {
        core::upstream_spec spec;
        spec.kind = kind;
        spec.address = address;
        spec.region = this->built.region;
        spec.failure_domain = domain;
        spec.target = target;
        spec.version = {"v1"};
        spec.slots = slots;
        spec.cache_tokens = cache_tokens;
        spec.checks_fencing = true;
        this->add_object(core::object_kind::upstream, name.value, std::move(spec));
    }

    void add_tier(const std::string& name, std::uint32_t rank, core::duration queue_limit)
    {
        this->add_object(core::object_kind::tier, name, core::tier_spec{rank, queue_limit});
    }

    void add_team(const std::string& name, double weight)
    {
        this->add_object(core::object_kind::team, name, core::team_spec{weight});
    }

    void add_version(const core::target_name& target)
    {
        core::version_spec spec;
        spec.target = target;
        spec.artifact = target.value + "-weights-1";
        this->add_object(core::object_kind::version, "v1", std::move(spec));
    }

    void add_route(const std::string& name, const core::target_name& target,
                   core::upstream_kind kind, const std::string& tier, core::duration timeout,
                   bool idempotent = true)
    {
        core::route_spec spec;
        spec.target = target;
        spec.kind = kind;
        spec.tier = {tier};
        spec.timeout = timeout;
        spec.idempotent = idempotent;
        this->add_object(core::object_kind::route, name, std::move(spec));
    }

    void add_traffic(const std::string& route, const std::string& team, double share,
                     length_range prompt = {}, length_range output = {},
                     std::uint32_t shared_prefixes = 0, std::uint32_t shared_prefix_tokens = 0)
    {
        traffic_plan added{
            {route}, {team}, share, prompt, output, shared_prefixes, shared_prefix_tokens};
        added.streaming = shared_prefix_tokens >= least_streamed_prefix;
        this->built.traffic.push_back(std::move(added));
    }
};

} // namespace

static deployment_builder make_builder(const std::string& name, const std::string& region,
                                       std::size_t domains)
{
    deployment_builder builder;
    builder.built.name = name;
    builder.built.region = {region};
    for (std::size_t index = 0; index < domains; ++index) {
        builder.domains.push_back({region + "-" + std::string(1, static_cast<char>('a' + index))});
    }
    return builder;
}

deployment consortium()
{
    deployment_builder builder = make_builder("consortium", "zurich", 3);
    const core::target_name model{"lounge-model"};
    const core::target_name desk{"admissions"};
    builder.add_nodes(9);
    builder.add_version(model);
    builder.add_engines(10, model);
    builder.add_services(3, desk);
    builder.add_tier("desk", 0, 5s);
    builder.add_tier("guest", 1, 20s);
    builder.add_tier("briefing", 2, 120s);
    builder.add_team("carrier-one", 4.0);
    builder.add_team("carrier-two", 3.0);
    builder.add_team("card-issuer", 3.0);
    builder.add_team("front-desk", 2.0);
    builder.add_team("managers", 1.0);
    builder.add_route("lookup", desk, core::upstream_kind::service, "desk", 2s);
    builder.add_route("admission", desk, core::upstream_kind::service, "desk", 5s, false);
    builder.add_route("pass", model, core::upstream_kind::engine, "desk", 5s);
    builder.add_route("guest-chat", model, core::upstream_kind::engine, "guest", 30s);
    builder.add_route("briefing", model, core::upstream_kind::engine, "briefing", 180s);
    builder.add_traffic("lookup", "carrier-one", 0.4);
    builder.add_traffic("lookup", "card-issuer", 0.4);
    builder.add_traffic("admission", "front-desk", 0.2);
    builder.add_traffic("pass", "front-desk", 0.45, {64, 256}, {4, 16}, 2, 64);
    builder.add_traffic("guest-chat", "carrier-one", 0.2, {100, 1500}, {20, 300}, 4, 512);
    builder.add_traffic("guest-chat", "carrier-two", 0.2, {100, 1500}, {20, 300}, 4, 512);
    builder.add_traffic("briefing", "managers", 0.15, {600, 6000}, {100, 2000}, 4, 1024);
    return builder.built;
}

deployment torvelund()
{
    deployment_builder builder = make_builder("torvelund", "aarhus", 3);
    const core::target_name model{"licence-model"};
    const core::target_name payments{"payments"};
    builder.add_nodes(9);
    builder.add_version(model);
    builder.add_engines(20, model);
    builder.add_services(3, payments);
    builder.add_tier("money", 0, 5s);
    builder.add_tier("prompt", 1, 20s);
    builder.add_tier("review", 2, 240s);
    builder.add_team("payments", 3.0);
    builder.add_team("inspectors", 3.0);
    builder.add_team("counter", 2.0);
    builder.add_team("office", 1.0);
    builder.add_team("reviewers", 1.0);
    builder.add_route("status", payments, core::upstream_kind::service, "money", 2s);
    builder.add_route("payment", payments, core::upstream_kind::service, "money", 5s, false);
    builder.add_route("permit", payments, core::upstream_kind::service, "money", 5s, false);
    builder.add_route("eligibility", model, core::upstream_kind::engine, "money", 10s);
    builder.add_route("chat", model, core::upstream_kind::engine, "prompt", 30s);
    builder.add_route("review", model, core::upstream_kind::engine, "review", 300s);
    builder.add_traffic("status", "counter", 0.6);
    builder.add_traffic("payment", "payments", 0.2);
    builder.add_traffic("permit", "counter", 0.2);
    builder.add_traffic("eligibility", "inspectors", 0.3, {64, 512}, {8, 40}, 2, 128);
    builder.add_traffic("chat", "office", 0.4, {100, 1200}, {20, 250}, 8, 512);
    builder.add_traffic("review", "reviewers", 0.3, {700, 7000}, {100, 2000}, 6, 2048);
    return builder.built;
}

deployment small_site()
{
    deployment_builder builder = make_builder("small", "site", 2);
    const core::target_name model{"model"};
    const core::target_name desk{"desk"};
    builder.add_nodes(3);
    builder.add_version(model);
    builder.add_engines(4, model);
    builder.add_services(2, desk);
    builder.add_tier("high", 0, 5s);
    builder.add_tier("low", 1, 20s);
    builder.add_team("one", 2.0);
    builder.add_team("two", 1.0);
    builder.add_route("lookup", desk, core::upstream_kind::service, "high", 2s);
    builder.add_route("payment", desk, core::upstream_kind::service, "high", 5s, false);
    builder.add_route("short", model, core::upstream_kind::engine, "high", 10s);
    builder.add_route("long", model, core::upstream_kind::engine, "low", 30s);
    builder.add_traffic("lookup", "one", 0.5);
    builder.add_traffic("payment", "two", 0.5);
    builder.add_traffic("short", "one", 0.7, {64, 256}, {4, 32}, 2, 64);
    builder.add_traffic("long", "two", 0.3, {200, 2000}, {50, 400}, 4, 256);
    builder.built.callers = 6;
    builder.built.service_calls_per_second = 10.0;
    return builder.built;
}

static const core::object* find_object(const deployment& plan, core::object_kind kind,
                                       const std::string& name)
{
    const auto wanted = [&](const core::object& value) {
        return value.key.kind == kind && value.key.name == name;
    };
    const auto found = std::find_if(plan.objects.begin(), plan.objects.end(), wanted);
    return found == plan.objects.end() ? nullptr : &*found;
}

const core::route_spec& route_of(const deployment& plan, const core::route_name& name)
{
    const core::object* found = find_object(plan, core::object_kind::route, name.value);
    assert(found != nullptr && "traffic names a route of the deployment");
    return std::get<core::route_spec>(found->spec);
}

std::uint32_t rank_of(const deployment& plan, const core::route_name& route)
{
    const core::object* found =
        find_object(plan, core::object_kind::tier, route_of(plan, route).tier.value);
    assert(found != nullptr && "a route names a tier of the deployment");
    return std::get<core::tier_spec>(found->spec).rank;
}

/// Requests a second of one engine, all slots busy as far as prefill allows it.
static double capacity_of(const standin::engine_settings& engine, double prompt, double output)
{
    const auto seconds = [](core::duration value) {
        return std::chrono::duration<double>(value).count();
    };
    const double rate = engine.speed.prefill_tokens_per_second;
    const double slots = engine.slots;
    const double base = seconds(engine.speed.base_between_tokens);
    const double slope = seconds(engine.speed.between_tokens_per_sequence);
    const double full_step = base + (slots - 1.0) * slope;
    const double prefill = slots * prompt / (output * rate);
    if (prefill <= prefill_seconds_per_step) {
        return slots / ((full_step + prefill) * output);
    }
    // Prefill is what limits: fewer sequences decode, so that steps are shorter.
    constexpr int iterations = 20;
    double step = full_step + prefill_seconds_per_step;
    double found = 0.0;
    for (int round = 0; round < iterations; ++round) {
        found = prefill_seconds_per_step * rate / (step * prompt);
        const double decoding = std::clamp(step * found * output, 1.0, slots);
        step = base + (decoding - 1.0) * slope + prefill_seconds_per_step;
    }
    return found;
}

double engine_capacity(const deployment& plan)
{
    double shares = 0.0;
    double prompt = 0.0;
    double output = 0.0;
    for (const traffic_plan& traffic : plan.traffic) {
        if (route_of(plan, traffic.route).kind != core::upstream_kind::engine) {
            continue;
        }
        shares += traffic.share;
        prompt += traffic.share * traffic.prompt_tokens.mean_beyond(traffic.shared_prefix_tokens);
        output += traffic.share * traffic.output_tokens.mean();
    }
    double sum = 0.0;
    for (const engine_plan& engine : plan.engines) {
        sum += capacity_of(engine.engine, prompt / shares, output / shares);
    }
    return sum;
}

} // namespace ragwortcove::bench
