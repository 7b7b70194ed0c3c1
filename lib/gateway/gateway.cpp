#include "ragwortcove/gateway/gateway.hpp"

#include "call_responses.hpp"
#include "gateway.pb.h"
#include "http_values.hpp"
#include "platform/headers.hpp"
#include "platform/rules.hpp"
#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/daemon/process_support.hpp"

#include <algorithm>
#include <utility>

namespace ragwortcove::gateway {

using namespace std::chrono_literals;
using daemon::log_event;

/// Interval between checks of queues, open requests and deadlines.
static constexpr core::duration tick_period = 25ms;
/// Maximum time that a connection to an upstream is kept open while idle.
static constexpr std::chrono::milliseconds upstream_idle_timeout{5000};
static constexpr std::chrono::milliseconds control_idle_timeout{3000};
static constexpr std::chrono::milliseconds store_response_timeout{1500};
/// Number of times its time to live that callers may keep using an address list.
static constexpr std::int64_t max_address_lifetimes = 3;
/// Time before the kill at which calls that are still open are ended.
static constexpr core::duration last_answer_margin = 350ms;
/// Time before the kill at which the process ends even if callers have not been sent everything.
static constexpr core::duration kill_margin = 150ms;
/// Interval at which a draining node checks whether it can end.
static constexpr core::duration drain_check_period = 50ms;

/// Interval at which an address that cannot be listened on is reported.
static constexpr core::duration address_report_period = 10s;
/// Interval at which a node that is not ready after its start says what it waits for.
static constexpr core::duration delay_report_period = 2s;

/// Share of the process's descriptors for connections of callers, and at each of the other
/// addresses; the rest is for connections to upstreams, the store and other nodes.
static constexpr std::size_t descriptors_per_caller_connection = 2;
static constexpr std::size_t descriptors_per_other_connection = 32;

std::size_t max_caller_connections()
{
    return daemon::descriptor_limit() / descriptors_per_caller_connection;
}

static void log_unreadable_era(std::string_view text)
{
    daemon::write_log(log_event::store_era_invalid, {{"era", text}, {"era_in_force", ""}});
}

gateway::gateway(http::loop& loop, const gateway_settings& given, core::incarnation run,
                 std::function<void()> on_drained)
    : event_loop(loop), settings(given), drained_handler(std::move(on_drained)),
      readers(given.name), random(run.value), upstream_connections(loop, upstream_idle_timeout),
      control_connections(loop, control_idle_timeout),
      store(loop, this->control_connections,
            {to_socket_address(given.store), store_response_timeout, log_unreadable_era}),
      repeats(given.repeats, core::time_point{loop.now()})
{
    http::inbound_handlers caller_handlers;
    caller_handlers.requested = [this](http::inbound_exchange id, http::inbound_request&& request) {
        this->calls->handle_request(id, std::move(request));
    };
    caller_handlers.abandoned = [this](http::inbound_exchange id) {
        this->calls->on_caller_disconnected(id);
    };
    caller_handlers.rejected = [this](int status) {
        daemon::write_log(log_event::call_rejected, {{"status", std::to_string(status)}});
        this->metrics.count("rejected_calls", "status", std::to_string(status));
    };
    caller_handlers.closing = [this](const http::connection_closing& closing) {
        this->calls->on_connection_closing(closing);
    };
    caller_handlers.accept_failed = [this](int error) { this->on_accept_failed("callers", error); };
    this->caller_server = std::make_unique<http::inbound_server>(
        loop, to_socket_address(given.callers), make_limits({}, max_caller_connections()),
        std::move(caller_handlers));
    const http::inbound_limits limits =
        make_limits({}, daemon::descriptor_limit() / descriptors_per_other_connection);
    const auto serve = [&](std::string_view key, const core::endpoint& address,
                           std::unique_ptr<http::inbound_server>& server, auto respond) {
        http::inbound_handlers handlers;
        handlers.requested = [this, &server, respond](http::inbound_exchange id,
                                                      http::inbound_request&& request) {
            (this->*respond)(*server, id, std::move(request));
        };
        handlers.abandoned = [](http::inbound_exchange) {};
        handlers.accept_failed = [this, key](int error) { this->on_accept_failed(key, error); };
        server = std::make_unique<http::inbound_server>(loop, to_socket_address(address), limits,
                                                        std::move(handlers));
    };
    serve("readiness", given.readiness, this->readiness_server, &gateway::serve_readiness);
    serve("directory", given.directory, this->address_server, &gateway::serve_directory);
    serve("peers", given.peers, this->peer_server, &gateway::serve_peer);
    if (given.metrics.port != 0)
        serve("metrics", given.metrics, this->metrics_server, &gateway::serve_peer);

    fleet_handlers node_handlers;
    node_handlers.received = [this](const core::node_name& from,
                                    const wire::PeerDatagram& message) {
        this->on_peer_message(from, message);
    };
    node_handlers.owners_changed = [this] {
        if (this->placement)
            this->placement->owners_changed();
    };
    node_handlers.ended = [this](core::incarnation ended_run) {
        if (this->placement)
            this->placement->node_ended(ended_run);
    };
    this->nodes = std::make_unique<fleet>(loop, given, run, std::move(node_handlers));

    this->registry = std::make_unique<node_registry>(node_registry_dependencies{
        loop, this->store, given.name, given.peers, [this] { return this->nodes->is_isolated(); },
        [this](std::span<const core::endpoint> found) { this->nodes->add_seeds(found); },
        [this] { this->nodes->confirm_isolation(); },
        [] {
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch());
        }});

