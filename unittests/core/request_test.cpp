#include "ragwortcove/core/request.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace ragwortcove::core;

static bool is_url_safe(std::string_view text)
{
    return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~") ==
           std::string_view::npos;
}

TEST_CASE("an idempotency key built on a ticket names the entry that minted it")
{
    SUBCASE("of an IPv4 entry")
    {
        const ticket minted{{"127.0.0.2", 24000}, {0xfeed}, 7};
        CHECK(format_ticket(minted) == "t1-127.0.0.2-24000-feed-7");
        const auto key = parse_idempotency_key("t1-127.0.0.2-24000-feed-7.pay.1-2");
        CHECK(key.text == "t1-127.0.0.2-24000-feed-7.pay.1-2");
        CHECK(key.on_ticket == minted);
    }
    SUBCASE("of an IPv6 entry")
    {
        const ticket minted{{"fd00::7", 65535}, {1}, 0xffffffffffffffff};
        CHECK(is_url_safe(format_ticket(minted)));
        CHECK(parse_idempotency_key(format_ticket(minted) + ".a").on_ticket == minted);
    }
    SUBCASE("any formatted ticket is parsed back to the same ticket")
    {
        const bool holds = rc::check([](std::uint64_t minted_by, std::uint64_t nonce,
                                        std::uint16_t port, const std::string& suffix) {
            const ticket minted{{"10.1.2.3", port}, {minted_by}, nonce};
            const auto key = parse_idempotency_key(format_ticket(minted) + "." + suffix + "x");
            RC_ASSERT(key.on_ticket == minted);
        });
        CHECK(holds);
    }
}

TEST_CASE("any other text is a key without a ticket")
{
    for (const auto* text :
         {"", "order-77", "t1-127.0.0.2-24000-feed-7", "t1-127.0.0.2-24000-feed-7.",
          "t2-127.0.0.2-24000-feed-7.a", "t1--24000-feed-7.a", "t1-127.0.0.2-99999-feed-7.a",
          "t1-127.0.0.2-24000-zz-7.a", "t1-127.0.0.2-24000-0feed-7.a",
          "t1-127.0.0.2-24000-feed-7-8.a"}) {
        CAPTURE(text);
        const auto key = parse_idempotency_key(text);
        CHECK(key.text == text);
        CHECK_FALSE(key.on_ticket.has_value());
    }
}

TEST_CASE("a request id consists of its entry's incarnation and a sequence number")
{
    CHECK(format_request_id({{0xabc}, 12}) == "abc-12");
}
