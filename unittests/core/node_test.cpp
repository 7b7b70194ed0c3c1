#include "ragwortcove/core/node.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static time_point at(duration since_start)
{
    return time_point{1h + since_start};
}

static object make_object(object_kind kind, const std::string& name, object_spec spec,
                          std::uint64_t written_at)
{
    return object{object_key{kind, name}, {}, std::move(spec), revision{written_at}};
}

static feed_snapshot example_configuration()
{
    upstream_spec engine;
    engine.address = endpoint{"127.0.0.1", 9001};
    engine.region = region_name{"zurich"};
    engine.failure_domain = failure_domain_name{"a"};
    engine.target = target_name{"chat-model"};
    engine.version = version_name{"v1"};
    engine.slots = 1;
    upstream_spec desk = engine;
    desk.kind = upstream_kind::service;
    desk.target = target_name{"admission"};
    desk.address.port = 9002;
    route_spec chat;
    chat.target = engine.target;
    chat.tier = tier_name{"desk"};
    route_spec background = chat;
    background.tier = tier_name{"background"};
    route_spec admission;
    admission.kind = upstream_kind::service;
    admission.target = desk.target;
    admission.tier = tier_name{"desk"};
    admission.idempotent = false;
    return feed_snapshot{store_id{"store"},
                         revision{7},
                         {make_object(object_kind::tier, "desk", tier_spec{0, 30s}, 1),
                          make_object(object_kind::tier, "background", tier_spec{1, 30s}, 2),
                          make_object(object_kind::upstream, "engine-1", engine, 3),
                          make_object(object_kind::upstream, "desk-1", desk, 4),
                          make_object(object_kind::route, "chat", chat, 5),
                          make_object(object_kind::route, "background", background, 6),
                          make_object(object_kind::route, "admission", admission, 7)}};
}

namespace {
/// A single node; the test takes the place of its shell.
struct single_node {
    node_settings settings;
    node under_test;
    effect_list effects;

    single_node() : settings{make_settings()}, under_test{settings, 1}
    {
        this->step(wall_clock_read{unix_millis{1'000'000}}, 0ms);
        this->step(tick{}, 0ms);
        const call_platform* list = this->last<call_platform>();
        REQUIRE(list != nullptr);
        const feed_snapshot snapshot = example_configuration();
        this->step(platform_answered{list->call, platform_listed{snapshot.store, snapshot.at,
                                                                 snapshot.objects}},
                   1ms);
        this->step(tick{}, 300ms);
    }
    static node_settings make_settings()
    {
        node_settings made;
        made.name = node_name{"entry-1"};
        made.run = incarnation{42};
        made.callers = endpoint{"127.0.0.1", 8001};
        made.peers = endpoint{"127.0.0.1", 8101};
        made.region = region_name{"zurich"};
        made.failure_domain = failure_domain_name{"a"};
        return made;
    }
    void step(const event& happened, duration when)
    {
        this->effects.clear();
        this->under_test.step(happened, at(when), this->effects);
    }
    template <class Effect> const Effect* last() const
    {
        const auto found =
            std::find_if(this->effects.rbegin(), this->effects.rend(),
                         [](const effect& each) { return std::holds_alternative<Effect>(each); });
        return found == this->effects.rend() ? nullptr : &std::get<Effect>(*found);
    }
    open_attempt arrive(std::uint64_t exchange, const char* route, duration when)
    {
        caller_request request;
        request.route = route_name{route};
        request.prompt_tokens = 100;
        this->step(request_arrived{exchange_id{exchange}, request}, when);
        this->step(tick{}, when + 150ms);
        const open_attempt* opened = this->last<open_attempt>();
        return opened == nullptr ? open_attempt{} : *opened;
    }
};
} // namespace

