/// \file
/// What became of the requests of a load run, by class.
#pragma once

#include "ragwortcove/load/load_settings.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace ragwortcove::load {

struct class_result {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t may_have_run = 0;
    std::uint64_t cut = 0;
    std::uint64_t retries = 0;
    /// Streamed pieces of answers; the stand-in engine sends one a token.
    std::uint64_t tokens = 0;
    /// From the intended time of sending to the end of a whole answer.
    std::vector<std::chrono::microseconds> latencies;
    /// From the intended time of sending to the first token.
    std::vector<std::chrono::microseconds> first_tokens;
    std::vector<std::chrono::microseconds> token_gaps;

    [[nodiscard]] std::uint64_t ended() const
    {
        return this->answered + this->refused_not_run + this->may_have_run + this->cut;
    }
};

/// The value that a share of the values does not pass, by the nearest rank; zero without values.
[[nodiscard]] std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> values,
                                                   double share);

/// One line of results.
[[nodiscard]] boost::json::object report_class(const load_class& sent, const class_result& result,
                                               std::chrono::microseconds counted_time);

} // namespace ragwortcove::load
