/// \file
/// A node's status as operators read it: JSON.
#pragma once

#include "ragwortcove/core/node.hpp"
#include "ragwortcove/daemon/metrics.hpp"

#include <string>
#include <string_view>

namespace ragwortcove::daemon {

[[nodiscard]] std::string_view to_string(core::member_state state);
[[nodiscard]] std::string render_status(const core::node_status& status);
[[nodiscard]] metric_gauges make_gauges(const core::node_status& status);

} // namespace ragwortcove::daemon
