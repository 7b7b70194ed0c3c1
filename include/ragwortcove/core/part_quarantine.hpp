/// \file
/// Prompt parts under which upstreams have ended, and which requests are held back for it.
#pragma once

#include "ragwortcove/core/part_id.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/core/upstream_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// End of an upstream's process while a request with the part waited there for its response.
struct upstream_end {
    upstream_process process;
    time_point at;
    /// Whether a request waited there that had been sent as a trial.
    bool during_trial = false;
    bool operator==(const upstream_end&) const = default;
};

/// What is known of a prompt part under which upstreams have ended.
struct part_record {
    part_id part;
    /// Raised each time the part is cleared. A record of an earlier generation is outdated.
    std::uint32_t generation = 0;
    /// Ends in this generation, oldest first; each process once.
    std::vector<upstream_end> ends;
    /// Number of the last trial that was sent in this generation, and when. That it was sent says
    /// nothing of the part.
    std::uint32_t trials_sent = 0;
    time_point last_trial_at;
    /// Number of the last trial that is over, whatever has come of it.
    std::uint32_t trials_over = 0;
    bool operator==(const part_record&) const = default;
};

/// A request that is sent to find out whether upstreams still end on a part.
struct part_trial {
    part_id part;
    std::uint32_t generation = 0;
    /// Among the trials of its generation, from 1 on.
    std::uint32_t number = 0;
    bool operator==(const part_trial&) const = default;
};

/// The request that was given a permission for a trial.
struct trial_holder {
    node_name node;
    /// Number that the node has given to its question.
    std::uint64_t number = 0;
    bool operator==(const trial_holder&) const = default;
};

/// Whether a request may be sent, by its parts. Later values are stricter.
enum class part_admission {
    admitted,
    /// One request at a time may be sent, with permission of the part's owner.
    needs_trial,
    /// No request may be sent before the next trial.
    waits,
    /// No request may be sent until an operator releases the part.
    barred,
};

/// The strictest admission of a request's parts.
struct part_decision {
    part_admission admission = part_admission::admitted;
    /// The part that it comes from; meaningless for an admitted request.
    part_id part;
    /// Time until the next trial, for `waits`.
    duration retry_after{0};
};

/// Number of ends that a record keeps; more do not change any decision.
inline constexpr std::size_t max_ends_of_part = 8;
/// Number of parts that are tracked at a time.
inline constexpr std::size_t max_tracked_parts = 512;
/// Highest generation that a record states; a part is hardly cleared that often.
inline constexpr std::uint32_t max_part_generation = 1'000'000;
/// Highest number of a trial that a record states.
inline constexpr std::uint32_t max_trial_number = 1'000'000;
/// Number of trials that end an upstream, after which a request gets no further one.
inline constexpr std::uint32_t max_part_trials = 3;

/// Number of parts that are known to have had responses, at the most and for each of two spans.
inline constexpr std::size_t max_sound_parts = 4096;

/// Evidence against prompt parts, merged from all nodes. A merge takes the later generation, or the
/// union within a generation, so the order of messages does not matter and repeated ones are
/// harmless.
class part_quarantine {
public:
    /// Decides by the strictest of a request's parts, which are given in the order of the prompt.
    /// If several need a trial, the most likely cause of the ends is stated, and the request counts
    /// as the trial of that part alone. It does not wait for a trial of its own.
    [[nodiscard]] part_decision decide(std::span<const part_id> parts, time_point now,
                                       const std::optional<part_trial>& own = std::nullopt) const;
    /// Records that a process ended while requests with these parts waited for its responses. After
    /// a trial the parts are those of its request. Returns the parts whose records have changed.
    std::vector<part_id> record_end(const upstream_end& end, std::span<const part_id> parts,
                                    time_point now);
    /// Records that an upstream has responded to a request with these parts and has not ended.
    /// Returns those of them that were held back and are not any more.
    std::vector<part_id> record_response(std::span<const part_id> parts, time_point now);
    /// Takes what another node, or the store, knows of a part; returns whether that was news. A
    /// better time of an end or trial that is known is taken, but is no news.
    bool merge(const part_record& other, time_point now);
    /// Permits a request with these parts as a trial of one of them if one is due and no other
    /// permission is open. To be called by the part's owner. A permission that is not used lapses;
    /// one that is asked for again stands.
    [[nodiscard]] bool permit_trial(part_id part, std::span<const part_id> parts,
                                    const trial_holder& holder, time_point now);
    /// Records that a request is sent as a trial; unset when nothing holds the part back any more.
    std::optional<part_trial> record_trial(part_id part, time_point now);
    /// Records that a trial is over. An end that it has caused is recorded apart from this. Returns
    /// whether that was news.
    bool record_trial_over(const part_trial& trial);
    /// Whether the outcome of a trial is still awaited.
    [[nodiscard]] bool is_open(const part_trial& trial, time_point now) const;
    /// Clears a part although it may still end upstreams; returns false when nothing held it back.
    bool release(part_id part, time_point now);
    /// Drops records that have not mattered for a while.
    void tick(time_point now);

