// A stream of server-sent events gives the same events however it is cut into pieces.
#include "ragwortcove/http/event_stream.hpp"

#include <algorithm>
#include <cstdlib>

using namespace ragwortcove;

static std::vector<std::string> read_in_pieces(std::string_view text, std::size_t piece)
{
    http::event_stream_reader reader;
    std::vector<std::string> events;
    while (!text.empty()) {
        const std::size_t length = std::min(piece, text.size());
        for (std::string& event : reader.take(text.substr(0, length)))
            events.push_back(std::move(event));
        text.remove_prefix(length);
    }
    return events;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::size_t piece = 1 + data[0] % 16U;
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    if (read_in_pieces(text, piece) != read_in_pieces(text, size))
        std::abort();
    return 0;
}
