#include "ragwortcove/core/engine_state.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::core {

/// Share of a new sample in a learned rate.
static constexpr double smoothing = 0.2;

void learned_rates::learn(const permit_release& release)
{
    if (release.between_tokens.count() == 0)
        return;
    const auto seen = static_cast<double>(release.between_tokens.count());
    this->between_tokens_us += smoothing * (seen - this->between_tokens_us);
}

void learned_rates::learn_prefill(std::uint32_t tokens, duration taken)
{
    if (taken.count() <= 0)
        return;
    const double seen = static_cast<double>(tokens) * 1e6 / static_cast<double>(taken.count());
    this->prefill_tokens_per_second += smoothing * (seen - this->prefill_tokens_per_second);
}

duration learned_rates::prefill_time(std::uint32_t tokens) const
{
    return duration{static_cast<duration::rep>(static_cast<double>(tokens) * 1e6 /
                                               this->prefill_tokens_per_second)};
}

duration learned_rates::between_tokens() const
{
    return duration{static_cast<duration::rep>(this->between_tokens_us)};
}

engine_state::engine_state(const cell_upstream& from)
    : info{from}, limit{from.spec.slots}, cache{from.spec.cache_tokens}
{
}

std::uint32_t engine_state::free_permits() const
{
    const auto out = static_cast<std::uint32_t>(this->held.size());
    const std::uint32_t allowed = this->health.limit(this->limit.value());
    return allowed > out ? allowed - out : 0;
}

std::uint32_t engine_state::held_long() const
{
    return static_cast<std::uint32_t>(
        std::count_if(this->held.begin(), this->held.end(),
                      [](const auto& entry) { return entry.second.is_long; }));
}

std::uint32_t engine_state::prefill_backlog() const
{
    std::uint32_t tokens = 0;
    for (const auto& [request, permit] : this->held)
        tokens += permit.computing ? permit.uncached_tokens : 0;
    return tokens;
}

void engine_state::hold(const request_id& request, held_permit&& permit)
{
    permit.computing = permit.uncached_tokens >= min_tokens_to_report;
    permit.backlog_tokens = this->prefill_backlog() + permit.uncached_tokens;
    this->held.insert_or_assign(request, std::move(permit));
}

void engine_state::started(const request_id& request, time_point now)
{
    const auto found = this->held.find(request);
    if (found == this->held.end() || !found->second.computing)
        return;
    found->second.computing = false;
    this->rates.learn_prefill(found->second.backlog_tokens, now - found->second.granted);
}

duration engine_state::prefill_wait() const
{
    return this->rates.prefill_time(this->prefill_backlog());
}

duration engine_state::time_to_finish(std::uint32_t uncached_tokens,
                                      std::uint32_t output_tokens) const
{
    return this->prefill_wait() + this->rates.prefill_time(uncached_tokens) +
           this->rates.between_tokens() * std::int64_t{output_tokens};
}

} // namespace ragwortcove::core