    /// Null when nothing is known of the part.
    [[nodiscard]] const part_record* find(part_id part) const;
    /// Records of the parts that are held back and not explained by others, and of those that were
    /// in a trial that ended an upstream, in the order of their ids.
    [[nodiscard]] std::vector<part_record> held_back() const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        part_record record;
        /// When the part last mattered: an end, a response, or a request that was held back.
        mutable time_point used_at;
        /// The last permission for a trial that this node has given, and when.
        trial_holder permitted_to;
        time_point permitted_at{time_point::min()};
        /// The fewest parts with ends that a request had that asked for a trial lately, and when.
        std::size_t fewest_suspects = 0;
        time_point fewest_suspects_at{time_point::min()};
    };
    /// What the trials that ended upstreams have shown of a request.
    struct trial_result {
        std::uint32_t failed = 0;
        time_point last_failed_at;
    };
    entry& entry_of(part_id part, time_point now);
    /// Whether requests with the part had responses on this node in the last while.
    [[nodiscard]] bool is_known_sound(part_id part) const;
    /// Whether the part is less likely than others to be the cause of an end.
    [[nodiscard]] bool is_trusted(part_id part) const;
    void note_sound(part_id part);
    /// Whether each end under a part has a likelier cause, another part that is held back.
    [[nodiscard]] bool is_explained(const part_record& record) const;
    [[nodiscard]] bool is_likelier_cause(const part_record& one, const part_record& other) const;
    /// Whether all parts are among these that may have ended a process during a trial.
    [[nodiscard]] bool has_cause_among(std::span<const part_id> parts,
                                       const upstream_process& process) const;
    /// The trials that ended upstreams, for a request with these parts, by the record of one.
    [[nodiscard]] trial_result result_of_trials(const part_record& record,
                                                std::span<const part_id> parts) const;
    [[nodiscard]] part_decision decide_one(const part_record& record,
                                           std::span<const part_id> parts, time_point now,
                                           const std::optional<part_trial>& own) const;
    /// Whether another request that asked lately has fewer parts with ends than these.
    [[nodiscard]] bool is_preceded(entry& known, std::span<const part_id> parts, time_point now);
    void make_room();
    void clear(entry& cleared, time_point now);

    std::map<part_id, entry> entries;
    /// Parts with responses in this span of time and in the one before.
    std::set<part_id> sound_now;
    std::set<part_id> sound_before;
    time_point sound_span_ends_at;
};

/// Number of separate occasions on which upstreams ended. Ends at nearly the same time have one
/// cause more often than not, such as a rack that loses power.
[[nodiscard]] std::size_t count_occasions(const part_record& record);
/// Number of trials that have ended an upstream.
[[nodiscard]] std::uint32_t count_failed_trials(const part_record& record);
/// Whether requests with the part are held back, unless it becomes clear that others are the cause.
[[nodiscard]] bool is_held_back(const part_record& record);
/// Names of the upstreams that have ended, separated by commas.
[[nodiscard]] std::string list_upstreams(const part_record& record);

} // namespace ragwortcove::core
