/// \file
/// Which place can reach which, and how long it takes.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/standin/random_source.hpp"

#include <compare>
#include <cstdint>
#include <set>
#include <vector>

namespace ragwortcove::bench {

enum class place_kind { node, upstream, platform, caller };

/// One end of a link.
struct place {
    place_kind kind = place_kind::node;
    std::size_t index = 0;
    auto operator<=>(const place&) const = default;
    bool operator==(const place&) const = default;
};

/// Links with a seeded delay, and cuts of them that end by themselves.
class network {
public:
    explicit network(std::uint64_t seed) : random(seed) {}

    [[nodiscard]] core::duration draw_delay(const place& from, const place& to);
    /// Whether anything gets from one place to another now.
    [[nodiscard]] bool carries(const place& from, const place& to, core::time_point now) const;
    [[nodiscard]] bool carries_both_ways(const place& one, const place& other,
                                         core::time_point now) const;
    /// Nothing gets from one set of places to the other.
    void cut(std::set<place> from, std::set<place> to, core::time_point until);
    void lose_datagrams(double rate, core::time_point until);
    [[nodiscard]] bool loses_datagram(core::time_point now);

private:
    struct link_cut {
        std::set<place> from;
        std::set<place> to;
        core::time_point until;
    };

    standin::random_source random;
    std::vector<link_cut> cuts;
    double datagram_loss_rate = 0.0;
    core::time_point datagram_loss_until;
};

} // namespace ragwortcove::bench
