#include "ragwortcove/daemon/daemon_settings.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove::daemon;

TEST_CASE("the example daemons' settings have no mistakes")
{
    for (const std::string name :
         {"daemon-a.ini", "daemon-b.ini", "daemon-c.ini", "single-daemon.ini"}) {
        CAPTURE(name);
        const auto path = std::string(RAGWORTCOVE_SOURCE_DIR) + "/examples/" + name;
        const auto read = load_daemon_settings(path);
        CHECK(read.errors.empty());
        CHECK(read.settings.has_value());
    }
}
