#include "loopback.hpp"
#include "ragwortcove/http/inbound.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <memory>
#include <string>
#include <vector>

namespace ragwortcove::http::test {

namespace {

/// A server that keeps what it heard, and answers "/wait" only when told to.
struct listening_server {
    loop on;
    std::vector<inbound_request> requests;
    std::vector<inbound_exchange> waiting;
    std::vector<inbound_exchange> abandoned;
    std::vector<int> rejected;
    std::vector<connection_closing> closings;
    std::vector<int> accept_failures;
    std::unique_ptr<inbound_server> server;

    explicit listening_server(const inbound_limits& limits = {})
    {
        inbound_handlers handlers;
        handlers.requested = [this](inbound_exchange exchange, inbound_request&& request) {
            this->requests.push_back(request);
            if (request.head.target.substr(0, 5) == "/wait") {
                this->waiting.push_back(exchange);
                return;
            }
            this->server->respond(exchange, 200, {{"X-Seen", request.head.target}}, request.body);
        };
        handlers.abandoned = [this](inbound_exchange exchange) {
            this->abandoned.push_back(exchange);
        };
        handlers.rejected = [this](int status) { this->rejected.push_back(status); };
        handlers.accept_failed = [this](int error) { this->accept_failures.push_back(error); };
        handlers.closing = [this](const connection_closing& closing) {
            this->closings.push_back(closing);
        };
        this->server = std::make_unique<inbound_server>(this->on, socket_address{"127.0.0.1", 0},
                                                        limits, std::move(handlers));
        REQUIRE(this->server->listening());
    }

