#include "ragwortcove/core/upstream_directory.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace ragwortcove::core {

using namespace std::chrono_literals;

static announced_upstream make_upstream(std::string name, std::uint64_t at, bool leaving = false)
{
    announced_upstream made;
    made.name.value = std::move(name);
    made.target.value = "engines";
    made.address = {"10.0.0.1", 80};
    made.leaving = leaving;
    made.started_at = 7;
    made.at.revision.value = at;
    return made;
}

TEST_CASE("announcements are added, changed and removed")
{
    upstream_directory directory;
    const time_point start{1h};
    CHECK(directory.put(make_upstream("a", 5)).added.size() == 1);

    SUBCASE("an older announcement changes nothing")
    {
        CHECK(directory.put(make_upstream("a", 4, true)).empty());
        CHECK_FALSE(directory.find({"a"})->leaving);
    }
    SUBCASE("a leaving upstream is reported once")
    {
        CHECK(directory.put(make_upstream("a", 6, true)).leaving.size() == 1);
        CHECK(directory.put(make_upstream("a", 7, true)).empty());
        CHECK(directory.find({"a"})->leaving);
    }
    SUBCASE("an upstream that is warming up again is reported, once for a warm-up")
    {
        announced_upstream warming = make_upstream("a", 6);
        warming.warm_at = start + 3s;
        CHECK(directory.put(warming).warming.size() == 1);
        CHECK(directory.find({"a"})->warm_at == start + 3s);
        warming.at.revision.value = 7;
        warming.warm_at += 200ms;
        CHECK(directory.put(warming).empty());
        CHECK(directory.put(make_upstream("a", 8)).empty());
        CHECK(directory.find({"a"})->warm_at == time_point{});
        warming.at.revision.value = 9;
        CHECK(directory.put(warming).warming.size() == 1);
    }
    SUBCASE("an upstream that has said in a response that it leaves is leaving")
    {
        CHECK(directory.mark_leaving({{"a"}, 7}, start).leaving.size() == 1);
        CHECK(directory.find({"a"})->leaving);
        CHECK(directory.mark_leaving({{"a"}, 7}, start).empty());

        SUBCASE("whatever it announces afterwards")
        {
            CHECK(directory.put(make_upstream("a", 6)).empty());
            CHECK(directory.find({"a"})->leaving);
        }
        SUBCASE("also when its announcement lapses and comes back")
        {
            CHECK(directory.remove({"a"}, {6}, start).removed.size() == 1);
            directory.put(make_upstream("a", 8));
            CHECK(directory.find({"a"})->leaving);
        }
        SUBCASE("until another process has its name")
        {
            announced_upstream restarted = make_upstream("a", 6);
            restarted.started_at = 8;
            CHECK(directory.put(restarted).restarted.size() == 1);
            CHECK_FALSE(directory.find({"a"})->leaving);
            // A late response of the earlier process says nothing about this one.
            CHECK(directory.mark_leaving({{"a"}, 7}, start).empty());
            CHECK_FALSE(directory.find({"a"})->leaving);
        }
        SUBCASE("or its address changes")
        {
            announced_upstream moved = make_upstream("a", 6);
            moved.address.port = 81;
            directory.put(moved);
            CHECK_FALSE(directory.find({"a"})->leaving);
        }
    }
    SUBCASE("an upstream that says that it leaves while its announcement is missing")
    {
        CHECK(directory.remove({"a"}, {6}, start).removed.size() == 1);
        CHECK(directory.mark_leaving({{"a"}, 7}, start).empty());

        SUBCASE("is leaving when the announcement comes back")
        {
            directory.put(make_upstream("a", 8));
            CHECK(directory.find({"a"})->leaving);
        }
        SUBCASE("says nothing of another process of its name")
        {
            announced_upstream restarted = make_upstream("a", 8);
            restarted.started_at = 8;
            directory.put(restarted);
            CHECK_FALSE(directory.find({"a"})->leaving);
        }
        SUBCASE("is forgotten when the announcement stays away")
        {
            directory.tick(start + 2h);
            directory.put(make_upstream("a", 8));
            CHECK_FALSE(directory.find({"a"})->leaving);
        }
    }
    SUBCASE("a restart under the same name is reported")
    {
        announced_upstream restarted = make_upstream("a", 6);
        restarted.started_at = 8;
        CHECK(directory.put(restarted).restarted.size() == 1);
    }
    SUBCASE("without a grace period, a removal takes effect at once")
    {
        CHECK(directory.remove({"a"}, {6}, start).removed.size() == 1);
        CHECK(directory.find({"a"}) == nullptr);
    }
    SUBCASE("an old removal does not remove a newer announcement")
    {
        CHECK(directory.remove({"a"}, {4}, start).empty());
        CHECK(directory.find({"a"}) != nullptr);
    }
    SUBCASE("an older list changes nothing")
    {
        CHECK(directory.replace({}, {4}, start).empty());
        CHECK(directory.find({"a"}) != nullptr);
    }
}

TEST_CASE("after an outage of the store, missing upstreams are kept for a grace period")
{
    upstream_directory directory;
    const time_point start{1h};
    directory.put(make_upstream("a", 5));
    directory.put(make_upstream("b", 5, true));
    directory.restart_removal_grace(start);

    SUBCASE("a missing upstream is kept, and removed if it is not announced again")
    {
        CHECK(directory.remove({"a"}, {6}, start + 100ms).empty());
        CHECK(directory.find({"a"}) != nullptr);
        CHECK(directory.tick(start + 1s).empty());
        CHECK(directory.tick(start + 3s).removed.size() == 1);
        CHECK(directory.find({"a"}) == nullptr);
    }
    SUBCASE("an upstream that is announced again in time stays")
    {
        const std::vector<announced_upstream> none;
        // The removed upstream is b, which is leaving and therefore has no grace period.
        CHECK(directory.replace(none, {6}, start + 100ms).removed.size() == 1);
        CHECK(directory.put(make_upstream("a", 8)).empty());
        CHECK(directory.tick(start + 3s).empty());
        CHECK(directory.find({"a"}) != nullptr);
    }
    SUBCASE("a leaving upstream has no grace period")
    {
        CHECK(directory.remove({"b"}, {6}, start + 100ms).removed.size() == 1);
    }
    SUBCASE("the grace period starts again when the store is available again")
    {
        directory.remove({"a"}, {6}, start + 100ms);
        directory.restart_removal_grace(start + 2s);
        CHECK(directory.tick(start + 3s).empty());
        CHECK(directory.tick(start + 5s).removed.size() == 1);
    }
}

} // namespace ragwortcove::core
