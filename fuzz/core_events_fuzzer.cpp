// Any sequence of events that a shell could bring is taken: no assertion fails, and each exchange
// has one final answer at most.
#include "ragwortcove/core/node.hpp"

#include <array>
#include <cstdlib>
#include <fuzzer/FuzzedDataProvider.h>
#include <set>
#include <string>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {

using source = FuzzedDataProvider;

template <class Name, std::size_t Count>
Name pick_name(source& from, const std::array<const char*, Count>& names)
{
    return Name{from.PickValueInArray(names)};
}

constexpr std::array node_names{"entry-1", "entry-2", "entry-3"};
constexpr std::array upstream_names{"engine-1", "engine-2", "desk-1", "unknown"};
constexpr std::array route_names{"chat", "background", "admission", "unknown"};
constexpr std::array target_names{"chat-model", "admission", "unknown"};
constexpr std::array domain_names{"a", "b"};
constexpr std::array tier_names{"desk", "background", ""};
constexpr std::array version_names{"v1", "v2", ""};
constexpr std::array key_names{"guest-1", "t1-127.0.0.1-8001-2a-f424000000.guest-2",
                               "t1-127.0.0.1-8002-32-f424000000.guest-3"};

constexpr incarnation own_run{42};

/// Small numbers, so that the ones that the node has given out come up often.
std::uint64_t small(source& from)
{
    return from.ConsumeIntegralInRange<std::uint64_t>(0, 24);
}

std::uint32_t count(source& from)
{
    return from.ConsumeIntegralInRange<std::uint32_t>(0, 5000);
}

