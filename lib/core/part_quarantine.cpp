#include "ragwortcove/core/part_quarantine.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace ragwortcove::core {

using namespace std::chrono_literals;

/// Ends within this time of each other count as one occasion.
static constexpr duration same_occasion = 100ms;
/// Occasions, with no response between them, from which on a part is held back. The first one may
/// be the end of any upstream; a second one happens to few parts by chance.
static constexpr std::size_t occasions_to_hold_back = 2;
/// Time from the last trial that ended an upstream to the next one, by the number of such trials.
static constexpr std::array<duration, max_part_trials> trial_delays{0ms, 30s, 30min};
/// Number of trials of a part that may have ended an upstream for another part of their requests.
static constexpr std::uint32_t max_excused_trials = 2;
/// How long requests with more parts that may be the cause give way to one with fewer.
static constexpr duration precedence_time = 1s;
/// Number of ends since its last response from which on a part that had responses may be the cause,
/// too: what upstreams end on may have changed.
static constexpr std::size_t max_ends_of_trusted = 6;
/// Time within which a trial shows whether the upstream ends, and the retry time meanwhile.
static constexpr duration trial_time = 5s;
static constexpr duration retry_during_trial = 500ms;
/// Time within which a permitted trial is sent, or else its permission lapses.
static constexpr duration permission_lifetime = 1s;
/// Time between permissions. A trial that shows nothing is told to all nodes, and so is the next.
static constexpr duration min_permission_interval = 250ms;
/// How long a record is kept that holds nothing back.
static constexpr duration idle_record_lifetime = 10min;
/// Time after which a part that has had no response since is not known to be sound any more: one to
/// two of these. What upstreams end on may change with their version.
static constexpr duration sound_span = 10min;

std::size_t count_occasions(const part_record& record)
{
    std::size_t count = 0;
    time_point occasion_start;
    for (const upstream_end& end : record.ends) {
        if (count > 0 && end.at - occasion_start <= same_occasion)
            continue;
        occasion_start = end.at;
        ++count;
    }
    return count;
}

std::uint32_t count_failed_trials(const part_record& record)
{
    const auto is_failed = [](const upstream_end& end) { return end.during_trial; };
    return static_cast<std::uint32_t>(
        std::count_if(record.ends.begin(), record.ends.end(), is_failed));
}

bool is_held_back(const part_record& record)
{
    return count_failed_trials(record) > 0 || count_occasions(record) >= occasions_to_hold_back;
}

std::string list_upstreams(const part_record& record)
{
    std::string text;
    for (const upstream_end& end : record.ends)
        text += (text.empty() ? "" : ",") + end.process.name.value;
    return text;
}

/// Whether the outcome of the last trial is not known yet. The node that sent it may be gone.
static bool is_trial_open(const part_record& record, time_point now)
{
    return record.trials_sent > record.trials_over && now - record.last_trial_at < trial_time;
}

static bool is_last_trial(const part_record& record, const part_trial& trial)
{
    return record.generation == trial.generation && record.trials_sent == trial.number;
}

void part_quarantine::note_sound(part_id part)
{
    this->sound_now.insert(part);
    if (this->sound_now.size() >= max_sound_parts)
        this->sound_before = std::exchange(this->sound_now, {});
}

bool part_quarantine::is_known_sound(part_id part) const
{
    return this->sound_now.contains(part) || this->sound_before.contains(part);
}

bool part_quarantine::is_trusted(part_id part) const
{
    const part_record* const known = this->find(part);
    const std::size_t ends = known == nullptr ? 0 : known->ends.size();
    return this->is_known_sound(part) && ends < max_ends_of_trusted;
}

static bool has_end(const part_record& record, const upstream_process& process)
{
    return std::any_of(record.ends.begin(), record.ends.end(),
                       [&process](const upstream_end& end) { return end.process == process; });
}

// An upstream ends on every request with the part that is the cause, so a part that had responses
// is less likely to be one than a part that had none. Beside that, the cause is in all requests
// that ended upstreams, and other parts in some.
bool part_quarantine::is_likelier_cause(const part_record& one, const part_record& other) const
{
    const bool is_one_sound = this->is_known_sound(one.part);
    if (is_one_sound != this->is_known_sound(other.part))
        return !is_one_sound;
    return one.ends.size() > other.ends.size();
}

