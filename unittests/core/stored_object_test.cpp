#include "ragwortcove/core/stored_object.hpp"

#include <doctest/doctest.h>

#include <string>
#include <variant>

using namespace ragwortcove::core;
using namespace std::chrono_literals;

namespace {
/// The stored object of a lease; the test provides the platform's results.
struct written_lease {
    random_engine random{1};
    effect_list effects;
    platform_caller platform{100.0, 100.0};
    stored_object lease{object_key{object_kind::lease, "move/m"}, call_purpose::lease};
    time_point now{1h};

    step_context context() { return {this->now, unix_millis{0}, this->random, this->effects}; }
    void write(const std::string& change)
    {
        step_context step = this->context();
        this->lease.write(lease_spec{node_name{"n"}, incarnation{1}, fencing_number{1}, {}}, change,
                          this->platform, step);
    }
    write_outcome receive_result(const platform_result& result)
    {
        step_context step = this->context();
        return this->lease.answered(result, step);
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
    written_lease writer;
    writer.lease.update_known(writer.stored(5));
    writer.write("mine-1");
    CHECK(std::get<platform_put>(writer.last_call().request).expected == revision{5});

    SUBCASE("after an applied write, the next one expects its revision")
    {
        CHECK(writer.receive_result(platform_written{revision{8}}) == write_outcome::applied);
        writer.write("mine-2");
        CHECK(std::get<platform_put>(writer.last_call().request).expected == revision{8});
    }
    SUBCASE("a write of another node in between makes it fail")
    {
        CHECK(writer.receive_result(platform_conflict{writer.stored(7), "theirs"}) ==
              write_outcome::refused);
        CHECK(writer.lease.current()->written_at == revision{7});
    }
    SUBCASE("after a lost response the object is read back and its change id compared")
    {
        CHECK(writer.receive_result(platform_unreachable{}) == write_outcome::unknown);
        CHECK(writer.lease.is_busy(writer.now));
        writer.now += 10s;
        step_context step = writer.context();
        writer.lease.tick(writer.platform, step);
        REQUIRE(std::holds_alternative<platform_get>(writer.last_call().request));

        SUBCASE("the write had taken effect")
        {
            CHECK(writer.receive_result(platform_found{writer.stored(8), "mine-1"}) ==
                  write_outcome::applied);
        }
        SUBCASE("the write had not taken effect, and another node's had")
        {
            CHECK(writer.receive_result(platform_found{writer.stored(8), "theirs"}) ==
                  write_outcome::refused);
        }
        SUBCASE("the write had not taken effect, and the object does not exist")
        {
            CHECK(writer.receive_result(platform_missing{}) == write_outcome::refused);
            CHECK_FALSE(writer.lease.is_busy(writer.now));
        }
    }
}
