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
    http::loop& on;
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

    explicit small_store(http::loop& loop) : on(loop)
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
    http::loop on;
    small_store store{on};
    http::outbound_client connections{on, 5s};
    adapter::store_client client{on, connections, {{"127.0.0.1", store.server->port()}}};
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
        handlers.store_changed = [this](bool answers) { this->store_changes.push_back(answers); };
        handlers.announce = [this](const document_delta& delta) {
            this->announced.push_back(delta);
        };
        this->feed =
            std::make_unique<document_feed>(this->on, this->client, 7, std::move(handlers));
        this->feed->set_reading(this->reads);
    }
    bool until(const std::function<bool()>& done) { return run_until(this->on, done, 5s); }
    void pass(std::chrono::milliseconds time)
    {
        static_cast<void>(run_until(
            this->on, [] { return false; }, time));
    }
};

} // namespace

TEST_CASE("a feed reads all documents, and then what changes")
{
    feed_before_store on;
    on.store.documents["config"]["main"] = 4;
    on.start();
    REQUIRE(on.until([&] { return on.feed->complete() && on.store.waiting.size() == 2; }));
    CHECK(on.feed->at(document_kind::rules).value == 4);
    // One for each kind, though there are no upstreams yet.
    CHECK(on.updates.size() == 2);

    SUBCASE("a change comes with the watch")
    {
        on.store.put("config", "main");
        REQUIRE(on.until([&] { return on.feed->at(document_kind::rules).value == 11; }));
        CHECK(on.updates.back().documents.size() == 1);
        CHECK_FALSE(on.updates.back().whole);
    }
    SUBCASE("so does a removal")
    {
        on.store.put("servers", "i-1");
        REQUIRE(on.until([&] { return on.updates.size() == 3 && on.store.waiting.size() == 2; }));
        on.store.remove("servers", "i-1");
        REQUIRE(on.until([&] { return on.updates.size() == 4; }));
        CHECK(on.updates.back().removed == std::vector<std::string>{"i-1"});
        CHECK(on.feed->all(document_kind::upstreams).documents.empty());
    }
    SUBCASE("many changes in a row cost few calls")
    {
        for (int count = 0; count < 100; ++count) {
            on.store.put("servers", "i-" + std::to_string(count));
            on.pass(5ms);
        }
        // A change that found no watch waiting is in the next list or watch of a real store.
        CHECK(on.store.watches <= 20);
    }
    SUBCASE("a store that turns the node away is asked again, and its history may be gone")
    {
        on.store.turned_away = 410;
        on.store.put("config", "main");
        on.pass(300ms);
        on.store.turned_away = 503;
        on.pass(300ms);
        CHECK_FALSE(on.feed->store_answers());
        CHECK(on.store_changes.front() == false);
        on.store.documents["config"]["main"] = ++on.store.revision;
        on.store.turned_away = 0;
        REQUIRE(on.until([&] { return on.feed->store_answers(); }));
        CHECK(on.feed->at(document_kind::rules).value == on.store.revision);
    }
}

TEST_CASE("a node that the store turns away learns from another node")
{
    feed_before_store on;
    on.store.documents["config"]["main"] = 4;
    on.start();
    REQUIRE(on.until([&] { return on.feed->complete() && on.store.waiting.size() == 2; }));
    small_store other(on.on);
    other.documents["config"]["main"] = 20;
    other.revision = 20;
    const http::socket_address address{"127.0.0.1", other.server->port()};

    SUBCASE("that has a newer revision")
    {
        on.feed->heard(document_kind::rules, {20}, address);
        REQUIRE(on.until([&] { return on.feed->at(document_kind::rules).value == 20; }));
        CHECK(other.lists == 1);
    }
    SUBCASE("it does not ask one that has none")
    {
        on.feed->heard(document_kind::rules, {4}, address);
        on.pass(200ms);
        CHECK(other.lists == 0);
    }
    SUBCASE("what is older than what is in force changes nothing")
    {
        on.store.revision = 30;
        on.store.put("config", "main");
        REQUIRE(on.until([&] { return on.feed->at(document_kind::rules).value == 31; }));
        on.feed->heard(document_kind::rules, {40}, address);
        on.pass(300ms);
        CHECK(on.feed->at(document_kind::rules).value == 31);
    }
}

