#include "ragwortcove/gateway/gateway.hpp"

#include "gateway.pb.h"
#include "http_values.hpp"
#include "platform/headers.hpp"
#include "platform/rules.hpp"
#include "ragwortcove/daemon/event_log.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using daemon::log_event;

/// How often queues, asks and limits of time are looked at.
static constexpr core::duration tick_period = 25ms;
/// How long a kept connection to an upstream lies idle, at most.
static constexpr std::chrono::milliseconds upstream_keep_time{5000};
static constexpr std::chrono::milliseconds control_keep_time{3000};
/// Callers keep an address answer up to so many times its time to live.
static constexpr std::int64_t address_lifetimes = 3;
/// Time before the process is killed at which it ends whatever is open.
static constexpr core::duration end_margin = 350ms;
/// How often a node that ends looks whether it may.
static constexpr core::duration drain_check_period = 50ms;

gateway::gateway(http::loop& loop, const gateway_settings& given, core::incarnation run,
                 std::function<void()> when_ended)
    : on(loop), settings(given), ended(std::move(when_ended)), readers(given.name),
      random(run.value), upstream_connections(loop, upstream_keep_time),
      control_connections(loop, control_keep_time),
      store(loop, this->control_connections, {to_socket_address(given.store)}),
      repeats(given.repeats)
{
    http::inbound_handlers calling;
    calling.requested = [this](http::inbound_exchange id, http::inbound_request&& request) {
        this->calls->take(id, std::move(request));
    };
    calling.abandoned = [this](http::inbound_exchange id) { this->calls->caller_left(id); };
    calling.rejected = [this](int status) {
        daemon::write_log(log_event::call_rejected, {{"status", std::to_string(status)}});
        this->figures.count("rejected_calls", "status", std::to_string(status));
    };
    const http::inbound_limits limits = make_limits({});
    this->callers = std::make_unique<http::inbound_server>(loop, to_socket_address(given.callers),
                                                           limits, std::move(calling));
    const auto serve = [&](const core::endpoint& at, std::unique_ptr<http::inbound_server>& by,
                           auto answer) {
        http::inbound_handlers handlers;
        handlers.requested = [this, &by, answer](http::inbound_exchange id,
                                                 http::inbound_request&& request) {
            (this->*answer)(*by, id, std::move(request));
        };
        handlers.abandoned = [](http::inbound_exchange) {};
        by = std::make_unique<http::inbound_server>(loop, to_socket_address(at), limits,
                                                    std::move(handlers));
    };
    serve(given.readiness, this->readiness, &gateway::answer_readiness);
    serve(given.directory, this->addresses, &gateway::answer_directory);
    serve(given.peers, this->peers, &gateway::answer_peer);
    if (given.metrics.port != 0)
        serve(given.metrics, this->metrics_server, &gateway::answer_peer);

    fleet_handlers meeting;
    meeting.received = [this](const core::node_name& from, const wire::PeerDatagram& message) {
        this->peer_message(from, message);
    };
    meeting.owners_changed = [this] {
        if (this->placement)
            this->placement->owners_changed();
    };
    meeting.ended = [this](core::incarnation gone) {
        if (this->placement)
            this->placement->node_ended(gone);
    };
    this->nodes = std::make_unique<fleet>(loop, given, run, std::move(meeting));

    placement_surroundings placing;
    placing.self = given.name;
    placing.run = run;
    placing.now = [this] { return this->now(); };
    placing.owner_of = [this](std::string_view key) { return this->nodes->owner_of(key); };
    placing.quota_owner_of = [this](std::string_view key) {
        return this->nodes->settled_owner_of(key);
    };
    placing.has_met_others = [this] { return this->nodes->has_met_others(); };
    placing.mark_unreachable = [this](const core::node_name& name) {
        daemon::write_log(log_event::owner_silent, {{"node", name.value}});
        this->nodes->mark_unreachable(name);
    };
    placing.send = [this](const core::node_name& to, wire::PeerDatagram& message) {
        this->nodes->send(to, message);
    };
    placing.serving = [this] { return this->nodes->serving(); };
    placing.lost = [this] { return this->nodes->lost(); };
    placing.tolerance = given.quotas;
    this->placement = std::make_unique<placement_service>(std::move(placing));

    this->calls = std::make_unique<call_handler>(call_surroundings{
        loop, *this->callers, this->upstream_connections, *this->placement, this->repeats,
        this->figures, given.failure_domain, [this] { return this->rules; },
        [this](const core::upstream_name& name) { return this->directory.find(name); },
        [this] { return this->nodes->serving(); }});

    document_feed_handlers feeding;
    feeding.updated = [this](const document_update& update) { this->documents_updated(update); };
    feeding.store_changed = [this](bool) { this->directory.store_disturbed(this->now()); };
    feeding.announce = [this](const document_delta& delta) { this->announce(delta); };
    this->feed = std::make_unique<document_feed>(loop, this->store, run.value, std::move(feeding));
    this->tick();
}

gateway::~gateway()
{
    this->on.cancel(this->tick_timer);
}

bool gateway::listening() const
{
    const bool has_metrics = !this->metrics_server || this->metrics_server->listening();
    return this->callers->listening() && this->readiness->listening() &&
           this->addresses->listening() && this->peers->listening() && this->nodes->listening() &&
           has_metrics;
}

bool gateway::ready() const
{
    return this->rules != nullptr && this->feed && this->feed->complete() && !this->draining;
}

void gateway::refresh_readiness()
{
    const bool is_ready = this->ready();
    if (is_ready == this->was_ready)
        return;
    this->was_ready = is_ready;
    daemon::write_log(
        log_event::readiness_changed,
        {{"ready", is_ready ? "true" : "false"}, {"draining", this->draining ? "true" : "false"}});
    if (is_ready)
        this->nodes->become_live();
}

