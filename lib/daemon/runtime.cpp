#include "ragwortcove/daemon/runtime.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/daemon/status_report.hpp"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace ragwortcove::daemon {

static constexpr std::string_view json_content_type = "application/json";
static constexpr std::string_view text_content_type = "text/plain; version=0.0.4";
static constexpr std::chrono::seconds wall_clock_period{5};
/// How often a daemon that is about to end looks for answers that are not sent yet.
static constexpr std::chrono::milliseconds unsent_check_period{50};
/// Time that the operating system gets to send the last answers on.
static constexpr std::chrono::milliseconds last_bytes_time{300};

static core::unix_millis read_system_clock()
{
    using std::chrono::milliseconds;
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return {std::chrono::duration_cast<milliseconds>(since_epoch).count()};
}

static std::uint64_t make_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

static http::server_settings make_server_settings(const daemon_settings& settings)
{
    http::server_settings made;
    made.address = settings.node.callers.address;
    made.port = settings.node.callers.port;
    made.tls = settings.tls;
    return made;
}

static adapter::object_store_settings make_platform_settings(const daemon_settings& settings)
{
    adapter::object_store_settings made;
    made.address = settings.platform.address;
    return made;
}

static peer::transport_settings make_transport_settings(const daemon_settings& settings)
{
    peer::transport_settings made;
    made.name = settings.node.name;
    made.run = settings.node.run;
    made.listen = settings.node.peers;
    made.tls = {settings.peer_tls.certificate_file, settings.peer_tls.private_key_file,
                settings.peer_tls.authority_file};
    return made;
}

/// Carries out what a caller or an operator asks.
struct runtime::call_visitor {
    runtime& self;
    core::exchange_id id;
    bool is_operator = false;

    void operator()(chat_call&& call)
    {
        chat_reply reply;
        reply.model = call.chat.model;
        reply.stream = call.chat.stream;
        reply.prompt_tokens = call.request.prompt_tokens;
        upstream_message message;
        message.route = call.request.route;
        message.body = std::move(call.chat.upstream_body);
        this->open(std::move(reply), std::move(message));
        this->self.dispatch(core::request_arrived{this->id, std::move(call.request)});
    }
    void operator()(service_call&& call)
    {
        upstream_message message;
        message.route = call.request.route;
        message.method = std::move(call.method);
        message.target = std::move(call.target);
        message.content_type = std::move(call.content_type);
        message.body = std::move(call.body);
        if (call.request.key)
            message.idempotency_key = call.request.key->text;
        this->open(service_reply{}, std::move(message));
        this->self.dispatch(core::request_arrived{this->id, std::move(call.request)});
    }
    void operator()(addresses_call&& call)
    {
        this->open(addresses_reply{call.route}, {});
        this->self.dispatch(core::addresses_requested{this->id, std::move(call.route)});
    }
    void operator()(health_call&&)
    {
        this->self.exchanges.respond(this->id, 200, json_content_type, "{\"alive\":true}");
    }
    void operator()(ready_call&&)
    {
        const core::node_status status = this->self.status();
        const bool ready = status.ready && !status.draining;
        this->self.exchanges.respond(this->id, ready ? 200 : 503, json_content_type,
                                     ready ? "{\"ready\":true}" : "{\"ready\":false}");
    }
    void operator()(metrics_call&&)
    {
        this->self.exchanges.respond(this->id, 200, text_content_type,
                                     this->self.figures.render(this->self.read_gauges()));
    }
    void operator()(status_call&&)
    {
        if (this->admit())
            this->self.exchanges.respond(this->id, 200, json_content_type,
                                         render_status(this->self.status()));
    }
    void operator()(drain_call&&)
    {
        if (!this->admit())
            return;
        this->self.exchanges.respond(this->id, 202, json_content_type, "{\"draining\":true}");
        this->self.drain();
    }
    void operator()(problem&& wrong)
    {
        write_log(log_event::call_rejected, {{"detail", wrong.detail}});
        this->self.exchanges.reject(this->id, wrong);
    }

private:
    void open(caller_reply&& reply, upstream_message&& message)
    {
        caller_exchange opened;
        opened.reply = std::move(reply);
        opened.message = std::move(message);
        opened.arrived = this->self.now();
        opened.arrived_at = read_system_clock();
        this->self.exchanges.open(this->id, std::move(opened));
    }

    bool admit()
    {
        if (this->is_operator)
            return true;
        write_log(log_event::operator_rejected,
                  {{"callers", format_endpoint(this->self.settings.node.callers)}});
        this->self.exchanges.reject(
            this->id, make_bad_request(401, "Authorization: expected an operator's bearer token"));
        return false;
    }
};

/// Carries out what the core wants done.
struct runtime::effect_visitor {
    runtime& self;

