#include "peer.grpc.pb.h"
#include "ragwortcove/peer/transport.hpp"
#include "silent_relay.hpp"

#include <doctest/doctest.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <optional>

using namespace ragwortcove;
using namespace ragwortcove::peer;
using namespace std::chrono_literals;

namespace {

/// Longest wait for a condition; only a failing test waits that long.
constexpr std::chrono::seconds patience{20};

/// A transport and the events it gave.
struct test_node {
    test_node(http::loop& on, const transport_settings& settings) : name(settings.name)
    {
        this->link.emplace(on, settings,
                           [this](core::event&& event) { this->events.push_back(event); });
        REQUIRE(this->link->listening());
    }

    [[nodiscard]] core::endpoint address() const { return {"127.0.0.1", this->link->port()}; }

    void send(const test_node& to, core::peer_message message)
    {
        this->link->send({to.name, to.address(), std::move(message)});
    }

    template <class Event> [[nodiscard]] std::vector<Event> of() const
    {
        std::vector<Event> result;
        for (const core::event& event : this->events) {
            if (const auto* wanted = std::get_if<Event>(&event))
                result.push_back(*wanted);
        }
        return result;
    }
    [[nodiscard]] std::size_t received() const { return this->of<core::peer_received>().size(); }
    [[nodiscard]] std::size_t disconnected() const
    {
        return this->of<core::peer_disconnected>().size();
    }

    core::node_name name;
    std::vector<core::event> events;
    std::optional<transport> link;
};

transport_settings settings_of(const std::string& name, std::uint64_t run = 1)
{
    transport_settings result;
    result.name = {name};
    result.run = {run};
    result.listen = {"127.0.0.1", 0};
    return result;
}

core::key_query key_query(std::uint64_t sequence)
{
    return {{{7}, sequence}, "admission-" + std::to_string(sequence)};
}

void check_condition(http::loop& on, const std::function<bool()>& condition, int checks_left)
{
    if (condition() || checks_left == 0) {
        on.stop();
        return;
    }
    on.after(2ms,
             [&on, &condition, checks_left] { check_condition(on, condition, checks_left - 1); });
}

/// Runs the loop until the condition holds; false when patience ends first.
bool run_until(http::loop& on, const std::function<bool()>& condition)
{
    on.after(0ms, [&] { check_condition(on, condition, patience / 2ms); });
    on.run();
    return condition();
}

} // namespace

TEST_CASE("messages of a stream arrive in order, with their sender")
{
    http::loop loop;
    test_node a(loop, settings_of("entry-a", 11));
    test_node b(loop, settings_of("entry-b", 22));
    for (std::uint64_t sequence = 0; sequence != 100; ++sequence)
        a.send(b, key_query(sequence));
    REQUIRE(run_until(loop, [&] { return b.received() == 100; }));

    const auto received = b.of<core::peer_received>();
    for (std::uint64_t sequence = 0; sequence != 100; ++sequence) {
        CHECK(received[sequence].from == a.name);
        CHECK(received[sequence].run == core::incarnation{11});
        CHECK(received[sequence].message == core::peer_message{key_query(sequence)});
    }

    SUBCASE("and one loop turn's messages travel in one envelope")
    {
        // A greeting, and the hundred.
        CHECK(a.link->counters().envelopes_sent.messages == 2);
    }
    SUBCASE("and the answer comes on the same stream")
    {
        b.send(a, core::key_response{{{7}, 5}, core::key_state::used});
        REQUIRE(run_until(loop, [&] { return a.received() == 1; }));
        CHECK(a.link->open_streams() == 1);
        CHECK(b.link->counters().streams_opened == 1);
        CHECK(a.of<core::peer_received>().front().run == core::incarnation{22});
    }
    SUBCASE("and are counted by kind")
    {
        const std::size_t kind = core::peer_message{core::key_query{}}.index();
        const traffic sent = a.link->counters().sent[kind];
        CHECK(sent.messages == 100);
        CHECK(sent.bytes > 0);
        CHECK(b.link->counters().received[kind].messages == 100);
        CHECK(b.link->counters().received[kind].bytes == sent.bytes);
    }
}

TEST_CASE("a heartbeat needs the address alone")
{
    http::loop loop;
    test_node a(loop, settings_of("entry-a", 11));
    test_node b(loop, settings_of("entry-b", 22));
    core::heartbeat beat;
    beat.sender.name = a.name;
    beat.sender.run = {11};
    a.link->send({{}, b.address(), beat});
    REQUIRE(run_until(loop, [&] { return b.received() == 1; }));

    const auto received = b.of<core::peer_received>().front();
    CHECK(received.from == a.name);
    CHECK(received.run == core::incarnation{11});
    CHECK(a.link->open_streams() == 0);
    CHECK(b.link->counters().received[received.message.index()].messages == 1);
}

