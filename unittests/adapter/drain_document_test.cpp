#include "platform/drain_document.hpp"
#include "platform/store_call.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace ragwortcove::adapter {

TEST_CASE("an order to drain a domain is known by its name alone")
{
    const store_document written = write_drain_document({"zrh-a"});
    CHECK(written.name == "zrh-a");
    CHECK(written.content == boost::json::value(boost::json::object{}));
    const std::vector<store_document> documents{written};
    CHECK(read_drain_orders(documents).domains ==
          std::vector<core::failure_domain_name>{{"zrh-a"}});
    CHECK(write_store_call(list_documents{std::string(store_name(document_kind::domain_drains))})
              .target.starts_with("/objects/evacuations"));
}

// Another writer's entry must neither hide the operator's orders nor drain what has no name.
TEST_CASE("an odd entry beside orders to drain domains costs that entry alone")
{
    const auto page = read_page(R"({"entries":[
        {"meta":{"name":"a","revision":5},"spec":{}},
        {"meta":{"name":"","revision":6},"spec":{}},
        {"meta":{"name":"b\r\nX: 1","revision":7},"spec":{}},
        {"meta":{"revision":8},"spec":{}},
        7,
        {"meta":{"name":"c","revision":9},"spec":[1,"x"]},
        {"meta":{"name":"d","revision":10}},
        {"meta":{"name":"e","revision":11,"deleting":true,"finalizers":["x"]},"spec":{}}
        ],"has_more":false,"current_rev":12})");
    REQUIRE(page.has_value());
    CHECK(page->part.unreadable == 2);
    const drain_orders orders = read_drain_orders(page->part.documents);
    SUBCASE("what else an entry says does not matter, nor that it is being removed")
    {
        const std::vector<core::failure_domain_name> expected{{"a"}, {"c"}, {"d"}, {"e"}};
        CHECK(orders.domains == expected);
    }
    SUBCASE("an entry without a usable name is reported")
    {
        REQUIRE(orders.unreadable.size() == 2);
        CHECK(orders.unreadable[0].expected == "a failure domain as the name");
    }
}

} // namespace ragwortcove::adapter
