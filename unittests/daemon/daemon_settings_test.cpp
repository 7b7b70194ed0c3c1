#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/daemon/daemon_settings.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace ragwortcove;
using namespace ragwortcove::daemon;

static constexpr const char* whole_file = "[node]\n"
                                          "name = entry-a1\n"
                                          "region = ch\n"
                                          "failure_domain = zurich\n"
                                          "callers = 127.0.0.1:22001\n"
                                          "peers = [::1]:22002\n"
                                          "seeds = 127.0.0.1:22012, 127.0.0.1:22022\n"
                                          "idle_limit = 750ms\n"
                                          "[platform]\n"
                                          "mode = http\n"
                                          "address = 127.0.0.1:22100\n"
                                          "calls_per_second = 2.5\n"
                                          "[log]\n"
                                          "level = warning\n"
                                          "format = json\n"
                                          "[admin]\n"
                                          "token = 0123456789abcdef\n";

static settings_outcome read_text(const std::string& text)
{
    return read_daemon_settings(settings::parse_ini("daemon.ini", text));
}

static std::string place_of(const settings::located_error& error)
{
    return std::to_string(error.line) + " " + error.key;
}

TEST_CASE("a whole settings file gives settings")
{
    const settings_outcome read = read_text(whole_file);
    REQUIRE(read.errors.empty());
    REQUIRE(read.settings);
    const core::node_settings& node = read.settings->node;
    CHECK(node.name.value == "entry-a1");
    CHECK(node.peers == core::endpoint{"::1", 22002});
    CHECK(node.seeds.size() == 2);
    CHECK(node.idle_limit == std::chrono::milliseconds{750});
    CHECK(node.platform_calls_per_second == 2.5);
    CHECK(read.settings->log.level == log_level::warning);
    CHECK(read.settings->log.format == log_format::json);
    CHECK(format_endpoint(node.peers) == "[::1]:22002");
}

TEST_CASE("the settings files of the examples can be run with")
{
    for (const std::string name : {"daemon-a", "daemon-b", "daemon-c", "single-daemon"}) {
        CAPTURE(name);
        const std::string path = RAGWORTCOVE_SOURCE_DIR "/examples/" + name + ".ini";
        const settings_outcome read = load_daemon_settings(path);
        for (const settings::located_error& error : read.errors)
            MESSAGE(settings::format_error(error));
        CHECK(read.settings);
    }
}

TEST_CASE("a settings file with mistakes gives each of them with its place")
{
    SUBCASE("five different mistakes give five errors, in the file's order")
    {
        const settings_outcome read = read_text("[node]\n"
                                                "name = entry-a1\n"
                                                "region = ch\n"
                                                "failure_domain = zurich\n"
                                                "callers = 127.0.0.1:70000\n"
                                                "idle_limit = 750\n"
                                                "colour = blue\n"
                                                "[plattform]\n"
                                                "mode = http\n"
                                                "[platform]\n"
                                                "mode = embedded\n"
                                                "address = 127.0.0.1:22100\n");
        CHECK_FALSE(read.settings);
        REQUIRE(read.errors.size() == 5);
        CHECK(place_of(read.errors[0]) == "1 [node] peers");
        CHECK(place_of(read.errors[1]) == "5 callers");
        CHECK(place_of(read.errors[2]) == "6 idle_limit");
        CHECK(read.errors[2].expected.find("such as 2s") != std::string::npos);
        CHECK(read.errors[2].found == "750");
        CHECK(place_of(read.errors[3]) == "7 colour");
        CHECK(place_of(read.errors[4]) == "8 plattform");
    }
    SUBCASE("a duration out of range")
    {
        const settings_outcome read =
            read_text(std::string{whole_file} + "[node]\naddress_time_to_live = 2h\n");
        REQUIRE(read.errors.size() == 1);
        CHECK(place_of(read.errors[0]) == "19 address_time_to_live");
    }
    SUBCASE("a key that stands twice")
    {
        const settings_outcome read = read_text(std::string{whole_file} + "[node]\nname = b\n");
        REQUIRE(read.errors.size() == 1);
        CHECK(read.errors[0].expected == "each key once");
    }
    SUBCASE("a certificate without its key, a platform without its address")
    {
        const settings_outcome read = read_text("[node]\n"
                                                "name = a\nregion = ch\nfailure_domain = z\n"
                                                "callers = 127.0.0.1:1\npeers = 127.0.0.1:2\n"
                                                "[platform]\nmode = http\n"
                                                "[tls]\ncertificate = a.pem\n");
        REQUIRE(read.errors.size() == 2);
        CHECK(place_of(read.errors[0]) == "7 [platform] address");
        CHECK(place_of(read.errors[1]) == "9 [tls] private_key");
    }
    SUBCASE("an address that is not on loopback, without TLS")
    {
        const settings_outcome read = read_text("[node]\n"
                                                "name = a\nregion = ch\nfailure_domain = z\n"
                                                "callers = 192.0.2.1:80\npeers = 127.0.0.1:2\n"
                                                "[platform]\nmode = http\n"
                                                "address = 127.0.0.1:22100\n");
        REQUIRE(read.errors.size() == 1);
        CHECK(read.errors[0].key == "[tls] certificate");
    }
    SUBCASE("a file that is not there")
    {
        const settings_outcome read = load_daemon_settings("/nonexistent/daemon.ini");
        CHECK(read.errors.size() == 1);
    }
}
