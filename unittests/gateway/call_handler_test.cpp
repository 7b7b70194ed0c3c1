#include "../http/loopback.hpp"
#include "gateway.pb.h"
#include "ragwortcove/gateway/call_handler.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <memory>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using http::test::raw_client;
using http::test::raw_connection;
using http::test::raw_server;
using http::test::run_until;

namespace {

/// One node that serves callers on loopback in front of raw upstreams.
struct gateway_fixture {
    http::loop event_loop;
    http::outbound_client upstreams{event_loop, 5s};
    core::repeat_budget repeats{core::repeat_limits{0.2, 100.0, 10s}};
    gateway_metrics metrics;
    std::unique_ptr<rollout_service> rollouts;
    std::shared_ptr<const core::rule_index> rules;
    std::vector<core::announced_upstream> announced;
    /// Another node, so that tests send its directives.
    core::node_name controller{"m"};
    std::unique_ptr<placement_service> placement;
    std::unique_ptr<http::inbound_server> callers;
    std::unique_ptr<call_handler> calls;

    gateway_fixture()
    {
        http::inbound_handlers handlers;
        handlers.requested = [this](http::inbound_exchange id, http::inbound_request&& request) {
            this->calls->handle_request(id, std::move(request));
        };
        handlers.abandoned = [this](http::inbound_exchange id) {
            this->calls->on_caller_disconnected(id);
        };
        this->callers = std::make_unique<http::inbound_server>(
            this->event_loop, http::socket_address{"127.0.0.1", 0}, http::inbound_limits{},
            std::move(handlers));
        placement_dependencies dependencies;
        dependencies.self.value = "n";
        dependencies.run.value = 1;
        dependencies.now = [this] { return core::time_point{this->event_loop.now()}; };
        dependencies.owner_of = [](std::string_view) { return core::node_name{"n"}; };
        dependencies.quota_owner_of = dependencies.owner_of;
        dependencies.is_discovery_finished = [] { return true; };
        dependencies.mark_unreachable = [](const core::node_name&) {};
        dependencies.send = [](const core::node_name&, wire::PeerDatagram&) {};
        dependencies.serving_node_count = [] { return 1; };
        dependencies.lost_node_count = [] { return 0; };
        this->placement = std::make_unique<placement_service>(std::move(dependencies));
        rollout_dependencies functions;
        functions.self.value = "n";
        functions.run.value = 1;
        functions.now = [this] { return core::time_point{this->event_loop.now()}; };
        functions.owner_of = [this](std::string_view) { return this->controller; };
        functions.serving_node_count = [] { return 2; };
        functions.send = [](const core::node_name&, wire::PeerDatagram&) {};
        functions.send_to_all = [](wire::PeerDatagram&) {};
        functions.store_state = [](const core::rollout_order&, core::rollout_state,
                                   state_write_handler&&) {};
        functions.place_upstreams = [this](std::span<const core::announced_upstream> all) {
            this->placement->set_upstreams(all);
        };
        this->rollouts = std::make_unique<rollout_service>(std::move(functions));
        this->rollouts->set_orders({});
        this->calls = std::make_unique<call_handler>(
            call_dependencies{this->event_loop,
                              *this->callers,
                              this->upstreams,
                              *this->placement,
                              this->repeats,
                              this->metrics,
                              {"a"},
                              [this] { return this->rules; },
                              [this](const core::upstream_name& name) { return this->find(name); },
                              [] { return 1; },
                              *this->rollouts});
        this->set_test_rules();
    }

    [[nodiscard]] const core::announced_upstream* find(const core::upstream_name& name) const
    {
        for (const core::announced_upstream& each : this->announced) {
            if (each.name == name)
                return &each;
        }
        return nullptr;
    }