    placement_dependencies placement_functions;
    placement_functions.self = given.name;
    placement_functions.run = run;
    placement_functions.now = [this] { return this->now(); };
    placement_functions.owner_of = [this](std::string_view key) {
        return this->nodes->owner_of(key);
    };
    placement_functions.quota_owner_of = [this](std::string_view key) {
        return this->nodes->exclusive_owner_of(key);
    };
    placement_functions.is_settled = [this] { return this->nodes->is_settled(); };
    placement_functions.mark_unreachable = [this](const core::node_name& name) {
        daemon::write_log(log_event::owner_silent, {{"node", name.value}});
        this->nodes->mark_unreachable(name);
    };
    placement_functions.send = [this](const core::node_name& to, wire::PeerDatagram& message) {
        this->nodes->send(to, message);
    };
    placement_functions.serving_node_count = [this] { return this->nodes->serving_node_count(); };
    placement_functions.lost_node_count = [this] { return this->nodes->lost_node_count(); };
    placement_functions.running_node_count = [this] { return this->nodes->present_nodes().size(); };
    placement_functions.tolerance = given.quotas;
    placement_functions.warmups = given.warmups;
    placement_functions.options = given.placement;
    placement_functions.admission = given.admission;
    placement_functions.team_shares = given.team_shares;
    placement_functions.cell_waits = given.cell_waits;
    placement_functions.failure_domain = given.failure_domain;
    placement_functions.domain_of = [this](const core::node_name& name) {
        return this->nodes->failure_domain_of(name);
    };
    this->placement = std::make_unique<placement_service>(std::move(placement_functions));
    this->rollouts = std::make_unique<rollout_service>(this->make_rollout_dependencies());

    this->parts = std::make_unique<part_guard>(this->make_part_dependencies());

    this->calls = std::make_unique<call_handler>(call_dependencies{
        loop, *this->caller_server, this->upstream_connections, *this->placement, this->repeats,
        this->metrics, given.failure_domain, [this] { return this->rules; },
        [this](const core::upstream_name& name) { return this->directory.find(name); },
        [this] { return this->nodes->known_node_count(); }, *this->rollouts, *this->parts,
        [this](const core::upstream_process& process) {
            this->on_upstream_leaves(process, this->settings.name);
        },
        [this](const core::failure_domain_name& domain) {
            return this->drains.is_drained(domain);
        }});

    document_feed_handlers feed_handlers;
    feed_handlers.updated = [this](const document_update& update) {
        this->apply_documents(update);
    };
    feed_handlers.outage_observed = [this](bool) { this->delay_removals(); };
    feed_handlers.era_began = [this] { this->delay_removals(); };
    feed_handlers.announce = [this](const document_delta& delta) { this->announce(delta); };
    feed_handlers.page_read = [this](adapter::document_kind kind) {
        this->metrics.count("store_list_pages", "documents", to_text(kind));
    };
    this->feed =
        std::make_unique<document_feed>(loop, this->store, run.value, std::move(feed_handlers));
    this->started_at = this->now();
    this->next_delay_report_at = this->started_at + delay_report_period;
    this->tick();
}

gateway::~gateway()
{
    this->event_loop.cancel(this->tick_timer);
}

