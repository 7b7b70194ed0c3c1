#include "../http/loopback.hpp"
#include "platform/store_client.hpp"

#include <boost/url.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace ragwortcove::adapter {

using namespace std::chrono_literals;
using http::test::raw_connection;
using http::test::raw_server;
using http::test::run_until;

TEST_CASE("a store or a node whose response has no end does not fill the memory")
{
    constexpr std::size_t max_taken = 64U << 20U;
    constexpr std::size_t enough_bytes = 512U << 20U;
    const std::string block(256U << 10U, 'x');
    std::atomic<std::size_t> sent{0};
    raw_server endless([&](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        connection.send("HTTP/1.1 200 OK\r\n\r\n");
        while (sent < enough_bytes && connection.send(block))
            sent += block.size();
    });
    http::loop event_loop;
    http::outbound_client connections{event_loop, 3s};
    store_client client{event_loop, connections, {{"127.0.0.1", endless.port()}, 10s}};
    bool ended = false;
    store_failure failure = store_failure::rejected;
    client.list(document_kind::rules, [&](const document_list* list, const store_error& error) {
        CHECK(list == nullptr);
        failure = error.failure;
        ended = true;
    });
    REQUIRE(run_until(event_loop, [&] { return ended; }));
    CHECK(failure == store_failure::unreachable);
    CHECK(sent.load() < max_taken);
}

// Guards against a list that is not the store's: the body of an answer with status 000 went in
// front of the next one's.
TEST_CASE("a store's answer that is none gives no list")
{
    const std::string entries = R"({"entries":[],"has_more":false,"current_rev":7})";
    const std::string sound =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(entries.size()) + "\r\n\r\n" +
        entries;
    std::string answer;
    bool is_sound = false;
    SUBCASE("a sound one gives its list")
    {
        answer = sound;
        is_sound = true;
    }
    SUBCASE("a status below those of HTTP")
    {
        answer = "HTTP/1.1 000 Odd\r\nContent-Length: 1\r\n\r\n " + sound;
    }
    SUBCASE("a field whose name holds a blank")
    {
        answer = sound;
        answer.insert(answer.find("\r\n") + 2, "X Odd: 1\r\n");
    }
    raw_server store([&](raw_connection& connection) {
        static_cast<void>(connection.receive_until("\r\n\r\n"));
        connection.send(answer);
        static_cast<void>(connection.receive_all());
    });
    http::loop event_loop;
    http::outbound_client connections{event_loop, 3s};
    store_client client{event_loop, connections, {{"127.0.0.1", store.port()}, 10s}};
    bool ended = false;
    client.list(document_kind::rules, [&](const document_list* list, const store_error& error) {
        CHECK((list != nullptr) == is_sound);
        if (!is_sound)
            CHECK(error.failure == store_failure::unreachable);
        ended = true;
    });
    REQUIRE(run_until(event_loop, [&] { return ended; }));
}

/// A store's page of one entry, for a target that is read as an HTTP library does.
static std::string page_of_one(const std::vector<std::string>& names, std::string_view target)
{
    const auto parsed = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!parsed)
        return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
    std::string after;
    for (const auto& each : parsed->params()) {
        if (each.key == "after")
            after = each.value;
    }
    const auto next = std::upper_bound(names.begin(), names.end(), after);
    std::string entry;
    if (next != names.end())
        entry = R"({"meta":{"name":)" + boost::json::serialize(boost::json::value(*next)) +
                R"(,"revision":5},"spec":{}})";
    const bool has_more = next != names.end() && next + 1 != names.end();
    const std::string body = R"({"entries":[)" + entry + R"(],"has_more":)" +
                             (has_more ? "true" : "false") + R"(,"current_rev":7})";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against a start that never ends: a page that ended at a name with %20, & or + was followed
