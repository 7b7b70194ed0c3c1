#include "ragwortcove/standin/store_model.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::adapter;
using namespace ragwortcove::standin;
using namespace std::chrono_literals;

static constexpr core::time_point start{};

static store_document document(const std::string& name, int value)
{
    store_document made;
    made.name = name;
    made.content = boost::json::object{{"value", value}};
    return made;
}

static store_answer ask(store_model& of, const store_call& call)
{
    const store_reply reply = of.call(call, start);
    REQUIRE(reply.answer.has_value());
    return *reply.answer;
}

static core::revision revision_of(const store_answer& answer)
{
    const auto read = read_document(answer.body);
    REQUIRE(read.has_value());
    return read->at;
}

TEST_CASE("documents are written under conditions")
{
    store_model store({}, 1);
    const store_answer created = ask(store, create_document{"things", document("a", 1)});
    CHECK(created.status == 200);
    CHECK(revision_of(created) == core::revision{1});

    SUBCASE("a second creation shows what stands there")
    {
        const store_answer again = ask(store, create_document{"things", document("a", 2)});
        CHECK(again.status == 409);
        CHECK(revision_of(again) == core::revision{1});
    }
    SUBCASE("a replacement needs the right revision, if it states one")
    {
        const auto replace = [&](int value, std::optional<core::revision> expected) {
            return ask(store, replace_document{"things", document("a", value), expected}).status;
        };
        CHECK(replace(2, core::revision{7}) == 409);
        CHECK(replace(2, core::revision{1}) == 200);
        CHECK(replace(3, std::nullopt) == 200);
        CHECK(store.current() == core::revision{3});
        // What changes nothing is no change.
        CHECK(replace(3, std::nullopt) == 200);
        CHECK(store.current() == core::revision{3});
    }
    SUBCASE("a status is written apart from the content")
    {
        const boost::json::value status = "running";
        CHECK(ask(store, report_status{"things", "a", status, core::revision{9}}).status == 409);
        const store_answer answer = ask(store, report_status{"things", "a", status, {}});
        const auto read = read_document(answer.body);
        REQUIRE(read.has_value());
        CHECK(read->status == status);
        CHECK(read->content == document("a", 1).content);
        CHECK(ask(store, report_status{"things", "b", status, {}}).status == 404);
    }
    SUBCASE("a removed document is gone")
    {
        CHECK(ask(store, remove_document{"things", "a", core::revision{9}}).status == 409);
        CHECK(ask(store, remove_document{"things", "a", core::revision{1}}).status == 200);
        CHECK(ask(store, get_document{"things", "a"}).status == 404);
        CHECK(ask(store, remove_document{"things", "a", {}}).status == 404);
    }
    SUBCASE("a document that somebody holds on to is only marked until it is let go")
    {
        store_document held = document("b", 1);
        held.finalizers = {"keeper"};
        ask(store, create_document{"things", held});
        CHECK(ask(store, remove_document{"things", "b", {}}).status == 200);
        const auto marked = read_document(ask(store, get_document{"things", "b"}).body);
        REQUIRE(marked.has_value());
        CHECK(marked->deleting);
        held.finalizers.clear();
        CHECK(ask(store, replace_document{"things", held, {}}).status == 200);
        CHECK(ask(store, get_document{"things", "b"}).status == 404);
    }
}

TEST_CASE("a long list comes in pages")
{
    store_model_settings settings;
    settings.page_size = 2;
    store_model store(settings, 1);
    for (const auto* name : {"a", "b", "c"})
        ask(store, create_document{"things", document(name, 1)});
    const auto first = read_page(ask(store, list_documents{"things"}).body);
    REQUIRE(first.has_value());
    CHECK(first->part.documents.size() == 2);
    REQUIRE(first->next_page_after == "b");
    const auto second = read_page(ask(store, list_documents{"things", "b"}).body);
    REQUIRE(second.has_value());
    REQUIRE(second->part.documents.size() == 1);
    CHECK(second->part.documents[0].name == "c");
    CHECK(second->is_last);
}

TEST_CASE("a watch is answered as soon as there is a change of its kind")
{
    store_model store({}, 1);
    ask(store, create_document{"things", document("a", 1)});
    const watch_documents watch{"things", {1}, 1000ms};
    CHECK_FALSE(store.begin_watch(watch, start).has_value());

    SUBCASE("a change of another kind does not end it")
    {
        ask(store, create_document{"others", document("a", 1)});
        CHECK_FALSE(store.look_at_watch(watch).has_value());
    }
    SUBCASE("changes and removals come in their order")
    {
        ask(store, replace_document{"things", document("a", 2), {}});
        ask(store, remove_document{"things", "a", {}});
        const auto answer = store.look_at_watch(watch);
        REQUIRE(answer.has_value());
        const auto read = read_changes(answer->body);
        REQUIRE(read.has_value());
        REQUIRE(read->changes.size() == 2);
        CHECK_FALSE(read->changes[0].removed);
        CHECK(read->changes[1].removed);
        CHECK(read->upto == core::revision{3});
    }
    SUBCASE("without a change it ends with the newest revision")
    {
        const auto read = read_changes(store.end_watch().body);
        REQUIRE(read.has_value());
        CHECK(read->changes.empty());
        CHECK(read->upto == core::revision{1});
    }
    SUBCASE("history that is gone is said to be gone")
    {
        ask(store, replace_document{"things", document("a", 2), {}});
        store.compact();
        CHECK(store.look_at_watch(watch)->status == 410);
        CHECK_FALSE(store.look_at_watch({"things", {2}, 1000ms}).has_value());
        CHECK(store.look_at_watch({"things", {99}, 1000ms})->status == 410);
    }
}