    void operator()(const core::open_attempt& wanted)
    {
        this->self.exchanges.note_attempt(wanted);
        this->self.figures.count_attempt(wanted.mode);
        const caller_exchange* exchange = std::as_const(this->self.exchanges).find(wanted.exchange);
        if (exchange == nullptr) {
            this->self.dispatch(
                core::upstream_failed{wanted.attempt, core::upstream_failure::not_sent});
            return;
        }
        this->self.upstreams.open(wanted, exchange->message);
    }
    void operator()(const core::cancel_attempt& wanted)
    {
        this->self.upstreams.cancel(wanted.attempt);
    }
    void operator()(const core::forward_progress& wanted) { this->self.forward(wanted); }
    void operator()(const core::finish_exchange& done)
    {
        const caller_exchange* exchange = std::as_const(this->self.exchanges).find(done.exchange);
        if (exchange == nullptr)
            return;
        this->self.exchanges.finish(done, this->self.upstreams.find_answer(exchange->attempt),
                                    this->self.now());
    }
    void operator()(const core::refuse_exchange& refused) { this->self.exchanges.refuse(refused); }
    void operator()(const core::abort_exchange& broken) { this->self.exchanges.cut(broken); }
    void operator()(core::send_peer&& message) { this->self.peers.send(std::move(message)); }
    void operator()(const core::call_platform& call)
    {
        this->self.figures.count_platform_call();
        this->self.platform.start(call);
    }
    void operator()(const core::open_watch& watch)
    {
        this->self.figures.count_platform_call();
        this->self.platform.start(watch);
    }
    void operator()(const core::close_watch& watch) { this->self.platform.start(watch); }
    void operator()(const core::probe_upstream& wanted) { this->self.reports.probe(wanted); }
    void operator()(const core::poll_upstream& wanted) { this->self.reports.poll(wanted); }
    void operator()(const core::order_upstream& wanted) { this->self.reports.order(wanted); }
    void operator()(const core::address_response& answer)
    {
        this->self.exchanges.answer_addresses(answer);
    }
    void operator()(const core::log_decision& decision) { this->self.log_decision(decision); }
    void operator()(const core::drained&) { this->self.await_last_bytes(); }
};

runtime::runtime(http::loop& loop, const daemon_settings& from, std::function<void()> when_ended)
    : on(loop), settings(from), ended(std::move(when_ended)), node(from.node, make_seed()),
      callers(
          loop, make_server_settings(from),
          [this](http::server_exchange id, http::request&& message) {
              this->take_call(core::exchange_id{id}, std::move(message));
          },
          [this](http::server_exchange id) { this->take_closed(core::exchange_id{id}); }),
      upstream_pool(loop, http::client_settings{}),
      exchanges(this->callers, this->figures, from.node.run),
      upstreams(loop, this->upstream_pool,
                [this](const core::event& happened) { this->dispatch(happened); }),
      reports(this->upstream_pool,
              [this](const core::event& happened) { this->dispatch(happened); }),
      platform(loop, make_platform_settings(from),
               [this](core::event&& happened) { this->dispatch(happened); }),
      peers(loop, make_transport_settings(from),
            [this](core::event&& happened) { this->dispatch(happened); })
{
    this->read_wall_clock();
    this->dispatch(core::tick{});
}

runtime::~runtime()
{
    this->on.cancel(this->tick_timer);
    this->on.cancel(this->clock_timer);
}

std::vector<unavailable_address> runtime::unavailable_addresses() const
{
    std::vector<unavailable_address> result;
    if (!this->callers.listening())
        result.push_back({"callers", this->settings.node.callers});
    if (!this->peers.listening())
        result.push_back({"peers", this->settings.node.peers});
    return result;
}

core::time_point runtime::now() const
{
    return core::time_point{this->on.now()};
}

core::node_status runtime::status() const
{
    return this->node.status(this->now());
}

void runtime::take_call(core::exchange_id id, http::request&& message)
{
    const operator_proof proof = read_operator_proof(message);
    const bool is_operator = admits_operator(this->settings, proof);
    std::visit(call_visitor{*this, id, is_operator}, parse_caller_call(std::move(message)));
}

void runtime::take_closed(core::exchange_id id)
{
    if (std::as_const(this->exchanges).find(id) == nullptr)
        return;
    write_log(log_event::caller_vanished, {{"exchange", std::to_string(id.value)}});
    this->exchanges.close(id);
    this->dispatch(core::caller_gone{id});
}

/// What happens while an event is being handled is taken after it, in order.
void runtime::dispatch(const core::event& happened)
{
    this->waiting_events.push_back(happened);
    if (this->stepping)
        return;
    this->stepping = true;
    while (!this->waiting_events.empty()) {
        const core::event next = std::move(this->waiting_events.front());
        this->waiting_events.pop_front();
        this->step(next);
    }
    this->stepping = false;
    this->arm_tick();
}

void runtime::step(const core::event& happened)
{
    if (const auto* failed = std::get_if<core::upstream_failed>(&happened))
        this->figures.count_attempt_failure(failed->failure);
    if (const auto* broken = std::get_if<core::peer_disconnected>(&happened))
        write_log(log_event::peer_disconnected, {{"peer", broken->peer.value}});
    core::effect_list effects;
    this->node.step(happened, this->now(), effects);
    for (core::effect& wanted : effects)
        std::visit(effect_visitor{*this}, std::move(wanted));
}

