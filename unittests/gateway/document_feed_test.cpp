#include "../http/loopback.hpp"
#include "ragwortcove/gateway/document_feed.hpp"
#include "ragwortcove/http/inbound.hpp"

#include <doctest/doctest.h>

#include <memory>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using adapter::document_kind;
using http::test::run_until;

namespace {

/// A small store on the loop: documents of both kinds, and watches that wait.
struct small_store {
    http::loop& event_loop;
    std::unique_ptr<http::inbound_server> server;
    std::uint64_t revision = 10;
    std::map<std::string, std::map<std::string, std::uint64_t>> documents;
    /// Watches that wait, with the revision that they know.
    std::vector<std::pair<http::inbound_exchange, std::string>> waiting;
    /// Changes that no waiting watch hears of.
    std::map<std::string, std::string> unheard;
    int lists = 0;
    int watches = 0;
    /// Status that every call gets instead, if any.
    int turned_away = 0;

    explicit small_store(http::loop& loop) : event_loop(loop)
    {
        http::inbound_handlers handlers;
        handlers.requested = [this](http::inbound_exchange id, http::inbound_request&& request) {
            this->take(id, request.head.target);
        };
        handlers.abandoned = [this](http::inbound_exchange id) {
            std::erase_if(this->waiting, [id](const auto& each) { return each.first == id; });
        };
        this->server =
            std::make_unique<http::inbound_server>(loop, http::socket_address{"127.0.0.1", 0},
                                                   http::inbound_limits{}, std::move(handlers));
    }

    static std::string document(const std::string& name, std::uint64_t at)
    {
        return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(at) +
               R"(},"spec":{"x":1}})";
    }
    [[nodiscard]] core::revision revision_now() const { return {this->revision}; }
    void answer(http::inbound_exchange id, const std::string& body)
    {
        this->server->respond(id, 200, {}, body);
    }
    void take(http::inbound_exchange id, const std::string& target)
    {
        const std::string path = target.substr(0, target.find('?'));
        const std::string kind = path.substr(path.rfind('/') + 1);
        if (this->turned_away != 0) {
            this->server->respond(id, this->turned_away, {}, "");
            return;
        }
        if (target.find("watch=") != std::string::npos) {
            ++this->watches;
            if (target.find("wait_ms=0") == std::string::npos)
                this->waiting.emplace_back(id, kind);
            else
                this->answer(id, R"({"events":[)" + this->unheard[kind] + R"(],"current_rev":)" +
                                     std::to_string(this->revision) + "}");
            return;
        }
        ++this->lists;
        std::string entries;
        for (const auto& [name, at] : this->documents[kind])
            entries += (entries.empty() ? "" : ",") + document(name, at);
        this->answer(id, R"({"entries":[)" + entries + R"(],"has_more":false,"current_rev":)" +
                             std::to_string(this->revision) + "}");
    }
    /// Changes a document and tells the watches of its kind that wait.
    void put(const std::string& kind, const std::string& name)
    {
        this->documents[kind][name] = ++this->revision;
        this->tell(kind, R"({"removed":false,"object":)" + document(name, this->revision) + "}");
    }
    /// Changes a document while every watch is silent.
    void put_silently(const std::string& kind, const std::string& name)
    {
        this->documents[kind][name] = ++this->revision;
        this->unheard[kind] =
            R"({"removed":false,"object":)" + document(name, this->revision) + "}";
    }
    void remove(const std::string& kind, const std::string& name)
    {
        this->documents[kind].erase(name);
        ++this->revision;
        this->tell(kind, R"({"removed":true,"object":)" + document(name, this->revision) + "}");
    }
    void tell(const std::string& kind, const std::string& event)
    {
        const auto told = this->waiting;
        for (const auto& [id, of] : told) {
            if (of != kind)
                continue;
            std::erase_if(this->waiting, [id = id](const auto& each) { return each.first == id; });
            this->answer(id, R"({"events":[)" + event + R"(],"current_rev":)" +
                                 std::to_string(this->revision) + "}");
        }
    }
};

struct feed_before_store {
    http::loop event_loop;
    small_store store{event_loop};
    http::outbound_client connections{event_loop, 5s};
    adapter::store_client client{event_loop, connections, {{"127.0.0.1", store.server->port()}}};
    std::vector<document_update> updates;
    std::vector<bool> store_changes;
    std::vector<document_delta> announced;
    bool reads = true;
    std::unique_ptr<document_feed> feed;

