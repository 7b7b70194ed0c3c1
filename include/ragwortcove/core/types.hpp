/// \file
/// Identifiers, names and the virtual clock that every core module shares.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace ragwortcove::core {

/// Clock whose time points are given to the core as arguments; it has no `now()`.
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = monotonic_clock::duration;
using time_point = monotonic_clock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch, for times that operators state.
struct unix_millis {
    std::int64_t value = 0;
    auto operator<=>(const unix_millis&) const = default;
};

/// Strongly typed name; names of different kinds cannot be mixed up.
template <class Tag> struct basic_name {
    std::string value;
    auto operator<=>(const basic_name&) const = default;
    bool operator==(const basic_name&) const = default;
    [[nodiscard]] bool empty() const { return this->value.empty(); }
};

using node_name = basic_name<struct node_tag>;
using upstream_name = basic_name<struct upstream_tag>;
using route_name = basic_name<struct route_tag>;
using team_name = basic_name<struct team_tag>;
using tier_name = basic_name<struct tier_tag>;
using version_name = basic_name<struct version_tag>;
using move_name = basic_name<struct move_tag>;
/// A model or a plain service that a route's upstreams provide.
using target_name = basic_name<struct target_tag>;
using region_name = basic_name<struct region_tag>;
using failure_domain_name = basic_name<struct failure_domain_tag>;
using store_id = basic_name<struct store_tag>;

/// Strongly typed number; numbers of different kinds cannot be mixed up.
template <class Tag> struct basic_number {
    std::uint64_t value = 0;
    // clang-tidy mistakes the zero inside a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const basic_number&) const = default;
};

/// One run of one process; a restarted process has a greater number.
using incarnation = basic_number<struct incarnation_tag>;
/// A caller's open request as numbered by the shell around the core, within one incarnation.
using exchange_id = basic_number<struct exchange_tag>;
/// One dispatch of a request to an upstream, within one incarnation.
using attempt_id = basic_number<struct attempt_tag>;
/// A permit that a placement owner granted, within the owner's incarnation.
using grant_id = basic_number<struct grant_tag>;
/// A configuration revision of the platform's store.
using revision = basic_number<struct revision_tag>;
/// Era of the platform's store, which begins anew, one higher, when the store comes back from an
/// older copy. Zero stands for unknown.
using store_era = basic_number<struct store_era_tag>;

/// Point in the history of the platform's store. A later era gives revisions out again.
struct store_position {
    core::revision revision;
    store_era era;
    std::strong_ordering operator<=>(const store_position& other) const
    {
        const std::strong_ordering by_era = this->era <=> other.era;
        return by_era == std::strong_ordering::equal ? this->revision <=> other.revision : by_era;
    }
    bool operator==(const store_position&) const = default;
};

/// A call to the platform, within one incarnation.
using call_id = basic_number<struct call_tag>;
/// Hash of one block of a prompt's prefix, chained over all blocks before it.
using prefix_hash = basic_number<struct prefix_tag>;
/// Fencing number of a lease.
using fencing_number = basic_number<struct fencing_tag>;

/// A request's identity in the whole system.
struct request_id {
    incarnation entry;
    std::uint64_t sequence = 0;
    auto operator<=>(const request_id&) const = default;
};

/// IP address and port; never a host name.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;
    auto operator<=>(const endpoint&) const = default;
    bool operator==(const endpoint&) const = default;
};

} // namespace ragwortcove::core
