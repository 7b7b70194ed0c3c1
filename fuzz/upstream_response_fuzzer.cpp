// Reads an upstream's bytes as the response to a request, in one piece and in several. A response
// that names another request is dropped, and what is complete is the same in pieces.
#include "platform/headers.hpp"
#include "ragwortcove/http/message_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

using namespace ragwortcove;

namespace {

constexpr std::string_view attempt = "id";
constexpr int first_final_status = 200;

/// What a caller would get of a response.
struct outcome {
    http::message_fault fault = http::message_fault::none;
    int status = 0;
    std::string body;
    bool is_complete = false;
    bool operator==(const outcome&) const = default;
};

void require(bool holds)
{
    if (!holds)
        std::abort();
}

outcome read_in_pieces(std::string_view bytes, std::size_t piece_size)
{
    outcome result;
    std::optional<http::response_reader> reader;
    http::response_reader::handlers handlers;
    handlers.head = [&](http::status_line_and_headers&& head) {
        require(head.status >= first_final_status);
        const adapter::response_facts facts = adapter::read_response_headers(head, attempt);
        require(!facts.not_run || facts.is_for_attempt);
        require(!facts.pause || facts.pause->count() >= 0);
        if (facts.is_for_other_attempt) {
            reader->skip();
            return;
        }
        result.status = head.status;
    };
    handlers.body = [&](std::string_view part) { result.body += part; };
    handlers.complete = [&] { result.is_complete = true; };
    reader.emplace(false, std::move(handlers));
    while (!bytes.empty() && result.fault == http::message_fault::none) {
        const std::string_view piece = bytes.substr(0, piece_size);
        bytes.remove_prefix(piece.size());
        result.fault = reader->take(piece);
    }
    if (result.fault == http::message_fault::none)
        result.fault = reader->finish();
    return result;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const outcome whole = read_in_pieces(bytes, bytes.size() + 1);
    const outcome bytewise = read_in_pieces(bytes, 1);
    // The parser takes some malformed trailers in pieces only.
    if (whole.is_complete && bytewise.is_complete)
        require(whole == bytewise);
    return 0;
}