std::vector<daemon::unavailable_address> gateway::unavailable_addresses() const
{
    std::vector<daemon::unavailable_address> result;
    const auto check = [&](std::string_view key, const core::endpoint& address,
                           const auto& listener) {
        if (!listener.listening())
            result.push_back({key, address, listener.listen_error()});
    };
    check("callers", this->settings.callers, *this->caller_server);
    check("readiness", this->settings.readiness, *this->readiness_server);
    check("directory", this->settings.directory, *this->address_server);
    check("peers", this->settings.peers, *this->peer_server);
    check("peers", this->settings.peers, *this->nodes);
    if (this->metrics_server)
        check("metrics", this->settings.metrics, *this->metrics_server);
    return result;
}

bool gateway::serves_metrics() const
{
    return this->metrics_server && this->metrics_server->listening();
}

// A node serves without the addresses that no caller needs; for `ready()` it needs the others.
void gateway::report_addresses()
{
    const core::time_point at = this->now();
    std::map<std::string_view, core::time_point> still_reported;
    for (const daemon::unavailable_address& each : this->unavailable_addresses()) {
        const auto known = this->reported_addresses.find(each.key);
        const bool is_due =
            known == this->reported_addresses.end() || at - known->second >= address_report_period;
        still_reported[each.key] = is_due ? at : known->second;
        if (is_due)
            daemon::log_unavailable(each);
    }
    for (const auto& [key, since] : this->reported_addresses) {
        if (!still_reported.contains(key))
            daemon::write_log(log_event::listening, {{"key", key}});
    }
    this->reported_addresses = std::move(still_reported);
}

void gateway::on_accept_failed(std::string_view key, int error)
{
    daemon::write_log(log_event::accept_failed,
                      {{"key", key}, {"error", daemon::describe_error(error)}});
    this->metrics.count("accept_failures", "key", key);
}

bool gateway::ready() const
{
    return this->caller_server->listening() && this->nodes->listening() && this->rules != nullptr &&
           this->feed && this->feed->is_complete() && this->parts->is_informed() && !this->draining;
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
    if (!is_ready)
        return;
    this->has_been_ready = true;
    this->nodes->become_live();
}

std::string gateway::awaited() const
{
    std::string text;
    const auto add = [&text](std::string_view what) {
        text += text.empty() ? "" : ",";
        text += what;
    };
    if (!this->caller_server->listening())
        add("address of callers");
    if (!this->nodes->listening())
        add("address of peers");
    const std::vector<adapter::document_kind> missing = this->feed->missing_kinds();
    for (const adapter::document_kind kind : missing)
        add(to_text(kind));
    if (missing.empty() && this->rules == nullptr)
        add("readable rules");
    if (!this->parts->is_informed())
        add("held-back parts of other nodes");
    return text;
}

std::string gateway::open_lists() const
{
    std::string text;
    for (const adapter::document_kind kind : this->feed->missing_kinds()) {
        const adapter::list_progress& progress = this->feed->list_progress_of(kind);
        if (progress.pages == 0)
            continue;
        text += text.empty() ? "" : "; ";
        text += std::string(to_text(kind)) + ": " + std::to_string(progress.pages) + " pages, " +
                std::to_string(progress.documents) + " documents, up to " +
                shorten_name(progress.after);
    }
    return text;
}

void gateway::report_delayed_start()
{
    const core::time_point at = this->now();
    if (this->has_been_ready || this->draining || at < this->next_delay_report_at)
        return;
    this->next_delay_report_at = at + delay_report_period;
    daemon::write_log(log_event::start_delayed, {{"awaits", this->awaited()},
                                                 {"lists", this->open_lists()},
                                                 {"for_ms", to_ms_text(at - this->started_at)}});
}

void gateway::tick()
{
    daemon::flush_log();
    this->report_addresses();
    this->placement->tick();
    this->parts->tick();
    if (this->nodes->listening())
        this->tick_shared_work();
    this->on_directory_changed(this->directory.tick(this->now()));
    if (this->drains.tick(this->now()))
        this->offer_upstreams();
    this->refresh_readiness();
    this->report_delayed_start();
    this->tick_timer = this->event_loop.after(tick_period, [this] { this->tick(); });
}

// A node that cannot hear the others must not take itself for the only one, and do what another
// one does.
void gateway::tick_shared_work()
{
    this->registry->tick();
    this->rollouts->tick();
    this->store_parts();
    this->exchange_documents();
}

