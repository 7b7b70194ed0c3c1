#include "ragwortcove/core/output_estimate.hpp"

#include <algorithm>

namespace ragwortcove::core {

/// Weight of a new length in a route's moving average.
static constexpr double smoothing = 0.05;

std::uint32_t output_estimate::estimate(const route_name& route, const route_spec& spec,
                                        std::uint32_t max_output_tokens) const
{
    const auto found = this->lengths.find(route);
    const std::uint32_t expected = found == this->lengths.end()
                                       ? spec.expected_output_tokens
                                       : static_cast<std::uint32_t>(found->second);
    return max_output_tokens == 0 ? expected : std::min(expected, max_output_tokens);
}

void output_estimate::record_length(const route_name& route, std::uint32_t output_tokens)
{
    const auto [at, added] = this->lengths.try_emplace(route, output_tokens);
    if (!added)
        at->second += smoothing * (static_cast<double>(output_tokens) - at->second);
}

} // namespace ragwortcove::core