    void start()
    {
        document_feed_handlers handlers;
        handlers.updated = [this](const document_update& update) {
            this->updates.push_back(update);
        };
        handlers.store_availability_changed = [this](bool answers) {
            this->store_changes.push_back(answers);
        };
        handlers.announce = [this](const document_delta& delta) {
            this->announced.push_back(delta);
        };
        this->feed =
            std::make_unique<document_feed>(this->event_loop, this->client, 7, std::move(handlers));
        this->feed->set_reading(this->reads);
    }
    bool until(const std::function<bool()>& done) { return run_until(this->event_loop, done, 5s); }
    void pass(std::chrono::milliseconds time)
    {
        static_cast<void>(run_until(
            this->event_loop, [] { return false; }, time));
    }
};

} // namespace

TEST_CASE("a feed reads all documents, and then what changes")
{
    feed_before_store fixture;
    fixture.store.documents["config"]["main"] = 4;
    fixture.start();
    REQUIRE(fixture.until(
        [&] { return fixture.feed->is_complete() && fixture.store.waiting.size() == 2; }));
    CHECK(fixture.feed->revision_of(document_kind::rules).value == 4);
    // One for each kind, though there are no upstreams yet.
    CHECK(fixture.updates.size() == 2);

    SUBCASE("a change comes with the watch")
    {
        fixture.store.put("config", "main");
        REQUIRE(fixture.until(
            [&] { return fixture.feed->revision_of(document_kind::rules).value == 11; }));
        CHECK(fixture.updates.back().documents.size() == 1);
        CHECK_FALSE(fixture.updates.back().is_full_list);
    }
    SUBCASE("so does a removal")
    {
        fixture.store.put("servers", "i-1");
        REQUIRE(fixture.until(
            [&] { return fixture.updates.size() == 3 && fixture.store.waiting.size() == 2; }));
        fixture.store.remove("servers", "i-1");
        REQUIRE(fixture.until([&] { return fixture.updates.size() == 4; }));
        CHECK(fixture.updates.back().removed == std::vector<std::string>{"i-1"});
        CHECK(fixture.feed->all_documents(document_kind::upstreams).documents.empty());
    }
    SUBCASE("many changes in a row cost few calls")
    {
        for (int count = 0; count < 100; ++count) {
            fixture.store.put("servers", "i-" + std::to_string(count));
            fixture.pass(5ms);
        }
        // A change that found no watch waiting is in the next list or watch of a real store.
        CHECK(fixture.store.watches <= 20);
    }
    SUBCASE("a store that turns the node away is asked again, and its history may be gone")
    {
        fixture.store.turned_away = 410;
        fixture.store.put("config", "main");
        fixture.pass(300ms);
        fixture.store.turned_away = 503;
        fixture.pass(300ms);
        CHECK_FALSE(fixture.feed->is_store_available());
        CHECK(fixture.store_changes.front() == false);
        fixture.store.documents["config"]["main"] = ++fixture.store.revision;
        fixture.store.turned_away = 0;
        REQUIRE(fixture.until([&] { return fixture.feed->is_store_available(); }));
        CHECK(fixture.feed->revision_of(document_kind::rules).value == fixture.store.revision);
    }
}

