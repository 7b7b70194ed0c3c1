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
    store_document document = write_object(tier(revision), change_id);
    document.at = {revision};
    return document;
}

static std::string changes(std::vector<document_change> list, std::uint64_t upto)
{
    return write_changes({std::move(list), {upto}});
}

namespace {

/// A store that responds to each call as the test determines, and the client under test.
struct fixture {
    fixture()
        : server(
              loop, {},
              [this](auto exchange, auto&& request) { this->handle_call(exchange, request); },
              [](auto) {}),
          platform(loop, settings_for(server.port()),
                   [this](core::event&& event) { this->record_event(std::move(event)); })
    {
    }

    static object_store_settings settings_for(std::uint16_t port)
    {
        return {{"127.0.0.1", port}, 300ms, 200ms, 100ms};
    }

    void handle_call(http::server_exchange exchange, const http::request& request)
    {
        const std::string target =
            request.query.empty() ? request.path : request.path + "?" + request.query;
        this->received_call = read_store_call({request.method, target, request.body});
        this->respond(exchange);
    }

    void record_event(core::event&& event)
    {
        this->events.push_back(std::move(event));
        if (this->events.size() >= this->expected_events)
            this->loop.stop();
    }

    /// Runs the loop until `count` events in total have been recorded.
    void run_until(std::size_t count)
    {
        this->expected_events = count;
        const auto timeout = this->loop.after(5s, [this] { this->loop.stop(); });
        if (this->events.size() < count)
            this->loop.run();
        this->loop.cancel(timeout);
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
        this->respond = [=, this](auto exchange) {
            this->server.respond(exchange, status, "application/json", body, headers);
        };
    }

    template <class Event> const Event& event(std::size_t index)
    {
        return std::get<Event>(this->events.at(index));
    }
    template <class Call> const Call& received_call_as() const
    {
        return std::get<Call>(*this->received_call);
    }

    http::loop loop;
    std::optional<store_call> received_call;
    std::function<void(http::server_exchange)> respond;
    std::vector<core::event> events;
    std::size_t expected_events = 0;
    http::server server;
    object_store platform;
};

} // namespace

TEST_CASE("calls reach the store and its responses become results")
{
    fixture store;
    const auto put = core::platform_put{tier(0), {4}, "c-9"};

    SUBCASE("a get finds an object or reports it as missing")
    {
        store.respond_with(200, write_document(stored_tier(5, "c-1")));
        const auto found =
            std::get<core::platform_found>(store.call(core::platform_get{tier(0).key}));
        CHECK(found.value == tier(5));
        CHECK(found.change_id == "c-1");
        CHECK(store.received_call_as<get_document>().name == "tier.desk");
        store.respond_with(404, "");
        CHECK(std::holds_alternative<core::platform_missing>(
            store.call(core::platform_get{tier(0).key})));
    }
    SUBCASE("all objects are listed, page by page")
    {
        int pages = 0;
        store.respond = [&](auto exchange) {
            const bool is_first = pages++ == 0;
            document_list part;
            part.at = {is_first ? 9U : 11U};
            part.documents = {stored_tier(5, "c-1")};
            if (!is_first)
                part.documents[0].name = "tier.guests";
            store.server.respond(exchange, 200, "application/json", write_page(part, is_first));
        };
        const auto listed = std::get<core::platform_listed>(store.call(core::platform_list{}));
        // The revision is the first page's: the watch that follows reports the changes made between
        // the pages.
        CHECK(listed.at == core::revision{9});
        REQUIRE(listed.objects.size() == 2);
        CHECK(listed.objects[0] == tier(5));
        CHECK(listed.objects[1].key.name == "guests");
        CHECK(store.received_call_as<list_documents>().after == "tier.desk");
    }
    SUBCASE("an unreadable object is skipped")
    {
        document_list part;
        part.at = {9};
        part.documents = {stored_tier(5, "c-1"), stored_tier(6, "c-2")};
        part.documents[0].content = "rubbish";
        store.respond_with(200, write_page(part));
        const auto listed = std::get<core::platform_listed>(store.call(core::platform_list{}));
        CHECK(listed.objects == std::vector{tier(6)});
    }
    SUBCASE("a write carries its condition and its change identifier")
    {
        store.respond_with(200, write_document(stored_tier(6, "c-9")));
        CHECK(std::get<core::platform_written>(store.call(put)).at == core::revision{6});
        const auto& call = store.received_call_as<replace_document>();
        CHECK(call.expected == core::revision{4});
        const auto object = read_object(call.document);
        REQUIRE(object.has_value());
        CHECK(object->change_id == "c-9");
        CHECK(object->value == tier(0));
    }
    SUBCASE("a write of an object that must not exist creates it")
    {
        store.respond_with(200, write_document(stored_tier(6, "c-9")));
        store.call(core::platform_put{tier(0), {}, "c-9"});
        CHECK(store.received_call_as<create_document>().document.name == "tier.desk");
    }
    SUBCASE("a write of a missing object is a conflict without a current object")
    {
        store.respond_with(404, "");
        const auto conflict = std::get<core::platform_conflict>(store.call(put));
        CHECK_FALSE(conflict.current.has_value());
    }
    SUBCASE("claims are stored as their own kind, under names of any bytes")
    {
        const core::object_key key{core::object_kind::claim, "a//..%2f&b ~"};
        store.respond_with(200, "");
        const auto result = store.call(core::platform_delete{key, {5}, "c-9"});
        CHECK(std::get<core::platform_written>(result).at == core::revision{5});
        const auto& call = store.received_call_as<remove_document>();
        CHECK(call.kind == store_name(document_kind::own_claims));
        CHECK(call.expected == core::revision{5});
        CHECK(read_document_name(call.name) == key);
    }
    SUBCASE("a conflict reports the stored object")
    {
        store.respond_with(409, write_document(stored_tier(5, "c-2")));
        const auto conflict = std::get<core::platform_conflict>(store.call(put));
        CHECK(conflict.current == tier(5));
        CHECK(conflict.current_change_id == "c-2");
    }
    SUBCASE("a throttled or rejected call is reported as such")
    {
        store.respond_with(429, "", {{"retry-after", "2.5"}});
        CHECK(std::get<core::platform_throttled>(store.call(put)).retry_after == 2500ms);
        store.respond_with(503, "");
        CHECK(std::get<core::platform_throttled>(store.call(put)).retry_after == 1s);
        store.respond_with(400, "bad object");
        CHECK(std::get<core::platform_rejected>(store.call(put)).message ==
              "the store refused the call with status 400");
    }
    SUBCASE("without a usable response the platform is unreachable")
    {
        store.respond_with(500, "");
        CHECK(std::holds_alternative<core::platform_unreachable>(store.call(put)));
        store.respond_with(200, "{\"meta\":");
        CHECK(std::holds_alternative<core::platform_unreachable>(store.call(put)));
        store.respond = [&](auto exchange) { store.server.abort(exchange); };
        CHECK(std::holds_alternative<core::platform_unreachable>(store.call(put)));
        store.respond = [](auto) {};
        CHECK(std::holds_alternative<core::platform_unreachable>(store.call(put)));
    }
    SUBCASE("a response that is incomplete at the time-out ends the call")
    {
        store.respond = [&](auto exchange) {
            store.server.start_response(exchange, {200, {}, {}});
            store.server.write(exchange, "{");
        };
        CHECK(std::holds_alternative<core::platform_unreachable>(store.call(put)));
    }
}

