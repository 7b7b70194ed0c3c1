#include "ragwortcove/settings/object_file.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::settings;

TEST_CASE("the examples have no mistakes")
{
    for (const std::string name : {"consortium.ini", "first.ini"}) {
        CAPTURE(name);
        const auto path = std::string(RAGWORTCOVE_SOURCE_DIR) + "/examples/" + name;
        const auto file = read_objects(load_ini(path));
        CHECK(file.errors.empty());
        CHECK_FALSE(file.objects.empty());
        CHECK(check_references(file.objects, {}, core::unix_millis{0}).empty());
    }
}
