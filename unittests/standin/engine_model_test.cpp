#include "ragwortcove/standin/engine_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ragwortcove;
using namespace ragwortcove::standin;
using namespace std::chrono_literals;

static constexpr core::time_point start{};

static engine_request make_request(std::uint64_t number, std::uint32_t prompt, std::uint32_t output)
{
    engine_request request;
    request.id = {{1}, number};
    request.prompt_tokens = prompt;
    request.output_tokens = output;
    return request;
}

/// Runs an engine until it is idle, and keeps what it told.
static std::vector<engine_event> run_until_idle(engine_model& engine, core::time_point& now)
{
    std::vector<engine_event> events;
    while (engine.next_event_at() != core::time_point::max()) {
        now = std::max(now, engine.next_event_at());
        engine.advance(now, events);
    }
    return events;
}

template <class Event> static std::vector<Event> only(const std::vector<engine_event>& events)
{
    std::vector<Event> chosen;
    for (const engine_event& event : events) {
        if (const auto* wanted = std::get_if<Event>(&event)) {
            chosen.push_back(*wanted);
        }
    }
    return chosen;
}

static std::uint32_t count_tokens(const std::vector<engine_event>& events, engine_stream stream)
{
    std::uint32_t tokens = 0;
    for (const engine_tokens& told : only<engine_tokens>(events)) {
        tokens += told.stream == stream ? told.count : 0;
    }
    return tokens;
}

TEST_CASE("an engine batches continuously")
{
    engine_settings settings;
    settings.speed = middle_engine;
    settings.slots = 2;
    engine_model engine(settings, 1);
    core::time_point now = start;

    SUBCASE("a request alone is prefilled, then decoded at the base time")
    {
        engine.start(make_request(1, 1000, 11), {1}, now);
        const auto events = run_until_idle(engine, now);
        CHECK(only<engine_accepted>(events).size() == 1);
        CHECK(count_tokens(events, {1}) == 11);
        const auto ends = only<engine_finished>(events);
        REQUIRE(ends.size() == 1);
        CHECK(ends[0].total == 11);
        CHECK(ends[0].prefilled_tokens == 1000);
        CHECK(now - start == 100ms + 10 * 20ms);
    }
    SUBCASE("tokens come more slowly the more sequences run")
    {
        engine.start(make_request(1, 1, 100), {1}, now);
        run_until_idle(engine, now);
        const core::duration alone = now - start;
        const core::time_point again = now;
        engine.start(make_request(2, 1, 100), {2}, now);
        engine.start(make_request(3, 1, 100), {3}, now);
        run_until_idle(engine, now);
        CHECK(now - again > alone);
        CHECK(now - again < 2 * alone);
    }
    SUBCASE("a request beyond the slots waits, whatever it is")
    {
        engine.start(make_request(1, 10, 50), {1}, now);
        engine.start(make_request(2, 10, 50), {2}, now);
        engine.start(make_request(3, 10, 1), {3}, now);
        CHECK(engine.status({{1}, 3}).state == engine_request_state::waiting);
        const auto events = run_until_idle(engine, now);
        const auto ends = only<engine_finished>(events);
        REQUIRE(ends.size() == 3);
        CHECK(ends[2].stream == engine_stream{3});
    }
    SUBCASE("a load report shows what was, not what is")
    {
        engine.start(make_request(1, 10, 1000), {1}, now);
        CHECK(engine.load(now + 1s).running == 0);
        std::vector<engine_event> events;
        engine.advance(now + 3s, events);
        CHECK(engine.load(now + 3s).running == 1);
    }
    SUBCASE("tokens can be told in batches, the first at once")
    {
        settings.tokens_per_event = 8;
        engine_model batched(settings, 1);
        batched.start(make_request(1, 10, 20), {1}, now);
        const auto told = only<engine_tokens>(run_until_idle(batched, now));
        REQUIRE(told.size() == 4);
        CHECK(told[0].count == 1);
        CHECK(told[1].count == 8);
        CHECK(told[3].count == 3);
    }
}

