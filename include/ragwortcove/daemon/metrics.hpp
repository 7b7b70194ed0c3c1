/// \file
/// Figures of a running daemon, in the Prometheus text form.
#pragma once

#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/peer/transport.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace ragwortcove::daemon {

/// Distribution of durations, in seconds.
using duration_summary = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                               boost::accumulators::tag::extended_p_square>>;

/// Figures that are read when they are asked for, not counted.
struct metric_gauges {
    std::uint32_t open_requests = 0;
    std::uint32_t open_attempts = 0;
    std::uint64_t configuration_revision = 0;
    std::uint32_t live_members = 0;
    bool ready = false;
    bool draining = false;
    /// Traffic with other instances; none is shown when unset.
    const peer::transport_counters* peers = nullptr;
    std::uint32_t peer_streams = 0;
};

/// Counts what happens to callers' requests, attempts, peers and the platform.
class metrics {
public:
    metrics();

    void count_request(std::string_view kind);
    void count_answer(std::string_view kind, core::duration whole);
    void observe_first_byte(std::string_view kind, core::duration after);
    void count_refusal(const core::refusal& refusal);
    void count_cut(const core::refusal& refusal);
    void count_attempt(core::attempt_mode mode);
    void count_attempt_failure(core::upstream_failure failure);
    void count_tokens(std::uint64_t tokens);
    void count_decision(core::decision_kind kind);
    void count_platform_call();

    [[nodiscard]] std::string render(const metric_gauges& gauges) const;

private:
    using counter_map = std::map<std::string, std::uint64_t>;
    using summary_map = std::map<std::string, duration_summary>;

    counter_map requests;
    counter_map answers;
    counter_map refusals;
    counter_map cuts;
    counter_map attempts;
    counter_map attempt_failures;
    counter_map decisions;
    summary_map first_bytes;
    summary_map whole_answers;
    std::uint64_t tokens_forwarded = 0;
    std::uint64_t platform_calls = 0;
};

[[nodiscard]] std::string_view to_string(core::upstream_failure failure);
[[nodiscard]] std::string_view to_string(core::attempt_mode mode);

} // namespace ragwortcove::daemon
