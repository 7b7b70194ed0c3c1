/// \file
/// Reader of server-sent events that arrive in pieces of any size.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::http {

/// Data that ends a stream in the published chat form.
inline constexpr std::string_view stream_end_marker = "[DONE]";

/// Cuts a byte stream into the data of its events; other fields and comments are dropped.
class event_stream_reader {
public:
    /// Longest event that is taken, in bytes.
    static constexpr std::size_t longest_event = 1U << 20U;

    /// Takes the next bytes and gives the data of each event that they complete.
    [[nodiscard]] std::vector<std::string> take(std::string_view bytes);
    /// Whether an event passed the longest that is taken; the stream is of no use then.
    [[nodiscard]] bool overflowed() const { return this->too_long; }

private:
    void take_line(std::string_view line, std::vector<std::string>& events);

    std::string unfinished_line;
    std::optional<std::string> data;
    bool too_long = false;
};

/// Writes one event with that data.
[[nodiscard]] std::string format_event(std::string_view data);

} // namespace ragwortcove::http
