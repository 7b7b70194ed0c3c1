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

static object make(object_kind kind, const std::string& name, object_spec spec,
                   std::uint64_t written_at)
{
    return object{object_key{kind, name}, {}, std::move(spec), revision{written_at}};
}

static feed_snapshot small_configuration()
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
                         {make(object_kind::tier, "desk", tier_spec{0, 30s}, 1),
                          make(object_kind::tier, "background", tier_spec{1, 30s}, 2),
                          make(object_kind::upstream, "engine-1", engine, 3),
                          make(object_kind::upstream, "desk-1", desk, 4),
                          make(object_kind::route, "chat", chat, 5),
                          make(object_kind::route, "background", background, 6),
                          make(object_kind::route, "admission", admission, 7)}};
}

namespace {
/// One node whose shell is the test.
struct lone_node {
    node_settings settings;
    node under_test;
    effect_list effects;

    lone_node() : settings{make_settings()}, under_test{settings, 1}
    {
        this->step(wall_clock_read{unix_millis{1'000'000}}, 0ms);
        this->step(tick{}, 0ms);
        const call_platform* list = this->last<call_platform>();
        REQUIRE(list != nullptr);
        const feed_snapshot whole = small_configuration();
        this->step(
            platform_answered{list->call, platform_listed{whole.store, whole.at, whole.objects}},
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

TEST_CASE("a node alone serves a request from arrival to the end")
{
    lone_node alone;
    REQUIRE(alone.under_test.status(at(300ms)).ready);

    const open_attempt opened = alone.arrive(1, "chat", 400ms);
    REQUIRE(opened.attempt.value != 0);
    CHECK(opened.upstream == upstream_name{"engine-1"});
    CHECK(opened.mode == attempt_mode::fresh);

    SUBCASE("the whole answer is passed on and finished")
    {
        alone.step(upstream_accepted{opened.attempt}, 600ms);
        alone.step(upstream_progress{opened.attempt, 0, 3}, 700ms);
        REQUIRE(alone.last<forward_progress>() != nullptr);
        alone.step(upstream_finished{opened.attempt, 3, 0}, 800ms);
        CHECK(alone.last<finish_exchange>() != nullptr);
        CHECK(alone.under_test.status(at(800ms)).open_requests == 0);
    }
    SUBCASE("an answer that is shorter than it says is resumed, not reported whole")
    {
        alone.step(upstream_progress{opened.attempt, 0, 3}, 700ms);
        alone.step(upstream_finished{opened.attempt, 5, 0}, 800ms);
        CHECK(alone.last<finish_exchange>() == nullptr);
        const open_attempt* resumed = alone.last<open_attempt>();
        REQUIRE(resumed != nullptr);
        CHECK(resumed->mode == attempt_mode::resume);
        CHECK(resumed->offset == 3);

        SUBCASE("parts that come twice are passed on once")
        {
            const attempt_id again = resumed->attempt;
            alone.step(upstream_progress{again, 2, 3}, 900ms);
            REQUIRE(alone.last<forward_progress>() != nullptr);
            CHECK(alone.last<forward_progress>()->skip == 1);
            alone.step(upstream_finished{again, 5, 0}, 950ms);
            CHECK(alone.last<finish_exchange>() != nullptr);
        }
        SUBCASE("parts of the attempt that was given up are dropped")
        {
            alone.step(upstream_progress{opened.attempt, 3, 2}, 900ms);
            CHECK(alone.last<forward_progress>() == nullptr);
        }
    }
    SUBCASE("a second request waits for the engine's only slot, and tiers go first")
    {
        CHECK(alone.arrive(2, "background", 600ms).attempt.value == 0);
        CHECK(alone.arrive(3, "chat", 800ms).attempt.value == 0);
        alone.step(upstream_finished{opened.attempt, 0, 0}, 1000ms);
        const open_attempt* next = alone.last<open_attempt>();
        REQUIRE(next != nullptr);
        CHECK(next->exchange == exchange_id{3});
    }
    SUBCASE("a deadline that passes while it runs is told as may_have_run")
    {
        alone.step(tick{}, 61s);
        const refuse_exchange* refused = alone.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
        CHECK(alone.last<cancel_attempt>() != nullptr);
    }
}

TEST_CASE("a request that may not be repeated is dispatched once")
{
    lone_node alone;
    const open_attempt opened = alone.arrive(1, "admission", 400ms);
    REQUIRE(opened.upstream == upstream_name{"desk-1"});
    CHECK(opened.fresh_connection);

    SUBCASE("a connection lost after the dispatch ends in may_have_run")
    {
        alone.step(upstream_failed{opened.attempt, upstream_failure::connection_lost}, 700ms);
        const refuse_exchange* refused = alone.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
    }
    SUBCASE("a proof that nothing was sent allows a retry")
    {
        alone.step(upstream_failed{opened.attempt, upstream_failure::not_sent}, 700ms);
        CHECK(alone.last<refuse_exchange>() == nullptr);
        alone.step(tick{}, 1s);
        CHECK(alone.last<open_attempt>() != nullptr);
    }
}

TEST_CASE("a request with a key that was used does not run again")
{
    lone_node alone;
    caller_request request;
    request.route = route_name{"admission"};
    const ticket proof{alone.settings.callers, alone.settings.run, 1'000'000ULL << 20U};
    request.key = parse_idempotency_key(format_ticket(proof) + ".guest-17");
    REQUIRE(request.key->on_ticket.has_value());

    alone.step(request_arrived{exchange_id{1}, request}, 400ms);
    alone.step(tick{}, 600ms);
    const open_attempt* opened = alone.last<open_attempt>();
    REQUIRE(opened != nullptr);
    const attempt_id attempt = opened->attempt;

    SUBCASE("while the first is in progress the second is told so")
    {
        alone.step(request_arrived{exchange_id{2}, request}, 700ms);
        const refuse_exchange* refused = alone.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.reason == refusal_reason::key_in_progress);
    }
    SUBCASE("after the answer the key is used up")
    {
        alone.step(upstream_finished{attempt, 0, 0}, 700ms);
        alone.step(request_arrived{exchange_id{2}, request}, 800ms);
        const refuse_exchange* refused = alone.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
        CHECK(refused->answer.reason == refusal_reason::key_already_used);
    }
    SUBCASE("a key whose ticket another incarnation minted, which is gone, may have run")
    {
        caller_request other = request;
        const ticket gone{alone.settings.callers, incarnation{41}, 1'000'000ULL << 20U};
        other.key = parse_idempotency_key(format_ticket(gone) + ".guest-18");
        alone.step(request_arrived{exchange_id{3}, other}, 800ms);
        const refuse_exchange* refused = alone.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
        CHECK(refused->answer.reason == refusal_reason::key_owner_gone);
    }
}

TEST_CASE("a dispatch that may still be running is not repeated")
{
    lone_node alone;
    const open_attempt opened = alone.arrive(1, "chat", 400ms);
    REQUIRE(opened.attempt.value != 0);

    SUBCASE("a silent engine that cannot be reached to resume may be running it")
    {
        alone.step(upstream_failed{opened.attempt, upstream_failure::silent}, 3s);
        const open_attempt* resumed = alone.last<open_attempt>();
        REQUIRE(resumed != nullptr);
        REQUIRE(resumed->mode == attempt_mode::resume);
        alone.step(upstream_failed{resumed->attempt, upstream_failure::not_sent}, 4s);
        const refuse_exchange* refused = alone.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.outcome == verdict::may_have_run);
    }
    SUBCASE("one that closed the connection and takes none any more has ended")
    {
        alone.step(upstream_failed{opened.attempt, upstream_failure::connection_lost}, 3s);
        const open_attempt* resumed = alone.last<open_attempt>();
        REQUIRE(resumed != nullptr);
        alone.step(upstream_failed{resumed->attempt, upstream_failure::not_sent}, 4s);
        CHECK(alone.last<refuse_exchange>() == nullptr);
        CHECK(alone.under_test.status(at(4s)).open_requests == 1);
    }
}

TEST_CASE("a key that may have been used at another entry is never refused as not run")
{
    lone_node alone;
    alone.step(drain_requested{}, 400ms);
    const auto refuse_with_ticket_of = [&](incarnation minted_by) {
        const ticket proof{{"127.0.0.1", 8001}, minted_by, 1};
        caller_request request;
        request.route = route_name{"admission"};
        request.key = parse_idempotency_key(format_ticket(proof) + ".payment");
        alone.step(request_arrived{exchange_id{minted_by.value}, request}, 1h);
        const refuse_exchange* refused = alone.last<refuse_exchange>();
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.reason == refusal_reason::shutting_down);
        return refused->answer.outcome;
    };

