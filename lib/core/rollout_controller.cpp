#include "ragwortcove/core/rollout_controller.hpp"

#include "seconds.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace ragwortcove::core {

using namespace std::chrono_literals;

static constexpr double permille = 1000.0;
static constexpr std::uint32_t all_permille = 1000;

namespace {
/// One step of the plan. Times are fractions of the order's time limit.
struct plan_step {
    std::uint32_t share_permille = 0;
    double earliest_at = 0.0;
};
} // namespace

// Before the last step the new version has had 7 in 100 of the requests expected by the deadline
// (0.53 x 40 + 0.06 x 200 + 0.065 x 500 permille) and a part of the extra ones. What is left, 3 in
// 100 and most of the extra ones, is for a version that turns bad then: about 0.04 of the time
// limit.
static constexpr std::array<plan_step, 4> plan{
    {{40, 0.0}, {200, 0.53}, {500, 0.59}, {1000, 0.655}}};
static constexpr std::size_t last_step = plan.size() - 1;
/// Minimum duration of a step, and the time after which no further step begins.
static constexpr double min_step_part = 0.05;
static constexpr double latest_step_at = 0.86;
/// The roll-out ends here at the latest, to leave time for the store.
static constexpr double latest_end_at = 0.92;
/// Good results of the new version that a step needs.
static constexpr std::uint32_t canary_results = 12;
static constexpr std::uint32_t step_results = 8;

/// While nothing has passed and not much time, only requests that may be repeated are canaries.
static constexpr std::uint32_t passes_before_all_requests = 3;
static constexpr double all_requests_at = 0.3;
/// Part of the extra requests that canaries use: the more, the fewer requests are expected.
static constexpr double canary_extra_factor = 300.0;
static constexpr double min_canary_extra_part = 0.15;
static constexpr double max_canary_extra_part = 0.6;
static constexpr std::uint32_t max_canary_permille = 400;
/// Parts of the allowed requests, and of the traffic still to come, that the guard relies on.
static constexpr double usable_extra_part = 0.8;
static constexpr double expected_traffic_part = 0.8;

/// A version is bad at this sum; it is suspicious, and gets no larger share, at the smaller one.
static constexpr double bad_sum = 6.5;
static constexpr double suspicious_sum = 3.5;
/// Parts of the latter: for the next step, and for all requests once more.
static constexpr double advance_part = 0.85;
static constexpr double cleared_part = 0.7;
/// Between these rates; beyond them, both change with the rate's logarithm, since chance has more
/// or fewer occasions.
static constexpr double min_usual_requests_per_s = 40.0;
static constexpr double max_usual_requests_per_s = 120.0;
/// With little traffic a bad version that is kept is worse than a good one that is taken back.
static constexpr double low_rate_weight = 1.5;
/// Maximum share while the version is suspicious.
static constexpr std::uint32_t suspicious_permille = 150;
/// An entry without a report for this long is gone, or cut off and sends nothing to the version.
static constexpr duration entry_lifetime = 2500ms;
/// A new controller waits so long for reports before it changes a share.
static constexpr duration adoption_time = 700ms;

static constexpr std::array<std::uint32_t version_counts::*, 7> all_counts{
    &version_counts::sent,
    &version_counts::passed,
    &version_counts::failed,
    &version_counts::first_parts_on_time,
    &version_counts::first_parts_late,
    &version_counts::streams_on_time,
    &version_counts::streams_late};

// Reports may arrive out of order: a count that is below an earlier one adds nothing.
static version_counts added_counts(const version_counts& before, const version_counts& after)
{
    version_counts added;
    for (const auto count : all_counts)
        added.*count = after.*count > before.*count ? after.*count - before.*count : 0;
    return added;
}

static void add_counts(version_counts& to, const version_counts& added)
{
    for (const auto count : all_counts)
        to.*count += added.*count;
}

static bool is_older(const rollout_report& report, const rollout_report& than)
{
    return report.order_age < than.order_age;
}

static const rollout_route_counts* find_route(const rollout_report& report, const route_name& route)
{
    const auto found =
        std::find_if(report.routes.begin(), report.routes.end(),
                     [&](const rollout_route_counts& counts) { return counts.route == route; });
    return found == report.routes.end() ? nullptr : &*found;
}

