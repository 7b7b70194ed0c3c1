#include "ragwortcove/bench/scenario.hpp"

#include <cassert>
#include <cstdio>
#include <map>
#include <memory>

namespace ragwortcove::bench {

using namespace std::chrono_literals;

/// How often an expectation with a time limit is looked at.
static constexpr core::duration look_interval = 50ms;
/// Decisions of the nodes that a failure shows.
static constexpr std::size_t shown_decisions = 40;

namespace {

/// Carries statements out one after another. Each gives what was found where it does not hold.
class scenario_executor {
public:
    using finding = std::optional<std::string>;

    finding operator()(const use_deployment& command);
    finding operator()(const declare_object& command);
    finding operator()(const delete_object& command);
    finding operator()(const wait_for& command);
    finding operator()(const finish_calls& command);
    finding operator()(const make_call& command);
    finding operator()(const inject_fault& command);
    finding operator()(const expect_call& command);
    finding operator()(const expect_answered& command);
    finding operator()(const expect_shed& command);
    finding operator()(const expect_node& command);
    finding operator()(const expect_in_force& command);
    finding operator()(const expect_move& command);
    finding operator()(const expect_wasted_prefill& command);

    /// The first promise that is broken.
    [[nodiscard]] finding broken_promise() const;
    [[nodiscard]] std::vector<std::string> trace() const;

private:
    /// Runs on until `look` finds nothing wrong, or for `limit`.
    template <class Look> finding wait_until(core::duration limit, Look look);
    [[nodiscard]] finding look_at_call(const expect_call& command) const;
    [[nodiscard]] finding look_at_node(const expect_node& command) const;
    [[nodiscard]] finding look_at_object(const expect_in_force& command) const;
    [[nodiscard]] finding look_at_move(const expect_move& command) const;

