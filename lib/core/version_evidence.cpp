#include "ragwortcove/core/version_evidence.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Step of a running median, as a share of its value, towards a sample.
static constexpr double median_step = 0.03;
static constexpr std::uint32_t median_least_samples = 8;
/// An answer is slow when it took so many times the old version's median. The time to the first
/// token varies more: it holds the wait for other prompts.
struct slow_factors {
    double first_token = 1.0;
    double between_tokens = 1.0;
};
static constexpr slow_factors same_hardware{3.0, 2.0};
/// The same where upstreams of unlike speed are held against each other.
static constexpr slow_factors unlike_hardware{6.0, 3.0};
/// Time between two pairs of one upstream, so that a short stall of one VM is one observation.
static constexpr duration pair_period = 1s;
/// The same where a single upstream serves the new version, which no other can bear out.
static constexpr duration lone_pair_period = 3s;
/// How long an answer of the old version stands for "the same moment", and for how many answers.
static constexpr duration same_moment = 20s;
static constexpr std::uint32_t most_uses = 4;
/// Connections that break together, within this time, are one failure.
static constexpr duration crash_time = 2s;

/// Shares of pairs in which only the new version is slow: still good, and bad.
static constexpr double good_slow_rate = 0.15;
static constexpr double bad_slow_rate = 0.7;
/// Shares of failures: still good at least, and bad at least.
static constexpr double least_good_failure_rate = 0.02;
static constexpr double most_good_failure_rate = 0.3;
static constexpr double least_bad_failure_rate = 0.2;

/// Failures: the sum over the upstreams at which the version is bad, and suspicious, and what one
/// upstream adds: nothing for a single failure, and never enough alone, since one VM proves
/// nothing.
static constexpr double bad_sum = 8.0;
static constexpr double suspicious_sum = 6.0;
static constexpr double least_addend = 3.0;
static constexpr double most_for_bad = 5.0;
static constexpr double most_for_suspicion = 3.0;
/// What a single upstream must show by itself.
static constexpr double lone_failing_sum = 12.0;
static constexpr double lone_suspicious_sum = 4.5;

/// An upstream with such a sum is slow.
static constexpr double slow_sum = 3.0;
/// Upstreams that were judged within this time count.
static constexpr duration judged_lately = 60s;
/// One in so many may be fast though the version is slow.
static constexpr std::size_t one_fast_in = 5;

namespace {
/// What makes a version that is slow on its upstreams bad: for how long they have been slow
/// together, and how sure it is for each.
struct slow_rule {
    duration together{0};
    double sum = slow_sum;
};
} // namespace

// Single VMs stall for a while now and then. The fewer upstreams there are, the more often all of
// them stall together by chance, and the longer that has to last to mean something.
static slow_rule slow_rule_for(std::size_t upstreams)
{
    switch (upstreams) {
    case 0:
    case 1:
        return {35s, 7.0};
    case 2:
        return {25s, 4.5};
    case 3:
        return {12s, slow_sum};
    }
    return {6s, slow_sum};
}

void running_median::add(duration sample)
{
    const double value = std::log(static_cast<double>(std::max<duration::rep>(1, sample.count())));
    ++this->samples;
    if (this->samples <= median_least_samples) {
        this->log_value += (value - this->log_value) / this->samples;
        return;
    }
    this->log_value += value > this->log_value ? median_step : -median_step;
}

std::optional<duration> running_median::value() const
{
    if (this->samples < median_least_samples)
        return std::nullopt;
    const double log = std::max(this->log_value, this->floor.value_or(this->log_value));
    return duration{static_cast<duration::rep>(std::exp(log))};
}

void cumulative_test::add(std::uint32_t bad, std::uint32_t good, double good_rate, double bad_rate)
{
    const double for_bad = std::log(bad_rate / good_rate);
    const double for_good = std::log((1.0 - bad_rate) / (1.0 - good_rate));
    this->total = std::clamp(this->total + bad * for_bad + good * for_good, 0.0, this->max);
}

template <class Key>
static std::optional<bool> is_over(duration sample, double factor,
                                   const std::map<Key, running_median>& usual, const Key& key)
{
    const auto found = usual.find(key);
    if (found == usual.end() || sample.count() == 0)
        return std::nullopt;
    const std::optional<duration> median = found->second.value();
    if (!median)
        return std::nullopt;
    return static_cast<double>(sample.count()) > factor * static_cast<double>(median->count());
}

static std::pair<std::string, unsigned> first_token_key(const attempt_observation& seen)
{
    return {seen.hardware, static_cast<unsigned>(std::bit_width(seen.computed_tokens))};
}

