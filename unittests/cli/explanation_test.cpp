#include "ragwortcove/cli/explanation.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace ragwortcove::cli {

// Lines of real runs, shortened.
static const std::string placed =
    "2026-02-02T11:59:46.366Z level=info event=200 name=request_placed request=fa8e route=r-1 "
    "team=vopu upstream=i-e650 upstream_revision=12 attempt=1 waited_ms=1174 age_ms=1220 rules=6";

TEST_CASE("a request's end is told from its lines")
{
    SUBCASE("refused, since its team had used up its quota")
    {
        const std::vector<std::string> lines{
            "t level=info event=213 name=quota_exceeded request=336d team=bono cost=5142 "
            "retry_after_ms=39 rules=6",
            "t level=info event=205 name=request_refused request=336d route=r-h status=429 "
            "reason=\"over the team's quota\" verdict=not_run age_ms=3 retry_after_ms=39"};
        CHECK(conclude(lines) ==
              "refused, not run: team bono had used up its quota under rules 6 (cost 5142)");
    }
    SUBCASE("refused, since there was no place")
    {
        const std::vector<std::string> lines{
            "t level=info event=205 name=request_refused request=da19 route=r-4 status=503 "
            "reason=\"no place in time\" verdict=not_run age_ms=3 retry_after_ms=2734"};
        CHECK(conclude(lines) ==
              "refused, not_run: no place in time, after 3 ms; told to come back after 2734 ms");
    }
    SUBCASE("failed, since its upstream broke off")
    {
        const std::vector<std::string> lines{
            placed,
            "t level=warning event=300 name=attempt_failed request=fa8e upstream=i-e650 how=broken "
            "status=none after_ms=7 may_have_run=true budget_left=true again=false",
            "t level=info event=214 name=request_failed request=fa8e route=r-1 status=502 "
            "reason=\"the upstream failed\" verdict=may_have_run age_ms=1743 rules=6"};
        CHECK(
            conclude(lines) ==
            "answered 502, may_have_run: the upstream failed under rules 6; upstream i-e650 ended "
            "it as broken (status none) after 7 ms; it had waited 1174 ms for a place");
    }
    SUBCASE("answered late")
    {
        const std::vector<std::string> lines{
            placed, "t level=info event=208 name=request_answered request=fa8e upstream=i-e650 "
                    "status=200 first_event_ms=1251 whole_ms=13175 events=552"};
        CHECK(conclude(lines) == "answered 200 by upstream i-e650 after 13175 ms; it had waited "
                                 "1174 ms for a place");
    }
    SUBCASE("lines of other daemons' events lead to no conclusion")
    {
        const std::vector<std::string> lines{"t name=answered request=a-1 x=1"};
        CHECK(conclude(lines).empty());
    }
    SUBCASE("not told")
    {
        const std::vector<std::string> lines{placed};
        CHECK(conclude(lines).find("do not tell its end") != std::string::npos);
    }
}

} // namespace ragwortcove::cli
