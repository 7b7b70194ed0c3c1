#include "ragwortcove/core/traffic_split.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

static constexpr unix_millis finish_by{1'000'000};
static constexpr unix_millis before{900'000};

static object make(object_kind kind, const std::string& name, object_spec spec)
{
    return object{object_key{kind, name}, {}, std::move(spec), revision{1}};
}

static move_spec chat_move()
{
    return move_spec{route_name{"chat"}, version_name{"v1"}, version_name{"v2"}, finish_by};
}

static move_status_spec status(move_phase phase, std::uint32_t share)
{
    return move_status_spec{phase, share, {1}, "", version_name{"v2"}, finish_by};
}

static configuration configured(std::vector<object> objects)
{
    route_spec chat;
    chat.target = target_name{"model"};
    chat.version = version_name{"v1"};
    objects.push_back(make(object_kind::route, "chat", chat));
    configuration made;
    made.apply(feed_snapshot{store_id{"s"}, revision{9}, std::move(objects)});
    return made;
}

static traffic_split split_of(std::vector<object> objects)
{
    traffic_split made;
    made.rebuild(configured(std::move(objects)));
    return made;
}

TEST_CASE("a move's phase and share decide how many requests get the new version")
{
    const move_standing proven{false, false, 100};
    const auto share = [&](move_phase phase, const move_standing& standing, unix_millis wall) {
        const route_move move{move_name{"m"}, chat_move(), status(phase, 500)};
        return share_permille(move, standing, wall);
    };
    CHECK(share(move_phase::preparing, proven, before) == 0);
    CHECK(share(move_phase::shifting, proven, before) == 500);
    CHECK(share(move_phase::done, proven, before) == 1000);
    CHECK(share(move_phase::reverted, proven, before) == 0);

    SUBCASE("signs of a bad version reduce the share to the canary's")
    {
        CHECK(share(move_phase::shifting, {false, true, 100}, before) == canary_share_permille);
    }
    SUBCASE("a halt applies in every phase")
    {
        CHECK(share(move_phase::shifting, {true, true, 100}, before) == 0);
        CHECK(share(move_phase::done, {true, false, 100}, before) == 0);
    }
    SUBCASE("after the finish-by time a move that did not reach its last step gets no share")
    {
        CHECK(share(move_phase::shifting, proven, finish_by) == 0);
        CHECK(share(move_phase::soaking, proven, finish_by) == 500);
    }
}

TEST_CASE("canaries are limited in number and to idempotent requests")
{
    route_move move{move_name{"m"}, chat_move(), status(move_phase::shifting, 1000)};
    const move_standing unknown;
    split_request request;
    request.canary_quota = 2;
    const auto picked = [&](const move_standing& standing) {
        return pick_version(move, standing, request, before).value;
    };
    CHECK(picked(unknown) == "v2");

    SUBCASE("at the quota the old version serves the request")
    {
        request.canaries_in_flight = 2;
        CHECK(picked(unknown) == "v1");
        CHECK(picked({false, false, passes_before_unbounded}) == "v2");
        CHECK(picked({false, true, passes_before_unbounded}) == "v1");
    }
    SUBCASE("a request that is not idempotent gets the new version only after idempotent ones have "
            "passed")
    {
        request.idempotent = false;
        CHECK(picked(unknown) == "v2");
        move.has_idempotent_requests = true;
        CHECK(picked(unknown) == "v1");
        CHECK(picked({false, false, passes_before_non_idempotent}) == "v2");
    }
}

TEST_CASE("the route's move with the latest finish-by time applies")
{
    const traffic_split none = split_of({});
    CHECK(none.find(route_name{"chat"}) == nullptr);

    move_spec next = chat_move();
    next.from = version_name{"v2"};
    next.to = version_name{"v3"};
    next.finish_by = unix_millis{2'000'000};
    const traffic_split split_of_two = split_of(
        {make(object_kind::move, "second", next), make(object_kind::move, "first", chat_move())});
    REQUIRE(split_of_two.find(route_name{"chat"}) != nullptr);
    CHECK(split_of_two.find(route_name{"chat"})->name == move_name{"second"});

    SUBCASE("a status of another move of the same name does not apply")
    {
        move_status_spec old = status(move_phase::done, 1000);
        const auto phase = [&] {
            const traffic_split split = split_of({make(object_kind::move, "m", chat_move()),
                                                  make(object_kind::move_status, "m", old)});
            return split.find(route_name{"chat"})->status.phase;
        };
        CHECK(phase() == move_phase::done);
        old.finish_by = unix_millis{5};
        CHECK(phase() == move_phase::pending);
        old = status(move_phase::shifting, 500);
        old.to = version_name{"v9"};
        CHECK(phase() == move_phase::pending);
    }
}

TEST_CASE("an idempotent route provides canaries for a non-idempotent route of the same target")
{
    route_spec admit;
    admit.target = target_name{"model"};
    admit.idempotent = false;
    move_spec move = chat_move();
    move.route = route_name{"admit"};
    const traffic_split split =
        split_of({make(object_kind::route, "admit", admit), make(object_kind::move, "m", move)});
    REQUIRE(split.find(route_name{"admit"}) != nullptr);
    CHECK(split.find(route_name{"admit"})->has_idempotent_requests);
    REQUIRE(split.find_assisted_move(route_name{"chat"}) != nullptr);
    CHECK(split.find_assisted_move(route_name{"chat"})->name == move_name{"m"});

    SUBCASE("unless its own move has already tested the same version")
    {
        move_spec own = chat_move();
        const traffic_split shown =
            split_of({make(object_kind::route, "admit", admit), make(object_kind::move, "m", move),
                      make(object_kind::move, "n", own),
                      make(object_kind::move_status, "n", status(move_phase::done, 1000))});
        CHECK_FALSE(shown.find(route_name{"admit"})->has_idempotent_requests);
    }
}
