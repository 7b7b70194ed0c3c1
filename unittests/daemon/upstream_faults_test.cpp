#include "../http/loopback.hpp"
#include "cluster.hpp"
#include "ragwortcove/http/event_stream.hpp"

#include <boost/json.hpp>

using namespace ragwortcove;
using namespace ragwortcove::daemon;
using namespace ragwortcove::daemon::test;

static std::string chat_body(int tokens, bool stream = true)
{
    boost::json::object body;
    body["model"] = "chat";
    body["messages"] = boost::json::array{{{"role", "user"}, {"content", "who may enter?"}}};
    body["max_tokens"] = tokens;
    body["stream"] = stream;
    return boost::json::serialize(body);
}

static std::string expected_text(int tokens)
{
    std::string text;
    for (int token = 0; token < tokens; ++token)
        text += "t" + std::to_string(token) + " ";
    return text;
}

/// Text of a streamed answer's chunks, up to its end marker or error.
static std::string text_of(const reply& got)
{
    http::event_stream_reader reader;
    std::string text;
    for (const std::string& data : reader.take(got.body)) {
        const std::optional<chat_chunk> chunk = parse_chat_chunk(data);
        if (chunk)
            text += chunk->content;
    }
    return text;
}

static void order_fault(cluster& here, std::uint16_t port, std::string body)
{
    const reply& got = here.start(port, cluster::make_message("POST", "/fault", std::move(body)));
    run_until(here.loop, [&] { return got.over; });
    CHECK(got.status == 200);
}

TEST_CASE("an engine fails while it has a caller's stream")
{
    static constexpr int tokens = 400;
    cluster here;
    here.declare_all();
    const reply& open = here.start(
        here.port, cluster::make_message("POST", "/v1/chat/completions", chat_body(tokens)));
    run_until(here.loop, [&] { return open.body.size() > 2000; });

    SUBCASE("its connections go silent: the stream goes on over a new one and is whole")
    {
        order_fault(here, here.engine.port(), R"({"kind":"silent"})");
        run_until(here.loop, [&] { return open.over; });
        CHECK(open.body.ends_with("data: [DONE]\n\n"));
        CHECK(text_of(open) == expected_text(tokens));
    }
    SUBCASE("it crashes for good: the caller is told that its answer is cut")
    {
        order_fault(here, here.engine.port(), R"({"kind":"crash","for_ms":60000})");
        run_until(here.loop, [&] { return open.over; });
        CHECK(open.body.find("[DONE]") == std::string::npos);
        CHECK(open.body.find("event: error") != std::string::npos);
        CHECK(open.body.find(R"("verdict":"may_have_run")") != std::string::npos);
        CHECK(expected_text(tokens).starts_with(text_of(open)));
        CHECK(here.open_requests() == 0);
    }
}

namespace {

/// Takes one chat request, answers with one token, and is gone with its connection and listener.
class dying_engine {
public:
    dying_engine() : listener(open_listener()), worker([this] { this->serve(); }) {}
    ~dying_engine() { this->worker.join(); }
    dying_engine(const dying_engine&) = delete;
    dying_engine& operator=(const dying_engine&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_of(this->listener); }

private:
    static int open_listener()
    {
        const int descriptor = bind_any_port();
        REQUIRE(listen(descriptor, 8) == 0);
        return descriptor;
    }
    void serve()
    {
        bool served = false;
        while (!served) {
            const int connection = accept(this->listener, nullptr, nullptr);
            std::array<char, 4096> buffer{};
            const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
            const std::string_view request{buffer.data(), count > 0 ? std::size_t(count) : 0};
            served = request.starts_with("POST /v1/chat/completions ");
            if (served)
                send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
            if (served)
                close(this->listener);
            close(connection);
        }
    }

    static constexpr std::string_view answer =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 10000\r\n\r\n"
        "data: {\"choices\":[{\"delta\":{\"content\":\"lost \"}}]}\n\n";
    int listener = -1;
    std::thread worker;
};

} // namespace

TEST_CASE("an engine dies with an answer that is not streamed: another gives it anew")
{
    static constexpr int tokens = 40;
    cluster here;
    const dying_engine first;
    here.declare_all(first.port(), here.service.port());
    const reply& open = here.start(
        here.port, cluster::make_message("POST", "/v1/chat/completions", chat_body(tokens, false)));
    here.declare_engine("engine-2", here.engine.port());
    run_until(here.loop, [&] { return open.over; });
    REQUIRE(open.status == 200);
    const boost::json::value body = boost::json::parse(open.body);
    CHECK(body.at_pointer("/choices/0/message/content").as_string() == expected_text(tokens));
    CHECK(body.at_pointer("/usage/completion_tokens").as_int64() == tokens);
}

TEST_CASE("upstreams refuse and fail before an answer")
{
    cluster here;
    here.declare_all();

    SUBCASE("an engine that says it did not run the request lets it be refused truly")
    {
        order_fault(here, here.engine.port(), R"({"kind":"refusing"})");
        const reply& got =
            here.call("POST", "/v1/chat/completions", chat_body(5), {{"x-timeout-ms", "1500"}});
        CHECK(got.status >= 400);
        CHECK(got.body.find(R"("verdict":"not_run")") != std::string::npos);
    }
    SUBCASE("a payment whose answer is lost is not sent again")
    {
        order_fault(here, here.service.port(), R"({"kind":"rates","lost_answer_rate":1.0})");
        const reply& got = here.call("POST", "/v1/services/payment/pay", "10");
        CHECK(got.status == 502);
        CHECK(got.body.find(R"("verdict":"may_have_run")") != std::string::npos);
        const reply& counts =
            here.start(here.service.port(), cluster::make_message("GET", "/counts"));
        run_until(here.loop, [&] { return counts.over; });
        CHECK(boost::json::parse(counts.body).at("runs").as_int64() == 1);
    }
}

// Guards against a body that is not the service's: its frame stood in it, since a blank behind the
// name of a field hid that the body comes in chunks.
TEST_CASE("a service's answer that is not HTTP reaches no caller")
{
    std::string head;
    SUBCASE("a blank in the name of a field")
    {
        head = "HTTP/1.1 200 OK\r\ntransfer-encoding : chunked\r\n";
    }
    SUBCASE("a control byte in the name of a field")
    {
        head = "HTTP/1.1 200 OK\r\nx-o\x01ud: 1\r\n";
    }
    SUBCASE("a status below those of HTTP")
    {
        head = "HTTP/1.1 000 Odd\r\n";
    }
    http::test::raw_server service([&](http::test::raw_connection& connection) {
        const std::string asked = connection.receive_until("\r\n\r\n");
        const bool is_probe = asked.starts_with("GET /healthz ");
        connection.send(is_probe ? "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                                 : head + "content-length: 8\r\n\r\n3\r\nodd\r\n");
    });
    cluster here;
    here.declare_all(here.engine.port(), service.port());
    const reply& got = here.call("POST", "/v1/services/payment/pay", "10");
    CHECK(got.status == 502);
    CHECK(got.body.find("odd") == std::string::npos);
    CHECK(got.body.find(R"("verdict":"may_have_run")") != std::string::npos);
}
