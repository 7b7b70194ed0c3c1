#include "peer.pb.h"
#include "ragwortcove/peer/codec.hpp"
#include "random_messages.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace ragwortcove;
using namespace ragwortcove::peer;

static std::optional<codec_error> decode_failure(const wire::Envelope& value)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<codec_error>> {
            BOOST_LEAF_CHECK(decoder{}.decode(value));
            return std::optional<codec_error>{};
        },
        [](const codec_error& error) { return std::optional{error}; },
        [] {
            return std::optional{codec_error{"unknown", "codec_error"}};
        });
}

static core::permit_request example_ask()
{
    core::permit_request ask;
    ask.request = {{0x1122334455667788}, 17};
    ask.cell = {{"briefing-model"}, {"zurich-a"}, 0};
    ask.route = {"briefings"};
    ask.team = {"lounge-managers"};
    ask.tier = {"standard"};
    ask.prefill_tokens = 900;
    ask.output_tokens = 400;
    ask.time_left = std::chrono::seconds{20};
    return ask;
}

TEST_CASE("every kind of message comes back as it was sent")
{
    for (std::size_t index = 0; index != message_kinds; ++index) {
        CAPTURE(message_kind_name(index));
        const bool same = rc::check(std::string{message_kind_name(index)}, [index] {
            const core::peer_message message = draw_message(index);
            RC_ASSERT(message.index() == index);
            const auto back = decode_datagram(encode_datagram(message));
            RC_ASSERT(back.has_value());
            RC_ASSERT(*back == message);
        });
        CHECK(same);
    }
}

TEST_CASE("a stream's messages are read with what the stream brought before")
{
    const bool same = rc::check("stream of envelopes", [] {
        encoder sender;
        decoder receiver;
        for (int turn = 0; turn != 4; ++turn) {
            envelope sent;
            if (turn == 0)
                sent.hello = greeting{{draw_name()}, draw_run()};
            sent.messages = draw_some(
                [] { return draw_message(*rc::gen::inRange<std::size_t>(0, message_kinds)); });
            sent.last = turn == 3;
            wire::Envelope out;
            sender.encode(sent, out);
            const auto back = receiver.decode(out);
            RC_ASSERT(back.has_value());
            RC_ASSERT(back->hello == sent.hello);
            RC_ASSERT(back->last == sent.last);
            RC_ASSERT(back->messages == sent.messages);
        }
    });
    CHECK(same);
}

TEST_CASE("names travel once a stream")
{
    encoder sender;
    wire::Envelope first;
    wire::Envelope second;
    sender.encode({{}, {example_ask()}}, first);
    sender.encode({{}, {example_ask()}}, second);

    CHECK(first.new_names_size() == 5);
    CHECK(second.new_names_size() == 0);
    CHECK(second.new_runs_size() == 0);
    CHECK(second.ByteSizeLong() <= 36);

    SUBCASE("and again once the tables have restarted")
    {
        decoder receiver;
        REQUIRE(receiver.decode(first).has_value());
        core::permit_request ask = example_ask();
        for (std::size_t name = 0; name != table_entries_before_restart; ++name)
            ask.avoid.push_back({"engine-" + std::to_string(name)});
        wire::Envelope filling;
        sender.encode({{}, {ask}}, filling);
        REQUIRE(receiver.decode(filling).has_value());

        wire::Envelope restarted;
        sender.encode({{}, {example_ask()}}, restarted);
        CHECK(restarted.tables_restart());
        const auto back = receiver.decode(restarted);
        REQUIRE(back.has_value());
        CHECK(back->messages == std::vector<core::peer_message>{example_ask()});
    }
}

TEST_CASE("durations outside their bounds are sent as the bound")
{
    core::permit_request ask = example_ask();
    ask.time_left = core::duration{-5};
    const auto negative = decode_datagram(encode_datagram(ask));
    REQUIRE(negative.has_value());
    CHECK(std::get<core::permit_request>(*negative).time_left == core::duration{0});

    ask.time_left = core::duration::max();
    const auto huge = decode_datagram(encode_datagram(ask));
    REQUIRE(huge.has_value());
    CHECK(std::get<core::permit_request>(*huge).time_left == most_duration);
}

TEST_CASE("an envelope that breaks a rule is refused with the place at fault")
{
    wire::Envelope value;
    encoder{}.encode({{}, {example_ask()}}, value);
    REQUIRE_FALSE(decode_failure(value).has_value());
    wire::PermitAsk& ask = *value.mutable_messages(0)->mutable_permit_ask();
    std::string place;

    SUBCASE("a name that the stream has not brought")
    {
        ask.set_route(99);
        place = "permit_ask.route";
    }
    SUBCASE("an incarnation that the stream has not brought")
    {
        ask.mutable_request()->set_entry(99);
        place = "permit_ask.request";
    }
    SUBCASE("no request id")
    {
        ask.clear_request();
        place = "permit_ask.request";
    }
    SUBCASE("no cell")
    {
        ask.clear_cell();
        place = "permit_ask.cell";
    }
    SUBCASE("a duration beyond its bound")
    {
        ask.set_time_left(~std::uint64_t{0});
        place = "permit_ask.time_left";
    }
    SUBCASE("an enumerator that does not exist")
    {
        value.mutable_messages(0)->mutable_key_answer()->mutable_request();
        value.mutable_messages(0)->mutable_key_answer()->set_state(9);
        place = "key_answer.state";
    }
    SUBCASE("no body")
    {
        value.add_messages();
        place = "message";
    }
    SUBCASE("a member without a name")
    {
        value.mutable_messages(0)->mutable_heartbeat();
        place = "member.name";
    }
    SUBCASE("an address of three bytes")
    {
        wire::MemberClaim& sender =
            *value.mutable_messages(0)->mutable_heartbeat()->mutable_sender();
        sender.set_name(1);
        sender.mutable_callers()->set_address("abc");
        place = "member.callers";
    }
    SUBCASE("an object without its required fields")
    {
        wire::Object& object = *value.mutable_messages(0)->mutable_feed_snapshot()->add_objects();
        object.set_name("briefings");
        place = "object.fields";
    }
    SUBCASE("a delta that goes back")
    {
        value.mutable_messages(0)->mutable_feed_delta()->set_after(7);
        place = "feed_delta.upto";
    }
    SUBCASE("an empty name")
    {
        value.add_new_names("");
        place = "envelope.new_names";
    }
    SUBCASE("a greeting without a name")
    {
        value.mutable_greeting();
        place = "greeting.name";
    }
    const auto error = decode_failure(value);
    REQUIRE(error.has_value());
    CHECK(error->place == place);
    CHECK_FALSE(error->expected.empty());
}

TEST_CASE("a datagram is one whole message")
{
    CHECK_FALSE(decode_datagram("\xff\xff\xff").has_value());
    CHECK_FALSE(decode_datagram("").has_value());
    const std::string whole = encode_datagram(example_ask());
    CHECK_FALSE(decode_datagram(std::string_view{whole}.substr(0, whole.size() - 1)).has_value());
    CHECK_FALSE(decode_datagram(whole + whole).has_value());
}