void gateway::tick()
{
    daemon::flush_log();
    this->placement->tick();
    this->directory_changed(this->directory.tick(this->now()));
    this->refresh_readiness();
    this->share_documents();
    this->tick_timer = this->on.after(tick_period, [this] { this->tick(); });
}

void gateway::peer_message(const core::node_name& from, const wire::PeerDatagram& message)
{
    if (!this->feed)
        return;
    if (message.body_case() == wire::PeerDatagram::kDigest)
        this->take_digest(from, message.digest());
    else if (message.body_case() == wire::PeerDatagram::kDelta)
        this->take_delta(from, message.delta());
    else
        this->placement->received(from, message);
}

void gateway::answer_directory(http::inbound_server& by, http::inbound_exchange exchange,
                               http::inbound_request&& request)
{
    if (!adapter::is_address_query(request.head.target)) {
        by.respond(exchange, 404, {}, "");
        return;
    }
    const std::vector<core::endpoint> entries = this->nodes->entries();
    if (entries.empty()) {
        by.respond(exchange, 503, {}, "");
        return;
    }
    by.respond(exchange, 200, {{"Content-Type", "application/json"}},
               adapter::write_address_response(entries, this->settings.address_time_to_live));
}

void gateway::answer_readiness(http::inbound_server& by, http::inbound_exchange exchange,
                               http::inbound_request&& request)
{
    if (!adapter::is_readiness_query(request.head.target)) {
        by.respond(exchange, 404, {}, "");
        return;
    }
    this->refresh_readiness();
    by.respond(exchange, this->ready() ? 200 : 503, {}, "");
}

void gateway::answer_peer(http::inbound_server& by, http::inbound_exchange exchange,
                          http::inbound_request&& request)
{
    const auto respond = [&](int status, std::string_view type, std::string_view body) {
        const std::vector<http::header> headers{{"Content-Type", std::string(type)}};
        by.respond(exchange, status, headers, body);
    };
    const std::string path = request.head.target.substr(0, request.head.target.find('?'));
    if (const auto kind = adapter::read_peer_path(path)) {
        if (!this->feed->complete()) {
            respond(503, "text/plain", "no documents yet");
            return;
        }
        respond(200, "application/json", adapter::write_page(this->feed->all(*kind)));
        return;
    }
    if (path == "/metrics") {
        respond(200, "text/plain; version=0.0.4", this->render_metrics());
        return;
    }
    respond(404, "text/plain", "no such page");
}

std::string gateway::render_metrics() const
{
    const core::placement_board& board = this->placement->owned();
    const auto age = [](std::size_t value) { return static_cast<double>(value); };
    return this->figures.render(
        {{"open_calls", "requests that this node holds", age(this->calls->open_calls())},
         {"owned_waiting", "requests that wait for a place at this owner", age(board.waiting())},
         {"owned_in_flight", "requests placed by this owner", age(board.in_flight())},
         {"caller_connections", "connections of callers", age(this->callers->connections())},
         {"upstream_connections_opened", "connections opened to upstreams",
          age(this->upstream_connections.counters().connections_opened)},
         {"upstream_connections_reused", "requests sent on kept connections",
          age(this->upstream_connections.counters().connections_reused)},
         {"store_calls", "calls to the store and to peers for documents", age(this->store.calls())},
         {"rules_revision", "revision of the rules in force",
          age(this->feed->at(adapter::document_kind::rules).value)},
         {"upstreams_revision", "revision of the upstreams in force",
          age(this->feed->at(adapter::document_kind::upstreams).value)},
         {"store_answers", "whether the store answered the last calls",
          this->feed->store_answers() ? 1.0 : 0.0},
         {"serving_nodes", "nodes that serve, this one among them", age(this->nodes->serving())},
         {"ready", "whether this node is ready", this->ready() ? 1.0 : 0.0}});
}

void gateway::drain()
{
    if (this->draining) {
        daemon::write_log(log_event::drain_repeated, {});
        return;
    }
    daemon::write_log(
        log_event::drain_started,
        {{"name", this->settings.name.value}, {"open", std::to_string(this->calls->open_calls())}});
    this->draining = true;
    this->drain_began = this->now();
    this->refresh_readiness();
    this->nodes->leave();
    this->callers->begin_drain();
    this->watch_drain();
}

// Callers come as long as they may keep an old address answer. After that nothing new is begun, and
// the process ends when the last answer is out, or just before it would be killed.
void gateway::watch_drain()
{
    const core::duration since = this->now() - this->drain_began;
    const core::duration keep = this->settings.address_time_to_live * address_lifetimes;
    if (since >= keep) {
        this->calls->refuse_new();
        this->callers->close_idle();
    }
    const bool done = since >= keep && this->calls->open_calls() == 0;
    if (done || since >= this->settings.stop_limit - end_margin) {
        daemon::write_log(log_event::drain_finished,
                          {{"open", std::to_string(this->calls->open_calls())},
                           {"after_ms", std::to_string(since.count() / 1000)}});
        this->ended();
        return;
    }
    this->on.after(drain_check_period, [this] { this->watch_drain(); });
}

void gateway::reload(const gateway_settings& changed)
{
    this->settings.address_time_to_live = changed.address_time_to_live;
    this->settings.log = changed.log;
    daemon::configure_log(changed.log);
    daemon::write_log(log_event::settings_reloaded,
                      {{"level", daemon::to_string(changed.log.level)}});
    if (changed.callers != this->settings.callers || changed.peers != this->settings.peers ||
        changed.store != this->settings.store)
        daemon::write_log(log_event::settings_not_applied, {{"key", "[gateway] addresses"}});
}

} // namespace ragwortcove::gateway