TEST_CASE("two nodes that open streams at once keep one")
{
    http::loop loop;
    test_node a(loop, settings_of("entry-a"));
    test_node b(loop, settings_of("entry-b"));
    for (std::uint64_t sequence = 0; sequence != 20; ++sequence) {
        a.send(b, key_query(sequence));
        b.send(a, key_query(sequence));
    }
    REQUIRE(run_until(loop, [&] {
        return a.received() == 20 && b.received() == 20 && a.link->open_streams() == 1 &&
               b.link->open_streams() == 1;
    }));
    CHECK(a.disconnected() == 0);
    CHECK(b.disconnected() == 0);
}

TEST_CASE("a peer that ends is reported, and its successor is reached")
{
    http::loop loop;
    test_node a(loop, settings_of("entry-a"));
    std::optional<test_node> b(std::in_place, loop, settings_of("entry-b", 5));
    const core::node_name name = b->name;
    a.send(*b, key_query(1));
    REQUIRE(run_until(loop, [&] { return b->received() == 1; }));
    b.reset();
    REQUIRE(run_until(loop, [&] { return a.disconnected() == 1; }));
    CHECK(a.of<core::peer_disconnected>().front().peer == name);
    CHECK(a.link->open_streams() == 0);

    test_node successor(loop, settings_of("entry-b", 6));
    a.send(successor, key_query(2));
    REQUIRE(run_until(loop, [&] { return successor.received() == 1; }));
    CHECK(a.disconnected() == 1);

    SUBCASE("and a late stream of its former incarnation is refused")
    {
        test_node former(loop, settings_of("entry-b", 5));
        former.send(a, key_query(3));
        REQUIRE(run_until(loop, [&] { return former.disconnected() > 0; }));
        CHECK(a.received() == 0);
    }
}

TEST_CASE("what cannot be sent is dropped and reported")
{
    http::loop loop;
    test_node a(loop, settings_of("entry-a"));
    const int deaf = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof at;
    REQUIRE(::bind(deaf, reinterpret_cast<const sockaddr*>(&at), length) == 0);
    ::getsockname(deaf, reinterpret_cast<sockaddr*>(&at), &length);
    const core::endpoint address{"127.0.0.1", ntohs(at.sin_port)};
    std::chrono::microseconds longest{0};

    SUBCASE("at once, where nothing listens")
    {
        longest = 1s;
    }
    SUBCASE("after the send limit, where nothing answers")
    {
        REQUIRE(::listen(deaf, 1) == 0);
        longest = 2s;
    }
    const auto start = loop.now();
    a.link->send({{"entry-x"}, address, key_query(1)});
    REQUIRE(run_until(loop, [&] { return a.disconnected() == 1; }));
    CHECK(loop.now() - start < longest);
    CHECK(a.link->counters().messages_dropped == 1);
    ::close(deaf);
}

TEST_CASE("a stream to another node than the one named is not used")
{
    http::loop loop;
    test_node a(loop, settings_of("entry-a"));
    test_node b(loop, settings_of("entry-b"));
    a.link->send({{"entry-c"}, b.address(), key_query(1)});
    REQUIRE(run_until(loop, [&] { return a.disconnected() == 1; }));
    CHECK(a.of<core::peer_disconnected>().front().peer == core::node_name{"entry-c"});
    CHECK(b.received() == 0);
}

TEST_CASE("a connection that has gone silent is found and replaced")
{
    http::loop loop;
    test_node a(loop, settings_of("entry-a"));
    test_node b(loop, settings_of("entry-b"));
    silent_relay relay(b.link->port());
    const core::endpoint through_relay{"127.0.0.1", relay.port()};
    a.link->send({b.name, through_relay, key_query(1)});
    REQUIRE(run_until(loop, [&] { return b.received() == 1; }));

    relay.silence_open_connections();
    const auto silent_since = loop.now();
    REQUIRE(run_until(loop, [&] { return a.disconnected() > 0 && b.disconnected() > 0; }));
    CHECK(loop.now() - silent_since < 2500ms);

    a.link->send({b.name, through_relay, key_query(2)});
    REQUIRE(run_until(loop, [&] { return b.received() == 2; }));
    CHECK(relay.connections() == 2);
}

TEST_CASE("a stream without messages is closed in order and opened again")
{
    http::loop loop;
    transport_settings settings = settings_of("entry-a");
    settings.idle_limit = 50ms;
    test_node a(loop, settings);
    test_node b(loop, settings_of("entry-b"));
    for (std::uint64_t round = 1; round != 4; ++round) {
        a.send(b, key_query(round));
        REQUIRE(run_until(loop, [&] {
            return b.received() == round && a.link->open_streams() == 0 &&
                   b.link->open_streams() == 0;
        }));
    }
    CHECK(a.link->counters().streams_opened == 3);
    CHECK(a.disconnected() == 0);
    CHECK(b.disconnected() == 0);
}

