/// \file
/// How often requests of each rank are served, so that none is starved by more urgent ones.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>

namespace ragwortcove::core {

/// Shares of requests that were placed, over the last seconds. Ranks are strict, but under a
/// lasting overload the least urgent requests would get no place at all, short as they may be.
class rank_service {
public:
    void asked(std::uint32_t rank, time_point now);
    void placed(std::uint32_t rank, time_point now);
    /// Whether a rank is served so much less often than all requests that its turn has come.
    [[nodiscard]] bool is_starved(std::uint32_t rank) const;

private:
    struct record {
        double asked = 0.0;
        double placed = 0.0;
    };
    void decay(time_point now);

    std::map<std::uint32_t, record> by_rank;
    record all;
    time_point decayed_at;
};

} // namespace ragwortcove::core
