#include "ragwortcove/standin/platform_server.hpp"

#include "json_body.hpp"
#include "ragwortcove/http/percent_encoding.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace ragwortcove::standin {

namespace json = boost::json;

static constexpr std::string_view json_type = "application/json";
/// Longest time that a watch may ask to wait.
static constexpr std::chrono::milliseconds longest_wait{30'000};

namespace {

struct waiting_watch {
    adapter::watch_documents asked;
    http::timer_id limit = 0;
    /// Whether it hears of nothing any more.
    bool silent = false;
};

} // namespace

struct platform_server::state {
    state(http::loop& on, const platform_server_settings& settings);
    ~state();
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void handle(http::server_exchange exchange, const http::request& message);
    void call(http::server_exchange exchange, const adapter::store_call& wanted);
    void open_watch(http::server_exchange exchange, const adapter::watch_documents& wanted);
    void reply(http::server_exchange exchange, const store_reply& made);
    void respond(http::server_exchange exchange, const store_answer& answer);
    void end_watch(http::server_exchange exchange, const store_answer& answer);
    void tell_watches();
    void take_fault(http::server_exchange exchange, const json::object& body);
    [[nodiscard]] bool order_fault(const json::object& body);
    void show_counts(http::server_exchange exchange);
    void closed(http::server_exchange exchange);
    void lose(http::server_exchange exchange);

    [[nodiscard]] core::time_point now() const { return core::time_point{this->loop.now()}; }

    http::loop& loop;
    store_model store;
    store_faults faults;
    /// Whether a call without an answer keeps its connection open, rather than breaking it.
    bool hangs = false;
    std::map<http::server_exchange, waiting_watch> watches;
    std::set<http::timer_id> answers_due;
    http::timer_id fault_timer = 0;
    http::server server;
};

platform_server::state::state(http::loop& on, const platform_server_settings& settings)
    : loop(on), store(settings.store, settings.seed),
      server(
          on, settings.listen,
          [this](http::server_exchange exchange, http::request&& message) {
              this->handle(exchange, message);
          },
          [this](http::server_exchange exchange) { this->closed(exchange); })
{
}

platform_server::state::~state()
{
    this->loop.cancel(this->fault_timer);
    for (const http::timer_id timer : this->answers_due)
        this->loop.cancel(timer);
    for (const auto& [exchange, watch] : this->watches)
        this->loop.cancel(watch.limit);
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
    // libwebsockets hands out the path decoded.
    const std::string path = http::path_encoded(message.path);
    const std::string target = message.query.empty() ? path : path + "?" + message.query;
    const auto wanted = adapter::read_store_call({message.method, target, message.body});
    if (!wanted) {
        respond_error(this->server, exchange, 400, "no such call");
        return;
    }
    if (const auto* watch = std::get_if<adapter::watch_documents>(&*wanted)) {
        this->open_watch(exchange, *watch);
        return;
    }
    this->call(exchange, *wanted);
}

void platform_server::state::call(http::server_exchange exchange, const adapter::store_call& wanted)
{
    const store_reply made = this->store.call(wanted, this->now());
    this->tell_watches();
    this->reply(exchange, made);
}

void platform_server::state::open_watch(http::server_exchange exchange,
                                        const adapter::watch_documents& wanted)
{
    if (const std::optional<store_reply> made = this->store.begin_watch(wanted, this->now())) {
        this->reply(exchange, *made);
        return;
    }
    waiting_watch& watch = this->watches[exchange];
    watch.asked = wanted;
    watch.limit = this->loop.after(std::min(wanted.wait, longest_wait), [this, exchange] {
        waiting_watch& ended = this->watches.at(exchange);
        ended.limit = 0;
        if (!ended.silent && !this->store.down())
            this->end_watch(exchange, this->store.end_watch());
    });
}

void platform_server::state::reply(http::server_exchange exchange, const store_reply& made)
{
    if (!made.answer) {
        this->lose(exchange);
        return;
    }
    const auto timer = std::make_shared<http::timer_id>(0);
    *timer = this->loop.after(made.after, [this, exchange, timer, answer = *made.answer] {
        this->answers_due.erase(*timer);
        this->respond(exchange, answer);
    });
    this->answers_due.insert(*timer);
}

void platform_server::state::respond(http::server_exchange exchange, const store_answer& answer)
{
    std::vector<http::header> headers{adapter::make_era_header(this->store.era())};
    if (answer.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*answer.retry_after);
        headers.push_back({"retry-after", std::to_string(seconds.count())});
    }
    this->server.respond(exchange, answer.status, json_type, answer.body, std::move(headers));
}

void platform_server::state::end_watch(http::server_exchange exchange, const store_answer& answer)
{
    const auto found = this->watches.find(exchange);
    this->loop.cancel(found->second.limit);
    this->watches.erase(found);
    this->respond(exchange, answer);
}

void platform_server::state::tell_watches()
{
    if (this->store.down())
        return;
    std::vector<std::pair<http::server_exchange, store_answer>> due;
    for (const auto& [exchange, watch] : this->watches) {
        if (watch.silent)
            continue;
        if (std::optional<store_answer> answer = this->store.look_at_watch(watch.asked))
            due.emplace_back(exchange, std::move(*answer));
    }
    for (const auto& [exchange, answer] : due)
        this->end_watch(exchange, answer);
}

bool platform_server::state::order_fault(const json::object& body)
{
    const std::string kind = get_text(body, "kind");
    if (kind == "down") {
        this->faults.down = true;
        return true;
    }
    if (kind == "slow") {
        this->faults.slow_factor = get_number(body, "factor", 1.0);
        return true;
    }
    if (kind == "lost_answers") {
        this->faults.lost_answer_rate = get_number(body, "rate", 1.0);
        return true;
    }
    if (kind == "refuse") {
        this->faults.refused_rate = get_number(body, "rate", 1.0);
        this->faults.refusal_status = static_cast<int>(get_count(body, "status", 503));
        return true;
    }
    if (kind == "silent_watches") {
        for (auto& [exchange, watch] : this->watches)
            watch.silent = true;
        return true;
    }
    if (kind == "cut_watches") {
        const auto waiting = std::exchange(this->watches, {});
        for (const auto& [exchange, watch] : waiting) {
            this->loop.cancel(watch.limit);
            this->server.abort(exchange);
        }
        return true;
    }
    if (kind == "compact") {
        this->store.compact();
        return true;
    }
    if (kind == "copy") {
        this->store.keep_copy();
        return true;
    }
    if (kind == "restore") {
        this->store.restore_copy();
        return true;
    }
    if (kind == "odd_entry") {
        this->store.write_raw(get_text(body, "of"), get_text(body, "name"),
                              get_text(body, "content"));
        return true;
    }
    if (kind == "none") {
        this->faults = {};
        return true;
    }
    return false;
}

void platform_server::state::take_fault(http::server_exchange exchange, const json::object& body)
{
    this->hangs = get_flag(body, "hang", false);
    if (!this->order_fault(body)) {
        respond_error(
            this->server, exchange, 400,
            "kind: expected down, slow, lost_answers, refuse, silent_watches, cut_watches, "
            "compact, copy, restore, odd_entry or none");
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
                              {"revision", this->store.current().value},
                              {"era", this->store.era().value}});
}

void platform_server::state::closed(http::server_exchange exchange)
{
    const auto found = this->watches.find(exchange);
    if (found == this->watches.end())
        return;
    this->loop.cancel(found->second.limit);
    this->watches.erase(found);
}

void platform_server::state::lose(http::server_exchange exchange)
{
    if (!this->hangs)
        this->server.abort(exchange);
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
