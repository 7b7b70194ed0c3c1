/// \file
/// Messages of roll-outs between nodes.
#pragma once

#include "gateway.pb.h"
#include "ragwortcove/core/rollout.hpp"

namespace ragwortcove::gateway {

void write_rollout_report(const core::rollout_report& from, wire::RolloutReport& to);
[[nodiscard]] core::rollout_report read_rollout_report(const wire::RolloutReport& from);
void write_rollout_directive(const core::rollout_directive& from, wire::RolloutDirective& to);
[[nodiscard]] core::rollout_directive read_rollout_directive(const wire::RolloutDirective& from);

} // namespace ragwortcove::gateway
