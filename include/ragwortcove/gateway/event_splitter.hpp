/// \file
/// Cuts a stream of server-sent events into whole events, bytes unchanged.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::gateway {

class event_splitter {
public:
    /// Takes bytes; gives the events that they complete, each with its blank line.
    [[nodiscard]] std::vector<std::string> take(std::string_view bytes);
    /// Whether an event has begun that is not whole.
    [[nodiscard]] bool inside_event() const { return !this->unfinished.empty(); }

private:
    std::string unfinished;
};

} // namespace ragwortcove::gateway
