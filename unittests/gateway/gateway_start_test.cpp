#include "gateway_fixture.hpp"
#include "ragwortcove/standin/platform_server.hpp"

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

// How a node starts while something that it needs is not there yet.

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using http::test::raw_connection;
using http::test::raw_server;
using http::test::run_until;
using test::make_settings;
using test::read_page;

namespace {

/// A store with rules.
struct store_with_rules {
    standin::platform_server server;
    http::outbound_client connections;
    adapter::store_client client;

    explicit store_with_rules(http::loop& loop)
        : server(loop, {}), connections(loop, 3000ms),
          client(loop, this->connections, {{"127.0.0.1", this->server.port()}, 1500ms, {}})
    {
        adapter::store_document rules;
        rules.name = adapter::rules_document_name();
        rules.content = boost::json::object{{"version", 1}};
        const std::string kind(adapter::store_name(adapter::document_kind::rules));
        bool is_written = false;
        this->client.send(adapter::create_document{kind, rules},
                          [&](const adapter::store_document* written, const adapter::store_error&) {
                              is_written = written != nullptr;
                          });
        REQUIRE(run_until(loop, [&] { return is_written; }));
    }
};

/// A datagram socket of another process.
class datagram_holder {
public:
    explicit datagram_holder(std::uint16_t port)
        : descriptor(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = http::test::loopback_address(port);
        REQUIRE(::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&address),
                       sizeof address) == 0);
    }
    ~datagram_holder() { ::close(this->descriptor); }
    datagram_holder(const datagram_holder&) = delete;
    datagram_holder& operator=(const datagram_holder&) = delete;

private:
    int descriptor;
};

/// Longest time from when a node can start until it is ready.
constexpr auto start_limit = 3s;

} // namespace

/// Whether a node that can be read from at `port` says before `limit` that it is ready.
static bool becomes_ready(http::loop& event_loop, std::uint16_t port, std::chrono::seconds limit)
{
    const auto until = event_loop.now() + limit;
    while (event_loop.now() < until) {
        static_cast<void>(run_until(
            event_loop, [] { return false; }, 20ms));
        if (read_page(event_loop, port, "/metrics").find("ragwortcove_ready 1.0") !=
            std::string::npos)
            return true;
    }
    return false;
}

TEST_CASE("a node starts although another process holds one of its addresses")
{
    http::loop event_loop;
    const store_with_rules store(event_loop);
    gateway_settings settings = make_settings();
    settings.store.port = store.server.port();
    settings.metrics = test::free_endpoint();
    std::optional<raw_server> holder(std::in_place, [](raw_connection&) {});
    const std::uint16_t held = holder->port();

    SUBCASE("one that no caller needs, for as long as it runs")
    {
        SUBCASE("metrics")
        {
            settings.metrics.port = held;
        }
        SUBCASE("readiness")
        {
            settings.readiness.port = held;
        }
        SUBCASE("directory")
        {
            settings.directory.port = held;
        }
        const gateway node{event_loop, settings, core::incarnation{1}, [] {}};
        CHECK(becomes_ready(event_loop, settings.peers.port, start_limit));
        CHECK(node.unavailable_addresses().size() == 1);
        holder.reset();
        CHECK(run_until(
            event_loop, [&] { return node.listening(); }, start_limit));
    }
    SUBCASE("that of callers, until it is free")
    {
        settings.callers.port = held;
        const gateway node{event_loop, settings, core::incarnation{1}, [] {}};
        CHECK_FALSE(becomes_ready(event_loop, settings.peers.port, 1s));
        holder.reset();
        CHECK(becomes_ready(event_loop, settings.peers.port, start_limit));
    }
    SUBCASE(
        "that of other nodes, until it is free: meanwhile it must not take itself for the only one")
    {
        std::optional<datagram_holder> other(std::in_place, settings.peers.port);
        const gateway node{event_loop, settings, core::incarnation{1}, [] {}};
        CHECK_FALSE(becomes_ready(event_loop, settings.metrics.port, 2s));
        other.reset();
        CHECK(becomes_ready(event_loop, settings.metrics.port, start_limit));
    }
}

} // namespace ragwortcove::gateway
