#include "ragwortcove/core/domain_spill.hpp"

#include "placement_limits.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Assumed of the way to another domain until it is measured.
static constexpr duration default_way = 3ms;
/// How long a measured way is used.
static constexpr duration way_validity = 60s;
/// Weight of a new measurement of a way; all entries of a domain measure it.
static constexpr double way_weight = 0.2;
/// Length of the two windows over which the shortest round trip is taken.
static constexpr duration round_trip_window = 5s;
/// Half-life of the counts of requests, grants and releases.
static constexpr duration half_life = 2s;
/// By how much callers must be served worse than those of another domain to go before them.
static constexpr double served_margin = 0.03;
/// Requests added to both counts of a share, so that a few requests don't decide.
static constexpr double prior_requests = 4.0;
/// Bytes of a token in a request or a response.
static constexpr std::uint64_t bytes_per_token = 4;
static constexpr std::uint64_t bytes_per_kilobyte = 1024;
/// Prompt tokens that must be cached elsewhere to count as a reason.
static constexpr std::uint32_t min_cached_tokens = 128;
/// Part of the time left until its objective that a request must save to leave a free slot.
static constexpr std::int64_t clear_saving_divisor = 10;
/// How many times as long a response has to take in the own domain to leave it for that.
static constexpr double much_longer = 2.0;

std::string_view to_string(departure reason)
{
    switch (reason) {
    case departure::none:
        return "no";
    case departure::too_few:
        return "short";
    case departure::sooner:
        return "faster";
    case departure::cached:
        return "cached";
    }
    return "no";
}

void domain_ways::record(const failure_domain_name& from, const failure_domain_name& to,
                         duration way, time_point now)
{
    const auto [found, is_new] = this->by_pair.try_emplace({from, to});
    measurement& known = found->second;
    const bool is_outdated = is_new || now - known.measured_at > way_validity;
    known.way_us =
        is_outdated ? to_us(way) : known.way_us + way_weight * (to_us(way) - known.way_us);
    known.measured_at = now;
}

duration domain_ways::between(const failure_domain_name& from, const failure_domain_name& to,
                              time_point now) const
{
    if (from == to)
        return 0us;
    const auto found = this->by_pair.find({from, to});
    if (found == this->by_pair.end() || now - found->second.measured_at > way_validity)
        return default_way;
    return duration{static_cast<duration::rep>(found->second.way_us)};
}

void round_trips::record(const failure_domain_name& to, duration elapsed, time_point now)
{
    const auto [found, is_new] = this->by_domain.try_emplace(to, shortest{elapsed, elapsed, now});
    shortest& known = found->second;
    if (is_new)
        return;
    if (now - known.began_at > round_trip_window) {
        known = {elapsed, known.current, now};
        return;
    }
    known.current = std::min(known.current, elapsed);
}

// The shortest round trips contain hardly any waiting at either node.
std::optional<duration> round_trips::way(const failure_domain_name& own,
                                         const failure_domain_name& to) const
{
    const auto within = this->by_domain.find(own);
    const auto across = this->by_domain.find(to);
    if (within == this->by_domain.end() || across == this->by_domain.end())
        return std::nullopt;
    const auto shortest_of = [](const shortest& of) { return std::min(of.current, of.previous); };
    return std::max(duration{0}, shortest_of(across->second) - shortest_of(within->second));
}

std::vector<failure_domain_name> round_trips::domains() const
{
    std::vector<failure_domain_name> all;
    for (const auto& [domain, known] : this->by_domain)
        all.push_back(domain);
    return all;
}

double domain_demand::decaying::at(time_point now) const
{
    return this->value * std::exp2(-to_us(now - this->updated_at) / to_us(half_life));
}

void domain_demand::decaying::add(time_point now)
{
    this->value = this->at(now) + 1.0;
    this->updated_at = now;
}

/// Events per second of a count that grows by them and decays.
static double rate_of(double decayed_count)
{
    static const double mean_age_us = to_us(half_life) / std::log(2.0);
    return 1e6 * decayed_count / mean_age_us;
}

void domain_demand::clear_waiting(bool keeps)
{
    this->waiting.clear();
    this->keeps_slots = keeps;
}

void domain_demand::add_waiting(const failure_domain_name& domain, service_order order)
{
    ++this->waiting[domain][order];
}