TEST_CASE("a single node serves a request from arrival to the end")
{
    single_node single;
    REQUIRE(single.under_test.status(at(300ms)).ready);

    const open_attempt opened = single.arrive(1, "chat", 400ms);
    REQUIRE(opened.attempt.value != 0);
    CHECK(opened.upstream == upstream_name{"engine-1"});
    CHECK(opened.mode == attempt_mode::fresh);

    SUBCASE("a complete response is forwarded and finished")
    {
        single.step(upstream_accepted{opened.attempt}, 600ms);
        single.step(upstream_progress{opened.attempt, 0, 3}, 700ms);
        REQUIRE(single.last<forward_progress>() != nullptr);
        single.step(upstream_finished{opened.attempt, 3, 0}, 800ms);
        CHECK(single.last<finish_exchange>() != nullptr);
        CHECK(single.under_test.status(at(800ms)).open_requests == 0);
    }
    SUBCASE("a response with fewer tokens than its end marker states is resumed, not reported as "
            "complete")
    {
        single.step(upstream_progress{opened.attempt, 0, 3}, 700ms);
        single.step(upstream_finished{opened.attempt, 5, 0}, 800ms);
        CHECK(single.last<finish_exchange>() == nullptr);
        const open_attempt* resumed = single.last<open_attempt>();
        REQUIRE(resumed != nullptr);
        CHECK(resumed->mode == attempt_mode::resume);
        CHECK(resumed->offset == 3);

        SUBCASE("parts received twice are forwarded once")
        {
            const attempt_id again = resumed->attempt;
            single.step(upstream_progress{again, 2, 3}, 900ms);
            REQUIRE(single.last<forward_progress>() != nullptr);
            CHECK(single.last<forward_progress>()->skip == 1);
            single.step(upstream_finished{again, 5, 0}, 950ms);
            CHECK(single.last<finish_exchange>() != nullptr);
        }
        SUBCASE("parts of the abandoned attempt are dropped")
        {
            single.step(upstream_progress{opened.attempt, 3, 2}, 900ms);
            CHECK(single.last<forward_progress>() == nullptr);
        }
    }
    SUBCASE("further requests wait for the engine's only slot, and the more urgent tier goes first")
    {
        CHECK(single.arrive(2, "background", 600ms).attempt.value == 0);
        CHECK(single.arrive(3, "chat", 800ms).attempt.value == 0);
        single.step(upstream_finished{opened.attempt, 0, 0}, 1000ms);
        const open_attempt* next = single.last<open_attempt>();
        REQUIRE(next != nullptr);
        CHECK(next->exchange == exchange_id{3});
    }
    SUBCASE("a deadline that passes while the request runs is reported as may_have_run")
    {
        single.step(tick{}, 61s);
        const refuse_exchange* refused = single.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
        CHECK(single.last<cancel_attempt>() != nullptr);
    }
}

TEST_CASE("a request that may not be repeated is dispatched once")
{
    single_node single;
    const open_attempt opened = single.arrive(1, "admission", 400ms);
    REQUIRE(opened.upstream == upstream_name{"desk-1"});
    CHECK(opened.fresh_connection);

    SUBCASE("a connection lost after the dispatch is reported as may_have_run")
    {
        single.step(upstream_failed{opened.attempt, upstream_failure::connection_lost}, 700ms);
        const refuse_exchange* refused = single.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
    }
    SUBCASE("a proof that nothing was sent allows a retry")
    {
        single.step(upstream_failed{opened.attempt, upstream_failure::not_sent}, 700ms);
        CHECK(single.last<refuse_exchange>() == nullptr);
        single.step(tick{}, 1s);
        CHECK(single.last<open_attempt>() != nullptr);
    }
}

TEST_CASE("a request with a used key does not run again")
{
    single_node single;
    caller_request request;
    request.route = route_name{"admission"};
    const ticket proof{single.settings.callers, single.settings.run, 1'000'000ULL << 20U};
    request.key = parse_idempotency_key(format_ticket(proof) + ".guest-17");
    REQUIRE(request.key->on_ticket.has_value());

    single.step(request_arrived{exchange_id{1}, request}, 400ms);
    single.step(tick{}, 600ms);
    const open_attempt* opened = single.last<open_attempt>();
    REQUIRE(opened != nullptr);
    const attempt_id attempt = opened->attempt;

    SUBCASE("while the first request is in progress, the second is refused for that reason")
    {
        single.step(request_arrived{exchange_id{2}, request}, 700ms);
        const refuse_exchange* refused = single.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.reason == refusal_reason::key_in_progress);
    }
    SUBCASE("after the response the key is used")
    {
        single.step(upstream_finished{attempt, 0, 0}, 700ms);
        single.step(request_arrived{exchange_id{2}, request}, 800ms);
        const refuse_exchange* refused = single.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
        CHECK(refused->answer.reason == refusal_reason::key_already_used);
    }
    SUBCASE("a request with a key on a ticket of an incarnation that has ended may have run")
    {
        caller_request other = request;
        const ticket ended_ticket{single.settings.callers, incarnation{41}, 1'000'000ULL << 20U};
        other.key = parse_idempotency_key(format_ticket(ended_ticket) + ".guest-18");
        single.step(request_arrived{exchange_id{3}, other}, 800ms);
        const refuse_exchange* refused = single.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
        CHECK(refused->answer.reason == refusal_reason::key_owner_gone);
    }
}

TEST_CASE("a dispatch that may still be running is not repeated")
{
    single_node single;
    const open_attempt opened = single.arrive(1, "chat", 400ms);
    REQUIRE(opened.attempt.value != 0);

    SUBCASE(
        "an engine that sends nothing and cannot be reached to resume may be running the request")
    {
        single.step(upstream_failed{opened.attempt, upstream_failure::silent}, 3s);
        const open_attempt* resumed = single.last<open_attempt>();
        REQUIRE(resumed != nullptr);
        REQUIRE(resumed->mode == attempt_mode::resume);
        single.step(upstream_failed{resumed->attempt, upstream_failure::not_sent}, 4s);
        const refuse_exchange* refused = single.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
    }
    SUBCASE("an engine that closed the connection and accepts no new one has ended")
    {
        single.step(upstream_failed{opened.attempt, upstream_failure::connection_lost}, 3s);
        const open_attempt* resumed = single.last<open_attempt>();
        REQUIRE(resumed != nullptr);
        single.step(upstream_failed{resumed->attempt, upstream_failure::not_sent}, 4s);
        CHECK(single.last<refuse_exchange>() == nullptr);
        CHECK(single.under_test.status(at(4s)).open_requests == 1);
    }
}

