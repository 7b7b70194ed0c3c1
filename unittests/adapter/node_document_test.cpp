#include "platform/node_document.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::adapter {

using namespace std::chrono_literals;

TEST_CASE("a node's entry is read as it was written, and one that was spoilt is rejected")
{
    const node_entry entry{{"edge-1"}, {"10.0.0.1", 8229}, 1'700'000'000'000ms};
    store_document document = write_node_document(entry);
    CHECK(document.name == "edge-1");
    SUBCASE("as it was written")
    {
        const auto parsed = read_node_document(document);
        REQUIRE(std::holds_alternative<node_entry>(parsed));
        CHECK(std::get<node_entry>(parsed) == entry);
    }
    SUBCASE("without an address")
    {
        document.content.as_object().erase("peers");
        CHECK(std::holds_alternative<document_error>(read_node_document(document)));
    }
    SUBCASE("with an address that is none")
    {
        document.content.as_object()["peers"] = "10.0.0.1:0";
        CHECK(std::holds_alternative<document_error>(read_node_document(document)));
    }
    SUBCASE("with a time that cannot be meant")
    {
        document.content.as_object()["written_at"] = -1;
        CHECK(std::holds_alternative<document_error>(read_node_document(document)));
    }
    SUBCASE("that is no object")
    {
        document.content = 7;
        CHECK(std::holds_alternative<document_error>(read_node_document(document)));
    }
}

} // namespace ragwortcove::adapter
