#include "call_log.hpp"

#include <cassert>
#include <map>

namespace ragwortcove::bench {

call_record& call_log::add()
{
    call_record& added = this->calls.emplace_back();
    added.number = this->calls.size();
    ++this->open;
    return added;
}

call_record& call_log::at(call_number number)
{
    assert(number > 0 && number <= this->calls.size() && "a call is known by its number");
    return this->calls[number - 1];
}

const call_record& call_log::at(call_number number) const
{
    assert(number > 0 && number <= this->calls.size() && "a call is known by its number");
    return this->calls[number - 1];
}

void call_log::end(call_record& call, call_state state, core::time_point now)
{
    assert(call.state == call_state::open && "a call ends once");
    call.state = state;
    call.current.reset();
    call.ended_at = now;
    --this->open;
}

std::uint64_t call_log::retries() const
{
    std::uint64_t sum = 0;
    for (const call_record& call : this->calls) {
        sum += call.tries > 1 ? call.tries - 1 : 0;
    }
    return sum;
}

namespace {

struct route_samples {
    route_result counts;
    std::vector<core::duration> latency;
    std::vector<core::duration> first_token;
    std::vector<core::duration> between_tokens;
};

} // namespace

static void add_answered(route_samples& into, const call_record& call)
{
    ++into.counts.answered;
    into.latency.push_back(call.ended_at - call.made_at);
    if (call.kind == core::upstream_kind::service) {
        return;
    }
    into.first_token.push_back(*call.first_part - call.made_at);
    if (call.received > 1) {
        const core::duration decoding = *call.last_part - *call.first_part;
        into.between_tokens.push_back(decoding / std::int64_t{call.received - 1});
    }
}

static void add_call(route_samples& into, const call_record& call)
{
    ++into.counts.offered;
    switch (call.state) {
    case call_state::open:
        return;
    case call_state::answered:
        add_answered(into, call);
        return;
    case call_state::refused:
        ++into.counts.refused[call.refusal->reason];
        return;
    case call_state::cut:
        ++into.counts.cut;
        return;
    case call_state::timed_out:
        ++into.counts.timed_out;
        return;
    case call_state::connection_lost:
        ++into.counts.connection_lost;
        return;
    }
}

std::vector<route_result> call_log::results() const
{
    std::map<std::string, route_samples> by_route;
    for (const call_record& call : this->calls) {
        route_samples& samples = by_route[call.route.value];
        samples.counts.route = call.route.value;
        samples.counts.rank = call.rank;
        add_call(samples, call);
    }
    std::vector<route_result> results;
    for (auto& [name, samples] : by_route) {
        samples.counts.latency = percentiles_of(std::move(samples.latency));
        samples.counts.first_token = percentiles_of(std::move(samples.first_token));
        samples.counts.between_tokens = percentiles_of(std::move(samples.between_tokens));
        results.push_back(std::move(samples.counts));
    }
    return results;
}

} // namespace ragwortcove::bench