// Most requests share their first parts with those that end upstreams, and other requests wait at
// the same upstreams. If a part is a cause after all, the next upstream that ends on it does so
// without the others.
bool part_quarantine::is_explained(const part_record& record) const
{
    return std::all_of(record.ends.begin(), record.ends.end(), [&](const upstream_end& end) {
        return std::any_of(this->entries.begin(), this->entries.end(), [&](const auto& each) {
            const part_record& other = each.second.record;
            return is_held_back(other) && has_end(other, end.process) &&
                   this->is_likelier_cause(other, record);
        });
    });
}

// The cause of an end is one of the parts that waited there. Those that had a response since have
// no end any more, and a part that has ended no other upstream is hardly it.
bool part_quarantine::has_cause_among(std::span<const part_id> parts,
                                      const upstream_process& process) const
{
    return std::all_of(this->entries.begin(), this->entries.end(), [&](const auto& each) {
        const part_record& record = each.second.record;
        const bool may_be_cause = has_end(record, process) && is_held_back(record);
        return !may_be_cause || std::find(parts.begin(), parts.end(), each.first) != parts.end();
    });
}

// A trial whose request had other parts too says little of a request without one of these: that
// one may be the cause. If several trials with unlike other parts have ended upstreams, it is not.
part_quarantine::trial_result
part_quarantine::result_of_trials(const part_record& record, std::span<const part_id> parts) const
{
    trial_result result;
    std::uint32_t excused = 0;
    for (const upstream_end& end : record.ends) {
        if (!end.during_trial)
            continue;
        if (!this->has_cause_among(parts, end.process) && ++excused <= max_excused_trials)
            continue;
        ++result.failed;
        result.last_failed_at = std::max(result.last_failed_at, end.at);
    }
    return result;
}

part_decision part_quarantine::decide_one(const part_record& record, std::span<const part_id> parts,
                                          time_point now,
                                          const std::optional<part_trial>& own) const
{
    const trial_result trials = this->result_of_trials(record, parts);
    const bool is_suspect =
        count_occasions(record) >= occasions_to_hold_back && !this->is_explained(record);
    if (trials.failed == 0 && !is_suspect)
        return {};
    const bool is_own_trial = own && own->part == record.part && is_last_trial(record, *own);
    if (is_trial_open(record, now) && !is_own_trial)
        return {part_admission::waits, record.part, retry_during_trial};
    if (trials.failed >= max_part_trials)
        return {part_admission::barred, record.part, {}};
    const time_point due_at = trials.last_failed_at + trial_delays.at(trials.failed);
    if (now < due_at)
        return {part_admission::waits, record.part, due_at - now};
    return {part_admission::needs_trial, record.part, {}};
}

// If several parts need a trial, the request counts as the trial of one of them. That is the part
// with the most ends, since it was in more of the requests that ended upstreams. Among equal ones
// it is the last: the first parts of a prompt are those that most requests share, and others of
// these requests soon show whether upstreams end on them.
part_decision part_quarantine::decide(std::span<const part_id> parts, time_point now,
                                      const std::optional<part_trial>& own) const
{
    part_decision strictest;
    std::size_t most_ends = 0;
    for (const part_id part : parts) {
        const auto found = this->entries.find(part);
        if (found == this->entries.end())
            continue;
        const part_record& record = found->second.record;
        const part_decision decision = this->decide_one(record, parts, now, own);
        if (decision.admission == part_admission::admitted)
            continue;
        found->second.used_at = now;
        const bool is_more_likely_cause = decision.admission == part_admission::needs_trial &&
                                          strictest.admission == part_admission::needs_trial &&
                                          record.ends.size() >= most_ends;
        if (decision.admission <= strictest.admission && !is_more_likely_cause)
            continue;
        strictest = decision;
        most_ends = record.ends.size();
    }
    return strictest;
}

// Parts that are held back go last: a caller that sends ever new parts must not release them.
void part_quarantine::make_room()
{
    if (this->entries.size() < max_tracked_parts)
        return;
    const auto is_dropped_before = [](const auto& left, const auto& right) {
        const bool left_held = is_held_back(left.second.record);
        const bool right_held = is_held_back(right.second.record);
        if (left_held != right_held)
            return right_held;
        return left.second.used_at < right.second.used_at;
    };
    this->entries.erase(
        std::min_element(this->entries.begin(), this->entries.end(), is_dropped_before));
}

