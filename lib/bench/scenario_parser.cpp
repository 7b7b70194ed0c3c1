#include "ragwortcove/bench/scenario.hpp"
#include "ragwortcove/core/object_fields.hpp"
#include "scenario_words.hpp"

#include <map>
#include <sstream>

namespace ragwortcove::bench {

static constexpr double most_load = 20.0;
static constexpr double most_factor = 1000.0;

namespace {

using name_set = std::set<std::string>;

/// Names that a script may use, from its deployment and its own statements.
struct known_names {
    name_set nodes;
    name_set upstreams;
    name_set domains;
    name_set routes;
    name_set teams;
    name_set calls;
};

/// Reads the statements of one script.
class script_reader {
public:
    [[nodiscard]] scenario_command read(word_reader& words);

private:
    [[nodiscard]] use_deployment read_deployment(word_reader& words);
    [[nodiscard]] core::object_key read_key(word_reader& words) const;
    [[nodiscard]] declare_object read_declaration(word_reader& words);
    [[nodiscard]] make_call read_call(word_reader& words);
    [[nodiscard]] core::node_name node(word_reader& words) const;
    [[nodiscard]] core::upstream_name upstream(word_reader& words) const;
    [[nodiscard]] fault read_kill(word_reader& words) const;
    [[nodiscard]] fault read_pause(word_reader& words) const;
    [[nodiscard]] fault read_silence(word_reader& words) const;
    [[nodiscard]] fault read_loss(word_reader& words) const;
    [[nodiscard]] fault read_platform(word_reader& words) const;
    [[nodiscard]] fault read_upstream_fault(word_reader& words, const std::string& verb) const;
    [[nodiscard]] fault read_fault(word_reader& words, const std::string& verb) const;
    [[nodiscard]] scenario_command read_expectation(word_reader& words) const;
    [[nodiscard]] expect_call read_expected_call(word_reader& words) const;
    [[nodiscard]] scenario_command read_expected_route(word_reader& words) const;

