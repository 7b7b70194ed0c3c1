/// \file
/// Output lengths, estimated per route.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>

namespace ragwortcove::core {

/// Exponentially weighted moving average of the output length of each route's finished requests, in
/// tokens.
class output_estimate {
public:
    [[nodiscard]] std::uint32_t estimate(const route_name& route, const route_spec& spec,
                                         std::uint32_t max_output_tokens) const;
    void record_length(const route_name& route, std::uint32_t output_tokens);

private:
    std::map<route_name, double> lengths;
};

} // namespace ragwortcove::core
