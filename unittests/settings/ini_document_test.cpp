#include "ragwortcove/settings/ini_document.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove::settings;

TEST_CASE("an INI document knows the lines of what it holds")
{
    const auto document = parse_ini("site.ini", "; tiers of the site\n"
                                                "[tier gold]\n"
                                                "rank = 0 ; served first\n"
                                                "\n"
                                                "# a team needs no entries\n"
                                                "[team large]\n"
                                                "[tier silver]\r\n"
                                                "  rank : 1\r\n"
                                                "queue_limit=5s");
    REQUIRE(document.errors.empty());
    REQUIRE(document.sections.size() == 3);

    SUBCASE("sections and entries carry their lines")
    {
        CHECK(document.sections[0].name == "tier gold");
        CHECK(document.sections[0].line == 2);
        CHECK(document.sections[0].entries.at(0).value == "0");
        CHECK(document.sections[0].entries.at(0).line == 3);
        CHECK(document.sections[2].entries.at(0).key == "rank");
        CHECK(document.sections[2].entries.at(0).line == 8);
        CHECK(document.sections[2].entries.at(1).value == "5s");
        CHECK(document.sections[2].entries.at(1).line == 9);
    }
    SUBCASE("a section without entries is there")
    {
        const auto* team = find_section(document, "team large");
        REQUIRE(team != nullptr);
        CHECK(team->entries.empty());
        CHECK(find_entry(*team, "weight") == nullptr);
    }
}

TEST_CASE("every line that is not INI is reported with its place")
{
    const auto document =
        parse_ini("bad.ini", "[tier gold\n"
                             "rank 0\n"
                             "= 5\n"
                             "weight = \x02\n"
                             "rank = 0\n" +
                                 std::string(400, 'x') + "= 1\n[" + std::string(60, 'n') + "]\n");
    REQUIRE(document.errors.size() == 6);
    CHECK(format_error(document.errors[0]) ==
          "bad.ini:1: \"[tier gold\": expected a section header such as [tier gold]");
    CHECK(format_error(document.errors[1]) ==
          "bad.ini:2: \"rank 0\": expected a line such as key = value");
    CHECK(document.errors[2].line == 3);
    CHECK(document.errors[3].expected == "text without control characters");
    CHECK(document.errors[4].line == 6);
    CHECK(document.errors[5].line == 7);
    REQUIRE(document.sections.size() == 1);
    CHECK(document.sections[0].entries.size() == 1);
}

TEST_CASE("a file that cannot be opened is an error of the whole file")
{
    const auto document = load_ini("/nonexistent/site.ini");
    REQUIRE(document.errors.size() == 1);
    CHECK(format_error(document.errors[0]) ==
          "/nonexistent/site.ini: expected a file that can be read");
}
