/// \file
/// Splits a stream of server-sent events into complete events without changing any byte.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::gateway {

class event_splitter {
public:
    /// Appends bytes and returns the events that they complete, each with its final blank line.
    [[nodiscard]] std::vector<std::string> add_bytes(std::string_view bytes);
    /// Whether the bytes so far end inside an event.
    [[nodiscard]] bool inside_event() const { return !this->partial_event.empty(); }

private:
    std::string partial_event;
};

} // namespace ragwortcove::gateway
