#include "ragwortcove/core/engine_places.hpp"

namespace ragwortcove::core {

/// How much slower each other running request makes an event, as a fraction.
static constexpr double crowding_per_request = 0.02;
/// Weight of a new observation in the averages of the usual work.
static constexpr double usual_weight = 0.05;

static void update_average(double& average, double observed)
{
    average = average <= 0.0 ? observed : average + usual_weight * (observed - average);
}

void usual_work::record(const engine_work& granted)
{
    update_average(this->mean.uncached_tokens, granted.uncached_tokens);
    update_average(this->mean.output_events, granted.output_events);
}

double completion_time_us(const engine_pace& pace, const engine_work& work)
{
    const double crowding = 1.0 + crowding_per_request * static_cast<double>(work.running);
    return pace.first_event_us +
           (work.ahead_tokens + work.uncached_tokens) * pace.prefill_us_per_token +
           pace.event_us * crowding * work.output_events;
}

// Each of the running requests also waits while the prompts of the others are computed.
double releases_per_second(const engine_pace& pace, const engine_work& usual, std::uint32_t running)
{
    if (running == 0)
        return 0.0;
    engine_work one = usual;
    one.running = running - 1;
    one.ahead_tokens = static_cast<double>(one.running) * usual.uncached_tokens;
    const double lifetime_us = completion_time_us(pace, one);
    return lifetime_us <= 0.0 ? 0.0 : 1e6 * static_cast<double>(running) / lifetime_us;
}

} // namespace ragwortcove::core
