#include "ragwortcove/core/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace ragwortcove::core {

void fair_queue::push(queued_request&& queued)
{
    const request_id request = queued.received.request;
    assert(!this->positions.contains(request) && "a request waits once");
    const lane_key key{queued.received.team, queued.is_long, queued.received.version,
                       queued.received.avoid};
    rank_state& rank = this->ranks[queued.rank];
    lane& target = rank.lanes[key];
    this->positions[request] = position{queued.rank, key, queued.expires_at};
    this->expiries.insert({queued.expires_at, request});
    (queued.is_long ? rank.long_cost : rank.short_cost) += queued.cost;
    if (target.waiting.empty()) {
        // A lane that was empty gets no credit for that time.
        target.start = rank.clock.start_after(target.start);
        rank.order.insert({target.start, key});
    }
    target.waiting.push_back(std::move(queued));
}

queued_request fair_queue::remove(std::uint32_t rank, const lane_key& key, std::size_t index)
{
    rank_state& state = this->ranks.at(rank);
    lane& from = state.lanes.at(key);
    queued_request taken = std::move(from.waiting[index]);
    from.waiting.erase(from.waiting.begin() + static_cast<std::ptrdiff_t>(index));
    (taken.is_long ? state.long_cost : state.short_cost) -= taken.cost;
    this->positions.erase(taken.received.request);
    this->expiries.erase({taken.expires_at, taken.received.request});
    if (from.waiting.empty())
        state.order.erase({from.start, key});
    if (state.order.empty())
        this->ranks.erase(rank);
    return taken;
}

std::optional<queued_request>
fair_queue::take_first(const std::function<bool(const queued_request&)>& fits)
{
    for (auto& [number, rank] : this->ranks) {
        for (const auto& [start, key] : rank.order) {
            lane& from = rank.lanes.at(key);
            if (!fits(from.waiting.front()))
                continue;
            const lane_key chosen = key;
            const queued_request& head = from.waiting.front();
            const double length = static_cast<double>(head.cost.count()) / head.weight;
            rank.order.erase({from.start, chosen});
            from.start = rank.clock.serve(from.start, length);
            rank.order.insert({from.start, chosen});
            return this->remove(number, chosen, 0);
        }
    }
    return std::nullopt;
}

std::optional<queued_request> fair_queue::take_lowest_above(std::uint32_t rank)
{
    if (this->ranks.empty() || this->ranks.rbegin()->first <= rank)
        return std::nullopt;
    const std::uint32_t lowest = this->ranks.rbegin()->first;
    const rank_state& state = this->ranks.rbegin()->second;
    lane_key youngest = state.order.begin()->second;
    for (const auto& [start, key] : state.order) {
        if (state.lanes.at(key).waiting.back().arrived_at >
            state.lanes.at(youngest).waiting.back().arrived_at)
            youngest = key;
    }
    return this->remove(lowest, youngest, state.lanes.at(youngest).waiting.size() - 1);
}

std::optional<queued_request> fair_queue::erase(const request_id& request)
{
    const auto found = this->positions.find(request);
    if (found == this->positions.end())
        return std::nullopt;
    const position found_position = found->second;
    const std::deque<queued_request>& waiting =
        this->ranks.at(found_position.rank).lanes.at(found_position.key).waiting;
    const auto at =
        std::find_if(waiting.begin(), waiting.end(), [&](const queued_request& candidate) {
            return candidate.received.request == request;
        });
    assert(at != waiting.end() && "an indexed request is in its lane");
    return this->remove(found_position.rank, found_position.key,
                        static_cast<std::size_t>(at - waiting.begin()));
}

std::vector<queued_request> fair_queue::take_expired(time_point now)
{
    std::vector<queued_request> expired;
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const request_id request = this->expiries.begin()->second;
        std::optional<queued_request> taken = this->erase(request);
        assert(taken && "an expiry belongs to a waiting request");
        expired.push_back(std::move(*taken));
    }
    return expired;
}

std::vector<queued_request> fair_queue::take_all()
{
    std::vector<queued_request> all;
    while (!this->positions.empty()) {
        std::optional<queued_request> taken = this->erase(this->positions.begin()->first);
        all.push_back(std::move(*taken));
    }
    return all;
}

bool fair_queue::contains(const request_id& request) const
{
    return this->positions.contains(request);
}

time_point fair_queue::next_expiry() const
{
    return this->expiries.empty() ? time_point::max() : this->expiries.begin()->first;
}

duration fair_queue::queued_cost(std::uint32_t rank, bool short_only) const
{
    duration total{0};
    for (const auto& [number, state] : this->ranks) {
        if (number > rank)
            break;
        total += short_only ? state.short_cost : state.short_cost + state.long_cost;
    }
    return total;
}

std::uint32_t fair_queue::lowest_rank() const
{
    return this->ranks.empty() ? 0 : this->ranks.rbegin()->first;
}

} // namespace ragwortcove::core
