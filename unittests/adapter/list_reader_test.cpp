#include "platform/list_reader.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <utility>

namespace ragwortcove::adapter {

static constexpr core::store_era era{1};

static document_page page(std::uint64_t at, std::vector<std::string> names,
                          const std::optional<std::string>& next_page_after)
{
    document_page result;
    result.part.at = core::revision{at};
    for (std::string& name : names) {
        store_document& added = result.part.documents.emplace_back();
        added.name = std::move(name);
        added.at = core::revision{at};
    }
    result.is_last = !next_page_after;
    result.next_page_after = next_page_after.value_or("");
    return result;
}

TEST_CASE("the pages of a list are joined")
{
    list_reader reader;

    SUBCASE("one page is the list")
    {
        const list_step step = reader.add(page(7, {"a"}, std::nullopt), era);
        CHECK(std::holds_alternative<list_complete>(step));
        CHECK(reader.list().documents.size() == 1);
        CHECK(reader.list().at == core::revision{7});
        CHECK(reader.list().era == era);
    }
    SUBCASE("several have the revision of the first, and tell how far they have come")
    {
        list_step step = reader.add(page(7, {"a", "b"}, "b"), era);
        REQUIRE(std::holds_alternative<list_continues>(step));
        CHECK(reader.progress().pages == 1);
        CHECK(reader.progress().documents == 2);
        CHECK(reader.progress().after == "b");
        step = reader.add(page(9, {"c"}, std::nullopt), era);
        CHECK(std::holds_alternative<list_complete>(step));
        CHECK(reader.list().documents.size() == 3);
        CHECK(reader.list().at == core::revision{7});
    }
    SUBCASE("those of two eras are no list")
    {
        static_cast<void>(reader.add(page(7, {"a"}, "a"), era));
        const list_step step = reader.add(page(3, {"b"}, std::nullopt), core::store_era{2});
        CHECK(std::holds_alternative<list_era_changed>(step));
    }
    SUBCASE("one that ends where an earlier one has ended is not followed by another")
    {
        CHECK(std::holds_alternative<list_continues>(reader.add(page(7, {"a"}, "a"), era)));
        CHECK(std::holds_alternative<list_continues>(reader.add(page(7, {"b"}, "b"), era)));
        CHECK(std::holds_alternative<list_stuck>(reader.add(page(7, {"a"}, "a"), era)));
    }
    SUBCASE("one that gives no name to go on from is not followed by another")
    {
        CHECK(std::holds_alternative<list_stuck>(reader.add(page(7, {}, ""), era)));
    }
    SUBCASE("their order is the store's own")
    {
        CHECK(std::holds_alternative<list_continues>(reader.add(page(7, {"b"}, "b"), era)));
        CHECK(std::holds_alternative<list_continues>(reader.add(page(7, {"B"}, "B"), era)));
        CHECK(std::holds_alternative<list_complete>(reader.add(page(7, {"a"}, std::nullopt), era)));
    }
    SUBCASE("they hold as many documents as a node keeps")
    {
        const std::vector<std::string> many(max_list_documents, "a");
        CHECK(std::holds_alternative<list_continues>(reader.add(page(7, many, "a"), era)));
        CHECK(std::holds_alternative<list_too_long>(reader.add(page(7, {"b"}, std::nullopt), era)));
    }
}

} // namespace ragwortcove::adapter
