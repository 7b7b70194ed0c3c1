/// \file
/// Whether a response ends in time on an engine at its learned pace, and how soon an engine has a
/// free slot again. Answers overload of engines whose pace differs several times while they
/// announce the same number of slots: a long response that begins on a slow one is cut off when its
/// caller gives up, after it has held a slot all that time.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstdint>

namespace ragwortcove::core {

/// Estimated times of an engine.
struct engine_pace {
    double first_event_us = 0.0;
    double event_us = 0.0;
    double prefill_us_per_token = 0.0;
};

/// What a request takes of an engine, and what precedes it there.
struct engine_work {
    double uncached_tokens = 0.0;
    double output_events = 0.0;
    /// Prompt tokens of other requests that the engine computes before.
    double ahead_tokens = 0.0;
    /// Other requests that run there.
    std::uint32_t running = 0;
};

/// Averages of the requests that the engines of a cell run.
class usual_work {
public:
    void record(const engine_work& granted);
    [[nodiscard]] engine_work average() const { return this->mean; }

private:
    engine_work mean;
};

/// Time to the last event.
[[nodiscard]] double completion_time_us(const engine_pace& pace, const engine_work& work);
/// Requests like `usual` that end each second on an engine that runs `running` of them.
[[nodiscard]] double releases_per_second(const engine_pace& pace, const engine_work& usual,
                                         std::uint32_t running);

} // namespace ragwortcove::core
