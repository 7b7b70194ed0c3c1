#include "ragwortcove/core/response_times.hpp"

#include <algorithm>
#include <optional>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Time of a response on a route that has had few so far, in multiples of its latency goal, and in
/// addition to that.
static constexpr std::int64_t unknown_time_goals = 4;
static constexpr duration unknown_time_margin = 1s;

/// A response may take so much longer than the longest of the newest ones.
static constexpr double recent_margin = 1.2;

static double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

static duration from_ms(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

void response_times::learned_time::add(double sample)
{
    this->usual.add(sample);
    this->recent.add(sample);
}

std::optional<double> response_times::learned_time::limit() const
{
    const std::optional<double> late = this->usual.late_limit();
    if (!late)
        return std::nullopt;
    return std::max(*late, recent_margin * this->recent.largest().value_or(0.0));
}

void response_times::add(const http_route& route, const response_time& seen)
{
    route_times& known = this->by_route[route.name];
    known.whole.add(to_ms(seen.whole));
    if (!route.streams || seen.max_output_tokens == 0)
        return;
    known.first.add(to_ms(seen.first));
    known.output_token.add(to_ms(seen.whole - seen.first) /
                           static_cast<double>(seen.max_output_tokens));
}

duration response_times::usual_limit(const http_route& route, std::uint32_t max_output_tokens) const
{
    const duration unknown = route.goal * unknown_time_goals + unknown_time_margin;
    const auto found = this->by_route.find(route.name);
    if (found == this->by_route.end())
        return unknown;
    const route_times& known = found->second;
    const std::optional<double> first = known.first.limit();
    const std::optional<double> token = known.output_token.limit();
    if (route.streams && max_output_tokens > 0 && first && token)
        return from_ms(*first + *token * static_cast<double>(max_output_tokens));
    const std::optional<double> whole = known.whole.limit();
    return whole ? from_ms(*whole) : unknown;
}

} // namespace ragwortcove::core
