#include "ragwortcove/core/prompt.hpp"
#include "ragwortcove/core/request.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove::core;

TEST_CASE("a prompt is counted and hashed by blocks")
{
    const std::size_t block = std::size_t{prefix_block_tokens} * bytes_per_token;
    const std::string shared(block, 'a');

    SUBCASE("tokens are rounded up")
    {
        CHECK(estimate_tokens("") == 0);
        CHECK(estimate_tokens("abc") == 1);
        CHECK(estimate_tokens("abcde") == 2);
    }
    SUBCASE("only whole blocks are hashed")
    {
        CHECK(prefix_hashes(shared.substr(1)).empty());
        CHECK(prefix_hashes(shared + "tail").size() == 1);
    }
    SUBCASE("prompts that begin alike share hashes up to where they differ")
    {
        const auto one = prefix_hashes(shared + std::string(block, 'b'));
        const auto two = prefix_hashes(shared + std::string(block, 'c'));
        REQUIRE(one.size() == 2);
        REQUIRE(two.size() == 2);
        CHECK(one[0] == two[0]);
        CHECK(one[1] != two[1]);
    }
    SUBCASE("an equal block after another prefix has another hash")
    {
        const auto repeated = prefix_hashes(shared + shared);
        REQUIRE(repeated.size() == 2);
        CHECK(repeated[0] != repeated[1]);
    }
    SUBCASE("messages are joined in one form")
    {
        std::string prompt;
        append_message(prompt, "user", "hello");
        CHECK(prompt == "user\nhello\n");
    }
}
