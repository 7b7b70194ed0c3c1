#include "ragwortcove/http/server.hpp"
#include "ragwortcove/load/load_run.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <set>
#include <thread>

namespace ragwortcove::load::test {

TEST_CASE("settings of a load are read whole")
{
    SUBCASE("a proper file")
    {
        const auto read = read_load_settings(
            settings::parse_ini("load.ini", "[load]\n"
                                            "entries = 127.0.0.1:1, 127.0.0.1:2\n"
                                            "duration = 3s\n"
                                            "[class lookup]\n"
                                            "route = lookups\n"
                                            "rate_per_second = 10.5\n"
                                            "arrivals = bursts\n"
                                            "prompt_tokens = lognormal 100 1.5\n"));
        REQUIRE(read.errors.empty());
        CHECK(read.settings->entries.size() == 2);
        REQUIRE(read.settings->classes.size() == 1);
        CHECK(read.settings->classes[0].name == "lookup");
        CHECK(read.settings->classes[0].rate_per_second == 10.5);
        CHECK(read.settings->classes[0].arrivals == arrival_process::bursts);
    }

    SUBCASE("each mistake is told with its line")
    {
        const auto read =
            read_load_settings(settings::parse_ini("load.ini", "[load]\n"
                                                               "direct = nowhere\n"
                                                               "colour = red\n"
                                                               "[class lookup]\n"
                                                               "rate_per_second = -1\n"
                                                               "[other]\n"));
        CHECK_FALSE(read.settings);
        std::set<std::size_t> lines;
        for (const settings::located_error& error : read.errors)
            lines.insert(error.line);
        for (const std::size_t line : {2, 3, 4, 5, 6})
            CHECK(lines.count(line) == 1);
    }
}

TEST_CASE("lengths and percentiles")
{
    std::mt19937_64 random(1);
    CHECK_FALSE(parse_length_distribution("normal 1 2"));
    CHECK_FALSE(parse_length_distribution("uniform 5 2"));
    CHECK(draw_length(*parse_length_distribution("7"), random) == 7);
    const auto spread = *parse_length_distribution("lognormal 100 1");
    int above = 0;
    for (int draw = 0; draw < 10000; ++draw)
        above += draw_length(spread, random) > 100 ? 1 : 0;
    CHECK(above > 4700);
    CHECK(above < 5300);

    std::vector<std::chrono::microseconds> values;
    for (int value = 100; value >= 1; --value)
        values.emplace_back(value);
    CHECK(percentile(values, 0.50).count() == 50);
    CHECK(percentile(values, 0.99).count() == 99);
    CHECK(percentile({}, 0.99).count() == 0);
}

namespace {

/// An entry and upstream in one, on a thread of its own.
class small_entry {
public:
    using answer_handler =
        std::function<void(http::server&, http::server_exchange, const http::request&)>;

    explicit small_entry(answer_handler answer)
    {
        std::promise<std::uint16_t> listening;
        auto port = listening.get_future();
        this->worker = std::thread([this, answer = std::move(answer), &listening] {
            http::loop on;
            http::server serving(
                on, {},
                [&](http::server_exchange exchange, http::request&& message) {
                    answer(serving, exchange, message);
                },
                [](http::server_exchange) {});
            this->running = &on;
            listening.set_value(serving.port());
            on.run();
        });
        this->own_port = port.get();
    }
    ~small_entry()
    {
        http::loop* const on = this->running;
        on->post([on] { on->stop(); });
        this->worker.join();
    }
    small_entry(const small_entry&) = delete;
    small_entry& operator=(const small_entry&) = delete;

