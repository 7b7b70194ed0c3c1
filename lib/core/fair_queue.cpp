#include "ragwortcove/core/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::core {

void fair_queue::push(waiting_ask&& ask)
{
    const request_id request = ask.ask.request;
    assert(!this->places.contains(request) && "a request waits once");
    const lane_key key{ask.ask.team, ask.is_long, ask.ask.version, ask.ask.avoid};
    rank_state& rank = this->ranks[ask.rank];
    lane& to = rank.lanes[key];
    this->places[request] = place{ask.rank, key, ask.expires};
    this->expiries.insert({ask.expires, request});
    (ask.is_long ? rank.long_cost : rank.short_cost) += ask.cost;
    if (to.waiting.empty()) {
        // A lane that comes back does not get credit for the time it was away.
        to.start = std::max(to.start, rank.virtual_now);
        rank.order.insert({to.start, key});
    }
    to.waiting.push_back(std::move(ask));
}

waiting_ask fair_queue::remove(std::uint32_t rank, const lane_key& key, std::size_t index)
{
    rank_state& of = this->ranks.at(rank);
    lane& from = of.lanes.at(key);
    waiting_ask taken = std::move(from.waiting[index]);
    from.waiting.erase(from.waiting.begin() + static_cast<std::ptrdiff_t>(index));
    (taken.is_long ? of.long_cost : of.short_cost) -= taken.cost;
    this->places.erase(taken.ask.request);
    this->expiries.erase({taken.expires, taken.ask.request});
    if (from.waiting.empty())
        of.order.erase({from.start, key});
    if (of.order.empty())
        this->ranks.erase(rank);
    return taken;
}

std::optional<waiting_ask>
fair_queue::take_first(const std::function<bool(const waiting_ask&)>& fits)
{
    for (auto& [number, rank] : this->ranks) {
        for (const auto& [start, key] : rank.order) {
            lane& from = rank.lanes.at(key);
            if (!fits(from.waiting.front()))
                continue;
            const lane_key chosen = key;
            const waiting_ask& head = from.waiting.front();
            const double length = static_cast<double>(head.cost.count()) / head.weight;
            rank.virtual_now = std::max(rank.virtual_now, start);
            rank.order.erase({from.start, chosen});
            from.start += length;
            rank.order.insert({from.start, chosen});
            return this->remove(number, chosen, 0);
        }
    }
    return std::nullopt;
}

std::optional<waiting_ask> fair_queue::take_lowest_above(std::uint32_t rank)
{
    if (this->ranks.empty() || this->ranks.rbegin()->first <= rank)
        return std::nullopt;
    const std::uint32_t lowest = this->ranks.rbegin()->first;
    const rank_state& of = this->ranks.rbegin()->second;
    lane_key youngest = of.order.begin()->second;
    for (const auto& [start, key] : of.order) {
        if (of.lanes.at(key).waiting.back().arrived > of.lanes.at(youngest).waiting.back().arrived)
            youngest = key;
    }
    return this->remove(lowest, youngest, of.lanes.at(youngest).waiting.size() - 1);
}

std::optional<waiting_ask> fair_queue::erase(const request_id& request)
{
    const auto found = this->places.find(request);
    if (found == this->places.end())
        return std::nullopt;
    const place where = found->second;
    const std::deque<waiting_ask>& waiting = this->ranks.at(where.rank).lanes.at(where.key).waiting;
    const auto at = std::find_if(waiting.begin(), waiting.end(), [&](const waiting_ask& candidate) {
        return candidate.ask.request == request;
    });
    assert(at != waiting.end() && "a known place holds its request");
    return this->remove(where.rank, where.key, static_cast<std::size_t>(at - waiting.begin()));
}

std::vector<waiting_ask> fair_queue::take_expired(time_point now)
{
    std::vector<waiting_ask> expired;
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const request_id request = this->expiries.begin()->second;
        std::optional<waiting_ask> taken = this->erase(request);
        assert(taken && "an expiry belongs to a waiting request");
        expired.push_back(std::move(*taken));
    }
    return expired;
}

std::vector<waiting_ask> fair_queue::take_all()
{
    std::vector<waiting_ask> all;
    while (!this->places.empty()) {
        std::optional<waiting_ask> taken = this->erase(this->places.begin()->first);
        all.push_back(std::move(*taken));
    }
    return all;
}

bool fair_queue::contains(const request_id& request) const
{
    return this->places.contains(request);
}

time_point fair_queue::next_expiry() const
{
    return this->expiries.empty() ? time_point::max() : this->expiries.begin()->first;
}

duration fair_queue::queued_cost(std::uint32_t rank, bool short_only) const
{
    duration total{0};
    for (const auto& [number, of] : this->ranks) {
        if (number > rank)
            break;
        total += short_only ? of.short_cost : of.short_cost + of.long_cost;
    }
    return total;
}

std::uint32_t fair_queue::lowest_rank() const
{
    return this->ranks.empty() ? 0 : this->ranks.rbegin()->first;
}

} // namespace ragwortcove::core
