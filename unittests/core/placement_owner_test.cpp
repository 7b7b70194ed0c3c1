#include "ragwortcove/core/placement_owner.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static time_point at(duration since_start)
{
    return time_point{1h + since_start};
}

static const cell_id the_cell{target_name{"chat-model"}, failure_domain_name{"a"}, 0};
static const node_name entry_name{"entry-1"};

static object make(object_kind kind, const std::string& name, object_spec spec)
{
    return object{object_key{kind, name}, {}, std::move(spec), revision{1}};
}

static object make_engine(const std::string& name, std::uint32_t slots, bool leaving = false)
{
    upstream_spec engine;
    engine.address = endpoint{"127.0.0.1", 9001};
    engine.failure_domain = the_cell.failure_domain;
    engine.target = the_cell.target;
    engine.slots = slots;
    engine.cache_tokens = 64'000;
    engine.leaving = leaving;
    return make(object_kind::upstream, name, engine);
}

static object make_route(const std::string& name, const std::string& tier)
{
    route_spec route;
    route.target = the_cell.target;
    route.tier = tier_name{tier};
    return make(object_kind::route, name, route);
}

namespace {
/// An owner of one cell whose entries are the test.
struct owned {
    configuration config;
    cell_map cells;
    placement_owner owner{this->config, this->cells, true};
    random_engine random{1};
    effect_list effects;
    std::uint64_t at_revision = 0;

    explicit owned(std::vector<object> engines)
    {
        this->configure(std::move(engines));
        // The wait of a new owner for reports of an earlier one's permits.
        this->ask(999, "chat", "warm-up", 0ms);
        this->tick(1s);
        this->release(999, attempt_outcome::unused, 1s);
    }
    void configure(std::vector<object> engines)
    {
        feed_snapshot whole{store_id{"store"}, revision{++this->at_revision}, std::move(engines)};
        whole.objects.push_back(make(object_kind::tier, "desk", tier_spec{0, 30s}));
        whole.objects.push_back(make(object_kind::tier, "background", tier_spec{1, 30s}));
        whole.objects.push_back(make_route("chat", "desk"));
        whole.objects.push_back(make_route("review", "background"));
        whole.objects.push_back(make(object_kind::team, "heavy", team_spec{2.0}));
        REQUIRE(this->config.apply(whole));
        this->cells.rebuild(this->config);
    }
    step_context context(duration when)
    {
        return step_context{at(when), unix_millis{0}, this->random, this->effects};
    }
    void ask(std::uint64_t number, const std::string& route, const std::string& team, duration when,
             std::uint32_t output_tokens = 20, duration time_left = 60s)
    {
        permit_request message;
        message.request = request_id{incarnation{5}, number};
        message.cell = the_cell;
        message.route = route_name{route};
        message.team = team_name{team};
        message.tier = tier_name{route == "chat" ? "desk" : "background"};
        message.prefill_tokens = 64;
        message.output_tokens = output_tokens;
        message.time_left = time_left;
        step_context now = this->context(when);
        this->owner.ask(entry_name, message, now);
    }
    void release(std::uint64_t number, attempt_outcome outcome, duration when)
    {
        permit_release message;
        message.request = request_id{incarnation{5}, number};
        message.cell = the_cell;
        message.upstream = this->upstream_of(number);
        message.outcome = outcome;
        step_context now = this->context(when);
        this->owner.release(message, now);
    }
    void tick(duration when)
    {
        step_context now = this->context(when);
        this->owner.tick(now);
    }
    template <class Message> std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const effect& each : this->effects) {
            const send_peer* message = std::get_if<send_peer>(&each);
            if (message == nullptr)
                continue;
            if (const Message* wanted = std::get_if<Message>(&message->message))
                found.push_back(*wanted);
        }
        return found;
    }
    upstream_name upstream_of(std::uint64_t number) const
    {
        for (const permit_grant& grant : this->sent<permit_grant>()) {
            if (grant.request.sequence == number)
                return grant.upstream;
        }
        return {};
    }
    bool granted(std::uint64_t number) const { return !this->upstream_of(number).empty(); }
    std::vector<std::uint64_t> grants_in_order() const
    {
        std::vector<std::uint64_t> order;
        for (const permit_grant& grant : this->sent<permit_grant>())
            order.push_back(grant.request.sequence);
        return order;
    }
};
} // namespace

