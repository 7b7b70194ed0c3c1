#include "ragwortcove/cli/plan.hpp"
#include "ragwortcove/cli/table.hpp"

#include <doctest/doctest.h>

#include <sstream>

using namespace ragwortcove;
using namespace ragwortcove::cli;

static std::vector<settings::declared_object> declared(std::string_view text)
{
    return settings::read_objects(settings::parse_ini("f.ini", text)).objects;
}

TEST_CASE("a plan holds what applying a file would change")
{
    const auto wanted = declared("[route ask]\ntarget = chat\ntier = desk\n"
                                 "[tier desk]\nrank = 1\n"
                                 "[team large]\nweight = 2\nlabel.site = zurich\n");
    std::vector<core::object> in_force = {
        {{core::object_kind::tier, "desk"}, {}, core::tier_spec{0}, {7}},
        {{core::object_kind::team, "large"}, {{"site", "zurich"}}, core::team_spec{2.0}, {8}}};
    auto plan = plan_changes(wanted, in_force);
    REQUIRE(plan.size() == 3);

    SUBCASE("in the order of writing, whatever the file's order is")
    {
        CHECK(plan[0].wanted.key.kind == core::object_kind::tier);
        CHECK(plan[1].wanted.key.kind == core::object_kind::team);
        CHECK(plan[2].wanted.key.kind == core::object_kind::route);
    }
    SUBCASE("with what each change is")
    {
        CHECK(plan[0].action == change_action::update);
        CHECK(plan[0].current->written_at == core::revision{7});
        CHECK(plan[1].action == change_action::keep);
        CHECK(plan[2].action == change_action::create);
        CHECK_FALSE(plan[2].current.has_value());
    }
    SUBCASE("a change of labels alone is a change")
    {
        in_force[1].labels.clear();
        plan = plan_changes(wanted, in_force);
        CHECK(plan[1].action == change_action::update);
    }
    SUBCASE("and the fields that it takes away and brings")
    {
        std::ostringstream text;
        print_difference(text, plan[0]);
        CHECK(text.str() == "update [tier desk]\n  - rank = 0\n  + rank = 1\n");
    }
}

TEST_CASE("a table's columns are as wide as their widest cell")
{
    std::ostringstream text;
    print(text, {{"NAME", "REVISION"}, {{"engine-1", "7"}, {"e", ""}}});
    CHECK(text.str() == "NAME      REVISION\nengine-1  7\ne\n");
}