void gateway::on_peer_message(const core::node_name& from, const wire::PeerDatagram& message)
{
    if (!this->feed)
        return;
    if (message.body_case() == wire::PeerDatagram::kDigest)
        this->on_digest(from, message.digest());
    else if (message.body_case() == wire::PeerDatagram::kDelta)
        this->on_delta(from, message.delta());
    else if (message.body_case() == wire::PeerDatagram::kUpstreamLeaving)
        this->on_upstream_leaves(
            {{message.upstream_leaving().upstream()}, message.upstream_leaving().started_at()},
            from);
    else if (message.body_case() == wire::PeerDatagram::kRolloutReport ||
             message.body_case() == wire::PeerDatagram::kRolloutDirective)
        this->rollouts->receive_message(from, message);
    else if (message.body_case() == wire::PeerDatagram::kPartRecords ||
             message.body_case() == wire::PeerDatagram::kPartTrialAsk ||
             message.body_case() == wire::PeerDatagram::kPartTrialAnswer)
        this->parts->receive_message(from, message);
    else
        this->placement->receive_message(from, message);
}

void gateway::serve_directory(http::inbound_server& server, http::inbound_exchange exchange,
                              http::inbound_request&& request)
{
    if (!adapter::is_address_query(request.head.target)) {
        server.respond(exchange, 404, {}, "");
        return;
    }
    const std::vector<core::endpoint> entries = this->nodes->entry_addresses();
    if (entries.empty()) {
        server.respond(exchange, 503, {}, "");
        return;
    }
    server.respond(exchange, 200, {{"Content-Type", "application/json"}},
                   adapter::write_address_response(entries, this->settings.address_time_to_live));
}

void gateway::serve_readiness(http::inbound_server& server, http::inbound_exchange exchange,
                              http::inbound_request&& request)
{
    if (!adapter::is_readiness_query(request.head.target)) {
        server.respond(exchange, 404, {}, "");
        return;
    }
    this->refresh_readiness();
    server.respond(exchange, this->ready() ? 200 : 503, {}, "");
}

