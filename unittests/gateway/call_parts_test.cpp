#include "call_fixture.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace ragwortcove::gateway::test {

namespace {

constexpr core::part_id bad{0xbad};
const std::string bad_prompt = "Authorization: Bearer k\r\nX-Prefix-Hash: a1:40,bad:60,7:9\r\n";
const std::string sound_prompt = "Authorization: Bearer k\r\nX-Prefix-Hash: a1:40,e1:60,8:9\r\n";
/// The bad part is the last one, which is the request's own.
const std::string own_prompt = "Authorization: Bearer k\r\nX-Prefix-Hash: a1:40,bad:60\r\n";

/// An upstream that ends as it begins a response, and that nobody can connect to any more.
struct ending_upstream {
    std::unique_ptr<raw_server> server;
    std::atomic<int> request_count{0};

    explicit ending_upstream(std::string begun)
    {
        this->server = std::make_unique<raw_server>(
            [this, begun = std::move(begun)](raw_connection& connection) {
                if (connection.receive_until("\r\n\r\n").empty())
                    return;
                ++this->request_count;
                connection.send(begun);
                std::this_thread::sleep_for(120ms);
                this->server->stop_listening();
                connection.reset();
            });
    }
};

/// A node with upstreams that end on their first request.
struct parts_fixture : gateway_fixture {
    std::vector<std::unique_ptr<ending_upstream>> ending;

    void add_ending(std::string begun = stream_head)
    {
        this->ending.push_back(std::make_unique<ending_upstream>(std::move(begun)));
        this->add_upstream("e-" + std::to_string(this->ending.size()),
                           *this->ending.back()->server);
    }
    void remove_upstreams()
    {
        this->announced.clear();
        this->rollouts->set_upstreams({});
    }
    [[nodiscard]] int ended_count() const
    {
        int count = 0;
        for (const auto& each : this->ending)
            count += each->request_count;
        return count;
    }
    /// Lets the guard know of ends as other nodes tell of them; the last ones were those of trials.
    void hear_of_ends(std::uint32_t ends, std::uint32_t trials = 0, core::part_id part = bad)
    {
        wire::PeerDatagram message;
        wire::PartRecord& record = *message.mutable_part_records()->add_records();
        record.set_part(part.value);
        for (std::uint32_t count = 0; count < ends; ++count) {
            wire::PartRecord::End& end = *record.add_ends();
            end.set_upstream("gone-" + std::to_string(count));
            end.set_age(std::int64_t{ends - count} * 1'000'000);
            end.set_during_trial(count + trials >= ends);
        }
        this->parts->receive_message({"m"}, message);
    }
};

} // namespace

TEST_CASE("requests with a part that ends upstreams are kept from them")
{
    parts_fixture node;
    std::string begun = stream_head;
    SUBCASE("that end before a byte of the response")
    {
        begun = "";
    }
    SUBCASE("that end after its head") {}
    SUBCASE("that end after an event")
    {
        begun += make_chunk(make_event(1));
    }
    for (int count = 0; count < 6; ++count)
        node.add_ending(begun);
    // A stream that may be resumed is sent again, but not to a third upstream.
    node.send_request("/stream/", bad_prompt);
    CHECK(node.ended_count() == 2);
    // One request shows whether upstreams still end on it.
    node.send_request("/stream/", bad_prompt);
    CHECK(node.ended_count() == 3);
    for (int count = 0; count < 3; ++count) {
        const std::string response = node.send_request("/stream/", bad_prompt);
        CHECK(contains(response, " 503 "));
        CHECK(contains(response, "Retry-After: "));
    }
    CHECK(node.ended_count() == 3);
    CHECK(node.is_empty());
}