// Unset while too little is known of the old version to judge by.
std::optional<bool> move_evidence::is_slow(const attempt_observation& seen) const
{
    const slow_factors factors = seen.hardware.empty() ? unlike_hardware : same_hardware;
    const std::optional<bool> to_first = is_over(seen.first_token_after, factors.first_token,
                                                 this->first_token, first_token_key(seen));
    const std::optional<bool> between =
        is_over(seen.between_tokens, factors.between_tokens, this->between_tokens, seen.hardware);
    if (!to_first && !between)
        return std::nullopt;
    return to_first.value_or(false) || between.value_or(false);
}

bool move_evidence::upstream_state::has_results() const
{
    const auto tells = [](const version_evidence& record) {
        return record.new_completed + record.new_failed > 0;
    };
    return tells(this->own) || std::any_of(this->received.begin(), this->received.end(),
                                           [&](const auto& entry) { return tells(entry.second); });
}

std::size_t move_evidence::upstreams_seen() const
{
    return static_cast<std::size_t>(
        std::count_if(this->upstreams.begin(), this->upstreams.end(),
                      [](const auto& entry) { return entry.second.has_results(); }));
}

move_evidence::upstream_state& move_evidence::state_of(const upstream_name& upstream)
{
    upstream_state& found = this->upstreams[upstream];
    found.own.move = this->name;
    found.own.finish_by = this->finish_by;
    found.own.upstream = upstream;
    return found;
}

// When traffic leaves the old version it gets faster, which is no fault of the new one: what was
// usual before the first request of the new version stays the least to judge by.
void move_evidence::set_median_floors()
{
    for (auto& [key, median] : this->first_token)
        median.set_floor();
    for (auto& [key, median] : this->between_tokens)
        median.set_floor();
}

void move_evidence::observe(const attempt_observation& seen, std::size_t senders, time_point now)
{
    ++this->changes;
    if (!seen.on_new_version) {
        this->observe_old(seen, now);
        return;
    }
    if (this->upstreams_seen() == 0)
        this->set_median_floors();
    this->observe_new(seen, senders, now);
}

void move_evidence::observe_old(const attempt_observation& seen, time_point now)
{
    upstream_state& state = this->state_of({});
    const version_evidence before = state.own;
    if (seen.failed) {
        ++state.own.old_failed;
        this->update_tests(state, before, state.own, now);
        return;
    }
    ++state.own.old_completed;
    if (this->is_slow(seen).value_or(false))
        ++state.own.old_slow;
    this->update_tests(state, before, state.own, now);
    this->update_baseline(seen, now);
    if (seen.hardware.empty())
        return;
    attempt_observation any = seen;
    any.hardware.clear();
    this->update_baseline(any, now);
}

void move_evidence::update_baseline(const attempt_observation& seen, time_point now)
{
    const std::optional<bool> slow = this->is_slow(seen);
    if (slow)
        this->last_old[seen.hardware] = old_observation{now, *slow, 0};
    this->first_token[first_token_key(seen)].add(seen.first_token_after);
    if (seen.between_tokens.count() > 0)
        this->between_tokens[seen.hardware].add(seen.between_tokens);
}

void move_evidence::observe_new(const attempt_observation& seen, std::size_t senders,
                                time_point now)
{
    upstream_state& state = this->state_of(seen.upstream);
    const version_evidence before = state.own;
    if (!seen.failed) {
        ++state.own.new_completed;
        this->compare_with_old(state, seen, senders, now);
    }
    else if (!seen.connection_failed || now >= state.next_connection_failure) {
        ++state.own.new_failed;
        if (seen.connection_failed)
            state.next_connection_failure = now + crash_time;
    }
    this->update_tests(state, before, state.own, now);
}

// Slow is judged in pairs: an answer of the new version against the old version's last one on the
// same hardware at this node. What slows both down shows in both and proves nothing. Pairs of one
// upstream are thinned out, since answers during one stall of one VM are not independent.
void move_evidence::compare_with_old(upstream_state& state, const attempt_observation& seen,
                                     std::size_t senders, time_point now)
{
    const std::optional<bool> slow = this->is_slow(seen);
    const auto last = this->last_old.find(seen.hardware);
    if (!slow || now < state.next_pair || last == this->last_old.end())
        return;
    old_observation& old = last->second;
    if (now - old.at > same_moment || old.uses >= most_uses)
        return;
    ++old.uses;
    ++state.own.pairs;
    if (*slow && !old.slow)
        ++state.own.new_slow;
    const duration period = this->upstreams_seen() > 1 ? pair_period : lone_pair_period;
    state.next_pair = now + period * static_cast<std::int64_t>(std::max<std::size_t>(1, senders));
}

