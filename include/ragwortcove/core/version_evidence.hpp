/// \file
/// What has been seen of a move's new version against the old one at the same moment, and whether
/// it is enough to call the new version bad.
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

/// How one attempt went, as the entry that made it saw it.
struct attempt_observation {
    upstream_name upstream;
    /// Upstreams are held against others of the same hardware; empty when it is not known, or when
    /// the old version does not run on it: then against all of the old version, with more slack.
    std::string hardware;
    bool on_new_version = false;
    bool failed = false;
    /// Whether the failure may be one of many that a single crash brought about.
    bool connection_failed = false;
    std::uint32_t computed_tokens = 0;
    duration first_token_after{0};
    /// Zero when there were too few tokens.
    duration between_tokens{0};
};

/// Median that follows its samples, by steps on a logarithmic scale.
class running_median {
public:
    void add(duration sample);
    /// Keeps today's value as the least that `value` gives.
    void set_floor() { this->floor = this->log_value; }
    [[nodiscard]] std::optional<duration> value() const;

private:
    double log_value = 0.0;
    std::optional<double> floor;
    std::uint32_t samples = 0;
};

/// Cumulative-sum test (Page, 1954) of a version's rate of bad results against the rate that is
/// still good: a sum of log-likelihood ratios that starts again at zero and is cut off at a most.
class cumulative_test {
public:
    explicit cumulative_test(double most_sum) : most{most_sum} {}
    void add(std::uint32_t bad, std::uint32_t good, double good_rate, double bad_rate);
    [[nodiscard]] double sum() const { return this->total; }

private:
    double total = 0.0;
    double most;
};

/// Most that the sums of one upstream reach, so that one that has recovered is cleared soon.
inline constexpr double max_slow_sum = 8.0;
inline constexpr double max_failing_sum = 14.0;

enum class evidence_level { clear, suspicious, bad };

/// Evidence on one move at one node: its own counts, those heard of others, and the test on them.
class move_evidence {
public:
    move_evidence(const move_name& of, unix_millis by) : name{of}, finish_by{by} {}

    /// Takes an attempt of this node's. `senders` is how many entries send to the new version now.
    void observe(const attempt_observation& seen, std::size_t senders, time_point now);
    /// Takes another node's counts; cumulative, so that a record that comes twice counts once.
    void merge(incarnation sender, const version_evidence& record, time_point now);

    [[nodiscard]] evidence_level level(time_point now) const;
    /// What the tests stand at, for the log.
    [[nodiscard]] std::string describe() const;
    /// This node's own records, the brake's state in each.
    [[nodiscard]] std::vector<version_evidence> own_records() const;
    [[nodiscard]] std::uint32_t passed() const { return this->new_completed; }
    [[nodiscard]] std::uint32_t pairs() const { return this->new_pairs; }
    [[nodiscard]] unix_millis due() const { return this->finish_by; }
    /// Grows with each of this node's observations.
    [[nodiscard]] std::uint64_t own_changes() const { return this->changes; }

    bool halted = false;

private:
    using size_class = std::pair<std::string, unsigned>;
    struct upstream_state {
        version_evidence own;
        std::map<incarnation, version_evidence> heard;
        cumulative_test failing{max_failing_sum};
        cumulative_test slow{max_slow_sum};
        std::optional<time_point> judged_at;
        std::optional<time_point> slow_since;
        time_point next_pair;
        time_point next_connection_failure;
        [[nodiscard]] bool is_seen() const;
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
    void learn(const attempt_observation& seen, time_point now);
    void pair(upstream_state& with, const attempt_observation& seen, std::size_t senders,
              time_point now);
    void count(upstream_state& on, const version_evidence& before, const version_evidence& after,
               time_point now);
    void keep_medians();
    [[nodiscard]] evidence_level failing_level() const;
    [[nodiscard]] evidence_level slow_level(time_point now) const;
    [[nodiscard]] double good_failure_rate() const;
    [[nodiscard]] std::size_t upstreams_seen() const;

    move_name name;
    unix_millis finish_by;
    /// What is usual for the old version, by hardware and, for the first token, prompt size.
    std::map<size_class, running_median> first_token;
    std::map<std::string, running_median> between_tokens;
    std::map<upstream_name, upstream_state> upstreams;
    std::map<std::string, old_observation> last_old;
    bool new_seen = false;
    std::uint32_t new_completed = 0;
    std::uint32_t new_pairs = 0;
    std::uint32_t old_completed = 0;
    std::uint32_t old_failed = 0;
    std::uint64_t changes = 0;
};

} // namespace ragwortcove::core