TEST_CASE("sound requests are served beside those with a part that is held back")
{
    parts_fixture node;
    node.hear_of_ends(3);
    scripted_upstream upstream({make_response(200, "sound"), make_response(200, "sound")});
    node.add_upstream("i-1", upstream.server);
    SUBCASE("that share the first part and the caller")
    {
        CHECK(contains(node.send_request("/again/", sound_prompt), "sound"));
    }
    SUBCASE("whose own part has that id")
    {
        CHECK(contains(node.send_request("/again/", own_prompt), "sound"));
    }
    SUBCASE("that have no parts")
    {
        CHECK(contains(node.send_request("/again/"), "sound"));
    }
    CHECK(upstream.request_count == 1);
}

TEST_CASE("a part that is held back is let through again")
{
    parts_fixture node;
    node.hear_of_ends(2);
    scripted_upstream upstream({make_response(200, "sound"), make_response(200, "sound")});
    node.add_upstream("i-1", upstream.server);
    SUBCASE("when an upstream responds to the trial")
    {
        CHECK(contains(node.send_request("/again/", bad_prompt), "sound"));
        CHECK(contains(node.send_request("/again/", bad_prompt), "sound"));
    }
    SUBCASE("when the store says that it was released")
    {
        node.parts->on_stored_record({bad, 1, {}, 0, {}});
        CHECK(node.parts->quarantine().held_back().empty());
        CHECK(contains(node.send_request("/again/", bad_prompt), "sound"));
    }
}

TEST_CASE("a sound part does not wait for the trial of another part")
{
    constexpr core::part_id rare{0xe1};
    const std::string both = "Authorization: Bearer k\r\nX-Prefix-Hash: a1:40,bad:60,e1:60,7:9\r\n";
    parts_fixture node;
    node.hear_of_ends(3);
    node.hear_of_ends(2, 0, rare);
    node.add_ending();
    CHECK_FALSE(contains(node.send_request("/again/", both), " 200 "));
    CHECK(node.ended_count() == 1);
    CHECK(node.parts->quarantine().find(bad)->trials_sent == 1);
    CHECK(node.parts->quarantine().find(rare)->trials_sent == 0);

    scripted_upstream upstream({make_response(200, "sound")});
    node.add_upstream("i-1", upstream.server);
    CHECK(contains(node.send_request("/again/", both), " 503 "));
    CHECK(contains(node.send_request("/again/", sound_prompt), "sound"));
}

// Guards against a trial that counts although no upstream has begun it: the part waited 30 s for
// the next one, and all sound requests with it were refused.
TEST_CASE("a trial that no upstream has taken leaves the next one to another request")
{
    constexpr core::part_id rare{0xe1};
    const std::string both = "Authorization: Bearer k\r\nX-Prefix-Hash: a1:40,bad:60,e1:60,7:9\r\n";
    parts_fixture node;
    for (const core::part_id part : {core::part_id{0xa1}, bad, rare})
        node.hear_of_ends(3, 0, part);
    SUBCASE("since nobody can connect to it any more")
    {
        node.add_ending();
        node.ending.back()->server->stop_listening();
        CHECK(contains(node.send_request("/again/", both), " 503 "));
        node.remove_upstreams();
    }
    SUBCASE("since it turns requests away")
    {
        scripted_upstream full({make_response(503, "", "X-Not-Executed: 1\r\n")});
        node.add_upstream("i-0", full.server);
        CHECK(contains(node.send_request("/again/", both), " 503 "));
        CHECK(full.request_count == 1);
        node.remove_upstreams();
    }
    scripted_upstream upstream({make_response(200, "sound"), make_response(200, "sound")});
    node.add_upstream("i-1", upstream.server);
    node.run([] { return false; }, 300ms);
    CHECK(contains(node.send_request("/again/", sound_prompt), "sound"));
    CHECK(node.is_empty());
}

TEST_CASE("requests with a part are not placed on an upstream that has ended under it")
{
    parts_fixture node;
    node.add_ending();
    node.remove_upstreams();
    scripted_upstream upstream({make_response(200, "sound")});
    for (const char* const name : {"gone-0", "gone-1", "gone-2"})
        node.add_upstream(name, *node.ending.back()->server);
    node.hear_of_ends(3);
    CHECK(contains(node.send_request("/again/", bad_prompt), " 503 "));
    CHECK(node.ended_count() == 0);
    SUBCASE("while another one can take them")
    {
        node.add_upstream("i-1", upstream.server);
        CHECK(contains(node.send_request("/again/", bad_prompt), "sound"));
    }
    SUBCASE("and other requests are")
    {
        CHECK_FALSE(contains(node.send_request("/again/", sound_prompt), " 503 "));
        CHECK(node.ended_count() >= 1);
    }
}

