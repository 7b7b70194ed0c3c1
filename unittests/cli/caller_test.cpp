#include "background_loop.hpp"
#include "ragwortcove/cli/caller.hpp"
#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/http/server.hpp"

#include <doctest/doctest.h>

#include <memory>

using namespace ragwortcove;
using namespace ragwortcove::cli;
using namespace std::chrono_literals;

namespace {

/// What an entry does with a call, once.
struct scripted_answer {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
    /// Ends the connection after the body instead of finishing it.
    bool cut = false;
};

/// An entry that offers itself and answers calls by a script.
class fake_entry {
public:
    explicit fake_entry(std::vector<scripted_answer> answers) : script(std::move(answers))
    {
        this->background.run_there([this](http::loop& loop) {
            this->server = std::make_unique<http::server>(
                loop, http::server_settings{},
                [this](auto exchange, auto&& request) { this->take(exchange, request); },
                [](auto) {});
        });
    }
    ~fake_entry()
    {
        this->background.run_there([this](http::loop&) { this->server.reset(); });
    }
    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    [[nodiscard]] core::endpoint address() const { return {"127.0.0.1", this->server->port()}; }

    /// Read only after the call is over.
    std::vector<http::request> calls;
    int address_questions = 0;
    std::string time_to_live_ms = "60000";

private:
    void take(http::server_exchange exchange, const http::request& request)
    {
        if (request.path == "/v1/addresses") {
            ++this->address_questions;
            const auto self = core::format_endpoint(this->address());
            this->server->respond(exchange, 200, "application/json",
                                  R"({"addresses":[{"address":")" + self +
                                      R"(","weight":1.0,"ticket":"t1-127.0.0.1-1-2-3"}],)" +
                                      R"("time_to_live_ms":)" + this->time_to_live_ms + "}");
            return;
        }
        const auto answer = this->script.at(std::min(this->calls.size(), this->script.size() - 1));
        this->calls.push_back(request);
        this->server->start_response(exchange,
                                     {answer.status, {{"content-type", answer.content_type}}, {}});
        this->server->write(exchange, answer.body);
        if (answer.cut)
            this->server->abort(exchange);
        else
            this->server->finish(exchange);
    }

    std::vector<scripted_answer> script;
    test::background_loop background;
    std::unique_ptr<http::server> server;
};

} // namespace

static scripted_answer refusal(const std::string& verdict, int retry_after_ms)
{
    return {429, "application/problem+json",
            R"({"verdict":")" + verdict + R"(","reason":"overloaded","retry_after_ms":)" +
                std::to_string(retry_after_ms) + "}"};
}

static scripted_answer stream(const std::string& end)
{
    return {200, "text/event-stream",
            "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n"
            "data: {\"choices\":[{\"delta\":{\"content\":\"two\"}}]}\n\n" +
                end};
}

static caller_request admission()
{
    caller_request request;
    request.route = "admissions";
    request.team = "zurich";
    request.path = "/v1/services/admissions/admit";
    request.body = "{}";
    request.key_suffix = "member-7";
    request.timeout = 10s;
    return request;
}

TEST_CASE("a call carries its team, its time and a key built on the ticket")
{
    fake_entry entry({{200, "text/plain", "done"}});
    caller caller({entry.address()}, 1);
    const auto outcome = caller.call(admission());
    CHECK(outcome.verdict == core::verdict::answered);
    CHECK(outcome.body == "done");
    REQUIRE(entry.calls.size() == 1);
    const auto& headers = entry.calls[0].headers;
    CHECK(http::find_header(headers, "idempotency-key") == "t1-127.0.0.1-1-2-3.member-7");
    CHECK(http::find_header(headers, "x-team") == "zurich");
    CHECK(http::find_header(headers, "x-timeout-ms").has_value());
}

TEST_CASE("addresses are kept for their time to live and no longer")
{
    fake_entry entry({{200, "text/plain", "done"}});
    SUBCASE("kept")
    {
        caller caller({entry.address()}, 1);
        caller.call(admission());
        caller.call(admission());
        CHECK(entry.address_questions == 1);
    }
    SUBCASE("asked again")
    {
        entry.time_to_live_ms = "0";
        caller caller({entry.address()}, 1);
        caller.call(admission());
        caller.call(admission());
        CHECK(entry.address_questions == 2);
    }
}

TEST_CASE("only what did not run is repeated")
{
    SUBCASE("a refusal that did not run, after its Retry-After")
    {
        fake_entry entry(
            {refusal("not_run", 50), refusal("not_run", 50), {200, "text/plain", "ok"}});
        const auto outcome = caller({entry.address()}, 1).call(admission());
        CHECK(outcome.verdict == core::verdict::answered);
        CHECK(outcome.tries == 3);
    }
    SUBCASE("not a refusal that may have run")
    {
        fake_entry entry({refusal("may_have_run", 50)});
        const auto outcome = caller({entry.address()}, 1).call(admission());
        CHECK(outcome.verdict == core::verdict::may_have_run);
        CHECK(entry.calls.size() == 1);
    }
    SUBCASE("not a refusal that will not change")
    {
        fake_entry entry({refusal("not_run", 0)});
        const auto outcome = caller({entry.address()}, 1).call(admission());
        CHECK(outcome.verdict == core::verdict::not_run);
        CHECK(entry.calls.size() == 1);
    }
    SUBCASE("not a connection that broke after the request was sent")
    {
        fake_entry entry({{200, "text/plain", "do", true}});
        const auto outcome = caller({entry.address()}, 1).call(admission());
        CHECK(outcome.verdict == core::verdict::may_have_run);
        CHECK(entry.calls.size() == 1);
    }
    SUBCASE("an unreachable entry is passed over for another")
    {
        fake_entry entry({{200, "text/plain", "ok"}});
        const core::endpoint nobody{"127.0.0.1", 1};
        const auto outcome = caller({nobody, entry.address()}, 1).call(admission());
        CHECK(outcome.verdict == core::verdict::answered);
    }
}

TEST_CASE("a streamed answer is whole only with its end marker")
{
    std::string seen;
    const auto call = [&](const scripted_answer& answer) {
        fake_entry entry({answer});
        return caller({entry.address()}, 1).call(admission(), [&](std::string_view text) {
            seen += text;
        });
    };
    SUBCASE("whole")
    {
        const auto outcome = call(stream("data: [DONE]\n\n"));
        CHECK(outcome.verdict == core::verdict::answered);
        CHECK(outcome.body == "one two");
        CHECK(seen == "one two");
    }
    SUBCASE("ended without the marker")
    {
        CHECK(call(stream("")).verdict == core::verdict::may_have_run);
    }
    SUBCASE("ended by an error event")
    {
        const auto outcome = call(stream("event: error\ndata: {\"error\":{\"verdict\":"
                                         "\"may_have_run\",\"reason\":\"answer_cut\"}}\n\n"));
        CHECK(outcome.verdict == core::verdict::may_have_run);
        CHECK(outcome.reason == "answer_cut");
    }
}
