#include "ragwortcove/core/stored_object.hpp"

#include <doctest/doctest.h>

#include <string>
#include <variant>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {
/// A lease's object whose platform is the test.
struct written_lease {
    random_engine random{1};
    effect_list effects;
    platform_caller platform{100.0, 100.0};
    stored_object lease{object_key{object_kind::lease, "move/m"}, call_purpose::lease};
    time_point now{1h};

    step_context context() { return {this->now, unix_millis{0}, this->random, this->effects}; }
    void write(const std::string& change)
    {
        step_context made = this->context();
        this->lease.write(lease_spec{node_name{"n"}, incarnation{1}, fencing_number{1}, {}}, change,
                          this->platform, made);
    }
    write_outcome answer(const platform_result& result)
    {
        step_context made = this->context();
        return this->lease.answered(result, made);
    }
    const call_platform& last_call() { return std::get<call_platform>(this->effects.back()); }
    object stored(std::uint64_t at) const
    {
        return object{object_key{object_kind::lease, "move/m"}, {}, lease_spec{}, revision{at}};
    }
};
} // namespace

TEST_CASE("a write is conditional on the last known revision")
{
    written_lease held;
    held.lease.update_known(held.stored(5));
    held.write("mine-1");
    CHECK(std::get<platform_put>(held.last_call().request).expected == revision{5});

    SUBCASE("taken, the next one goes on from it")
    {
        CHECK(held.answer(platform_written{revision{8}}) == write_outcome::applied);
        held.write("mine-2");
        CHECK(std::get<platform_put>(held.last_call().request).expected == revision{8});
    }
    SUBCASE("another's write in between refuses it")
    {
        CHECK(held.answer(platform_conflict{held.stored(7), "theirs"}) == write_outcome::refused);
        CHECK(held.lease.current()->written_at == revision{7});
    }
    SUBCASE("a lost answer is read back by the change's own id")
    {
        CHECK(held.answer(platform_unreachable{}) == write_outcome::unknown);
        CHECK(held.lease.is_busy(held.now));
        held.now += 10s;
        step_context made = held.context();
        held.lease.tick(held.platform, made);
        REQUIRE(std::holds_alternative<platform_get>(held.last_call().request));

        SUBCASE("and had taken effect")
        {
            CHECK(held.answer(platform_found{held.stored(8), "mine-1"}) == write_outcome::applied);
        }
        SUBCASE("or not, and another's stands there")
        {
            CHECK(held.answer(platform_found{held.stored(8), "theirs"}) == write_outcome::refused);
        }
        SUBCASE("or not, and nothing stands there")
        {
            CHECK(held.answer(platform_missing{}) == write_outcome::refused);
            CHECK_FALSE(held.lease.is_busy(held.now));
        }
    }
}
