/// \file
/// Constants and conversions that the sources of `placement_scheduler` share.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>

namespace ragwortcove::core {

/// Assumed time from dispatch to an engine's first event, without prefill, until there is an
/// estimate for the engine.
inline constexpr double default_first_event_us = 20'000.0;
/// Share of a time limit that an estimated time may use, as a margin for estimation errors.
inline constexpr double safe_share = 0.9;
/// Requests that a plain service may have in flight beyond its slots, so that a slot that becomes
/// free is used again without waiting for a round trip.
inline constexpr std::uint32_t service_overlap = 1;

/// Time constant of the average of a cell's grant rate.
inline constexpr duration rate_window = std::chrono::seconds{2};

inline double to_us(duration span)
{
    return static_cast<double>(span.count());
}

/// Number of requests that an upstream with this many slots may have in flight.
inline std::uint32_t max_in_flight(bool is_engine, std::uint32_t slots)
{
    return is_engine ? slots : slots + service_overlap;
}

} // namespace ragwortcove::core