    std::unique_ptr<runner> run;
    std::vector<core::node_name> nodes;
    std::map<std::string, call_number> calls;
    /// What operators last declared; nothing where they deleted it.
    std::map<core::object_key, std::optional<core::object>> declared;
};

} // namespace

template <class Look>
scenario_executor::finding scenario_executor::wait_until(core::duration limit, Look look)
{
    const core::time_point end = this->run->now() + limit;
    finding found = look();
    while (found && this->run->now() < end) {
        this->run->run_for(look_interval);
        found = look();
    }
    return found;
}

scenario_executor::finding scenario_executor::operator()(const use_deployment& command)
{
    run_settings settings;
    settings.seed = command.seed;
    settings.load = command.load;
    settings.trace_limit = shown_decisions;
    for (const core::object& object : command.plan.objects)
        this->declared[object.key] = object;
    for (const node_plan& node : command.plan.nodes)
        this->nodes.push_back(node.name);
    this->run = std::make_unique<runner>(command.plan, settings);
    return std::nullopt;
}

scenario_executor::finding scenario_executor::operator()(const declare_object& command)
{
    this->run->put_object(command.value);
    this->declared[command.value.key] = command.value;
    return std::nullopt;
}

scenario_executor::finding scenario_executor::operator()(const delete_object& command)
{
    this->run->delete_object(command.key);
    this->declared[command.key] = std::nullopt;
    return std::nullopt;
}

scenario_executor::finding scenario_executor::operator()(const wait_for& command)
{
    this->run->run_for(command.length);
    return std::nullopt;
}

scenario_executor::finding scenario_executor::operator()(const finish_calls& command)
{
    const core::time_point end = this->run->now() + command.limit;
    this->run->finish(command.limit);
    if (this->run->now() >= end)
        return "calls that are still open";
    return std::nullopt;
}

scenario_executor::finding scenario_executor::operator()(const make_call& command)
{
    this->calls[command.name] = this->run->call(command.plan);
    return std::nullopt;
}

scenario_executor::finding scenario_executor::operator()(const inject_fault& command)
{
    this->run->inject(command.what);
    return std::nullopt;
}

static std::string_view name_of(call_state state)
{
    switch (state) {
    case call_state::open:
        return "open";
    case call_state::answered:
        return "answered";
    case call_state::refused:
        return "refused";
    case call_state::cut:
        return "cut";
    case call_state::timed_out:
        return "timed_out";
    case call_state::connection_lost:
        return "connection_lost";
    }
    return "unknown";
}

static bool ends_as(call_ending wanted, call_state state)
{
    switch (wanted) {
    case call_ending::answered:
        return state == call_state::answered;
    case call_ending::refused:
        return state == call_state::refused;
    case call_ending::cut:
        return state == call_state::cut;
    case call_ending::timed_out:
        return state == call_state::timed_out;
    case call_ending::connection_lost:
        return state == call_state::connection_lost;
    case call_ending::ended:
        return state != call_state::open;
    }
    return false;
}

static std::string describe_call(const call_view& view)
{
    std::string text(name_of(view.state));
    if (view.refusal) {
        text += " " + std::string(core::to_string(view.refusal->outcome)) + " because " +
                std::string(core::to_string(view.refusal->reason));
    }
    return text + " after " + std::to_string(view.tries) + " tries";
}

scenario_executor::finding scenario_executor::look_at_call(const expect_call& command) const
{
    const call_view view = this->run->view(this->calls.at(command.name));
    const bool ends = ends_as(command.ending, view.state);
    const bool outcome =
        !command.outcome || (view.refusal && view.refusal->outcome == *command.outcome);
    const bool reason =
        !command.reason || (view.refusal && view.refusal->reason == *command.reason);
    if (ends && outcome && reason)
        return std::nullopt;
    return "the call " + describe_call(view);
}

scenario_executor::finding scenario_executor::operator()(const expect_call& command)
{
    return this->wait_until(command.within, [&] { return this->look_at_call(command); });
}

static const route_result* result_of(const run_result& result, const std::string& route)
{
    for (const route_result& each : result.routes) {
        if (each.route == route)
            return &each;
    }
    return nullptr;
}

scenario_executor::finding scenario_executor::operator()(const expect_answered& command)
{
    const run_result result = this->run->result();
    const route_result* route = result_of(result, command.route);
    if (route == nullptr || route->offered == 0)
        return "no calls of the route";
    const auto share = static_cast<double>(route->answered) / static_cast<double>(route->offered);
    if (share >= command.least_share)
        return std::nullopt;
    return std::to_string(route->answered) + " of " + std::to_string(route->offered) + " answered";
}

scenario_executor::finding scenario_executor::operator()(const expect_shed& command)
{
    const run_result result = this->run->result();
    const route_result* route = result_of(result, command.route);
    std::uint64_t shed = 0;
    for (const auto reason : {core::refusal_reason::overloaded, core::refusal_reason::displaced}) {
        if (route != nullptr && route->refused.contains(reason))
            shed += route->refused.at(reason);
    }
    if (shed <= command.most)
        return std::nullopt;
    return std::to_string(shed) + " calls shed";
}

scenario_executor::finding scenario_executor::look_at_node(const expect_node& command) const
{
    const auto status = this->run->status(command.node);
    const bool ready = status && status->ready && !status->draining;
    const bool draining = status && status->draining;
    switch (command.condition) {
    case node_condition::ready:
        if (ready)
            return std::nullopt;
        break;
    case node_condition::draining:
        if (draining)
            return std::nullopt;
        break;
    case node_condition::down:
        if (!status)
            return std::nullopt;
        break;
    }
    if (!status)
        return "the node down";
    if (draining)
        return "the node draining";
    return ready ? "the node ready" : "the node not ready yet";
}

scenario_executor::finding scenario_executor::operator()(const expect_node& command)
{
    return this->wait_until(command.within, [&] { return this->look_at_node(command); });
}

static const core::object* object_of(const core::node_status& status, const core::object_key& key)
{
    for (const core::object& object : status.objects) {
        if (object.key == key)
            return &object;
    }
    return nullptr;
}

static bool is_same(const core::object* found, const std::optional<core::object>& wanted)
{
    if (found == nullptr || !wanted)
        return found == nullptr && !wanted;
    return found->labels == wanted->labels && found->spec == wanted->spec;
}

scenario_executor::finding scenario_executor::look_at_object(const expect_in_force& command) const
{
    const auto wanted = this->declared.find(command.key);
    const std::optional<core::object> value =
        wanted == this->declared.end() ? std::nullopt : wanted->second;
    for (const core::node_name& node : this->nodes) {
        const auto status = this->run->status(node);
        if (status && !is_same(object_of(*status, command.key), value))
            return "another value at " + node.value;
    }
    return std::nullopt;
}

scenario_executor::finding scenario_executor::operator()(const expect_in_force& command)
{
    return this->wait_until(command.within, [&] { return this->look_at_object(command); });
}

scenario_executor::finding scenario_executor::look_at_move(const expect_move& command) const
{
    const core::object_key key{core::object_kind::move_status, command.move};
    std::string found = "no status of the move";
    for (const core::node_name& node : this->nodes) {
        const auto status = this->run->status(node);
        const core::object* object = status ? object_of(*status, key) : nullptr;
        if (object == nullptr)
            continue;
        const auto& spec = std::get<core::move_status_spec>(object->spec);
        if (spec.phase == command.phase)
            return std::nullopt;
        found = "the move " + std::string(core::to_string(spec.phase)) + " " + spec.reason;
    }
    return found;
}

scenario_executor::finding scenario_executor::operator()(const expect_move& command)
{
    return this->wait_until(command.within, [&] { return this->look_at_move(command); });
}

scenario_executor::finding scenario_executor::operator()(const expect_wasted_prefill& command)
{
    const run_result result = this->run->result();
    const auto wasted = static_cast<double>(result.wasted_prefill_tokens());
    const auto all = static_cast<double>(result.prefilled_tokens);
    if (wasted <= command.most_share * all)
        return std::nullopt;
    return std::to_string(result.wasted_prefill_tokens()) + " of " +
           std::to_string(result.prefilled_tokens) + " tokens";
}

scenario_executor::finding scenario_executor::broken_promise() const
{
    const std::vector<violation>& violations = this->run->violations();
    if (violations.empty())
        return std::nullopt;
    const violation& first = violations.front();
    const auto at = std::chrono::duration<double>(first.at.time_since_epoch()).count();
    return "promise " + std::string(to_string(first.broken)) + " broken at " + std::to_string(at) +
           " s: " + first.detail;
}

std::vector<std::string> scenario_executor::trace() const
{
    return this->run->trace();
}

scenario_outcome run_scenario(const scenario& script)
{
    scenario_executor executor;
    for (const scenario_statement& statement : script.statements) {
        std::optional<std::string> found = std::visit(executor, statement.command);
        // A broken promise comes first: it is often why an expectation fails.
        if (const auto broken = executor.broken_promise())
            found = broken;
        if (found) {
            const std::string place = script.file + ":" + std::to_string(statement.line);
            return {false, place + ": " + statement.text + ": found " + *found, executor.trace()};
        }
    }
    return {true, {}, {}};
}

} // namespace ragwortcove::bench
