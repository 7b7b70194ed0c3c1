/// \file
/// Splits a stream of server-sent events into complete events without changing any byte.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::gateway {

class event_splitter {
public:
    /// Maximum length of an event, in bytes.
    static constexpr std::size_t max_event_bytes = 1U << 20U;

    /// Appends bytes and returns the events that they complete, each with its final blank line.
    [[nodiscard]] std::vector<std::string> add_bytes(std::string_view bytes);
    /// Whether the bytes so far end inside an event.
    [[nodiscard]] bool inside_event() const { return !this->partial_event.empty(); }
    /// Whether the event that has not ended is over the maximum length.
    [[nodiscard]] bool overflowed() const { return this->partial_event.size() > max_event_bytes; }
    /// Length of the event that has not ended, in bytes.
    [[nodiscard]] std::size_t held_bytes() const { return this->partial_event.size(); }
    /// Memory that the splitter takes, in bytes.
    [[nodiscard]] std::size_t memory() const { return this->partial_event.capacity(); }

private:
    std::string partial_event;
};

} // namespace ragwortcove::gateway