TEST_CASE("what breaks the protocol is counted and not delivered")
{
    http::loop loop;
    test_node a(loop, settings_of("entry-a"));

    SUBCASE("a datagram that is no heartbeat")
    {
        const int sender = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(a.link->port());
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const std::string bytes = encode_datagram(key_query(1));
        ::sendto(sender, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                 sizeof to);
        ::close(sender);
    }
    SUBCASE("a stream without a greeting")
    {
        std::thread client([address = a.address()] {
            const auto stub = wire::Peer::NewStub(grpc::CreateChannel(
                "127.0.0.1:" + std::to_string(address.port), grpc::InsecureChannelCredentials()));
            grpc::ClientContext context;
            const auto stream = stub->Exchange(&context);
            stream->Write(wire::Envelope{});
            wire::Envelope answer;
            while (stream->Read(&answer)) {
            }
            stream->WritesDone();
            CHECK_FALSE(stream->Finish().ok());
        });
        CHECK(run_until(loop, [&] { return a.link->counters().malformed == 1; }));
        client.join();
    }
    CHECK(run_until(loop, [&] { return a.link->counters().malformed == 1; }));
    CHECK(a.received() == 0);
    CHECK(a.link->open_streams() == 0);
}

TEST_CASE("a transport may end with streams open in every state")
{
    http::loop loop;
    test_node a(loop, settings_of("entry-a"));
    std::optional<test_node> b(std::in_place, loop, settings_of("entry-b"));
    test_node c(loop, settings_of("entry-c"));
    b->send(c, key_query(1));
    REQUIRE(run_until(loop, [&] { return c.received() == 1; }));
    a.send(*b, key_query(2));
    b->send(a, key_query(3));
    b->send(c, key_query(4));
    b.reset();
    REQUIRE(run_until(loop, [&] { return a.disconnected() > 0 && c.disconnected() > 0; }));
}

namespace {

/// Certificates in a directory of their own, made with the openssl program.
struct test_certificates {
    test_certificates()
    {
        std::string pattern = std::filesystem::temp_directory_path() / "ragwortcove-XXXXXX";
        REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        this->directory = pattern;
    }
    ~test_certificates() { std::filesystem::remove_all(this->directory); }
    test_certificates(const test_certificates&) = delete;
    test_certificates& operator=(const test_certificates&) = delete;

    /// A certificate for 127.0.0.1 that is its own authority.
    [[nodiscard]] tls_files make(const std::string& name) const
    {
        const std::string base = this->directory / name;
        const std::string command = "openssl req -x509 -newkey ec -pkeyopt "
                                    "ec_paramgen_curve:prime256v1 -nodes -days 2 -subj /CN=" +
                                    name + " -addext subjectAltName=IP:127.0.0.1 -keyout " + base +
                                    ".key -out " + base + ".pem 2> /dev/null";
        REQUIRE(std::system(command.c_str()) == 0);
        return {base + ".pem", base + ".key", base + ".pem"};
    }

    std::filesystem::path directory;
};

} // namespace

TEST_CASE("with certificates, only nodes of the same authority talk")
{
    http::loop loop;
    const test_certificates certificates;
    transport_settings of_a = settings_of("entry-a");
    transport_settings of_b = settings_of("entry-b");
    of_a.tls = certificates.make("ours");
    of_b.tls = of_a.tls;
    test_node a(loop, of_a);

    SUBCASE("the same authority")
    {
        test_node b(loop, of_b);
        a.send(b, key_query(1));
        CHECK(run_until(loop, [&] { return b.received() == 1; }));
    }
    SUBCASE("another authority")
    {
        of_b.tls = certificates.make("theirs");
        test_node b(loop, of_b);
        a.send(b, key_query(1));
        b.send(a, key_query(1));
        CHECK(run_until(loop, [&] { return a.disconnected() > 0 && b.disconnected() > 0; }));
        CHECK(a.received() + b.received() == 0);
    }
    SUBCASE("no certificate")
    {
        test_node b(loop, settings_of("entry-b"));
        b.send(a, key_query(1));
        CHECK(run_until(loop, [&] { return b.disconnected() > 0; }));
        CHECK(a.received() == 0);
    }
    SUBCASE("a certificate that cannot be read")
    {
        of_b.tls.private_key_file = certificates.directory / "missing";
        const transport unreadable(loop, of_b, [](core::event&&) {});
        CHECK_FALSE(unreadable.listening());
    }
}
