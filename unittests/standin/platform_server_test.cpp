#include "../http/loopback.hpp"
#include "platform/object_store.hpp"
#include "ragwortcove/standin/platform_server.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace ragwortcove;

namespace {

/// The platform's client against the server, both on one loop.
struct platform_pair {
    explicit platform_pair(const standin::platform_server_settings& settings = {})
        : server(loop, settings),
          client(loop, {{"127.0.0.1", server.port()}},
                 [this](core::event&& event) { this->events.push_back(std::move(event)); })
    {
    }

    core::platform_result call(const core::platform_request& request)
    {
        this->client.start(core::call_platform{{++this->calls}, request});
        REQUIRE(
            http::test::run_until(this->loop, [this] { return this->find_answer() != nullptr; }));
        return this->find_answer()->result;
    }

    const core::platform_answered* find_answer() const
    {
        for (const core::event& event : this->events) {
            const auto* answered = std::get_if<core::platform_answered>(&event);
            if (answered != nullptr && answered->call.value == this->calls) {
                return answered;
            }
        }
        return nullptr;
    }

    /// Names of the teams that the watch brought.
    std::vector<std::string> watched() const
    {
        std::vector<std::string> names;
        for (const core::event& event : this->events) {
            const auto* change = std::get_if<core::watch_changed>(&event);
            if (change == nullptr) {
                continue;
            }
            for (const core::object& object : change->changes.changed) {
                names.push_back(object.key.name);
            }
        }
        return names;
    }

    bool watch_ended() const
    {
        const auto ended = [](const core::event& event) {
            return std::holds_alternative<core::watch_ended>(event);
        };
        return std::any_of(this->events.begin(), this->events.end(), ended);
    }

    http::loop loop;
    standin::platform_server server;
    std::vector<core::event> events;
    std::uint64_t calls = 0;
    adapter::object_store client;
};

} // namespace

static core::platform_put put_team(const std::string& name, core::revision expected = {})
{
    core::platform_put put;
    put.value.key = {core::object_kind::team, name};
    put.value.spec = core::team_spec{2.0};
    put.expected = expected;
    put.change_id = "change-" + name;
    return put;
}

TEST_CASE("the platform is served over HTTP")
{
    platform_pair pair;
    REQUIRE(pair.server.listening());
    const auto written = pair.call(put_team("a"));
    REQUIRE(std::holds_alternative<core::platform_written>(written));

    SUBCASE("what was written can be read and listed")
    {
        const auto found = pair.call(core::platform_get{{core::object_kind::team, "a"}});
        REQUIRE(std::holds_alternative<core::platform_found>(found));
        CHECK(std::get<core::platform_found>(found).change_id == "change-a");
        const auto listed = pair.call(core::platform_list{});
        REQUIRE(std::holds_alternative<core::platform_listed>(listed));
        CHECK(std::get<core::platform_listed>(listed).objects.size() == 1);
    }
    SUBCASE("a failed condition shows the current object")
    {
        const auto conflict = pair.call(put_team("a"));
        REQUIRE(std::holds_alternative<core::platform_conflict>(conflict));
        CHECK(std::get<core::platform_conflict>(conflict).current.has_value());
    }
    SUBCASE("a removal needs the right revision")
    {
        const core::object_key key{core::object_kind::team, "a"};
        CHECK(std::holds_alternative<core::platform_conflict>(
            pair.call(core::platform_delete{key, {7}, "c"})));
        CHECK(std::holds_alternative<core::platform_written>(
            pair.call(core::platform_delete{key, {1}, "c"})));
        CHECK(std::holds_alternative<core::platform_missing>(pair.call(core::platform_get{key})));
    }
    SUBCASE("a watch brings what came before and what comes after")
    {
        pair.client.start(core::open_watch{{0}});
        REQUIRE(http::test::run_until(pair.loop, [&] { return pair.watched().size() == 1; }));
        pair.call(put_team("b"));
        REQUIRE(http::test::run_until(pair.loop, [&] { return pair.watched().size() == 2; }));
        CHECK(pair.watched()[1] == "b");
    }
    SUBCASE("a watch from a revision that is not there is gone")
    {
        pair.client.start(core::open_watch{{99}});
        REQUIRE(http::test::run_until(pair.loop, [&] { return pair.watch_ended(); }));
    }
}

TEST_CASE("the served platform fails as ordered")
{
    platform_pair pair;
    http::client orders(pair.loop, {});
    const auto order = [&](const std::string& body) {
        http::test::heard answer;
        orders.start(http::test::request_to(pair.server.port(), "POST", "/fault", body),
                     http::test::handlers_into(answer, [] {}));
        REQUIRE(http::test::run_until(pair.loop, [&] { return answer.over(); }));
        CHECK(answer.head.status == 200);
    };

    SUBCASE("an answer is lost after the write took effect")
    {
        order(R"({"kind":"lost_answers"})");
        CHECK(std::holds_alternative<core::platform_unreachable>(pair.call(put_team("a"))));
        order(R"({"kind":"none"})");
        CHECK(std::holds_alternative<core::platform_conflict>(pair.call(put_team("a"))));
    }
    SUBCASE("nothing takes effect while it is down")
    {
        order(R"({"kind":"down"})");
        CHECK(std::holds_alternative<core::platform_unreachable>(pair.call(put_team("a"))));
        order(R"({"kind":"none"})");
        CHECK(std::holds_alternative<core::platform_written>(pair.call(put_team("a"))));
    }
}

TEST_CASE("the served platform throttles")
{
    standin::platform_server_settings settings;
    settings.store.writes_per_second = 1.0;
    platform_pair pair(settings);
    pair.call(put_team("a"));
    const auto second = pair.call(put_team("b"));
    REQUIRE(std::holds_alternative<core::platform_throttled>(second));
    CHECK(std::get<core::platform_throttled>(second).retry_after == std::chrono::seconds{1});
}