TEST_CASE("a reader passes on what it has read")
{
    feed_before_store on;
    on.store.documents["servers"]["i-1"] = 4;
    on.start();
    REQUIRE(on.until([&] { return on.feed->complete() && on.store.waiting.size() == 2; }));
    CHECK(on.feed->is_sound_reader());
    // What it starts with is no news.
    CHECK(on.announced.empty());

    SUBCASE("a change, with the revision that it follows")
    {
        on.store.put("servers", "i-2");
        REQUIRE(on.until([&] { return on.announced.size() == 1; }));
        CHECK(on.announced[0].kind == document_kind::upstreams);
        CHECK(on.announced[0].after.value == 4);
        CHECK(on.announced[0].changes.upto.value == 11);
    }
    SUBCASE("what it finds changed after the store was away")
    {
        on.store.turned_away = 503;
        on.store.put("config", "main");
        on.store.tell("servers", "");
        on.pass(300ms);
        CHECK_FALSE(on.feed->is_sound_reader());
        on.store.documents["servers"].clear();
        on.store.documents["servers"]["i-3"] = ++on.store.revision;
        on.store.turned_away = 0;
        REQUIRE(on.until([&] { return on.feed->is_sound_reader(); }));
        const document_delta& found = on.announced.back();
        REQUIRE(found.changes.changes.size() == 2);
        CHECK(found.changes.changes[0].removed);
        CHECK(found.changes.changes[0].document.name == "i-1");
        CHECK(found.changes.changes[1].document.name == "i-3");
    }
    SUBCASE("it stops when others read")
    {
        on.feed->set_reading(false);
        on.store.put("servers", "i-2");
        on.pass(200ms);
        CHECK(on.announced.empty());
        CHECK(on.feed->at(document_kind::upstreams).value == 4);
        on.feed->set_reading(true);
        REQUIRE(on.until([&] { return on.feed->at(document_kind::upstreams).value == 11; }));
    }
}

TEST_CASE("a node that does not read takes what readers pass on")
{
    feed_before_store on;
    on.reads = false;
    on.store.documents["servers"]["i-1"] = 4;
    on.start();
    REQUIRE(on.until([&] { return on.feed->complete(); }));
    on.pass(150ms);
    CHECK(on.store.watches == 0);
    CHECK(on.store.lists == 2);
    small_store other(on.on);
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
        on.feed->heard({document_kind::upstreams, {4}, {{change("i-2", 12, false)}, {12}}},
                       address);
        CHECK(on.feed->at(document_kind::upstreams).value == 12);
        CHECK(on.updates.back().documents.size() == 1);
        on.feed->heard({document_kind::upstreams, {12}, {{change("i-1", 13, true)}, {13}}},
                       address);
        CHECK(on.feed->all(document_kind::upstreams).documents.size() == 1);
        // It is not its business to pass it on.
        CHECK(on.announced.empty());
        CHECK(on.store.lists == 2);
    }
    SUBCASE("the same change from the next reader is nothing new, nor is an older one")
    {
        on.feed->heard({document_kind::upstreams, {4}, {{change("i-1", 13, true)}, {13}}}, address);
        const std::size_t before = on.updates.size();
        on.feed->heard({document_kind::upstreams, {4}, {{change("i-1", 13, true)}, {13}}}, address);
        on.feed->heard({document_kind::upstreams, {4}, {{change("i-1", 12, false)}, {12}}},
                       address);
        CHECK(on.updates.size() == before);
        CHECK(on.feed->all(document_kind::upstreams).documents.empty());
    }
    SUBCASE("a gap sends it to the store")
    {
        on.store.put("servers", "i-2");
        on.store.put("servers", "i-3");
        on.feed->heard({document_kind::upstreams, {11}, {{change("i-3", 12, false)}, {12}}},
                       address);
        CHECK(on.feed->at(document_kind::upstreams).value == 4);
        REQUIRE(on.until([&] { return on.feed->at(document_kind::upstreams).value == 12; }));
        CHECK(on.feed->all(document_kind::upstreams).documents.size() == 3);
        CHECK(other.lists == 0);
    }
    SUBCASE("a storm of changes costs few calls")
    {
        for (std::uint64_t count = 0; count != 20; ++count) {
            on.store.put("config", "main");
            on.feed->heard(document_kind::rules, on.store.revision_now(), address);
            on.pass(50ms);
        }
        on.pass(500ms);
        CHECK(on.feed->at(document_kind::rules) == on.store.revision_now());
        CHECK(on.store.lists <= 2 + 4);
    }
    SUBCASE("and to the reader when the store turns it away")
    {
        on.store.turned_away = 503;
        other.documents["servers"]["i-9"] = 20;
        other.revision = 20;
        on.feed->heard(document_kind::upstreams, {20}, address);
        REQUIRE(on.until([&] { return on.feed->at(document_kind::upstreams).value == 20; }));
        CHECK(other.lists == 1);
        CHECK(on.store_changes == std::vector<bool>{false});
    }
    SUBCASE("an audit finds what every reader has missed, and tells the others")
    {
        on.store.put_silently("servers", "i-2");
        on.feed->audit();
        REQUIRE(on.until([&] { return on.feed->at(document_kind::upstreams).value == 11; }));
        REQUIRE(on.announced.size() == 1);
        CHECK(on.announced[0].after.value == 4);
        CHECK(on.store.lists == 2);
    }
}

} // namespace ragwortcove::gateway