part_quarantine::entry& part_quarantine::entry_of(part_id part, time_point now)
{
    const auto found = this->entries.find(part);
    if (found != this->entries.end())
        return found->second;
    this->make_room();
    entry& created = this->entries[part];
    created.record.part = part;
    created.used_at = now;
    return created;
}

/// Makes room for an end, if it says more than one that is known; returns whether there is room.
static bool make_room_for(std::vector<upstream_end>& ends, const upstream_end& added)
{
    if (ends.size() < max_ends_of_part)
        return true;
    if (!added.during_trial)
        return false;
    const auto says_less = std::find_if(
        ends.rbegin(), ends.rend(), [](const upstream_end& each) { return !each.during_trial; });
    if (says_less == ends.rend())
        return false;
    ends.erase(std::next(says_less).base());
    return true;
}

/// Adds an end; returns whether it says anything new. A message takes time, and the store keeps no
/// times, so of two times stated of one end the earlier one is nearer to the truth.
static bool add_end(part_record& record, const upstream_end& added)
{
    std::vector<upstream_end>& ends = record.ends;
    const auto is_same = [&](const upstream_end& known) { return known.process == added.process; };
    const auto known = std::find_if(ends.begin(), ends.end(), is_same);
    bool is_news = known == ends.end();
    if (is_news && !make_room_for(ends, added))
        return false;
    if (is_news) {
        ends.push_back(added);
    }
    else {
        known->at = std::min(known->at, added.at);
        is_news = added.during_trial && !known->during_trial;
        known->during_trial = known->during_trial || added.during_trial;
    }
    const auto is_earlier = [](const upstream_end& left, const upstream_end& right) {
        return left.at < right.at;
    };
    std::stable_sort(ends.begin(), ends.end(), is_earlier);
    return is_news;
}

// A part that had responses lately is not blamed for a trial if another one of its request had
// none.
std::vector<part_id> part_quarantine::record_end(const upstream_end& end,
                                                 std::span<const part_id> parts, time_point now)
{
    std::vector<part_id> changed;
    const bool has_suspect = std::any_of(parts.begin(), parts.end(),
                                         [this](part_id part) { return !this->is_trusted(part); });
    for (const part_id part : parts) {
        entry& known = this->entry_of(part, now);
        known.used_at = now;
        upstream_end added = end;
        added.during_trial = end.during_trial && !(has_suspect && this->is_trusted(part));
        if (add_end(known.record, added))
            changed.push_back(part);
    }
    return changed;
}

void part_quarantine::clear(entry& cleared, time_point now)
{
    const part_id part = cleared.record.part;
    const std::uint32_t generation = cleared.record.generation + 1;
    cleared.record = part_record{part, generation, {}, 0, {}, 0};
    cleared.used_at = now;
}

// An upstream ends on every request with such a part, so one response clears all parts of its
// request, whatever ended the upstreams before.
std::vector<part_id> part_quarantine::record_response(std::span<const part_id> parts,
                                                      time_point now)
{
    std::vector<part_id> cleared;
    for (const part_id part : parts)
        this->note_sound(part);
    if (this->entries.empty())
        return cleared;
    for (const part_id part : parts) {
        const auto found = this->entries.find(part);
        if (found == this->entries.end() || found->second.record.ends.empty())
            continue;
        if (is_held_back(found->second.record))
            cleared.push_back(part);
        this->clear(found->second, now);
    }
    return cleared;
}

/// Returns whether the other record states later trials. Of two times of one trial the earlier one
/// counts, as for ends.
static bool merge_trials(part_record& record, const part_record& other)
{
    const bool is_news =
        other.trials_sent > record.trials_sent || other.trials_over > record.trials_over;
    if (other.trials_sent > record.trials_sent) {
        record.trials_sent = other.trials_sent;
        record.last_trial_at = other.last_trial_at;
    }
    else if (other.trials_sent == record.trials_sent) {
        record.last_trial_at = std::min(record.last_trial_at, other.last_trial_at);
    }
    record.trials_over = std::max(record.trials_over, other.trials_over);
    return is_news;
}