    /// Sets routes /once/, /again/ and /stream/ of host h, for a team with key k.
    void set_test_rules()
    {
        core::ruleset ruleset;
        ruleset.version = 3;
        const auto add = [&](std::string prefix, bool idempotent, bool streams) {
            core::http_route route;
            route.name.value = prefix;
            route.host = "h";
            route.prefix = std::move(prefix);
            route.targets = {{{"t"}, 1.0}};
            route.idempotent = idempotent;
            route.streams = streams;
            route.resumable = streams;
            route.max_upstreams = 2;
            route.timeout = 2s;
            route.goal = 200ms;
            ruleset.routes.push_back(route);
        };
        add("/once/", false, false);
        add("/again/", true, false);
        add("/stream/", true, true);
        core::team_rule team;
        team.name.value = "team";
        team.keys = {"k"};
        ruleset.teams = {team};
        this->rules = std::make_shared<const core::rule_index>(std::move(ruleset));
        this->placement->set_rules(this->rules);
    }

    /// Orders a roll-out to version v2 and lets its controller give v2 a share of the requests.
    void begin_rollout(std::uint32_t share_permille)
    {
        const core::rollout_order order{{"t"}, {"v2"}, 12s, core::rollout_state::running, {5}};
        this->rollouts->set_orders({&order, 1});
        wire::PeerDatagram message;
        message.mutable_rollout_directive()->set_target("t");
        message.mutable_rollout_directive()->set_version("v2");
        message.mutable_rollout_directive()->set_share_permille(share_permille);
        this->rollouts->receive_message(this->controller, message);
    }
    [[nodiscard]] core::rollout_report report() const
    {
        const auto reports =
            this->rollouts->split().reports(core::time_point{this->event_loop.now()});
        REQUIRE(reports.size() == 1);
        return reports[0];
    }
    /// Sum over all routes of a count of the new version.
    [[nodiscard]] std::uint32_t count_of(std::uint32_t core::version_counts::*count) const
    {
        std::uint32_t total = 0;
        for (const core::rollout_route_counts& each : this->report().routes)
            total += each.new_version.*count;
        return total;
    }
    /// Takes all slots of the canaries.
    std::vector<placement_number> occupy_canaries()
    {
        std::vector<placement_number> granted;
        bool is_full = false;
        while (!is_full) {
            core::placement_request request;
            request.pool = core::canary_pool_of({"t"});
            request.max_wait = 150ms;
            bool is_granted = false;
            const placement_number number = this->placement->place(
                std::move(request),
                [&](placement_number, const core::placement_response& response) {
                    is_granted = std::holds_alternative<core::placement_grant>(response);
                });
            static_cast<void>(run_until(
                this->event_loop,
                [&] {
                    this->placement->tick();
                    return is_granted;
                },
                200ms));
            is_full = !is_granted;
            if (is_granted)
                granted.push_back(number);
        }
        return granted;
    }

    void add_upstream(const std::string& name, const raw_server& server,
                      const std::string& version = "v1")
    {
        core::announced_upstream upstream;
        upstream.name.value = name;
        upstream.target.value = "t";
        upstream.version.value = version;
        upstream.address = {"127.0.0.1", server.port()};
        upstream.slots = 4;
        this->announced.push_back(upstream);
        this->rollouts->set_upstreams(std::vector(this->announced));
    }

    /// Sends one request as a caller and returns the bytes of the response.
    std::string send_request(const std::string& path,
                             const std::string& headers = "Authorization: Bearer k\r\n")
    {
        std::string response;
        raw_client caller(this->callers->port(), [&](raw_connection& connection) {
            connection.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n" +
                            "X-Deadline-Ms: 1500\r\nConnection: close\r\n" + headers + "\r\n");
            response = connection.receive_all();
        });
        REQUIRE(run_until(this->event_loop, [&] {
            this->placement->tick();
            return caller.done();
        }));
        return response;
    }
};

std::string make_response(int status, const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\nX-Attempt-Id: id7\r\n" +
           "X-Server-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           headers + "\r\n" + body;
}

