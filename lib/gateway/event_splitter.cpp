#include "ragwortcove/gateway/event_splitter.hpp"

#include <algorithm>

namespace ragwortcove::gateway {

/// Memory that is kept for events that come later.
static constexpr std::size_t max_spare_bytes = 4U << 10U;

/// Position after the first blank line at or after `from`, or npos.
static std::size_t end_of_event(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n')
            return at + 2;
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n')
            return at + 3;
    }
    return std::string_view::npos;
}

std::vector<std::string> event_splitter::add_bytes(std::string_view bytes)
{
    constexpr std::size_t max_terminator_length = 3;
    const std::size_t search_from =
        this->partial_event.size() - std::min(this->partial_event.size(), max_terminator_length);
    this->partial_event.append(bytes);
    std::vector<std::string> events;
    std::size_t begin = 0;
    std::size_t from = search_from;
    while (true) {
        const std::size_t end = end_of_event(this->partial_event, from);
        if (end == std::string::npos)
            break;
        events.push_back(this->partial_event.substr(begin, end - begin));
        begin = end;
        from = end;
    }
    this->partial_event.erase(0, begin);
    if (this->partial_event.empty() && this->partial_event.capacity() > max_spare_bytes)
        this->partial_event = {};
    return events;
}

} // namespace ragwortcove::gateway