rollout_controller::rollout_controller(const rollout_order& of, const rollout_limits& allowed,
                                       time_point now)
    : order{of}, limits{allowed}, started_at{now},
      ordered_at{now}, stored{of.progress.value_or(rollout_progress{})}, step_since{now}
{
}

bool rollout_controller::is_in_stored_progress(const rollout_report& report, time_point now) const
{
    return this->age(now) - report.counted_for < this->stored.order_age;
}

// What the stored progress includes and nobody reports was counted by processes that have ended.
static std::uint32_t not_reported(std::uint32_t stored, std::uint32_t reported)
{
    return stored - std::min(stored, reported);
}

std::uint32_t rollout_controller::new_sent() const
{
    return this->new_total.sent + not_reported(this->stored.new_sent, this->new_included.sent);
}

std::uint32_t rollout_controller::old_sent() const
{
    return this->old_total.sent + not_reported(this->stored.old_sent, this->old_included.sent);
}

bool rollout_controller::is_progress_due(time_point now) const
{
    const duration stored_age =
        this->order.progress ? this->order.progress->order_age : duration::zero();
    return this->order.state == rollout_state::running &&
           this->age(now) - stored_age >= progress_interval(this->order.time_limit);
}

void rollout_controller::on_report(incarnation reporter, const rollout_report& report,
                                   time_point now)
{
    if (report.target != this->order.target || report.version != this->order.version)
        return;
    const auto known = this->entries.find(reporter);
    if (known != this->entries.end() && is_older(report, known->second.report))
        return;
    if (!this->adopted)
        this->applied_permille = std::max(this->applied_permille, report.share_permille);
    this->ordered_at = std::min(this->ordered_at, now - report.order_age);
    const bool is_included = this->is_in_stored_progress(report, now);
    for (const rollout_route_counts& counts : report.routes) {
        const rollout_route_counts* before =
            known == this->entries.end() ? nullptr : find_route(known->second.report, counts.route);
        const rollout_route_counts none;
        const rollout_route_counts& last = before == nullptr ? none : *before;
        const rollout_route_counts added{counts.route,
                                         added_counts(last.old_version, counts.old_version),
                                         added_counts(last.new_version, counts.new_version)};
        add_counts(this->old_total, added.old_version);
        add_counts(this->new_total, added.new_version);
        if (is_included) {
            add_counts(this->old_included, added.old_version);
            add_counts(this->new_included, added.new_version);
        }
        this->by_route[counts.route].add(added, this->step == last_step, now);
        this->all_routes.add(added, this->step == last_step, now);
    }
    for (const upstream_pace& pace : report.paces)
        this->paces.add(pace);
    this->entries.insert_or_assign(reporter, known_entry{report, now});
}

duration rollout_controller::age(time_point now) const
{
    return now - this->ordered_at;
}

double rollout_controller::progress(time_point now) const
{
    return seconds(this->age(now)) / std::max(seconds(this->order.time_limit), 0.001);
}

double rollout_controller::request_rate(time_point now) const
{
    constexpr double min_age_s = 1.0;
    const double requests = this->old_sent() + this->new_sent();
    return requests / std::max(seconds(this->age(now)), min_age_s);
}

double rollout_controller::allowed_requests(time_point now) const
{
    const double remaining_s =
        std::max(0.0, seconds(this->order.time_limit) - seconds(this->age(now)));
    const double expected = this->old_sent() + this->new_sent() +
                            expected_traffic_part * this->request_rate(now) * remaining_s;
    return this->limits.max_share * expected + usable_extra_part * this->limits.extra_requests;
}

// The extra requests are worth most where there is little traffic: there they make up for the few
// requests of the plan's share.
std::uint32_t rollout_controller::canary_share(time_point now) const
{
    const bool may_open = this->new_total.passed >= passes_before_all_requests ||
                          (this->progress(now) >= all_requests_at && this->new_total.failed == 0);
    if (!may_open)
        return all_requests_share_permille - 1;
    const double expected =
        std::max(1.0, this->request_rate(now) * seconds(this->order.time_limit));
    const double part =
        std::clamp(canary_extra_factor / expected, min_canary_extra_part, max_canary_extra_part);
    const double extra = part * this->limits.extra_requests / (expected * plan.at(1).earliest_at);
    const double share = plan.front().share_permille + permille * extra;
    return std::min(static_cast<std::uint32_t>(share), max_canary_permille);
}

