#include "ragwortcove/core/version_evidence.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Step of a running median towards a sample, as a share of its value.
static constexpr double median_step = 0.03;
static constexpr std::uint32_t min_median_samples = 8;
/// A response is slow when a time exceeds the old version's median by this factor. The time to the
/// first token varies more, since it includes the wait for other prompts.
struct slow_factors {
    double first_token = 1.0;
    double between_tokens = 1.0;
};
static constexpr slow_factors same_hardware{3.0, 2.0};
/// The same where upstreams of different speed are compared with each other.
static constexpr slow_factors different_hardware{6.0, 3.0};
/// Minimum time between two pairs of one upstream, so that a short stall of one VM is one
/// observation.
static constexpr duration pair_period = 1s;
/// The same where a single upstream serves the new version, so that no other can confirm a result.
static constexpr duration single_upstream_pair_period = 3s;
/// How long a response of the old version counts as simultaneous, and in how many pairs it is used.
static constexpr duration max_pair_age = 20s;
static constexpr std::uint32_t max_uses = 4;
/// Connections that fail together, within this time, are one failure.
static constexpr duration crash_window = 2s;

/// Rates of pairs in which only the new version is slow: of a version that is still good, and of a
/// bad one.
static constexpr double good_slow_rate = 0.15;
static constexpr double bad_slow_rate = 0.7;
/// Failure rates: minimum and maximum of the rate that is still good, and minimum of the bad rate.
static constexpr double min_good_failure_rate = 0.02;
static constexpr double max_good_failure_rate = 0.3;
static constexpr double min_bad_failure_rate = 0.2;

/// Failures: the sums over the upstreams at which the version is bad, and suspicious, and the
/// limits of what one upstream adds: nothing for a single failure, and never enough alone, since
/// the fault may be that of one VM.
static constexpr double bad_sum = 8.0;
static constexpr double suspicious_sum = 6.0;
static constexpr double min_addend = 3.0;
static constexpr double max_bad_addend = 5.0;
static constexpr double max_suspicious_addend = 3.0;
/// The same sums where a single upstream serves the new version.
static constexpr double single_upstream_bad_sum = 12.0;
static constexpr double single_upstream_suspicious_sum = 4.5;

/// An upstream with at least this sum is slow.
static constexpr double slow_sum = 3.0;
/// Only upstreams with a pair within this time count.
static constexpr duration recent_pair_window = 60s;
/// One upstream in this many may be fast although the version is slow.
static constexpr std::size_t upstreams_per_fast_one = 5;

namespace {
/// When a version that is slow on its upstreams is bad: how long they must have been slow at the
/// same time, and the sum that each needs.
struct slow_rule {
    duration min_duration{0};
    double sum = slow_sum;
};
} // namespace

// Single VMs stall temporarily. The fewer upstreams there are, the more often all of them stall at
// the same time by chance, and the longer the slowness has to last to be significant.
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
    if (this->samples <= min_median_samples) {
        this->log_value += (value - this->log_value) / this->samples;
        return;
    }
    this->log_value += value > this->log_value ? median_step : -median_step;
}

std::optional<duration> running_median::value() const
{
    if (this->samples < min_median_samples)
        return std::nullopt;
    const double log = std::max(this->log_value, this->floor.value_or(this->log_value));
    return duration{static_cast<duration::rep>(std::exp(log))};
}

void cumulative_test::add(std::uint32_t bad, std::uint32_t good, double good_rate, double bad_rate)
{
    const double bad_weight = std::log(bad_rate / good_rate);
    const double good_weight = std::log((1.0 - bad_rate) / (1.0 - good_rate));
    this->total = std::clamp(this->total + bad * bad_weight + good * good_weight, 0.0, this->max);
}

