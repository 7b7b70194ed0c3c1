#include "../http/loopback.hpp"
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

/// One node with its callers' address, before raw upstreams.
struct node_before_upstreams {
    http::loop event_loop;
    http::outbound_client upstreams{event_loop, 5s};
    core::repeat_budget repeats{core::repeat_limits{0.2, 100.0, 10s}};
    gateway_metrics metrics;
    std::shared_ptr<const core::rule_index> rules;
    std::vector<core::announced_upstream> known;
    std::unique_ptr<placement_service> placement;
    std::unique_ptr<http::inbound_server> callers;
    std::unique_ptr<call_handler> calls;

    node_before_upstreams()
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
        dependencies.serving_count = [] { return 1; };
        dependencies.lost_count = [] { return 0; };
        this->placement = std::make_unique<placement_service>(std::move(dependencies));
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
                              [] { return 1; }});
        this->declare();
    }

    [[nodiscard]] const core::announced_upstream* find(const core::upstream_name& name) const
    {
        for (const core::announced_upstream& each : this->known) {
            if (each.name == name)
                return &each;
        }
        return nullptr;
    }

    /// Routes /once/, /again/ and /stream/ of host h, for teams with key k.
    void declare()
    {
        core::ruleset made;
        made.version = 3;
        const auto add = [&](std::string prefix, bool idempotent, bool streams) {
            core::http_route route;
            route.name.value = prefix;
            route.host = "h";
            route.prefix = std::move(prefix);
            route.targets = {{{"t"}, 1.0}};
            route.idempotent = idempotent;
            route.streams = streams;
            route.resumable = streams;
            route.most_upstreams = 2;
            route.timeout = 2s;
            route.goal = 200ms;
            made.routes.push_back(route);
        };
        add("/once/", false, false);
        add("/again/", true, false);
        add("/stream/", true, true);
        core::team_rule team;
        team.name.value = "team";
        team.keys = {"k"};
        made.teams = {team};
        this->rules = std::make_shared<const core::rule_index>(std::move(made));
        this->placement->set_rules(this->rules);
    }

    void add_upstream(const std::string& name, const raw_server& server)
    {
        core::announced_upstream one;
        one.name.value = name;
        one.target.value = "t";
        one.address = {"127.0.0.1", server.port()};
        one.slots = 4;
        this->known.push_back(one);
        this->placement->set_upstreams(this->known);
    }

    /// What a caller gets for one request.
    std::string ask(const std::string& path,
                    const std::string& headers = "Authorization: Bearer k\r\n")
    {
        std::string answer;
        raw_client caller(this->callers->port(), [&](raw_connection& connection) {
            connection.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n" +
                            "X-Deadline-Ms: 1500\r\nConnection: close\r\n" + headers + "\r\n");
            answer = connection.receive_all();
        });
        REQUIRE(run_until(this->event_loop, [&] {
            this->placement->tick();
            return caller.done();
        }));
        return answer;
    }
};

std::string answer_with(int status, const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\nX-Attempt-Id: id7\r\n" +
           "X-Server-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           headers + "\r\n" + body;
}

/// An upstream that answers its requests with these bytes, one after another.
struct scripted_upstream {
    std::vector<std::string> requests;
    std::deque<std::string> answers;
    std::atomic<int> asked{0};
    raw_server server;

    explicit scripted_upstream(std::deque<std::string> given)
        : answers(std::move(given)), server([this](raw_connection& connection) {
              while (true) {
                  const std::string request = connection.receive_until("\r\n\r\n");
                  if (request.empty() || this->answers.empty())
                      return;
                  this->requests.push_back(request);
                  ++this->asked;
                  const std::string answer = this->answers.front();
                  this->answers.pop_front();
                  if (answer.empty())
                      return;
                  connection.send(answer);
                  if (answer.find("Content-Length") == std::string::npos)
                      return;
              }
          })
    {
    }
};

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a request goes through unchanged, and so does its answer")
{
    node_before_upstreams node;
    scripted_upstream upstream({answer_with(200, "body", "X-Odd: 1\r\n")});
    node.add_upstream("i-1", upstream.server);
    const std::string answer = node.ask("/once/x?q=1");
    CHECK(has(answer, "HTTP/1.1 200"));
    CHECK(has(answer, "X-Odd: 1\r\n"));
    CHECK(has(answer, "\r\n\r\nbody"));
    REQUIRE(upstream.requests.size() == 1);
    CHECK(has(upstream.requests[0], "GET /once/x?q=1 HTTP/1.1\r\n"));
    CHECK(has(upstream.requests[0], "X-Expect-Instance: i-1\r\n"));
    CHECK(has(upstream.requests[0], "X-Tenant: team\r\n"));
    CHECK_FALSE(has(upstream.requests[0], "Bearer"));
}

TEST_CASE("what no rule allows is answered at once")
{
    node_before_upstreams node;
    CHECK(has(node.ask("/other/"), "HTTP/1.1 404"));
    CHECK(has(node.ask("/once/", "Authorization: Bearer wrong\r\n"), "HTTP/1.1 401"));
    CHECK(has(node.ask("/once/", ""), "HTTP/1.1 401"));
    SUBCASE("a node without rules, or one that ends, says when to come back")
    {
        node.rules.reset();
        CHECK(has(node.ask("/once/"), "HTTP/1.1 503"));
        node.declare();
        node.calls->refuse_new_requests();
        const std::string answer = node.ask("/once/");
        CHECK(has(answer, "HTTP/1.1 503"));
        CHECK(has(answer, "Retry-After: 0.0"));
    }
    SUBCASE("without an upstream a request is refused, and has not run")
    {
        const std::string answer = node.ask("/once/");
        CHECK(has(answer, "HTTP/1.1 503"));
        CHECK(has(answer, "Retry-After: "));
    }
    CHECK(node.calls->open_calls() == 0);
}