/// A tick that comes early does no harm, so an armed timer is only moved forwards.
void runtime::arm_tick()
{
    const core::time_point due = this->node.next_wakeup();
    if (this->tick_timer != 0 && this->tick_due <= due)
        return;
    this->on.cancel(this->tick_timer);
    this->tick_due = due;
    const core::duration delay = std::max(due - this->now(), core::duration::zero());
    this->tick_timer = this->on.after(delay, [this] {
        this->tick_timer = 0;
        this->dispatch(core::tick{});
    });
}

void runtime::read_wall_clock()
{
    this->dispatch(core::wall_clock_read{read_system_clock()});
    this->clock_timer = this->on.after(wall_clock_period, [this] { this->read_wall_clock(); });
}

void runtime::forward(const core::forward_progress& wanted)
{
    const upstream_answer* answer = this->upstreams.find_answer(wanted.attempt);
    if (answer == nullptr)
        return;
    const forward_outcome outcome = this->exchanges.forward(wanted.exchange, *answer, wanted.skip);
    this->exchanges.observe_first_byte(wanted.exchange, this->now());
    switch (outcome) {
    case forward_outcome::forwarded:
    case forward_outcome::nothing_open:
        return;
    case forward_outcome::not_aligned:
        this->upstreams.abandon(wanted.attempt, core::upstream_failure::incomplete);
        return;
    case forward_outcome::caller_too_slow:
        write_log(log_event::caller_too_slow,
                  {{"exchange", std::to_string(wanted.exchange.value)}});
        this->exchanges.abort(wanted.exchange);
        this->dispatch(core::caller_gone{wanted.exchange});
        return;
    }
}

void runtime::log_decision(const core::log_decision& decision)
{
    this->figures.count_decision(decision.kind);
    const std::string request = core::format_request_id(decision.request);
    if (decision.request.sequence == 0) {
        write_log(event_of(decision.kind),
                  {{"subject", decision.subject}, {"detail", decision.detail}});
        return;
    }
    write_log(event_of(decision.kind),
              {{"request", request}, {"subject", decision.subject}, {"detail", decision.detail}});
}

void runtime::drain()
{
    if (this->drain_asked) {
        write_log(log_event::drain_repeated, {});
        return;
    }
    this->drain_asked = true;
    write_log(log_event::drain_started, {{"name", this->settings.node.name.value}});
    this->dispatch(core::drain_requested{});
}

/// Ends once no answer waits for a caller who reads slowly.
void runtime::await_last_bytes()
{
    if (this->exchanges.has_unsent_answers()) {
        this->on.after(unsent_check_period, [this] { this->await_last_bytes(); });
        return;
    }
    this->on.after(last_bytes_time, [this] { this->ended(); });
}

static void log_not_applied(std::string_view key)
{
    write_log(log_event::settings_not_applied, {{"key", key}});
}

static bool same_node(const core::node_settings& one, const core::node_settings& other)
{
    return one.name == other.name && one.callers == other.callers && one.peers == other.peers &&
           one.region == other.region && one.failure_domain == other.failure_domain &&
           one.seeds == other.seeds && one.address_time_to_live == other.address_time_to_live &&
           one.idle_limit == other.idle_limit && one.placement_policy == other.placement_policy;
}

void runtime::reload_certificate()
{
    if (!this->settings.tls.enabled())
        return;
    const bool renewed = this->callers.reload_tls();
    write_log(renewed ? log_event::certificate_renewed : log_event::certificate_rejected,
              {{"file", this->settings.tls.certificate_file}});
}

void runtime::reload(const daemon_settings& changed)
{
    if (!same_node(this->settings.node, changed.node))
        log_not_applied("[node]");
    const bool same_platform =
        this->settings.platform.mode == changed.platform.mode &&
        this->settings.platform.address == changed.platform.address &&
        this->settings.node.platform_calls_per_second == changed.node.platform_calls_per_second;
    if (!same_platform)
        log_not_applied("[platform]");
    if (this->settings.tls != changed.tls)
        log_not_applied("[tls]");
    if (this->settings.peer_tls != changed.peer_tls)
        log_not_applied("[peer_tls]");
    this->reload_certificate();
    this->settings.log = changed.log;
    this->settings.admin_token = changed.admin_token;
    configure_log(changed.log);
    write_log(log_event::settings_reloaded, {{"level", to_string(changed.log.level)}});
}

metric_gauges runtime::read_gauges() const
{
    metric_gauges gauges = make_gauges(this->status());
    gauges.open_attempts = static_cast<std::uint32_t>(this->upstreams.open_attempts());
    gauges.peers = &this->peers.counters();
    gauges.peer_streams = static_cast<std::uint32_t>(this->peers.open_streams());
    return gauges;
}

} // namespace ragwortcove::daemon
