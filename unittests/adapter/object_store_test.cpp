#include "platform/object_codec.hpp"
#include "platform/object_store.hpp"
#include "platform/store_call.hpp"
#include "ragwortcove/http/server.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace ragwortcove;
using namespace ragwortcove::adapter;
using namespace std::chrono_literals;

static core::object tier(std::uint64_t revision)
{
    return {{core::object_kind::tier, "desk"}, {}, core::tier_spec{1}, {revision}};
}

static store_document stored_tier(std::uint64_t revision, std::string_view change_id)
{
    store_document made = write_object(tier(revision), change_id);
    made.at = {revision};
    return made;
}

static std::string changes(std::vector<document_change> all, std::uint64_t upto)
{
    return write_changes({std::move(all), {upto}});
}

namespace {

/// A store that answers each call as the test says, and the client under test.
struct fixture {
    fixture()
        : server(
              loop, {}, [this](auto exchange, auto&& request) { this->take(exchange, request); },
              [](auto) {}),
          platform(loop, settings_for(server.port()),
                   [this](core::event&& event) { this->keep(std::move(event)); })
    {
    }

    static object_store_settings settings_for(std::uint16_t port)
    {
        return {{"127.0.0.1", port}, 300ms, 200ms, 100ms};
    }

    void take(http::server_exchange exchange, const http::request& request)
    {
        const std::string target =
            request.query.empty() ? request.path : request.path + "?" + request.query;
        this->seen = read_store_call({request.method, target, request.body});
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
    template <class Call> const Call& call_seen() const { return std::get<Call>(*this->seen); }

    http::loop loop;
    std::optional<store_call> seen;
    std::function<void(http::server_exchange)> answer;
    std::vector<core::event> events;
    std::size_t wanted = 0;
    http::server server;
    object_store platform;
};

} // namespace

TEST_CASE("calls reach the store and its answers come back as results")
{
    fixture fake;
    const auto put = core::platform_put{tier(0), {4}, "c-9"};

    SUBCASE("an object is found or missing")
    {
        fake.respond_with(200, write_document(stored_tier(5, "c-1")));
        const auto found =
            std::get<core::platform_found>(fake.call(core::platform_get{tier(0).key}));
        CHECK(found.value == tier(5));
        CHECK(found.change_id == "c-1");
        CHECK(fake.call_seen<get_document>().name == "tier.desk");
        fake.respond_with(404, "");
        CHECK(std::holds_alternative<core::platform_missing>(
            fake.call(core::platform_get{tier(0).key})));
    }
    SUBCASE("every object is listed, page after page")
    {
        int pages = 0;
        fake.answer = [&](auto exchange) {
            const bool is_first = pages++ == 0;
            document_list part;
            part.at = {is_first ? 9U : 11U};
            part.documents = {stored_tier(5, "c-1")};
            if (!is_first)
                part.documents[0].name = "tier.guests";
            fake.server.respond(exchange, 200, "application/json", write_page(part, is_first));
        };
        const auto listed = std::get<core::platform_listed>(fake.call(core::platform_list{}));
        // What changed between the pages comes again with the watch that follows.
        CHECK(listed.at == core::revision{9});
        REQUIRE(listed.objects.size() == 2);
        CHECK(listed.objects[0] == tier(5));
        CHECK(listed.objects[1].key.name == "guests");
        CHECK(fake.call_seen<list_documents>().after == "tier.desk");
    }
    SUBCASE("an object that cannot be read is passed over")
    {
        document_list part;
        part.at = {9};
        part.documents = {stored_tier(5, "c-1"), stored_tier(6, "c-2")};
        part.documents[0].content = "rubbish";
        fake.respond_with(200, write_page(part));
        const auto listed = std::get<core::platform_listed>(fake.call(core::platform_list{}));
        CHECK(listed.objects == std::vector{tier(6)});
    }
    SUBCASE("a write carries its condition and its change")
    {
        fake.respond_with(200, write_document(stored_tier(6, "c-9")));
        CHECK(std::get<core::platform_written>(fake.call(put)).at == core::revision{6});
        const auto& call = fake.call_seen<replace_document>();
        CHECK(call.expected == core::revision{4});
        const auto object = read_object(call.document);
        REQUIRE(object.has_value());
        CHECK(object->change_id == "c-9");
        CHECK(object->value == tier(0));
    }
    SUBCASE("a write of what must not be there creates")
    {
        fake.respond_with(200, write_document(stored_tier(6, "c-9")));
        fake.call(core::platform_put{tier(0), {}, "c-9"});
        CHECK(fake.call_seen<create_document>().document.name == "tier.desk");
    }
    SUBCASE("a write over what is gone is a conflict with nothing")
    {
        fake.respond_with(404, "");
        const auto conflict = std::get<core::platform_conflict>(fake.call(put));
        CHECK_FALSE(conflict.current.has_value());
    }
    SUBCASE("claims are kept apart, under names of any bytes")
    {
        const core::object_key key{core::object_kind::claim, "a//..%2f&b ~"};
        fake.respond_with(200, "");
        const auto result = fake.call(core::platform_delete{key, {5}, "c-9"});
        CHECK(std::get<core::platform_written>(result).at == core::revision{5});
        const auto& call = fake.call_seen<remove_document>();
        CHECK(call.kind == store_name(document_kind::own_claims));
        CHECK(call.expected == core::revision{5});
        CHECK(read_document_name(call.name) == key);
    }
    SUBCASE("a conflict shows what stands there")
    {
        fake.respond_with(409, write_document(stored_tier(5, "c-2")));
        const auto conflict = std::get<core::platform_conflict>(fake.call(put));
        CHECK(conflict.current == tier(5));
        CHECK(conflict.current_change_id == "c-2");
    }
    SUBCASE("a refusal took no effect")
    {
        fake.respond_with(429, "", {{"retry-after", "2.5"}});
        CHECK(std::get<core::platform_throttled>(fake.call(put)).retry_after == 2500ms);
        fake.respond_with(503, "");
        CHECK(std::get<core::platform_throttled>(fake.call(put)).retry_after == 1s);
        fake.respond_with(400, "bad object");
        CHECK(std::get<core::platform_rejected>(fake.call(put)).message ==
              "the store refused the call with status 400");
    }
    SUBCASE("without a usable answer the platform is unreachable")
    {
        fake.respond_with(500, "");
        CHECK(std::holds_alternative<core::platform_unreachable>(fake.call(put)));
        fake.respond_with(200, "{\"meta\":");
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
    std::vector<std::uint64_t> asked_after;
    fake.answer = [&](auto exchange) {
        watch = exchange;
        asked_after.push_back(fake.call_seen<watch_documents>().after.value);
        if (asked_after.size() == 1)
            fake.server.respond(exchange, 200, "application/json",
                                changes({{stored_tier(8, "c"), false}}, 8));
    };
    fake.platform.start(core::open_watch{{7}});
    fake.run_until(1);
    const auto first = fake.event<core::watch_changed>(0).changes;
    CHECK(first.after == core::revision{7});
    CHECK(first.upto == core::revision{8});
    CHECK(first.changed == std::vector{tier(8)});

    SUBCASE("the next one goes on where it ended")
    {
        fake.loop.after(150ms, [&] {
            fake.server.respond(*watch, 200, "application/json",
                                changes({{stored_tier(9, "c"), true}}, 10));
        });
        fake.run_until(2);
        const auto second = fake.event<core::watch_changed>(1).changes;
        CHECK(second.after == core::revision{8});
        CHECK(second.upto == core::revision{10});
        REQUIRE(second.removed.size() == 1);
        CHECK(second.removed[0].key == tier(8).key);
        CHECK(second.removed[0].at == core::revision{9});
        CHECK(asked_after == std::vector<std::uint64_t>{7, 8});
    }
    SUBCASE("an object that cannot be read is passed over")
    {
        store_document bad = stored_tier(9, "c");
        bad.content = 5;
        fake.loop.after(150ms, [&] {
            fake.server.respond(*watch, 200, "application/json",
                                changes({{bad, false}, {stored_tier(10, "c"), false}}, 10));
        });
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
        fake.loop.after(150ms, [&] { fake.server.abort(*watch); });
        fake.run_until(2);
        CHECK_FALSE(fake.event<core::watch_ended>(1).must_list);
    }
    SUBCASE("a closed watch is not heard of again")
    {
        fake.platform.start(core::close_watch{});
        fake.respond_with(200, "");
        fake.call(core::platform_delete{tier(0).key, {5}, "c"});
        CHECK(fake.events.size() == 2);
    }
}

TEST_CASE("a position that the watch no longer covers asks for a list")
{
    fixture fake;
    fake.respond_with(410, "");
    fake.platform.start(core::open_watch{{7}});
    fake.run_until(1);
    CHECK(fake.event<core::watch_ended>(0).must_list);
}
