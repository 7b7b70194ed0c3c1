/// \file
/// State of a transport: links to peers by name, and the streams under them.
#pragma once

#include "ragwortcove/peer/transport.hpp"
#include "stream.hpp"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <variant>

namespace ragwortcove::peer {

using std::chrono::microseconds;

struct waiting_message {
    core::peer_message message;
    microseconds since{0};
};

/// A peer by name, whether or not a stream to it is open.
struct peer_link {
    core::endpoint address;
    /// Greatest incarnation that has greeted.
    core::incarnation run;
    std::deque<waiting_message> waiting;
    /// Streams that failed since the last greeting.
    std::uint32_t failures = 0;
    microseconds retry_at{0};
    microseconds used_at{0};
};

/// One gRPC stream, of either end.
struct open_stream {
    std::variant<outbound_stream*, inbound_stream*> call;
    /// Whom an outbound stream is to reach, or who greeted on an inbound one.
    core::node_name peer;
    core::endpoint address;
    core::incarnation run;
    encoder sender;
    decoder receiver;
    /// The peer's greeting has come.
    bool greeted = false;
    bool writing = false;
    bool wants_close = false;
    bool said_last = false;
    microseconds opened_at{0};
    microseconds used_at{0};
    microseconds writing_since{0};
    [[nodiscard]] bool outbound() const
    {
        return std::holds_alternative<outbound_stream*>(this->call);
    }
    [[nodiscard]] bool takes_messages() const
    {
        return this->greeted && !this->wants_close && !this->said_last;
    }
};

struct transport::state {
    state(http::loop& on, const transport_settings& given, event_handler handler);
    ~state();

    void start_server();
    void open_datagrams();
    void send_heartbeat(const core::send_peer& what);
    void take_datagram(std::string_view bytes);

    /// Runs `work` on the loop, unless the transport has ended by then.
    [[nodiscard]] std::function<void()> while_alive(std::function<void()> work);
    void schedule_flush();
    void flush();
    void schedule_sweep();
    /// Finds what has waited, or been silent, for too long.
    void sweep();
    void sweep_links();
    void sweep_streams();

    void take_reports();
    void operator()(stream_accepted& report);
    void operator()(envelope_read& report);
    void operator()(const envelope_written& report);
    void operator()(const stream_over& report);

    void open_outbound(const core::node_name& peer, peer_link& link);
    /// Writes what waits, or the last envelope, if nothing is being written.
    void write_next(stream_id id, open_stream& stream);
    void write(open_stream& stream, const envelope& value);
    /// False when the greeting is not acceptable.
    [[nodiscard]] bool take_greeting(stream_id id, open_stream& stream, const greeting& hello);
    void deliver(const open_stream& stream, envelope& value);
    /// Closes this node's stream where the peer has opened one as well.
    void close_surplus(const core::node_name& peer);
    /// Ends a stream that is not over in order and tells the core.
    void break_stream(stream_id id);
    void drop_waiting(const core::node_name& peer);
    [[nodiscard]] std::map<stream_id, open_stream>::iterator
    stream_for(const core::node_name& peer);
    [[nodiscard]] bool has_outbound(const core::node_name& peer) const;

    http::loop& loop;
    transport_settings settings;
    event_handler happened;
    /// Expires with this transport, so that work left on the loop is dropped.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::shared_ptr<report_queue> reports;
    stream_service service;
    std::unique_ptr<grpc::Server> server;
    int bound_port = 0;
    int datagrams = -1;
    std::map<core::node_name, peer_link> links;
    std::map<stream_id, open_stream> streams;
    bool flush_scheduled = false;
    http::timer_id sweep_timer = 0;
    std::minstd_rand jitter;
    transport_counters counters;
};

} // namespace ragwortcove::peer
