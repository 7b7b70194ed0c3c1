#include "ragwortcove/core/move_plan.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace ragwortcove::core {

/// Shares of the new version, step by step, in thousandths. The last one leaves the old version a
/// little, so that late faults can be held against it at the same moment.
static constexpr std::array<std::uint32_t, 5> shares{canary_share_permille, 100, 300, 600, 950};
/// Evidence that one step needs.
static constexpr std::uint32_t pairs_for_step = 8;
static constexpr std::uint32_t passes_for_step = 8;
/// Time before the finish-by time at which the last status is written.
static constexpr std::int64_t write_margin_ms = 2'000;
static constexpr std::int64_t shortest_step_ms = 3'000;
static constexpr std::int64_t longest_step_ms = 300'000;
/// Part of the time left that the soak may take.
static constexpr std::int64_t most_soak_part = 3;
/// Setbacks after which the version is taken back.
static constexpr std::uint32_t most_setbacks = 4;

static std::size_t step_of(std::uint32_t share)
{
    const auto found = std::lower_bound(shares.begin(), shares.end(), share);
    return static_cast<std::size_t>(std::min(found, shares.end() - 1) - shares.begin());
}

static std::int64_t soak_ms(const move_spec& move, std::int64_t left)
{
    const auto asked = std::chrono::duration_cast<std::chrono::milliseconds>(move.soak).count();
    return std::min<std::int64_t>(asked, std::max<std::int64_t>(0, left) / most_soak_part);
}

// The time left is shared out evenly over the steps to come, with one step's time to spare.
static std::int64_t step_ms(const move_spec& move, const move_status_spec& status,
                            std::int64_t left)
{
    if (status.phase == move_phase::soaking) {
        const auto asked = std::chrono::duration_cast<std::chrono::milliseconds>(move.soak).count();
        return std::min<std::int64_t>(asked, left);
    }
    const auto steps = static_cast<std::int64_t>(shares.size() - step_of(status.share_permille));
    const std::int64_t each = (left - soak_ms(move, left)) / (steps + 1);
    return std::clamp(each, shortest_step_ms, longest_step_ms);
}

static void start_step(const move_spec& move, const move_status_spec& status,
                       const move_situation& seen, move_progress& progress)
{
    const std::int64_t left = move.finish_by.value - write_margin_ms - seen.wall.value;
    progress.started = true;
    progress.started_at = seen.wall;
    progress.earliest_end = unix_millis{seen.wall.value + step_ms(move, status, left)};
    progress.pairs_before = seen.pairs;
    progress.passed_before = seen.standing.passed;
}

static move_status_spec changed(const move_status_spec& status, move_phase phase,
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
    return changed(status, move_phase::reverted, 0, std::move(reason));
}

static move_status_spec done(const move_status_spec& status)
{
    return changed(status, move_phase::done, 1000, "evidence complete");
}

static bool has_evidence(const move_status_spec& status, const move_situation& seen,
                         const move_progress& progress)
{
    const bool passes = seen.standing.passed - progress.passed_before >= passes_for_step;
    const bool pairs = seen.pairs - progress.pairs_before >= pairs_for_step;
    return passes && (pairs || status.phase == move_phase::soaking);
}

static std::string why_not_finished(const move_status_spec& status)
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

static move_status_spec finish(const move_status_spec& status, const move_situation& seen,
                               const move_progress& progress)
{
    const bool good = status.phase == move_phase::soaking && !seen.standing.suspicious &&
                      has_evidence(status, seen, progress);
    return good ? done(status) : reverted(status, why_not_finished(status));
}

// Signs of a bad version take the share back to the canary's; when they come again and again at
// larger shares the version is bad under load.
static std::optional<move_status_spec> set_back(const move_status_spec& status,
                                                move_progress& progress)
{
    if (status.share_permille <= canary_share_permille)
        return std::nullopt;
    if (++progress.setbacks >= most_setbacks)
        return reverted(status, "signs of a bad version came back at every larger share");
    return changed(status, move_phase::shifting, canary_share_permille,
                   "set back by signs of a bad version");
}

static std::optional<move_status_spec>
step_on(const move_status_spec& status, const move_situation& seen, const move_progress& progress)
{
    if (seen.wall < progress.earliest_end || !has_evidence(status, seen, progress))
        return std::nullopt;
    if (status.phase == move_phase::soaking)
        return done(status);
    const std::size_t next = step_of(status.share_permille) + 1;
    const bool last = next + 1 >= shares.size();
    return changed(status, last ? move_phase::soaking : move_phase::shifting,
                   shares[std::min(next, shares.size() - 1)], "");
}

static std::optional<move_status_spec> plan_shift(const move_spec& move,
                                                  const move_status_spec& status,
                                                  const move_situation& seen,
                                                  move_progress& progress)
{
    if (!progress.started)
        start_step(move, status, seen, progress);
    const bool turned = seen.standing.suspicious && !progress.was_suspicious;
    progress.was_suspicious = seen.standing.suspicious;
    if (turned)
        return set_back(status, progress);
    if (seen.standing.suspicious)
        return std::nullopt;
    return step_on(status, seen, progress);
}

std::optional<move_status_spec> plan_next(const move_spec& move, const move_status_spec& status,
                                          const move_situation& seen, move_progress& progress)
{
    if (status.phase == move_phase::reverted)
        return std::nullopt;
    // The brake beats everything, `done` as well: its setter could not have seen it.
    if (seen.standing.halted)
        return reverted(status, "the new version failed or was slower than the old one");
    if (status.phase == move_phase::done)
        return std::nullopt;
    if (seen.wall.value >= move.finish_by.value - write_margin_ms)
        return finish(status, seen, progress);
    switch (status.phase) {
    case move_phase::pending:
        return changed(status, move_phase::preparing, 0, "");
    case move_phase::preparing:
        if (!seen.loaded)
            return std::nullopt;
        return changed(status, move_phase::shifting, shares.front(), "");
    case move_phase::shifting:
    case move_phase::soaking:
        return plan_shift(move, status, seen, progress);
    case move_phase::done:
    case move_phase::reverted:
        break;
    }
    return std::nullopt;
}

} // namespace ragwortcove::core
