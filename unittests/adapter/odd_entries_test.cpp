#include "platform/announcement.hpp"
#include "platform/rules.hpp"
#include "platform/store_document.hpp"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::adapter {

static constexpr core::time_point read_at{std::chrono::hours{1}};

/// Text of an entry that describes an upstream, with some of its fields replaced or added.
static std::string make_entry(std::string_view name, std::string_view changed = {})
{
    return R"({"meta":{"name":")" + std::string(name) +
           R"(","revision":8},"spec":{"service":"lm","addr":"10.1.0.9:80","zone":"a","version":"v1",)"
           R"("slots":10,"state":"ready","born":1700000000123,"cold_left_ms":700,"seq":4)" +
           std::string(changed) + "}}";
}

static std::string make_page(const std::vector<std::string>& entries, bool has_more = false)
{
    std::string text = R"({"entries":[)";
    for (const std::string& entry : entries)
        text += (&entry == &entries.front() ? "" : ",") + entry;
    return text + R"(],"has_more":)" + (has_more ? "true" : "false") + R"(,"current_rev":12})";
}

static std::string make_changes(const std::vector<std::string>& entries)
{
    std::string text = R"({"events":[)";
    for (const std::string& entry : entries)
        text += (&entry == &entries.front() ? "" : ",") + (R"({"object":)" + entry + "}");
    return text + R"(],"current_rev":12})";
}

static std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Names of the upstreams that documents describe.
static std::vector<std::string> upstreams_of(const std::vector<store_document>& documents)
{
    std::vector<std::string> names;
    for (const store_document& document : documents) {
        if (const auto upstream = read_upstream(document, read_at))
            names.push_back(upstream->name.value);
    }
    return names;
}

static std::vector<std::string> listed_upstreams(const std::vector<std::string>& entries)
{
    const std::optional<document_page> page = read_page(make_page(entries));
    return page ? upstreams_of(page->part.documents) : std::vector<std::string>{"no list"};
}

static std::vector<std::string> watched_upstreams(const std::vector<std::string>& entries)
{
    const std::optional<document_changes> changes = read_changes(make_changes(entries));
    if (!changes)
        return {"no changes"};
    std::vector<store_document> documents;
    for (const document_change& change : changes->changes)
        documents.push_back(change.document);
    return upstreams_of(documents);
}

TEST_CASE("one odd entry costs neither the list nor the watch its other entries")
{
    const std::vector<std::string> sound{"i-1", "i-2"};
    std::string odd;
    SUBCASE("a field that is nested too deeply")
    {
        std::size_t depth = 0;
        SUBCASE("by a little")
        {
            depth = 32;
        }
        SUBCASE("by much")
        {
            depth = 1000;
        }
        SUBCASE("enough to exhaust a stack")
        {
            depth = 200'000;
        }
        odd = make_entry("odd", R"(,"extra":)" + nested(depth));
    }
    SUBCASE("a number that no machine holds")
    {
        odd = make_entry("odd", R"(,"extra":1e99999999999)");
    }
    SUBCASE("bytes that are not UTF-8")
    {
        odd = make_entry("odd", ",\"extra\":\"\xff\xfe\"");
    }
    SUBCASE("half of a surrogate pair")
    {
        odd = make_entry("odd", R"(,"extra":"\ud800")");
    }
    SUBCASE("a value that is none")
    {
        odd = make_entry("odd", R"(,"extra":nonsense)");
    }
    SUBCASE("a quote and brackets inside a string")
    {
        odd = R"({"meta":{"name":"odd","revision":8},"spec":"\"}]],{"})";
    }
    SUBCASE("metadata that cannot be read")
    {
        odd = R"({"meta":)" + nested(500) + R"(,"spec":{}})";
    }
    SUBCASE("no object at all")
    {
        odd = nested(500);
    }
    SUBCASE("a revision that is none")
    {
        odd = R"({"meta":{"name":"odd","revision":1.8446744073709552e19},"spec":{}})";
    }
    SUBCASE("a name as large as a content")
    {
        odd = make_entry(std::string(1U << 20U, 'n'));
    }
    CHECK(listed_upstreams({make_entry("i-1"), odd, make_entry("i-2")}) == sound);
    CHECK(watched_upstreams({make_entry("i-1"), odd, make_entry("i-2")}) == sound);
}

