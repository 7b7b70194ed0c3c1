#include "call_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace ragwortcove::gateway::test {

TEST_CASE("a request and its response are forwarded unchanged")
{
    gateway_fixture node;
    scripted_upstream upstream({make_response(200, "body", "X-Odd: 1\r\n")});
    node.add_upstream("i-1", upstream.server);
    const std::string response = node.send_request("/once/x?q=1");
    CHECK(contains(response, "HTTP/1.1 200"));
    CHECK(contains(response, "X-Odd: 1\r\n"));
    CHECK(contains(response, "\r\n\r\nbody"));
    REQUIRE(upstream.requests.size() == 1);
    CHECK(contains(upstream.requests[0], "GET /once/x?q=1 HTTP/1.1\r\n"));
    CHECK(contains(upstream.requests[0], "X-Expect-Instance: i-1\r\n"));
    CHECK(contains(upstream.requests[0], "X-Tenant: team\r\n"));
    CHECK_FALSE(contains(upstream.requests[0], "Bearer"));
}

TEST_CASE("a request that no rule allows is refused at once")
{
    gateway_fixture node;
    CHECK(contains(node.send_request("/other/"), "HTTP/1.1 404"));
    CHECK(contains(node.send_request("/once/", "Authorization: Bearer wrong\r\n"), "HTTP/1.1 401"));
    CHECK(contains(node.send_request("/once/", ""), "HTTP/1.1 401"));
    SUBCASE(
        "a node without rules refuses with 503, and one that shuts down also sends a retry time")
    {
        node.rules.reset();
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 503"));
        node.set_test_rules();
        node.calls->refuse_new_requests();
        const std::string response = node.send_request("/once/");
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(contains(response, "Retry-After: 0.0"));
    }
    SUBCASE("without an upstream a request is refused without having run")
    {
        const std::string response = node.send_request("/once/");
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(contains(response, "Retry-After: "));
    }
    CHECK(node.calls->open_calls() == 0);
}

