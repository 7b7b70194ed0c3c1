#include "ragwortcove/standin/platform_server.hpp"

#include "json_body.hpp"
#include "ragwortcove/platform/codec.hpp"
#include "ragwortcove/platform/object_path.hpp"

#include <charconv>
#include <map>
#include <set>
#include <string>

namespace ragwortcove::standin {

namespace json = boost::json;

/// How often a watch without changes carries a line, so that it does not look silent.
static constexpr core::duration heartbeat_interval = std::chrono::milliseconds{500};
static constexpr std::string_view json_type = "application/json";

namespace {

struct http_answer {
    int status = 200;
    std::string body;
    std::vector<http::header> headers;
};

/// Turns a result into a response; a list carries no change ids.
struct answer_writer {
    http_answer operator()(const core::platform_found& result) const
    {
        return {200, platform::encode_object(result.value, result.change_id), {}};
    }
    http_answer operator()(const core::platform_missing&) const
    {
        return {404, platform::encode_problem("no such object"), {}};
    }
    http_answer operator()(const core::platform_listed& result) const
    {
        platform::object_list list{result.store, result.at, {}};
        for (const core::object& value : result.objects) {
            list.objects.push_back({value, {}});
        }
        return {200, platform::encode_list(list), {}};
    }
    http_answer operator()(const core::platform_written& result) const
    {
        return {200, platform::encode_written(result.at), {}};
    }
    http_answer operator()(const core::platform_conflict& result) const
    {
        platform::write_conflict conflict;
        if (result.current) {
            conflict.current = platform::stored_object{*result.current, result.current_change_id};
        }
        return {409, platform::encode_conflict(conflict), {}};
    }
    http_answer operator()(const core::platform_throttled& result) const
    {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(result.retry_after);
        return {429,
                platform::encode_problem("too many calls"),
                {{"retry-after", std::to_string(seconds.count())}}};
    }
    http_answer operator()(const core::platform_unreachable&) const
    {
        return {503, platform::encode_problem("not available"), {}};
    }
    http_answer operator()(const core::platform_rejected& result) const
    {
        return {400, platform::encode_problem(result.message), {}};
    }
};

} // namespace

static core::revision read_revision(std::string_view query, std::string_view key)
{
    const std::string text = http::find_query_value(query, key).value_or("");
    core::revision read;
    std::from_chars(text.data(), text.data() + text.size(), read.value);
    return read;
}

struct platform_server::state {
    state(http::loop& on, const platform_server_settings& settings);
    ~state();
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void handle(http::server_exchange exchange, const http::request& message);
    void handle_object(http::server_exchange exchange, const http::request& message);
    void put(http::server_exchange exchange, const http::request& message,
             const core::object_key& key);
    void call(http::server_exchange exchange, const core::platform_request& request);
    void answer(http::server_exchange exchange, const core::platform_result& result);
    void open_watch(http::server_exchange exchange, const http::request& message);
    void take_fault(http::server_exchange exchange, const json::object& body);
    void show_counts(http::server_exchange exchange);
    void closed(http::server_exchange exchange);
    void tell_watches();
    void write_changes(watch_id watch, const core::feed_delta& changes);
    void heartbeat();
    void lose(http::server_exchange exchange);

    [[nodiscard]] core::time_point now() const { return core::time_point{this->loop.now()}; }

