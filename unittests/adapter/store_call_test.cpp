#include "platform/object_codec.hpp"
#include "platform/store_call.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::adapter;
using namespace std::chrono_literals;

/// A call as the store reads what a client has written.
template <class Call> static Call sent(const Call& call)
{
    const std::optional<store_call> read = read_store_call(write_store_call(call));
    REQUIRE(read.has_value());
    REQUIRE(std::holds_alternative<Call>(*read));
    return std::get<Call>(*read);
}

static store_document document()
{
    store_document made;
    made.name = "tier.desk";
    made.content = boost::json::object{{"x", 1}};
    made.finalizers = {"keeper"};
    return made;
}

TEST_CASE("the store reads each call as it was written")
{
    SUBCASE("a list, from the start or behind a name, fresh or old")
    {
        CHECK(write_store_call(list_documents{"things"}).target == "/objects/things");
        const auto call = sent(list_documents{"things", "thing-7", true});
        CHECK(call.kind == "things");
        CHECK(call.after == "thing-7");
        CHECK(call.may_be_stale);
        CHECK_FALSE(sent(list_documents{"things"}).may_be_stale);
    }
    SUBCASE("a watch")
    {
        const auto call = sent(watch_documents{"things", {~0ULL}, 20'000ms});
        CHECK(call.after == core::revision{~0ULL});
        CHECK(call.wait == 20'000ms);
    }
    SUBCASE("one document")
    {
        CHECK(sent(get_document{"things", "a.b-c_d~2f", true}).name == "a.b-c_d~2f");
    }
    SUBCASE("a creation states no revision")
    {
        const auto call = sent(create_document{"things", document()});
        CHECK(call.document.name == "tier.desk");
        CHECK(call.document.content == document().content);
        CHECK(call.document.finalizers == document().finalizers);
        CHECK(write_store_call(create_document{"things", document()}).body.find("revision") ==
              std::string::npos);
    }
    SUBCASE("a replacement, with and without a condition")
    {
        CHECK(sent(replace_document{"things", document(), core::revision{4}}).expected ==
              core::revision{4});
        CHECK_FALSE(sent(replace_document{"things", document(), {}}).expected.has_value());
    }
    SUBCASE("a status")
    {
        const boost::json::value status = boost::json::object{{"state", "running"}};
        const auto call = sent(report_status{"things", "a", status, core::revision{4}});
        CHECK(call.name == "a");
        CHECK(call.status == status);
        CHECK(call.expected == core::revision{4});
    }
    SUBCASE("a removal")
    {
        CHECK(sent(remove_document{"things", "a", core::revision{4}}).expected ==
              core::revision{4});
    }
}

TEST_CASE("a condition may stand in the document as well")
{
    store_document conditional = document();
    conditional.at = {12};
    const auto read =
        read_store_call({"PUT", "/objects/things/tier.desk", write_document(conditional)});
    REQUIRE(read.has_value());
    CHECK(std::get<replace_document>(*read).expected == core::revision{12});
}

TEST_CASE("what is no call is told from one")
{
    for (const store_message& message : {
             store_message{"GET", "/objects", ""},
             store_message{"GET", "/objects/", ""},
             store_message{"GET", "/things/a", ""},
             store_message{"GET", "/objects/things/", ""},
             store_message{"PATCH", "/objects/things/a", "{}"},
             store_message{"POST", "/objects/things", "rubbish"},
             store_message{"POST", "/objects/things", R"({"meta":{"name":""}})"},
             store_message{"PUT", "/objects/things/a", R"({"meta":{"name":"b"}})"},
             store_message{"DELETE", "/objects/things", ""},
         }) {
        CAPTURE(message.method);
        CAPTURE(message.target);
        CHECK_FALSE(read_store_call(message).has_value());
    }
}

TEST_CASE("an object of ours is read back from its document")
{
    const core::object route{{core::object_kind::route, "ask"},
                             {{"site", "zurich"}},
                             core::route_spec{{"chat"}, core::upstream_kind::engine, {"desk"}},
                             {17}};
    store_document stored = write_object(route, "c-1");
    stored.at = {17};
    const auto passed_on = read_document(write_document(stored));
    REQUIRE(passed_on.has_value());
    CHECK(read_object(*passed_on) == object_document{route, "c-1"});

    SUBCASE("names of any bytes come back whole")
    {
        for (const auto* name : {"move/m", "..", "a//b", "k&x=%2f?", "t1-::1", "~", "e-1.a"}) {
            CAPTURE(name);
            const core::object_key key{core::object_kind::claim, name};
            const std::string written = document_name(key);
            CHECK(written.find_first_of("/?&%= ") == std::string::npos);
            CHECK(read_document_name(written) == key);
        }
    }
    SUBCASE("a document that holds none is told from one")
    {
        const auto with_content = [&](const char* text) {
            store_document other = stored;
            other.content = boost::json::parse(text);
            return read_object(other);
        };
        CHECK_FALSE(with_content("3").has_value());
        CHECK_FALSE(with_content(R"({"change":"c"})").has_value());
        CHECK_FALSE(with_content(R"({"change":"c","fields":{"target":0}})").has_value());
        CHECK_FALSE(with_content(R"({"change":"c","fields":{"timeout":"soon"}})").has_value());
        for (const auto* name : {"ask", "vm.ask", "route.", "route.a~2", "route.a~zz"}) {
            CAPTURE(name);
            CHECK_FALSE(read_document_name(name).has_value());
        }
    }
}
