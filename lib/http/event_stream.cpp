#include "ragwortcove/http/event_stream.hpp"

#include <utility>

namespace ragwortcove::http {

std::vector<std::string> event_stream_reader::take(std::string_view bytes)
{
    std::vector<std::string> events;
    while (!bytes.empty() && !this->too_long) {
        const std::size_t line_end = bytes.find('\n');
        this->unfinished_line += bytes.substr(0, line_end);
        const std::size_t held = this->unfinished_line.size() + this->data.value_or("").size();
        this->too_long = held > longest_event;
        if (line_end == std::string_view::npos)
            break;
        const std::string line = std::exchange(this->unfinished_line, {});
        this->take_line(line, events);
        bytes.remove_prefix(line_end + 1);
    }
    return events;
}

void event_stream_reader::take_line(std::string_view line, std::vector<std::string>& events)
{
    static constexpr std::string_view data_field = "data:";
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        if (this->data)
            events.push_back(*std::exchange(this->data, std::nullopt));
        return;
    }
    if (!line.starts_with(data_field))
        return;
    line.remove_prefix(data_field.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (!this->data) {
        this->data = std::string{line};
        return;
    }
    *this->data += '\n';
    *this->data += line;
}

std::string format_event(std::string_view data)
{
    std::string text{"data: "};
    text += data;
    text += "\n\n";
    return text;
}

} // namespace ragwortcove::http