TEST_CASE("an engine gets no more than its slots, and the highest tier goes next")
{
    owned cell{{make_engine("e1", 1)}};
    cell.ask(1, "review", "x", 2s);
    REQUIRE(cell.granted(1));
    cell.ask(2, "review", "x", 2s);
    cell.ask(3, "chat", "x", 2s);
    CHECK_FALSE(cell.granted(2));
    CHECK_FALSE(cell.granted(3));
    cell.release(1, attempt_outcome::completed, 3s);
    CHECK(cell.granted(3));
    CHECK_FALSE(cell.granted(2));

    SUBCASE("a request that is asked for twice is granted once")
    {
        cell.ask(3, "chat", "x", 4s);
        CHECK(cell.sent<permit_grant>().size() == 3);
    }
    SUBCASE("a request that is withdrawn from the queue is never granted")
    {
        step_context now = cell.context(4s);
        cell.owner.withdraw(permit_withdrawal{request_id{incarnation{5}, 2}, the_cell}, now);
        cell.release(3, attempt_outcome::completed, 5s);
        CHECK_FALSE(cell.granted(2));
    }
    SUBCASE("permits of an incarnation that ended are taken back")
    {
        cell.effects.clear();
        step_context now = cell.context(4s);
        cell.owner.entry_gone(incarnation{5}, now);
        CHECK(cell.owner.digests().front().free_permits == 1);
        CHECK(cell.owner.digests().front().queued == 0);
    }
}

TEST_CASE("teams of one tier share by weight, whatever they ask for")
{
    owned cell{{make_engine("e1", 1)}};
    cell.ask(1, "chat", "x", 2s);
    for (std::uint64_t number = 100; number < 130; ++number)
        cell.ask(number, "chat", "greedy", 2s);
    for (std::uint64_t number = 200; number < 210; ++number)
        cell.ask(number, "chat", "heavy", 2s);
    std::uint64_t running = 1;
    for (int turn = 0; turn < 12; ++turn) {
        cell.release(running, attempt_outcome::completed, 3s);
        running = cell.grants_in_order().back();
    }
    const std::vector<std::uint64_t> order = cell.grants_in_order();
    const auto of_heavy = std::count_if(order.begin(), order.end(), [](std::uint64_t number) {
        return number >= 200 && number < 300;
    });
    // Weight 2 against weight 1: eight of the twelve turns.
    CHECK(of_heavy == 8);
}

TEST_CASE("long work leaves room for short work")
{
    owned cell{{make_engine("e1", 4)}};
    constexpr std::uint32_t long_output = 2000;
    for (std::uint64_t number = 1; number <= 6; ++number)
        cell.ask(number, "review", "x", 2s, long_output, 10min);
    CHECK(cell.owner.digests().front().free_permits == 1);
    cell.ask(7, "review", "x", 2s);
    CHECK(cell.granted(7));
}

TEST_CASE("work that cannot finish in time is refused at once")
{
    owned cell{{make_engine("e1", 1)}};
    cell.ask(1, "chat", "x", 2s, 1000, 1s);
    REQUIRE(cell.sent<permit_denial>().size() == 1);
    CHECK(cell.sent<permit_denial>().front().reason == refusal_reason::deadline_unreachable);

    SUBCASE("so is work that would wait too long, with the time to come back")
    {
        cell.ask(2, "chat", "x", 2s, 400);
        cell.ask(3, "chat", "x", 2s, 400);
        cell.ask(4, "chat", "x", 2s, 200, 12s);
        const permit_denial denial = cell.sent<permit_denial>().back();
        CHECK(denial.request.sequence == 4);
        CHECK(denial.reason == refusal_reason::overloaded);
        CHECK(denial.retry_after > 0s);
    }
}