// Beyond the limits a smaller share saves nothing: the version is good, or is halted.
bool rollout_controller::has_exceeded_limits(time_point now) const
{
    return this->new_sent() > this->allowed_requests(now) + this->limits.extra_requests;
}

// The last step is not bounded unless the version becomes suspicious in it.
bool rollout_controller::is_proven(time_point now) const
{
    return this->step == last_step && (this->is_clean(now) || this->has_exceeded_limits(now));
}

// Until the last step, the requests of the next moments at this share must fit in what is allowed.
std::uint32_t rollout_controller::guarded_share(std::uint32_t share, time_point now) const
{
    constexpr double report_delay_s = 0.5;
    const double unreported =
        this->request_rate(now) * report_delay_s * this->last_permille / permille;
    const double left = this->allowed_requests(now) - this->new_sent() - unreported;
    const double soon = this->request_rate(now) * seconds(this->order.time_limit) * min_step_part;
    const double max_share = permille * std::max(0.0, left) / std::max(soon, 1.0);
    return static_cast<std::uint32_t>(std::min<double>(share, max_share));
}

double rollout_controller::max_sum() const
{
    double max = this->all_routes.max_sum();
    for (const auto& [route, comparison] : this->by_route)
        max = std::max(max, comparison.max_sum());
    return max;
}

double rollout_controller::sum_margin(time_point now) const
{
    constexpr double min_rate = 1.0;
    const double rate = std::max(this->request_rate(now), min_rate);
    const double margin =
        std::log(rate / std::clamp(rate, min_usual_requests_per_s, max_usual_requests_per_s));
    return margin < 0.0 ? low_rate_weight * margin : margin;
}

bool rollout_controller::is_clean(time_point now) const
{
    const double limit = suspicious_sum + this->sum_margin(now);
    return this->max_sum() < (this->was_suspicious ? cleared_part * limit : limit) &&
           !this->paces.is_suspicious();
}

// A version that is bad only with all requests looks sound when it has fewer again: once suspicious
// with all of them, it has to become much better before it gets them a second time.
void rollout_controller::update_suspicion(time_point now)
{
    this->was_suspicious =
        this->step == last_step && !this->is_clean(now) && !this->has_exceeded_limits(now);
}

bool rollout_controller::is_present(const known_entry& entry, time_point now) const
{
    return now - entry.received_at < entry_lifetime;
}

bool rollout_controller::all_moved(time_point now) const
{
    std::size_t present = 0;
    for (const auto& [reporter, entry] : this->entries) {
        if (!this->is_present(entry, now))
            continue;
        ++present;
        if (entry.report.share_permille < all_permille || entry.report.old_in_flight > 0)
            return false;
    }
    return present > 0;
}

// Responses of the new version that say whether it fails and, once there is something to compare
// them with, whether it is slow.
std::uint32_t rollout_controller::results() const
{
    const std::uint32_t compared =
        this->new_total.first_parts_on_time + this->new_total.first_parts_late;
    const std::uint32_t of_old =
        this->old_total.first_parts_on_time + this->old_total.first_parts_late;
    return of_old == 0 ? this->new_total.passed : std::min(this->new_total.passed, compared);
}

// With little traffic a step can bring few results only.
std::uint32_t rollout_controller::needed_results(time_point now) const
{
    constexpr double expected_part = 0.25;
    constexpr double min_results = 2.0;
    const double time_s = seconds(this->order.time_limit) *
                          (this->step == 0 ? plan.at(1).earliest_at : min_step_part);
    const double expected =
        this->request_rate(now) * time_s * this->planned_share(now) / permille * expected_part;
    const double most = this->step == 0 ? canary_results : step_results;
    return static_cast<std::uint32_t>(std::clamp(expected, min_results, most));
}

bool rollout_controller::has_results(time_point now) const
{
    // A result may count no longer once there is something to compare it with.
    const std::uint32_t results =
        std::max(this->results(), this->results_before) - this->results_before;
    return results >= this->needed_results(now);
}

std::uint32_t rollout_controller::planned_share(time_point now) const
{
    if (this->step == 0)
        return this->canary_share(now);
    const std::uint32_t planned = plan.at(this->step).share_permille;
    const bool keeps_share = this->is_clean(now) || this->has_exceeded_limits(now);
    return keeps_share ? planned : std::min(planned, suspicious_permille);
}