TEST_CASE("a store that comes back from a copy has lost the changes since, and says so")
{
    store_model store({}, 1);
    ask(store, create_document{"things", document("a", 1)});
    store.keep_copy();
    ask(store, replace_document{"things", document("a", 2), {}});
    ask(store, create_document{"things", document("b", 1)});
    CHECK(store.era().value == 1);
    store.restore_copy();
    CHECK(store.era().value == 2);
    CHECK(store.current() == core::revision{1});
    CHECK(ask(store, get_document{"things", "b"}).status == 404);

    SUBCASE("a watch from a revision that it does not have is gone")
    {
        CHECK(store.look_at_watch({"things", {3}, 1000ms})->status == 410);
    }
    SUBCASE("revisions are given out again")
    {
        const store_answer answer = ask(store, create_document{"things", document("c", 1)});
        CHECK(revision_of(answer) == core::revision{2});
        CHECK(store.look_at_watch({"things", {1}, 1000ms})->status == 200);
    }
    SUBCASE("the same copy serves twice")
    {
        ask(store, create_document{"things", document("c", 1)});
        store.restore_copy();
        CHECK(store.era().value == 3);
        CHECK(ask(store, get_document{"things", "c"}).status == 404);
    }
}

TEST_CASE("history is bounded")
{
    store_model_settings settings;
    settings.history_limit = 2;
    store_model store(settings, 1);
    for (int value = 0; value != 4; ++value)
        ask(store, create_document{"things", document("t" + std::to_string(value), value)});
    CHECK(store.look_at_watch({"things", {1}, 1000ms})->status == 410);
    CHECK(store.look_at_watch({"things", {2}, 1000ms})->status == 200);
}

TEST_CASE("the store fails as ordered")
{
    store_model store({}, 1);
    const create_document create{"things", document("a", 1)};

    SUBCASE("down: nothing is done and nothing answered")
    {
        store.set_faults({.down = true});
        CHECK_FALSE(store.call(create, start).answer.has_value());
        CHECK(store.current() == core::revision{});
    }
    SUBCASE("answers lost: it is done all the same")
    {
        store.set_faults({.lost_answer_rate = 1.0});
        CHECK_FALSE(store.call(create, start).answer.has_value());
        CHECK(store.current() == core::revision{1});
    }
    SUBCASE("turned away: nothing is done")
    {
        store.set_faults({.refused_rate = 1.0, .refusal_status = 503});
        CHECK(ask(store, create).status == 503);
        CHECK(store.current() == core::revision{});
    }
    SUBCASE("slow: it is done at once and answered late")
    {
        store.set_faults({.slow_factor = 50.0});
        CHECK(store.call(create, start).after == 200ms);
    }
}

TEST_CASE("calls beyond the rate are turned away, those that may be old are not counted")
{
    store_model_settings settings;
    settings.reads_per_second = 1.0;
    store_model store(settings, 1);
    CHECK(ask(store, get_document{"things", "a"}).status == 404);
    const store_answer refused = ask(store, get_document{"things", "a"});
    CHECK(refused.status == 429);
    CHECK(refused.retry_after.has_value());
    CHECK(ask(store, get_document{"things", "a", true}).status == 404);
}

TEST_CASE("a store model answers with any content that another writer has left")
{
    store_model store({}, 1);
    const std::string content = "[[[1e99999999999]]]";
    store.write_raw("servers", "odd", content);
    store.write_raw("servers", "other", "nonsense");
    const std::string list = ask(store, list_documents{"servers"}).body;
    CHECK(list.find(R"("spec":[[[1e99999999999]]])") != std::string::npos);
    CHECK(list.find(R"("spec":nonsense)") != std::string::npos);
    CHECK(ask(store, get_document{"servers", "odd"}).body.find(content) != std::string::npos);
    const auto changes = store.look_at_watch({"servers", {0}, std::chrono::milliseconds{100}});
    REQUIRE(changes.has_value());
    CHECK(changes->body.find(content) != std::string::npos);
    REQUIRE(ask(store, remove_document{"servers", "odd"}).status == 200);
    CHECK(ask(store, list_documents{"servers"}).body.find(content) == std::string::npos);
}
