#include "ragwortcove/platform/codec.hpp"
#include "ragwortcove/platform/object_path.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::platform;

static core::object route()
{
    return {{core::object_kind::route, "ask"},
            {{"site", "zurich"}},
            core::route_spec{{"chat"}, core::upstream_kind::engine, {"desk"}},
            {17}};
}

/// What a decoder read; a failed one gives a value that no test expects.
template <class T> static T read(boost::leaf::result<T> result)
{
    REQUIRE(result);
    return std::move(*result);
}

/// The message with which a decoder refuses a text.
template <class Decoder> static std::string fault(Decoder decode, std::string_view text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(decode(text));
            return std::string("taken");
        },
        [](const codec_error& error) { return error.message; },
        [] { return std::string("refused"); });
}

TEST_CASE("the object API's messages are read back as they were written")
{
    const stored_object stored{route(), "c-1"};
    SUBCASE("an object")
    {
        CHECK(read(decode_object(encode_object(route(), "c-1"))) == stored);
    }
    SUBCASE("a list")
    {
        const object_list list{{"store-1"}, {40}, {stored, stored}};
        CHECK(read(decode_list(encode_list(list))) == list);
    }
    SUBCASE("a written revision")
    {
        CHECK(read(decode_written(encode_written({~0ULL}))) == core::revision{~0ULL});
    }
    SUBCASE("a conflict, with and without an object")
    {
        CHECK(read(decode_conflict(encode_conflict({stored}))).current == stored);
        CHECK_FALSE(read(decode_conflict(encode_conflict({}))).current.has_value());
    }
    SUBCASE("lines of a watch")
    {
        const watch_line changed{{"s"}, {17}, route()};
        CHECK(read(decode_watch_line(encode_watch_line(changed))) == changed);
        const watch_line deleted{{"s"}, {18}, core::object_key{core::object_kind::claim, "a/b"}};
        CHECK(read(decode_watch_line(encode_watch_line(deleted))) == deleted);
        const watch_line heartbeat{{"s"}, {18}, watch_line::heartbeat{}};
        CHECK(read(decode_watch_line(encode_watch_line(heartbeat))) == heartbeat);
    }
    SUBCASE("a refusal's message, also from a server that does not write ours")
    {
        CHECK(decode_problem(encode_problem("unknown kind")) == "unknown kind");
        CHECK(decode_problem("Bad Request") == "Bad Request");
    }
}

TEST_CASE("a text that is not the message is refused")
{
    CHECK(fault(decode_object, "{").starts_with("not JSON"));
    CHECK(fault(decode_object, "[]") == "not a JSON object");
    CHECK(fault(decode_object, R"({"kind":"vm","name":"x"})") == "unknown kind \"vm\"");
    CHECK(fault(decode_object, R"({"kind":"tier","name":"x","revision":-1})") ==
          "no whole number \"revision\"");
    CHECK(fault(decode_object, R"({"kind":"tier","name":"x","revision":1,"change":"c"})") ==
          "no object \"fields\"");
    CHECK(fault(decode_object, R"({"kind":"tier","name":"x","revision":1,"change":"c",)"
                               R"("fields":{"rank":0}})") == "no text \"rank\"");
    CHECK(fault(decode_object, R"({"kind":"tier","name":"x","revision":1,"change":"c",)"
                               R"("fields":{"rank":"-1"}})") == "refused");
    CHECK(fault(decode_list, R"({"store":"s","revision":1})") == "no array \"objects\"");
    CHECK(fault(decode_conflict, R"({"current":3})") ==
          "\"current\" is neither an object nor null");
}

TEST_CASE("a path names an object")
{
    SUBCASE("a plain name stands in the path")
    {
        const core::object_key key{core::object_kind::upstream, "e-1.a"};
        const auto path = path_of(key);
        CHECK(path.path == "/objects/upstream/e-1.a");
        CHECK(path.query.empty());
        CHECK(parse_object_path(path.path, path.query) == key);
    }
    SUBCASE("any other name stands in the query")
    {
        for (const auto* name : {"move/m", "..", "a//b", "k&x=%2f?", "t1-::1"}) {
            CAPTURE(name);
            const core::object_key key{core::object_kind::claim, name};
            const auto path = path_of(key);
            CHECK(path.path == "/objects/claim");
            CHECK(parse_object_path(path.path, path.query) == key);
        }
    }
    SUBCASE("other paths name none")
    {
        for (const auto* path : {"/objects", "/objects/", "/objects/vm/a", "/objects/tier",
                                 "/objects/tier/", "/objectstier/a", "/watch"}) {
            CAPTURE(path);
            CHECK_FALSE(parse_object_path(path, "").has_value());
        }
    }
}
