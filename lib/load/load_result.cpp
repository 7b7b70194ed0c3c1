#include "ragwortcove/load/load_result.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::load {

std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> values, double share)
{
    if (values.empty())
        return {};
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    const auto index = static_cast<std::ptrdiff_t>(std::max(rank, 1.0)) - 1;
    std::nth_element(values.begin(), values.begin() + index, values.end());
    return values[static_cast<std::size_t>(index)];
}

static double to_millis(std::chrono::microseconds value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

static double to_rate(std::uint64_t count, std::chrono::microseconds time)
{
    const double seconds = std::chrono::duration<double>(time).count();
    return seconds > 0.0 ? static_cast<double>(count) / seconds : 0.0;
}

boost::json::object report_class(const load_class& sent, const class_result& result,
                                 std::chrono::microseconds counted_time)
{
    boost::json::object line;
    line["class"] = sent.name;
    line["route"] = sent.route;
    line["tier"] = sent.tier;
    line["sent"] = result.sent;
    line["answered"] = result.answered;
    line["refused_not_run"] = result.refused_not_run;
    line["may_have_run"] = result.may_have_run;
    line["cut"] = result.cut;
    line["retries"] = result.retries;
    line["answered_per_second"] = to_rate(result.answered, counted_time);
    line["tokens_per_second"] = to_rate(result.tokens, counted_time);
    line["latency_p50_ms"] = to_millis(percentile(result.latencies, 0.50));
    line["latency_p95_ms"] = to_millis(percentile(result.latencies, 0.95));
    line["latency_p99_ms"] = to_millis(percentile(result.latencies, 0.99));
    line["first_token_p95_ms"] = to_millis(percentile(result.first_tokens, 0.95));
    line["token_gap_p95_ms"] = to_millis(percentile(result.token_gaps, 0.95));
    return line;
}

} // namespace ragwortcove::load