TEST_CASE("a watch reports changes in revision order")
{
    fixture store;
    std::optional<http::server_exchange> watch;
    std::vector<std::uint64_t> requested_revisions;
    store.respond = [&](auto exchange) {
        watch = exchange;
        requested_revisions.push_back(store.received_call_as<watch_documents>().after.value);
        if (requested_revisions.size() == 1)
            store.server.respond(exchange, 200, "application/json",
                                 changes({{stored_tier(8, "c"), false}}, 8));
    };
    store.platform.start(core::open_watch{{7}});
    store.run_until(1);
    const auto first = store.event<core::watch_changed>(0).changes;
    CHECK(first.after == core::revision{7});
    CHECK(first.upto == core::revision{8});
    CHECK(first.changed == std::vector{tier(8)});

    SUBCASE("the next watch continues where the last one ended")
    {
        store.loop.after(150ms, [&] {
            store.server.respond(*watch, 200, "application/json",
                                 changes({{stored_tier(9, "c"), true}}, 10));
        });
        store.run_until(2);
        const auto second = store.event<core::watch_changed>(1).changes;
        CHECK(second.after == core::revision{8});
        CHECK(second.upto == core::revision{10});
        REQUIRE(second.removed.size() == 1);
        CHECK(second.removed[0].key == tier(8).key);
        CHECK(second.removed[0].at == core::revision{9});
        CHECK(requested_revisions == std::vector<std::uint64_t>{7, 8});
    }
    SUBCASE("an unreadable object is skipped")
    {
        store_document unreadable = stored_tier(9, "c");
        unreadable.content = 5;
        store.loop.after(150ms, [&] {
            store.server.respond(*watch, 200, "application/json",
                                 changes({{unreadable, false}, {stored_tier(10, "c"), false}}, 10));
        });
        store.run_until(2);
        CHECK(store.event<core::watch_changed>(1).changes.changed == std::vector{tier(10)});
    }
    SUBCASE("a watch without a response ends")
    {
        store.run_until(2);
        CHECK_FALSE(store.event<core::watch_ended>(1).must_list);
    }
    SUBCASE("a watch whose connection breaks ends")
    {
        store.loop.after(150ms, [&] { store.server.abort(*watch); });
        store.run_until(2);
        CHECK_FALSE(store.event<core::watch_ended>(1).must_list);
    }
    SUBCASE("a closed watch reports nothing more")
    {
        store.platform.start(core::close_watch{});
        store.respond_with(200, "");
        store.call(core::platform_delete{tier(0).key, {5}, "c"});
        CHECK(store.events.size() == 2);
    }
}

TEST_CASE("a watch from an expired revision ends with a request to list")
{
    fixture store;
    store.respond_with(410, "");
    store.platform.start(core::open_watch{{7}});
    store.run_until(1);
    CHECK(store.event<core::watch_ended>(0).must_list);
}