template <class Key>
static std::optional<bool> exceeds_median(duration sample, double factor,
                                          const std::map<Key, running_median>& medians,
                                          const Key& key)
{
    const auto found = medians.find(key);
    if (found == medians.end() || sample.count() == 0)
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

// Unset while there are too few samples of the old version to compare with.
std::optional<bool> move_evidence::is_slow(const attempt_observation& seen) const
{
    const slow_factors factors = seen.hardware.empty() ? different_hardware : same_hardware;
    const std::optional<bool> slow_first_token = exceeds_median(
        seen.first_token_after, factors.first_token, this->first_token, first_token_key(seen));
    const std::optional<bool> slow_between_tokens = exceeds_median(
        seen.between_tokens, factors.between_tokens, this->between_tokens, seen.hardware);
    if (!slow_first_token && !slow_between_tokens)
        return std::nullopt;
    return slow_first_token.value_or(false) || slow_between_tokens.value_or(false);
}

bool move_evidence::upstream_state::has_results() const
{
    const auto has_counts = [](const version_evidence& record) {
        return record.new_completed + record.new_failed > 0;
    };
    return has_counts(this->own) ||
           std::any_of(this->received.begin(), this->received.end(),
                       [&](const auto& entry) { return has_counts(entry.second); });
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

// When traffic leaves the old version it gets faster, which is no fault of the new version. The
// medians from before the first request of the new version therefore remain as minima.
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
    attempt_observation without_hardware = seen;
    without_hardware.hardware.clear();
    this->update_baseline(without_hardware, now);
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
            state.next_connection_failure = now + crash_window;
    }
    this->update_tests(state, before, state.own, now);
}

// Slowness is tested in pairs: a response of the new version is compared with the old version's
// last one on the same hardware at this node. A cause that slows down both versions shows in both
// and is no evidence. Pairs of one upstream are limited in rate, since responses during one stall
// of one VM are not independent.
void move_evidence::compare_with_old(upstream_state& with, const attempt_observation& seen,
                                     std::size_t senders, time_point now)
{
    const std::optional<bool> slow = this->is_slow(seen);
    const auto last = this->last_old.find(seen.hardware);
    if (!slow || now < with.next_pair || last == this->last_old.end())
        return;
    old_observation& old = last->second;
    if (now - old.at > max_pair_age || old.uses >= max_uses)
        return;
    ++old.uses;
    ++with.own.pairs;
    if (*slow && !old.slow)
        ++with.own.new_slow;
    const duration period = this->upstreams_seen() > 1 ? pair_period : single_upstream_pair_period;
    with.next_pair = now + period * static_cast<std::int64_t>(std::max<std::size_t>(1, senders));
}

double move_evidence::good_failure_rate() const
{
    // Half a failure in fifty attempts is the prior, which matters while there are few attempts.
    const double seen = (this->old_failed + 0.5) /
                        (static_cast<double>(this->old_completed + this->old_failed) + 50);
    return std::clamp(2.0 * seen, min_good_failure_rate, max_good_failure_rate);
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
    state.failing.add(failed, completed, good_rate, std::max(min_bad_failure_rate, 2 * good_rate));
}

// Datagrams may arrive out of order: a record is accepted only if no count is below that of the
// last one.
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

static double addend(double sum, double max)
{
    return sum < min_addend ? 0.0 : std::min(sum, max);
}

evidence_level move_evidence::failing_level() const
{
    const bool single = this->upstreams_seen() <= 1;
    double bad = 0.0;
    double suspicious = 0.0;
    for (const auto& [upstream, state] : this->upstreams) {
        const double sum = state.failing.sum();
        bad += single ? sum : addend(sum, max_bad_addend);
        suspicious += single ? sum : addend(sum, max_suspicious_addend);
    }
    if (bad >= (single ? single_upstream_bad_sum : bad_sum))
        return evidence_level::bad;
    if (suspicious >= (single ? single_upstream_suspicious_sum : suspicious_sum))
        return evidence_level::suspicious;
    return evidence_level::clear;
}

evidence_level move_evidence::slow_level(time_point now) const
{
    std::size_t recent = 0;
    std::vector<const upstream_state*> slow;
    for (const auto& [upstream, state] : this->upstreams) {
        if (!state.last_pair_at || now - *state.last_pair_at > recent_pair_window)
            continue;
        ++recent;
        if (state.slow_since)
            slow.push_back(&state);
    }
    const std::size_t needed = recent - recent / upstreams_per_fast_one;
    if (recent == 0 || slow.size() < needed)
        return evidence_level::clear;
    const slow_rule rule = slow_rule_for(recent);
    const auto meets_rule = [&](const upstream_state* state) {
        return state->slow.sum() >= rule.sum && now - *state->slow_since >= rule.min_duration;
    };
    const auto proven =
        static_cast<std::size_t>(std::count_if(slow.begin(), slow.end(), meets_rule));
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