TEST_CASE("an engine keeps prompt prefixes in bounded memory")
{
    engine_settings settings;
    settings.cache_tokens = 4 * 64;
    settings.cache_event_loss = 0.0;
    engine_model engine(settings, 1);
    core::time_point now = start;
    engine_request request = make_request(1, 256, 1);
    request.prefix = {{11}, {12}, {13}, {14}};
    engine.start(request, {1}, now);
    run_until_idle(engine, now);

    SUBCASE("an equal prompt is prefilled only for its last token")
    {
        request.id.sequence = 2;
        engine.start(request, {2}, now);
        const auto ends = only<engine_finished>(run_until_idle(engine, now));
        REQUIRE(ends.size() == 1);
        CHECK(ends[0].cached_tokens == 255);
        CHECK(engine.counts().prefilled_tokens == 257);
    }
    SUBCASE("another prompt pushes it out, and a cache event says so later")
    {
        engine_request other = make_request(2, 256, 1);
        other.prefix = {{21}, {22}, {23}, {24}};
        engine.start(other, {2}, now);
        run_until_idle(engine, now);
        CHECK(engine.cache_events(0, now).empty());
        const auto events = engine.cache_events(0, now + 2s);
        REQUIRE(events.size() == 2);
        CHECK(events[1].added.size() == 4);
        CHECK(events[1].removed.size() == 4);
        CHECK(engine.cache_events(1, now + 2s).size() == 1);
    }
    SUBCASE("lost cache events leave gaps in the sequence")
    {
        settings.cache_event_loss = 0.5;
        engine_model lossy(settings, 7);
        for (std::uint64_t number = 1; number <= 40; ++number) {
            engine_request next = make_request(number, 64, 1);
            next.prefix = {{1000 + number}};
            lossy.start(next, {number}, now);
            run_until_idle(lossy, now);
        }
        const auto events = lossy.cache_events(0, now + 2s);
        CHECK(events.size() < 40);
        CHECK(events.size() > 5);
        CHECK(events.back().sequence > events.size());
    }
}

TEST_CASE("a stream is resumed, cancelled or moved without a second start")
{
    engine_model engine(engine_settings{}, 1);
    core::time_point now = start;
    const core::request_id id{{1}, 1};
    engine.start(make_request(1, 100, 50), {1}, now);
    std::vector<engine_event> events;
    engine.advance(now + 200ms, events);
    const std::uint32_t before = count_tokens(events, {1});
    REQUIRE(before > 0);
    REQUIRE(before < 50);
    now += 200ms;

    SUBCASE("a silent connection is replaced and loses no token")
    {
        engine.silence_connections();
        now += 100ms;
        engine.resume(id, before, {2}, now);
        const auto rest = run_until_idle(engine, now);
        CHECK(count_tokens(rest, {1}) == 0);
        CHECK(count_tokens(rest, {2}) == 50 - before);
        CHECK(only<engine_finished>(rest).size() == 1);
        CHECK(engine.counts().dispatches.at(id) == 1);
        CHECK(engine.counts().prefilled_tokens == 100);
    }
    SUBCASE("an answer that ended meanwhile is still there")
    {
        engine.disconnect({1}, now);
        run_until_idle(engine, now);
        engine.resume(id, before, {2}, now);
        const auto rest = run_until_idle(engine, now);
        CHECK(count_tokens(rest, {2}) == 50 - before);
    }
    SUBCASE("what is not resumed within the window is forgotten and counts as waste")
    {
        engine.disconnect({1}, now);
        run_until_idle(engine, now);
        now += 20s;
        engine.start(make_request(2, 1, 1), {2}, now);
        run_until_idle(engine, now);
        engine.resume(id, before, {3}, now);
        const auto rest = run_until_idle(engine, now);
        REQUIRE(only<engine_failed>(rest).size() == 1);
        CHECK(only<engine_failed>(rest)[0].failure == engine_failure::unknown_request);
        CHECK(engine.counts().wasted_prefill_tokens == 100);
    }
    SUBCASE("a cancelled request ends and its prefill is wasted")
    {
        engine.cancel(id, now);
        CHECK_FALSE(engine.live(id));
        CHECK(only<engine_finished>(run_until_idle(engine, now)).empty());
        CHECK(engine.counts().wasted_prefill_tokens == 100);
    }
    SUBCASE("its KV state goes on at another engine without a prefill")
    {
        const auto snapshot = engine.export_kv(id, now);
        REQUIRE(snapshot.has_value());
        CHECK_FALSE(engine.live(id));
        engine_model other(engine_settings{}, 2);
        other.import_kv(*snapshot, {5}, now);
        const auto rest = run_until_idle(other, now);
        CHECK(count_tokens(rest, {5}) == 50 - snapshot->produced);
        CHECK(other.counts().prefilled_tokens == 0);
        CHECK(other.counts().dispatches.empty());
    }
}

