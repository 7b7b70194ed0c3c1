#include "call_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace ragwortcove::gateway::test {

static const core::failure_domain_name north{"north"};
static const core::failure_domain_name south{"south"};

static void order(gateway_fixture& node, const std::vector<core::failure_domain_name>& domains)
{
    static_cast<void>(node.drains.set_orders(domains, core::time_point{node.event_loop.now()}));
}

/// Adds an upstream of a failure domain. The owner of its cell is told nothing of drained domains.
static void add_upstream(gateway_fixture& node, const std::string& name, const raw_server& server,
                         const core::failure_domain_name& domain)
{
    node.add_upstream(name, server);
    node.announced.back().failure_domain = domain;
    node.rollouts->set_upstreams(std::vector(node.announced));
}

// Guards against a request that reaches a drained domain since the owner of the cell, cut off from
// the store, does not know the order yet and grants an upstream there.
TEST_CASE("no request is sent to a drained domain, whatever the owner of its cell grants")
{
    gateway_fixture node;
    scripted_upstream drained({make_response(200, "drained"), make_response(200, "drained")});
    scripted_upstream other({make_response(200, "other"), make_response(200, "other"),
                             make_response(200, "other"), make_response(200, "other")});
    add_upstream(node, "i-1", drained.server, south);
    SUBCASE("another domain's upstream takes it")
    {
        add_upstream(node, "i-2", other.server, north);
        order(node, {south});
        for (int count = 0; count < 4; ++count)
            CHECK(contains(node.send_request("/once/"), "other"));
        CHECK(drained.request_count == 0);
        CHECK(node.is_empty());
    }
    SUBCASE("with all domains drained, it is refused and has not run")
    {
        add_upstream(node, "i-2", other.server, north);
        order(node, {north, south});
        const std::string response = node.send_request("/once/");
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(contains(response, "Retry-After"));
        CHECK(drained.request_count == 0);
        CHECK(other.request_count == 0);
        CHECK(node.is_empty());
    }
    SUBCASE("once the order is gone, its upstream is used again")
    {
        order(node, {south});
        CHECK(contains(node.send_request("/once/"), "HTTP/1.1 503"));
        order(node, {});
        CHECK(contains(node.send_request("/once/"), "drained"));
    }
    SUBCASE("a request that waits for a place is not sent there, either")
    {
        node.fill_slots("i-1");
        std::string response;
        const raw_client caller(node.callers->port(), [&](raw_connection& connection) {
            connection.send("GET /once/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                            "X-Deadline-Ms: 1500\r\nConnection: close\r\n"
                            "Authorization: Bearer k\r\n\r\n");
            response = connection.receive_all();
        });
        REQUIRE(node.run([&] { return node.calls->open_calls() == 1; }));
        order(node, {south});
        node.free_slots();
        REQUIRE(node.run([&] { return caller.done(); }));
        CHECK(contains(response, "HTTP/1.1 503"));
        CHECK(drained.request_count == 0);
    }
}

// Guards against an order that cuts what runs in the domain.
TEST_CASE("a request that is in flight in a drained domain ends as usual")
{
    gateway_fixture node;
    const paced_upstream drained({{0ms, stream_head + make_chunk(make_event(1))},
                                  {300ms, make_chunk(make_event(2)) + last_chunk}});
    scripted_upstream other({make_response(200, "other")});
    add_upstream(node, "i-1", drained.server, south);
    std::string response;
    const raw_client caller(node.callers->port(), [&](raw_connection& connection) {
        connection.send("GET /stream/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: id7\r\n"
                        "X-Deadline-Ms: 1500\r\nConnection: close\r\n"
                        "Authorization: Bearer k\r\n\r\n");
        response = connection.receive_all();
    });
    REQUIRE(node.run([&] { return drained.request_count == 1; }));
    add_upstream(node, "i-2", other.server, north);
    order(node, {south});
    std::vector<core::announced_upstream> marked = node.announced;
    node.drains.mark(marked, core::time_point{node.event_loop.now()});
    node.rollouts->set_upstreams(std::move(marked));
    REQUIRE(node.run([&] { return caller.done(); }));
    CHECK(contains(response, make_event(2)));
    CHECK(contains(response, last_chunk));
    CHECK(other.request_count == 0);
    CHECK(node.is_empty());
}

} // namespace ragwortcove::gateway::test
