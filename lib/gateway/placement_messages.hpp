/// \file
/// Conversions between placement types and the messages between entry nodes and owners.
#pragma once

#include "gateway.pb.h"
#include "ragwortcove/core/placement_scheduler.hpp"

namespace ragwortcove::gateway {

void write_placement_request(const core::placement_request& from, wire::PlacementAsk& to);
[[nodiscard]] core::placement_request read_placement_request(const core::placement_id& id,
                                                             const wire::PlacementAsk& from);
void write_load(const core::cell_load& from, wire::CellLoad& to);
[[nodiscard]] core::cell_load read_load(const wire::CellLoad& from);
[[nodiscard]] core::departure read_departure(const wire::PlacementGrant& from);

} // namespace ragwortcove::gateway
