/// \file
/// Records of prompt parts, as nodes send them to each other.
#pragma once

#include "gateway.pb.h"
#include "ragwortcove/core/part_quarantine.hpp"
#include "ragwortcove/core/types.hpp"

#include <optional>

namespace ragwortcove::gateway {

void write_part_record(const core::part_record& from, core::time_point now, wire::PartRecord& to);
/// Unset when a field is out of range.
[[nodiscard]] std::optional<core::part_record> read_part_record(const wire::PartRecord& from,
                                                                core::time_point now);

} // namespace ragwortcove::gateway
