#include "ragwortcove/settings/object_file.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::settings;

static constexpr std::string_view site = "[tier desk]\n"
                                         "rank = 0\n"
                                         "[version chat-v1]\n"
                                         "target = chat\n"
                                         "[version chat-v2]\n"
                                         "target = chat\n"
                                         "[upstream e1]\n"
                                         "address = 127.0.0.1:9000\n"
                                         "failure_domain = a\n"
                                         "target = chat\n"
                                         "version = chat-v1\n"
                                         "label.gpu = new\n"
                                         "[route ask]\n"
                                         "target = chat\n"
                                         "tier = desk\n"
                                         "version = chat-v1\n"
                                         "selector.gpu = new\n";

/// 2026-12-03T23:00:00Z.
static constexpr core::unix_millis now{1796338800000};

static std::vector<core::object> objects_of(std::string_view text)
{
    std::vector<core::object> objects;
    for (const auto& each : read_objects(parse_ini("site.ini", text)).objects)
        objects.push_back(each.value);
    return objects;
}

static std::vector<std::string> faults(std::string_view text,
                                       std::span<const core::object> in_force = {})
{
    const auto file = read_objects(parse_ini("f.ini", text));
    REQUIRE(file.errors.empty());
    std::vector<std::string> lines;
    for (const auto& error : check_references(file.objects, in_force, now))
        lines.push_back(format_error(error));
    return lines;
}

using lines = std::vector<std::string>;

TEST_CASE("a file of objects that fit together has no faults")
{
    CHECK(objects_of(site).size() == 5);
    CHECK(faults(site) == lines{});
    CHECK(faults(site, objects_of(site)) == lines{});
}

TEST_CASE("five different mistakes give five located errors")
{
    const auto file = read_objects(parse_ini("f.ini", "[tier gold]\n"
                                                      "rank = first\n"
                                                      "queue_limit = 5\n"
                                                      "[lease move/m]\n"
                                                      "colour blue\n"
                                                      "[route ask]\n"
                                                      "target = chat\n"
                                                      "speed = high\n"));
    lines found;
    for (const auto& error : file.errors)
        found.push_back(format_error(error));
    REQUIRE(found.size() == 6);
    CHECK(found[0] == "f.ini:2: rank = \"first\": expected a whole number");
    CHECK(found[1] == "f.ini:3: queue_limit = \"5\": "
                      "expected a duration with its unit, such as 250ms, 3s or 5m");
    CHECK(found[2] == "f.ini:4: \"lease move/m\": expected a section [KIND NAME] of the kinds "
                      "tier, team, version, upstream, route or move");
    CHECK(found[3] == "f.ini:5: \"colour blue\": expected a line such as key = value");
    CHECK(found[4] == "f.ini:6: tier: expected a name of letters, digits, '.', '_' and '-'");
    CHECK(found[5].starts_with("f.ini:8: speed = \"high\": expected one of the keys target"));
    CHECK(file.objects.empty());
}

TEST_CASE("a header without a name is a located error")
{
    const auto file = read_objects(parse_ini("f.ini", "\n[upstream ]\nslots = 1\n"));
    CHECK(file.objects.empty());
    REQUIRE(file.errors.size() == 1);
    CHECK(file.errors.front().line == 2);
}

TEST_CASE("objects must fit the others")
{
    const auto in_force = objects_of(site);

    SUBCASE("a route names what is declared")
    {
        CHECK(faults("[route r]\ntarget = chat\ntier = gold\n", in_force) ==
              lines{"f.ini:3: tier = \"gold\": expected a tier that is declared"});
        CHECK(faults("[route r]\ntarget = talk\ntier = desk\n", in_force) ==
              lines{"f.ini:2: target = \"talk\": expected a target that an upstream declares"});
        CHECK(faults("[route r]\ntarget = chat\ntier = desk\nversion = v9\n", in_force) ==
              lines{"f.ini:4: version = \"v9\": expected a version that is declared"});
    }
    SUBCASE("a route's version is served by an upstream that the route may use")
    {
        CHECK(faults("[route r]\ntarget = chat\ntier = desk\nversion = chat-v2\n", in_force) ==
              lines{"f.ini:4: version = \"chat-v2\": "
                    "expected a version that a selected upstream serves"});
        CHECK(faults("[route r]\ntarget = chat\ntier = desk\nversion = chat-v1\n"
                     "selector.gpu = old\n",
                     in_force) == lines{"f.ini:4: version = \"chat-v1\": "
                                        "expected a version that a selected upstream serves"});
    }
    SUBCASE("an upstream's version is of its target")
    {
        CHECK(faults("[upstream u]\naddress = 127.0.0.1:1\nfailure_domain = a\n"
                     "target = talk\nversion = chat-v1\n",
                     in_force) ==
              lines{"f.ini:5: version = \"chat-v1\": expected a version of the target talk"});
    }
    SUBCASE("a header stands once, also over two files")
    {
        auto one = read_objects(parse_ini("a.ini", "[team t]\n"));
        const auto two = read_objects(parse_ini("b.ini", "\n[team t]\n"));
        one.objects.push_back(two.objects.at(0));
        const auto errors = check_references(one.objects, {}, now);
        REQUIRE(errors.size() == 1);
        CHECK(format_error(errors[0]) == "b.ini:2: \"team t\": expected each section once");
    }
}

static std::string move(std::string_view name, std::string_view to, std::string_view finish_by)
{
    return "[move " + std::string(name) +
           "]\nroute = ask\nfrom = chat-v1\nto = " + std::string(to) +
           "\nfinish_by = " + std::string(finish_by) + "\n";
}

TEST_CASE("a move can be carried out")
{
    const auto in_time = "2026-12-03T23:30:00Z";
    auto in_force = objects_of(site);
    CHECK(faults(move("m", "chat-v2", in_time), in_force) == lines{});

    SUBCASE("its finish_by has not passed, unless it is in force already")
    {
        const auto late = move("m", "chat-v2", "2026-12-03T22:59:59Z");
        CHECK(faults(late, in_force) == lines{"f.ini:5: finish_by = \"2026-12-03T22:59:59Z\": "
                                              "expected a time that has not passed"});
        in_force.push_back(objects_of(late).at(0));
        CHECK(faults(late, in_force) == lines{});
    }
    SUBCASE("its versions differ and are declared")
    {
        CHECK(faults(move("m", "chat-v1", in_time), in_force) ==
              lines{"f.ini:4: to = \"chat-v1\": expected another version than from"});
        CHECK(faults(move("m", "chat-v3", in_time), in_force) ==
              lines{"f.ini:4: to = \"chat-v3\": expected a version that is declared"});
    }
    SUBCASE("its route has no other move until that has ended")
    {
        in_force.push_back(objects_of(move("first", "chat-v2", in_time)).at(0));
        const auto second = move("second", "chat-v2", in_time);
        CHECK(faults(second, in_force) ==
              lines{"f.ini:2: route = \"ask\": "
                    "expected a route without another move that has not ended"});
        in_force.push_back({{core::object_kind::move_status, "first"},
                            {},
                            core::move_status_spec{core::move_phase::reverted, 0, {1}, "slow"},
                            {}});
        CHECK(faults(second, in_force) == lines{});
    }
}
