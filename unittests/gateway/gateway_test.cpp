#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <cerrno>
#include <memory>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using http::test::raw_client;
using http::test::raw_connection;
using http::test::raw_server;
using http::test::run_until;
using test::make_settings;
using test::read_page;

namespace {

/// A store whose rules, which nobody can read, are large; it lists nothing else.
struct large_store {
    static constexpr std::size_t document_bytes = 600'000;
    raw_server server{[](raw_connection& connection) {
        const std::string request = connection.receive_until("\r\n\r\n");
        const bool is_watch = request.find("watch=") != std::string::npos;
        connection.send(is_watch ? make_response(503, "") : make_response(200, list(request)));
    }};

    static std::string make_response(int status, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status) +
               " Any\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    static std::string list(const std::string& request)
    {
        const bool is_rules = request.find(rules_path()) != std::string::npos;
        const std::string rules = R"({"meta":{"name":"main","revision":2},"spec":{"text":")" +
                                  std::string(document_bytes, 'x') + R"("}})";
        return R"({"entries":[)" + (is_rules ? rules : "") +
               R"(],"has_more":false,"current_rev":3})";
    }
    static std::string path_of(adapter::document_kind kind)
    {
        return adapter::write_store_call(
                   adapter::list_documents{std::string(adapter::store_name(kind))})
            .target;
    }
    static std::string rules_path() { return path_of(adapter::document_kind::rules); }
};

/// A store with the orders to drain the given domains, beside an entry without a name.
struct draining_store {
    raw_server server;

    explicit draining_store(const std::vector<std::string>& domains)
        : server([domains](raw_connection& connection) {
              const std::string request = connection.receive_until("\r\n\r\n");
              const bool is_watch = request.find("watch=") != std::string::npos;
              std::string entries = R"({"meta":{"name":"","revision":2}})";
              for (const std::string& domain : domains)
                  entries += R"(,{"meta":{"name":")" + domain + R"(","revision":2},"spec":{}})";
              const bool is_drains =
                  request.find(large_store::path_of(adapter::document_kind::domain_drains)) !=
                  std::string::npos;
              const std::string list = R"({"entries":[)" + (is_drains ? entries : "") +
                                       R"(],"has_more":false,"current_rev":3})";
              connection.send(large_store::make_response(is_watch ? 503 : 200, list));
          })
    {
    }
};

/// The status with which a node responds to another one that reads documents from it.
std::string read_documents(http::loop& event_loop, std::uint16_t port, const std::string& path)
{
    return read_page(event_loop, port, path).substr(0, std::string("HTTP/1.1 200").size());
}

} // namespace

TEST_CASE("a node rejects at once the reads of others that its link does not carry in time")
{
    const large_store store;
    gateway_settings settings = make_settings();
    settings.store.port = store.server.port();
    http::loop event_loop;
    gateway node{event_loop, settings, core::incarnation{1}, [] {}};
    REQUIRE(node.listening());
    const std::string small = large_store::path_of(adapter::document_kind::upstreams);
    std::string first_status;
    for (int count = 0; count < 50 && first_status != "HTTP/1.1 200"; ++count) {
        static_cast<void>(run_until(
            event_loop, [] { return false; }, 50ms));
        first_status = read_documents(event_loop, settings.peers.port, small);
    }
    REQUIRE(first_status == "HTTP/1.1 200");

    int served = 0;
    for (int count = 0; count < 5; ++count) {
        const std::string status =
            read_documents(event_loop, settings.peers.port, large_store::rules_path());
        CHECK((status == "HTTP/1.1 200" || status == "HTTP/1.1 503"));
        served += status == "HTTP/1.1 200" ? 1 : 0;
    }
    CHECK(served == 2);
    CHECK(read_documents(event_loop, settings.peers.port, small) == "HTTP/1.1 200");
}

TEST_CASE("a node drains the domains that the store has orders for")
{
    const draining_store store({"a", "b"});
    gateway_settings settings = make_settings();
    settings.store.port = store.server.port();
    http::loop event_loop;
    const gateway node{event_loop, settings, core::incarnation{1}, [] {}};
    REQUIRE(node.listening());
    std::string page;
    for (int count = 0; count < 50 && page.find("drained_domains 2.0") == std::string::npos;
         ++count) {
        static_cast<void>(run_until(
            event_loop, [] { return false; }, 20ms));
        page = read_page(event_loop, settings.peers.port, "/metrics");
    }
    CHECK(page.find("drained_domains 2.0") != std::string::npos);
}

TEST_CASE("a node that waits for the store tells how many kinds of documents it lacks")
{
    const gateway_settings settings = make_settings();
    http::loop event_loop;
    const gateway node{event_loop, settings, core::incarnation{1}, [] {}};
    REQUIRE(node.listening());
    const std::string page = read_page(event_loop, settings.peers.port, "/metrics");
    const std::string lacks_all =
        "documents_awaited " + std::to_string(adapter::replicated_kind_count) + ".0";
    CHECK(page.find(lacks_all) != std::string::npos);
}

TEST_CASE("an address that cannot be listened on is named with the reason")
{
    gateway_settings settings = make_settings();
    const raw_server holder([](raw_connection&) {});
    settings.directory.port = holder.port();
    http::loop event_loop;
    const gateway node{event_loop, settings, core::incarnation{1}, [] {}};
    const std::vector<daemon::unavailable_address> unavailable = node.unavailable_addresses();
    REQUIRE(unavailable.size() == 1);
    CHECK(unavailable.front().key == "directory");
    CHECK(unavailable.front().address == settings.directory);
    CHECK(unavailable.front().error == EADDRINUSE);
}

TEST_CASE("a request whose last part comes after a planned stop began is refused, not lost")
{
    const gateway_settings settings = make_settings();
    std::string response;
    std::atomic<int> step{0};
    std::unique_ptr<raw_client> caller;
    {
        http::loop event_loop;
        bool drained = false;
        gateway node{event_loop, settings, core::incarnation{1}, [&] { drained = true; }};
        REQUIRE(node.listening());
        caller =
            std::make_unique<raw_client>(settings.callers.port, [&](raw_connection& connection) {
                connection.send("GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n");
                step = 1;
                std::this_thread::sleep_for(600ms);
                connection.send("\r\n");
                response = connection.receive_all();
            });
        REQUIRE(run_until(event_loop, [&] { return step == 1; }));
        static_cast<void>(run_until(
            event_loop, [] { return false; }, 50ms));
        node.drain();
        // The process ends with its loop.
        REQUIRE(run_until(event_loop, [&] { return drained; }));
    }
    caller.reset();
    CHECK(response.find("HTTP/1.1 503") == 0);
}

} // namespace ragwortcove::gateway