    /// Sends bytes on one connection and gives all that comes back until the server closes.
    std::string ask(std::string bytes)
    {
        std::string answer;
        raw_client caller(this->server->port(), [&](raw_connection& connection) {
            connection.send(bytes);
            answer = connection.receive_all();
        });
        REQUIRE(run_until(this->on, [&] { return caller.done(); }));
        return answer;
    }
};

} // namespace

// Guards against callers that keep all descriptors of a process, so that it takes no new caller and
// reaches no upstream.
TEST_CASE("a server that holds as many connections as it may")
{
    constexpr std::size_t max_connections = 2;
    inbound_limits limits;
    limits.max_connections = max_connections;
    listening_server serving(limits);
    std::atomic<bool> is_over{false};
    std::atomic<int> answered{0};
    std::atomic<int> ended{0};
    const auto hold = [&](const std::string& target) {
        return std::make_unique<raw_client>(
            serving.server->port(), [&, target](raw_connection& connection) {
                connection.send("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
                answered += connection.receive_until("\r\n\r\n").empty() ? 0 : 1;
                ended += connection.ends_in_order() && !is_over ? 1 : 0;
            });
    };
    std::vector<std::unique_ptr<raw_client>> held;
    const auto add = [&](const std::string& target) {
        const std::size_t requests = serving.requests.size();
        held.push_back(hold(target));
        REQUIRE(run_until(serving.on, [&] { return serving.requests.size() > requests; }));
    };

    SUBCASE("closes the one that has been idle for longest, for a new one")
    {
        add("/1");
        add("/2");
        CHECK(serving.ask("GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                  .starts_with("HTTP/1.1 200"));
        CHECK(run_until(
            serving.on, [&] { return ended == 1; }, std::chrono::seconds(2)));
        CHECK(held[0]->done());
        CHECK_FALSE(held[1]->done());
        CHECK(serving.closings.empty());
    }
    SUBCASE("refuses a new one while all are in use")
    {
        add("/wait/1");
        add("/wait/2");
        CHECK(serving.ask("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n").empty());
        CHECK(serving.requests.size() == max_connections);
        CHECK(serving.accept_failures == std::vector<int>{EMFILE});
        for (const inbound_exchange exchange : serving.waiting)
            serving.server->respond(exchange, 200, {}, "");
        CHECK(run_until(
            serving.on, [&] { return answered == 2; }, std::chrono::seconds(2)));
    }
    is_over = true;
    serving.server->close_all();
    CHECK(run_until(serving.on, [&] {
        return std::all_of(held.begin(), held.end(), [](const auto& each) { return each->done(); });
    }));
}

TEST_CASE("a server takes requests as callers may send them")
{
    SUBCASE("every header comes through in its own case, known to any library or not")
    {
        listening_server serving;
        const std::string answer =
            serving.ask("GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-Odd-One: v 1\r\n"
                        "Connection: close\r\n\r\n");
        REQUIRE(serving.requests.size() == 1);
        CHECK(serving.requests[0].head.target == "/a?b=c");
        CHECK(find_any_case(serving.requests[0].head.headers, "x-odd-one") == "v 1");
        CHECK(serving.requests[0].head.headers[1].name == "X-Odd-One");
        CHECK(answer.find("HTTP/1.1 200 OK\r\n") == 0);
        CHECK(answer.find("X-Seen: /a?b=c\r\n") != std::string::npos);
    }
    SUBCASE("a body in chunks is the same as one with a length")
    {
        listening_server serving;
        const std::string answer =
            serving.ask("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                        "Connection: close\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
        REQUIRE(serving.requests.size() == 1);
        CHECK(serving.requests[0].body == "abcdefg");
        CHECK(answer.find("Content-Length: 7\r\n") != std::string::npos);
    }
    SUBCASE("requests that are sent at once are answered one after another, in order")
    {
        listening_server serving;
        const std::string answer =
            serving.ask("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                        "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                        "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const std::size_t first = answer.find("X-Seen: /1");
        const std::size_t second = answer.find("X-Seen: /2");
        const std::size_t third = answer.find("X-Seen: /3");
        CHECK(first < second);
        CHECK(second < third);
        CHECK(third != std::string::npos);
    }
    SUBCASE("a caller that asks for leave to send its body gets it")
    {
        listening_server serving;
        std::string leave;
        std::string answer;
        raw_client caller(serving.server->port(), [&](raw_connection& connection) {
            connection.send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                            "Expect: 100-continue\r\nConnection: close\r\n\r\n");
            leave = connection.receive_until("\r\n\r\n");
            connection.send("ok");
            answer = connection.receive_all();
        });
        REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
        CHECK(leave.find("HTTP/1.1 100") == 0);
        CHECK(answer.find("HTTP/1.1 200") == 0);
    }
}

TEST_CASE("a server refuses what callers may not send, and closes")
{
    inbound_limits limits;
    limits.message.header_bytes = 1024;
    limits.message.body_bytes = 100;
    limits.header_time = std::chrono::milliseconds(300);
    listening_server serving(limits);

    SUBCASE("headers over the limit get 431")
    {
        const std::string answer = serving.ask(
            "GET / HTTP/1.1\r\nHost: h\r\nX-Big: " + std::string(2000, 'x') + "\r\n\r\n");
        CHECK(answer.find("HTTP/1.1 431") == 0);
        CHECK(serving.rejected == std::vector<int>{431});
    }
    SUBCASE("a body over the limit gets 413, with a length or in chunks")
    {
        CHECK(serving.ask("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n")
                  .find("HTTP/1.1 413") == 0);
        const std::string chunk = "65\r\n" + std::string(101, 'x') + "\r\n0\r\n\r\n";
        CHECK(
            serving.ask("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
                .find("HTTP/1.1 413") == 0);
    }
    SUBCASE("a head that is not whole in time gets 408")
    {
        CHECK(serving.ask("GET / HTTP/1.1\r\nHost:").find("HTTP/1.1 408") == 0);
    }
    SUBCASE("two lengths, or a length beside chunks, could hide a second request: 400")
    {
        CHECK(serving
                  .ask("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n")
                  .find("HTTP/1.1 400") == 0);
        CHECK(serving
                  .ask("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                       "Content-Length: 5\r\n\r\nabcde")
                  .find("HTTP/1.1 400") == 0);
    }
    SUBCASE("bad chunks get 400")
    {
        CHECK(serving.ask("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
                  .find("HTTP/1.1 400") == 0);
    }
    CHECK(serving.requests.empty());
}

TEST_CASE("a body that keeps coming is read to its end, and one that stops gets 408")
{
    using std::chrono::milliseconds;
    inbound_limits limits;
    limits.header_time = milliseconds(300);
    listening_server serving(limits);
    std::string answer;
    const auto ask = [&](int pieces, milliseconds pause) {
        raw_client caller(serving.server->port(), [&](raw_connection& connection) {
            connection.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n"
                            "Connection: close\r\n\r\n");
            for (int count = 0; count < pieces; ++count) {
                std::this_thread::sleep_for(pause);
                connection.send("b");
            }
            answer = connection.receive_all();
        });
        REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    };
    SUBCASE("it keeps coming for longer than a head may")
    {
        ask(8, milliseconds(100));
        CHECK(answer.find("HTTP/1.1 200") == 0);
    }
    SUBCASE("it stops")
    {
        ask(3, milliseconds(10));
        CHECK(answer.find("HTTP/1.1 408") == 0);
    }
    SUBCASE("it keeps coming for longer than a request may")
    {
        limits.request_time = milliseconds(500);
        serving.server->set_limits(limits);
        ask(8, milliseconds(150));
        CHECK(answer.find("HTTP/1.1 408") == 0);
    }
}

TEST_CASE("a server tells when a caller leaves")
{
    listening_server serving;

    SUBCASE("while it waits for the answer")
    {
        raw_client caller(serving.server->port(), [&](raw_connection& connection) {
            connection.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        });
        REQUIRE(run_until(serving.on, [&] { return !serving.abandoned.empty(); }));
        CHECK(serving.abandoned == serving.waiting);
    }
    SUBCASE("in the middle of an answer")
    {
        raw_client caller(serving.server->port(), [&](raw_connection& connection) {
            connection.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
            CHECK(connection.receive_until("first").find("first") != std::string::npos);
        });
        REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
        serving.server->start_response(serving.waiting[0], {});
        serving.server->write(serving.waiting[0], "first");
        REQUIRE(run_until(serving.on, [&] { return !serving.abandoned.empty(); }));
        // What is written after that goes nowhere, and harms nothing.
        serving.server->write(serving.waiting[0], "second");
        serving.server->finish(serving.waiting[0]);
        CHECK(serving.server->connections() == 0);
    }
}

TEST_CASE("an answer that is cut looks cut")
{
    listening_server serving;
    std::string answer;
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
        answer = connection.receive_all();
    });
    REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
    serving.server->start_response(serving.waiting[0], {});
    serving.server->write(serving.waiting[0], "part");
    serving.server->abort(serving.waiting[0]);
    REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    CHECK(answer.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("a caller that does not read is cut off before it fills the memory")
{
    inbound_limits limits;
    limits.unsent_bytes = 64U << 10U;
    listening_server serving(limits);
    std::atomic<bool> enough{false};
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
        while (!enough)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    });
    REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
    serving.server->start_response(serving.waiting[0], {});
    serving.server->write(serving.waiting[0], std::string(32U << 20U, 'x'));
    const bool cut_off = run_until(serving.on, [&] { return !serving.abandoned.empty(); });
    enough = true;
    CHECK(cut_off);
}

TEST_CASE("a caller that reads a long answer steadily gets all of it")
{
    constexpr std::size_t answer_bytes = 12U << 20U;
    listening_server serving;
    std::string request = "GET /wait HTTP/1.1\r\nHost: h\r\n";
    SUBCASE("on a connection that is kept") {}
    SUBCASE("on a connection that closes after it")
    {
        request += "Connection: close\r\n";
    }
    std::string answer;
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send(request + "\r\n");
        std::string part = connection.receive_some(256U << 10U);
        while (!part.empty() && answer.size() < answer_bytes) {
            answer += part;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            part = connection.receive_some(256U << 10U);
        }
    });
    REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
    serving.server->respond(serving.waiting[0], 200, {}, std::string(answer_bytes, 'x'));
    REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    CHECK(answer.size() >= answer_bytes);
    CHECK(serving.closings.empty());
}

namespace {

constexpr std::string_view kept_request = "GET /kept HTTP/1.1\r\nHost: h\r\n\r\n";

/// Runs the loop for that long.
void run_for(loop& on, std::chrono::milliseconds time)
{
    static_cast<void>(run_until(
        on, [] { return false; }, time));
}

} // namespace

// Guards against a raised limit that does not reach connections which were open before: each
// request was judged by the limits at the end of the one before it.
TEST_CASE("changed limits hold for the next request on a connection that is open")
{
    inbound_limits limits;
    limits.message.body_bytes = 8;
    listening_server serving(limits);
    std::string first;
    std::string second;
    std::atomic<int> step{0};
    std::size_t length = 100;
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab");
        first = connection.receive_until("ab");
        step = 1;
        while (step != 2)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        connection.send("POST /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
                        std::to_string(length) + "\r\n\r\n" + std::string(length, 'x'));
        second = connection.receive_all();
    });
    REQUIRE(run_until(serving.on, [&] { return step == 1; }));
    // The turn in which the first response was sent is over.
    static_cast<void>(run_until(
        serving.on, [] { return false; }, std::chrono::milliseconds(50)));
    std::string status = "HTTP/1.1 200";
    SUBCASE("a raised one")
    {
        limits.message.body_bytes = 100;
    }
    SUBCASE("a lowered one")
    {
        limits.message.body_bytes = 1;
        length = 2;
        status = "HTTP/1.1 413";
    }
    serving.server->set_limits(limits);
    step = 2;
    REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    CHECK(first.find("HTTP/1.1 200") == 0);
    CHECK(second.find(status) == 0);
}

// Guards against callers that fill the memory together, each within its own limit.
TEST_CASE("the longest request that is being read is refused when all take too much memory")
{
    inbound_limits limits;
    limits.max_all_request_bytes = 64U << 10U;
    listening_server serving(limits);
    // The memory of a body is up to twice its length.
    const std::vector<std::size_t> sizes{10000, 20000, 60000};
    std::vector<std::string> answers(sizes.size());
    std::vector<std::unique_ptr<raw_client>> callers;
    for (std::size_t index = 0; index < answers.size(); ++index) {
        callers.push_back(std::make_unique<raw_client>(
            serving.server->port(), [&answers, &sizes, index](raw_connection& connection) {
                connection.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
                                std::string(sizes[index], 'x'));
                answers[index] = connection.receive_until("\r\n\r\n");
            }));
    }
    REQUIRE(run_until(serving.on, [&] { return callers[2]->done(); }));
    CHECK(answers[2].find("HTTP/1.1 503") == 0);
    CHECK(serving.rejected == std::vector<int>{503});
    CHECK(serving.ask("GET /ok HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
              .find("HTTP/1.1 200") == 0);
    serving.server->close_all();
    REQUIRE(run_until(serving.on, [&] { return callers[0]->done() && callers[1]->done(); }));
}

TEST_CASE("a lowered idle limit closes no connection sooner than its caller could know")
{
    using std::chrono::milliseconds;
    inbound_limits limits;
    limits.idle_time = milliseconds(5000);
    listening_server serving(limits);
    std::atomic<int> step{0};
    std::string second;
    bool in_order = false;
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send(kept_request);
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        step = 1;
        while (step != 2)
            std::this_thread::sleep_for(milliseconds(2));
        connection.send(kept_request);
        second = connection.receive_until("\r\n\r\n");
        in_order = connection.ends_in_order();
    });
    REQUIRE(run_until(serving.on, [&] { return step == 1; }));
    limits.idle_time = milliseconds(100);
    limits.idle_notice_time = milliseconds(0);
    serving.server->set_limits(limits);
    // The connection became idle under the longer limit.
    run_for(serving.on, milliseconds(900));
    step = 2;
    REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    CHECK(second.find("HTTP/1.1 200") == 0);
    // It was used under the shorter one since.
    CHECK(in_order);
    CHECK(serving.closings.empty());
}