// Guards against a list that cannot be read at all: the page of an entry without a revision gave no
// name to go on from, although the entry has one.
TEST_CASE("a list goes on after a page that ends with an odd entry")
{
    const std::string odd = R"({"meta":{"name":"odd","revision":"none"},"spec":{}})";
    SUBCASE("that is the only one")
    {
        const std::optional<document_page> page = read_page(make_page({odd}, true));
        REQUIRE(page.has_value());
        CHECK(page->next_page_after == "odd");
        CHECK(page->part.documents.empty());
        CHECK(page->part.unreadable == 1);
    }
    SUBCASE("that comes after a sound one")
    {
        const auto page = read_page(make_page({make_entry("i-1"), odd}, true));
        REQUIRE(page.has_value());
        CHECK(page->next_page_after == "odd");
    }
}

TEST_CASE("an unknown field of an upstream's entry is ignored when it can be read")
{
    const std::string entry = make_entry("i-1", R"(,"extra":)" + nested(29));
    CHECK(listed_upstreams({entry}) == std::vector<std::string>{"i-1"});
    CHECK(watched_upstreams({entry}) == std::vector<std::string>{"i-1"});
}

TEST_CASE("an entry with a figure out of range names no upstream")
{
    std::string changed;
    SUBCASE("slots")
    {
        for (const std::string& text :
             std::vector<std::string>{"1e20", "4e9", "-1", "1e400", "2.5", "\"8\"", "[8]"}) {
            CAPTURE(text);
            CHECK(listed_upstreams({make_entry("i-1", R"(,"slots":)" + text)}).empty());
        }
    }
    SUBCASE("start")
    {
        for (const std::string& text :
             std::vector<std::string>{"1e300", "99999999999999999999999", "9223372036854775807",
                                      "-5", "17.5", "\"1700000000123\"", "true"}) {
            CAPTURE(text);
            CHECK(listed_upstreams({make_entry("i-1", R"(,"born":)" + text)}).empty());
        }
    }
    SUBCASE("time until warm")
    {
        for (const std::string& text : std::vector<std::string>{"1e300", "1e15", "-1", "\"5\""}) {
            CAPTURE(text);
            const std::string field = R"(,"cold_left_ms":)" + text;
            CHECK(listed_upstreams({make_entry("i-1", field)}).empty());
        }
    }
    SUBCASE("address")
    {
        for (const std::string& text :
             std::vector<std::string>{"not an address:80", "10.1.0.9:70000", "10.1.0.9:-1",
                                      "10.1.0.9:0", "10.1.0.9:", "10.1.0.9", ":80", "10.1.0:80",
                                      "10.1.0.9:80 ", "10.1.0.9\\r\\nX: y:80"}) {
            CAPTURE(text);
            const std::string field = R"(,"addr":")" + text + "\"";
            CHECK(listed_upstreams({make_entry("i-1", field)}).empty());
        }
    }
    SUBCASE("a name that would end a header's line")
    {
        CHECK(listed_upstreams({make_entry(R"(i-1\r\nX-Tenant: other)")}).empty());
        CHECK(listed_upstreams({make_entry("")}).empty());
    }
    SUBCASE("the largest figures in range do")
    {
        const std::string fields = R"(,"slots":65536,"cold_left_ms":86400000,"born":1.7e12)";
        CHECK(listed_upstreams({make_entry("i-1", fields)}) == std::vector<std::string>{"i-1"});
    }
}