TEST_CASE("an engine fails as ordered")
{
    engine_settings settings;
    settings.version = {"v1"};
    engine_model engine(settings, 3);
    core::time_point now = start;

    SUBCASE("a refusing engine runs nothing")
    {
        engine.set_refusing(true);
        engine.start(make_request(1, 100, 10), {1}, now);
        const auto failures = only<engine_failed>(run_until_idle(engine, now));
        REQUIRE(failures.size() == 1);
        CHECK(failures[0].failure == engine_failure::not_run);
        CHECK(engine.counts().dispatches.empty());
    }
    SUBCASE("a slow engine takes so many times as long")
    {
        engine.set_faults({{.slow_factor = 3.0}});
        engine.start(make_request(1, 1000, 11), {1}, now);
        run_until_idle(engine, now);
        CHECK(now - start == 3 * (100ms + 10 * 20ms));
    }
    SUBCASE("a fault can hold for one version and one route only")
    {
        engine.set_faults({{.version = {"v1"}, .route = {"chat"}, .failure_rate = 1.0}});
        engine_request chat = make_request(1, 10, 5);
        chat.route = {"chat"};
        engine.start(chat, {1}, now);
        engine.start(make_request(2, 10, 5), {2}, now);
        const auto events = run_until_idle(engine, now);
        REQUIRE(only<engine_failed>(events).size() == 1);
        CHECK(only<engine_failed>(events)[0].stream == engine_stream{1});
        CHECK(only<engine_finished>(events).size() == 1);
    }
    SUBCASE("a paused engine takes later what came meanwhile")
    {
        engine.pause(now + 5s);
        engine.start(make_request(1, 100, 1), {1}, now);
        std::vector<engine_event> events;
        engine.advance(now + 4s, events);
        CHECK(events.empty());
        engine.advance(now + 6s, events);
        CHECK(only<engine_finished>(events).size() == 1);
    }
    SUBCASE("a crash loses everything")
    {
        engine.start(make_request(1, 100, 1000), {1}, now);
        std::vector<engine_event> events;
        engine.advance(now + 1s, events);
        engine.crash(now + 1s, true);
        events.clear();
        engine.advance(now + 1s, events);
        REQUIRE(only<engine_failed>(events).size() == 1);
        CHECK(only<engine_failed>(events)[0].failure == engine_failure::connection_lost);
        CHECK(engine.status({{1}, 1}).state == engine_request_state::unknown);
    }
}

TEST_CASE("an engine takes orders")
{
    engine_settings settings;
    settings.version = {"v1"};
    core::time_point now = start;
    const engine_order load_v2{{"llm"}, {"v2"}, {5}};

    SUBCASE("it refuses new work while it loads, then serves the new version")
    {
        engine_model engine(settings, 1);
        CHECK(engine.order(load_v2, now).serving.value == "v1");
        CHECK(engine.order(load_v2, now + 1s).serving.value == "v1");
        engine.start(make_request(1, 1, 1), {1}, now + 1s);
        now += 1s;
        CHECK(only<engine_failed>(run_until_idle(engine, now)).size() == 1);
        CHECK(engine.serving(now + 4s).value == "v2");
        CHECK(engine.order(load_v2, now + 5s).serving.value == "v2");
    }
    SUBCASE("an old fencing number is refused by an engine that checks it")
    {
        engine_model engine(settings, 1);
        engine.order(load_v2, now);
        CHECK(engine.order({{"llm"}, {"v1"}, {4}}, now + 6s).refused_as_stale);
    }
    SUBCASE("and carried out by one that does not")
    {
        settings.checks_fencing = false;
        engine_model engine(settings, 1);
        engine.order(load_v2, now);
        CHECK_FALSE(engine.order({{"llm"}, {"v1"}, {4}}, now + 6s).refused_as_stale);
        CHECK(engine.serving(now + 12s).value == "v1");
    }
}
