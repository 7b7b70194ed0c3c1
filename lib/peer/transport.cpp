#include "credentials.hpp"
#include "datagram_socket.hpp"
#include "transport_state.hpp"

#include <grpcpp/resource_quota.h>

#include <utility>

namespace ragwortcove::peer {

/// How often limits of time are looked at.
static constexpr std::chrono::milliseconds sweep_interval{100};
/// Messages that may wait for one peer.
static constexpr std::size_t most_waiting_messages = 4096;
/// How long a link without streams and messages is kept.
static constexpr std::chrono::seconds link_lifetime{60};
/// Bounds of gRPC's own threads and buffers.
static constexpr int most_grpc_threads = 4;
static constexpr std::size_t most_grpc_bytes = 32U << 20U;

transport::state::state(http::loop& on, const transport_settings& given, event_handler handler)
    : loop(on), settings(given), happened(std::move(handler)),
      reports(std::make_shared<report_queue>([this, wake = this->while_alive([this] {
          this->take_reports();
      })] { this->loop.post(wake); })),
      service(this->reports), jitter(static_cast<std::uint_fast32_t>(given.run.value))
{
    this->start_server();
    this->open_datagrams();
    this->schedule_sweep();
}

// gRPC holds the streams until they have ended, so that each is ended here and waited for; those
// that the loop has not heard of yet are found among the reports.
transport::state::~state()
{
    this->loop.cancel(this->sweep_timer);
    this->reports->close();
    for (stream_report& report : this->reports->take()) {
        if (auto* accepted = std::get_if<stream_accepted>(&report))
            accepted->call->end();
    }
    for (auto& [id, stream] : this->streams)
        std::visit([](auto* call) { call->end(); }, stream.call);
    if (this->server)
        this->server->Shutdown(std::chrono::system_clock::now());
    this->reports->wait_until_empty();
}

void transport::state::start_server()
{
    const auto credentials = server_credentials(this->settings.tls);
    if (!credentials)
        return;
    grpc::ResourceQuota quota("peer");
    quota.SetMaxThreads(most_grpc_threads);
    quota.Resize(most_grpc_bytes);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    for (const auto& [key, value] : keepalive_arguments(this->settings))
        builder.AddChannelArgument(key, value);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    const std::string target = format_listen_address(this->settings.listen);
    builder.AddListeningPort(target, credentials, &this->bound_port);
    builder.RegisterService(&this->service);
    this->server = builder.BuildAndStart();
}

// The loop owns the descriptor once it watches it, and may outlive this transport.
void transport::state::open_datagrams()
{
    if (this->bound_port == 0)
        return;
    const auto port = static_cast<std::uint16_t>(this->bound_port);
    const int descriptor = open_datagram_socket({this->settings.listen.address, port});
    if (descriptor < 0)
        return;
    this->datagrams = descriptor;
    this->loop.watch_datagrams(
        descriptor, [this, descriptor, still = std::weak_ptr<bool>(this->alive)] {
            receive_datagrams(descriptor, [this, &still](std::string_view bytes) {
                if (!still.expired())
                    this->take_datagram(bytes);
            });
        });
}

std::function<void()> transport::state::while_alive(std::function<void()> work)
{
    return [work = std::move(work), still = std::weak_ptr<bool>(this->alive)] {
        if (!still.expired())
            work();
    };
}

void transport::state::send_heartbeat(const core::send_peer& what)
{
    const std::string bytes = encode_datagram(what.message);
    if (this->datagrams < 0 || !send_datagram(this->datagrams, what.address, bytes)) {
        ++this->counters.datagrams_not_sent;
        return;
    }
    traffic& sent = this->counters.sent[what.message.index()];
    ++sent.messages;
    sent.bytes += bytes.size();
}

void transport::state::take_datagram(std::string_view bytes)
{
    auto message = decode_datagram(bytes);
    const auto* beat = message ? std::get_if<core::heartbeat>(&*message) : nullptr;
    if (beat == nullptr) {
        ++this->counters.malformed;
        return;
    }
    traffic& received = this->counters.received[message->index()];
    ++received.messages;
    received.bytes += bytes.size();
    const core::node_name from = beat->sender.name;
    const core::incarnation run = beat->sender.run;
    this->happened(core::peer_received{from, run, std::move(*message)});
}

void transport::state::schedule_flush()
{
    if (this->flush_scheduled)
        return;
    this->flush_scheduled = true;
    this->loop.post(this->while_alive([this] { this->flush(); }));
}

void transport::state::flush()
{
    this->flush_scheduled = false;
    for (auto& [peer, link] : this->links) {
        if (link.waiting.empty())
            continue;
        const auto found = this->stream_for(peer);
        if (found != this->streams.end()) {
            this->write_next(found->first, found->second);
            continue;
        }
        if (!this->has_outbound(peer) && this->loop.now() >= link.retry_at)
            this->open_outbound(peer, link);
    }
}

void transport::state::schedule_sweep()
{
    this->sweep_timer = this->loop.after(sweep_interval, [this] {
        this->sweep();
        this->schedule_sweep();
    });
}

void transport::state::sweep()
{
    this->sweep_streams();
    this->sweep_links();
    this->flush();
}

void transport::state::sweep_links()
{
    const microseconds now = this->loop.now();
    std::vector<core::node_name> late;
    std::vector<core::node_name> unused;
    for (const auto& [peer, link] : this->links) {
        if (!link.waiting.empty() && now - link.waiting.front().since >= this->settings.send_limit)
            late.push_back(peer);
        if (link.waiting.empty() && now - link.used_at > link_lifetime &&
            this->stream_for(peer) == this->streams.end())
            unused.push_back(peer);
    }
    for (const core::node_name& peer : unused)
        this->links.erase(peer);
    for (const core::node_name& peer : late)
        this->drop_waiting(peer);
}

void transport::state::sweep_streams()
{
    const microseconds now = this->loop.now();
    std::vector<stream_id> stuck;
    std::vector<stream_id> idle;
    for (const auto& [id, stream] : this->streams) {
        const bool unanswered =
            !stream.greeted && now - stream.opened_at >= this->settings.send_limit;
        const bool unwritten =
            stream.writing && now - stream.writing_since >= this->settings.send_limit;
        const bool unclosed =
            stream.said_last && now - stream.writing_since >= 2 * this->settings.send_limit;
        if (unanswered || unwritten || unclosed)
            stuck.push_back(id);
        else if (stream.outbound() && now - stream.used_at >= this->settings.idle_limit)
            idle.push_back(id);
    }
    for (const stream_id id : stuck)
        this->break_stream(id);
    for (const stream_id id : idle) {
        open_stream& stream = this->streams.at(id);
        stream.wants_close = true;
        this->write_next(id, stream);
    }
}

transport::transport(http::loop& on, const transport_settings& settings, event_handler happened)
    : self(std::make_unique<state>(on, settings, std::move(happened)))
{
}

transport::~transport() = default;

bool transport::listening() const
{
    return this->self->server != nullptr && this->self->datagrams >= 0;
}

std::uint16_t transport::port() const
{
    return static_cast<std::uint16_t>(this->self->bound_port);
}

void transport::send(core::send_peer&& what)
{
    if (std::holds_alternative<core::heartbeat>(what.message)) {
        this->self->send_heartbeat(what);
        return;
    }
    peer_link& link = this->self->links[what.to];
    link.address = what.address;
    link.used_at = this->self->loop.now();
    link.waiting.push_back({std::move(what.message), link.used_at});
    this->self->schedule_flush();
    if (link.waiting.size() == most_waiting_messages) {
        // Reported from the loop, not from inside the caller's own step.
        this->self->loop.post(this->self->while_alive(
            [state = this->self.get(), peer = what.to] { state->drop_waiting(peer); }));
    }
}

const transport_counters& transport::counters() const
{
    return this->self->counters;
}

std::size_t transport::open_streams() const
{
    return this->self->streams.size();
}

} // namespace ragwortcove::peer
