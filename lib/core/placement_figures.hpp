/// \file
/// Figures that the parts of the placement board share.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>

namespace ragwortcove::core {

/// Time until an engine's first event besides its prefill, until it has shown its own.
inline constexpr double first_base_us = 20'000.0;
/// A plain service may have this many more requests than places, so that a place that gets free is
/// taken without a round trip.
inline constexpr std::uint32_t service_overlap = 1;

inline double to_us(duration span)
{
    return static_cast<double>(span.count());
}

/// Requests that an upstream with so many places may have at once.
inline std::uint32_t most_in_flight(bool is_engine, std::uint32_t slots)
{
    return is_engine ? slots : slots + service_overlap;
}

} // namespace ragwortcove::core