    SUBCASE("on its own ticket the leaving entry knows that nothing ran")
    {
        CHECK(refuse_with_ticket_of(alone.settings.run) == verdict::not_run);
    }
    SUBCASE("on another's ticket it does not know")
    {
        CHECK(refuse_with_ticket_of(incarnation{7}) == verdict::may_have_run);
    }
}

TEST_CASE("the right of a key is given away by the incarnation that minted its ticket alone")
{
    lone_node alone;
    const node_name asker{"entry-2"};
    const auto ask = [&](const ticket& on, const char* name, std::uint64_t sequence) {
        const key_query message{{incarnation{50}, sequence}, format_ticket(on) + name};
        alone.step(peer_received{asker, incarnation{50}, message}, 400ms);
        const send_peer* sent = alone.last<send_peer>();
        REQUIRE(sent != nullptr);
        return std::get<key_response>(sent->message).state;
    };
    const ticket own{alone.settings.callers, alone.settings.run, 1'000'000ULL << 20U};

    SUBCASE("its own")
    {
        CHECK(ask(own, ".guest-1", 1) == key_state::handed_over);
    }
    SUBCASE("its predecessor's")
    {
        ticket former = own;
        former.minted_by = incarnation{41};
        CHECK(ask(former, ".guest-2", 1) == key_state::used);
    }
    SUBCASE("its own, but too old to be remembered")
    {
        ticket old = own;
        old.nonce = 1;
        CHECK(ask(old, ".guest-3", 1) == key_state::used);
    }
}

TEST_CASE("a watch that skips changes begins anew from what is in force")
{
    lone_node alone;
    const revision in_force = alone.under_test.status(at(300ms)).configuration;
    REQUIRE(in_force == revision{7});
    alone.step(watch_changed{{store_id{"store"}, revision{8}, revision{9}, {}, {}}}, 400ms);
    const open_watch* opened = alone.last<open_watch>();
    REQUIRE(opened != nullptr);
    CHECK(opened->after == in_force);
    CHECK(alone.under_test.status(at(400ms)).configuration == in_force);

    alone.step(watch_changed{{store_id{"store"}, revision{7}, revision{9}, {}, {}}}, 500ms);
    CHECK(alone.last<open_watch>() == nullptr);
    CHECK(alone.under_test.status(at(500ms)).configuration == revision{9});
}
