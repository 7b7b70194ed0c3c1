// Reads a caller's bytes as requests, in one piece and in several.
#include "platform/headers.hpp"
#include "ragwortcove/http/message_reader.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace ragwortcove;

static void read_in_pieces(std::string_view bytes, std::size_t piece_size)
{
    http::request_reader::handlers handlers;
    handlers.head = [](http::request_line_and_headers&& head) {
        static_cast<void>(adapter::read_call(head));
        static_cast<void>(adapter::make_upstream_headers(head, {}));
    };
    handlers.body = [](std::string_view) {};
    bool is_complete = false;
    handlers.complete = [&is_complete] { is_complete = true; };
    http::request_reader reader({}, std::move(handlers));
    while (!bytes.empty()) {
        const std::string_view piece = bytes.substr(0, piece_size);
        bytes.remove_prefix(piece.size());
        if (reader.take(piece) != http::message_fault::none)
            return;
        while (is_complete) {
            is_complete = false;
            if (reader.next() != http::message_fault::none)
                return;
        }
    }
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    read_in_pieces(bytes, bytes.size() + 1);
    read_in_pieces(bytes, 1);
    return 0;
}
