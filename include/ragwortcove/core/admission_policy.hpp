/// \file
/// Decides, for one cell, which requests are worth a slot while there are fewer slots than
/// requests. Answers the load of a sustained overload: more requests arrive than the cell's engines
/// can serve within the latency objectives, so that each slot that a late request takes makes
/// another request late.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace ragwortcove::core {

/// What admission does while a cell has fewer slots than requests.
enum class admission_mode {
    /// Requests wait until their longest wait has passed; late ones precede later ranks.
    by_patience,
    /// Slots go to requests that can meet their latency objective; the others are denied as soon as
    /// that is known.
    by_deadline,
};

/// Numbers of a scheduler's decisions; for metrics.
struct admission_counts {
    std::uint64_t late_placements = 0;
    /// Time for which late requests held slots.
    duration late_slot_time{0};
    std::uint64_t denied_at_arrival = 0;
    std::uint64_t denied_later = 0;
};

/// Slots of a cell and the requests that want them.
struct cell_slots {
    std::uint32_t all = 0;
    std::uint32_t free = 0;
};

/// Measures the load that can be in time, by rank, and estimates waits and spare slots from it. A
/// load is the mean number of slots that requests use: arrivals per second times slot time.
class admission_policy {
public:
    /// Records the arrival of a request that can still meet its objective.
    void record_on_time(std::uint32_t rank, time_point now);
    /// Records a request that is late at its arrival.
    void record_late(std::uint32_t rank, time_point now);
    /// Records how long a completed request held its slot.
    void record_slot_time(std::uint32_t rank, duration held);
    /// Records that a request was denied for want of a slot.
    void record_denial(time_point now);

    /// Expected slot time of a request, in seconds; zero as long as nothing was observed.
    [[nodiscard]] double slot_seconds(std::uint32_t rank) const;
    /// Load of the on-time requests of the ranks before this one.
    [[nodiscard]] double load_before(std::uint32_t rank, time_point now) const;
    /// Load of all on-time requests.
    [[nodiscard]] double on_time_load(time_point now) const;
    /// Whether nearly all requests of the rank are late when they arrive, so that serving only
    /// on-time ones would not serve the rank.
    [[nodiscard]] bool is_mostly_late(std::uint32_t rank, time_point now) const;
    /// Slots kept free for on-time requests that are about to arrive; zero unless the cell is
    /// nearly full of them.
    [[nodiscard]] std::uint32_t reserve(std::uint32_t slots, time_point now) const;
    /// Time until `work` slot seconds are done while requests that use `load` slots go before;
    /// nothing if they leave no slot.
    [[nodiscard]] static std::optional<duration> time_to_serve(double work, double load,
                                                               std::uint32_t slots);
    /// Time after which a denied request is likely to get a slot: an overload is expected to last
    /// as long as it has lasted already.
    [[nodiscard]] duration retry_after(time_point now) const;

private:
    /// Arrivals per second, averaged over the last second.
    struct arrival_rate {
        double per_second = 0.0;
        time_point updated_at;
    };
    struct rank_load {
        arrival_rate on_time;
        arrival_rate late;
        double slot_seconds = 0.0;
    };
    static void add_arrival(arrival_rate& rate, time_point now);
    [[nodiscard]] static double rate_at(const arrival_rate& rate, time_point now);

    std::map<std::uint32_t, rank_load> by_rank;
    /// Mean slot time of all requests.
    double mean_slot_seconds = 0.0;
    time_point overloaded_since;
    time_point last_denial_at;
};

} // namespace ragwortcove::core
