#include "loopback.hpp"
#include "ragwortcove/http/message_reader.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::http {

using test::join;

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

// Guards against a machine that is busy with one upstream alone: each chunk of a byte was handed on
// by itself, with a timer for each.
TEST_CASE("a body in chunks of one byte costs little")
{
    std::string body;
    std::size_t handed_on = 0;
    response_reader::handlers handlers;
    handlers.head = [](status_line_and_headers&&) {};
    handlers.body = [&](std::string_view bytes) {
        body.append(bytes);
        ++handed_on;
    };
    handlers.complete = [] {};
    response_reader reader(false, std::move(handlers));
    const std::string chunk = "1\r\nx\r\n";
    SUBCASE("the bytes that come together are handed on together")
    {
        std::string response = chunked_response;
        for (int count = 0; count < 1000; ++count)
            response += chunk;
        REQUIRE(reader.take(response + "0\r\n\r\n") == message_fault::none);
        CHECK(reader.is_complete());
        CHECK(body == std::string(1000, 'x'));
        CHECK(handed_on == 1);
    }
    SUBCASE("one without end is refused")
    {
        CHECK(bytes_until_fault(reader, chunked_response, chunk) <= (1U << 20U));
    }
    SUBCASE("chunks as a stream has them are taken without end")
    {
        const std::string event = "13\r\nid: 7\ndata: token\n\n\r\n";
        CHECK(bytes_until_fault(reader, chunked_response, event) == enough_bytes);
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

namespace {

/// What a reader hands on of the bytes of a connection.
struct reading {
    message_fault fault = message_fault::none;
    int heads = 0;
    int status = 0;
    std::string body;
    bool is_complete = false;
};

/// Reads bytes in pieces of that length, up to the first fault.
reading read_in_pieces(std::string_view bytes, std::size_t piece)
{
    reading seen;
    response_reader::handlers handlers;
    handlers.head = [&](status_line_and_headers&& head) {
        ++seen.heads;
        seen.status = head.status;
    };
    handlers.body = [&](std::string_view part) { seen.body += part; };
    handlers.complete = [&] { seen.is_complete = true; };
    response_reader reader(false, std::move(handlers));
    for (std::size_t at = 0; at < bytes.size() && seen.fault == message_fault::none; at += piece)
        seen.fault = reader.take(bytes.substr(at, piece));
    return seen;
}

/// In single bytes, and in one piece.
constexpr std::array<std::size_t, 2> piece_sizes{1, 4096};

const std::string sound_response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";

} // namespace

// Guards against an answer that is none: one with status 000 counted as an announcement, and its
// body went in front of the next answer's.
TEST_CASE("a response with a status below those of HTTP is none")
{
    for (const std::string status : {"000", "007", "099"}) {
        const std::string line = "HTTP/1.1 " + status + " Odd\r\n";
        const std::array<std::string, 4> responses{
            line + "Content-Length: 4\r\n\r\nodd!", line + "Content-Length: 0\r\n\r\n",
            line + "Transfer-Encoding: chunked\r\n\r\n4\r\nodd!\r\n0\r\n\r\n", line + "\r\nodd!"};
        for (const std::string& response : responses) {
            for (const std::size_t piece : piece_sizes) {
                CAPTURE(response);
                CAPTURE(piece);
                const reading seen = read_in_pieces(response + sound_response, piece);
                CHECK(seen.fault == message_fault::malformed);
                CHECK(seen.heads == 0);
                CHECK(seen.body.empty());
                CHECK_FALSE(seen.is_complete);
            }
        }
    }
}

TEST_CASE("a status has three digits")
{
    for (const std::string status : {"0200", "20", "2000", "-20", "+200", "2 0", "0x0", ""}) {
        CAPTURE(status);
        const std::string response = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n";
        for (const std::size_t piece : piece_sizes)
            CHECK(read_in_pieces(response, piece).heads == 0);
    }
}

TEST_CASE("every final status of HTTP is handed on, also one that no page lists")
{
    for (const int status : {200, 204, 299, 304, 404, 429, 503, 599, 600, 999}) {
        CAPTURE(status);
        const std::string response =
            "HTTP/1.1 " + std::to_string(status) + " Any\r\nContent-Length: 0\r\n\r\n";
        for (const std::size_t piece : piece_sizes) {
            const reading seen = read_in_pieces(response, piece);
            CHECK(seen.fault == message_fault::none);
            CHECK(seen.is_complete);
            CHECK(seen.status == status);
        }
    }
}

// Guards against bytes of another protocol that are read as an answer: what follows such a response
// is no HTTP, and no request of ours asks for another protocol.
TEST_CASE("a response that changes the protocol is none")
{
    const std::string changed = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n\r\n";
    for (const std::size_t piece : piece_sizes) {
        CAPTURE(piece);
        const reading seen = read_in_pieces(changed + sound_response, piece);
        CHECK(seen.fault == message_fault::malformed);
        CHECK(seen.heads == 0);
        const reading other = read_in_pieces(
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 199 Any\r\n\r\n" + sound_response, piece);
        CHECK(other.is_complete);
        CHECK(other.status == 200);
    }
}

// Guards against a body that is not the upstream's: the coding is named in a field that concerns
// one connection, so callers get the coded bytes without its name.
TEST_CASE("a response in a transfer coding other than chunks is none")
{
    const std::string chunks = "\r\n\r\n3\r\nown\r\n0\r\n\r\n";
    const std::string field = "HTTP/1.1 200 OK\r\nTransfer-Encoding: ";
    for (const std::size_t piece : piece_sizes) {
        CAPTURE(piece);
        for (const std::string coding :
             {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "x", "chunked;q=1",
              "gzip\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: chunked"}) {
            CAPTURE(coding);
            const reading seen = read_in_pieces(join({field, coding, chunks}), piece);
            CHECK(seen.fault == message_fault::malformed);
            CHECK(seen.heads == 0);
        }
        for (const std::string coding : {"chunked", "Chunked", " chunked ", ", chunked"}) {
            CAPTURE(coding);
            const reading seen = read_in_pieces(join({field, coding, chunks}), piece);
            CHECK(seen.is_complete);
            CHECK(seen.body == "own");
        }
        const reading plain =
            read_in_pieces(field + "identity\r\nContent-Length: 3\r\n\r\nown", piece);
        CHECK(plain.is_complete);
        CHECK(plain.body == "own");
    }
}

// Guards against a line of a head that callers or their libraries read as another one, or that
// hides how long the body is.
TEST_CASE("a response in whose head the name of a field is no token is none")
{
    const std::string start = "HTTP/1.1 200 OK\r\nX-First: 1\r\n";
    const std::string rest = ": 3\r\nContent-Length: 3\r\n\r\nown";
    const auto check = [](const std::string& response, bool is_sound) {
        for (const std::size_t piece : piece_sizes) {
            CAPTURE(response);
            CAPTURE(piece);
            const reading seen = read_in_pieces(response, piece);
            CHECK(seen.fault == (is_sound ? message_fault::none : message_fault::malformed));
            CHECK(seen.heads == (is_sound ? 1 : 0));
            CHECK(seen.is_complete == is_sound);
        }
    };
    SUBCASE("each byte inside a name, at its end and at its start")
    {
        static constexpr std::string_view token_signs = "!#$%&'*+-.^_`|~";
        const auto is_token = [](char sign) {
            const bool is_letter = (sign >= 'a' && sign <= 'z') || (sign >= 'A' && sign <= 'Z');
            const bool is_digit = sign >= '0' && sign <= '9';
            return is_letter || is_digit || token_signs.find(sign) != std::string_view::npos;
        };
        for (int code = 0; code < 256; ++code) {
            const char sign = static_cast<char>(code);
            // A colon ends the name, and what follows is the value.
            if (sign == ':')
                continue;
            const std::string_view inserted(&sign, 1);
            check(join({start, "X-A", inserted, "B", rest}), is_token(sign));
            check(join({start, "X-A", inserted, rest}), is_token(sign));
            // A line that begins with a blank goes on with the one before.
            if (sign != ' ' && sign != '\t')
                check(join({start, inserted, "X-A", rest}), is_token(sign));
        }
    }
    SUBCASE("a first line that begins with a blank")
    {
        check("HTTP/1.1 200 OK\r\n X-A" + rest, false);
    }
    SUBCASE("no name")
    {
        check(start + rest, false);
    }
    SUBCASE("no colon")
    {
        check(start + "no colon\r\nX-A" + rest, false);
    }
    SUBCASE("a blank behind the name of a field that frames the body")
    {
        check(start + "Content-Length : 1\r\nX-A" + rest, false);
        check(start + "Transfer-Encoding\t: chunked\r\nX-A" + rest, false);
    }
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

TEST_CASE("a chunked message that arrives in pieces of any size is read, whole or malformed")
{
    struct ending {
        std::string body;
        bool is_whole = false;
    };
    const std::vector<ending> endings{
        {"0\r\n\r\n", true},
        {"1\r\nx\r\n0\r\n\r\n", true},
        {"0\r\nA: b\r\n\r\n", true},
        {"0;x=y\r\n\r\n", true},
        {"0\r\nab\r\n0\ro\r\n"},
        {"0\r\n\rx"},
        {"0\r\n\n\n"},
        {"\r\n0\r\n\r\n"},
        {"0\r\n:\r\n\r\n"},
        {"00000000000000000\r\n\r\n"},
    };
    for (const ending& each : endings) {
        for (std::size_t piece = 1; piece <= each.body.size(); ++piece) {
            CAPTURE(each.body);
            CAPTURE(piece);
            const auto take_pieces = [&](auto& reader, const std::string& head) {
                REQUIRE(reader.take(head) == message_fault::none);
                for (std::size_t at = 0; at < each.body.size(); at += piece) {
                    if (reader.take(std::string_view(each.body).substr(at, piece)) !=
                        message_fault::none)
                        return;
                }
            };
            response_reader response = make_response_reader();
            take_pieces(response, chunked_response);
            request_reader request = make_request_reader({});
            take_pieces(request, chunked_request);
            if (!each.is_whole)
                continue;
            CHECK(response.is_complete());
            CHECK_FALSE(request.inside_message());
        }
    }
}

TEST_CASE("a response that is dropped gives way to the one after it")
{
    response_reader* running = nullptr;
    std::string statuses;
    std::string body;
    response_reader::handlers handlers;
    handlers.head = [&](status_line_and_headers&& head) {
        statuses += std::to_string(head.status) + " ";
        if (head.status != 200)
            running->skip();
    };
    handlers.body = [&](std::string_view bytes) { body += bytes; };
    handlers.complete = [] {};
    response_reader reader(false, std::move(handlers));
    running = &reader;
    const std::string dropped = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
    const std::string awaited = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";

    SUBCASE("in one piece")
    {
        CHECK(reader.take(dropped + dropped + awaited) == message_fault::none);
        CHECK(reader.is_complete());
        CHECK(statuses == "503 503 200 ");
        CHECK(body == "own");
    }
    SUBCASE("byte by byte")
    {
        for (const char each : dropped + awaited)
            REQUIRE(reader.take({&each, 1}) == message_fault::none);
        CHECK(reader.is_complete());
        CHECK(body == "own");
    }
    SUBCASE("not without bound")
    {
        message_fault fault = message_fault::none;
        for (int count = 0; count < 10 && fault == message_fault::none; ++count)
            fault = reader.take(dropped);
        CHECK(fault == message_fault::malformed);
    }
    SUBCASE("one that ends with the connection leaves none")
    {
        CHECK(reader.take("HTTP/1.1 503 Busy\r\n\r\nbusy") == message_fault::none);
        CHECK(reader.finish() == message_fault::truncated);
        CHECK(body.empty());
    }
}

} // namespace ragwortcove::http
