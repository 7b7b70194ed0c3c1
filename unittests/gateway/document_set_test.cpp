#include "ragwortcove/gateway/document_set.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using adapter::document_kind;
using adapter::document_list;
using adapter::store_document;

static constexpr core::time_point start{1h};
/// Time after which everything that the store has lost has been written again, or never will be.
static constexpr core::duration settled = 3s;

static store_document make_document(const std::string& name, boost::json::object content,
                                    core::store_position position)
{
    store_document made;
    made.name = name;
    made.content = std::move(content);
    made.at = position.revision;
    made.era = position.era;
    return made;
}

static store_document make_rules(std::uint64_t version, core::store_position position)
{
    return make_document("main", {{"version", version}}, position);
}

static store_document make_upstream(const std::string& name, std::uint64_t seq,
                                    core::store_position position,
                                    const std::string& state = "ready", std::int64_t born = 1000)
{
    return make_document(name,
                         {{"service", "t"},
                          {"addr", "10.0.0.1:80"},
                          {"zone", "a"},
                          {"version", "v1"},
                          {"born", born},
                          {"seq", seq},
                          {"state", state}},
                         position);
}

static document_list make_list(core::store_position position, std::vector<store_document> documents)
{
    return {std::move(documents), position.revision, position.era};
}

static adapter::document_changes make_change(const store_document& document, bool removed = false)
{
    return {{{document, removed}}, document.at, document.era};
}

static std::uint64_t version_of(const document_set& rules)
{
    const document_list all = rules.all();
    REQUIRE(all.documents.size() == 1);
    return all.documents[0].content.at("version").to_number<std::uint64_t>();
}

static std::string names_of(const document_set& documents)
{
    std::string names;
    for (const store_document& each : documents.all().documents)
        names += each.name + " ";
    return names;
}

TEST_CASE("rules that the store has lost stay in force until they are written again")
{
    document_set rules(document_kind::rules);
    CHECK_FALSE(
        rules.apply_list(make_list({{90}, {1}}, {make_rules(7, {{88}, {1}})}), start).begins_era);
    const list_result copy =
        rules.apply_list(make_list({{50}, {2}}, {make_rules(5, {{48}, {2}})}), start);
    CHECK(copy.begins_era);
    CHECK(copy.kept == std::vector<std::string>{"main"});
    CHECK_FALSE(copy.update.has_value());
    CHECK(version_of(rules) == 7);
    CHECK(rules.position() == core::store_position{{50}, {2}});

    SUBCASE("at a revision that is lower than the known one")
    {
        const auto update = rules.apply_changes(make_change(make_rules(7, {{51}, {2}})), start);
        CHECK(update.has_value());
        CHECK(version_of(rules) == 7);
    }
    SUBCASE("the next version is in force at once")
    {
        CHECK(rules.apply_changes(make_change(make_rules(8, {{51}, {2}})), start).has_value());
        CHECK(version_of(rules) == 8);
    }
    SUBCASE("however often the store gives the copy's version")
    {
        const document_list again = make_list({{60}, {2}}, {make_rules(5, {{48}, {2}})});
        CHECK_FALSE(rules.apply_list(again, start + settled).update.has_value());
        CHECK_FALSE(
            rules.apply_changes(make_change(make_rules(6, {{95}, {2}})), start).has_value());
        CHECK(version_of(rules) == 7);
    }
    SUBCASE("also when the copy has none")
    {
        CHECK(rules.apply_list(make_list({{10}, {3}}, {}), start).begins_era);
        CHECK(version_of(rules) == 7);
    }
    SUBCASE("a second copy that is newer than the first")
    {
        CHECK(rules.apply_list(make_list({{55}, {3}}, {make_rules(6, {{54}, {3}})}), start)
                  .begins_era);
        CHECK(version_of(rules) == 7);
    }
    SUBCASE("a list of the earlier era that comes late changes nothing")
    {
        const document_list late = make_list({{95}, {1}}, {make_rules(8, {{95}, {1}})});
        CHECK_FALSE(rules.apply_list(late, start).update.has_value());
        CHECK(version_of(rules) == 7);
    }
}

// Guards against a warning, and a delay of removals, at each start: a kind without documents knew
// no era, so the first change seemed to come from a store that had come back from a copy.
TEST_CASE("a first list without documents is of the store's era")
{
    document_set rollouts{document_kind::rollouts};
    const list_result first = rollouts.apply_list(make_list({{50}, {1}}, {}), start);
    CHECK_FALSE(first.begins_era);
    CHECK(rollouts.position().era == core::store_era{1});
    CHECK_FALSE(rollouts.apply_list(make_list({{52}, {1}}, {}), start).begins_era);
    CHECK(rollouts.apply_list(make_list({{40}, {2}}, {}), start).begins_era);
}

TEST_CASE("a node that knows the copy's rules only takes the newer ones of a node that kept them")
{
    document_set rules(document_kind::rules);
    CHECK_FALSE(
        rules.apply_list(make_list({{60}, {2}}, {make_rules(5, {{48}, {2}})}), start).begins_era);

    SUBCASE("whose list is as new as its own")
    {
        CHECK(rules.apply_list(make_list({{60}, {2}}, {make_rules(7, {{88}, {1}})}), start)
                  .update.has_value());
        CHECK(version_of(rules) == 7);
    }
    SUBCASE("whose list is older than its own")
    {
        CHECK(rules.apply_list(make_list({{51}, {2}}, {make_rules(7, {{88}, {1}})}), start)
                  .update.has_value());
        CHECK(version_of(rules) == 7);
        CHECK(rules.position().revision.value >= 48);
    }
    SUBCASE("and then the same version from the store")
    {
        CHECK(rules.apply_list(make_list({{60}, {2}}, {make_rules(7, {{88}, {1}})}), start)
                  .update.has_value());
        CHECK(rules.apply_changes(make_change(make_rules(7, {{61}, {2}})), start).has_value());
        CHECK(rules.position() == core::store_position{{61}, {2}});
    }
}