    http::loop& loop;
    platform_model store;
    platform_faults faults;
    /// Whether a call without an answer keeps its connection open, rather than breaking it.
    bool hangs = false;
    std::map<watch_id, http::server_exchange> watches;
    std::set<watch_id> silent;
    std::set<http::timer_id> answers_due;
    http::timer_id fault_timer = 0;
    http::timer_id heartbeat_timer = 0;
    http::server server;
};

platform_server::state::state(http::loop& on, const platform_server_settings& settings)
    : loop(on), store(settings.platform, settings.seed),
      server(
          on, settings.listen,
          [this](http::server_exchange exchange, http::request&& message) {
              this->handle(exchange, message);
          },
          [this](http::server_exchange exchange) { this->closed(exchange); })
{
    this->heartbeat();
}

platform_server::state::~state()
{
    this->loop.cancel(this->heartbeat_timer);
    this->loop.cancel(this->fault_timer);
    for (const http::timer_id timer : this->answers_due) {
        this->loop.cancel(timer);
    }
}

void platform_server::state::handle(http::server_exchange exchange, const http::request& message)
{
    if (message.path == "/fault" && message.method == "POST") {
        const std::optional<json::object> body = parse_json_object(message.body);
        if (!body) {
            respond_error(this->server, exchange, 400, "the body is no JSON object");
            return;
        }
        this->take_fault(exchange, *body);
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
    if (message.path == platform::watch_path && message.method == "GET") {
        this->open_watch(exchange, message);
        return;
    }
    if (message.path == platform::objects_path && message.method == "GET") {
        this->call(exchange, core::platform_list{});
        return;
    }
    this->handle_object(exchange, message);
}

void platform_server::state::handle_object(http::server_exchange exchange,
                                           const http::request& message)
{
    const auto key = platform::parse_object_path(message.path, message.query);
    if (!key) {
        this->server.respond(exchange, 404, json_type,
                             platform::encode_problem("unknown path " + message.path));
        return;
    }
    if (message.method == "GET") {
        this->call(exchange, core::platform_get{*key});
        return;
    }
    if (message.method == "PUT") {
        this->put(exchange, message, *key);
        return;
    }
    if (message.method == "DELETE") {
        this->call(exchange, core::platform_delete{
                                 *key, read_revision(message.query, "expected"),
                                 http::find_query_value(message.query, "change").value_or("")});
        return;
    }
    this->server.respond(exchange, 405, json_type,
                         platform::encode_problem("expected GET, PUT or DELETE"));
}

void platform_server::state::put(http::server_exchange exchange, const http::request& message,
                                 const core::object_key& key)
{
    auto decoded = platform::decode_object(message.body);
    if (!decoded) {
        this->server.respond(exchange, 400, json_type,
                             platform::encode_problem("the body is no object"));
        return;
    }
    if (decoded->value.key != key) {
        this->server.respond(exchange, 400, json_type,
                             platform::encode_problem("path and body name different objects"));
        return;
    }
    this->call(exchange,
               core::platform_put{decoded->value, read_revision(message.query, "expected"),
                                  http::find_query_value(message.query, "change").value_or("")});
}

void platform_server::state::call(http::server_exchange exchange,
                                  const core::platform_request& request)
{
    platform_reply reply = this->store.call(request, this->now());
    this->tell_watches();
    if (!reply.result) {
        this->lose(exchange);
        return;
    }
    const auto timer = std::make_shared<http::timer_id>(0);
    *timer = this->loop.after(reply.after, [this, exchange, timer, result = *reply.result] {
        this->answers_due.erase(*timer);
        this->answer(exchange, result);
    });
    this->answers_due.insert(*timer);
}

void platform_server::state::answer(http::server_exchange exchange,
                                    const core::platform_result& result)
{
    http_answer written = std::visit(answer_writer{}, result);
    this->server.respond(exchange, written.status, json_type, written.body,
                         std::move(written.headers));
}

void platform_server::state::open_watch(http::server_exchange exchange,
                                        const http::request& message)
{
    const watch_reply reply =
        this->store.open_watch(read_revision(message.query, "after"), this->now());
    if (std::holds_alternative<watch_unreachable>(reply)) {
        this->lose(exchange);
        return;
    }
    if (std::holds_alternative<watch_gone>(reply)) {
        this->server.respond(exchange, 410, json_type,
                             platform::encode_problem("the history no longer covers this watch"));
        return;
    }
    if (const auto* throttled = std::get_if<watch_throttled>(&reply)) {
        this->answer(exchange, core::platform_throttled{throttled->retry_after});
        return;
    }
    this->watches[std::get<watch_opened>(reply).watch] = exchange;
    this->server.start_response(exchange,
                                {200, {{"content-type", std::string(json_type)}}, std::nullopt});
    this->tell_watches();
}

void platform_server::state::take_fault(http::server_exchange exchange, const json::object& body)
{
    const std::string kind = get_text(body, "kind");
    this->hangs = get_flag(body, "hang", false);
    if (kind == "down") {
        this->faults.down = true;
    }
    else if (kind == "slow") {
        this->faults.slow_factor = get_number(body, "factor", 1.0);
    }
    else if (kind == "lost_answers") {
        this->faults.lost_answer_rate = get_number(body, "rate", 1.0);
    }
    else if (kind == "silent_watches") {
        this->store.silence_watches();
        for (const auto& [watch, open] : this->watches) {
            this->silent.insert(watch);
        }
    }
    else if (kind == "none") {
        this->faults = {};
    }
    else {
        respond_error(this->server, exchange, 400,
                      "kind: expected down, slow, lost_answers, silent_watches or none");
        return;
    }
    this->store.set_faults(this->faults);
    this->tell_watches();
    this->loop.cancel(this->fault_timer);
    this->fault_timer = 0;
    const core::duration length = get_millis(body, "for_ms", core::duration{0});
    if (length > core::duration{0}) {
        this->fault_timer = this->loop.after(length, [this] {
            this->faults = {};
            this->store.set_faults({});
            this->tell_watches();
        });
    }
    respond_json(this->server, exchange, 200, json::object{});
}

void platform_server::state::show_counts(http::server_exchange exchange)
{
    const platform_counts& counts = this->store.counts();
    respond_json(this->server, exchange, 200,
                 json::object{{"reads", counts.reads},
                              {"writes", counts.writes},
                              {"watches", counts.watches},
                              {"throttled", counts.throttled},
                              {"revision", this->store.current().value}});
}

void platform_server::state::closed(http::server_exchange exchange)
{
    for (auto open = this->watches.begin(); open != this->watches.end(); ++open) {
        if (open->second != exchange) {
            continue;
        }
        this->store.close_watch(open->first);
        this->silent.erase(open->first);
        this->watches.erase(open);
        return;
    }
}

void platform_server::state::tell_watches()
{
    for (const watch_id watch : this->store.watches_with_changes()) {
        const auto changes = this->store.take_changes(watch);
        if (changes) {
            this->write_changes(watch, *changes);
            continue;
        }
        // The history passed this watch by while the platform was down.
        const http::server_exchange exchange = this->watches.at(watch);
        this->watches.erase(watch);
        this->server.finish(exchange);
    }
}

void platform_server::state::write_changes(watch_id watch, const core::feed_delta& changes)
{
    std::map<core::revision, std::string> lines;
    for (const core::object& changed : changes.changed) {
        lines[changed.written_at] =
            platform::encode_watch_line({changes.store, changed.written_at, changed});
    }
    for (const core::feed_delta::removal& removed : changes.removed) {
        lines[removed.at] = platform::encode_watch_line({changes.store, removed.at, removed.key});
    }
    std::string text;
    for (const auto& [at, line] : lines) {
        text += line + "\n";
    }
    this->server.write(this->watches.at(watch), text);
}

void platform_server::state::heartbeat()
{
    const std::string line =
        platform::encode_watch_line({this->store.settings().store, this->store.current(), {}});
    for (const auto& [watch, exchange] : this->watches) {
        if (!this->silent.contains(watch) && !this->faults.down) {
            this->server.write(exchange, line + "\n");
        }
    }
    this->heartbeat_timer = this->loop.after(heartbeat_interval, [this] { this->heartbeat(); });
}

void platform_server::state::lose(http::server_exchange exchange)
{
    if (!this->hangs) {
        this->server.abort(exchange);
    }
}

platform_server::platform_server(http::loop& on, const platform_server_settings& settings)
    : self(std::make_unique<state>(on, settings))
{
}

platform_server::~platform_server() = default;

bool platform_server::listening() const
{
    return this->self->server.listening();
}

std::uint16_t platform_server::port() const
{
    return this->self->server.port();
}

} // namespace ragwortcove::standin
