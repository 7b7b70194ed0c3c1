#include "ragwortcove/bench/scenario.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::bench;

static std::string error_of(std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_AUTO(script, parse_scenario("story.scenario", text));
            return std::string("read ") + std::to_string(script.statements.size());
        },
        [](const scenario_error& error) { return format_error(error); },
        [] { return std::string("another error"); });
}

static scenario_outcome outcome_of(std::string_view text)
{
    const auto script = parse_scenario("story.scenario", text);
    REQUIRE(script.has_value());
    return run_scenario(*script);
}

TEST_CASE("a script is read a statement a line")
{
    const auto script = parse_scenario("story.scenario", "# a story\n"
                                                         "deployment small load 0.5 seed 3\n"
                                                         "\n"
                                                         "wait 2s   # a while\n"
                                                         "kill node node-1 silently for 3s\n"
                                                         "expect node node-1 down\n");
    REQUIRE(script.has_value());
    REQUIRE(script->statements.size() == 4);
    CHECK(std::get<use_deployment>(script->statements[0].command).seed == 3);
    CHECK(script->statements[2].line == 5);
    const auto& injected = std::get<inject_fault>(script->statements[2].command);
    CHECK(std::get<node_crash>(injected.what).vm_lost);
    CHECK(std::get<expect_node>(script->statements[3].command).condition == node_condition::down);
}

TEST_CASE("a mistake is told with file, line, what was expected and what was found")
{
    const std::string start = "deployment small\n";
    CHECK(error_of("") == "story.scenario:1: expected a statement, found the end of the file");
    CHECK(error_of("wait 1s") == "story.scenario:1: expected 'deployment' as the first statement, "
                                 "before, found 1s");
    CHECK(error_of(start + "wait") == "story.scenario:2: expected a time of at most 24h, such as "
                                      "250ms or 3s, found the end of the line");
    CHECK(error_of(start + "wait 5 s") == "story.scenario:2: expected a time of at most 24h, such "
                                          "as 250ms or 3s, found 5");
    CHECK(error_of(start + "\npause node node-9 for 1s") ==
          "story.scenario:3: expected a node: node-1, node-2, node-3, found node-9");
    CHECK(error_of(start + "platform slow by -2 for 1s") ==
          "story.scenario:2: expected a factor between 0.001 and 1000, found -2");
    CHECK(error_of(start + "burst by 2 for 1s now") ==
          "story.scenario:2: expected the end of the line, found now");
    CHECK(error_of(start + "expect call one answered") ==
          "story.scenario:2: expected a call, found one");
    CHECK(error_of(start + "declare tier new rank=first") ==
          "story.scenario:2: expected a whole number for 'rank', not 'first', before, found the "
          "end of the line");
}

TEST_CASE("a script holds, or fails at a statement and shows what led to it")
{
    SUBCASE("it holds")
    {
        const scenario_outcome outcome = outcome_of("deployment small\n"
                                                    "wait 2s\n"
                                                    "call one route payment team two\n"
                                                    "expect call one answered within 3s\n");
        CHECK(outcome.held);
        CHECK(outcome.failure.empty());
    }
    SUBCASE("it fails")
    {
        const scenario_outcome outcome = outcome_of("deployment small\n"
                                                    "wait 2s\n"
                                                    "call one route payment team two\n"
                                                    "expect call one refused within 3s\n");
        CHECK_FALSE(outcome.held);
        CHECK(outcome.failure == "story.scenario:4: expect call one refused within 3s: found the "
                                 "call answered after 1 tries");
        CHECK_FALSE(outcome.trace.empty());
    }
    SUBCASE("an object that an operator deletes is no longer in force")
    {
        const scenario_outcome outcome = outcome_of("deployment small\n"
                                                    "wait 2s\n"
                                                    "declare team three weight=2\n"
                                                    "expect in_force team three within 3s\n"
                                                    "delete team three\n"
                                                    "expect in_force team three\n");
        CHECK_FALSE(outcome.held);
        CHECK(outcome.failure.starts_with("story.scenario:6: "));
    }
}