    bool started = false;
    known_names known;
};

} // namespace

static core::duration length_of(word_reader& words)
{
    words.require("for");
    return words.time();
}

static double factor_of(word_reader& words)
{
    words.require("by");
    return words.number("a factor between 0.001 and 1000", 0.001, most_factor);
}

static double rate_of(word_reader& words)
{
    words.require("rate");
    return words.share();
}

static std::optional<deployment> deployment_named(const std::string& name)
{
    if (name == "consortium")
        return consortium();
    if (name == "torvelund")
        return torvelund();
    if (name == "small")
        return small_site();
    return std::nullopt;
}

static known_names names_of(const deployment& plan)
{
    known_names known;
    for (const node_plan& node : plan.nodes) {
        known.nodes.insert(node.name.value);
        known.domains.insert(node.failure_domain.value);
    }
    for (const engine_plan& engine : plan.engines)
        known.upstreams.insert(engine.name.value);
    for (const service_plan& service : plan.services)
        known.upstreams.insert(service.name.value);
    for (const core::object& object : plan.objects) {
        if (object.key.kind == core::object_kind::route)
            known.routes.insert(object.key.name);
        if (object.key.kind == core::object_kind::team)
            known.teams.insert(object.key.name);
    }
    return known;
}

use_deployment script_reader::read_deployment(word_reader& words)
{
    use_deployment made;
    const std::string name =
        words.one_of({"consortium", "torvelund", "small"}, "the name of a deployment");
    if (words.accept("load"))
        made.load = words.number("a load between 0 and 20", 0.0, most_load);
    if (words.accept("seed"))
        made.seed = words.whole_number("a whole number");
    if (words.fault())
        return made;
    made.plan = *deployment_named(name);
    this->known = names_of(made.plan);
    this->started = true;
    return made;
}

core::object_key script_reader::read_key(word_reader& words) const
{
    const auto kind =
        words.one_of({"tier", "team", "version", "upstream", "route", "move"}, "a kind of object");
    core::object_key key;
    key.kind = core::parse_object_kind(kind).value_or(core::object_kind::tier);
    key.name = words.word("the object's name");
    return key;
}

declare_object script_reader::read_declaration(word_reader& words)
{
    const core::object_key key = this->read_key(words);
    std::vector<core::field> fields;
    while (!words.fault() && !words.at_end()) {
        const std::string entry = words.word("KEY=VALUE");
        const std::size_t sign = entry.find('=');
        if (sign == std::string::npos) {
            words.fail("KEY=VALUE instead of " + entry);
            break;
        }
        fields.push_back({entry.substr(0, sign), entry.substr(sign + 1)});
    }
    declare_object made;
    if (words.fault())
        return made;
    const auto mistakes = core::check_object(key, fields);
    if (!mistakes.empty()) {
        words.fail(mistakes.front().expected + " for '" + mistakes.front().key + "', not '" +
                   mistakes.front().value + "', before");
        return made;
    }
    auto parsed = core::parse_object(key, fields);
    if (parsed)
        made.value = std::move(*parsed);
    if (key.kind == core::object_kind::route)
        this->known.routes.insert(key.name);
    if (key.kind == core::object_kind::team)
        this->known.teams.insert(key.name);
    return made;
}

make_call script_reader::read_call(word_reader& words)
{
    make_call made;
    made.name = words.word("a name for the call");
    words.require("route");
    made.plan.route = {words.one_of(this->known.routes, "a route")};
    words.require("team");
    made.plan.team = {words.one_of(this->known.teams, "a team")};
    if (words.accept("via"))
        made.plan.entry = this->node(words);
    if (words.accept("prompt"))
        made.plan.prompt_tokens =
            static_cast<std::uint32_t>(words.number("1 to 100000 tokens", 1, 100'000));
    if (words.accept("output"))
        made.plan.output_tokens =
            static_cast<std::uint32_t>(words.number("1 to 100000 tokens", 1, 100'000));
    if (!this->known.calls.insert(made.name).second)
        words.fail("a name that no earlier call has, not '" + made.name + "', before");
    return made;
}

core::node_name script_reader::node(word_reader& words) const
{
    return {words.one_of(this->known.nodes, "a node")};
}

core::upstream_name script_reader::upstream(word_reader& words) const
{
    return {words.one_of(this->known.upstreams, "an upstream")};
}

fault script_reader::read_kill(word_reader& words) const
{
    if (words.accept("node")) {
        node_crash made;
        made.node = this->node(words);
        made.vm_lost = words.accept("silently");
        made.restart_after = length_of(words);
        return made;
    }
    upstream_crash made;
    words.require("upstream");
    made.upstream = this->upstream(words);
    made.vm_lost = words.accept("silently");
    made.restart_after = length_of(words);
    return made;
}

fault script_reader::read_pause(word_reader& words) const
{
    if (words.accept("node")) {
        const core::node_name node = this->node(words);
        return node_pause{node, length_of(words)};
    }
    words.require("upstream");
    const core::upstream_name upstream = this->upstream(words);
    return upstream_pause{upstream, length_of(words)};
}

fault script_reader::read_silence(word_reader& words) const
{
    if (words.accept("watches"))
        return watch_silence{};
    if (words.accept("upstream"))
        return upstream_silence{this->upstream(words)};
    words.require("peers");
    const core::node_name from = this->node(words);
    return peer_silence{from, this->node(words)};
}

fault script_reader::read_loss(word_reader& words) const
{
    if (words.accept("datagrams")) {
        const double rate = rate_of(words);
        return datagram_loss{rate, length_of(words)};
    }
    if (words.accept("messages")) {
        words.require("from");
        const core::node_name from = this->node(words);
        words.require("to");
        const core::node_name to = this->node(words);
        return one_way_loss{from, to, length_of(words)};
    }
    words.require("answers");
    words.require("of");
    if (words.accept("platform")) {
        const double rate = rate_of(words);
        return platform_lost_answers{rate, length_of(words)};
    }
    words.require("upstream");
    const core::upstream_name upstream = this->upstream(words);
    const double rate = rate_of(words);
    return upstream_lost_answers{upstream, rate, length_of(words)};
}

fault script_reader::read_platform(word_reader& words) const
{
    if (words.accept("down"))
        return platform_outage{length_of(words)};
    words.require("slow");
    const double factor = factor_of(words);
    return platform_slow{factor, length_of(words)};
}

fault script_reader::read_upstream_fault(word_reader& words, const std::string& verb) const
{
    words.require("upstream");
    const core::upstream_name upstream = this->upstream(words);
    if (verb == "leave")
        return upstream_leave{upstream};
    if (verb == "refuse")
        return upstream_refusing{upstream, length_of(words)};
    if (verb == "slow") {
        const double factor = factor_of(words);
        return upstream_slow{upstream, factor, length_of(words)};
    }
    const double rate = rate_of(words);
    return upstream_failing{upstream, rate, length_of(words)};
}

fault script_reader::read_fault(word_reader& words, const std::string& verb) const
{
    if (verb == "kill")
        return this->read_kill(words);
    if (verb == "pause")
        return this->read_pause(words);
    if (verb == "silence")
        return this->read_silence(words);
    if (verb == "lose")
        return this->read_loss(words);
    if (verb == "platform")
        return this->read_platform(words);
    if (verb == "drain") {
        words.require("node");
        const core::node_name node = this->node(words);
        return node_drain{node, length_of(words)};
    }
    if (verb == "partition") {
        const core::failure_domain_name domain{
            words.one_of(this->known.domains, "a failure domain")};
        return domain_partition{domain, length_of(words)};
    }
    if (verb == "burst") {
        const double factor = factor_of(words);
        return burst{factor, length_of(words)};
    }
    return this->read_upstream_fault(words, verb);
}

expect_call script_reader::read_expected_call(word_reader& words) const
{
    static const std::map<std::string, call_ending> endings{
        {"answered", call_ending::answered},
        {"refused", call_ending::refused},
        {"cut", call_ending::cut},
        {"timed_out", call_ending::timed_out},
        {"connection_lost", call_ending::connection_lost},
        {"ended", call_ending::ended}};
    expect_call made;
    made.name = words.one_of(this->known.calls, "a call");
    name_set names;
    for (const auto& [name, ending] : endings)
        names.insert(name);
    const std::string ending = words.one_of(names, "how the call ends");
    if (!words.fault())
        made.ending = endings.at(ending);
    for (const core::verdict outcome : {core::verdict::not_run, core::verdict::may_have_run}) {
        if (words.accept(core::to_string(outcome)))
            made.outcome = outcome;
    }
    if (words.accept("because")) {
        std::map<std::string, core::refusal_reason> reasons;
        name_set reason_names;
        for (int value = 0; core::to_string(static_cast<core::refusal_reason>(value)) != "unknown";
             ++value) {
            const auto reason = static_cast<core::refusal_reason>(value);
            reasons.emplace(core::to_string(reason), reason);
            reason_names.emplace(core::to_string(reason));
        }
        const std::string reason = words.one_of(reason_names, "a reason");
        if (!words.fault())
            made.reason = reasons.at(reason);
    }
    made.within = words.within();
    return made;
}

scenario_command script_reader::read_expected_route(word_reader& words) const
{
    const std::string route = words.one_of(this->known.routes, "a route");
    if (words.accept("shed")) {
        words.require("at");
        words.require("most");
        return expect_shed{route, words.whole_number("a number of calls")};
    }
    words.require("answered");
    words.require("at");
    words.require("least");
    return expect_answered{route, words.share()};
}

static expect_node read_expected_node(word_reader& words, core::node_name node)
{
    expect_node made;
    made.node = std::move(node);
    const std::string condition =
        words.one_of({"ready", "draining", "down"}, "a condition of the node");
    if (condition == "draining")
        made.condition = node_condition::draining;
    if (condition == "down")
        made.condition = node_condition::down;
    made.within = words.within();
    return made;
}

static expect_move read_expected_move(word_reader& words)
{
    expect_move made;
    made.move = words.word("the name of a move");
    if (words.one_of({"done", "reverted"}, "how the move ends") == "reverted")
        made.phase = core::move_phase::reverted;
    made.within = words.within();
    return made;
}

scenario_command script_reader::read_expectation(word_reader& words) const
{
    if (words.accept("call"))
        return this->read_expected_call(words);
    if (words.accept("route"))
        return this->read_expected_route(words);
    if (words.accept("node")) {
        core::node_name node = this->node(words);
        return read_expected_node(words, std::move(node));
    }
    if (words.accept("move"))
        return read_expected_move(words);
    if (words.accept("in_force")) {
        expect_in_force made;
        made.key = this->read_key(words);
        made.within = words.within();
        return made;
    }
    if (words.accept("wasted_prefill")) {
        words.require("at");
        words.require("most");
        return expect_wasted_prefill{words.share()};
    }
    words.fail("call, route, node, move, in_force or wasted_prefill");
    return expect_node{};
}

scenario_command script_reader::read(word_reader& words)
{
    static const name_set verbs{"deployment", "declare",  "delete",    "wait",    "finish",
                                "call",       "expect",   "kill",      "pause",   "drain",
                                "slow",       "fail",     "refuse",    "silence", "lose",
                                "leave",      "platform", "partition", "burst"};
    const std::string verb = words.one_of(verbs, "a statement");
    if (!this->started && verb != "deployment")
        words.fail("'deployment' as the first statement, before");
    if (this->started && verb == "deployment")
        words.fail("one deployment a script, before");
    if (words.fault())
        return wait_for{};
    if (verb == "deployment")
        return this->read_deployment(words);
    if (verb == "declare")
        return this->read_declaration(words);
    if (verb == "delete")
        return delete_object{this->read_key(words)};
    if (verb == "wait")
        return wait_for{words.time()};
    if (verb == "finish") {
        words.require("within");
        return finish_calls{words.time()};
    }
    if (verb == "call")
        return this->read_call(words);
    if (verb == "expect")
        return this->read_expectation(words);
    return inject_fault{this->read_fault(words, verb)};
}

std::string format_error(const scenario_error& error)
{
    return error.file + ":" + std::to_string(error.line) + ": expected " + error.expected +
           ", found " + error.found;
}

boost::leaf::result<scenario> parse_scenario(std::string_view file, std::string_view text)
{
    scenario made;
    made.file = file;
    script_reader reader;
    std::istringstream lines{std::string(text)};
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        word_reader words(line);
        if (words.empty())
            continue;
        scenario_command command = reader.read(words);
        words.require_end();
        if (words.fault()) {
            return boost::leaf::new_error(
                scenario_error{made.file, number, words.fault()->expected, words.fault()->found});
        }
        made.statements.push_back({number, line, std::move(command)});
    }
    if (made.statements.empty()) {
        return boost::leaf::new_error(
            scenario_error{made.file, number + 1, "a statement", "the end of the file"});
    }
    return made;
}

} // namespace ragwortcove::bench
