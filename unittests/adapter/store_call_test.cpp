#include "platform/object_codec.hpp"
#include "platform/store_call.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::adapter;
using namespace std::chrono_literals;

/// Writes a call as a client does and returns the call that the store reads from it.
template <class Call> static Call write_and_read(const Call& call)
{
    const std::optional<store_call> read = read_store_call(write_store_call(call));
    REQUIRE(read.has_value());
    REQUIRE(std::holds_alternative<Call>(*read));
    return std::get<Call>(*read);
}

// The document of a configuration object is named KIND.NAME. In NAME, each byte other than a
// letter, a digit, '-', '_' or '.' is escaped as '~' and two hexadecimal digits.
static store_document document()
{
    store_document result;
    result.name = "tier.desk";
    result.content = boost::json::object{{"x", 1}};
    result.finalizers = {"keeper"};
    return result;
}

TEST_CASE("each call is read as it was written")
{
    SUBCASE("a list, from the start or after a name, fresh or possibly stale")
    {
        CHECK(write_store_call(list_documents{"things"}).target == "/objects/things");
        const auto call = write_and_read(list_documents{"things", "thing-7", true});
        CHECK(call.kind == "things");
        CHECK(call.after == "thing-7");
        CHECK(call.may_be_stale);
        CHECK_FALSE(write_and_read(list_documents{"things"}).may_be_stale);
    }
    SUBCASE("a watch")
    {
        const auto call = write_and_read(watch_documents{"things", {~0ULL}, 20'000ms});
        CHECK(call.after == core::revision{~0ULL});
        CHECK(call.wait == 20'000ms);
    }
    SUBCASE("one document")
    {
        CHECK(write_and_read(get_document{"things", "a.b-c_d~2f", true}).name == "a.b-c_d~2f");
    }
    SUBCASE("a creation states no revision")
    {
        const auto call = write_and_read(create_document{"things", document()});
        CHECK(call.document.name == "tier.desk");
        CHECK(call.document.content == document().content);
        CHECK(call.document.finalizers == document().finalizers);
        CHECK(write_store_call(create_document{"things", document()}).body.find("revision") ==
              std::string::npos);
    }
    SUBCASE("a replacement, with and without an expected revision")
    {
        CHECK(write_and_read(replace_document{"things", document(), core::revision{4}}).expected ==
              core::revision{4});
        CHECK_FALSE(
            write_and_read(replace_document{"things", document(), {}}).expected.has_value());
    }
    SUBCASE("a status")
    {
        const boost::json::value status = boost::json::object{{"state", "running"}};
        const auto call = write_and_read(report_status{"things", "a", status, core::revision{4}});
        CHECK(call.name == "a");
        CHECK(call.status == status);
        CHECK(call.expected == core::revision{4});
    }
    SUBCASE("a removal")
    {
        CHECK(write_and_read(remove_document{"things", "a", core::revision{4}}).expected ==
              core::revision{4});
    }
}

// Guards against a list that comes again and again: a page that ended at `a00%20` was followed by
// the one after `a00 `, an earlier name.
TEST_CASE("a name of any bytes is escaped in the target of a call")
{
    struct escaped_name {
        std::string name;
        std::string text;
    };
    for (const escaped_name& each : {
             escaped_name{"a00%20", "a00%2520"},
             escaped_name{"a01%23", "a01%2523"},
             escaped_name{"a02&b=", "a02%26b%3D"},
             escaped_name{"a03+", "a03%2B"},
             escaped_name{"a04%C3%A9", "a04%25C3%25A9"},
             escaped_name{"a04\xc3\xa9", "a04%C3%A9"},
             escaped_name{"a05/x?y=#z", "a05%2Fx%3Fy%3D%23z"},
             escaped_name{"a06 \r\nX: 1", "a06%20%0D%0AX%3A%201"},
             escaped_name{"i-93e3b823_v1.0~", "i-93e3b823_v1.0~"},
         }) {
        CAPTURE(each.name);
        store_document named = document();
        named.name = each.name;
        CHECK(write_store_call(list_documents{"things", each.name}).target ==
              "/objects/things?after=" + each.text);
        CHECK(write_store_call(get_document{"things", each.name}).target ==
              "/objects/things/" + each.text);
        CHECK(write_store_call(replace_document{"things", named, {}}).target ==
              "/objects/things/" + each.text);
        CHECK(write_store_call(report_status{"things", each.name, {}, core::revision{4}}).target ==
              "/objects/things/" + each.text + "/status?revision=4");
        CHECK(write_store_call(remove_document{"things", each.name, {}}).target ==
              "/objects/things/" + each.text);
        CHECK(write_and_read(list_documents{"things", each.name}).after == each.name);
        CHECK(write_and_read(get_document{"things", each.name}).name == each.name);
    }
}

TEST_CASE("the expected revision may be stated in the document instead of the query")
{
    store_document conditional = document();
    conditional.at = {12};
    const auto read =
        read_store_call({"PUT", "/objects/things/tier.desk", write_document(conditional)});
    REQUIRE(read.has_value());
    CHECK(std::get<replace_document>(*read).expected == core::revision{12});
}

TEST_CASE("a message that is not a call is rejected")
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

TEST_CASE("a configuration object is read back from its document")
{
    const core::object route{{core::object_kind::route, "ask"},
                             {{"site", "zurich"}},
                             core::route_spec{{"chat"}, core::upstream_kind::engine, {"desk"}},
                             {17}};
    store_document stored = write_object(route, "c-1");
    stored.at = {17};
    const auto reread = read_document(write_document(stored));
    REQUIRE(reread.has_value());
    CHECK(read_object(*reread) == object_document{route, "c-1"});

    SUBCASE("names of any bytes are read back unchanged")
    {
        for (const auto* name : {"move/m", "..", "a//b", "k&x=%2f?", "t1-::1", "~", "e-1.a"}) {
            CAPTURE(name);
            const core::object_key key{core::object_kind::claim, name};
            const std::string written = document_name(key);
            CHECK(written.find_first_of("/?&%= ") == std::string::npos);
            CHECK(read_document_name(written) == key);
        }
    }
    SUBCASE("a document without a valid object is rejected")
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