TEST_CASE("announcements of upstreams are ordered by the upstream when the store has lost some")
{
    document_set upstreams(document_kind::upstreams);
    const auto apply = [&](const document_list& list) { return upstreams.apply_list(list, start); };
    static_cast<void>(apply(make_list({{90}, {1}}, {make_upstream("a", 9, {{88}, {1}}, "draining"),
                                                    make_upstream("b", 3, {{80}, {1}}),
                                                    make_upstream("c", 2, {{85}, {1}})})));
    static_cast<void>(
        upstreams.apply_changes(make_change(make_upstream("c", 2, {{91}, {1}}), true), start));
    CHECK(names_of(upstreams) == "a b ");
    const list_result copy = apply(make_list(
        {{50}, {2}}, {make_upstream("a", 4, {{40}, {2}}), make_upstream("c", 2, {{45}, {2}})}));
    CHECK(copy.begins_era);
    REQUIRE(copy.update.has_value());

    SUBCASE("one that leaves does not become ready again")
    {
        CHECK(upstreams.all().documents[0].content.at("state") == "draining");
        CHECK_FALSE(upstreams.apply_changes(make_change(make_upstream("a", 8, {{51}, {2}})), start)
                        .has_value());
        CHECK(upstreams
                  .apply_changes(make_change(make_upstream("a", 1, {{52}, {2}}, "ready", 1001)),
                                 start)
                  .has_value());
    }
    SUBCASE("one that was removed does not come back with the copy")
    {
        CHECK(names_of(upstreams) == "a ");
    }
    SUBCASE("but does when it announces itself once more")
    {
        CHECK(upstreams.apply_changes(make_change(make_upstream("c", 3, {{51}, {2}})), start)
                  .has_value());
        CHECK(names_of(upstreams) == "a c ");
    }
    SUBCASE("one that the copy lacks is back with its next announcement, though it is the same")
    {
        CHECK(upstreams.apply_changes(make_change(make_upstream("b", 3, {{51}, {2}})), start)
                  .has_value());
        CHECK(names_of(upstreams) == "a b ");
    }
}

TEST_CASE("a leaving upstream that the copy lacks does not become ready while it is written again")
{
    document_set upstreams(document_kind::upstreams);
    static_cast<void>(upstreams.apply_list(
        make_list({{90}, {1}}, {make_upstream("a", 9, {{88}, {1}}, "draining")}), start));
    static_cast<void>(upstreams.apply_list(make_list({{50}, {2}}, {}), start));
    CHECK_FALSE(upstreams.apply_changes(make_change(make_upstream("a", 3, {{51}, {2}})), start)
                    .has_value());
    static_cast<void>(upstreams.apply_changes(
        make_change(make_upstream("a", 9, {{52}, {2}}, "draining")), start));
    CHECK(upstreams.all().documents.empty());
}

TEST_CASE("orders of roll-outs that the store has lost wait for the time in which they return")
{
    document_set rollouts(document_kind::rollouts);
    const auto make_order = [](const std::string& version, core::store_position position) {
        return make_document("desk", {{"target", version}}, position);
    };
    const auto version = [&] { return rollouts.all().documents.at(0).content.at("target"); };
    static_cast<void>(
        rollouts.apply_list(make_list({{90}, {1}}, {make_order("v3", {{88}, {1}})}), start));
    CHECK_FALSE(rollouts.settles_at().has_value());

    SUBCASE("an order that is missing stays for so long")
    {
        static_cast<void>(rollouts.apply_list(make_list({{50}, {2}}, {}), start));
        CHECK(version() == "v3");
        REQUIRE(rollouts.settles_at().has_value());
        CHECK(*rollouts.settles_at() <= start + settled);
        static_cast<void>(rollouts.apply_list(make_list({{52}, {2}}, {}), start + settled));
        CHECK(rollouts.all().documents.empty());
        CHECK_FALSE(rollouts.settles_at().has_value());
    }
    SUBCASE("an earlier order that the copy has waits for so long")
    {
        const document_list copy = make_list({{50}, {2}}, {make_order("v2", {{40}, {2}})});
        static_cast<void>(rollouts.apply_list(copy, start));
        CHECK(version() == "v3");
        static_cast<void>(rollouts.apply_list(copy, start + settled));
        CHECK(version() == "v2");
    }
    SUBCASE("an order that is written again, and a new one, take effect at once")
    {
        static_cast<void>(rollouts.apply_list(make_list({{50}, {2}}, {}), start));
        CHECK(
            rollouts.apply_changes(make_change(make_order("v3", {{51}, {2}})), start).has_value());
        CHECK(
            rollouts.apply_changes(make_change(make_order("v4", {{52}, {2}})), start).has_value());
        CHECK(version() == "v4");
    }
}

TEST_CASE("a store that does not state its era is read as before")
{
    document_set rules(document_kind::rules);
    static_cast<void>(rules.apply_list(make_list({{90}, {}}, {make_rules(7, {{88}, {}})}), start));
    CHECK(rules.apply_changes(make_change(make_rules(6, {{91}, {}})), start).has_value());
    CHECK(version_of(rules) == 6);
    CHECK_FALSE(rules.apply_list(make_list({{80}, {}}, {make_rules(9, {{80}, {}})}), start)
                    .update.has_value());
    CHECK(version_of(rules) == 6);
}

} // namespace ragwortcove::gateway