TEST_CASE("a key that may have been used at another entry is never refused as not run")
{
    single_node single;
    single.step(drain_requested{}, 400ms);
    const auto refuse_with_ticket_of = [&](incarnation minted_by) {
        const ticket proof{{"127.0.0.1", 8001}, minted_by, 1};
        caller_request request;
        request.route = route_name{"admission"};
        request.key = parse_idempotency_key(format_ticket(proof) + ".payment");
        single.step(request_arrived{exchange_id{minted_by.value}, request}, 1h);
        const refuse_exchange* refused = single.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.reason == refusal_reason::shutting_down);
        return refused->answer.outcome;
    };

    SUBCASE("for a key on its own ticket the leaving entry knows that nothing ran")
    {
        CHECK(refuse_with_ticket_of(single.settings.run) == verdict::not_run);
    }
    SUBCASE("for a key on another entry's ticket it does not know")
    {
        CHECK(refuse_with_ticket_of(incarnation{7}) == verdict::may_have_run);
    }
}

TEST_CASE("only the incarnation that minted a ticket hands over the right of a key built on it")
{
    single_node single;
    const node_name querying_node{"entry-2"};
    const auto query_key = [&](const ticket& on, const char* name, std::uint64_t sequence) {
        const key_query message{{incarnation{50}, sequence}, format_ticket(on) + name};
        single.step(peer_received{querying_node, incarnation{50}, message}, 400ms);
        const send_peer* sent = single.last<send_peer>();
        REQUIRE(sent != nullptr);
        return std::get<key_response>(sent->message).state;
    };
    const ticket own_ticket{single.settings.callers, single.settings.run, 1'000'000ULL << 20U};

    SUBCASE("a ticket of its own")
    {
        CHECK(query_key(own_ticket, ".guest-1", 1) == key_state::handed_over);
    }
    SUBCASE("a ticket of its predecessor")
    {
        ticket predecessor_ticket = own_ticket;
        predecessor_ticket.minted_by = incarnation{41};
        CHECK(query_key(predecessor_ticket, ".guest-2", 1) == key_state::used);
    }
    SUBCASE("a ticket of its own that has expired")
    {
        ticket expired = own_ticket;
        expired.nonce = 1;
        CHECK(query_key(expired, ".guest-3", 1) == key_state::used);
    }
}

// Guards against a node that gives up each list just before its response, and never serves.
TEST_CASE("a node takes its configuration from a platform that answers late")
{
    node under_test{single_node::make_settings(), 1};
    std::vector<call_id> lists;
    const auto step = [&](const event& happened, duration when) {
        effect_list effects;
        under_test.step(happened, at(when), effects);
        for (const effect& each : effects) {
            const auto* made = std::get_if<call_platform>(&each);
            if (made != nullptr && std::holds_alternative<platform_list>(made->request))
                lists.push_back(made->call);
        }
    };
    const auto answer = [&](std::size_t number, revision newest, duration when) {
        const feed_snapshot known = example_configuration();
        step(platform_answered{lists[number], platform_listed{known.store, newest, known.objects}},
             when);
    };
    const auto run = [&](duration from, duration until) {
        for (duration when = from; when < until; when += 100ms)
            step(tick{}, when);
    };
    step(wall_clock_read{unix_millis{1'000'000}}, 0ms);
    run(0ms, 3s);
    REQUIRE(lists.size() == 2);

    SUBCASE("the response to the first call")
    {
        answer(0, revision{7}, 3s);
        CHECK(under_test.status(at(3s)).configuration == revision{7});
        SUBCASE("and nothing of the later one, which is older by then")
        {
            step(platform_answered{lists[1], platform_unreachable{}}, 3100ms);
            run(3200ms, 9s);
            CHECK(lists.size() == 2);
            CHECK(under_test.status(at(9s)).configuration == revision{7});
        }
    }
    SUBCASE("or to the second one, and the failure of the first one changes nothing")
    {
        step(platform_answered{lists[0], platform_unreachable{}}, 3s);
        answer(1, revision{7}, 3100ms);
        CHECK(under_test.status(at(3100ms)).configuration == revision{7});
        run(3200ms, 9s);
        CHECK(lists.size() == 2);
    }
}

TEST_CASE("a watch that skips changes is reopened at the revision in effect")
{
    single_node single;
    const revision current_revision = single.under_test.status(at(300ms)).configuration;
    REQUIRE(current_revision == revision{7});
    single.step(watch_changed{{store_id{"store"}, revision{8}, revision{9}, {}, {}}}, 400ms);
    const open_watch* opened = single.last<open_watch>();
    REQUIRE(opened != nullptr);
    CHECK(opened->after == current_revision);
    CHECK(single.under_test.status(at(400ms)).configuration == current_revision);

    single.step(watch_changed{{store_id{"store"}, revision{7}, revision{9}, {}, {}}}, 500ms);
    CHECK(single.last<open_watch>() == nullptr);
    CHECK(single.under_test.status(at(500ms)).configuration == revision{9});
}
