/// \file
/// Bounds what a node sends to other nodes that read documents from it.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstddef>

namespace ragwortcove::core {

/// Admits transfers as long as what was admitted lately fits on a narrow link within a reader's
/// response timeout. A reader that is rejected at once can read elsewhere; beyond the limit, all
/// readers would time out together.
class transfer_limit {
public:
    /// Whether `bytes` may be sent now; counts them if so. A single transfer is always admitted
    /// when no other one is under way.
    [[nodiscard]] bool admit(std::size_t bytes, time_point now);

private:
    /// Bytes that are estimated to be still under way at `updated_at`.
    double bytes_under_way = 0.0;
    time_point updated_at;
};

} // namespace ragwortcove::core