TEST_CASE("a request that must run at most once is not retried when it may have run")
{
    gateway_fixture node;
    SUBCASE("the connection ends without a response: failed, not refused")
    {
        scripted_upstream upstream({"", make_response(200, "second")});
        node.add_upstream("i-1", upstream.server);
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 502"));
        CHECK(upstream.request_count == 1);
    }
    SUBCASE("the response belongs to another request: its own may still come until its deadline")
    {
        scripted_upstream upstream(
            {"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Signature: s\r\n"
             "Content-Length: 3\r\n\r\nnot",
             make_response(200, "second")});
        node.add_upstream("i-1", upstream.server);
        const std::string response = node.send_request("/once/");
        CHECK(contains(response, "HTTP/1.1 504"));
        CHECK_FALSE(contains(response, "not"));
        CHECK(upstream.request_count == 1);
    }
    SUBCASE("a refusal of another request says nothing of this one")
    {
        scripted_upstream upstream({"HTTP/1.1 503 Full\r\nX-Attempt-Id: other\r\n"
                                    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
        node.add_upstream("i-1", upstream.server);
        scripted_upstream other({make_response(200, "ran twice")});
        node.add_upstream("i-2", other.server);
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 504"));
        CHECK(upstream.request_count + other.request_count == 1);
    }
    SUBCASE("a 503 without a signature does not show that the request has not run")
    {
        scripted_upstream upstream({"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"});
        node.add_upstream("i-1", upstream.server);
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 502"));
    }
    SUBCASE("an error response of the upstream is forwarded unchanged")
    {
        scripted_upstream upstream({make_response(500, "why")});
        node.add_upstream("i-1", upstream.server);
        const std::string response = node.send_request("/once/");
        CHECK(contains(response, "HTTP/1.1 500"));
        CHECK(contains(response, "X-Server-Signature: s"));
    }
    SUBCASE("an upstream reports that it did not run the request: the next upstream gets it")
    {
        scripted_upstream full({"HTTP/1.1 503 Full\r\nX-Attempt-Id: id7\r\nX-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n"});
        node.add_upstream("i-1", full.server);
        scripted_upstream other({make_response(200, "ran here")});
        node.add_upstream("i-2", other.server);
        const std::string response = node.send_request("/once/");
        CHECK(contains(response, "ran here"));
    }
}

TEST_CASE("an idempotent request is retried at another upstream")
{
    gateway_fixture node;
    std::deque<std::string> first;
    SUBCASE("after an error response")
    {
        first = {make_response(500, "why")};
    }
    SUBCASE("after a truncated response")
    {
        first = {"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 10\r\n\r\nfour"};
    }
    SUBCASE("after bytes that are not an HTTP response")
    {
        first = {"rubbish\r\n\r\n"};
    }
    scripted_upstream failing(first);
    node.add_upstream("i-1", failing.server);
    scripted_upstream good({make_response(200, "good")});
    node.add_upstream("i-2", good.server);
    CHECK(contains(node.send_request("/again/"), "good"));
    CHECK(good.request_count == 1);
}

// Guards against a budget that is used up by repeats that did not take place.
TEST_CASE("the budget of repeats is spent only on those that reach an upstream")
{
    gateway_fixture node;
    node.repeats = core::repeat_budget{core::repeat_limits{0.0, 2.0, 10s}};
    const auto has_left = [&] {
        return node.repeats.has_left({"t"}, 1, core::time_point{node.event_loop.now()});
    };
    scripted_upstream broken({"", "", ""});
    node.add_upstream("i-1", broken.server);
    REQUIRE(has_left());
    SUBCASE("there is no other one")
    {
        CHECK(contains(node.send_request("/again/"), " 502 "));
        CHECK(has_left());
    }
    SUBCASE("nobody can connect to the other one")
    {
        scripted_upstream gone({});
        gone.server.stop_listening();
        node.add_upstream("i-2", gone.server);
        CHECK(contains(node.send_request("/again/"), " 502 "));
        CHECK(has_left());
    }
    SUBCASE("the other one takes it")
    {
        scripted_upstream sound({make_response(200, "sound"), make_response(200, "sound")});
        node.fill_slots("i-1");
        node.add_upstream("i-2", sound.server);
        node.fill_slots("i-2");
        node.event_loop.after(20ms, [&] { node.free_slots(); });
        CHECK(contains(node.send_request("/again/"), "sound"));
        CHECK(has_left() == (broken.request_count == 0));
    }
    CHECK(node.is_empty());
}

TEST_CASE("the log tells the causes of a cut answer apart")
{
    const captured_log log;
    gateway_fixture node;
    SUBCASE("an upstream broke off, and newer rules were in force by then")
    {
        paced_upstream breaking({{0ms, stream_head + make_chunk(make_event(1))}, {300ms, ""}});
        node.add_upstream("i-1", breaking.server);
        node.event_loop.after(100ms, [&] { node.set_test_rules(4); });
        CHECK_FALSE(contains(node.send_request("/stream/"), last_chunk));
        const std::string line = log.find("answer_cut");
        CHECK(captured_log::field(line, "upstream") == "i-1");
        CHECK(captured_log::field(line, "last_failure") == "broken");
        CHECK(captured_log::field(line, "part_sent") == "true");
        CHECK(captured_log::field(line, "rules") == "3");
        CHECK(captured_log::field(line, "rules_now") == "4");
        REQUIRE_FALSE(captured_log::field(line, "silent_ms").empty());
        CHECK(std::stoi(captured_log::field(line, "silent_ms")) >= 250);
        CHECK(captured_log::field(log.find("attempt_failed"), "part_sent") == "true");
    }
    SUBCASE("the deadline was reached")
    {
        paced_upstream slow({{0ms, stream_head + make_chunk(make_event(1))},
                             {1400ms, make_chunk(make_event(2))},
                             {1s, ""}});
        node.add_upstream("i-1", slow.server);
        CHECK_FALSE(contains(node.send_request("/stream/"), last_chunk));
        const std::string line = log.find("answer_cut");
        CHECK(contains(line, "reason=\"time is up\""));
        CHECK(captured_log::field(line, "last_failure") == "none");
        CHECK(captured_log::field(line, "rules_now") == "3");
        REQUIRE_FALSE(captured_log::field(line, "time_left_ms").empty());
        CHECK(std::stoi(captured_log::field(line, "time_left_ms")) <= 0);
    }
    SUBCASE("no response had begun")
    {
        paced_upstream breaking({{0ms, ""}});
        node.add_upstream("i-1", breaking.server);
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 502"));
        const std::string line = log.find("request_failed");
        CHECK(captured_log::field(line, "upstream") == "i-1");
        CHECK(captured_log::field(line, "last_failure") == "broken");
    }
    SUBCASE("the request's prompt was in the way")
    {
        paced_upstream breaking({{0ms, ""}});
        node.add_upstream("i-1", breaking.server);
        node.send_request("/once/",
                          "Authorization: Bearer k\r\nX-Prefix-Hash: a1:40, 0B2:7,c:9\r\n");
        CHECK(captured_log::field(log.find("attempt_failed"), "prompt_parts") == "a1,b2,c");
    }
}

TEST_CASE("a request is cancelled when its caller disconnects")
{
    gateway_fixture node;
    std::atomic<bool> closed{false};
    raw_server upstream([&](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        static_cast<void>(connection.receive_all());
        closed = true;
    });
    node.add_upstream("i-1", upstream);
    raw_client caller(node.callers->port(), [&](raw_connection& connection) {
        connection.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "Authorization: Bearer k\r\n\r\n");
        std::this_thread::sleep_for(300ms);
    });
    // An upstream may work for at most half a second on a request whose caller has disconnected.
    // The caller disconnects 300 ms after it sent the request, so 800 ms are allowed in all.
    CHECK(run_until(
        node.event_loop,
        [&] {
            node.placement->tick();
            return closed.load();
        },
        800ms));
    CHECK(node.calls->open_calls() == 0);
    CHECK(node.placement->owned_placements().in_flight() == 0);
}

TEST_CASE("requests that are open when the process is about to be killed are responded to")
{
    gateway_fixture node;
    std::string response;
    const auto ask = [&](raw_connection& connection) {
        connection.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "Authorization: Bearer k\r\nConnection: close\r\n\r\n");
        response = connection.receive_all();
    };
    const auto run_to_end = [&](const raw_client& caller, const std::function<bool()>& may_end) {
        bool ended = false;
        REQUIRE(run_until(node.event_loop, [&] {
            node.placement->tick();
            if (!ended && node.calls->open_calls() == 1 && may_end()) {
                node.calls->end_all_calls();
                ended = true;
            }
            return caller.done();
        }));
        CHECK(ended);
    };
    raw_server silent(
        [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
    SUBCASE("one that was sent to an upstream has failed")
    {
        node.add_upstream("i-1", silent);
        raw_client caller(node.callers->port(), ask);
        run_to_end(caller, [&] { return silent.accepted() == 1; });
        CHECK(contains(response, "HTTP/1.1 504"));
    }
    SUBCASE("one that waits for a slot is refused")
    {
        node.add_upstream("i-1", silent);
        node.announced[0].slots = 0;
        node.placement->set_upstreams(node.announced);
        raw_client caller(node.callers->port(), ask);
        run_to_end(caller, [] { return true; });
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(silent.accepted() == 0);
    }
    CHECK(node.calls->open_calls() == 0);
}

TEST_CASE("a request for another upstream ends with its reason")
{
    constexpr int deadline_ms = 5000;
    const std::string key = "Authorization: Bearer k\r\n";
    const std::string begun = stream_head + make_chunk(make_event(1));
    gateway_fixture node;
    paced_upstream other({{0ms, stream_head + last_chunk}});
    node.add_upstream("i-2", other.server);
    node.fill_slots("i-2");
    const auto waiting = [&] { return node.placement->owned_placements().waiting(); };

    SUBCASE("the silent upstream goes on")
    {
        paced_upstream sound({{0ms, begun},
                              {1800ms, make_chunk(make_event(2))},
                              {600ms, make_chunk(make_event(3)) + last_chunk}});
        node.add_upstream("i-1", sound.server);
        std::size_t waiting_in_silence = 0;
        std::size_t waiting_afterwards = 1;
        node.event_loop.after(1700ms, [&] { waiting_in_silence = waiting(); });
        node.event_loop.after(2100ms, [&] {
            waiting_afterwards = waiting();
            node.free_slots();
        });
        CHECK(contains(node.send_request("/long/stream/", key, deadline_ms), make_event(3)));
        CHECK(waiting_in_silence == 1);
        CHECK(waiting_afterwards == 0);
    }
    SUBCASE("the deadline is reached")
    {
        paced_upstream silent({{0ms, begun}}, ending::hangs);
        node.add_upstream("i-1", silent.server);
        const std::string response = node.send_request("/long/stream/", key, 2000);
        CHECK(contains(response, make_event(1)));
        CHECK_FALSE(contains(response, last_chunk));
    }
    SUBCASE("the caller disconnects")
    {
        paced_upstream silent({{0ms, begun}}, ending::hangs);
        node.add_upstream("i-1", silent.server);
        raw_client caller(node.callers->port(), [&](raw_connection& connection) {
            connection.send("GET /long/stream/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n" + key +
                            "\r\n");
            std::this_thread::sleep_for(1700ms);
        });
        std::size_t waiting_in_silence = 0;
        node.event_loop.after(1600ms, [&] { waiting_in_silence = waiting(); });
        CHECK(node.run([&] { return caller.done() && node.calls->open_calls() == 0; }, 3s));
        CHECK(waiting_in_silence == 1);
    }
    CHECK(other.request_count == 0);
    CHECK(node.is_empty());
}

TEST_CASE("a request that may have run is never refused when only upstreams that are gone are left")
{
    constexpr int stale_count = 6;
    gateway_fixture node;
    const std::string begun = stream_head + make_chunk(make_event(1));
    // Upstreams that the placement still knows and this node does not.
    const auto add_stale = [&] {
        std::vector<core::announced_upstream> all = node.announced;
        for (int index = 0; index < stale_count; ++index) {
            all.push_back(node.announced.front());
            all.back().name.value = "gone-" + std::to_string(index);
        }
        node.placement->set_upstreams(all);
    };

    SUBCASE("after one that broke")
    {
        std::string path = "/again/";
        std::vector<paced_bytes> steps{{300ms, ""}};
        SUBCASE("before the response") {}
        SUBCASE("within a stream")
        {
            path = "/stream/";
            steps = {{0ms, begun}, {300ms, ""}};
        }
        paced_upstream breaking(steps);
        node.add_upstream("i-1", breaking.server);
        node.event_loop.after(150ms, add_stale);
        const std::string response = node.send_request(path);
        CHECK(contains(response, path == "/again/" ? "HTTP/1.1 502" : make_event(1)));
        CHECK_FALSE(contains(response, "HTTP/1.1 503"));
        CHECK_FALSE(contains(response, last_chunk));
    }
    SUBCASE("a request that was never sent is still refused")
    {
        paced_upstream unused({{0ms, make_response(200, "unused")}});
        node.add_upstream("i-1", unused.server);
        add_stale();
        node.announced.clear();
        CHECK(contains(node.send_request("/again/"), "HTTP/1.1 503"));
        CHECK(unused.request_count == 0);
    }
    CHECK(node.is_empty());
}

/// Whether some bytes are one response with a status.
static bool is_one_response(const std::string& bytes, int status)
{
    return bytes.starts_with("HTTP/1.1 " + std::to_string(status) + " ") &&
           bytes.find("HTTP/1.1") == bytes.rfind("HTTP/1.1") && contains(bytes, "\r\n\r\n");
}

TEST_CASE("a request that waits gets one response when the rules or the upstreams change")
{
    const std::vector<std::string> paths{"/once/", "/again/", "/stream/"};
    gateway_fixture node;
    const std::string answer = stream_head + make_chunk(make_event(1)) + last_chunk;
    paced_upstream upstream({{0ms, answer}});
    paced_upstream elsewhere({{0ms, answer}});
    std::function<void()> change;
    int expected = 200;
    bool slots_come_free = true;
    node.add_upstream("i-1", upstream.server);
    // So long that no request is denied for its estimated wait.
    node.change_rules([](core::ruleset& rules) {
        for (core::http_route& each : rules.routes)
            each.goal = 1s;
    });

    SUBCASE("while it waits for a slot")
    {
        node.fill_slots("i-1");
        SUBCASE("the route moves to another target")
        {
            change = [&] {
                node.change_rules([](core::ruleset& rules) {
                    for (core::http_route& each : rules.routes)
                        each.targets = {{{"other"}, 1.0}};
                });
            };
        }
        SUBCASE("the route and its team are removed")
        {
            change = [&] {
                node.change_rules([](core::ruleset& rules) {
                    rules.routes.clear();
                    rules.teams.clear();
                });
            };
        }
        SUBCASE("the target gets a rule and loses it")
        {
            change = [&] {
                node.change_rules([](core::ruleset& rules) {
                    core::target_rule rule;
                    rule.name.value = "t";
                    rule.slots = 1;
                    rules.targets = {rule};
                });
                node.change_rules([](core::ruleset& rules) { rules.targets.clear(); });
            };
        }
        SUBCASE("all upstreams are removed")
        {
            expected = 503;
            slots_come_free = false;
            change = [&] {
                node.announced.clear();
                node.placement->set_upstreams(node.announced);
            };
        }
        SUBCASE("the upstream is replaced")
        {
            slots_come_free = false;
            change = [&] {
                node.announced.clear();
                node.add_upstream("i-2", elsewhere.server);
            };
        }
        SUBCASE("the target gets more cells, and fewer again")
        {
            slots_come_free = false;
            change = [&] {
                constexpr int added_count = 60;
                const std::vector<core::announced_upstream> few = node.announced;
                for (int index = 0; index < added_count; ++index) {
                    node.announced.push_back(few.front());
                    node.announced.back().name.value = "j-" + std::to_string(index);
                    node.announced.back().leaving = index % 2 == 0;
                }
                node.placement->set_upstreams(node.announced);
                node.placement->set_upstreams(few);
                node.placement->set_upstreams(node.announced);
            };
        }
    }
    SUBCASE("while it waits for its quota")
    {
        node.change_rules([](core::ruleset& rules) {
            rules.teams.front().rate = 1000.0;
            rules.teams.front().burst = 1000.0;
        });
        node.quota_owner.value = "m";
        SUBCASE("the quota gets another owner")
        {
            change = [&] {
                node.quota_owner.value = "n";
                node.placement->owners_changed();
            };
        }
        SUBCASE("the quota gets another owner, and the first one again")
        {
            change = [&] {
                node.quota_owner.value = "o";
                node.placement->owners_changed();
                node.quota_owner.value = "m";
                node.placement->owners_changed();
            };
        }
        SUBCASE("its team is removed")
        {
            change = [&] { node.change_rules([](core::ruleset& rules) { rules.teams.clear(); }); };
        }
        SUBCASE("its team is removed and the quota gets another owner")
        {
            change = [&] {
                node.change_rules([](core::ruleset& rules) { rules.teams.clear(); });
                node.quota_owner.value = "n";
                node.placement->owners_changed();
            };
        }
        SUBCASE("the team loses its quota")
        {
            change = [&] {
                node.change_rules([](core::ruleset& rules) { rules.teams.front().rate = 0.0; });
            };
        }
    }
    REQUIRE(change);
    std::vector<std::string> responses(paths.size());
    std::vector<std::unique_ptr<raw_client>> callers;
    for (std::size_t index = 0; index < paths.size(); ++index) {
        std::string& response = responses[index];
        const std::string& path = paths[index];
        callers.push_back(std::make_unique<raw_client>(
            node.callers->port(), [&response, &path](raw_connection& connection) {
                connection.send("GET " + path +
                                " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                                "X-Deadline-Ms: 3000\r\nConnection: close\r\n"
                                "Authorization: Bearer k\r\n\r\n");
                response = connection.receive_all();
            }));
    }
    REQUIRE(node.run([&] { return node.calls->open_calls() == paths.size(); }, 5s));
    change();
    if (slots_come_free)
        node.event_loop.after(200ms, [&] { node.free_slots(); });
    CHECK(node.run([&] {
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto& each) { return each->done(); });
    }));
    for (const std::string& response : responses) {
        CHECK(is_one_response(response, expected));
        CHECK(contains(response, "id: 1") == (expected == 200));
    }
    CHECK(node.calls->open_calls() == 0);
    node.free_slots();
    CHECK(node.is_empty());
}

