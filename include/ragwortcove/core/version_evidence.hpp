/// \file
/// Evidence on a move's new version, compared with the old version at the same time, and the tests
/// that decide whether the new version is bad.
#pragma once

#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ragwortcove::core {

/// Outcome of one attempt, as the entry that made it observed it.
struct attempt_observation {
    upstream_name upstream;
    /// Upstreams are compared with others of the same hardware. Empty when the hardware is unknown
    /// or the old version does not run on it; the comparison is then with all upstreams of the old
    /// version, with wider limits.
    std::string hardware;
    bool on_new_version = false;
    bool failed = false;
    /// Whether the failure may be one of many that a single crash caused.
    bool connection_failed = false;
    std::uint32_t computed_tokens = 0;
    duration first_token_after{0};
    /// Mean time between tokens; zero when there were too few tokens.
    duration between_tokens{0};
};

/// Streaming estimate of a median, updated in steps on a logarithmic scale.
class running_median {
public:
    void add(duration sample);
    /// Sets the current estimate as the minimum of what `value` returns.
    void set_floor() { this->floor = this->log_value; }
    [[nodiscard]] std::optional<duration> value() const;

private:
    double log_value = 0.0;
    std::optional<double> floor;
    std::uint32_t samples = 0;
};

/// Cumulative-sum test (Page, 1954) of a version's rate of bad results against the rate that is
/// still good: a sum of log-likelihood ratios, clamped between zero and a maximum.
class cumulative_test {
public:
    explicit cumulative_test(double max_sum) : max{max_sum} {}
    void add(std::uint32_t bad, std::uint32_t good, double good_rate, double bad_rate);
    [[nodiscard]] double sum() const { return this->total; }

private:
    double total = 0.0;
    double max;
};

/// Maxima of one upstream's sums, so that an upstream that has recovered is cleared soon.
inline constexpr double max_slow_sum = 8.0;
inline constexpr double max_failing_sum = 14.0;

enum class evidence_level { clear, suspicious, bad };

/// Evidence on one move at one node: its own counts, those received from other nodes, and the tests
/// on all of them.
class move_evidence {
public:
    move_evidence(const move_name& move, unix_millis deadline) : name{move}, finish_by{deadline} {}

    /// Adds an attempt of this node. `senders` is the number of entries that send to the new
    /// version now.
    void observe(const attempt_observation& seen, std::size_t senders, time_point now);
    /// Adds another node's counts. They are cumulative, so a record that is received twice counts
    /// once.
    void merge(incarnation sender, const version_evidence& record, time_point now);

    [[nodiscard]] evidence_level level(time_point now) const;
    /// The tests' current sums, for the log.
    [[nodiscard]] std::string describe() const;
    /// This node's own records, each with the state of the move's halt.
    [[nodiscard]] std::vector<version_evidence> own_records() const;
    [[nodiscard]] std::uint32_t passed() const { return this->new_completed; }
    [[nodiscard]] std::uint32_t pairs() const { return this->new_pairs; }
    [[nodiscard]] unix_millis due() const { return this->finish_by; }
    /// Number of this node's observations.
    [[nodiscard]] std::uint64_t own_changes() const { return this->changes; }

    bool halted = false;

private:
    using size_class = std::pair<std::string, unsigned>;
    struct upstream_state {
        version_evidence own;
        std::map<incarnation, version_evidence> received;
        cumulative_test failing{max_failing_sum};
        cumulative_test slow{max_slow_sum};
        std::optional<time_point> last_pair_at;
        std::optional<time_point> slow_since;
        time_point next_pair;
        time_point next_connection_failure;
        [[nodiscard]] bool has_results() const;
    };
    struct old_observation {
        time_point at;
        bool slow = false;
        std::uint32_t uses = 0;
    };

    [[nodiscard]] upstream_state& state_of(const upstream_name& upstream);
    [[nodiscard]] std::optional<bool> is_slow(const attempt_observation& seen) const;
    void observe_old(const attempt_observation& seen, time_point now);
    void observe_new(const attempt_observation& seen, std::size_t senders, time_point now);
    void update_baseline(const attempt_observation& seen, time_point now);
    void compare_with_old(upstream_state& with, const attempt_observation& seen,
                          std::size_t senders, time_point now);
    void update_tests(upstream_state& state, const version_evidence& before,
                      const version_evidence& after, time_point now);
    void set_median_floors();
    [[nodiscard]] evidence_level failing_level() const;
    [[nodiscard]] evidence_level slow_level(time_point now) const;
    [[nodiscard]] double good_failure_rate() const;
    [[nodiscard]] std::size_t upstreams_seen() const;

    move_name name;
    unix_millis finish_by;
    /// Median times of the old version by hardware; for the first token also by prompt size.
    std::map<size_class, running_median> first_token;
    std::map<std::string, running_median> between_tokens;
    std::map<upstream_name, upstream_state> upstreams;
    std::map<std::string, old_observation> last_old;
    std::uint32_t new_completed = 0;
    std::uint32_t new_pairs = 0;
    std::uint32_t old_completed = 0;
    std::uint32_t old_failed = 0;
    std::uint64_t changes = 0;
};

} // namespace ragwortcove::core
