#include "ragwortcove/standin/service_server.hpp"

#include "json_body.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace ragwortcove::standin {

namespace json = boost::json;

struct service_server::state {
    state(http::loop& on, const service_server_settings& settings);
    ~state() { this->loop.cancel(this->pump_timer); }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void handle(http::server_exchange exchange, const http::request& message);
    void start(http::server_exchange exchange, const http::request& message);
    void take_fault(http::server_exchange exchange, const json::object& body);
    void show_counts(http::server_exchange exchange);
    void closed(http::server_exchange exchange);

    void tell(const service_answered& event);
    void tell(const service_failed& event);
    void pump();

    [[nodiscard]] core::time_point now() const { return core::time_point{this->loop.now()}; }

    http::loop& loop;
    service_model service;
    core::time_point down_until = core::time_point::min();
    std::uint64_t calls = 0;
    http::timer_id pump_timer = 0;
    std::vector<service_event> events;
    http::server server;
};

service_server::state::state(http::loop& on, const service_server_settings& settings)
    : loop(on), service(settings.service, settings.seed),
      server(
          on, settings.listen,
          [this](http::server_exchange exchange, http::request&& message) {
              this->handle(exchange, message);
          },
          [this](http::server_exchange exchange) { this->closed(exchange); })
{
}

void service_server::state::handle(http::server_exchange exchange, const http::request& message)
{
    if (message.path == "/fault" && message.method == "POST") {
        const std::optional<json::object> body = parse_json_object(message.body);
        if (!body) {
            respond_error(this->server, exchange, 400, "the body is no JSON object");
            return;
        }
        this->take_fault(exchange, *body);
        this->pump();
        return;
    }
    if (this->now() < this->down_until) {
        this->server.abort(exchange);
        return;
    }
    if (message.path == "/counts") {
        this->show_counts(exchange);
        return;
    }
    if (message.path == "/healthz") {
        this->server.respond(exchange, 200, "text/plain", "ok\n");
        return;
    }
    this->start(exchange, message);
    this->pump();
}

void service_server::state::start(http::server_exchange exchange, const http::request& message)
{
    ++this->calls;
    const auto key = http::find_header(message.headers, "idempotency-key");
    const service_call call{{{}, this->calls}, std::string(key.value_or(""))};
    this->service.start(call, {exchange}, this->now());
}

void service_server::state::take_fault(http::server_exchange exchange, const json::object& body)
{
    const core::time_point at = this->now();
    const std::string kind = get_text(body, "kind");
    if (kind == "rates") {
        this->service.set_faults({.slow_factor = get_number(body, "slow_factor", 1.0),
                                  .refusal_rate = get_number(body, "refusal_rate", 0.0),
                                  .failure_rate = get_number(body, "failure_rate", 0.0),
                                  .lost_answer_rate = get_number(body, "lost_answer_rate", 0.0),
                                  .silent_rate = get_number(body, "silent_rate", 0.0)});
    }
    else if (kind == "refusing") {
        this->service.set_refusing(get_flag(body, "on", true));
    }
    else if (kind == "silent") {
        this->service.silence_connections();
    }
    else if (kind == "pause") {
        this->service.pause(at + get_millis(body, "for_ms", std::chrono::seconds{5}));
    }
    else if (kind == "crash") {
        this->service.crash(at, true);
        this->down_until = at + get_millis(body, "for_ms", core::duration{0});
    }
    else if (kind == "none") {
        this->service.set_faults({});
        this->service.set_refusing(false);
    }
    else {
        respond_error(this->server, exchange, 400,
                      "kind: expected rates, refusing, silent, pause, crash or none");
        return;
    }
    respond_json(this->server, exchange, 200, json::object{});
}

void service_server::state::show_counts(http::server_exchange exchange)
{
    json::object runs;
    for (const auto& [key, times] : this->service.counts().runs_by_key) {
        runs[key] = times;
    }
    respond_json(
        this->server, exchange, 200,
        json::object{{"runs", this->service.counts().runs}, {"runs_by_key", std::move(runs)}});
}

void service_server::state::closed(http::server_exchange exchange)
{
    this->service.disconnect({exchange});
}

void service_server::state::tell(const service_answered& event)
{
    this->server.respond(event.stream.value, 200, "text/plain", std::string(event.bytes, 'a'));
}

void service_server::state::tell(const service_failed& event)
{
    const http::server_exchange exchange = event.stream.value;
    switch (event.failure) {
    case service_failure::not_run:
        respond_error(this->server, exchange, 503, "not taking calls", {{"x-not-run", "true"}});
        return;
    case service_failure::error_answer:
        respond_error(this->server, exchange, 500, "internal error");
        return;
    case service_failure::connection_lost:
        this->server.abort(exchange);
        return;
    }
}

void service_server::state::pump()
{
    this->events.clear();
    this->service.advance(this->now(), this->events);
    for (const service_event& event : this->events) {
        std::visit([this](const auto& told) { this->tell(told); }, event);
    }
    this->loop.cancel(this->pump_timer);
    this->pump_timer = 0;
    const core::time_point next = this->service.next_event_at();
    if (next == core::time_point::max()) {
        return;
    }
    const core::duration wait = std::max(next - this->now(), core::duration{0});
    this->pump_timer = this->loop.after(wait, [this] { this->pump(); });
}

service_server::service_server(http::loop& on, const service_server_settings& settings)
    : self(std::make_unique<state>(on, settings))
{
}

service_server::~service_server() = default;

bool service_server::listening() const
{
    return this->self->server.listening();
}

std::uint16_t service_server::port() const
{
    return this->self->server.port();
}

} // namespace ragwortcove::standin