void gateway::serve_peer(http::inbound_server& server, http::inbound_exchange exchange,
                         http::inbound_request&& request)
{
    const auto respond = [&](int status, std::string_view type, std::string_view body) {
        const std::vector<http::header> headers{{"Content-Type", std::string(type)}};
        server.respond(exchange, status, headers, body);
    };
    const std::string path = request.head.target.substr(0, request.head.target.find('?'));
    if (const auto kind = adapter::read_peer_path(path)) {
        if (!this->feed->is_complete() || !this->feed->has_whole(*kind)) {
            respond(503, "text/plain", "no documents yet");
            return;
        }
        const adapter::document_list all = this->feed->all_documents(*kind);
        const std::string page = adapter::write_page(all);
        if (!this->peer_transfers.admit(page.size(), this->now())) {
            respond(503, "text/plain", "too many nodes read from this one");
            return;
        }
        server.respond(exchange, 200,
                       {{"Content-Type", "application/json"}, adapter::make_era_header(all.era)},
                       page);
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
    const core::placement_scheduler& scheduler = this->placement->owned_placements();
    const auto to_value = [](std::size_t value) { return static_cast<double>(value); };
    return this->metrics.render(
        {{"open_calls", "requests that this node holds", to_value(this->calls->open_calls())},
         {"held_response_bytes", "memory of the parts of responses that wait for their end",
          to_value(this->calls->response_memory())},
         {"unsent_response_bytes", "bytes of responses that wait for callers to take them",
          to_value(this->caller_server->unsent_bytes())},
         {"unsent_request_bytes", "bytes of requests that wait for upstreams to take them",
          to_value(this->upstream_connections.unsent_bytes())},
         {"owned_waiting", "requests that wait for a place at this owner",
          to_value(scheduler.waiting())},
         {"within_share_placed", "requests that this owner placed for teams within their share",
          to_value(scheduler.within_share_counts().placed)},
         {"within_share_denied", "requests that this owner denied to teams within their share",
          to_value(scheduler.within_share_counts().denied)},
         {"over_share_placed", "requests that this owner placed for teams over their share",
          to_value(scheduler.over_share_counts().placed)},
         {"over_share_denied", "requests that this owner denied to teams over their share",
          to_value(scheduler.over_share_counts().denied)},
         {"owned_in_flight", "requests placed by this owner", to_value(scheduler.in_flight())},
         {"owned_held_back",
          "times that this owner passed over an upstream with a free slot, "
          "because of the limit for warm-ups",
          to_value(scheduler.held_back())},
         {"upstreams_warming_up", "upstreams that are warming up, of targets with a rate for it",
          to_value(scheduler.warmups().count_warming_up(this->now()))},
         {"owned_late_placements", "requests placed by this owner after their latest start",
          to_value(scheduler.admissions().late_placements)},
         {"owned_late_slot_seconds", "time for which such requests held their slots",
          std::chrono::duration<double>(scheduler.admissions().late_slot_time).count()},
         {"owned_denials_at_arrival", "requests that this owner denied at once for want of a slot",
          to_value(scheduler.admissions().denied_at_arrival)},
         {"owned_denials_later", "requests that waited at this owner and were denied",
          to_value(scheduler.admissions().denied_later)},
         {"owned_reserved_slots", "slots that this owner keeps free for requests that are in time",
          to_value(scheduler.reserved_slots(this->now()))},
         {"caller_connections", "connections of callers",
          to_value(this->caller_server->connections())},
         {"upstream_connections_opened", "connections opened to upstreams",
          to_value(this->upstream_connections.counters().connections_opened)},
         {"upstream_connections_reused", "requests sent on kept connections",
          to_value(this->upstream_connections.counters().connections_reused)},
         {"store_calls", "calls to the store and to peers for documents",
          to_value(this->store.calls())},
         {"rules_revision", "revision of the rules in force",
          to_value(this->feed->revision_of(adapter::document_kind::rules).value)},
         {"upstreams_revision", "revision of the upstreams in force",
          to_value(this->feed->revision_of(adapter::document_kind::upstreams).value)},
         {"rollouts_revision", "revision of the roll-outs in force",
          to_value(this->feed->revision_of(adapter::document_kind::rollouts).value)},
         {"store_era", "era of the store that the rules in force were read in, zero if unknown",
          to_value(this->feed->position_of(adapter::document_kind::rules).era.value)},
         {"rollouts_active", "roll-outs that have not ended",
          to_value(this->rollouts->split().active_orders().size())},
         {"rollouts_controlled", "roll-outs that this node controls",
          to_value(this->rollouts->controlled_count())},
         {"held_back_parts", "prompt parts that requests are held back for",
          to_value(this->parts->quarantine().held_back().size())},
         {"tracked_parts", "prompt parts under which upstreams have ended lately",
          to_value(this->parts->quarantine().size())},
         {"drained_domains", "failure domains whose upstreams get no requests",
          to_value(this->drains.domains().size())},
         {"store_answers", "whether the store answered the last calls",
          this->feed->is_store_available() ? 1.0 : 0.0},
         {"serving_nodes", "nodes that serve, this one among them",
          to_value(this->nodes->serving_node_count())},
         {"known_nodes", "nodes that share the allowance of repeats, zero if unknown",
          to_value(this->nodes->known_node_count())},
         {"fleet_view_settled", "whether this node knows the fleet as the other nodes do",
          this->nodes->is_settled() ? 1.0 : 0.0},
         {"documents_awaited", "kinds of documents that have not been read since the start",
          to_value(this->feed->missing_kinds().size())},
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
    this->drain_started_at = this->now();
    this->calls->begin_shutdown(this->drain_started_at + this->settings.stop_limit -
                                last_answer_margin);
    this->refresh_readiness();
    this->nodes->leave();
    this->registry->leave();
    this->caller_server->begin_drain();
    this->check_drain();
}

// Callers keep connecting while they may use an old address list; of their requests, those are
// taken that can be answered in time. After that, new requests are refused, and the process ends
// when the last byte of the last response is sent, or just before it would be killed.
void gateway::check_drain()
{
    const core::duration elapsed = this->now() - this->drain_started_at;
    const core::duration address_use_time =
        this->settings.address_time_to_live * max_address_lifetimes;
    if (elapsed >= address_use_time) {
        this->calls->refuse_new_requests();
        this->caller_server->close_idle();
    }
    const std::size_t open_calls = this->calls->open_calls();
    if (elapsed >= this->settings.stop_limit - last_answer_margin)
        this->calls->end_all_calls();
    const std::size_t unfinished = this->caller_server->unfinished();
    const bool done =
        elapsed >= address_use_time && this->calls->open_calls() == 0 && unfinished == 0;
    if (done || elapsed >= this->settings.stop_limit - kill_margin) {
        daemon::write_log(log_event::drain_finished,
                          {{"open", std::to_string(open_calls)},
                           {"unfinished", std::to_string(unfinished)},
                           {"after_ms", std::to_string(elapsed.count() / 1000)}});
        this->caller_server->close_all();
        this->drained_handler();
        return;
    }
    this->event_loop.after(drain_check_period, [this] { this->check_drain(); });
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
