#include "ragwortcove/standin/engine_server.hpp"

#include "engine_wire.hpp"
#include "json_body.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <string>

namespace ragwortcove::standin {

namespace json = boost::json;

/// How often an open stream without news carries a comment, so that it does not look silent.
static constexpr core::duration keep_alive_interval = std::chrono::milliseconds{500};

namespace {
struct open_stream {
    http::server_exchange exchange = 0;
    std::uint32_t prompt_tokens = 0;
    bool headed = false;
    bool silent = false;
};
} // namespace

struct engine_server::state {
    state(http::loop& on, const engine_server_settings& settings);
    ~state();
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void handle(http::server_exchange exchange, const http::request& message);
    void handle_get(http::server_exchange exchange, const http::request& message);
    void handle_post(http::server_exchange exchange, const http::request& message,
                     const json::object& body);
    void start_chat(http::server_exchange exchange, const http::request& message,
                    const json::object& body);
    void resume(http::server_exchange exchange, const json::object& body);
    void export_kv(http::server_exchange exchange, const json::object& body);
    void import_kv(http::server_exchange exchange, const json::object& body);
    void take_order(http::server_exchange exchange, const json::object& body);
    void take_fault(http::server_exchange exchange, const json::object& body);
    void show_request(http::server_exchange exchange, const std::string& id);
    void show_counts(http::server_exchange exchange);
    void closed(http::server_exchange exchange);

    void tell(const engine_accepted& event);
    void tell(const engine_tokens& event);
    void tell(const engine_finished& event);
    void tell(const engine_failed& event);
    void head(open_stream& stream);
    engine_stream open(http::server_exchange exchange, const core::request_id& id);
    void end(engine_stream number);
    void pump();
    void keep_alive();
    void silence();

    [[nodiscard]] core::time_point now() const { return core::time_point{this->loop.now()}; }
    [[nodiscard]] core::request_id intern(const std::string& id);

