#include "ragwortcove/http/percent_encoding.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::http {

static std::string all_bytes()
{
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte)
        bytes += static_cast<char>(byte);
    return bytes;
}

TEST_CASE("a text of any bytes stands in a target as it is")
{
    SUBCASE("escaped, it holds no byte that has a meaning there")
    {
        const std::string escaped = percent_encoded(all_bytes());
        CHECK(escaped.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                        "0123456789-._~%") == std::string::npos);
        CHECK(percent_decoded(escaped) == all_bytes());
        CHECK(query_decoded(escaped) == all_bytes());
    }
    SUBCASE("letters, digits and four marks stay")
    {
        CHECK(percent_encoded("i-93e3b823_v1.0~") == "i-93e3b823_v1.0~");
        CHECK(percent_encoded("a00%20 +&=#/?") == "a00%2520%20%2B%26%3D%23%2F%3F");
        CHECK(percent_encoded("a04\xc3\xa9") == "a04%C3%A9");
        CHECK(percent_encoded("").empty());
    }
    SUBCASE("a plus is a space in a query, and itself in a path")
    {
        CHECK(query_decoded("a+b%2b") == "a b+");
        CHECK(percent_decoded("a+b%2b") == "a+b+");
    }
    SUBCASE("a path keeps its slashes and marks")
    {
        CHECK(path_encoded("/a b/c?d#e%/f:@!$&'()*+,;=-._~") ==
              "/a%20b/c%3Fd%23e%25/f:@!$&'()*+,;=-._~");
    }
    SUBCASE("a text with an invalid escape stands for itself")
    {
        for (const char* text : {"100%", "%zz", "a%2", "a+%"}) {
            CAPTURE(text);
            CHECK(percent_decoded(text) == text);
            CHECK(query_decoded(text) == text);
        }
    }
}

} // namespace ragwortcove::http
