#include "background_loop.hpp"
#include "ragwortcove/cli/drain_session.hpp"
#include "ragwortcove/standin/platform_server.hpp"

#include <doctest/doctest.h>

#include <memory>

using namespace ragwortcove;
using namespace ragwortcove::cli;
using namespace std::chrono_literals;

namespace {

class fake_store {
public:
    fake_store()
    {
        this->background.run_there([this](http::loop& loop) {
            this->server = std::make_unique<standin::platform_server>(
                loop, standin::platform_server_settings{});
        });
    }
    ~fake_store()
    {
        this->background.run_there([this](http::loop&) { this->server.reset(); });
    }
    fake_store(const fake_store&) = delete;
    fake_store& operator=(const fake_store&) = delete;

    [[nodiscard]] core::endpoint address() const { return {"127.0.0.1", this->server->port()}; }

private:
    test::background_loop background;
    std::unique_ptr<standin::platform_server> server;
};

} // namespace

TEST_CASE("an operator orders drains of domains, sees them and takes them back")
{
    const fake_store store;
    drain_session session(store.address(), 5s);
    auto listed = session.list();
    REQUIRE(listed.has_value());
    CHECK(listed->drains.empty());

    CHECK(session.drain({"domain-a"}) == drain_result::done);
    CHECK(session.drain({"domain-a"}) == drain_result::unchanged);
    CHECK(session.drain({"domain-b"}) == drain_result::done);
    listed = session.list();
    REQUIRE(listed.has_value());
    REQUIRE(listed->drains.size() == 2);
    CHECK(listed->drains[0].domain.value == "domain-a");
    CHECK(listed->drains[0].upstreams == 0);
    CHECK(listed->drains[1].at > listed->drains[0].at);

    CHECK(session.undo({"domain-a"}) == drain_result::done);
    CHECK(session.undo({"domain-a"}) == drain_result::unchanged);
    listed = session.list();
    REQUIRE(listed.has_value());
    CHECK(listed->drains.size() == 1);
}

TEST_CASE("a name that no domain can have is not ordered")
{
    const fake_store store;
    drain_session session(store.address(), 5s);
    CHECK(session.drain({""}) == drain_result::invalid_name);
    CHECK(session.drain({"a\r\nb"}) == drain_result::invalid_name);
    CHECK(session.drain({"a/b"}) == drain_result::invalid_name);
    CHECK(session.undo({""}) == drain_result::invalid_name);
    CHECK(session.undo({"a/../.."}) == drain_result::invalid_name);
    CHECK(session.undo({"a?b"}) == drain_result::invalid_name);
    const auto listed = session.list();
    REQUIRE(listed.has_value());
    CHECK(listed->drains.empty());
}

TEST_CASE("a store that does not answer in time is not reached")
{
    const core::endpoint nobody{"127.0.0.1", 1};
    drain_session session(nobody, 100ms);
    CHECK_FALSE(session.list().has_value());
    CHECK(session.drain({"domain-a"}) == drain_result::unreachable);
    CHECK(session.undo({"domain-a"}) == drain_result::unreachable);
}
