#include "ragwortcove/core/domain_drain.hpp"

#include "ragwortcove/core/rendezvous.hpp"

#include <cstdint>
#include <utility>

namespace ragwortcove::core {

drain_changes domain_drain::set_orders(std::span<const failure_domain_name> all, time_point now)
{
    std::set<failure_domain_name> next(all.begin(), all.end());
    drain_changes changes;
    for (const failure_domain_name& domain : next) {
        if (!this->drained.contains(domain))
            changes.drained.push_back(domain);
        this->released_at.erase(domain);
    }
    for (const failure_domain_name& domain : this->drained) {
        if (next.contains(domain))
            continue;
        changes.released.push_back(domain);
        this->released_at[domain] = now;
    }
    this->drained = std::move(next);
    if (!changes.released.empty())
        this->next_step_at = now + domain_return_step;
    return changes;
}

// The hash of the name orders the upstreams of a domain in the same way at every node: the owner of
// a cell, which may change meanwhile, needs no message for it.
bool domain_drain::is_returning(const announced_upstream& upstream, time_point now) const
{
    const auto released = this->released_at.find(upstream.failure_domain);
    if (released == this->released_at.end())
        return false;
    const auto all_moments = static_cast<std::uint64_t>(domain_return_time.count());
    const duration after{
        static_cast<duration::rep>(stable_hash(upstream.name.value) % all_moments)};
    return now < released->second + after;
}

void domain_drain::mark(std::span<announced_upstream> all, time_point now) const
{
    if (this->drained.empty() && this->released_at.empty())
        return;
    for (announced_upstream& each : all) {
        if (this->is_drained(each.failure_domain) || this->is_returning(each, now))
            each.leaving = true;
    }
}

bool domain_drain::tick(time_point now)
{
    if (this->released_at.empty() || now < this->next_step_at)
        return false;
    this->next_step_at = now + domain_return_step;
    std::erase_if(this->released_at,
                  [now](const auto& each) { return each.second + domain_return_time <= now; });
    return true;
}

} // namespace ragwortcove::core
