/// \file
/// Durations as numbers, for rates and shares.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <chrono>

namespace ragwortcove::core {

inline double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace ragwortcove::core
