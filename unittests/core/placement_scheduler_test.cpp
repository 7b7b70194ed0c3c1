#include "ragwortcove/core/placement_scheduler.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

namespace {

/// A scheduler of engines with two slots each, in virtual time.
struct engine_scheduler {
    placement_scheduler scheduler;
    time_point now{1h};
    std::uint64_t sequence = 0;
    std::unique_ptr<rule_index> rules;
    std::vector<announced_upstream> upstreams;

    explicit engine_scheduler(std::size_t engines)
    {
        ruleset made;
        made.targets = {{{"engines"}, true, 2, 100'000}};
        this->rules = std::make_unique<rule_index>(std::move(made));
        for (std::size_t index = 0; index < engines; ++index) {
            announced_upstream upstream;
            upstream.name.value = "e" + std::to_string(index);
            upstream.target.value = "engines";
            upstream.failure_domain.value = "a";
            this->upstreams.push_back(upstream);
        }
        this->scheduler.set_upstreams(this->upstreams, this->rules.get());
        // A new scheduler waits for reports; the tests start after that time.
        static_cast<void>(this->ask(9, 10));
        this->pass(200ms);
        this->finish_all();
    }

    [[nodiscard]] placement_request make_request(std::uint32_t rank, std::uint32_t tokens)
    {
        placement_request made;
        made.id = {{"entry"}, {1}, ++this->sequence};
        made.pool.value = "engines";
        made.rank = rank;
        made.prompt_tokens = tokens;
        made.output_tokens = 100;
        made.latency_budget = 500ms;
        made.max_wait = 2s;
        made.failure_domain.value = "a";
        return made;
    }
    placement_scheduler::responses ask(std::uint32_t rank, std::uint32_t tokens)
    {
        return this->ask(this->make_request(rank, tokens));
    }
    placement_scheduler::responses ask(const placement_request& request)
    {
        placement_scheduler::responses responses;
        this->scheduler.submit(request, this->now, responses);
        this->record_grants_of(responses);
        return responses;
    }
    placement_scheduler::responses pass(duration time)
    {
        placement_scheduler::responses responses;
        this->now += time;
        this->scheduler.tick(this->now, responses);
        this->record_grants_of(responses);
        return responses;
    }
    placement_scheduler::responses finish(const placement_id& id,
                                          placement_outcome outcome = placement_outcome::completed)
    {
        placement_scheduler::responses responses;
        this->scheduler.release({id, outcome, 50ms, 20ms}, this->now, responses);
        this->granted.erase(id);
        this->record_grants_of(responses);
        return responses;
    }
    void finish_all()
    {
        while (!this->granted.empty())
            this->finish(this->granted.begin()->first);
    }
    void record_grants_of(const placement_scheduler::responses& responses)
    {
        for (const placement_response& response : responses) {
            if (const auto* grant = std::get_if<placement_grant>(&response))
                this->granted[grant->id] = grant->upstream;
        }
    }

    std::map<placement_id, upstream_name> granted;
};

} // namespace

TEST_CASE("a scheduler never has more requests in flight than there are slots")
{
    engine_scheduler fixture{3};
    for (int count = 0; count < 6; ++count)
        CHECK(fixture.ask(0, 1000).size() == 1);
    CHECK(fixture.ask(0, 1000).empty());
    CHECK(fixture.scheduler.waiting() == 1);
    std::map<upstream_name, int> by_upstream;
    for (const auto& [id, upstream] : fixture.granted)
        ++by_upstream[upstream];
    for (const auto& [name, count] : by_upstream)
        CHECK(count == 2);
    SUBCASE("a slot that becomes free goes to the queued request")
    {
        CHECK(fixture.finish(fixture.granted.begin()->first).size() == 1);
        CHECK(fixture.scheduler.waiting() == 0);
    }
    SUBCASE("a repeated request is queued once")
    {
        placement_request again = fixture.make_request(0, 10);
        CHECK(fixture.ask(again).empty());
        CHECK(fixture.ask(again).empty());
        CHECK(fixture.scheduler.waiting() == 2);
    }
    SUBCASE("a request whose grant was lost gets the same grant again")
    {
        const auto& [id, upstream] = *fixture.granted.begin();
        placement_request again = fixture.make_request(0, 10);
        again.id = id;
        const auto responses = fixture.ask(again);
        REQUIRE(responses.size() == 1);
        CHECK(std::get<placement_grant>(responses[0]).upstream == upstream);
        CHECK(fixture.scheduler.in_flight() == 6);
    }
}

TEST_CASE("queued requests are served in the order in which most meet their objective")
{
    engine_scheduler fixture{1};
    fixture.ask(0, 100);
    fixture.ask(0, 100);
    const auto make_with_budget = [&](std::uint32_t rank, duration budget) {
        placement_request made = fixture.make_request(rank, 100);
        made.latency_budget = budget;
        return made;
    };
    const placement_request low = make_with_budget(5, 500ms);
    const placement_request late = make_with_budget(1, -1ms);
    const placement_request later = make_with_budget(1, -500ms);
    const placement_request old = make_with_budget(1, 300ms);
    const placement_request fresh = make_with_budget(1, 500ms);
    for (const placement_request& each : {low, late, later, old, fresh})
        CHECK(fixture.ask(each).empty());
    std::vector<placement_id> order;
    for (int count = 0; count < 5; ++count) {
        const auto responses = fixture.finish(fixture.granted.begin()->first);
        REQUIRE(responses.size() == 1);
        order.push_back(std::get<placement_grant>(responses[0]).id);
    }
    // By rank, then those that can still meet their objective, newest first, then the late ones.
    const std::vector<placement_id> expected{fresh.id, old.id, later.id, late.id, low.id};
    CHECK((order == expected));
}

TEST_CASE("under overload, most of the served requests meet their latency objective")
{
    // Two engines of two slots serve 20 requests a second; 30 arrive, each with a latency objective
    // of 500 ms.
    engine_scheduler fixture{2};
    std::map<placement_id, time_point> arrived;
    std::map<placement_id, time_point> ends;
    int in_time = 0;
    int late = 0;
    const auto record_grants = [&](const placement_scheduler::responses& responses) {
        for (const placement_response& response : responses) {
            const auto* grant = std::get_if<placement_grant>(&response);
            if (grant == nullptr)
                continue;
            ends[grant->id] = fixture.now + 200ms;
            const bool soon = fixture.now - arrived.at(grant->id) <= 400ms;
            (soon ? in_time : late) += 1;
        }
    };
    for (int step = 0; step < 3000; ++step) {
        fixture.now += 10ms;
        std::vector<placement_id> ended_ids;
        for (const auto& [id, at] : ends) {
            if (at <= fixture.now)
                ended_ids.push_back(id);
        }
        for (const placement_id& id : ended_ids) {
            ends.erase(id);
            record_grants(fixture.finish(id));
        }
        if (step % 10 < 3) {
            placement_request made = fixture.make_request(0, 100);
            made.max_wait = 2s;
            arrived[made.id] = fixture.now;
            record_grants(fixture.ask(made));
        }
        record_grants(fixture.pass(0ms));
    }
    CHECK(in_time + late >= 550);
    CHECK(in_time >= 9 * late);
}

TEST_CASE("a free slot is left unused where the request would miss its latency objective")
{
    // The second engine is known to be slow: 100 us a prompt token, 300 ms between events.
    engine_scheduler fixture{2};
    fixture.scheduler.observe_start({"e0"}, 10'000, 120ms);
    fixture.scheduler.observe_start({"e1"}, 10'000, 1020ms);
    fixture.scheduler.observe_end({"e0"}, {{}, placement_outcome::completed, 50ms, 20ms});
    fixture.scheduler.observe_end({"e1"}, {{}, placement_outcome::completed, 50ms, 100ms});
    const auto upstream_of = [&](const placement_request& ask) -> std::string {
        const auto responses = fixture.ask(ask);
        if (responses.empty())
            return "waits";
        return std::get<placement_grant>(responses[0]).upstream.value;
    };
    // Short prompts fill the fast engine.
    CHECK(upstream_of(fixture.make_request(0, 100)) == "e0");
    CHECK(upstream_of(fixture.make_request(0, 100)) == "e0");

    SUBCASE("a short prompt is placed on the slow one")
    {
        CHECK(upstream_of(fixture.make_request(0, 100)) == "e1");
    }
    SUBCASE("a long prompt waits for the fast one, which can still meet its objective")
    {
        CHECK(upstream_of(fixture.make_request(0, 6000)) == "waits");
    }
    SUBCASE("a prompt whose objective no engine can meet is placed on any free slot")
    {
        CHECK(upstream_of(fixture.make_request(0, 60'000)) == "e1");
    }
    SUBCASE("but not where it would delay a running stream beyond its longest pause")
    {
        CHECK(upstream_of(fixture.make_request(0, 100)) == "e1");
        placement_request heavy = fixture.make_request(0, 60'000);
        heavy.longest_pause = 500ms;
        CHECK(upstream_of(heavy) == "waits");
    }
}

TEST_CASE("a prompt is placed where its parts are cached")
{
    engine_scheduler fixture{4};
    placement_request first = fixture.make_request(0, 8000);
    first.parts = {{1, 60}, {77, 7940}};
    const auto responses = fixture.ask(first);
    REQUIRE(responses.size() == 1);
    CHECK(std::get<placement_grant>(responses[0]).uncached_tokens == 8000);
    const upstream_name cached_at = std::get<placement_grant>(responses[0]).upstream;
    fixture.finish(first.id);

    SUBCASE("the next prompt with the same parts is not computed again")
    {
        placement_request next = fixture.make_request(0, 8000);
        next.parts = first.parts;
        const auto again = fixture.ask(next);
        CHECK(std::get<placement_grant>(again[0]).upstream == cached_at);
        CHECK(std::get<placement_grant>(again[0]).uncached_tokens == 0);
    }
    SUBCASE("a part counts as cached only when all parts before it are cached")
    {
        placement_request other = fixture.make_request(0, 8000);
        other.parts = {{2, 60}, {77, 7940}};
        CHECK(std::get<placement_grant>(fixture.ask(other)[0]).uncached_tokens == 8000);
    }
    SUBCASE("a restarted engine has nothing cached")
    {
        fixture.scheduler.forget(cached_at);
        placement_request next = fixture.make_request(0, 8000);
        next.parts = first.parts;
        CHECK(std::get<placement_grant>(fixture.ask(next)[0]).uncached_tokens == 8000);
    }
}

TEST_CASE("an upstream that fails more often than its peers is ejected for a while")
{
    engine_scheduler fixture{3};
    const auto fail_on = [&](const std::string& name, int times) {
        for (int count = 0; count < times; ++count) {
            placement_request made = fixture.make_request(0, 100);
            for (const announced_upstream& each : fixture.upstreams) {
                if (each.name.value != name)
                    made.avoid.push_back(each.name);
            }
            if (fixture.ask(made).empty())
                return;
            fixture.finish(made.id, placement_outcome::broken);
        }
    };
    fail_on("e1", 4);
    for (int count = 0; count < 4; ++count)
        fixture.ask(0, 100);
    for (const auto& [id, upstream] : fixture.granted)
        CHECK(upstream.value != "e1");
    SUBCASE("and gets requests again after that")
    {
        fixture.finish_all();
        fixture.pass(3s);
        bool used = false;
        for (int count = 0; count < 6; ++count)
            fixture.ask(0, 100);
        for (const auto& [id, upstream] : fixture.granted)
            used = used || upstream.value == "e1";
        CHECK(used);
    }
    SUBCASE("when all upstreams are ejected, requests are still placed")
    {
        fixture.finish_all();
        fail_on("e0", 4);
        fail_on("e2", 4);
        CHECK_FALSE(fixture.ask(0, 100).empty());
    }
}

TEST_CASE("the canaries of a roll-out are placed apart from the target's other upstreams")
{
    engine_scheduler fixture{3};
    fixture.upstreams[2].pool = canary_pool_of({"engines"});
    fixture.scheduler.set_upstreams(fixture.upstreams, fixture.rules.get());
    const auto ask_canary = [&] {
        placement_request request = fixture.make_request(0, 100);
        request.pool = canary_pool_of({"engines"});
        return fixture.ask(request);
    };
    // The first request to a cell waits for the entries' reports.
    static_cast<void>(ask_canary());
    fixture.pass(200ms);
    fixture.finish_all();

    SUBCASE("each pool has its own slots, as many as the target's rule states")
    {
        for (int count = 0; count < 4; ++count)
            CHECK(fixture.ask(0, 100).size() == 1);
        CHECK(fixture.ask(0, 100).empty());
        for (const auto& [id, upstream] : fixture.granted)
            CHECK(upstream.value != "e2");
        for (int count = 0; count < 2; ++count) {
            const auto responses = ask_canary();
            REQUIRE(responses.size() == 1);
            CHECK(std::get<placement_grant>(responses[0]).upstream.value == "e2");
        }
        CHECK(ask_canary().empty());
    }
    SUBCASE("a request that waits for a canary is denied at once when there is none any more")
    {
        ask_canary();
        ask_canary();
        CHECK(ask_canary().empty());
        SUBCASE("since the canaries get no more requests")
        {
            fixture.upstreams.pop_back();
        }
        SUBCASE("since they are the target's regular upstreams now")
        {
            fixture.upstreams[2].pool = {};
        }
        fixture.scheduler.set_upstreams(fixture.upstreams, fixture.rules.get());
        const auto responses = fixture.pass(25ms);
        REQUIRE(responses.size() == 1);
        CHECK(std::get<placement_denial>(responses[0]).reason == denial_reason::no_upstream);
        CHECK(fixture.scheduler.waiting() == 0);
        CHECK(std::get<placement_denial>(ask_canary()[0]).reason == denial_reason::no_upstream);
    }
    SUBCASE("an upstream keeps its estimates when it changes its pool")
    {
        const auto speed_of = [&](const std::string& name) {
            for (const upstream_view& each : fixture.scheduler.views()) {
                if (each.name.value == name)
                    return each.between_events;
            }
            return duration{0};
        };
        ask_canary();
        fixture.finish_all();
        REQUIRE(speed_of("e2") > 0ms);
        const duration before = speed_of("e2");
        fixture.upstreams[2].pool = {};
        fixture.scheduler.set_upstreams(fixture.upstreams, fixture.rules.get());
        CHECK(speed_of("e2") == before);
    }
    SUBCASE("requests in flight at an upstream still count after it has changed its pool")
    {
        ask_canary();
        ask_canary();
        fixture.upstreams[2].pool = {};
        fixture.scheduler.set_upstreams(fixture.upstreams, fixture.rules.get());
        for (int count = 0; count < 4; ++count)
            CHECK(fixture.ask(0, 100).size() == 1);
        CHECK(fixture.ask(0, 100).empty());
    }
}

TEST_CASE("a request that waits for a target's upstreams goes on waiting while there are none")
{
    engine_scheduler fixture{1};
    fixture.ask(0, 100);
    fixture.ask(0, 100);
    CHECK(fixture.ask(0, 100).empty());
    const std::vector<announced_upstream> none;
    fixture.scheduler.set_upstreams(none, fixture.rules.get());
    CHECK(fixture.pass(25ms).empty());
    CHECK(fixture.scheduler.waiting() == 1);
    fixture.scheduler.set_upstreams(fixture.upstreams, fixture.rules.get());
    CHECK(fixture.pass(25ms).size() == 1);
}

TEST_CASE("a request that cannot be placed is denied, with a time to retry after")
{
    engine_scheduler fixture{1};
    fixture.ask(0, 100);
    fixture.ask(0, 100);
    SUBCASE("when its longest wait has passed")
    {
        placement_request waiting = fixture.make_request(0, 100);
        waiting.max_wait = 300ms;
        CHECK(fixture.ask(waiting).empty());
        const auto responses = fixture.pass(400ms);
        REQUIRE(responses.size() == 1);
        const auto& denial = std::get<placement_denial>(responses[0]);
        CHECK(denial.reason == denial_reason::overloaded);
        CHECK(denial.retry_after > 0ms);
    }
    SUBCASE("when it avoids all upstreams")
    {
        placement_request unplaceable = fixture.make_request(0, 100);
        unplaceable.avoid = {{"e0"}};
        const auto responses = fixture.ask(unplaceable);
        REQUIRE(responses.size() == 1);
        CHECK(std::get<placement_denial>(responses[0]).reason == denial_reason::no_upstream);
    }
    SUBCASE("when the only upstream is leaving")
    {
        fixture.upstreams[0].leaving = true;
        fixture.scheduler.set_upstreams(fixture.upstreams, fixture.rules.get());
        CHECK(std::get<placement_denial>(fixture.ask(0, 100)[0]).reason ==
              denial_reason::no_upstream);
    }
}

TEST_CASE("an owner reconciles its counts with the entries' reports")
{
    engine_scheduler fixture{1};
    placement_scheduler::responses responses;
    const placement_report running{{{"other"}, {9}, 1}, {"engines"}, {"e0"}, 100, true};

    SUBCASE("a reported request that the owner did not place uses a slot")
    {
        fixture.scheduler.reconcile({"other"}, {9}, std::span(&running, 1), fixture.now, responses);
        CHECK(fixture.scheduler.in_flight() == 1);
        fixture.ask(0, 100);
        CHECK(fixture.ask(0, 100).empty());
        SUBCASE("until the entry no longer reports it")
        {
            fixture.now += 1s;
            fixture.scheduler.reconcile({"other"}, {9}, {}, fixture.now, responses);
            CHECK(responses.size() == 1);
        }
        SUBCASE("until the entry's process ends")
        {
            fixture.scheduler.on_entry_ended({9}, fixture.now, responses);
            CHECK(responses.size() == 1);
        }
    }
    SUBCASE("a report older than the end of a request does not count the request again")
    {
        fixture.scheduler.release({running.id, placement_outcome::completed, {}, {}}, fixture.now,
                                  responses);
        fixture.scheduler.reconcile({"other"}, {9}, std::span(&running, 1), fixture.now, responses);
        CHECK(fixture.scheduler.in_flight() == 0);
    }
    SUBCASE("a grant that may not have reached its entry is not ended")
    {
        fixture.ask(0, 100);
        fixture.now += 100ms;
        fixture.scheduler.reconcile({"entry"}, {1}, {}, fixture.now, responses);
        CHECK(fixture.scheduler.in_flight() == 1);
        fixture.now += 1s;
        fixture.scheduler.reconcile({"entry"}, {1}, {}, fixture.now, responses);
        CHECK(fixture.scheduler.in_flight() == 0);
    }
}

// Guards against starvation: under a sustained overload, short requests of the lowest rank were
// placed a fifth as often as the others, though they need only a fiftieth of the slots.
TEST_CASE("under a sustained overload the lowest rank is served, too")
{
    engine_scheduler fixture(2);
    int asked[2] = {0, 0};
    int placed[2] = {0, 0};
    std::vector<placement_id> in_flight_ids;
    std::map<placement_id, int> kind_of;
    const auto record_grants = [&](const placement_scheduler::responses& responses) {
        for (const placement_response& response : responses) {
            const auto* grant = std::get_if<placement_grant>(&response);
            if (grant == nullptr)
                continue;
            ++placed[kind_of.at(grant->id)];
            in_flight_ids.push_back(grant->id);
        }
    };
    // Four urgent requests and one of the lowest rank for every two slots that become free.
    for (int step = 0; step != 200; ++step) {
        fixture.now += 20ms;
        for (int count = 0; count != 5; ++count) {
            const int kind = count == 4 ? 1 : 0;
            placement_request ask = fixture.make_request(kind == 0 ? 0 : 2, 10);
            ask.max_wait = 400ms;
            kind_of[ask.id] = kind;
            ++asked[kind];
            record_grants(fixture.ask(ask));
        }
        placement_scheduler::responses responses;
        for (int count = 0; count != 2 && !in_flight_ids.empty(); ++count) {
            const placement_id ended = in_flight_ids.front();
            in_flight_ids.erase(in_flight_ids.begin());
            fixture.scheduler.release({ended, placement_outcome::completed, 5ms, 10ms}, fixture.now,
                                      responses);
        }
        fixture.scheduler.tick(fixture.now, responses);
        record_grants(responses);
    }
    const double urgent = static_cast<double>(placed[0]) / asked[0];
    const double lowest = static_cast<double>(placed[1]) / asked[1];
    const double all = static_cast<double>(placed[0] + placed[1]) / (asked[0] + asked[1]);
    CHECK(urgent > lowest);
    // By the users' definition, a kind of request is starved when it is served a quarter as often
    // as all requests are.
    CHECK(lowest > 0.25 * all);
}

// Guards against a fault seen when 28 of 81 nodes were partitioned for 12 s: each of them placed
// requests on all engines as if it were the only node, all on the fastest ones, and engines had
// half more requests than slots.
TEST_CASE("a partitioned node leaves slots to the other nodes")
{
    SUBCASE("it uses only its share of each upstream")
    {
        engine_scheduler fixture(3);
        fixture.scheduler.set_fleet_share(0.1);
        for (int count = 0; count != 3; ++count)
            CHECK(fixture.ask(0, 10).size() == 1);
        CHECK(fixture.ask(0, 10).empty());
        fixture.scheduler.set_fleet_share(0.6);
        fixture.pass(50ms);
        CHECK(fixture.scheduler.in_flight() == 4);
    }
    SUBCASE("and different nodes prefer different upstreams")
    {
        std::map<std::string, int> chosen;
        for (std::uint64_t node = 1; node != 41; ++node) {
            engine_scheduler fixture(4);
            fixture.scheduler = placement_scheduler{node};
            fixture.scheduler.set_upstreams(fixture.upstreams, fixture.rules.get());
            fixture.scheduler.set_fleet_share(0.1);
            static_cast<void>(fixture.ask(0, 10));
            fixture.pass(200ms);
            for (const upstream_view& view : fixture.scheduler.views())
                chosen[view.name.value] += static_cast<int>(view.in_flight);
        }
        for (const auto& [name, count] : chosen)
            CHECK(count >= 3);
    }
}

TEST_CASE("with team shares, a team's requests do not wait behind the many of another team")
{
    engine_scheduler fixture{1};
    fixture.scheduler.set_team_shares(true);
    const auto make_for = [&](const char* team) {
        placement_request made = fixture.make_request(0, 100);
        made.team.value = team;
        made.max_wait = 60s;
        return made;
    };
    for (int count = 0; count != 2; ++count)
        CHECK(fixture.ask(make_for("many")).size() == 1);
    std::vector<placement_request> many;
    for (int count = 0; count != 20; ++count) {
        many.push_back(make_for("many"));
        CHECK(fixture.ask(many.back()).empty());
    }
    const auto next = [&] {
        const auto responses = fixture.finish(fixture.granted.begin()->first);
        REQUIRE(responses.size() == 1);
        return std::get<placement_grant>(responses[0]).id;
    };

    SUBCASE("the slots are given by turns")
    {
        const placement_request first = make_for("few");
        const placement_request second = make_for("few");
        CHECK(fixture.ask(first).empty());
        CHECK(fixture.ask(second).empty());
        std::vector<placement_id> order;
        for (int count = 0; count != 6; ++count)
            order.push_back(next());
        CHECK(std::count(order.begin(), order.begin() + 4, first.id) == 1);
        CHECK(std::count(order.begin(), order.begin() + 4, second.id) == 1);
    }
    SUBCASE("a request is not denied because of the other team's queue")
    {
        placement_request own = make_for("many");
        own.max_wait = 2s;
        const auto denied = fixture.ask(own);
        REQUIRE(denied.size() == 1);
        CHECK(std::holds_alternative<placement_denial>(denied[0]));
        placement_request other = make_for("few");
        other.max_wait = 2s;
        CHECK(fixture.ask(other).empty());
    }
    SUBCASE("requests of one team keep their order")
    {
        // They have the same deadline, so the first one is served first.
        CHECK((next() == many[0].id));
        CHECK((next() == many[1].id));
    }
}

} // namespace ragwortcove::core
