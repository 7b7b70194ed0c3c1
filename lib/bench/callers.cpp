// Callers: open-loop arrivals, addresses, keys and retries as callers are asked to do them.
#include "run_state.hpp"

#include <algorithm>
#include <cmath>

namespace ragwortcove::bench {

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

/// Most tries of one call.
static constexpr std::uint32_t most_tries = 4;
/// Tries that a lost connection allows: for calls that may be repeated, and for calls with a key.
static constexpr std::uint32_t most_lost_connections = 2;
static constexpr duration first_retry_wait = 100ms;
static constexpr duration longest_retry_wait = 5s;
static constexpr duration connect_timeout = 1s;
/// Wait before the next question when no address was to be had.
static constexpr duration address_retry_after = 300ms;
/// Longest wait for an answer to the question for addresses.
static constexpr duration address_answer_limit = 1s;

/// Spreads numbers over all 64 bits, so that prefix hashes of unlike texts differ.
static std::uint64_t mix(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

void runner::state::schedule_arrival(std::size_t traffic)
{
    const traffic_plan& arriving = this->plan.traffic[traffic];
    const bool engine = route_of(this->plan, arriving.route).kind == core::upstream_kind::engine;
    const double all = engine ? this->engine_requests_per_second
                              : this->plan.service_calls_per_second * this->settings.load;
    const double rate = all * arriving.share * this->load_factor;
    if (rate <= 0.0) {
        return;
    }
    constexpr double microseconds_per_second = 1e6;
    const double wait = this->arrivals[traffic].exponential(microseconds_per_second / rate);
    this->queue.after(duration{std::llround(wait)}, [this, traffic] { this->arrive(traffic); });
}

void runner::state::arrive(std::size_t traffic)
{
    if (!this->sending) {
        return;
    }
    this->launch(this->make_call(this->plan.traffic[traffic], this->arrivals[traffic]));
    this->schedule_arrival(traffic);
}

static std::uint32_t draw_length(standin::random_source& random, const length_range& range)
{
    return static_cast<std::uint32_t>(std::llround(random.log_uniform(range.least, range.most)));
}

call_record& runner::state::make_call(const traffic_plan& traffic, standin::random_source& source)
{
    const core::route_spec& route = route_of(this->plan, traffic.route);
    call_record& call = this->calls.add();
    call.route = traffic.route;
    call.team = traffic.team;
    call.target = route.target;
    call.rank = rank_of(this->plan, traffic.route);
    call.kind = route.kind;
    call.idempotent = route.idempotent;
    call.streaming = traffic.streaming;
    call.caller = source.below(this->callers.size());
    call.made_at = this->now();
    call.deadline = this->now() + route.timeout;
    if (route.kind == core::upstream_kind::service) {
        call.answer_length = this->plan.services.front().service.answer_bytes;
        return call;
    }
    call.prompt_tokens = draw_length(source, traffic.prompt_tokens);
    call.answer_length = draw_length(source, traffic.output_tokens);
    call.max_output_tokens = static_cast<std::uint32_t>(traffic.output_tokens.most);
    add_prefix(call, traffic, source);
    return call;
}

void runner::state::add_prefix(call_record& call, const traffic_plan& traffic,
                               standin::random_source& source)
{
    const std::uint64_t group = source.below(traffic.shared_prefixes);
    const std::uint64_t shared = mix(std::hash<std::string>{}(traffic.route.value) + group);
    const std::uint32_t blocks = call.prompt_tokens / core::prefix_block_tokens;
    const std::uint32_t shared_blocks = traffic.shared_prefix_tokens / core::prefix_block_tokens;
    const std::uint64_t own =
        mix(static_cast<std::uint64_t>(call.made_at.time_since_epoch().count()) ^ shared);
    std::uint64_t chained = 0;
    for (std::uint32_t block = 0; block < blocks; ++block) {
        const std::uint64_t text = block < shared_blocks ? shared : own;
        chained = mix(chained ^ (text + block));
        call.prefix.push_back({chained});
    }
}

void runner::state::launch(call_record& call)
{
    this->queue.at(call.deadline, [this, number = call.number] { this->deadline_reached(number); });
    this->try_call(call.number);
}

void runner::state::try_call(call_number number)
{
    call_record& call = this->calls.at(number);
    if (call.state != call_state::open) {
        return;
    }
    if (call.fixed_entry) {
        this->send_try(call, *call.fixed_entry, {});
        return;
    }
    caller_process& caller = this->callers[call.caller];
    if (caller.addresses.empty() || this->now() >= caller.known_until) {
        caller.waiting.push_back(number);
        if (!caller.asking) {
            this->ask_addresses(call.caller);
        }
        return;
    }
    double all = 0.0;
    for (const core::offered_address& address : caller.addresses) {
        all += address.weight;
    }
    double left = this->random.uniform() * all;
    const core::offered_address* chosen = &caller.addresses.back();
    for (const core::offered_address& address : caller.addresses) {
        left -= address.weight;
        if (left < 0.0) {
            chosen = &address;
            break;
        }
    }
    for (const node_process& node : this->nodes) {
        if (node.plan.callers == chosen->address) {
            this->send_try(call, node.index, chosen->proof);
            return;
        }
    }
    std::erase_if(caller.addresses, [&](const auto& address) { return &address == chosen; });
    this->queue.after(first_retry_wait, [this, number] { this->try_call(number); });
}

void runner::state::ask_addresses(std::size_t caller)
{
    this->callers[caller].asking = true;
    const std::size_t asked = this->random.below(this->nodes.size());
    const duration delay = this->links.draw_delay({place_kind::caller, 0}, {});
    this->queue.after(delay, [this, caller, asked] {
        node_process& node = this->nodes[asked];
        if (!node.core) {
            this->queue.after(node.vm_lost ? connect_timeout : 3ms,
                              [this, caller] { this->addresses_known(caller, {}, 0s); });
            return;
        }
        const core::exchange_id exchange{++node.last_exchange};
        node.exchanges[exchange] = {0, caller, this->now(), 0, {}};
        this->queue.after(address_answer_limit, [this, asked, run = node.run, exchange, caller] {
            node_process& silent = this->nodes[asked];
            if (silent.core && silent.run == run && silent.exchanges.erase(exchange) > 0) {
                this->step(silent, core::caller_gone{exchange});
                this->addresses_known(caller, {}, 0s);
            }
        });
        const core::route_name route = this->plan.traffic.front().route;
        this->step(node, core::addresses_requested{exchange, route});
    });
}

void runner::state::addresses_known(std::size_t index, std::vector<core::offered_address> addresses,
                                    duration time_to_live)
{
    caller_process& caller = this->callers[index];
    if (!caller.asking) {
        return;
    }
    if (addresses.empty()) {
        this->queue.after(address_retry_after, [this, index] { this->ask_addresses(index); });
        return;
    }
    caller.asking = false;
    caller.addresses = std::move(addresses);
    caller.known_until = this->now() + time_to_live;
    std::vector<call_number> waiting;
    waiting.swap(caller.waiting);
    for (const call_number number : waiting) {
        this->try_call(number);
    }
}

void runner::state::send_try(call_record& call, std::size_t node, const core::ticket& proof)
{
    ++call.tries;
    if (!call.idempotent && call.key.empty()) {
        call.key = core::format_ticket(proof) + ".call-" + std::to_string(call.number);
    }
    const duration delay = this->links.draw_delay({place_kind::caller, 0}, {});
    this->queue.after(delay,
                      [this, number = call.number, node] { this->try_arrived(number, node); });
}

void runner::state::try_arrived(call_number number, std::size_t index)
{
    call_record& call = this->calls.at(number);
    if (call.state != call_state::open) {
        return;
    }
    node_process& node = this->nodes[index];
    if (!node.core) {
        this->queue.after(node.vm_lost ? connect_timeout : 3ms,
                          [this, number, index] { this->entry_unreachable(number, index); });
        return;
    }
    const core::exchange_id exchange{++node.last_exchange};
    node.exchanges[exchange] = {number, call.caller, this->now(), 0, {}};
    call.current = try_id{node.run, exchange};
    call.received = 0;
    call.first_part.reset();
    core::caller_request request;
    request.route = call.route;
    request.team = call.team;
    if (!call.key.empty()) {
        request.key = core::parse_idempotency_key(call.key);
    }
    request.timeout = call.deadline - this->now();
    request.prompt_tokens = call.prompt_tokens;
    request.max_output_tokens = call.max_output_tokens;
    request.prefix = call.prefix;
    request.streaming = call.streaming;
    this->step(node, core::request_arrived{exchange, std::move(request)});
}

void runner::state::entry_unreachable(call_number number, std::size_t index)
{
    call_record& call = this->calls.at(number);
    if (call.state != call_state::open) {
        return;
    }
    caller_process& caller = this->callers[call.caller];
    const core::endpoint gone = this->nodes[index].plan.callers;
    std::erase_if(caller.addresses,
                  [&](const core::offered_address& address) { return address.address == gone; });
    this->queue.after(first_retry_wait, [this, number] { this->try_call(number); });
}

bool runner::state::is_current(call_number number, const try_id& tried) const
{
    const call_record& call = this->calls.at(number);
    return call.state == call_state::open && call.current == tried;
}

void runner::state::part_received(call_number number, const try_id& tried, std::uint32_t count)
{
    if (!this->is_current(number, tried)) {
        return;
    }
    call_record& call = this->calls.at(number);
    call.received += count;
    if (!call.first_part) {
        call.first_part = this->now();
    }
    call.last_part = this->now();
}

void runner::state::whole_received(call_number number, const try_id& tried)
{
    if (this->is_current(number, tried)) {
        this->calls.end(this->calls.at(number), call_state::answered, this->now());
    }
}

void runner::state::refusal_received(call_number number, const try_id& tried,
                                     const core::refusal& answer, bool cut)
{
    if (!this->is_current(number, tried)) {
        return;
    }
    call_record& call = this->calls.at(number);
    call.refusal = answer;
    call.current.reset();
    // The rule for callers: only what was not run is sent again, and not at once.
    const bool retries = !cut && answer.outcome == core::verdict::not_run &&
                         answer.retry_after > duration{0} && call.tries < most_tries;
    if (!retries) {
        this->calls.end(call, cut ? call_state::cut : call_state::refused, this->now());
        return;
    }
    const duration longest =
        std::min(longest_retry_wait, first_retry_wait * (std::int64_t{1} << call.tries));
    const duration wait = answer.retry_after + this->random.between(duration{0}, longest);
    if (this->now() + wait >= call.deadline) {
        this->calls.end(call, call_state::refused, this->now());
        return;
    }
    this->queue.after(wait, [this, number] { this->try_call(number); });
}

void runner::state::connection_lost(call_number number, const try_id& tried)
{
    if (!this->is_current(number, tried)) {
        return;
    }
    call_record& call = this->calls.at(number);
    call.current.reset();
    ++call.connections_lost;
    // A key makes it safe to ask again, and so does a route that may be repeated.
    if (call.received == 0 && call.connections_lost < most_lost_connections) {
        this->queue.after(first_retry_wait, [this, number] { this->try_call(number); });
        return;
    }
    this->calls.end(call, call_state::connection_lost, this->now());
}

void runner::state::deadline_reached(call_number number)
{
    call_record& call = this->calls.at(number);
    if (call.state != call_state::open) {
        return;
    }
    const std::optional<try_id> tried = call.current;
    this->calls.end(call, call_state::timed_out, this->now());
    if (!tried) {
        return;
    }
    for (node_process& node : this->nodes) {
        if (!node.core || node.run != tried->entry || node.exchanges.erase(tried->exchange) == 0) {
            continue;
        }
        this->deliver_event(node.index, node.run, core::caller_gone{tried->exchange}, 3ms);
    }
}

} // namespace ragwortcove::bench
