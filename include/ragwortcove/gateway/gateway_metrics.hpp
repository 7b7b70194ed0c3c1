/// \file
/// Counters and latency summaries of a gateway, in the Prometheus text format.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::gateway {

/// A value that is read at each scrape.
struct gauge {
    std::string name;
    std::string help;
    double value = 0.0;
};

class gateway_metrics {
public:
    void count(std::string_view counter, std::string_view label, std::string_view value,
               std::uint64_t amount = 1);
    void observe(std::string_view histogram, std::string_view route, core::duration elapsed);
    [[nodiscard]] std::string render(const std::vector<gauge>& gauges) const;

private:
    using distribution = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::extended_p_square>>;
    using labelled = std::map<std::string, std::uint64_t, std::less<>>;

    std::map<std::string, labelled, std::less<>> counters;
    std::map<std::string, std::map<std::string, distribution>, std::less<>> distributions;
};

} // namespace ragwortcove::gateway