// by the same page, or by a call that is no HTTP.
TEST_CASE("a list ends whose pages end at names that a query must escape")
{
    std::vector<std::string> names{"a00%20", "a00 ",    "a01%23",    "a01#",
                                   "a02&b=", "a03+",    "a04%C3%A9", "a04\xc3\xa9",
                                   "a05/x?", "a06\r\n", "i-1"};
    std::sort(names.begin(), names.end());
    std::atomic<std::size_t> pages{0};
    raw_server store([&](raw_connection& connection) {
        for (;;) {
            const std::string request = connection.receive_until("\r\n\r\n");
            const std::size_t start = request.find(' ') + 1;
            const std::size_t end = request.find(" HTTP/1.1\r\n");
            if (end == std::string::npos || ++pages > 2 * names.size())
                return;
            connection.send(page_of_one(names, request.substr(start, end - start)));
        }
    });
    http::loop event_loop;
    http::outbound_client connections{event_loop, 3s};
    store_client client{event_loop, connections, {{"127.0.0.1", store.port()}, 3s}};
    std::vector<std::string> listed;
    bool ended = false;
    client.list(document_kind::upstreams, [&](const document_list* list, const store_error&) {
        if (list != nullptr) {
            for (const store_document& document : list->documents)
                listed.push_back(document.name);
        }
        ended = true;
    });
    REQUIRE(run_until(event_loop, [&] { return ended; }));
    CHECK(listed == names);
    CHECK(pages.load() == names.size());
}

// Guards against a memory that grows with each page: a store that gave the same page of 1 MB again
// was asked on and on, and all pages were kept.
TEST_CASE("a list whose pages do not advance fails, and does not fill the memory")
{
    constexpr std::size_t max_pages = 3;
    const std::string filler(1U << 20U, '.');
    const std::string body = R"({"entries":[{"meta":{"name":"a","revision":5},"spec":")" + filler +
                             R"("}],"has_more":true,"current_rev":7})";
    std::atomic<std::size_t> pages{0};
    raw_server store([&](raw_connection& connection) {
        while (pages < 20 && !connection.receive_until("\r\n\r\n").empty()) {
            ++pages;
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body);
        }
    });
    http::loop event_loop;
    http::outbound_client connections{event_loop, 3s};
    store_client client{event_loop, connections, {{"127.0.0.1", store.port()}, 3s}};
    bool ended = false;
    store_error failed;
    client.list(document_kind::upstreams, [&](const document_list* list, const store_error& error) {
        CHECK(list == nullptr);
        failed = error;
        ended = true;
    });
    REQUIRE(run_until(event_loop, [&] { return ended; }));
    CHECK(failed.failure == store_failure::list_stuck);
    REQUIRE(failed.part != nullptr);
    CHECK(failed.part->documents.front().name == "a");
    CHECK(is_answered(failed));
    CHECK(pages.load() <= max_pages);
}

TEST_CASE("a list bears a page that the store refuses")
{
    const std::string first =
        R"({"entries":[{"meta":{"name":"a","revision":5},"spec":{}}],"has_more":true,"current_rev":7})";
    const std::string last =
        R"({"entries":[{"meta":{"name":"b","revision":5},"spec":{}}],"has_more":false,"current_rev":7})";
    const auto respond = [](const char* status, const std::string& body) {
        return "HTTP/1.1 " + std::string(status) +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    std::vector<std::string> answers;
    bool is_whole = false;
    SUBCASE("for now: it is asked for again, and what was read is kept")
    {
        answers = {respond("200 OK", first), respond("429 Too Many", ""),
                   respond("503 Unavailable", ""), respond("200 OK", last)};
        is_whole = true;
    }
    SUBCASE("as one that it does not accept: the list ends there")
    {
        answers = {respond("200 OK", first), respond("414 Too Long", "")};
    }
    raw_server store([&](raw_connection& connection) {
        for (const std::string& answer : answers) {
            static_cast<void>(connection.receive_until("\r\n\r\n"));
            connection.send(answer);
        }
    });
    http::loop event_loop;
    http::outbound_client connections{event_loop, 3s};
    store_client client{event_loop, connections, {{"127.0.0.1", store.port()}, 3s}};
    bool ended = false;
    std::size_t count = 0;
    client.list(document_kind::upstreams, [&](const document_list* list, const store_error& error) {
        CHECK((list != nullptr) == is_whole);
        const document_list* const read = is_whole ? list : error.part.get();
        count = read == nullptr ? 0 : read->documents.size();
        ended = true;
    });
    REQUIRE(run_until(event_loop, [&] { return ended; }));
    CHECK(count == (is_whole ? 2 : 1));
}

} // namespace ragwortcove::adapter
