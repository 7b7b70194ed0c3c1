#include "ragwortcove/peer/codec.hpp"

#include <array>
#include <cassert>

namespace ragwortcove::peer {

static constexpr std::array<std::string_view, message_kinds> kind_names = {
    "permit_ask",    "permit_grant",  "permit_denial",  "permit_withdrawal", "permit_release",
    "permit_report", "key_ask",       "key_answer",     "heartbeat",         "feed_ask",
    "feed_delta",    "feed_snapshot", "permit_started",
};

std::string_view message_kind_name(std::size_t index)
{
    assert(index < kind_names.size() && "message kind out of range");
    return kind_names[index];
}

} // namespace ragwortcove::peer
