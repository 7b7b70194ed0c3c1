#include "ragwortcove/load/load_run.hpp"

#include "load_call.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <utility>

namespace ragwortcove::load {

/// Random part of a retry's delay, at most: doubled with each refusal, up to a limit.
static constexpr double first_jitter_ms = 20.0;
static constexpr double longest_jitter_ms = 2000.0;
static constexpr std::chrono::seconds progress_interval{1};

namespace {

class load_runner {
public:
    load_runner(const load_settings& wanted, std::function<void(const load_progress&)> handler);
    load_outcome run();

private:
    struct class_state {
        const load_class* kind = nullptr;
        std::mt19937_64 random;
        std::chrono::microseconds next{0};
    };
    using call_pointer = std::shared_ptr<load_call>;

    [[nodiscard]] std::chrono::microseconds draw_gap(class_state& of) const;
    void send_due(std::size_t index);
    void send_new(std::size_t index);
    void try_call(const call_pointer& call);
    void send(const call_pointer& call);
    void end_try(const call_pointer& call, const try_outcome& outcome);
    bool retry(const call_pointer& call, const try_outcome& outcome);
    void count(const load_call& call, try_outcome::kind ended) const;
    void report();
    void stop_when_done();

    const load_settings& settings;
    std::function<void(const load_progress&)> progressed;
    http::loop on;
    http::client client;
    address_book book;
    std::mt19937_64 random;
    std::vector<class_state> classes;
    std::vector<class_result> results;
    std::chrono::microseconds started{0};
    std::uint64_t sent = 0;
    std::uint64_t ended = 0;
    std::string run_name;
};

} // namespace

static http::client_settings make_client_settings(const load_settings& settings)
{
    http::client_settings made;
    made.pool_size = settings.connections;
    return made;
}

load_runner::load_runner(const load_settings& wanted,
                         std::function<void(const load_progress&)> handler)
    : settings(wanted), progressed(std::move(handler)),
      client(this->on, make_client_settings(wanted)),
      book(this->on, this->client, wanted.entries, wanted.seed), random(wanted.seed),
      results(wanted.classes.size())
{
    for (const load_class& each : wanted.classes)
        this->classes.push_back({&each, std::mt19937_64(this->random()), {}});
    // Keys have to differ between runs, unlike the load.
    this->run_name = "load" + std::to_string(std::random_device{}());
}

std::chrono::microseconds load_runner::draw_gap(class_state& of) const
{
    const load_class& kind = *of.kind;
    const bool grouped = kind.arrivals == arrival_process::bursts;
    const double mean_seconds = (grouped ? kind.burst_size : 1) / kind.rate_per_second;
    double seconds = mean_seconds;
    if (kind.arrivals != arrival_process::even)
        seconds = std::exponential_distribution<double>(1.0 / mean_seconds)(of.random);
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double>(seconds));
}

void load_runner::send_new(std::size_t index)
{
    class_state& of = this->classes[index];
    auto call = std::make_shared<load_call>();
    call->kind = of.kind;
    call->result = &this->results[index];
    call->counted = of.next - this->started >= this->settings.warm_up;
    call->number = ++this->sent;
    call->intended = of.next;
    call->prompt_tokens = draw_length(of.kind->prompt_tokens, of.random);
    call->output_tokens = draw_length(of.kind->output_tokens, of.random);
    if (call->counted)
        ++call->result->sent;
    this->try_call(call);
}

void load_runner::send_due(std::size_t index)
{
    class_state& of = this->classes[index];
    const auto end = this->started + this->settings.duration;
    const bool grouped = of.kind->arrivals == arrival_process::bursts;
    while (of.next <= this->on.now() && of.next < end) {
        const std::uint32_t group = grouped ? of.kind->burst_size : 1;
        for (std::uint32_t member = 0; member < group; ++member)
            this->send_new(index);
        of.next += this->draw_gap(of);
    }
    if (of.next < end)
        this->on.after(of.next - this->on.now(), [this, index] { this->send_due(index); });
}