TEST_CASE("an engine that fails in a row is left alone, probed and brought back")
{
    owned cell{{make_engine("e1", 8), make_engine("e2", 8)}};
    std::uint64_t number = 1;
    const auto fail_first = [&](duration when) {
        cell.ask(number, "chat", "x", when);
        const bool is_first = cell.upstream_of(number) == upstream_name{"e1"};
        cell.release(number, is_first ? attempt_outcome::failed : attempt_outcome::unused, when);
        ++number;
        return is_first;
    };
    for (int failures = 0; failures < 3;)
        failures += fail_first(2s) ? 1 : 0;
    cell.effects.clear();
    cell.ask(number, "chat", "x", 2100ms);
    CHECK(cell.upstream_of(number) == upstream_name{"e2"});

    SUBCASE("a probe goes out after a while and one request on trial restores it")
    {
        cell.tick(4s);
        const auto probe =
            std::find_if(cell.effects.begin(), cell.effects.end(), [](const effect& each) {
                return std::holds_alternative<probe_upstream>(each);
            });
        REQUIRE(probe != cell.effects.end());
        step_context now = cell.context(4s);
        cell.owner.probed(probe_answered{upstream_name{"e1"}, true}, now);
        CHECK_FALSE(
            cell.owner.cells().at(the_cell).engines.at(upstream_name{"e1"}).health.ejected());
        CHECK(cell.owner.cells().at(the_cell).engines.at(upstream_name{"e1"}).free_permits() == 1);
    }
    SUBCASE("when all look bad, each still gets one request at a time")
    {
        const std::uint64_t held = number;
        cell.release(held, attempt_outcome::failed, 3s);
        for (int failures = 1; failures < 3; ++failures) {
            cell.ask(++number, "chat", "x", 3s);
            REQUIRE(cell.upstream_of(number) == upstream_name{"e2"});
            cell.release(number, attempt_outcome::failed, 3s);
        }
        cell.ask(501, "chat", "x", 3100ms);
        cell.ask(502, "chat", "x", 3100ms);
        cell.ask(503, "chat", "x", 3100ms);
        CHECK(cell.granted(501));
        CHECK(cell.granted(502));
        CHECK_FALSE(cell.granted(503));
    }
}

TEST_CASE("a leaving engine gets no new work and its requests go on")
{
    owned cell{{make_engine("e1", 2), make_engine("e2", 2)}};
    cell.configure({make_engine("e1", 2, true), make_engine("e2", 2)});
    step_context now = cell.context(2s);
    cell.owner.refresh(now);
    for (std::uint64_t number = 1; number <= 4; ++number)
        cell.ask(number, "chat", "x", 2s);
    CHECK(cell.upstream_of(1) == upstream_name{"e2"});
    CHECK(cell.upstream_of(2) == upstream_name{"e2"});
    CHECK_FALSE(cell.granted(3));
}

TEST_CASE("a new owner waits for reports of permits before it grants")
{
    owned elsewhere{{make_engine("e1", 1)}};
    configuration& config = elsewhere.config;
    placement_owner fresh{config, elsewhere.cells, true};
    elsewhere.effects.clear();
    step_context first = elsewhere.context(5s);
    permit_report report;
    report.request = request_id{incarnation{6}, 1};
    report.cell = the_cell;
    report.upstream = upstream_name{"e1"};
    fresh.report(entry_name, report, first);
    permit_request ask;
    ask.request = request_id{incarnation{5}, 2};
    ask.cell = the_cell;
    ask.route = route_name{"chat"};
    ask.time_left = 30s;
    fresh.ask(entry_name, ask, first);
    step_context later = elsewhere.context(6s);
    fresh.tick(later);
    CHECK(elsewhere.sent<permit_grant>().empty());
    permit_release release;
    release.request = report.request;
    release.cell = the_cell;
    release.upstream = report.upstream;
    fresh.release(release, later);
    CHECK(elsewhere.sent<permit_grant>().size() == 1);
}
