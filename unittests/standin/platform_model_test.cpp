#include "ragwortcove/standin/platform_model.hpp"

#include <doctest/doctest.h>

using namespace ragwortcove;
using namespace ragwortcove::standin;
using namespace std::chrono_literals;

static constexpr core::time_point now{};

static core::object make_team(const std::string& name, double weight = 1.0)
{
    core::object team;
    team.key = {core::object_kind::team, name};
    team.spec = core::team_spec{weight};
    return team;
}

template <class Result>
static Result call_for(platform_model& platform, const core::platform_request& request)
{
    const platform_reply reply = platform.call(request, now);
    REQUIRE(reply.result.has_value());
    REQUIRE(std::holds_alternative<Result>(*reply.result));
    return std::get<Result>(*reply.result);
}

TEST_CASE("the platform writes only on the condition stated")
{
    platform_model platform(platform_settings{}, 1);
    const auto first =
        call_for<core::platform_written>(platform, core::platform_put{make_team("a"), {}, "c1"});
    CHECK(first.at.value == 1);

    SUBCASE("a second creation conflicts and shows what stands there")
    {
        const auto conflict = call_for<core::platform_conflict>(
            platform, core::platform_put{make_team("a", 2.0), {}, "c2"});
        REQUIRE(conflict.current.has_value());
        CHECK(conflict.current->written_at == first.at);
        CHECK(conflict.current_change_id == "c1");
    }
    SUBCASE("an update at the right revision raises it")
    {
        const auto second = call_for<core::platform_written>(
            platform, core::platform_put{make_team("a", 2.0), first.at, "c2"});
        CHECK(second.at > first.at);
        const auto found = call_for<core::platform_found>(
            platform, core::platform_get{{core::object_kind::team, "a"}});
        CHECK(found.value.written_at == second.at);
        CHECK(found.change_id == "c2");
    }
    SUBCASE("a removal is remembered by its change")
    {
        const core::platform_delete removal{{core::object_kind::team, "a"}, first.at, "c2"};
        call_for<core::platform_written>(platform, removal);
        const auto conflict = call_for<core::platform_conflict>(platform, removal);
        CHECK_FALSE(conflict.current.has_value());
        CHECK(conflict.current_change_id == "c2");
    }
    SUBCASE("a claim is stored but neither listed nor counted as configuration")
    {
        core::object claim;
        claim.key = {core::object_kind::claim, "key-1"};
        claim.spec = core::claim_spec{};
        call_for<core::platform_written>(platform, core::platform_put{claim, {}, "c2"});
        const auto listed = call_for<core::platform_listed>(platform, core::platform_list{});
        CHECK(listed.objects.size() == 1);
        CHECK(listed.at == first.at);
        call_for<core::platform_conflict>(platform, core::platform_put{claim, {}, "c3"});
    }
}

TEST_CASE("a watch brings the changes after a revision")
{
    platform_settings settings;
    settings.history_limit = 2;
    platform_model platform(settings, 1);
    const auto put = [&](const std::string& name) {
        call_for<core::platform_written>(platform, core::platform_put{make_team(name), {}, name});
    };
    put("a");
    const watch_reply reply = platform.open_watch({0}, now);
    REQUIRE(std::holds_alternative<watch_opened>(reply));
    const watch_id watch = std::get<watch_opened>(reply).watch;

    SUBCASE("in order, each once")
    {
        put("b");
        REQUIRE(platform.watches_with_changes().size() == 1);
        const auto delta = platform.take_changes(watch);
        REQUIRE(delta.has_value());
        REQUIRE(delta->changed.size() == 2);
        CHECK(delta->changed[1].key.name == "b");
        CHECK(delta->upto.value == 2);
        CHECK(platform.watches_with_changes().empty());
    }
    SUBCASE("a silent watch brings nothing; a new one does")
    {
        platform.silence_watches();
        put("b");
        CHECK(platform.watches_with_changes().empty());
        CHECK(std::holds_alternative<watch_opened>(platform.open_watch({1}, now)));
        CHECK(platform.watches_with_changes().size() == 1);
    }
    SUBCASE("a position that the history no longer covers is gone")
    {
        put("b");
        put("c");
        put("d");
        CHECK(std::holds_alternative<watch_gone>(platform.open_watch({1}, now)));
        CHECK_FALSE(platform.take_changes(watch).has_value());
        CHECK(platform.watches_with_changes().empty());
    }
}

TEST_CASE("the platform fails as ordered")
{
    platform_settings settings;
    settings.writes_per_second = 2.0;
    platform_model platform(settings, 1);
    const core::platform_put put{make_team("a"), {}, "c1"};

    SUBCASE("calls beyond the rate are refused with a time to wait")
    {
        call_for<core::platform_written>(platform, put);
        call_for<core::platform_conflict>(platform, put);
        const auto throttled = call_for<core::platform_throttled>(platform, put);
        CHECK(throttled.retry_after == 500ms);
        const auto later = platform.call(put, now + 500ms);
        CHECK(std::holds_alternative<core::platform_conflict>(*later.result));
        CHECK(platform.counts().throttled == 1);
        CHECK(platform.counts().writes == 3);
    }
    SUBCASE("while it is down nothing takes effect")
    {
        platform.set_faults({.down = true});
        CHECK_FALSE(platform.call(put, now).result.has_value());
        CHECK(std::holds_alternative<watch_unreachable>(platform.open_watch({}, now)));
        platform.set_faults({});
        call_for<core::platform_missing>(platform, core::platform_get{put.value.key});
    }
    SUBCASE("a lost answer has taken effect")
    {
        platform.set_faults({.lost_answer_rate = 1.0});
        CHECK_FALSE(platform.call(put, now).result.has_value());
        platform.set_faults({});
        const auto found =
            call_for<core::platform_found>(platform, core::platform_get{put.value.key});
        CHECK(found.change_id == "c1");
    }
    SUBCASE("a slow one answers late")
    {
        platform.set_faults({.slow_factor = 100.0});
        CHECK(platform.call(put, now).after == 100 * settings.answer_time);
    }
}