TEST_CASE("a node that the store turns away learns from another node")
{
    feed_before_store fixture;
    fixture.store.documents["config"]["main"] = 4;
    fixture.start();
    REQUIRE(fixture.until(
        [&] { return fixture.feed->is_complete() && fixture.store.waiting.size() == 2; }));
    small_store other(fixture.event_loop);
    other.documents["config"]["main"] = 20;
    other.revision = 20;
    const http::socket_address address{"127.0.0.1", other.server->port()};

    SUBCASE("that has a newer revision")
    {
        fixture.feed->on_peer_revision(document_kind::rules, {20}, address);
        REQUIRE(fixture.until(
            [&] { return fixture.feed->revision_of(document_kind::rules).value == 20; }));
        CHECK(other.lists == 1);
    }
    SUBCASE("it does not ask one that has none")
    {
        fixture.feed->on_peer_revision(document_kind::rules, {4}, address);
        fixture.pass(200ms);
        CHECK(other.lists == 0);
    }
    SUBCASE("what is older than what is in force changes nothing")
    {
        fixture.store.revision = 30;
        fixture.store.put("config", "main");
        REQUIRE(fixture.until(
            [&] { return fixture.feed->revision_of(document_kind::rules).value == 31; }));
        fixture.feed->on_peer_revision(document_kind::rules, {40}, address);
        fixture.pass(300ms);
        CHECK(fixture.feed->revision_of(document_kind::rules).value == 31);
    }
}

TEST_CASE("a reader passes on what it has read")
{
    feed_before_store fixture;
    fixture.store.documents["servers"]["i-1"] = 4;
    fixture.start();
    REQUIRE(fixture.until(
        [&] { return fixture.feed->is_complete() && fixture.store.waiting.size() == 2; }));
    CHECK(fixture.feed->is_healthy_reader());
    // What it starts with is no news.
    CHECK(fixture.announced.empty());

    SUBCASE("a change, with the revision that it follows")
    {
        fixture.store.put("servers", "i-2");
        REQUIRE(fixture.until([&] { return fixture.announced.size() == 1; }));
        CHECK(fixture.announced[0].kind == document_kind::upstreams);
        CHECK(fixture.announced[0].base_revision.value == 4);
        CHECK(fixture.announced[0].changes.upto.value == 11);
    }
    SUBCASE("what it finds changed after the store was away")
    {
        fixture.store.turned_away = 503;
        fixture.store.put("config", "main");
        fixture.store.tell("servers", "");
        fixture.pass(300ms);
        CHECK_FALSE(fixture.feed->is_healthy_reader());
        fixture.store.documents["servers"].clear();
        fixture.store.documents["servers"]["i-3"] = ++fixture.store.revision;
        fixture.store.turned_away = 0;
        REQUIRE(fixture.until([&] { return fixture.feed->is_healthy_reader(); }));
        const document_delta& found = fixture.announced.back();
        REQUIRE(found.changes.changes.size() == 2);
        CHECK(found.changes.changes[0].removed);
        CHECK(found.changes.changes[0].document.name == "i-1");
        CHECK(found.changes.changes[1].document.name == "i-3");
    }
    SUBCASE("it stops when others read")
    {
        fixture.feed->set_reading(false);
        fixture.store.put("servers", "i-2");
        fixture.pass(200ms);
        CHECK(fixture.announced.empty());
        CHECK(fixture.feed->revision_of(document_kind::upstreams).value == 4);
        fixture.feed->set_reading(true);
        REQUIRE(fixture.until(
            [&] { return fixture.feed->revision_of(document_kind::upstreams).value == 11; }));
    }
}

