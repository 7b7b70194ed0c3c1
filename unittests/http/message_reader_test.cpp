#include "ragwortcove/http/message_reader.hpp"

#include <doctest/doctest.h>

namespace ragwortcove::http {

namespace {

/// Bytes after which a reader that takes everything is stopped.
constexpr std::size_t enough_bytes = 64U << 20U;

/// Gives a reader one piece again and again; returns the bytes after which it refused.
template <class Reader>
std::size_t bytes_until_fault(Reader& reader, const std::string& first, std::string piece)
{
    constexpr std::size_t usual_read_bytes = 64U << 10U;
    while (piece.size() < usual_read_bytes)
        piece += piece;
    std::size_t given = first.size();
    message_fault fault = reader.take(first);
    while (fault == message_fault::none && given < enough_bytes) {
        given += piece.size();
        fault = reader.take(piece);
    }
    return fault == message_fault::none ? enough_bytes : given;
}

response_reader make_response_reader()
{
    response_reader::handlers handlers;
    handlers.head = [](status_line_and_headers&&) {};
    handlers.body = [](std::string_view) {};
    handlers.complete = [] {};
    return response_reader(false, std::move(handlers));
}

request_reader make_request_reader(const message_limits& limits)
{
    request_reader::handlers handlers;
    handlers.head = [](request_line_and_headers&&) {};
    handlers.body = [](std::string_view) {};
    handlers.complete = [] {};
    return request_reader(limits, std::move(handlers));
}

const std::string chunked_response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunked_request = "POST / HTTP/1.1\r\nHost: h\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a response whose framing has no end is refused before it fills the memory")
{
    constexpr std::size_t max_taken = 1U << 20U;
    response_reader reader = make_response_reader();
    SUBCASE("announcements, one after another")
    {
        CHECK(bytes_until_fault(reader, "", "HTTP/1.1 100 Continue\r\n\r\n") < max_taken);
    }
    SUBCASE("announcements with long heads")
    {
        const std::string head = "HTTP/1.1 103 Early\r\nX: " + std::string(9000, 'x') + "\r\n\r\n";
        CHECK(bytes_until_fault(reader, "", head) < max_taken);
    }
    SUBCASE("a status line")
    {
        CHECK(bytes_until_fault(reader, "HTTP/1.1 200 ", "x") < max_taken);
    }
    SUBCASE("header lines")
    {
        CHECK(bytes_until_fault(reader, "HTTP/1.1 200 OK\r\n", "X-A: b\r\n") < max_taken);
    }
    SUBCASE("a chunk's extension")
    {
        CHECK(bytes_until_fault(reader, chunked_response + "5;x=", "y") < max_taken);
    }
    SUBCASE("trailer lines")
    {
        CHECK(bytes_until_fault(reader, chunked_response + "0\r\n", "X-A: b\r\n") < max_taken);
    }
}

TEST_CASE("announcements within the limit come before a response and are none")
{
    response_reader reader = make_response_reader();
    for (int count = 0; count < 20; ++count)
        CHECK(reader.take("HTTP/1.1 100 Continue\r\n\r\n") == message_fault::none);
    CHECK(reader.take("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") == message_fault::none);
    CHECK(reader.is_complete());
}

TEST_CASE("a request whose framing has no end is refused before it fills the memory")
{
    constexpr std::size_t max_taken = 1U << 20U;
    request_reader reader = make_request_reader({16U << 10U, 100U << 10U});
    SUBCASE("header lines")
    {
        CHECK(bytes_until_fault(reader, "GET / HTTP/1.1\r\n", "X-A: b\r\n") < max_taken);
    }
    SUBCASE("a chunk's extension")
    {
        CHECK(bytes_until_fault(reader, chunked_request + "5;x=", "y") < max_taken);
    }
    SUBCASE("trailer lines")
    {
        CHECK(bytes_until_fault(reader, chunked_request + "0\r\n", "X-A: b\r\n") < max_taken);
    }
    SUBCASE("bytes that follow a request which is still being answered")
    {
        CHECK(bytes_until_fault(reader, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "x") < max_taken);
    }
}

TEST_CASE("one whole request may follow a request which is still being answered")
{
    request_reader reader = make_request_reader({16U << 10U, 100U << 10U});
    const std::string next =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 102400\r\n\r\n" + std::string(102400, 'b');
    CHECK(reader.take("GET / HTTP/1.1\r\nHost: h\r\n\r\n") == message_fault::none);
    CHECK(reader.take(next) == message_fault::none);
    CHECK(reader.next() == message_fault::none);
    CHECK_FALSE(reader.inside_message());
}

} // namespace ragwortcove::http
