/// \file
/// Measures how often requests of each rank are placed, so that urgent ranks do not starve the
/// others.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>

namespace ragwortcove::core {

/// Share of requests that were placed, per rank, over the last seconds. Ranks have strict priority;
/// under a sustained overload the least urgent requests would never be placed, however short they
/// are.
class rank_service {
public:
    void record_request(std::uint32_t rank, time_point now);
    void record_placement(std::uint32_t rank, time_point now);
    /// Whether the rank's share of placed requests is far below that of all requests.
    [[nodiscard]] bool is_starved(std::uint32_t rank) const;

private:
    struct counts {
        double asked = 0.0;
        double placed = 0.0;
    };
    void decay(time_point now);

    std::map<std::uint32_t, counts> by_rank;
    counts all;
    time_point decayed_at;
};

} // namespace ragwortcove::core