TEST_CASE("a node that does not read takes what readers pass on")
{
    feed_before_store fixture;
    fixture.reads = false;
    fixture.store.documents["servers"]["i-1"] = 4;
    fixture.start();
    REQUIRE(fixture.until([&] { return fixture.feed->is_complete(); }));
    fixture.pass(150ms);
    CHECK(fixture.store.watches == 0);
    CHECK(fixture.store.lists == 2);
    small_store other(fixture.event_loop);
    const http::socket_address address{"127.0.0.1", other.server->port()};
    const auto change = [](const std::string& name, std::uint64_t at, bool removed) {
        adapter::document_change made;
        made.document.name = name;
        made.document.at = {at};
        made.removed = removed;
        return made;
    };

    SUBCASE("a change that follows what it has")
    {
        fixture.feed->on_peer_delta(
            {document_kind::upstreams, {4}, {{change("i-2", 12, false)}, {12}}}, address);
        CHECK(fixture.feed->revision_of(document_kind::upstreams).value == 12);
        CHECK(fixture.updates.back().documents.size() == 1);
        fixture.feed->on_peer_delta(
            {document_kind::upstreams, {12}, {{change("i-1", 13, true)}, {13}}}, address);
        CHECK(fixture.feed->all_documents(document_kind::upstreams).documents.size() == 1);
        // It is not its business to pass it on.
        CHECK(fixture.announced.empty());
        CHECK(fixture.store.lists == 2);
    }
    SUBCASE("the same change from the next reader is nothing new, nor is an older one")
    {
        fixture.feed->on_peer_delta(
            {document_kind::upstreams, {4}, {{change("i-1", 13, true)}, {13}}}, address);
        const std::size_t before = fixture.updates.size();
        fixture.feed->on_peer_delta(
            {document_kind::upstreams, {4}, {{change("i-1", 13, true)}, {13}}}, address);
        fixture.feed->on_peer_delta(
            {document_kind::upstreams, {4}, {{change("i-1", 12, false)}, {12}}}, address);
        CHECK(fixture.updates.size() == before);
        CHECK(fixture.feed->all_documents(document_kind::upstreams).documents.empty());
    }
    SUBCASE("a gap sends it to the store")
    {
        fixture.store.put("servers", "i-2");
        fixture.store.put("servers", "i-3");
        fixture.feed->on_peer_delta(
            {document_kind::upstreams, {11}, {{change("i-3", 12, false)}, {12}}}, address);
        CHECK(fixture.feed->revision_of(document_kind::upstreams).value == 4);
        REQUIRE(fixture.until(
            [&] { return fixture.feed->revision_of(document_kind::upstreams).value == 12; }));
        CHECK(fixture.feed->all_documents(document_kind::upstreams).documents.size() == 3);
        CHECK(other.lists == 0);
    }
    SUBCASE("a storm of changes costs few calls")
    {
        for (std::uint64_t count = 0; count != 20; ++count) {
            fixture.store.put("config", "main");
            fixture.feed->on_peer_revision(document_kind::rules, fixture.store.revision_now(),
                                           address);
            fixture.pass(50ms);
        }
        fixture.pass(500ms);
        CHECK(fixture.feed->revision_of(document_kind::rules) == fixture.store.revision_now());
        CHECK(fixture.store.lists <= 2 + 4);
    }
    SUBCASE("and to the reader when the store turns it away")
    {
        fixture.store.turned_away = 503;
        other.documents["servers"]["i-9"] = 20;
        other.revision = 20;
        fixture.feed->on_peer_revision(document_kind::upstreams, {20}, address);
        REQUIRE(fixture.until(
            [&] { return fixture.feed->revision_of(document_kind::upstreams).value == 20; }));
        CHECK(other.lists == 1);
        CHECK(fixture.store_changes == std::vector<bool>{false});
    }
    SUBCASE("an audit finds what every reader has missed, and tells the others")
    {
        fixture.store.put_silently("servers", "i-2");
        fixture.feed->audit();
        REQUIRE(fixture.until(
            [&] { return fixture.feed->revision_of(document_kind::upstreams).value == 11; }));
        REQUIRE(fixture.announced.size() == 1);
        CHECK(fixture.announced[0].base_revision.value == 4);
        CHECK(fixture.store.lists == 2);
    }
}

} // namespace ragwortcove::gateway
