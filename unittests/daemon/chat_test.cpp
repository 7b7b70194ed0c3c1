#include "ragwortcove/daemon/chat.hpp"
#include "ragwortcove/http/event_stream.hpp"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::daemon;

static std::string detail_of(std::string_view body)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
            BOOST_LEAF_CHECK(parse_chat_request(body));
            return std::string{"accepted"};
        },
        [](const chat_error& error) { return error.detail; }, [] { return std::string{"other"}; });
}

TEST_CASE("a caller's chat request is read")
{
    const std::string body = R"({"model":"briefing","messages":[{"role":"user","content":"hi"}],)"
                             R"("max_tokens":7,"temperature":0.5})";

    SUBCASE("the prompt is the roles and the texts")
    {
        const chat_request read = parse_chat_request(body).value();
        CHECK(read.model == "briefing");
        CHECK(read.prompt == "user\nhi\n");
        CHECK(read.max_tokens == 7);
        CHECK_FALSE(read.stream);
    }
    SUBCASE("the upstream gets the same body, but streamed")
    {
        const chat_request read = parse_chat_request(body).value();
        const boost::json::value sent = boost::json::parse(read.upstream_body);
        CHECK(sent.at("stream").as_bool());
        CHECK(sent.at("temperature").as_double() == 0.5);
    }
    SUBCASE("a mistake is named")
    {
        CHECK(detail_of("{") == "body: expected a JSON object");
        CHECK(detail_of(R"({"messages":[]})") == "model: expected the name of a route");
        CHECK(detail_of(R"({"model":"a","messages":[]})") ==
              "messages: expected an array, not empty");
        CHECK(detail_of(R"({"model":"a","messages":[{"role":"user"}]})") ==
              "messages: expected objects with a role and content");
        CHECK(detail_of(R"({"model":"a","messages":[{"role":"u","content":"x"}],"max_tokens":0})")
                  .starts_with("max_tokens:"));
        CHECK(detail_of(R"({"model":"a","messages":[{"role":"u","content":"x"}],"stream":1})")
                  .starts_with("stream:"));
    }
}

TEST_CASE("an engine's stream is read, however it is cut into pieces")
{
    const std::string stream =
        ": comment\r\n"
        "data: {\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\r\n\r\n"
        "data: {\"choices\":[{\"delta\":{\"content\":\"two\"}}],\"count\":3}\n\n"
        "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
        "\"usage\":{\"completion_tokens\":4,\"prompt_tokens_details\":{\"cached_tokens\":64}}}\n\n"
        "data: [DONE]\n\n";
    for (const std::size_t piece : {std::size_t{1}, std::size_t{7}, stream.size()}) {
        CAPTURE(piece);
        http::event_stream_reader reader;
        std::vector<std::string> events;
        for (std::size_t at = 0; at < stream.size(); at += piece) {
            for (std::string& event : reader.take(std::string_view{stream}.substr(at, piece)))
                events.push_back(std::move(event));
        }
        REQUIRE(events.size() == 4);
        CHECK(parse_chat_chunk(events[0])->content == "one");
        CHECK(parse_chat_chunk(events[0])->count == 1);
        CHECK(parse_chat_chunk(events[1])->count == 3);
        const auto last = parse_chat_chunk(events[2]);
        CHECK(last->finish_reason == "stop");
        REQUIRE(last->usage);
        CHECK(last->usage->completion_tokens == 4);
        CHECK(last->usage->cached_tokens == 64);
        CHECK(events[3] == http::stream_end_marker);
    }
}

TEST_CASE("a stream that is not one is noticed")
{
    SUBCASE("a chunk that is not JSON")
    {
        CHECK_FALSE(parse_chat_chunk("{oops"));
    }
    SUBCASE("an event without end")
    {
        http::event_stream_reader reader;
        CHECK(reader.take("data: " + std::string(http::event_stream_reader::longest_event, 'x'))
                  .empty());
        CHECK(reader.overflowed());
    }
}

TEST_CASE("answers are written in the published form")
{
    const chat_answer_head head{"1-1", "briefing", core::unix_millis{5000}};
    const chat_answer_end end{10, 2, 4, {}};
    const boost::json::value answer = boost::json::parse(render_chat_answer(head, "a \"b\"", end));
    CHECK(answer.at("object").as_string() == "chat.completion");
    CHECK(answer.at_pointer("/choices/0/message/content").as_string() == "a \"b\"");
    CHECK(answer.at_pointer("/choices/0/finish_reason").as_string() == "stop");
    CHECK(answer.at_pointer("/usage/total_tokens").as_int64() == 12);
    const auto chunk = parse_chat_chunk(chat_chunk_writer{head}.write("a \"b\""));
    CHECK(chunk->content == "a \"b\"");
}
