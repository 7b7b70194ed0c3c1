/// \file
/// Compares how the upstreams of a new version respond with how the old version's do at the same
/// time.
#pragma once

#include "ragwortcove/core/rollout.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/version_evidence.hpp"

#include <cstdint>

namespace ragwortcove::core {

/// Number of bad and of good results.
struct result_counts {
    double bad = 0.0;
    double good = 0.0;
};

/// Compares one kind of result of the new version with the old version's at the same time.
class version_comparison {
public:
    enum class result_kind { response, first_part, stream };
    explicit version_comparison(result_kind compared);
    void add_old(std::uint32_t bad, std::uint32_t good, time_point now);
    /// `rate_factor` is applied to the rates that are still good, and bad.
    void add_new(std::uint32_t bad, std::uint32_t good, double rate_factor, time_point now);
    [[nodiscard]] double sum() const { return this->test.sum(); }

private:
    [[nodiscard]] double good_rate() const;
    void start_burst(time_point now);

    result_kind kind;
    cumulative_test test;
    /// Results of the old version; they lose weight with age.
    result_counts old;
    time_point old_at;
    /// New results that came at about the same time: one stall or crash of one upstream makes
    /// several bad ones, which are not independent.
    result_counts burst;
    double burst_counted = 0.0;
    time_point burst_until;
};

/// The three comparisons of one route, or of all routes together.
struct route_comparison {
    version_comparison responses{version_comparison::result_kind::response};
    version_comparison first_parts{version_comparison::result_kind::first_part};
    version_comparison streams{version_comparison::result_kind::stream};

    void add(const rollout_route_counts& added, bool has_all_requests, time_point now);
    [[nodiscard]] double max_sum() const;
};

} // namespace ragwortcove::core