bool part_quarantine::merge(const part_record& other, time_point now)
{
    const auto found = this->entries.find(other.part);
    const std::uint32_t generation =
        found == this->entries.end() ? 0 : found->second.record.generation;
    const bool says_nothing = other.ends.empty() && other.trials_sent == 0;
    if (other.generation < generation ||
        (found == this->entries.end() && says_nothing && other.generation == 0))
        return false;
    entry& known = this->entry_of(other.part, now);
    bool is_news = other.generation > generation;
    if (is_news)
        known.record = part_record{other.part, other.generation, {}, 0, {}, 0};
    for (const upstream_end& end : other.ends)
        is_news = add_end(known.record, end) || is_news;
    is_news = merge_trials(known.record, other) || is_news;
    if (is_news)
        known.used_at = now;
    return is_news;
}

// The fewer parts a trial has that may be the cause, the more its outcome tells. Sound requests
// have fewer of them than those that share the other parts and have a bad one, too.
bool part_quarantine::is_preceded(entry& known, std::span<const part_id> parts, time_point now)
{
    const auto suspects =
        static_cast<std::size_t>(std::count_if(parts.begin(), parts.end(), [this](part_id part) {
            const part_record* const record = this->find(part);
            return record != nullptr && !record->ends.empty();
        }));
    const bool is_outdated = now > known.fewest_suspects_at + precedence_time;
    if (!is_outdated && suspects > known.fewest_suspects)
        return true;
    known.fewest_suspects = suspects;
    known.fewest_suspects_at = now;
    return false;
}

bool part_quarantine::permit_trial(part_id part, std::span<const part_id> parts,
                                   const trial_holder& holder, time_point now)
{
    const auto found = this->entries.find(part);
    if (found == this->entries.end())
        return false;
    entry& known = found->second;
    const part_admission admission = this->decide(parts, now).admission;
    if (admission == part_admission::admitted)
        return true;
    if (admission != part_admission::needs_trial)
        return false;
    if (this->is_preceded(known, parts, now))
        return false;
    // A permission is over with the trial that was sent with it.
    const bool is_used = known.record.last_trial_at >= known.permitted_at;
    const time_point closed_until =
        known.permitted_at + (is_used ? min_permission_interval : permission_lifetime);
    const bool is_again = !is_used && known.permitted_to == holder;
    if (now < closed_until && !is_again)
        return false;
    known.permitted_to = holder;
    known.permitted_at = now;
    return true;
}

std::optional<part_trial> part_quarantine::record_trial(part_id part, time_point now)
{
    const auto found = this->entries.find(part);
    if (found == this->entries.end() || !is_held_back(found->second.record))
        return std::nullopt;
    part_record& record = found->second.record;
    record.trials_sent =
        std::min(std::max(record.trials_sent, record.trials_over) + 1, max_trial_number);
    record.last_trial_at = now;
    return part_trial{part, record.generation, record.trials_sent};
}

bool part_quarantine::record_trial_over(const part_trial& trial)
{
    const auto found = this->entries.find(trial.part);
    if (found == this->entries.end() || found->second.record.generation != trial.generation ||
        found->second.record.trials_over >= trial.number)
        return false;
    found->second.record.trials_over = trial.number;
    return true;
}

bool part_quarantine::is_open(const part_trial& trial, time_point now) const
{
    const part_record* const known = this->find(trial.part);
    return known != nullptr && is_last_trial(*known, trial) && is_trial_open(*known, now);
}

bool part_quarantine::release(part_id part, time_point now)
{
    const auto found = this->entries.find(part);
    if (found == this->entries.end() || !is_held_back(found->second.record))
        return false;
    this->clear(found->second, now);
    return true;
}

void part_quarantine::tick(time_point now)
{
    if (now >= this->sound_span_ends_at) {
        this->sound_span_ends_at = now + sound_span;
        this->sound_before = std::exchange(this->sound_now, {});
    }
    std::erase_if(this->entries, [now](const auto& each) {
        return !is_held_back(each.second.record) &&
               now - each.second.used_at > idle_record_lifetime;
    });
}

const part_record* part_quarantine::find(part_id part) const
{
    const auto found = this->entries.find(part);
    return found == this->entries.end() ? nullptr : &found->second.record;
}

// What a trial has shown is read from the records of all parts that its request had, so a node that
// starts needs them all.
std::vector<part_record> part_quarantine::held_back() const
{
    std::vector<part_record> result;
    for (const auto& [part, each] : this->entries) {
        const bool was_tried = count_failed_trials(each.record) > 0;
        if (was_tried || (is_held_back(each.record) && !this->is_explained(each.record)))
            result.push_back(each.record);
    }
    return result;
}

} // namespace ragwortcove::core
