#include "../http/loopback.hpp"
#include "ragwortcove/gateway/node_registry.hpp"
#include "ragwortcove/standin/platform_server.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using http::test::run_until;

namespace {

/// A store, and nodes that look for each other there.
struct registry_fixture {
    struct node {
        bool is_isolated = true;
        bool is_confirmed = false;
        std::vector<core::endpoint> found;
        std::unique_ptr<node_registry> registry;
    };
    http::loop event_loop;
    standin::platform_server store;
    http::outbound_client connections{event_loop, 5s};
    adapter::store_client client{event_loop, connections, {{"127.0.0.1", store.port()}}};
    std::chrono::milliseconds wall = 1'700'000'000'000ms;
    std::vector<std::unique_ptr<node>> nodes;

    /// `answer_time` is the time from a call to the store to its response.
    explicit registry_fixture(core::duration answer_time = 4ms)
        : store(this->event_loop, {.store = {.answer_time = answer_time}})
    {
    }

    node& add()
    {
        this->nodes.push_back(std::make_unique<node>());
        node* const added = this->nodes.back().get();
        const auto number = static_cast<std::uint16_t>(this->nodes.size());
        added->registry = std::make_unique<node_registry>(node_registry_dependencies{
            this->event_loop,
            this->client,
            {"n" + std::to_string(number)},
            {"10.0.0.1", number},
            [added] { return added->is_isolated; },
            [added](std::span<const core::endpoint> addresses) {
                added->found.insert(added->found.end(), addresses.begin(), addresses.end());
            },
            [added] { added->is_confirmed = true; },
            [this] { return this->wall; }});
        return *added;
    }
    bool run(const std::function<bool()>& done, std::chrono::milliseconds limit = 5s)
    {
        return run_until(
            this->event_loop,
            [&] {
                for (const auto& each : this->nodes)
                    each->registry->tick();
                return done();
            },
            limit);
    }
    void pass(std::chrono::milliseconds time)
    {
        static_cast<void>(this->run([] { return false; }, time));
    }
    void write(const std::string& name, boost::json::value content)
    {
        adapter::store_document document;
        document.name = name;
        document.content = std::move(content);
        bool is_written = false;
        this->client.send(adapter::create_document{"ragwortcove-nodes", document},
                          [&](const adapter::store_document* written, const adapter::store_error&) {
                              is_written = written != nullptr;
                          });
        REQUIRE(this->run([&] { return is_written; }));
    }
    std::vector<std::string> stored()
    {
        std::vector<std::string> names;
        bool is_read = false;
        this->client.list(adapter::document_kind::own_nodes,
                          [&](const adapter::document_list* all, const adapter::store_error&) {
                              REQUIRE(all != nullptr);
                              for (const adapter::store_document& each : all->documents)
                                  names.push_back(each.name);
                              is_read = true;
                          });
        REQUIRE(this->run([&] { return is_read; }));
        return names;
    }
};

} // namespace

// Guards against nodes that are added while all seeds are away and never find each other.
TEST_CASE("nodes that hear of no other find each other in the store")
{
    registry_fixture fixture;
    registry_fixture::node& first = fixture.add();

    SUBCASE("one that is alone finds that out")
    {
        REQUIRE(fixture.run([&] { return first.is_confirmed; }));
        CHECK(first.found.empty());
    }
    SUBCASE("one that is alone finds that out although the store answers late")
    {
        registry_fixture slow(2s);
        const registry_fixture::node& alone = slow.add();
        CHECK(slow.run([&] { return alone.is_confirmed; }, 8s));
    }
    SUBCASE("the later one of two finds the earlier one")
    {
        REQUIRE(fixture.run([&] { return first.is_confirmed; }));
        const registry_fixture::node& second = fixture.add();
        REQUIRE(fixture.run([&] { return !second.found.empty(); }));
        CHECK(second.found.front() == core::endpoint{"10.0.0.1", 1});
        CHECK_FALSE(second.is_confirmed);
    }
    SUBCASE("of two that start together at least one finds the other")
    {
        const registry_fixture::node& second = fixture.add();
        REQUIRE(fixture.run([&] { return !first.found.empty() || !second.found.empty(); }));
    }
    SUBCASE("a node that is not isolated makes no call")
    {
        first.is_isolated = false;
        const std::uint64_t calls = fixture.client.calls();
        fixture.pass(1s);
        CHECK(fixture.client.calls() == calls);
    }
    SUBCASE("an entry that cannot be read costs itself alone, and an old one is removed")
    {
        fixture.write("odd", 7);
        fixture.write("sound",
                      {{"peers", "10.0.0.9:9"}, {"written_at", fixture.wall.count() - 1000}});
        fixture.write("old", {{"peers", "10.0.0.8:9"}, {"written_at", 1000}});
        REQUIRE(fixture.run([&] { return !first.found.empty(); }));
        CHECK(first.found == std::vector<core::endpoint>{{"10.0.0.9", 9}});
        fixture.pass(100ms);
        CHECK(fixture.stored() == std::vector<std::string>{"n1", "odd", "sound"});
    }
    SUBCASE("the entry of an earlier process is replaced, and goes when the node leaves")
    {
        fixture.write("n1", {{"peers", "10.0.0.7:9"}, {"written_at", 1000}});
        REQUIRE(fixture.run([&] { return first.is_confirmed; }));
        CHECK(fixture.stored() == std::vector<std::string>{"n1"});
        first.registry->leave();
        fixture.pass(100ms);
        CHECK(fixture.stored().empty());
    }
}

} // namespace ragwortcove::gateway