TEST_CASE("units of a quota are not lost when a caller leaves before they are granted")
{
    gateway_fixture node;
    node.change_rules([](core::ruleset& rules) {
        rules.teams.front().rate = 1.0;
        rules.teams.front().burst = 1.0;
    });
    // The bucket fills up, and units that come back no longer count as those of an earlier owner.
    node.run([] { return false; }, 1100ms);
    node.quota_owner.value = "m";
    std::atomic<bool> leaves{false};
    raw_client caller(node.callers->port(), [&](raw_connection& connection) {
        connection.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "Authorization: Bearer k\r\n\r\n");
        while (!leaves)
            std::this_thread::sleep_for(1ms);
    });
    CHECK(node.run([&] { return node.calls->open_calls() == 1; }, 5s));
    leaves = true;
    REQUIRE(node.run([&] { return node.calls->open_calls() == 0; }, 5s));
    node.quota_owner.value = "n";
    node.placement->owners_changed();
    bool granted = false;
    node.placement->acquire_quota(
        node.rules->rules().teams.front(), {"t"}, 1.0, 0ms,
        [&](const core::quota_decision& decision) { granted = decision.granted; });
    CHECK(granted);
}

TEST_CASE("a request is responded to at its deadline")
{
    gateway_fixture node;
    raw_server silent(
        [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
    node.add_upstream("i-1", silent);
    const auto started_at = node.event_loop.now();
    CHECK(contains(node.send_request("/once/"), "HTTP/1.1 504"));
    const auto elapsed = node.event_loop.now() - started_at;
    CHECK(elapsed >= 1400ms);
    CHECK(elapsed <= 2s);
}

} // namespace ragwortcove::gateway::test
