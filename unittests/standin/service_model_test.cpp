#include "ragwortcove/standin/service_model.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace ragwortcove;
using namespace ragwortcove::standin;
using namespace std::chrono_literals;

static std::vector<service_event> run_until_idle(service_model& service, core::time_point& now)
{
    std::vector<service_event> events;
    while (service.next_event_at() != core::time_point::max()) {
        now = std::max(now, service.next_event_at());
        service.advance(now, events);
    }
    return events;
}

static service_failure failure_of(const std::vector<service_event>& events)
{
    REQUIRE(events.size() == 1);
    REQUIRE(std::holds_alternative<service_failed>(events[0]));
    return std::get<service_failed>(events[0]).failure;
}

TEST_CASE("a service runs calls and counts each key")
{
    service_settings settings;
    settings.slots = 1;
    settings.queue_limit = 1;
    service_model service(settings, 1);
    core::time_point now{};
    const service_call admission{{{1}, 1}, "admission-1"};

    SUBCASE("a call is answered after its service time")
    {
        service.start(admission, {1}, now);
        const auto events = run_until_idle(service, now);
        REQUIRE(events.size() == 1);
        CHECK(std::get<service_answered>(events[0]).bytes == settings.answer_bytes);
        CHECK(now.time_since_epoch() >= settings.least_service_time);
        CHECK(service.counts().runs_by_key.at("admission-1") == 1);
    }
    SUBCASE("the same key twice runs twice: the service does not protect it")
    {
        service.start(admission, {1}, now);
        run_until_idle(service, now);
        service.start(admission, {2}, now);
        run_until_idle(service, now);
        CHECK(service.counts().runs_by_key.at("admission-1") == 2);
    }
    SUBCASE("a call beyond the queue is refused and does not run")
    {
        for (std::uint64_t stream = 1; stream <= 3; ++stream) {
            service.start({{{1}, stream}, {}}, {stream}, now);
        }
        const auto events = run_until_idle(service, now);
        CHECK(events.size() == 3);
        CHECK(service.counts().runs == 2);
    }
    SUBCASE("a client that leaves takes a waiting call with it, a running one goes on")
    {
        service.start({{{1}, 1}, "running"}, {1}, now);
        service.start({{{1}, 2}, "waiting"}, {2}, now);
        service.disconnect({1});
        service.disconnect({2});
        CHECK(run_until_idle(service, now).empty());
        CHECK(service.counts().runs_by_key.count("running") == 1);
        CHECK(service.counts().runs_by_key.count("waiting") == 0);
    }
}

TEST_CASE("a service fails as ordered")
{
    service_model service(service_settings{}, 1);
    core::time_point now{};
    const service_call payment{{{1}, 1}, "payment-1"};

    SUBCASE("a refusal is truly not run")
    {
        service.set_faults({.refusal_rate = 1.0});
        service.start(payment, {1}, now);
        CHECK(failure_of(run_until_idle(service, now)) == service_failure::not_run);
        CHECK(service.counts().runs_by_key.empty());
    }
    SUBCASE("a failure before running leaves no effect")
    {
        service.set_faults({.failure_rate = 1.0});
        service.start(payment, {1}, now);
        CHECK(failure_of(run_until_idle(service, now)) == service_failure::error_answer);
        CHECK(service.counts().runs_by_key.empty());
    }
    SUBCASE("a lost answer has run")
    {
        service.set_faults({.lost_answer_rate = 1.0});
        service.start(payment, {1}, now);
        CHECK(failure_of(run_until_idle(service, now)) == service_failure::connection_lost);
        CHECK(service.counts().runs_by_key.at("payment-1") == 1);
    }
    SUBCASE("a silent one has run, and nobody hears of it")
    {
        service.set_faults({.silent_rate = 1.0});
        service.start(payment, {1}, now);
        CHECK(run_until_idle(service, now).empty());
        CHECK(service.counts().runs_by_key.at("payment-1") == 1);
    }
    SUBCASE("a crash loses the calls that have not run")
    {
        service.start(payment, {1}, now);
        service.crash(now, true);
        CHECK(failure_of(run_until_idle(service, now)) == service_failure::connection_lost);
        CHECK(service.counts().runs_by_key.empty());
    }
}