double move_evidence::good_failure_rate() const
{
    // Half a failure in fifty stands for what is not known yet.
    const double seen = (this->old_failed + 0.5) /
                        (static_cast<double>(this->old_completed + this->old_failed) + 50);
    return std::clamp(2.0 * seen, least_good_failure_rate, most_good_failure_rate);
}

void move_evidence::update_tests(upstream_state& state, const version_evidence& before,
                                 const version_evidence& after, time_point now)
{
    const std::uint32_t pairs = after.pairs - before.pairs;
    const std::uint32_t slow = after.new_slow - before.new_slow;
    const std::uint32_t failed = after.new_failed - before.new_failed;
    const std::uint32_t completed = after.new_completed - before.new_completed;
    this->old_completed += after.old_completed - before.old_completed;
    this->old_failed += after.old_failed - before.old_failed;
    this->new_completed += completed;
    this->new_pairs += pairs;
    if (pairs > 0) {
        state.last_pair_at = now;
        state.slow.add(slow, pairs - slow, good_slow_rate, bad_slow_rate);
        if (state.slow.sum() < slow_sum)
            state.slow_since.reset();
        else if (!state.slow_since)
            state.slow_since = now;
    }
    const double good_rate = this->good_failure_rate();
    state.failing.add(failed, completed, good_rate,
                      std::max(least_bad_failure_rate, 2 * good_rate));
}

// Datagrams may come late: only a record that is at or past the last one in every count is taken.
static bool is_at_or_past(const version_evidence& record, const version_evidence& last)
{
    return record.pairs >= last.pairs && record.new_completed >= last.new_completed &&
           record.new_failed >= last.new_failed && record.new_slow >= last.new_slow &&
           record.old_completed >= last.old_completed && record.old_failed >= last.old_failed &&
           record.old_slow >= last.old_slow;
}

void move_evidence::merge(incarnation sender, const version_evidence& record, time_point now)
{
    const bool consistent = record.new_slow <= record.pairs && record.pairs <= record.new_completed;
    if (!consistent)
        return;
    upstream_state& state = this->state_of(record.upstream);
    version_evidence& last = state.received[sender];
    if (!is_at_or_past(record, last))
        return;
    const version_evidence before = last;
    last = record;
    this->update_tests(state, before, record, now);
}

static double addend(double sum, double most)
{
    return sum < least_addend ? 0.0 : std::min(sum, most);
}

evidence_level move_evidence::failing_level() const
{
    const bool lone = this->upstreams_seen() <= 1;
    double bad = 0.0;
    double suspicious = 0.0;
    for (const auto& [upstream, state] : this->upstreams) {
        const double sum = state.failing.sum();
        bad += lone ? sum : addend(sum, most_for_bad);
        suspicious += lone ? sum : addend(sum, most_for_suspicion);
    }
    if (bad >= (lone ? lone_failing_sum : bad_sum))
        return evidence_level::bad;
    if (suspicious >= (lone ? lone_suspicious_sum : suspicious_sum))
        return evidence_level::suspicious;
    return evidence_level::clear;
}

evidence_level move_evidence::slow_level(time_point now) const
{
    std::size_t judged = 0;
    std::vector<const upstream_state*> slow;
    for (const auto& [upstream, state] : this->upstreams) {
        if (!state.last_pair_at || now - *state.last_pair_at > judged_lately)
            continue;
        ++judged;
        if (state.slow_since)
            slow.push_back(&state);
    }
    const std::size_t needed = judged - judged / one_fast_in;
    if (judged == 0 || slow.size() < needed)
        return evidence_level::clear;
    const slow_rule rule = slow_rule_for(judged);
    const auto proves = [&](const upstream_state* state) {
        return state->slow.sum() >= rule.sum && now - *state->slow_since >= rule.together;
    };
    const auto proven = static_cast<std::size_t>(std::count_if(slow.begin(), slow.end(), proves));
    return proven >= needed ? evidence_level::bad : evidence_level::suspicious;
}

evidence_level move_evidence::level(time_point now) const
{
    return std::max(this->failing_level(), this->slow_level(now));
}

std::string move_evidence::describe() const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << "passed " << this->new_completed << ", pairs "
         << this->new_pairs;
    for (const auto& [upstream, state] : this->upstreams) {
        if (state.has_results())
            text << "; " << upstream.value << " failing " << state.failing.sum() << " slow "
                 << state.slow.sum();
    }
    return text.str();
}

std::vector<version_evidence> move_evidence::own_records() const
{
    std::vector<version_evidence> records;
    for (const auto& [upstream, state] : this->upstreams) {
        records.push_back(state.own);
        records.back().brake = this->halted;
    }
    return records;
}

} // namespace ragwortcove::core
