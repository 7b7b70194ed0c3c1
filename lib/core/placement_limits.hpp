/// \file
/// Constants and conversions that the sources of `placement_scheduler` share.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

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

inline duration from_us(double value)
{
    return duration{static_cast<duration::rep>(value)};
}

/// Slots that are free while this many requests are in flight.
inline std::uint32_t free_slots_of(std::uint32_t slots, std::size_t in_flight)
{
    return in_flight < slots ? slots - static_cast<std::uint32_t>(in_flight) : 0;
}

/// Number of requests that an upstream with this many slots may have in flight.
inline std::uint32_t max_in_flight(bool is_engine, std::uint32_t slots)
{
    return is_engine ? slots : slots + service_overlap;
}

/// Counts the queued requests of each failure domain that could not be placed on the free slots.
/// When several could not, the others of their rank hardly can either, and are skipped to save
/// time.
class failed_placements {
public:
    [[nodiscard]] bool may_try(const failure_domain_name& domain) const
    {
        const auto found = this->by_domain.find(domain);
        return found == this->by_domain.end() || found->second < max_failed;
    }
    void add(const failure_domain_name& domain) { ++this->by_domain[domain]; }
    void clear() { this->by_domain.clear(); }

private:
    static constexpr std::size_t max_failed = 6;
    std::map<failure_domain_name, std::size_t> by_domain;
};

} // namespace ragwortcove::core