TEST_CASE("callers may not know of a lowered idle limit yet")
{
    using std::chrono::milliseconds;
    inbound_limits limits;
    limits.idle_time = milliseconds(5000);
    listening_server serving(limits);
    limits.idle_time = milliseconds(100);
    limits.idle_notice_time = milliseconds(2000);
    serving.server->set_limits(limits);
    std::string second;
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send(kept_request);
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        std::this_thread::sleep_for(milliseconds(900));
        connection.send(kept_request);
        second = connection.receive_until("\r\n\r\n");
    });
    REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    CHECK(second.find("HTTP/1.1 200") == 0);
}

TEST_CASE("a connection whose next request is there already is not closed as idle")
{
    using std::chrono::milliseconds;
    inbound_limits limits;
    limits.idle_time = milliseconds(300);
    listening_server serving(limits);
    std::atomic<int> step{0};
    std::string second;
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send(kept_request);
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        step = 1;
        while (step != 2)
            std::this_thread::sleep_for(milliseconds(2));
        connection.send(kept_request);
        step = 3;
        second = connection.receive_until("\r\n\r\n");
    });
    REQUIRE(run_until(serving.on, [&] { return step == 1; }));
    run_for(serving.on, milliseconds(20));
    step = 2;
    // The loop stands still meanwhile, as it does while it handles something else.
    while (step != 3)
        std::this_thread::sleep_for(milliseconds(2));
    SUBCASE("by the sweep")
    {
        std::this_thread::sleep_for(milliseconds(400));
    }
    SUBCASE("by a server that ends")
    {
        serving.server->begin_drain();
        serving.server->close_idle();
    }
    REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    CHECK(second.find("HTTP/1.1 200") == 0);
}