bool rollout_controller::has_held_step(time_point now) const
{
    return seconds(now - this->step_since) >= min_step_part * seconds(this->order.time_limit);
}

bool rollout_controller::may_advance(time_point now) const
{
    const double progress = this->progress(now);
    if (this->step == last_step || progress > latest_step_at ||
        progress < plan.at(this->step + 1).earliest_at)
        return false;
    const double max_sum = advance_part * (suspicious_sum + this->sum_margin(now));
    return this->has_held_step(now) && this->has_results(now) && this->max_sum() < max_sum &&
           !this->paces.is_suspicious();
}

// A controller that takes over goes on at the share that the entries still apply.
void rollout_controller::adopt_applied_share(time_point now)
{
    if (this->adopted || now - this->started_at < adoption_time)
        return;
    this->adopted = true;
    while (this->step < last_step &&
           plan.at(this->step + 1).share_permille <= this->applied_permille &&
           plan.at(this->step + 1).earliest_at <= this->progress(now))
        ++this->step;
    this->step_since = now;
    this->results_before = this->step == 0 ? 0 : this->results();
}

void rollout_controller::advance(time_point now)
{
    if (!this->may_advance(now))
        return;
    ++this->step;
    this->step_since = now;
    this->results_before = this->results();
}

std::optional<rollout_state> rollout_controller::next_state(time_point now) const
{
    if (this->halted)
        return rollout_state::reverted;
    const bool is_clean = this->is_clean(now);
    const bool is_last =
        this->step == last_step && this->has_held_step(now) && this->has_results(now);
    if (is_last && is_clean && this->all_moved(now))
        return rollout_state::complete;
    if (this->progress(now) >= latest_end_at)
        return is_last && is_clean ? rollout_state::complete : rollout_state::reverted;
    return rollout_state::running;
}

std::string rollout_controller::describe(time_point now) const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << "progress " << this->progress(now) << " step "
         << this->step << " old " << this->old_sent() << " sent " << this->old_total.failed
         << " failed " << this->old_total.first_parts_late << " late first parts "
         << this->old_total.streams_late << " late streams, new " << this->new_sent() << " sent "
         << this->new_total.passed << " passed " << this->new_total.failed << " failed "
         << this->new_total.first_parts_late << " late first parts " << this->new_total.streams_late
         << " late streams, sum " << this->max_sum() << " slow pairs " << this->paces.slow_pairs();
    return text.str();
}

rollout_step rollout_controller::ended_step(const rollout_order& ended) const
{
    const bool is_complete = ended.state == rollout_state::complete;
    return {{ended.target, ended.version, is_complete ? all_permille : 0, !is_complete},
            std::nullopt,
            is_complete ? "stored as complete" : "stored as reverted"};
}

rollout_step rollout_controller::decide(const rollout_order& in_force, std::size_t canary_count,
                                        time_point now)
{
    this->order = in_force;
    if (this->order.has_ended())
        return this->ended_step(in_force);
    this->halted =
        this->halted || this->max_sum() >= bad_sum + this->sum_margin(now) || this->paces.is_slow();
    this->adopt_applied_share(now);
    this->update_suspicion(now);
    if (this->adopted && canary_count > 0 && !this->halted)
        this->advance(now);
    rollout_step made;
    made.directive = {this->order.target, this->order.version, 0, this->halted};
    const std::optional<rollout_state> state = this->next_state(now);
    if (state != this->order.state)
        made.store_state = state;
    made.directive.halted = state == rollout_state::reverted;
    this->halted = made.directive.halted;
    if (canary_count > 0 && !this->halted) {
        // Until it has heard the entries, a new controller leaves their share as it is.
        const std::uint32_t planned =
            this->adopted ? this->planned_share(now) : this->applied_permille;
        made.directive.share_permille =
            this->is_proven(now) || !this->adopted ? planned : this->guarded_share(planned, now);
    }
    this->last_permille = made.directive.share_permille;
    made.progress = {this->age(now), this->new_sent(), this->old_sent()};
    made.is_progress_due = this->is_progress_due(now);
    made.reason = this->describe(now);
    return made;
}

} // namespace ragwortcove::core
