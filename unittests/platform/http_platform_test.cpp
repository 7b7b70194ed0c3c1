#include "ragwortcove/http/server.hpp"
#include "ragwortcove/platform/codec.hpp"
#include "ragwortcove/platform/http_platform.hpp"
#include "ragwortcove/platform/object_path.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace ragwortcove;
using namespace ragwortcove::platform;
using namespace std::chrono_literals;

static core::object tier(std::uint64_t revision)
{
    return {{core::object_kind::tier, "desk"}, {}, core::tier_spec{1}, {revision}};
}

namespace {

/// An object API that answers each request as the test says, and the client under test.
struct fixture {
    fixture()
        : server(
              loop, {}, [this](auto exchange, auto&& request) { this->take(exchange, request); },
              [](auto) {}),
          platform(loop, settings_for(server.port()),
                   [this](core::event&& event) { this->keep(std::move(event)); })
    {
    }

    static http_platform_settings settings_for(std::uint16_t port)
    {
        return {{"127.0.0.1", port}, 300ms, 300ms, 4};
    }

    void take(http::server_exchange exchange, const http::request& request)
    {
        this->seen = request;
        this->answer(exchange);
    }

    void keep(core::event&& event)
    {
        this->events.push_back(std::move(event));
        if (this->events.size() >= this->wanted)
            this->loop.stop();
    }

    /// Runs the loop until `count` events in all have come.
    void run_until(std::size_t count)
    {
        this->wanted = count;
        const auto limit = this->loop.after(5s, [this] { this->loop.stop(); });
        if (this->events.size() < count)
            this->loop.run();
        this->loop.cancel(limit);
        REQUIRE(this->events.size() >= count);
    }

    core::platform_result call(core::platform_request request)
    {
        this->platform.start(core::call_platform{{7}, std::move(request)});
        this->run_until(this->events.size() + 1);
        const auto& answered = std::get<core::platform_answered>(this->events.back());
        CHECK(answered.call == core::call_id{7});
        return answered.result;
    }

    void respond_with(int status, const std::string& body,
                      const std::vector<http::header>& headers = {})
    {
        this->answer = [=, this](auto exchange) {
            this->server.respond(exchange, status, "application/json", body, headers);
        };
    }

    template <class Event> const Event& event(std::size_t index)
    {
        return std::get<Event>(this->events.at(index));
    }

    http::loop loop;
    http::request seen;
    std::function<void(http::server_exchange)> answer;
    std::vector<core::event> events;
    std::size_t wanted = 0;
    http::server server;
    http_platform platform;
};

} // namespace

TEST_CASE("calls reach the object API and its answers come back as results")
{
    fixture fake;
    const auto put = core::platform_put{tier(0), {4}, "c-9"};

    SUBCASE("an object is found or missing")
    {
        fake.respond_with(200, encode_object(tier(5), "c-1"));
        const auto found =
            std::get<core::platform_found>(fake.call(core::platform_get{tier(0).key}));
        CHECK(found.value == tier(5));
        CHECK(found.change_id == "c-1");
        CHECK(fake.seen.method == "GET");
        CHECK(fake.seen.path == "/objects/tier/desk");
        fake.respond_with(404, encode_problem("no such object"));
        CHECK(std::holds_alternative<core::platform_missing>(
            fake.call(core::platform_get{tier(0).key})));
    }
    SUBCASE("every object is listed")
    {
        fake.respond_with(200, encode_list({{"s"}, {9}, {{tier(5), "c-1"}}}));
        const auto listed = std::get<core::platform_listed>(fake.call(core::platform_list{}));
        CHECK(listed.store == core::store_id{"s"});
        CHECK(listed.at == core::revision{9});
        CHECK(listed.objects == std::vector{tier(5)});
    }
    SUBCASE("a write carries its condition and its change")
    {
        fake.respond_with(200, encode_written({6}));
        CHECK(std::get<core::platform_written>(fake.call(put)).at == core::revision{6});
        CHECK(fake.seen.method == "PUT");
        CHECK(http::find_query_value(fake.seen.query, "expected") == "4");
        CHECK(http::find_query_value(fake.seen.query, "change") == "c-9");
        const auto body = decode_object(fake.seen.body);
        REQUIRE(body);
        CHECK(body->value == tier(0));
    }
    SUBCASE("a name that a path cannot carry arrives whole")
    {
        const core::object_key key{core::object_kind::claim, "a//..%2f&b"};
        fake.respond_with(200, encode_written({6}));
        CHECK(std::holds_alternative<core::platform_written>(
            fake.call(core::platform_delete{key, {5}, "c-9"})));
        CHECK(fake.seen.method == "DELETE");
        CHECK(parse_object_path(fake.seen.path, fake.seen.query) == key);
    }
    SUBCASE("a conflict shows what stands there")
    {
        fake.respond_with(409, encode_conflict({stored_object{tier(5), "c-2"}}));
        const auto conflict = std::get<core::platform_conflict>(fake.call(put));
        CHECK(conflict.current == tier(5));
        CHECK(conflict.current_change_id == "c-2");
    }
    SUBCASE("a refusal took no effect")
    {
        fake.respond_with(429, encode_problem("too many calls"), {{"retry-after", "3"}});
        CHECK(std::get<core::platform_throttled>(fake.call(put)).retry_after == 3s);
        fake.respond_with(400, encode_problem("bad object"));
        CHECK(std::get<core::platform_rejected>(fake.call(put)).message == "bad object");
    }
    SUBCASE("without a usable answer the platform is unreachable")
    {
        fake.respond_with(503, "");
        CHECK(std::holds_alternative<core::platform_unreachable>(fake.call(put)));
        fake.respond_with(200, "{\"revision\":");
        CHECK(std::holds_alternative<core::platform_unreachable>(fake.call(put)));
        fake.answer = [&](auto exchange) { fake.server.abort(exchange); };
        CHECK(std::holds_alternative<core::platform_unreachable>(fake.call(put)));
        fake.answer = [](auto) {};
        CHECK(std::holds_alternative<core::platform_unreachable>(fake.call(put)));
    }
    SUBCASE("an answer that trickles past the time limit does not hold the call")
    {
        fake.answer = [&](auto exchange) {
            fake.server.start_response(exchange, {200, {}, {}});
            fake.server.write(exchange, "{");
        };
        CHECK(std::holds_alternative<core::platform_unreachable>(fake.call(put)));
    }
}