duration span(source& from)
{
    return std::chrono::milliseconds{from.ConsumeIntegralInRange<int>(0, 20'000)};
}

incarnation run_of(source& from)
{
    return from.ConsumeBool() ? own_run : incarnation{50 + small(from) % 3};
}

request_id request_of(source& from)
{
    return {run_of(from), small(from)};
}

cell_id cell_of(source& from)
{
    return {pick_name<target_name>(from, target_names),
            pick_name<failure_domain_name>(from, domain_names),
            from.ConsumeIntegralInRange<std::uint32_t>(0, 1)};
}

template <class Enum> Enum enumerator(source& from, Enum last)
{
    return static_cast<Enum>(from.ConsumeIntegralInRange<int>(0, static_cast<int>(last)));
}

member_claim member_of(source& from)
{
    member_claim made;
    made.name = pick_name<node_name>(from, node_names);
    made.run = run_of(from);
    made.version = small(from);
    made.state = enumerator(from, member_state::dead);
    made.callers = {"127.0.0.2", 8001};
    made.peers = {"127.0.0.2", 8101};
    made.region = {"zurich"};
    made.failure_domain = pick_name<failure_domain_name>(from, domain_names);
    return made;
}

object make_object(object_kind kind, const std::string& name, object_spec spec)
{
    return {{kind, name}, {}, std::move(spec), {}};
}

/// Objects of a small site; the engine's address and the route's promise vary.
std::vector<object> objects_of(source& from)
{
    upstream_spec engine;
    engine.address = {"127.0.0.1", 9001};
    engine.region = {"zurich"};
    engine.failure_domain = pick_name<failure_domain_name>(from, domain_names);
    engine.target = {"chat-model"};
    engine.version = pick_name<version_name>(from, version_names);
    engine.slots = from.ConsumeIntegralInRange<std::uint32_t>(1, 3);
    engine.leaving = from.ConsumeBool();
    upstream_spec desk = engine;
    desk.kind = upstream_kind::service;
    desk.target = {"admission"};
    route_spec chat;
    chat.target = engine.target;
    chat.tier = {"desk"};
    route_spec background = chat;
    background.tier = {"background"};
    route_spec admission;
    admission.kind = upstream_kind::service;
    admission.target = desk.target;
    admission.tier = {"desk"};
    admission.idempotent = from.ConsumeBool();
    move_spec move;
    move.route = {"chat"};
    move.from = {"v1"};
    move.to = {"v2"};
    move.finish_by = {2'000'000};
    std::vector<object> all{make_object(object_kind::tier, "desk", tier_spec{0, 30s}),
                            make_object(object_kind::tier, "background", tier_spec{1, 30s}),
                            make_object(object_kind::upstream, "engine-1", engine),
                            make_object(object_kind::upstream, "engine-2", engine),
                            make_object(object_kind::upstream, "desk-1", desk),
                            make_object(object_kind::route, "chat", chat),
                            make_object(object_kind::route, "background", background),
                            make_object(object_kind::route, "admission", admission)};
    if (from.ConsumeBool())
        all.push_back(make_object(object_kind::move, "chat-to-v2", move));
    std::uint64_t written = small(from);
    for (object& each : all)
        each.written_at = {++written};
    return all;
}

feed_delta delta_of(source& from)
{
    feed_delta made;
    made.store = {from.ConsumeBool() ? "store" : "other"};
    made.after = {small(from)};
    made.changed = objects_of(from);
    made.upto = std::max(made.after, made.changed.back().written_at);
    if (from.ConsumeBool())
        made.removed.push_back({{object_kind::route, "chat"}, made.upto});
    return made;
}

peer_message permit_message_of(source& from)
{
    switch (from.ConsumeIntegralInRange<int>(0, 5)) {
    case 0: {
        permit_request made;
        made.request = request_of(from);
        made.cell = cell_of(from);
        made.route = pick_name<route_name>(from, route_names);
        made.team = {"team"};
        made.tier = pick_name<tier_name>(from, tier_names);
        made.version = pick_name<version_name>(from, version_names);
        made.prefill_tokens = count(from);
        made.output_tokens = count(from);
        made.time_left = span(from);
        return made;
    }
    case 1:
        return permit_grant{request_of(from), cell_of(from),
                            {small(from)},    pick_name<upstream_name>(from, upstream_names),
                            span(from),       count(from)};
    case 2:
        return permit_denial{request_of(from), cell_of(from),
                             enumerator(from, refusal_reason::caller_gone), span(from)};
    case 3:
        return permit_withdrawal{request_of(from), cell_of(from)};
    case 4:
        return permit_release{request_of(from),
                              cell_of(from),
                              pick_name<upstream_name>(from, upstream_names),
                              enumerator(from, attempt_outcome::unused),
                              count(from),
                              count(from),
                              count(from),
                              span(from),
                              span(from)};
    default:
        return permit_report{request_of(from),
                             cell_of(from),
                             pick_name<upstream_name>(from, upstream_names),
                             count(from),
                             count(from),
                             {"team"},
                             pick_name<tier_name>(from, tier_names)};
    }
}

heartbeat heartbeat_of(source& from)
{
    heartbeat made;
    made.sender = member_of(from);
    if (from.ConsumeBool())
        made.known.push_back(member_of(from));
    if (from.ConsumeBool())
        made.cells.push_back({cell_of(from), count(from), count(from), 1, count(from)});
    if (from.ConsumeBool())
        made.evidence.push_back({{"chat-to-v2"},
                                 from.ConsumeBool(),
                                 count(from),
                                 count(from),
                                 count(from),
                                 count(from),
                                 count(from),
                                 count(from)});
    made.store = {"store"};
    made.configuration = {small(from)};
    made.wants_answer = from.ConsumeBool();
    return made;
}

peer_message message_of(source& from)
{
    switch (from.ConsumeIntegralInRange<int>(0, 6)) {
    case 0:
        return key_query{request_of(from), from.PickValueInArray(key_names)};
    case 1:
        return key_response{request_of(from), enumerator(from, key_state::used)};
    case 2:
        return heartbeat_of(from);
    case 3:
        return feed_request{{"store"}, {small(from)}};
    case 4:
        return delta_of(from);
    case 5: {
        const std::vector<object> all = objects_of(from);
        return feed_snapshot{{"store"}, all.back().written_at, all};
    }
    default:
        return permit_message_of(from);
    }
}

platform_result platform_result_of(source& from)
{
    switch (from.ConsumeIntegralInRange<int>(0, 7)) {
    case 0:
        return platform_found{objects_of(from).front(), "change"};
    case 1:
        return platform_missing{};
    case 2: {
        const std::vector<object> all = objects_of(from);
        return platform_listed{{"store"}, all.back().written_at, all};
    }
    case 3:
        return platform_written{{small(from)}};
    case 4:
        return platform_conflict{};
    case 5:
        return platform_throttled{span(from)};
    case 6:
        return platform_unreachable{};
    default:
        return platform_rejected{"no"};
    }
}

request_arrived arrival_of(source& from, std::uint64_t& last_exchange)
{
    request_arrived made;
    made.exchange = {++last_exchange};
    made.request.route = pick_name<route_name>(from, route_names);
    made.request.team = {"team"};
    if (from.ConsumeBool())
        made.request.key = parse_idempotency_key(from.PickValueInArray(key_names));
    if (from.ConsumeBool())
        made.request.timeout = span(from);
    made.request.prompt_tokens = count(from);
    made.request.max_output_tokens = count(from);
    made.request.safe_method = from.ConsumeBool();
    return made;
}

event upstream_event_of(source& from)
{
    const upstream_name upstream = pick_name<upstream_name>(from, upstream_names);
    switch (from.ConsumeIntegralInRange<int>(0, 7)) {
    case 0:
        return upstream_accepted{{small(from)}};
    case 1:
        return upstream_progress{{small(from)}, count(from), count(from)};
    case 2:
        return upstream_finished{{small(from)}, count(from), count(from)};
    case 3:
        return upstream_failed{{small(from)}, enumerator(from, upstream_failure::unknown_request)};
    case 4:
        return load_reported{upstream, count(from), count(from), span(from)};
    case 5:
        return cache_reported{upstream, small(from), {{small(from)}}, {{small(from)}}};
    case 6:
        return probe_answered{upstream, from.ConsumeBool()};
    default:
        return order_answered{upstream,
                              {small(from)},
                              from.ConsumeBool(),
                              from.ConsumeBool(),
                              pick_name<version_name>(from, version_names)};
    }
}

event event_of(source& from, std::uint64_t& last_exchange)
{
    switch (from.ConsumeIntegralInRange<int>(0, 14)) {
    case 0:
    case 1:
        return arrival_of(from, last_exchange);
    case 2:
        return caller_gone{{small(from)}};
    case 3:
    case 4:
    case 5:
        return upstream_event_of(from);
    case 6:
    case 7:
    case 8:
        return peer_received{pick_name<node_name>(from, node_names), run_of(from),
                             message_of(from)};
    case 9:
        return peer_disconnected{pick_name<node_name>(from, node_names)};
    case 10:
        return platform_answered{{small(from)}, platform_result_of(from)};
    case 11:
        if (from.ConsumeBool())
            return watch_changed{delta_of(from)};
        return watch_ended{from.ConsumeBool()};
    case 12:
        return vm_list_read{{member_of(from)}};
    case 13:
        if (from.ConsumeIntegralInRange<int>(0, 9) == 0)
            return drain_requested{};
        return addresses_requested{{++last_exchange}, pick_name<route_name>(from, route_names)};
    default:
        return tick{};
    }
}

/// Final answers so far.
struct answer_watch {
    std::set<std::uint64_t> ended;

    void end(exchange_id exchange)
    {
        if (!this->ended.insert(exchange.value).second)
            std::abort();
    }
    void see(const effect& what)
    {
        if (const auto* finished = std::get_if<finish_exchange>(&what))
            this->end(finished->exchange);
        if (const auto* refused = std::get_if<refuse_exchange>(&what))
            this->end(refused->exchange);
        if (const auto* cut = std::get_if<abort_exchange>(&what))
            this->end(cut->exchange);
    }
};

node_settings settings_of_node()
{
    node_settings made;
    made.name = {"entry-1"};
    made.run = own_run;
    made.callers = {"127.0.0.1", 8001};
    made.peers = {"127.0.0.1", 8101};
    made.region = {"zurich"};
    made.failure_domain = {"a"};
    return made;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    source from(data, size);
    node under_test(settings_of_node(), 1);
    effect_list effects;
    answer_watch answers;
    std::uint64_t last_exchange = 0;
    time_point now{1h};
    std::int64_t wall = 1'000'000;
    under_test.step(wall_clock_read{{wall}}, now, effects);
    while (from.remaining_bytes() != 0) {
        const duration passed = from.ConsumeBool() ? span(from) : duration{0};
        now += passed;
        wall += std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
        effects.clear();
        under_test.step(wall_clock_read{{wall}}, now, effects);
        under_test.step(tick{}, now, effects);
        under_test.step(event_of(from, last_exchange), now, effects);
        for (const effect& each : effects)
            answers.see(each);
    }
    static_cast<void>(under_test.status(now));
    static_cast<void>(under_test.next_wakeup());
    return 0;
}
