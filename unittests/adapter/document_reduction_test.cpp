#include "platform/announcement.hpp"
#include "platform/document_reduction.hpp"
#include "platform/part_document.hpp"
#include "platform/rules.hpp"

#include <doctest/doctest.h>

#include <string>
#include <variant>

namespace ragwortcove::adapter {

namespace json = boost::json;

static constexpr core::time_point read_at{std::chrono::hours{1}};
/// Largest content that the store takes.
static constexpr std::size_t value_bytes = 1'048'576;
static constexpr std::size_t max_kept_bytes = 64U << 10U;

static store_document make_document(std::string_view name, json::value content,
                                    json::value status = {})
{
    store_document result;
    result.name = name;
    result.at = core::revision{8};
    result.content = std::move(content);
    result.status = std::move(status);
    return result;
}

static json::object make_announcement()
{
    return {{"service", "lm"},   {"addr", "10.1.0.9:80"}, {"zone", "a"},
            {"version", "v1"},   {"slots", 10},           {"state", "ready"},
            {"born", 170000123}, {"cold_left_ms", 700},   {"seq", 4}};
}

static std::size_t kept_bytes(document_kind kind, store_document document)
{
    drop_unread_fields(kind, document);
    return write_document(document).size();
}

static store_document reduced(document_kind kind, store_document document)
{
    drop_unread_fields(kind, document);
    return document;
}

// Guards against a process that ends at its limit of memory: other writers' entries of 1 MB were
// kept, copied and sent to other nodes with all that they held.
TEST_CASE("a node keeps little of a large entry that it does not read")
{
    json::value large(std::string(value_bytes, '.'));
    SUBCASE("one text") {}
    SUBCASE("many small values")
    {
        large = json::array(value_bytes / 2, json::value(1));
    }
    for (const document_kind kind :
         {document_kind::rules, document_kind::upstreams, document_kind::rollouts,
          document_kind::held_parts, document_kind::domain_drains}) {
        CAPTURE(static_cast<int>(kind));
        CHECK(kept_bytes(kind, make_document("a00", large, large)) < max_kept_bytes);
        store_document held = make_document("a00", {});
        held.finalizers = std::vector<std::string>(value_bytes, "x");
        CHECK(kept_bytes(kind, held) < max_kept_bytes);
        CHECK(kept_bytes(kind, make_document("a00", json::object{{"extra", large}}, large)) <
              max_kept_bytes);
        for (const char* key : {"service", "state", "target", "ends", "generation", "slots"}) {
            CAPTURE(key);
            const json::object field{{key, large}};
            CHECK(kept_bytes(kind, make_document("bad0", field, field)) < max_kept_bytes);
        }
    }
}

TEST_CASE("a response is read with as much of each document as is kept")
{
    const std::string entry = R"({"meta":{"name":"a","revision":5},"spec":{"extra":[1,2,3]}})";
    const auto changes = read_changes(R"({"events":[{"object":)" + entry + R"(}],"current_rev":7})",
                                      document_kind::upstreams);
    REQUIRE(changes.has_value());
    CHECK(changes->changes.front().document.content == json::value(json::object{}));
    const auto page =
        read_page(R"({"entries":[)" + entry + R"(],"current_rev":7})", document_kind::upstreams);
    REQUIRE(page.has_value());
    CHECK(page->part.documents.front().content == json::value(json::object{}));
}

// Guards against an upstream that gets requests although its entry cannot be read: a field of
// another type was dropped, and counted as absent.
TEST_CASE("a field of another type does not count as absent")
{
    for (const char* key : {"slots", "born", "cold_left_ms", "seq", "state", "service"}) {
        CAPTURE(key);
        json::object content = make_announcement();
        content[key] = json::object{};
        const store_document whole = make_document("i-1", content);
        const store_document kept = reduced(document_kind::upstreams, whole);
        CHECK(read_upstream(kept, read_at).has_value() ==
              read_upstream(whole, read_at).has_value());
    }
}

TEST_CASE("what is read of a document is kept")
{
    SUBCASE("an announcement, without its unknown fields")
    {
        json::object content = make_announcement();
        content["models"] = json::array(1000, json::value("m"));
        const store_document whole = make_document("i-1", content);
        const store_document kept = reduced(document_kind::upstreams, whole);
        const auto before = read_upstream(whole, read_at);
        const auto after = read_upstream(kept, read_at);
        REQUIRE(after.has_value());
        CHECK(after == before);
        CHECK(kept.content == json::value(make_announcement()));
        const core::document_order order = order_of(document_kind::upstreams, kept);
        CHECK(order.position == order_of(document_kind::upstreams, whole).position);
        CHECK(order.sequence == order_of(document_kind::upstreams, whole).sequence);
    }
    SUBCASE("a roll-out with its state and progress")
    {
        const store_document whole = make_document(
            "lm", json::object{{"service", "lm"}, {"target", "v2"}, {"over_s", 9}, {"by", "me"}},
            json::object{{"state", "running"},
                         {"target", "v2"},
                         {"age_ms", 40},
                         {"new_sent", 3},
                         {"old_sent", 30}});
        const auto read = read_rollout_order(reduced(document_kind::rollouts, whole));
        REQUIRE(std::holds_alternative<core::rollout_order>(read));
        const auto& order = std::get<core::rollout_order>(read);
        const auto whole_order = std::get<core::rollout_order>(read_rollout_order(whole));
        CHECK(order.version == whole_order.version);
        CHECK(order.time_limit == whole_order.time_limit);
        CHECK(order.state == core::rollout_state::running);
        REQUIRE(order.progress.has_value());
        CHECK(order.progress->order_age == whole_order.progress->order_age);
        CHECK(order.progress->new_sent == 3);
        CHECK(order.progress->old_sent == 30);
    }
    SUBCASE("a held-back part")
    {
        core::part_record record;
        record.part.value = 0xbad0;
        record.generation = 3;
        record.ends.push_back({{{"i-1"}, 17}, {}, true});
        const store_document whole = write_part_document(record);
        const store_document kept = reduced(document_kind::held_parts, whole);
        CHECK(kept.content == whole.content);
    }
    SUBCASE("the operator's rules, whole")
    {
        const json::object content{{"version", 3}, {"routes", json::array{}}, {"new", "field"}};
        const store_document whole = make_document(rules_document_name(), content);
        CHECK(reduced(document_kind::rules, whole).content == whole.content);
    }
    SUBCASE("this project's own objects, whole")
    {
        const store_document whole = make_document("tier.desk", json::object{{"x", 1}});
        for (const document_kind kind :
             {document_kind::own_objects, document_kind::own_claims, document_kind::own_nodes})
            CHECK(reduced(kind, whole).content == whole.content);
    }
    SUBCASE("name and position of any")
    {
        const store_document kept =
            reduced(document_kind::upstreams, make_document("a00%20", "nothing"));
        CHECK(kept.name == "a00%20");
        CHECK(kept.at == core::revision{8});
        CHECK_FALSE(read_upstream(kept, read_at).has_value());
    }
}

} // namespace ragwortcove::adapter
