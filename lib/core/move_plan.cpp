#include "ragwortcove/core/move_plan.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace ragwortcove::core {

/// Shares of the new version, step by step, in thousandths. The last one leaves the old version
/// some requests, so that late faults can be compared with the old version at the same time.
static constexpr std::array<std::uint32_t, 5> shares{canary_share_permille, 100, 300, 600, 950};
/// Evidence that one step needs: comparisons with the old version and complete responses.
static constexpr std::uint32_t pairs_for_step = 8;
static constexpr std::uint32_t passes_for_step = 8;
/// Time before the finish-by time at which the last status is written.
static constexpr std::int64_t write_margin_ms = 2'000;
static constexpr std::int64_t min_step_ms = 3'000;
static constexpr std::int64_t max_step_ms = 300'000;
/// The soak takes at most the time left divided by this.
static constexpr std::int64_t soak_time_divisor = 3;
/// Number of setbacks at which the move is reverted.
static constexpr std::uint32_t max_setbacks = 4;

static std::size_t step_index(std::uint32_t share)
{
    const auto found = std::lower_bound(shares.begin(), shares.end(), share);
    return static_cast<std::size_t>(std::min(found, shares.end() - 1) - shares.begin());
}

static std::int64_t soak_ms(const move_spec& move, std::int64_t left_ms)
{
    const auto requested_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(move.soak).count();
    return std::min<std::int64_t>(requested_ms,
                                  std::max<std::int64_t>(0, left_ms) / soak_time_divisor);
}

// The time left is divided evenly among the remaining steps, with one step's time in reserve.
static std::int64_t step_ms(const move_spec& move, const move_status_spec& status,
                            std::int64_t left_ms)
{
    if (status.phase == move_phase::soaking) {
        const auto requested_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(move.soak).count();
        return std::min<std::int64_t>(requested_ms, left_ms);
    }
    const auto steps = static_cast<std::int64_t>(shares.size() - step_index(status.share_permille));
    const std::int64_t each_ms = (left_ms - soak_ms(move, left_ms)) / (steps + 1);
    return std::clamp(each_ms, min_step_ms, max_step_ms);
}

static void start_step(const move_spec& move, const move_status_spec& status,
                       const move_situation& situation, move_progress& progress)
{
    const std::int64_t left_ms = move.finish_by.value - write_margin_ms - situation.wall.value;
    progress.started = true;
    progress.started_at = situation.wall;
    progress.earliest_end = unix_millis{situation.wall.value + step_ms(move, status, left_ms)};
    progress.pairs_before = situation.pairs;
    progress.passed_before = situation.standing.passed;
}

static move_status_spec make_status(const move_status_spec& status, move_phase phase,
                                    std::uint32_t share, std::string reason)
{
    move_status_spec next = status;
    next.phase = phase;
    next.share_permille = share;
    next.reason = std::move(reason);
    return next;
}

static move_status_spec reverted(const move_status_spec& status, std::string reason)
{
    return make_status(status, move_phase::reverted, 0, std::move(reason));
}

static move_status_spec done(const move_status_spec& status)
{
    return make_status(status, move_phase::done, 1000, "evidence complete");
}

static bool has_evidence(const move_status_spec& status, const move_situation& situation,
                         const move_progress& progress)
{
    const bool passes = situation.standing.passed - progress.passed_before >= passes_for_step;
    const bool pairs = situation.pairs - progress.pairs_before >= pairs_for_step;
    return passes && (pairs || status.phase == move_phase::soaking);
}

static std::string revert_reason(const move_status_spec& status)
{
    switch (status.phase) {
    case move_phase::pending:
        return "the finish-by time had passed before the move began";
    case move_phase::preparing:
        return "no upstream served the new version by the finish-by time";
    case move_phase::shifting:
    case move_phase::soaking:
    case move_phase::done:
    case move_phase::reverted:
        break;
    }
    return "too little evidence by the finish-by time";
}

static move_status_spec plan_finish(const move_status_spec& status, const move_situation& situation,
                                    const move_progress& progress)
{
    const bool is_good = status.phase == move_phase::soaking && !situation.standing.suspicious &&
                         has_evidence(status, situation, progress);
    return is_good ? done(status) : reverted(status, revert_reason(status));
}

// Signs of a bad version reduce the share to the canary's. When they return repeatedly at larger
// shares, the version is bad under load.
static std::optional<move_status_spec> plan_setback(const move_status_spec& status,
                                                    move_progress& progress)
{
    if (status.share_permille <= canary_share_permille)
        return std::nullopt;
    if (++progress.setbacks >= max_setbacks)
        return reverted(status, "signs of a bad version came back at every larger share");
    return make_status(status, move_phase::shifting, canary_share_permille,
                       "set back by signs of a bad version");
}

static std::optional<move_status_spec> plan_next_step(const move_status_spec& status,
                                                      const move_situation& situation,
                                                      const move_progress& progress)
{
    if (situation.wall < progress.earliest_end || !has_evidence(status, situation, progress))
        return std::nullopt;
    if (status.phase == move_phase::soaking)
        return done(status);
    const std::size_t next = step_index(status.share_permille) + 1;
    const bool last = next + 1 >= shares.size();
    return make_status(status, last ? move_phase::soaking : move_phase::shifting,
                       shares[std::min(next, shares.size() - 1)], "");
}

static std::optional<move_status_spec> plan_shift(const move_spec& move,
                                                  const move_status_spec& status,
                                                  const move_situation& situation,
                                                  move_progress& progress)
{
    if (!progress.started)
        start_step(move, status, situation, progress);
    const bool became_suspicious = situation.standing.suspicious && !progress.was_suspicious;
    progress.was_suspicious = situation.standing.suspicious;
    if (became_suspicious)
        return plan_setback(status, progress);
    if (situation.standing.suspicious)
        return std::nullopt;
    return plan_next_step(status, situation, progress);
}

std::optional<move_status_spec> plan_next(const move_spec& move, const move_status_spec& status,
                                          const move_situation& situation, move_progress& progress)
{
    if (status.phase == move_phase::reverted)
        return std::nullopt;
    // A halt takes precedence over every phase, including `done`: the controller that wrote the
    // phase could not have known of the halt.
    if (situation.standing.halted)
        return reverted(status, "the new version failed or was slower than the old one");
    if (status.phase == move_phase::done)
        return std::nullopt;
    if (situation.wall.value >= move.finish_by.value - write_margin_ms)
        return plan_finish(status, situation, progress);
    switch (status.phase) {
    case move_phase::pending:
        return make_status(status, move_phase::preparing, 0, "");
    case move_phase::preparing:
        if (!situation.loaded)
            return std::nullopt;
        return make_status(status, move_phase::shifting, shares.front(), "");
    case move_phase::shifting:
    case move_phase::soaking:
        return plan_shift(move, status, situation, progress);
    case move_phase::done:
    case move_phase::reverted:
        break;
    }
    return std::nullopt;
}

} // namespace ragwortcove::core