// The upstream may still end on a request that is given up.
TEST_CASE("a trial that is given up counts only if its upstream ends")
{
    parts_fixture node;
    node.hear_of_ends(2);
    const std::string short_prompt = "X-Deadline-Ms: 60\r\n" + bad_prompt;
    paced_upstream silent({});
    std::uint32_t counted = 0;
    SUBCASE("it ends after that")
    {
        node.add_ending("");
        counted = 1;
    }
    SUBCASE("it goes on")
    {
        node.add_upstream("i-1", silent.server);
    }
    CHECK_FALSE(contains(node.send_request("/again/", short_prompt), " 200 "));
    node.run([] { return false; }, 600ms);
    const core::part_record& record = *node.parts->quarantine().find(bad);
    CHECK(core::count_failed_trials(record) == counted);
    CHECK(record.trials_sent == 1);
    CHECK(record.trials_over == 1);
}

TEST_CASE("a request that is barred for good is told not to come again, if it has not run")
{
    parts_fixture node;
    node.hear_of_ends(5, core::max_part_trials);
    scripted_upstream upstream({make_response(200, "ran")});
    node.add_upstream("i-1", upstream.server);
    for (const std::string path : {"/once/", "/again/", "/stream/"})
        CHECK(contains(node.send_request(path, bad_prompt), " 400 "));
    CHECK(upstream.request_count == 0);
}

TEST_CASE("a part that is held back while its request waits for a slot keeps the request back")
{
    parts_fixture node;
    scripted_upstream upstream({make_response(200, "ran")});
    node.add_upstream("i-1", upstream.server);
    node.fill_slots("i-1");
    node.event_loop.after(100ms, [&] { node.hear_of_ends(3, 1); });
    node.event_loop.after(200ms, [&] { node.free_slots(); });
    CHECK(contains(node.send_request("/again/", bad_prompt), " 503 "));
    CHECK(upstream.request_count == 0);
    CHECK(node.is_empty());
}

TEST_CASE("a request that waits at an upstream that ends is sent to another one")
{
    parts_fixture node;
    node.add_ending("");
    CHECK(node.ended_count() == 0);
    SUBCASE("once it is known that the upstream has ended")
    {
        scripted_upstream sound({make_response(200, "sound"), make_response(200, "sound")});
        node.fill_slots("e-1");
        node.add_upstream("i-2", sound.server);
        node.free_slots();
        const std::string response = node.send_request("/again/", bad_prompt);
        CHECK(contains(response, "sound"));
        CHECK(contains(node.send_request("/again/", bad_prompt), "sound"));
        CHECK(node.parts->quarantine().held_back().empty());
    }
}

TEST_CASE("a response without a length clears a part only if its upstream goes on")
{
    parts_fixture node;
    node.hear_of_ends(1);
    const std::string unframed =
        "HTTP/1.1 200 Any\r\nX-Attempt-Id: id7\r\nX-Server-Signature: s\r\n\r\nbody";
    paced_upstream upstream({{0ms, unframed}});
    node.add_upstream("i-1", upstream.server);
    SUBCASE("it goes on")
    {
        CHECK(contains(node.send_request("/again/", bad_prompt), "body"));
        node.run([] { return false; }, 300ms);
        CHECK(node.parts->quarantine().find(bad)->ends.empty());
    }
    SUBCASE("it has ended")
    {
        upstream.server.stop_listening();
        CHECK_FALSE(contains(node.send_request("/again/", bad_prompt), "body"));
        CHECK(node.parts->quarantine().find(bad)->ends.size() == 1);
    }
}

} // namespace ragwortcove::gateway::test