void load_runner::try_call(const call_pointer& call)
{
    if (this->settings.direct) {
        call->entry = {*this->settings.direct, 1.0, {}};
        this->send(call);
        return;
    }
    this->book.find(call->kind->route, [this, call](const std::optional<entry_address>& found) {
        if (!found) {
            this->end_try(call, {try_outcome::kind::not_run, std::chrono::milliseconds{0}});
            return;
        }
        call->entry = *found;
        this->send(call);
    });
}

void load_runner::send(const call_pointer& call)
{
    call->head = {0, {}, {}};
    call->body.clear();
    const auto time_left = call->intended + call->kind->timeout - this->on.now();
    if (time_left <= std::chrono::microseconds::zero()) {
        this->end_try(call, {try_outcome::kind::not_run, {}});
        return;
    }
    http::client_handlers handlers;
    handlers.headed = [call](const http::response_head& head) { call->head = head; };
    handlers.body = [this, call](std::string_view part) { take_body(*call, part, this->on.now()); };
    handlers.ended = [this, call] { this->end_try(call, judge_answer(*call)); };
    handlers.failed = [this, call](http::client_error error) {
        if (error == http::client_error::not_sent)
            this->book.forget(call->kind->route, call->entry.address);
        this->end_try(call, judge_failure(*call, error));
    };
    const bool direct = this->settings.direct.has_value();
    this->client.start(make_request(*call, direct, time_left, this->run_name), std::move(handlers));
}

/// Only a request that did not run is sent again, and not before the system wants it back.
bool load_runner::retry(const call_pointer& call, const try_outcome& outcome)
{
    if (outcome.ended != try_outcome::kind::not_run || !outcome.retry_after)
        return false;
    const double most_jitter = std::min(
        longest_jitter_ms, std::ldexp(first_jitter_ms, static_cast<int>(call->refusals++)));
    const double jitter = std::uniform_real_distribution<double>(1.0, most_jitter)(this->random);
    const auto delay =
        *outcome.retry_after + std::chrono::duration_cast<std::chrono::microseconds>(
                                   std::chrono::duration<double, std::milli>(jitter));
    if (this->on.now() + delay >= call->intended + call->kind->timeout)
        return false;
    if (call->counted)
        ++call->result->retries;
    this->on.after(std::chrono::duration_cast<std::chrono::microseconds>(delay),
                   [this, call] { this->try_call(call); });
    return true;
}

void load_runner::count(const load_call& call, try_outcome::kind how) const
{
    if (!call.counted)
        return;
    class_result& result = *call.result;
    switch (how) {
    case try_outcome::kind::answered:
        ++result.answered;
        result.latencies.push_back(this->on.now() - call.intended);
        return;
    case try_outcome::kind::not_run:
        ++result.refused_not_run;
        return;
    case try_outcome::kind::may_have_run:
        ++result.may_have_run;
        return;
    case try_outcome::kind::cut:
        ++result.cut;
        return;
    }
}

void load_runner::end_try(const call_pointer& call, const try_outcome& outcome)
{
    if (this->retry(call, outcome))
        return;
    this->count(*call, outcome.ended);
    ++this->ended;
    this->stop_when_done();
}

void load_runner::stop_when_done()
{
    const bool sending = this->on.now() < this->started + this->settings.duration;
    if (!sending && this->ended == this->sent)
        this->on.stop();
}

void load_runner::report()
{
    if (this->progressed)
        this->progressed({this->on.now() - this->started, this->sent, this->ended});
    this->stop_when_done();
    this->on.after(progress_interval, [this] { this->report(); });
}

load_outcome load_runner::run()
{
    this->started = this->on.now();
    for (std::size_t index = 0; index < this->classes.size(); ++index) {
        this->classes[index].next = this->started + this->draw_gap(this->classes[index]);
        this->send_due(index);
    }
    this->report();
    this->on.after(this->settings.duration, [this] { this->stop_when_done(); });
    this->on.run();
    return {std::move(this->results), this->settings.duration - this->settings.warm_up};
}

load_outcome run_load(const load_settings& settings,
                      const std::function<void(const load_progress&)>& progressed)
{
    load_runner runner(settings, progressed);
    return runner.run();
}

} // namespace ragwortcove::load
