#include "ragwortcove/core/store_contact.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::core {

using namespace std::chrono_literals;

// Guards against single failed calls that stand for an outage of the store, after which upstreams
// that were removed are kept in use for a time, and against an outage that is missed.
TEST_CASE("an outage of the store is told from calls that fail while it answers others")
{
    store_contact contact;
    const time_point start{1h};
    CHECK_FALSE(contact.on_answer(start));

    SUBCASE("a call that fails, with an answer to the next one, is no outage")
    {
        CHECK_FALSE(contact.on_no_answer(start + 1s, start + 1s));
        CHECK_FALSE(contact.on_answer(start + 1100ms));
        SUBCASE("however often that happens")
        {
            CHECK_FALSE(contact.on_no_answer(start + 3s, start + 3s));
            CHECK_FALSE(contact.on_answer(start + 3700ms));
        }
    }
    SUBCASE("a call that fails late is no outage if others were answered meanwhile")
    {
        CHECK_FALSE(contact.on_answer(start + 2400ms));
        CHECK_FALSE(contact.on_no_answer(start + 1s, start + 2500ms));
        CHECK_FALSE(contact.on_answer(start + 2600ms));
    }
    SUBCASE("calls that fail for longer show an outage, which ends with the next answer")
    {
        CHECK_FALSE(contact.on_no_answer(start + 2s, start + 2s));
        CHECK_FALSE(contact.on_no_answer(start + 2100ms, start + 2500ms));
        CHECK(contact.on_no_answer(start + 2600ms, start + 4100ms));
        CHECK(contact.on_answer(start + 8s));
        CHECK_FALSE(contact.on_answer(start + 8100ms));
        CHECK_FALSE(contact.on_no_answer(start + 9s, start + 9s));
    }
    SUBCASE("one call that had no answer for long shows an outage by itself")
    {
        CHECK(contact.on_no_answer(start + 2s, start + 3500ms));
        CHECK(contact.on_answer(start + 3600ms));
    }
    SUBCASE("an outage at the start is none that has removed anything, until calls fail for long")
    {
        store_contact fresh;
        CHECK_FALSE(fresh.on_no_answer(start, start + 10ms));
        CHECK(fresh.on_no_answer(start + 50ms, start + 1500ms));
    }
}

} // namespace ragwortcove::core