TEST_CASE("an odd entry under the name of a running upstream")
{
    const auto read_one = [](const std::string& entry) {
        const std::optional<document_page> page = read_page(make_page({entry}));
        REQUIRE(page.has_value());
        REQUIRE(page->part.documents.size() == 1);
        return page->part.documents[0];
    };
    const store_document sound = read_one(make_entry("i-1"));

    SUBCASE("keeps its name and revision, so that it ends the use of what it replaced")
    {
        const store_document odd = read_one(make_entry("i-1", R"(,"extra":)" + nested(100)));
        CHECK(odd.name == "i-1");
        CHECK(odd.at.value == 8);
        CHECK_FALSE(read_upstream(odd, read_at).has_value());
    }
    SUBCASE("does not outrank the upstream's next announcement when the store's era changes")
    {
        for (const std::string& changed : std::vector<std::string>{
                 R"(,"born":9e18)", R"(,"born":1e300)", R"(,"state":"draining","addr":17)",
                 R"(,"seq":1e18,"slots":[])"}) {
            CAPTURE(changed);
            store_document odd = read_one(make_entry("i-1", changed));
            odd.era = core::store_era{1};
            store_document anew = sound;
            anew.era = core::store_era{2};
            CHECK(core::is_newer(order_of(document_kind::upstreams, anew),
                                 order_of(document_kind::upstreams, odd)));
        }
    }
}

TEST_CASE("the next page of a list starts after the last entry that has a name")
{
    const std::string nameless = R"({"meta":{"revision":8},"spec":{}})";
    SUBCASE("also when later ones have none")
    {
        const auto page = read_page(make_page({make_entry("i-1"), nameless}, true));
        REQUIRE(page.has_value());
        CHECK(page->next_page_after == "i-1");
    }
    SUBCASE(
        "a page on which none has a name gives none to go on from, and is not taken for the last")
    {
        const std::optional<document_page> page = read_page(make_page({nameless}, true));
        REQUIRE(page.has_value());
        CHECK_FALSE(page->is_last);
        CHECK(page->next_page_after.empty());
        CHECK(read_page(make_page({nameless})).has_value());
    }
}

TEST_CASE("a configuration with a figure out of range is rejected with its place")
{
    const auto location_of_error = [](std::string_view text) {
        const auto read = read_ruleset(boost::json::parse({text.data(), text.size()}));
        const auto* error = std::get_if<document_error>(&read);
        return error == nullptr ? std::string{"accepted"} : error->location;
    };
    CHECK(location_of_error(R"({"version":1e30})") == "version");
    CHECK(location_of_error(R"({"limits":{"max_body_bytes":1e30}})") == "limits.max_body_bytes");
    CHECK(location_of_error(R"({"limits":{"idle_timeout_ms":1e300}})") == "limits.idle_timeout_ms");
    CHECK(location_of_error(R"({"services":[{"name":"lm","backend":{"slots":1e10}}]})") ==
          "services[0].backend.slots");
    CHECK(location_of_error(R"({"services":[{"name":"lm","cold_per_s":-1}]})") ==
          "services[0].cold_per_s");
    CHECK(location_of_error(R"({"services":[{"name":"lm","cold_start_s":1e300}]})") ==
          "services[0].cold_start_s");
    CHECK(location_of_error(R"({"tenants":[{"name":"t","raw_tokens":1e10}]})") ==
          "tenants[0].raw_tokens");
    CHECK(location_of_error(R"({"tenants":[{"name":"t\r\nX: y"}]})") == "tenants[0].name");
}

TEST_CASE("a team's name may hold whatever a header's value can")
{
    for (const std::string& name :
         std::vector<std::string>{"Family Desk", "Z\xc3\xbcrich", "t-1"}) {
        CAPTURE(name);
        const auto read =
            read_ruleset(boost::json::parse(R"({"tenants":[{"name":")" + name + R"("}]})"));
        REQUIRE(std::holds_alternative<core::ruleset>(read));
        CHECK(std::get<core::ruleset>(read).teams.front().name.value == name);
    }
    for (const std::string& name :
         std::vector<std::string>{R"(a\nb)", R"(a\u0000)", R"(a\u007f)", ""}) {
        CAPTURE(name);
        CHECK(std::holds_alternative<document_error>(
            read_ruleset(boost::json::parse(R"({"tenants":[{"name":")" + name + R"("}]})"))));
    }
}

TEST_CASE("a roll-out with a time limit out of range is rejected with its place")
{
    store_document document;
    document.name = "lm";
    document.content = boost::json::parse(R"({"service":"lm","target":"v2","over_s":1e300})");
    const auto read = read_rollout_order(document);
    REQUIRE(std::holds_alternative<document_error>(read));
    CHECK(std::get<document_error>(read).location == "lm.over_s");
}

} // namespace ragwortcove::adapter