    [[nodiscard]] std::uint16_t port() const { return this->own_port; }

private:
    std::atomic<http::loop*> running{nullptr};
    std::uint16_t own_port = 0;
    std::thread worker;
};

} // namespace

static load_settings settings_for(std::uint16_t port)
{
    load_settings made;
    made.entries = {{"127.0.0.1", 1}, {"127.0.0.1", port}};
    made.duration = std::chrono::milliseconds(500);
    load_class lookups;
    lookups.name = "lookup";
    lookups.route = "lookups";
    lookups.rate_per_second = 200;
    lookups.keyed = true;
    lookups.timeout = std::chrono::seconds(5);
    made.classes = {lookups};
    return made;
}

static void answer_addresses(http::server& serving, http::server_exchange exchange)
{
    const std::string address = "127.0.0.1:" + std::to_string(serving.port());
    serving.respond(exchange, 200, "application/json",
                    R"({"time_to_live_ms":60000,"addresses":[{"address":")" + address +
                        R"(","ticket":"t"}]})");
}

TEST_CASE("a load run keeps the callers' rules")
{
    std::atomic<int> asked{0};
    std::set<std::string> keys;
    std::set<std::string> refused;
    bool early = false;
    int repeated = 0;

    SUBCASE("addresses are kept, keys differ, and what did not run is asked again")
    {
        small_entry entry([&](http::server& serving, http::server_exchange exchange,
                              const http::request& message) {
            if (message.path == "/v1/addresses") {
                ++asked;
                answer_addresses(serving, exchange);
                return;
            }
            const std::string key(
                http::find_header(message.headers, "idempotency-key").value_or(""));
            early = early || !key.starts_with("t.load");
            repeated += keys.insert(key).second ? 0 : 1;
            if (keys.size() % 10 == 0 && refused.insert(key).second) {
                serving.respond(exchange, 429, "application/problem+json",
                                R"({"verdict":"not_run","retry_after_ms":5})");
                return;
            }
            serving.respond(exchange, 200, "text/plain", "ok");
        });
        const load_outcome outcome = run_load(settings_for(entry.port()));
        const class_result& lookups = outcome.classes[0];
        CHECK(asked == 1);
        CHECK_FALSE(early);
        CHECK(lookups.sent > 50);
        CHECK(lookups.answered == lookups.sent);
        CHECK(lookups.retries == refused.size());
        CHECK(repeated == static_cast<int>(refused.size()));
        CHECK(lookups.latencies.size() == lookups.answered);
    }

    SUBCASE("a verdict that is not `not_run` ends the request")
    {
        small_entry entry([&](http::server& serving, http::server_exchange exchange,
                              const http::request& message) {
            if (message.path == "/v1/addresses") {
                answer_addresses(serving, exchange);
                return;
            }
            serving.respond(exchange, 502, "application/problem+json",
                            R"({"verdict":"may_have_run","retry_after_ms":5})");
        });
        const load_outcome outcome = run_load(settings_for(entry.port()));
        CHECK(outcome.classes[0].may_have_run == outcome.classes[0].sent);
        CHECK(outcome.classes[0].retries == 0);
    }

    SUBCASE("streams without their end marker are cut, whole ones give token times")
    {
        int number = 0;
        small_entry entry([&](http::server& serving, http::server_exchange exchange,
                              const http::request& message) {
            if (message.path == "/v1/addresses") {
                answer_addresses(serving, exchange);
                return;
            }
            serving.start_response(exchange, {200, {{"content-type", "text/event-stream"}}, {}});
            for (int token = 0; token < 3; ++token)
                serving.write(exchange, "data: {\"content\":\"a\"}\n\n");
            if (++number % 2 == 0)
                serving.write(exchange, "data: [DONE]\n\n");
            serving.finish(exchange);
        });
        load_settings wanted = settings_for(entry.port());
        wanted.classes[0].kind = request_kind::chat;
        const load_outcome outcome = run_load(wanted);
        const class_result& chats = outcome.classes[0];
        CHECK(chats.answered == chats.sent / 2);
        CHECK(chats.cut == chats.sent - chats.answered);
        CHECK(chats.tokens == 3 * chats.sent);
        CHECK(chats.first_tokens.size() == chats.sent);
    }
}

} // namespace ragwortcove::load::test
