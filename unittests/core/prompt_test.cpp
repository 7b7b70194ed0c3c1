#include "ragwortcove/core/prompt.hpp"
#include "ragwortcove/core/request.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove::core;

TEST_CASE("a prompt is counted in tokens and hashed by blocks")
{
    const std::size_t block = std::size_t{prefix_block_tokens} * bytes_per_token;
    const std::string shared(block, 'a');

    SUBCASE("tokens are rounded up")
    {
        CHECK(estimate_tokens("") == 0);
        CHECK(estimate_tokens("abc") == 1);
        CHECK(estimate_tokens("abcde") == 2);
    }
    SUBCASE("only complete blocks are hashed")
    {
        CHECK(prefix_hashes(shared.substr(1)).empty());
        CHECK(prefix_hashes(shared + "tail").size() == 1);
    }
    SUBCASE("prompts with a common prefix share hashes up to the first different block")
    {
        const auto first = prefix_hashes(shared + std::string(block, 'b'));
        const auto second = prefix_hashes(shared + std::string(block, 'c'));
        REQUIRE(first.size() == 2);
        REQUIRE(second.size() == 2);
        CHECK(first[0] == second[0]);
        CHECK(first[1] != second[1]);
    }
    SUBCASE("an equal block after another prefix has another hash")
    {
        const auto repeated = prefix_hashes(shared + shared);
        REQUIRE(repeated.size() == 2);
        CHECK(repeated[0] != repeated[1]);
    }
    SUBCASE("messages are joined in one format")
    {
        std::string prompt;
        append_message(prompt, "user", "hello");
        CHECK(prompt == "user\nhello\n");
    }
}