TEST_CASE("a watch brings changes in revision order")
{
    fixture fake;
    std::optional<http::server_exchange> watch;
    fake.answer = [&](auto exchange) {
        watch = exchange;
        fake.server.start_response(exchange, {200, {}, {}});
        fake.server.write(exchange, encode_watch_line({{"s"}, {8}, tier(8)}) + "\n");
    };
    fake.platform.start(core::open_watch{{7}});
    fake.run_until(1);
    CHECK(fake.seen.path == "/watch");
    CHECK(http::find_query_value(fake.seen.query, "after") == "7");
    const auto first = fake.event<core::watch_changed>(0).changes;
    CHECK(first.store == core::store_id{"s"});
    CHECK(first.after == core::revision{7});
    CHECK(first.upto == core::revision{8});
    CHECK(first.changed == std::vector{tier(8)});

    SUBCASE("a line may come in parts")
    {
        const auto line = encode_watch_line({{"s"}, {9}, tier(8).key});
        fake.server.write(*watch, line.substr(0, 10));
        fake.loop.after(20ms, [&] { fake.server.write(*watch, line.substr(10) + "\n"); });
        fake.run_until(2);
        const auto second = fake.event<core::watch_changed>(1).changes;
        CHECK(second.after == core::revision{8});
        REQUIRE(second.removed.size() == 1);
        CHECK(second.removed[0].key == tier(8).key);
        CHECK(second.removed[0].at == core::revision{9});
    }
    SUBCASE("an object that cannot be read is passed over")
    {
        fake.server.write(*watch, "{\"store\":\"s\",\"revision\":9,\"object\":{}}\n" +
                                      encode_watch_line({{"s"}, {10}, tier(10)}) + "\n");
        fake.run_until(2);
        CHECK(fake.event<core::watch_changed>(1).changes.changed == std::vector{tier(10)});
    }
    SUBCASE("a silent watch ends")
    {
        fake.run_until(2);
        CHECK_FALSE(fake.event<core::watch_ended>(1).must_list);
    }
    SUBCASE("a cut watch ends")
    {
        fake.server.abort(*watch);
        fake.run_until(2);
        CHECK_FALSE(fake.event<core::watch_ended>(1).must_list);
    }
    SUBCASE("a closed watch is not heard of again")
    {
        fake.platform.start(core::close_watch{});
        fake.respond_with(200, encode_written({6}));
        fake.call(core::platform_delete{tier(0).key, {5}, "c"});
        CHECK(fake.events.size() == 2);
    }
}

TEST_CASE("a position that the watch no longer covers asks for a list")
{
    fixture fake;
    fake.respond_with(410, encode_problem("revision 7 is too old"));
    fake.platform.start(core::open_watch{{7}});
    fake.run_until(1);
    CHECK(fake.event<core::watch_ended>(0).must_list);
}