    http::loop& loop;
    engine_model engine;
    std::vector<engine_fault> faults;
    core::time_point down_until = core::time_point::min();
    std::map<engine_stream, open_stream> streams;
    std::map<http::server_exchange, engine_stream> by_exchange;
    engine_stream last_stream;
    std::map<std::string, core::request_id, std::less<>> ids;
    std::map<core::request_id, std::string> names;
    std::map<core::request_id, std::uint32_t> prompt_tokens;
    http::timer_id pump_timer = 0;
    http::timer_id keep_alive_timer = 0;
    std::vector<engine_event> events;
    http::server server;
};

engine_server::state::state(http::loop& on, const engine_server_settings& settings)
    : loop(on), engine(settings.engine, settings.seed),
      server(
          on, settings.listen,
          [this](http::server_exchange exchange, http::request&& message) {
              this->handle(exchange, message);
          },
          [this](http::server_exchange exchange) { this->closed(exchange); })
{
    this->keep_alive();
}

engine_server::state::~state()
{
    this->loop.cancel(this->pump_timer);
    this->loop.cancel(this->keep_alive_timer);
}

void engine_server::state::handle(http::server_exchange exchange, const http::request& message)
{
    // Faults can be ordered while the engine is down; nothing else gets an answer.
    if (this->now() < this->down_until && message.path != "/fault") {
        this->server.abort(exchange);
        return;
    }
    if (message.method == "GET") {
        this->handle_get(exchange, message);
        return;
    }
    if (message.method != "POST") {
        respond_error(this->server, exchange, 405, "only GET and POST are known");
        return;
    }
    const std::optional<json::object> body = parse_json_object(message.body);
    if (!body) {
        respond_error(this->server, exchange, 400, "the body is no JSON object",
                      {{"x-not-run", "true"}});
        return;
    }
    this->handle_post(exchange, message, *body);
    this->pump();
}

void engine_server::state::handle_get(http::server_exchange exchange, const http::request& message)
{
    static constexpr std::string_view requests = "/v1/requests/";
    if (message.path == "/healthz") {
        this->server.respond(exchange, 200, "text/plain", "ok\n");
        return;
    }
    if (message.path == "/counts") {
        this->show_counts(exchange);
        return;
    }
    if (message.path == "/v1/load") {
        const core::time_point at = this->now();
        respond_json(
            this->server, exchange, 200,
            write_load(this->engine.load(at), this->engine.settings(), this->engine.serving(at)));
        return;
    }
    if (message.path == "/v1/cache/events") {
        const std::string text = http::find_query_value(message.query, "after").value_or("0");
        std::uint64_t after = 0;
        std::from_chars(text.data(), text.data() + text.size(), after);
        respond_json(this->server, exchange, 200,
                     write_cache_events(this->engine.cache_events(after, this->now())));
        return;
    }
    if (message.path.starts_with(requests)) {
        this->show_request(exchange, message.path.substr(requests.size()));
        return;
    }
    respond_error(this->server, exchange, 404, "unknown path " + message.path);
}

void engine_server::state::handle_post(http::server_exchange exchange, const http::request& message,
                                       const json::object& body)
{
    if (message.path == "/v1/chat/completions") {
        this->start_chat(exchange, message, body);
        return;
    }
    if (message.path == "/v1/resume") {
        this->resume(exchange, body);
        return;
    }
    if (message.path == "/v1/cancel") {
        this->engine.cancel(this->intern(get_text(body, "request_id")), this->now());
        respond_json(this->server, exchange, 200, json::object{});
        return;
    }
    if (message.path == "/v1/kv/export") {
        this->export_kv(exchange, body);
        return;
    }
    if (message.path == "/v1/kv/import") {
        this->import_kv(exchange, body);
        return;
    }
    if (message.path == "/v1/orders") {
        this->take_order(exchange, body);
        return;
    }
    if (message.path == "/fault") {
        this->take_fault(exchange, body);
        return;
    }
    respond_error(this->server, exchange, 404, "unknown path " + message.path,
                  {{"x-not-run", "true"}});
}

void engine_server::state::start_chat(http::server_exchange exchange, const http::request& message,
                                      const json::object& body)
{
    std::optional<engine_request> request = read_chat_request(body);
    if (!request) {
        respond_error(this->server, exchange, 400, "messages: expected a list of objects",
                      {{"x-not-run", "true"}});
        return;
    }
    if (const auto text = http::find_header(message.headers, "x-output-tokens")) {
        std::from_chars(text->data(), text->data() + text->size(), request->output_tokens);
    }
    if (const auto route = http::find_header(message.headers, "x-route")) {
        request->route = {std::string(*route)};
    }
    const auto name = http::find_header(message.headers, "x-request-id");
    const std::string unnamed = "unnamed-" + std::to_string(this->ids.size() + 1);
    request->id = this->intern(std::string(name.value_or(unnamed)));
    this->prompt_tokens[request->id] = request->prompt_tokens;
    const engine_stream stream = this->open(exchange, request->id);
    this->engine.start(*request, stream, this->now());
}

void engine_server::state::resume(http::server_exchange exchange, const json::object& body)
{
    const core::request_id id = this->intern(get_text(body, "request_id"));
    const auto offset = static_cast<std::uint32_t>(get_count(body, "offset", 0));
    this->engine.resume(id, offset, this->open(exchange, id), this->now());
}

void engine_server::state::export_kv(http::server_exchange exchange, const json::object& body)
{
    const std::string name = get_text(body, "request_id");
    const auto snapshot = this->engine.export_kv(this->intern(name), this->now());
    if (!snapshot) {
        respond_error(this->server, exchange, 404, "unknown request " + name);
        return;
    }
    json::object written = write_snapshot(*snapshot);
    written["request_id"] = name;
    respond_json(this->server, exchange, 200, written);
}

void engine_server::state::import_kv(http::server_exchange exchange, const json::object& body)
{
    kv_snapshot snapshot = read_snapshot(body);
    snapshot.request.id = this->intern(get_text(body, "request_id"));
    this->prompt_tokens[snapshot.request.id] = snapshot.request.prompt_tokens;
    const engine_stream stream = this->open(exchange, snapshot.request.id);
    this->engine.import_kv(snapshot, stream, this->now());
}

void engine_server::state::take_order(http::server_exchange exchange, const json::object& body)
{
    const engine_order order{
        {get_text(body, "model")}, {get_text(body, "version")}, {get_count(body, "fencing", 0)}};
    const engine_order_result result = this->engine.order(order, this->now());
    respond_json(this->server, exchange, result.refused_as_stale ? 409 : 200,
                 json::object{{"refused_as_stale", result.refused_as_stale},
                              {"serving", result.serving.value}});
}

void engine_server::state::take_fault(http::server_exchange exchange, const json::object& body)
{
    const std::string kind = get_text(body, "kind");
    const core::time_point at = this->now();
    if (kind == "slow" || kind == "failing") {
        this->faults.push_back(read_fault(body, at));
        this->engine.set_faults(this->faults);
    }
    else if (kind == "refusing") {
        this->engine.set_refusing(get_flag(body, "on", true));
    }
    else if (kind == "silent") {
        this->silence();
    }
    else if (kind == "pause") {
        this->engine.pause(at + get_millis(body, "for_ms", std::chrono::seconds{5}));
    }
    else if (kind == "crash") {
        this->engine.crash(at, true);
        this->down_until = at + get_millis(body, "for_ms", core::duration{0});
    }
    else if (kind == "none") {
        this->faults.clear();
        this->engine.set_faults({});
        this->engine.set_refusing(false);
    }
    else {
        respond_error(this->server, exchange, 400,
                      "kind: expected slow, failing, refusing, silent, pause, crash or none");
        return;
    }
    respond_json(this->server, exchange, 200, json::object{});
}

void engine_server::state::show_request(http::server_exchange exchange, const std::string& id)
{
    const auto known = this->ids.find(id);
    const engine_request_status status =
        known == this->ids.end() ? engine_request_status{} : this->engine.status(known->second);
    const bool unknown = status.state == engine_request_state::unknown;
    respond_json(this->server, exchange, unknown ? 404 : 200,
                 json::object{{"state", std::string(to_string(status.state))},
                              {"produced", status.produced}});
}

void engine_server::state::show_counts(http::server_exchange exchange)
{
    const engine_counts& counts = this->engine.counts();
    json::object dispatches;
    for (const auto& [id, times] : counts.dispatches) {
        dispatches[this->names[id]] = times;
    }
    respond_json(this->server, exchange, 200,
                 json::object{{"prefilled_tokens", counts.prefilled_tokens},
                              {"wasted_prefill_tokens", counts.wasted_prefill_tokens},
                              {"cached_tokens", counts.cached_tokens},
                              {"output_tokens", counts.output_tokens},
                              {"dispatches", std::move(dispatches)}});
}

void engine_server::state::closed(http::server_exchange exchange)
{
    const auto known = this->by_exchange.find(exchange);
    if (known == this->by_exchange.end()) {
        return;
    }
    const engine_stream number = known->second;
    this->engine.disconnect(number, this->now());
    this->end(number);
}

void engine_server::state::tell(const engine_accepted& event)
{
    const auto open = this->streams.find(event.stream);
    if (open != this->streams.end()) {
        this->head(open->second);
    }
}

void engine_server::state::tell(const engine_tokens& event)
{
    const auto open = this->streams.find(event.stream);
    if (open == this->streams.end() || open->second.silent) {
        return;
    }
    std::string text;
    append_token_chunks(text, event.offset, event.count);
    this->server.write(open->second.exchange, text);
}

void engine_server::state::tell(const engine_finished& event)
{
    const auto open = this->streams.find(event.stream);
    if (open == this->streams.end()) {
        return;
    }
    const open_stream stream = open->second;
    this->end(event.stream);
    if (stream.silent) {
        return;
    }
    this->server.write(stream.exchange, write_end_chunk(stream.prompt_tokens, event));
    this->server.finish(stream.exchange);
}

void engine_server::state::tell(const engine_failed& event)
{
    const auto open = this->streams.find(event.stream);
    if (open == this->streams.end()) {
        return;
    }
    const open_stream stream = open->second;
    this->end(event.stream);
    switch (event.failure) {
    case engine_failure::not_run:
        respond_error(this->server, stream.exchange, 503, "not taking requests",
                      {{"x-not-run", "true"}});
        return;
    case engine_failure::unknown_request:
        respond_error(this->server, stream.exchange, 404, "unknown request");
        return;
    case engine_failure::error_answer:
        this->server.write(stream.exchange,
                           "data: {\"error\":{\"message\":\"internal error\"}}\n\n");
        this->server.finish(stream.exchange);
        return;
    case engine_failure::connection_lost:
        this->server.abort(stream.exchange);
        return;
    }
}

void engine_server::state::head(open_stream& stream)
{
    stream.headed = true;
    this->server.start_response(stream.exchange,
                                {200, {{"content-type", "text/event-stream"}}, std::nullopt});
}

engine_stream engine_server::state::open(http::server_exchange exchange, const core::request_id& id)
{
    ++this->last_stream.value;
    this->streams[this->last_stream] = {exchange, this->prompt_tokens[id], false, false};
    this->by_exchange[exchange] = this->last_stream;
    return this->last_stream;
}

void engine_server::state::end(engine_stream number)
{
    const auto open = this->streams.find(number);
    this->by_exchange.erase(open->second.exchange);
    this->streams.erase(open);
}

void engine_server::state::pump()
{
    this->events.clear();
    this->engine.advance(this->now(), this->events);
    for (const engine_event& event : this->events) {
        std::visit([this](const auto& told) { this->tell(told); }, event);
    }
    this->loop.cancel(this->pump_timer);
    this->pump_timer = 0;
    const core::time_point next = this->engine.next_event_at();
    if (next == core::time_point::max()) {
        return;
    }
    const core::duration wait = std::max(next - this->now(), core::duration{0});
    this->pump_timer = this->loop.after(wait, [this] { this->pump(); });
}

void engine_server::state::keep_alive()
{
    for (const auto& [number, stream] : this->streams) {
        if (stream.headed && !stream.silent) {
            this->server.write(stream.exchange, ": keep-alive\n\n");
        }
    }
    this->keep_alive_timer = this->loop.after(keep_alive_interval, [this] { this->keep_alive(); });
}

void engine_server::state::silence()
{
    this->engine.silence_connections();
    for (auto& [number, stream] : this->streams) {
        stream.silent = true;
    }
}

core::request_id engine_server::state::intern(const std::string& id)
{
    const auto known = this->ids.find(id);
    if (known != this->ids.end()) {
        return known->second;
    }
    const core::request_id fresh{{}, this->ids.size() + 1};
    this->ids.emplace(id, fresh);
    this->names.emplace(fresh, id);
    return fresh;
}

engine_server::engine_server(http::loop& on, const engine_server_settings& settings)
    : self(std::make_unique<state>(on, settings))
{
}

engine_server::~engine_server() = default;

bool engine_server::listening() const
{
    return this->self->server.listening();
}

std::uint16_t engine_server::port() const
{
    return this->self->server.port();
}

} // namespace ragwortcove::standin