TEST_CASE("a process that ends when its server is finished has sent every answer whole")
{
    constexpr std::size_t answer_bytes = 12U << 20U;
    std::string answer;
    std::unique_ptr<raw_client> caller;
    {
        listening_server serving;
        caller =
            std::make_unique<raw_client>(serving.server->port(), [&](raw_connection& connection) {
                connection.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
                std::string part = connection.receive_some(256U << 10U);
                while (!part.empty()) {
                    answer += part;
                    std::this_thread::sleep_for(std::chrono::milliseconds(5));
                    part = connection.receive_some(256U << 10U);
                }
            });
        REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
        serving.server->begin_drain();
        serving.server->respond(serving.waiting[0], 200, {}, std::string(answer_bytes, 'x'));
        REQUIRE(run_until(serving.on, [&] {
            serving.server->close_idle();
            return serving.server->unfinished() == 0;
        }));
    }
    caller.reset();
    CHECK(answer.size() > answer_bytes);
}

TEST_CASE("a server is not finished while a request is read or waits to be read")
{
    listening_server serving;
    std::atomic<int> step{0};
    std::string answer;
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send("GET /kept HTTP/1.1\r\nHost:");
        step = 1;
        while (step != 2)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        connection.send(" h\r\n\r\n");
        answer = connection.receive_all();
    });
    REQUIRE(run_until(serving.on, [&] { return step == 1; }));
    run_for(serving.on, std::chrono::milliseconds(50));
    serving.server->begin_drain();
    serving.server->close_idle();
    CHECK(serving.server->unfinished() == 1);
    step = 2;
    REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    CHECK(answer.find("HTTP/1.1 200") == 0);
    CHECK(serving.server->unfinished() == 0);
}

