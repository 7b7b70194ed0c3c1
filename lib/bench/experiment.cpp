#include "ragwortcove/bench/experiment.hpp"

#include "ragwortcove/bench/runner.hpp"
#include "ragwortcove/standin/random_source.hpp"

#include <algorithm>
#include <cassert>
#include <cstdio>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using core::duration;
namespace json = boost::json;

/// Time that open calls get after callers have stopped.
static constexpr duration finish_limit = 300s;
/// Time from one fault of a pattern to the next.
static constexpr duration fault_interval = 15s;

static std::string short_number(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%g", value);
    return text.data();
}

std::string experiment_case::name() const
{
    return this->deployment + "/" + this->policy + "/" + short_number(this->load) + "/" +
           this->faults + "/" + std::to_string(this->seed);
}

std::vector<experiment_case> cases_of(const experiment_plan& plan)
{
    std::vector<experiment_case> cases;
    for (const std::string& site : plan.deployments) {
        for (const std::string& faults : plan.faults) {
            for (const double load : plan.loads) {
                for (const std::string& policy : plan.policies) {
                    for (const std::uint64_t seed : plan.seeds) {
                        cases.push_back({site, policy, load, faults, seed});
                    }
                }
            }
        }
    }
    return cases;
}

std::optional<deployment> find_deployment(std::string_view name)
{
    if (name == "consortium") {
        return consortium();
    }
    if (name == "torvelund") {
        return torvelund();
    }
    if (name == "small") {
        return small_site();
    }
    return std::nullopt;
}

/// One fault of a pattern; nothing for an unknown name.
static std::optional<fault> draw_pattern_fault(std::string_view name, const deployment& plan,
                                               standin::random_source& random)
{
    const core::upstream_name engine = plan.engines[random.below(plan.engines.size())].name;
    const node_plan& node = plan.nodes[random.below(plan.nodes.size())];
    if (name == "engine_crashes") {
        return upstream_crash{engine, 5s, random.chance(0.3)};
    }
    if (name == "engine_slow") {
        return upstream_slow{engine, 4.0, 10s};
    }
    if (name == "entry_crashes") {
        return node_crash{node.name, 3s, random.chance(0.3)};
    }
    if (name == "platform_outage") {
        return platform_outage{10s};
    }
    if (name == "partition") {
        return domain_partition{node.failure_domain, 5s};
    }
    return std::nullopt;
}

std::optional<std::vector<timed_fault>> find_fault_pattern(std::string_view name,
                                                           const deployment& plan, duration length,
                                                           std::uint64_t seed)
{
    std::vector<timed_fault> faults;
    if (name == "none") {
        return faults;
    }
    standin::random_source random(seed * 31 + 7);
    for (duration at = fault_interval; at < length; at += fault_interval) {
        std::optional<fault> drawn = draw_pattern_fault(name, plan, random);
        if (!drawn) {
            return std::nullopt;
        }
        faults.push_back({at, *std::move(drawn)});
    }
    return faults;
}

json::object run_case(const experiment_case& wanted, duration length)
{
    const std::optional<deployment> plan = find_deployment(wanted.deployment);
    assert(plan && "the deployment's name was checked");
    const auto faults = find_fault_pattern(wanted.faults, *plan, length, wanted.seed);
    assert(faults && "the pattern's name was checked");
    run_settings settings;
    settings.seed = wanted.seed;
    settings.load = wanted.load;
    settings.placement_policy = wanted.policy;
    settings.count_bytes = true;
    runner run(*plan, settings);
    run.schedule(*faults);
    run.run_for(length);
    run.finish(finish_limit);
    json::object row{{"case", wanted.name()},   {"deployment", wanted.deployment},
                     {"policy", wanted.policy}, {"load", wanted.load},
                     {"faults", wanted.faults}, {"seed", wanted.seed}};
    for (auto& [key, value] : write_figures(run.result())) {
        row[key] = std::move(value);
    }
    return row;
}

static double in_millis(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Route whose figures stand for a kind of work: the first of the rank with or without tokens.
static const route_result* find_route(const run_result& result, std::uint32_t rank, bool tokens)
{
    for (const route_result& route : result.routes) {
        const bool has_tokens = route.first_token.count > 0;
        if (route.rank == rank && has_tokens == tokens && route.answered > 0) {
            return &route;
        }
    }
    return nullptr;
}

static void add_rank(json::object& figures, const run_result& result, std::uint32_t rank)
{
    const std::string suffix = "_rank" + std::to_string(rank);
    figures["offered" + suffix] = result.offered_of_rank(rank);
    figures["answered" + suffix] = result.answered_of_rank(rank);
    const route_result* engine = find_route(result, rank, true);
    figures["first_token_p95_ms" + suffix] = engine ? in_millis(engine->first_token.p95) : 0.0;
    figures["between_tokens_p95_ms" + suffix] =
        engine ? in_millis(engine->between_tokens.p95) : 0.0;
}

json::object write_figures(const run_result& result)
{
    static constexpr std::uint32_t most_ranks = 3;
    json::object figures;
    figures["violations"] = result.violations.size();
    figures["offered"] = result.offered();
    figures["answered"] = result.answered();
    for (std::uint32_t rank = 0; rank < most_ranks; ++rank) {
        add_rank(figures, result, rank);
    }
    const route_result* service = find_route(result, 0, false);
    figures["service_p50_ms"] = service ? in_millis(service->latency.p50) : 0.0;
    figures["service_p99_ms"] = service ? in_millis(service->latency.p99) : 0.0;
    figures["output_tokens"] = result.output_tokens;
    figures["prefilled_tokens"] = result.prefilled_tokens;
    figures["undelivered_prefill_tokens"] = result.undelivered_prefill_tokens;
    figures["repeated_prefill_tokens"] = result.repeated_prefill_tokens;
    figures["permit_messages"] = result.permits.messages;
    figures["permit_bytes"] = result.permits.bytes;
    figures["control_messages"] = result.control.messages;
    figures["control_bytes"] = result.control.bytes;
    figures["platform_calls"] = result.platform_calls;
    figures["caller_retries"] = result.caller_retries;
    figures["slowest_configuration_ms"] = in_millis(result.slowest_configuration);
    figures["virtual_seconds"] = std::chrono::duration<double>(result.length).count();
    return figures;
}

static std::string write_cell(const json::value& value)
{
    if (value.is_string()) {
        return {value.as_string().data(), value.as_string().size()};
    }
    return value.is_double() ? short_number(value.as_double()) : json::serialize(value);
}

std::string write_csv(std::span<const json::object> results)
{
    std::string text;
    if (results.empty()) {
        return text;
    }
    const auto end_cell = [&](bool last) { text += last ? '\n' : ','; };
    std::size_t column = 0;
    for (const auto& [key, value] : results.front()) {
        text.append(key.data(), key.size());
        end_cell(++column == results.front().size());
    }
    for (const json::object& row : results) {
        column = 0;
        for (const auto& [key, first_value] : results.front()) {
            const json::value* value = row.if_contains(key);
            text += value == nullptr ? std::string{} : write_cell(*value);
            end_cell(++column == results.front().size());
        }
    }
    return text;
}

} // namespace ragwortcove::bench
