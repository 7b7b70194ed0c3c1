#include "ragwortcove/gateway/event_splitter.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::gateway {

TEST_CASE("events are complete however the stream is split into pieces")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t piece = 1; piece <= stream.size(); ++piece) {
        event_splitter splitter;
        std::vector<std::string> events;
        for (std::size_t at = 0; at < stream.size(); at += piece) {
            for (std::string& event :
                 splitter.add_bytes(std::string_view(stream).substr(at, piece)))
                events.push_back(std::move(event));
        }
        REQUIRE(events.size() == 3);
        CHECK(events[0] + events[1] + events[2] == stream);
        CHECK(events[1] == "id: 2\r\ndata: b\r\n\r\n");
        CHECK_FALSE(splitter.inside_event());
    }
}

TEST_CASE("an incomplete event is held until its end arrives")
{
    event_splitter splitter;
    CHECK(splitter.add_bytes("id: 1\ndata: a\n\nid: 2\ndat").size() == 1);
    CHECK(splitter.inside_event());
    CHECK(splitter.add_bytes("a: b\n").empty());
    CHECK(splitter.add_bytes("\n").size() == 1);
    CHECK_FALSE(splitter.inside_event());
}

TEST_CASE("bytes that never end an event do not fill the memory")
{
    event_splitter splitter;
    SUBCASE("in large pieces")
    {
        const std::string piece(64U << 10U, 'x');
        for (std::size_t given = 0; given <= event_splitter::max_event_bytes; given += piece.size())
            CHECK(splitter.add_bytes(piece).empty());
        CHECK(splitter.overflowed());
    }
    SUBCASE("byte by byte, after events that are complete")
    {
        CHECK(splitter.add_bytes("id: 1\ndata: a\n\n").size() == 1);
        for (std::size_t given = 0; given < event_splitter::max_event_bytes; ++given)
            static_cast<void>(splitter.add_bytes("x"));
        CHECK_FALSE(splitter.overflowed());
        CHECK(splitter.add_bytes("x").empty());
        CHECK(splitter.overflowed());
    }
    SUBCASE("a long event that ends in time is an event")
    {
        const std::string event =
            "data: " + std::string(event_splitter::max_event_bytes / 2, 'x') + "\n\n";
        CHECK(splitter.add_bytes(event).size() == 1);
        CHECK_FALSE(splitter.overflowed());
    }
}

} // namespace ragwortcove::gateway
