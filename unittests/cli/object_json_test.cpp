#include "ragwortcove/cli/object_json.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::cli;

TEST_CASE("objects are printed as JSON")
{
    const core::object tier{{core::object_kind::tier, "desk"}, {}, core::tier_spec{1}, {17}};
    const std::string object = R"({"kind":"tier","name":"desk","revision":17,"change":"c-1",)"
                               R"("fields":{"rank":"1","queue_limit":"30s"}})";
    SUBCASE("one, with the change that wrote it")
    {
        CHECK(write_json(tier, "c-1") == object);
    }
    SUBCASE("a list, with the revision that it was read at")
    {
        CHECK(write_json(core::platform_listed{{"s"}, {40}, {}}) ==
              R"({"store":"s","revision":40,"objects":[]})");
        const std::string listed = write_json(core::platform_listed{{"s"}, {40}, {tier}});
        CHECK(listed.find(R"("objects":[{"kind":"tier","name":"desk")") != std::string::npos);
    }
    SUBCASE("changes, as they come")
    {
        CHECK(write_change({"s"}, {18}, tier.key) ==
              R"({"store":"s","revision":18,"deleted":{"kind":"tier","name":"desk"}})");
        CHECK(
            write_change({"s"}, {17}, tier).starts_with(R"({"store":"s","revision":17,"object":)"));
    }
}
