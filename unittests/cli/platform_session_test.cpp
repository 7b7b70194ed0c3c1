#include "background_loop.hpp"
#include "ragwortcove/cli/http_call.hpp"
#include "ragwortcove/cli/platform_session.hpp"
#include "ragwortcove/standin/platform_server.hpp"

#include <doctest/doctest.h>

#include <memory>

using namespace ragwortcove;
using namespace ragwortcove::cli;
using namespace std::chrono_literals;

static core::object tier(const std::string& name, std::uint32_t rank)
{
    return {{core::object_kind::tier, name}, {}, core::tier_spec{rank}, {}};
}

namespace {

/// A stand-in platform that loses or refuses answers on order.
class fake_platform {
public:
    fake_platform()
    {
        this->background.run_there([this](http::loop& loop) {
            this->server = std::make_unique<standin::platform_server>(
                loop, standin::platform_server_settings{});
        });
    }
    ~fake_platform()
    {
        this->background.run_there([this](http::loop&) { this->server.reset(); });
    }
    fake_platform(const fake_platform&) = delete;
    fake_platform& operator=(const fake_platform&) = delete;

    [[nodiscard]] core::endpoint address() const { return {"127.0.0.1", this->server->port()}; }

    void order_fault(const std::string& body) const
    {
        http_session session;
        http::client_request request;
        request.address = "127.0.0.1";
        request.port = this->server->port();
        request.message.method = "POST";
        request.message.path = "/fault";
        request.message.body = body;
        REQUIRE(session.exchange(std::move(request)).ok());
    }

private:
    test::background_loop background;
    std::unique_ptr<standin::platform_server> server;
};

} // namespace

TEST_CASE("a write is carried out once, and its end is known")
{
    const fake_platform fake;
    platform_session session(fake.address(), 30s);

    SUBCASE("a new object is written and listed")
    {
        const auto outcome = session.put(tier("desk", 0), {0});
        const auto at = std::get<core::platform_written>(outcome).at;
        const auto listed = session.list();
        REQUIRE(listed.has_value());
        REQUIRE(listed->objects.size() == 1);
        CHECK(listed->objects[0].written_at == at);
    }
    SUBCASE("the loser of a race sees what the winner wrote")
    {
        const auto first = std::get<core::platform_written>(session.put(tier("desk", 0), {0})).at;
        platform_session other(fake.address(), 30s);
        const auto second = std::get<core::platform_written>(other.put(tier("desk", 1), first)).at;
        const auto lost = std::get<core::platform_conflict>(session.put(tier("desk", 2), first));
        REQUIRE(lost.current.has_value());
        CHECK(lost.current->written_at == second);
        CHECK(lost.current->spec == core::object_spec{core::tier_spec{1}});
    }
    SUBCASE("an answer lost after the change took effect is looked up")
    {
        constexpr std::uint32_t writes = 8;
        fake.order_fault(R"({"kind":"lost_answers","rate":0.5})");
        for (std::uint32_t i = 0; i != writes; ++i) {
            CAPTURE(i);
            const auto outcome = session.put(tier("t" + std::to_string(i), i), {0});
            CHECK(std::get<core::platform_written>(outcome).at == core::revision{i + 1});
        }
    }
    SUBCASE("a removal whose answer is lost is known as well")
    {
        const auto at = std::get<core::platform_written>(session.put(tier("desk", 0), {0})).at;
        fake.order_fault(R"({"kind":"lost_answers","rate":0.5})");
        CHECK(std::holds_alternative<core::platform_written>(
            session.remove(tier("desk", 0).key, at)));
        CHECK(std::holds_alternative<core::platform_missing>(
            session.read(core::platform_get{tier("desk", 0).key})));
    }
}

TEST_CASE("a platform that stays away is given up")
{
    const fake_platform fake;
    fake.order_fault(R"({"kind":"down"})");
    platform_session session(fake.address(), 200ms);
    CHECK_FALSE(session.list().has_value());
    CHECK(std::holds_alternative<core::platform_unreachable>(session.put(tier("desk", 0), {0})));
}