TEST_CASE("connections that a server ends with do not look whole")
{
    listening_server serving;
    bool in_order = true;
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send("GET /wait HTTP/1.0\r\nHost: h\r\n\r\n");
        static_cast<void>(connection.receive_until("part"));
        in_order = connection.ends_in_order();
    });
    REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
    serving.server->start_response(serving.waiting[0], {});
    serving.server->write(serving.waiting[0], "part");
    run_for(serving.on, std::chrono::milliseconds(100));
    serving.server->close_all();
    REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    CHECK_FALSE(in_order);
    REQUIRE(serving.closings.size() == 1);
    CHECK(serving.closings[0].reason == closing_reason::server_ended);
    CHECK(serving.closings[0].exchange == serving.waiting[0]);
}

TEST_CASE("a server tells why it closes a connection before the end of its use")
{
    inbound_limits limits;
    limits.unsent_bytes = 64U << 10U;
    limits.header_time = std::chrono::milliseconds(300);
    listening_server serving(limits);
    SUBCASE("a request that is not whole in time")
    {
        CHECK(serving.ask("GET / HTTP/1.1\r\nHost:").find("HTTP/1.1 408") == 0);
        REQUIRE(serving.closings.size() == 1);
        CHECK(serving.closings[0].reason == closing_reason::slow_request);
        CHECK(serving.closings[0].phase == connection_phase::reading);
        CHECK(serving.closings[0].age >= limits.header_time);
    }
    SUBCASE("an answer that is aborted, with its exchange")
    {
        raw_client caller(serving.server->port(), [&](raw_connection& connection) {
            connection.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
            static_cast<void>(connection.receive_all());
        });
        REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
        serving.server->abort(serving.waiting[0]);
        REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
        REQUIRE(serving.closings.size() == 1);
        CHECK(serving.closings[0].reason == closing_reason::aborted);
        CHECK(serving.closings[0].exchange == serving.waiting[0]);
    }
    SUBCASE("a caller that does not take its answer, with the bytes that it lacks")
    {
        std::atomic<bool> enough{false};
        raw_client caller(serving.server->port(), [&](raw_connection& connection) {
            connection.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
            while (!enough)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
        });
        REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
        serving.server->start_response(serving.waiting[0], {});
        serving.server->write(serving.waiting[0], std::string(32U << 20U, 'x'));
        const bool cut_off = run_until(serving.on, [&] { return !serving.abandoned.empty(); });
        enough = true;
        REQUIRE(cut_off);
        REQUIRE(serving.closings.size() == 1);
        CHECK(serving.closings[0].reason == closing_reason::clogged);
        CHECK(serving.closings[0].unsent_bytes > limits.unsent_bytes);
    }
    SUBCASE("a caller that does not take its answer, after which its connection closes")
    {
        std::atomic<bool> enough{false};
        raw_client caller(serving.server->port(), [&](raw_connection& connection) {
            connection.send("GET /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            while (!enough)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
        });
        REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
        serving.server->respond(serving.waiting[0], 200, {}, std::string(20U << 20U, 'x'));
        const bool told = run_until(
            serving.on, [&] { return !serving.closings.empty(); }, std::chrono::seconds(3));
        enough = true;
        REQUIRE(told);
        CHECK(serving.closings[0].reason == closing_reason::clogged);
        CHECK(serving.closings[0].unsent_bytes > limits.unsent_bytes);
        CHECK(serving.server->unfinished() == 0);
    }
    SUBCASE("callers that together take too much memory: the one that lacks most")
    {
        limits.unsent_bytes = 64U << 20U;
        limits.max_unsent_bytes = 64U << 20U;
        limits.max_all_unsent_bytes = 24U << 20U;
        serving.server->set_limits(limits);
        std::atomic<bool> enough{false};
        const auto wait = [&](raw_connection& connection) {
            connection.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
            while (!enough)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
        };
        raw_client first(serving.server->port(), wait);
        raw_client second(serving.server->port(), wait);
        REQUIRE(run_until(serving.on, [&] { return serving.waiting.size() == 2; }));
        serving.server->start_response(serving.waiting[0], {});
        serving.server->start_response(serving.waiting[1], {});
        serving.server->write(serving.waiting[0], std::string(16U << 20U, 'x'));
        serving.server->write(serving.waiting[1], std::string(24U << 20U, 'x'));
        const bool cut_off = run_until(
            serving.on, [&] { return !serving.abandoned.empty(); }, std::chrono::seconds(3));
        run_for(serving.on, std::chrono::milliseconds(600));
        enough = true;
        REQUIRE(cut_off);
        REQUIRE(serving.closings.size() == 1);
        CHECK(serving.closings[0].exchange == serving.waiting[1]);
    }
    SUBCASE("the end of a kept connection is none of these")
    {
        CHECK(serving.ask("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                  .find("HTTP/1.1 200") == 0);
        CHECK(serving.closings.empty());
    }
}

TEST_CASE("a server that drains says so on every answer and closes only idle connections")
{
    listening_server serving;
    std::string answer;
    raw_client caller(serving.server->port(), [&](raw_connection& connection) {
        connection.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
        answer = connection.receive_all();
    });
    REQUIRE(run_until(serving.on, [&] { return !serving.waiting.empty(); }));
    serving.server->begin_drain();
    serving.server->close_idle();
    CHECK(serving.server->connections() == 1);
    serving.server->respond(serving.waiting[0], 200, {}, "whole");
    REQUIRE(run_until(serving.on, [&] { return caller.done(); }));
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(answer.find("whole") != std::string::npos);
}

} // namespace ragwortcove::http::test