/// An upstream that responds to its requests with the given bytes, one after another.
struct scripted_upstream {
    std::vector<std::string> requests;
    std::deque<std::string> responses;
    std::atomic<int> request_count{0};
    raw_server server;

    explicit scripted_upstream(std::deque<std::string> given)
        : responses(std::move(given)), server([this](raw_connection& connection) {
              while (true) {
                  const std::string request = connection.receive_until("\r\n\r\n");
                  if (request.empty() || this->responses.empty())
                      return;
                  this->requests.push_back(request);
                  ++this->request_count;
                  const std::string response = this->responses.front();
                  this->responses.pop_front();
                  if (response.empty())
                      return;
                  connection.send(response);
                  if (response.find("Content-Length") == std::string::npos)
                      return;
              }
          })
    {
    }
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

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
    SUBCASE("the response belongs to another request")
    {
        scripted_upstream upstream(
            {"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Signature: s\r\n"
             "Content-Length: 3\r\n\r\nnot",
             make_response(200, "second")});
        node.add_upstream("i-1", upstream.server);
        const std::string response = node.send_request("/once/");
        CHECK(contains(response, "HTTP/1.1 502"));
        CHECK_FALSE(contains(response, "not"));
        CHECK(upstream.request_count == 1);
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
        scripted_upstream full(
            {"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
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

TEST_CASE("a stream is forwarded event by event")
{
    gateway_fixture node;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: id7\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const auto chunk = [](const std::string& text) {
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
        return std::string(size.data()) + text + "\r\n";
    };
    const std::string first_event = "id: 1\ndata: a\n\n";
    const std::string second_event = "id: 2\ndata: b\n\n";
    const std::string third_event = "id: 3\ndata: c\n\n";

    SUBCASE("a complete stream ends with its last chunk")
    {
        scripted_upstream upstream(
            {head + chunk(first_event + second_event) + chunk(third_event) + "0\r\n\r\n"});
        node.add_upstream("i-1", upstream.server);
        const std::string response = node.send_request("/stream/");
        CHECK(contains(response, third_event));
        CHECK(contains(response, "0\r\n\r\n"));
    }
    SUBCASE("a stream that breaks resumes at another upstream without a lost or repeated event")
    {
        scripted_upstream breaking({head + chunk(first_event + second_event.substr(0, 6))});
        node.add_upstream("i-1", breaking.server);
        scripted_upstream resuming(
            {head + chunk(first_event + second_event) + chunk(third_event) + "0\r\n\r\n"});
        node.add_upstream("i-2", resuming.server);
        const std::string response = node.send_request("/stream/");
        CHECK(contains(response, first_event));
        CHECK(contains(response, second_event));
        CHECK(contains(response, third_event));
        CHECK(response.find(first_event) == response.rfind(first_event));
        CHECK(contains(response, "0\r\n\r\n"));
        // After a failed check the test goes on, and there may be no request to look at.
        if (resuming.request_count == 1)
            CHECK(contains(resuming.requests[0], "Last-Event-Id: 1\r\n"));
    }
    SUBCASE("a stream that cannot be resumed ends without its last chunk")
    {
        scripted_upstream breaking({head + chunk(first_event)});
        node.add_upstream("i-1", breaking.server);
        const std::string response = node.send_request("/stream/");
        CHECK_FALSE(contains(response, "0\r\n\r\n"));
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

TEST_CASE("during a roll-out a request goes to the version that is chosen for it")
{
    gateway_fixture node;
    scripted_upstream old_version({make_response(200, "old"), make_response(200, "old")});
    node.add_upstream("i-1", old_version.server);
    scripted_upstream new_version({make_response(200, "new"), make_response(200, "new")});
    node.begin_rollout(0);
    node.add_upstream("i-2", new_version.server, "v2");

    SUBCASE("to none of the new version's upstreams without a share")
    {
        CHECK(contains(node.send_request("/again/"), "old"));
        CHECK(contains(node.send_request("/again/"), "old"));
        CHECK(new_version.request_count == 0);
    }
    SUBCASE("to them alone once all requests are theirs")
    {
        node.begin_rollout(1000);
        CHECK(contains(node.send_request("/again/"), "new"));
        CHECK(contains(node.send_request("/once/"), "new"));
        CHECK(old_version.request_count == 0);
        CHECK(node.count_of(&core::version_counts::sent) == 2);
        CHECK(node.count_of(&core::version_counts::passed) == 2);
    }
    SUBCASE("to the others while the new version has no upstream")
    {
        node.announced.pop_back();
        node.rollouts->set_upstreams(std::vector(node.announced));
        node.begin_rollout(1000);
        CHECK(contains(node.send_request("/again/"), "old"));
    }
    SUBCASE("to the others soon when no canary is free")
    {
        node.begin_rollout(999);
        const std::vector<placement_number> held = node.occupy_canaries();
        CHECK_FALSE(held.empty());
        node.begin_rollout(999);
        const auto started_at = node.event_loop.now();
        CHECK(contains(node.send_request("/again/"), "old"));
        CHECK(contains(node.send_request("/once/"), "old"));
        // Each waits for an eighth of the latency goal of 200 ms, not for the time that it has.
        CHECK(node.event_loop.now() - started_at <= 1200ms);
        CHECK(new_version.request_count == 0);
    }
}

TEST_CASE("no request reaches a version after its halt, although an upstream was granted for it")
{
    gateway_fixture node;
    scripted_upstream old_version({make_response(200, "old")});
    node.add_upstream("i-1", old_version.server);
    scripted_upstream new_version({make_response(200, "new")});
    node.begin_rollout(1000);
    node.add_upstream("i-2", new_version.server, "v2");
    const std::vector<placement_number> held = node.occupy_canaries();
    REQUIRE_FALSE(held.empty());
    node.begin_rollout(1000);
    bool has_halted = false;
    std::string response;
    raw_client caller(node.callers->port(), [&](raw_connection& connection) {
        connection.send("GET /again/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "X-Deadline-Ms: 1500\r\nConnection: close\r\n"
                        "Authorization: Bearer k\r\n\r\n");
        response = connection.receive_all();
    });
    const auto waits = [&] {
        node.placement->tick();
        return node.placement->owned_placements().waiting() == 1;
    };
    REQUIRE(run_until(node.event_loop, waits));
    SUBCASE("since the split refuses the grant")
    {
        // The placement does not know of the halt yet, as that of another node may not.
        node.rollouts->split().on_directive({{"t"}, {"v2"}, 0, true},
                                            core::time_point{node.event_loop.now()});
        node.placement->withdraw(held[0]);
        has_halted = true;
    }
    SUBCASE("since the canaries vanish while it waits for one")
    {
        wire::PeerDatagram message;
        message.mutable_rollout_directive()->set_target("t");
        message.mutable_rollout_directive()->set_version("v2");
        message.mutable_rollout_directive()->set_halted(true);
        node.rollouts->receive_message({"any"}, message);
        has_halted = true;
    }
    REQUIRE(has_halted);
    REQUIRE(run_until(node.event_loop, [&] {
        node.placement->tick();
        return caller.done();
    }));
    CHECK(contains(response, "old"));
    CHECK(new_version.request_count == 0);
    CHECK(node.count_of(&core::version_counts::sent) == 0);
    CHECK(node.calls->open_calls() == 0);
}

TEST_CASE("an attempt counts for or against its version only where it says something about it")
{
    gateway_fixture node;
    node.begin_rollout(1000);
    const auto check_counts = [&](std::uint32_t sent, std::uint32_t passed, std::uint32_t failed) {
        CHECK(node.count_of(&core::version_counts::sent) == sent);
        CHECK(node.count_of(&core::version_counts::passed) == passed);
        CHECK(node.count_of(&core::version_counts::failed) == failed);
    };
    SUBCASE("an error response and a lost connection count against it")
    {
        scripted_upstream failing({make_response(500, "why"), ""});
        node.add_upstream("i-2", failing.server, "v2");
        node.send_request("/once/");
        node.send_request("/once/");
        check_counts(2, 0, 2);
    }
    SUBCASE("a refusal by a full upstream does not")
    {
        scripted_upstream full(
            {"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
        node.add_upstream("i-2", full.server, "v2");
        node.send_request("/once/");
        check_counts(1, 0, 0);
    }
    SUBCASE("a caller that leaves does not")
    {
        raw_server silent(
            [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
        node.add_upstream("i-2", silent, "v2");
        raw_client caller(node.callers->port(), [&](raw_connection& connection) {
            connection.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                            "Authorization: Bearer k\r\n\r\n");
            std::this_thread::sleep_for(100ms);
        });
        CHECK(run_until(node.event_loop, [&] {
            node.placement->tick();
            return caller.done() && node.calls->open_calls() == 0;
        }));
        check_counts(1, 0, 0);
    }
    SUBCASE("silence until the deadline does")
    {
        raw_server silent(
            [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
        node.add_upstream("i-2", silent, "v2");
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 504"));
        check_counts(1, 0, 1);
    }
    CHECK(node.calls->open_calls() == 0);
}

TEST_CASE("requests in flight on the old version are counted until each has ended")
{
    gateway_fixture node;
    node.begin_rollout(0);
    std::atomic<int> request_count{0};
    raw_server slow([&](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        ++request_count;
        std::this_thread::sleep_for(200ms);
        connection.send(make_response(200, "old"));
    });
    node.add_upstream("i-1", slow);
    std::string response;
    raw_client caller(node.callers->port(), [&](raw_connection& connection) {
        connection.send("GET /again/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "Connection: close\r\nAuthorization: Bearer k\r\n\r\n");
        response = connection.receive_all();
    });
    REQUIRE(run_until(node.event_loop, [&] {
        node.placement->tick();
        return request_count == 1;
    }));
    CHECK(node.report().old_in_flight == 1);
    REQUIRE(run_until(node.event_loop, [&] { return caller.done(); }));
    CHECK(contains(response, "old"));
    CHECK(node.report().old_in_flight == 0);
}

TEST_CASE("the time between a stream's events is observed once for the version")
{
    gateway_fixture node;
    const auto make_stream = [](std::chrono::milliseconds gap) {
        return [gap](raw_connection& connection) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send("HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: id7\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n");
            for (int number = 1; number <= 12; ++number) {
                const std::string event =
                    "id: " + std::to_string(number) + "\ndata: " + std::string(10, 'x') + "\n\n";
                std::array<char, 16> size{};
                std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
                connection.send(std::string(size.data()) + event + "\r\n");
                std::this_thread::sleep_for(gap);
            }
            connection.send("0\r\n\r\n");
        };
    };
    raw_server old_version(make_stream(2ms));
    node.add_upstream("i-1", old_version);
    // So many streams make known what is usual.
    for (int count = 0; count < 12; ++count)
        REQUIRE(contains(node.send_request("/stream/"), "0\r\n\r\n"));
    raw_server new_version(make_stream(40ms));
    node.begin_rollout(1000);
    node.add_upstream("i-2", new_version, "v2");
    REQUIRE(contains(node.send_request("/stream/"), "0\r\n\r\n"));
    CHECK(node.count_of(&core::version_counts::streams_late) == 1);
    CHECK(node.count_of(&core::version_counts::streams_on_time) == 0);
    CHECK(node.count_of(&core::version_counts::first_parts_late) +
              node.count_of(&core::version_counts::first_parts_on_time) ==
          1);
}

} // namespace ragwortcove::gateway
