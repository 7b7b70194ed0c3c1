#include "feed_fixture.hpp"

#include <doctest/doctest.h>

// How a feed reads its first documents from a store that is not as fast as it should be.

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using adapter::document_kind;
using http::test::run_until;
using test::feed_fixture;
using test::kind_count;

// Guards against a store that is made slower by those who wait for it: a list of many pages was
// asked for anew every 1.5 s, from its first page on, while its pages were arriving.
TEST_CASE("a list whose pages arrive one after the other is asked for once")
{
    feed_fixture fixture;
    constexpr std::size_t page_count = 6;
    for (std::size_t number = 0; number < page_count; ++number)
        fixture.store.documents["servers"]["i-" + std::to_string(number)] = 4 + number;
    fixture.store.page_size = 1;
    fixture.store.list_delay = 400ms;
    fixture.start();
    REQUIRE(run_until(
        fixture.event_loop, [&] { return fixture.feed->is_complete(); }, 4s));
    CHECK(fixture.feed->all_documents(document_kind::upstreams).documents.size() == page_count);
    CHECK(fixture.store.lists == page_count + kind_count - 1);
}

// Guards against a node that is never ready since one kind's list has no end.
TEST_CASE("a list without an end is used as far as it was read")
{
    feed_fixture fixture;
    fixture.store.documents["servers"] = {{"i-1", 4}, {"i-2", 5}};
    fixture.store.endless_kind = "servers";
    const auto upstream_count = [&] {
        return fixture.feed->all_documents(document_kind::upstreams).documents.size();
    };

    SUBCASE("by a node that starts, which hears of all later changes")
    {
        fixture.start();
        REQUIRE(fixture.run_until_true([&] { return fixture.feed->is_complete(); }));
        CHECK(upstream_count() == 2);
        REQUIRE(fixture.run_until_true([&] { return fixture.is_watching(); }));
        fixture.store.put("servers", "i-3");
        REQUIRE(fixture.run_until_true([&] { return upstream_count() == 3; }));
        REQUIRE(fixture.run_until_true([&] { return fixture.is_watching(); }));
        fixture.store.remove("servers", "i-1");
        REQUIRE(fixture.run_until_true([&] { return upstream_count() == 2; }));
    }
    SUBCASE("by a node that runs, which takes nothing for removed")
    {
        fixture.store.endless_kind = "";
        fixture.start();
        REQUIRE(fixture.run_until_true([&] { return fixture.is_watching(); }));
        fixture.store.endless_kind = "servers";
        fixture.store.documents["servers"].erase("i-1");
        fixture.store.documents["servers"]["i-3"] = ++fixture.store.revision;
        fixture.store.cut_watches();
        REQUIRE(fixture.run_until_true([&] { return upstream_count() == 3; }));
    }
    SUBCASE("and asked for again, with pauses")
    {
        fixture.start();
        REQUIRE(fixture.run_until_true([&] { return fixture.is_watching(); }));
        const std::size_t lists = fixture.store.lists;
        fixture.pass(2s);
        CHECK(fixture.store.lists == lists);
        fixture.store.endless_kind = "";
        fixture.store.documents["servers"].erase("i-1");
        REQUIRE(run_until(
            fixture.event_loop, [&] { return upstream_count() == 1; }, 5s));
    }
}

// Guards against a node that is ready without any rules, or never, since other writers' entries
// stand before the rules in a list that is stuck.
TEST_CASE("the rules behind a list that is stuck are read by their name")
{
    feed_fixture fixture;
    fixture.store.documents["config"] = {{"a00%20", 4}, {"main", 5}};
    fixture.store.page_size = 1;
    fixture.store.repeating_kind = "config";
    fixture.start();
    REQUIRE(fixture.run_until_true([&] { return fixture.feed->is_complete(); }));
    CHECK(fixture.feed->revision_of(document_kind::rules).value == 5);
    CHECK(fixture.store.gets == 1);
    REQUIRE(fixture.run_until_true([&] { return fixture.is_watching(); }));
    fixture.store.put("config", "main");
    REQUIRE(fixture.run_until_true([&] {
        return fixture.feed->revision_of(document_kind::rules) == fixture.store.revision_now();
    }));
}

TEST_CASE("a list that stops between two pages is asked for anew")
{
    feed_fixture fixture;
    fixture.store.documents["servers"] = {{"i-1", 4}, {"i-2", 5}};
    fixture.store.page_size = 1;
    fixture.store.list_delay = 100ms;
    fixture.start();
    fixture.pass(150ms);
    fixture.store.list_delay = 4s;
    fixture.pass(100ms);
    fixture.store.list_delay = 0s;
    REQUIRE(run_until(
        fixture.event_loop, [&] { return fixture.feed->is_complete(); }, 3s));
}

TEST_CASE("a feed reads its first documents from a store that answers late")
{
    feed_fixture fixture;
    fixture.store.documents["config"]["main"] = 4;
    fixture.store.documents["servers"]["i-1"] = 5;
    fixture.store.list_delay = 2s;
    fixture.start();

    SUBCASE("each time")
    {
        REQUIRE(run_until(
            fixture.event_loop, [&] { return fixture.feed->is_complete(); }, 4s));
        CHECK(fixture.feed->revision_of(document_kind::rules).value == 4);
        // The call that was made because the first one was late opens no second watch.
        fixture.pass(2500ms);
        CHECK(fixture.is_watching());
        CHECK(fixture.updates.size() == kind_count);
    }
    SUBCASE("once: the late response takes nothing back")
    {
        fixture.pass(500ms);
        fixture.store.list_delay = 0s;
        fixture.store.remove("servers", "i-1");
        REQUIRE(run_until(
            fixture.event_loop, [&] { return fixture.is_watching(); }, 4s));
        fixture.pass(1500ms);
        CHECK(fixture.feed->all_documents(document_kind::upstreams).documents.empty());
        CHECK(fixture.updates.size() == kind_count);
    }
    SUBCASE("and then only now and then: a change is read all the same")
    {
        REQUIRE(run_until(
            fixture.event_loop, [&] { return fixture.is_watching(); }, 4s));
        fixture.store.cut_watches();
        fixture.store.put("config", "main");
        REQUIRE(run_until(
            fixture.event_loop,
            [&] {
                return fixture.feed->revision_of(document_kind::rules).value ==
                       fixture.store.revision;
            },
            4s));
    }
}

} // namespace ragwortcove::gateway