TEST_CASE("a request that may run once is not sent again when it may have run")
{
    node_before_upstreams node;
    SUBCASE("its connection ends without an answer: failed, not refused")
    {
        scripted_upstream upstream({"", answer_with(200, "second")});
        node.add_upstream("i-1", upstream.server);
        CHECK(has(node.ask("/once/"), "HTTP/1.1 502"));
        CHECK(upstream.asked == 1);
    }
    SUBCASE("the answer is another request's")
    {
        scripted_upstream upstream(
            {"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Signature: s\r\n"
             "Content-Length: 3\r\n\r\nnot",
             answer_with(200, "second")});
        node.add_upstream("i-1", upstream.server);
        const std::string answer = node.ask("/once/");
        CHECK(has(answer, "HTTP/1.1 502"));
        CHECK_FALSE(has(answer, "not"));
        CHECK(upstream.asked == 1);
    }
    SUBCASE("a 503 that nobody signed promises nothing")
    {
        scripted_upstream upstream({"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"});
        node.add_upstream("i-1", upstream.server);
        CHECK(has(node.ask("/once/"), "HTTP/1.1 502"));
    }
    SUBCASE("its own failure is passed on as it is")
    {
        scripted_upstream upstream({answer_with(500, "why")});
        node.add_upstream("i-1", upstream.server);
        const std::string answer = node.ask("/once/");
        CHECK(has(answer, "HTTP/1.1 500"));
        CHECK(has(answer, "X-Server-Signature: s"));
    }
    SUBCASE("an upstream that says it did not run it: the next one gets it")
    {
        scripted_upstream full(
            {"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
        node.add_upstream("i-1", full.server);
        scripted_upstream other({answer_with(200, "ran here")});
        node.add_upstream("i-2", other.server);
        const std::string answer = node.ask("/once/");
        CHECK(has(answer, "ran here"));
    }
}

TEST_CASE("a request that may be repeated is, on another upstream")
{
    node_before_upstreams node;
    std::deque<std::string> first;
    SUBCASE("after an error")
    {
        first = {answer_with(500, "why")};
    }
    SUBCASE("after a broken answer")
    {
        first = {"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 10\r\n\r\nfour"};
    }
    SUBCASE("after bytes that are no answer")
    {
        first = {"rubbish\r\n\r\n"};
    }
    scripted_upstream failing(first);
    node.add_upstream("i-1", failing.server);
    scripted_upstream good({answer_with(200, "good")});
    node.add_upstream("i-2", good.server);
    CHECK(has(node.ask("/again/"), "good"));
    CHECK(good.asked == 1);
}

TEST_CASE("a stream is passed on event by event")
{
    node_before_upstreams node;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nX-Attempt-Id: id7\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const auto chunk = [](const std::string& text) {
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
        return std::string(size.data()) + text + "\r\n";
    };
    const std::string one = "id: 1\ndata: a\n\n";
    const std::string two = "id: 2\ndata: b\n\n";
    const std::string three = "id: 3\ndata: c\n\n";

    SUBCASE("to its end")
    {
        scripted_upstream upstream({head + chunk(one + two) + chunk(three) + "0\r\n\r\n"});
        node.add_upstream("i-1", upstream.server);
        const std::string answer = node.ask("/stream/");
        CHECK(has(answer, three));
        CHECK(has(answer, "0\r\n\r\n"));
    }
    SUBCASE("one that breaks goes on at another upstream, without a gap and without a repeat")
    {
        scripted_upstream breaking({head + chunk(one + two.substr(0, 6))});
        node.add_upstream("i-1", breaking.server);
        scripted_upstream going_on({head + chunk(one + two) + chunk(three) + "0\r\n\r\n"});
        node.add_upstream("i-2", going_on.server);
        const std::string answer = node.ask("/stream/");
        CHECK(has(answer, one));
        CHECK(has(answer, two));
        CHECK(has(answer, three));
        CHECK(answer.find(one) == answer.rfind(one));
        CHECK(has(answer, "0\r\n\r\n"));
        if (going_on.asked == 1)
            CHECK(has(going_on.requests[0], "Last-Event-Id: 1\r\n"));
    }
    SUBCASE("one that cannot go on looks cut")
    {
        scripted_upstream breaking({head + chunk(one)});
        node.add_upstream("i-1", breaking.server);
        const std::string answer = node.ask("/stream/");
        CHECK_FALSE(has(answer, "0\r\n\r\n"));
    }
}

TEST_CASE("a caller that leaves takes its request with it")
{
    node_before_upstreams node;
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
    // Half a second is what callers' upstreams are allowed to work on in vain.
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

TEST_CASE("a request whose time is up is answered then")
{
    node_before_upstreams node;
    raw_server silent(
        [](raw_connection& connection) { static_cast<void>(connection.receive_all()); });
    node.add_upstream("i-1", silent);
    const auto began = node.event_loop.now();
    CHECK(has(node.ask("/once/"), "HTTP/1.1 504"));
    const auto took = node.event_loop.now() - began;
    CHECK(took >= 1400ms);
    CHECK(took <= 2s);
}

} // namespace ragwortcove::gateway