void domain_demand::record_request(const failure_domain_name& domain, time_point now)
{
    this->by_domain[domain].asked.add(now);
}

void domain_demand::record_grant(const failure_domain_name& domain, service_order order,
                                 time_point now)
{
    if (!order.late)
        this->by_domain[domain].in_time.add(now);
    std::uint32_t& count = this->waiting[domain][order];
    count -= count > 0 ? 1 : 0;
}

void domain_demand::record_release(const failure_domain_name& upstreams, time_point now)
{
    this->by_domain[upstreams].released.add(now);
}

std::uint32_t domain_demand::waiting_before(const failure_domain_name& domain,
                                            service_order order) const
{
    const auto found = this->waiting.find(domain);
    if (found == this->waiting.end())
        return 0;
    std::uint32_t total = 0;
    for (const auto& [each, count] : found->second)
        total += each <= order ? count : 0;
    return total;
}

std::uint32_t domain_demand::waiting_at(const failure_domain_name& domain,
                                        service_order order) const
{
    const auto found = this->waiting.find(domain);
    if (found == this->waiting.end())
        return 0;
    const auto count = found->second.find(order);
    return count == found->second.end() ? 0 : count->second;
}

double domain_demand::served_share(const failure_domain_name& domain, time_point now) const
{
    const auto found = this->by_domain.find(domain);
    if (found == this->by_domain.end())
        return 1.0;
    const double asked = found->second.asked.at(now);
    const double in_time = found->second.in_time.at(now);
    return std::min(1.0, (in_time + prior_requests) / (asked + prior_requests));
}

// While two domains lack slots, their callers are served alike: those that are served worse go
// first, up to a margin. When all domains are as full, nobody is served worse, and every slot goes
// to a caller of its own domain. Only requests of the same order count: those before it have been
// offered the slot already and could not use it.
bool domain_demand::may_take(const failure_domain_name& from, service_order order,
                             const failure_domain_name& there, std::uint32_t free_slots,
                             time_point now) const
{
    const std::uint32_t own_waiting = this->keeps_slots ? this->waiting_at(there, order) : 0;
    return own_waiting < free_slots ||
           this->served_share(from, now) + served_margin < this->served_share(there, now);
}

std::optional<duration> domain_demand::own_wait(const failure_domain_name& domain,
                                                service_order order, time_point now) const
{
    const auto found = this->by_domain.find(domain);
    if (found == this->by_domain.end())
        return std::nullopt;
    const double releases = rate_of(found->second.released.at(now));
    if (releases <= 0.0)
        return std::nullopt;
    const double before = std::max(1.0, static_cast<double>(this->waiting_before(domain, order)));
    const double wait_us = std::min(1e6 * before / releases, to_us(1h));
    return duration{static_cast<duration::rep>(wait_us)};
}

duration price_of_leaving(const spill_settings& settings, std::uint64_t tokens)
{
    const auto kilobytes = static_cast<std::int64_t>(tokens * bytes_per_token / bytes_per_kilobyte);
    return settings.cost_per_kilobyte * std::max<std::int64_t>(kilobytes, 1);
}

duration least_saving(duration price, duration budget_left)
{
    return std::max(price, budget_left / clear_saving_divisor);
}

// A cached prompt counts without the price: computing it again costs the callers of the other
// requests there more than the bytes cost.
departure compare_offers(const domain_offer& own, const domain_offer& there, duration least)
{
    const double saved_us = own.first_event_us - there.first_event_us;
    const bool is_cached = own.uncached_tokens >= there.uncached_tokens + min_cached_tokens;
    if (is_cached && saved_us > 0.0)
        return departure::cached;
    if (saved_us > to_us(least))
        return departure::sooner;
    const double saved_in_all_us = own.completion_us - there.completion_us;
    const bool takes_much_longer = own.completion_us > much_longer * there.completion_us;
    return takes_much_longer && saved_in_all_us > to_us(least) ? departure::sooner
                                                               : departure::none;
}

bool is_worth_leaving(duration waited, std::optional<duration> wait, duration budget_left,
                      duration way, duration price)
{
    if (!wait || *wait > budget_left)
        return true;
    return waited + *wait > way + price;
}

} // namespace ragwortcove::core
