#include "ragwortcove/gateway/event_splitter.hpp"

#include <algorithm>

namespace ragwortcove::gateway {

/// Position behind the first blank line from `from` on, or npos.
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
    constexpr std::size_t longest_break = 3;
    const std::size_t searched =
        this->partial_event.size() - std::min(this->partial_event.size(), longest_break);
    this->partial_event.append(bytes);
    std::vector<std::string> events;
    std::size_t begin = 0;
    std::size_t from = searched;
    while (true) {
        const std::size_t end = end_of_event(this->partial_event, from);
        if (end == std::string::npos)
            break;
        events.push_back(this->partial_event.substr(begin, end - begin));
        begin = end;
        from = end;
    }
    this->partial_event.erase(0, begin);
    return events;
}

} // namespace ragwortcove::gateway
