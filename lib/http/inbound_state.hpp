/// \file
/// State of the server that its sources share.
#pragma once

#include "loop_state.hpp"
#include "ragwortcove/http/byte_share.hpp"
#include "ragwortcove/http/inbound.hpp"

#include <map>
#include <memory>
#include <vector>

namespace ragwortcove::http {

/// One client's connection, and the request on it.
struct inbound_connection {
    std::uint64_t id = 0;
    std::unique_ptr<tcp_stream> stream;
    std::unique_ptr<request_reader> reader;
    connection_phase phase = connection_phase::idle;
    std::chrono::microseconds since{0};
    /// When the last bytes of a request under way came, from the end of its head on.
    std::chrono::microseconds body_at{0};
    bool head_read = false;
    /// How long the connection may lie idle since `since`, whatever the limit is later.
    std::chrono::microseconds idle_time{0};
    /// Whether the bytes that follow the last request are still to be looked at.
    bool resuming = false;
    inbound_request request;
    /// Memory of the body of the request that is being read or answered.
    byte_share held;
    inbound_exchange exchange = 0;
    bool keep_alive = true;
    bool version_1_1 = true;
    bool is_head_request = false;
    bool head_sent = false;
    bool chunked = false;
    bool closes = false;
    /// Whether the connection's state goes at the end of the turn.
    bool dead = false;
    /// Bytes handed to the network at the last sweep at which there were more than before.
    std::uint64_t sent_bytes = 0;
    std::chrono::microseconds sent_at{0};
};

struct inbound_server::state {
    loop& on;
    inbound_limits limits;
    /// Idle time before it was lowered, and until when callers may count on it.
    std::chrono::microseconds earlier_idle_time{0};
    std::chrono::microseconds earlier_until{0};
    inbound_handlers handlers;
    std::unique_ptr<tcp_listener> listener;
    /// Memory of the bodies of all requests that are being read or answered.
    std::size_t held_request_bytes = 0;
    std::map<std::uint64_t, std::shared_ptr<inbound_connection>> connections;
    std::map<inbound_exchange, std::uint64_t> by_exchange;
    /// Connections that are closed once their last bytes are sent.
    std::vector<std::shared_ptr<inbound_connection>> ending;
    std::uint64_t last_connection = 0;
    inbound_exchange last_exchange = 0;
    timer_id sweep_timer = 0;
    /// Bytes that waited for all clients when they were last counted, and those written since.
    std::size_t counted_unsent_bytes = 0;
    std::size_t written_since = 0;
    bool counting_unsent = false;
    bool draining = false;

    explicit state(loop& loop) : on(loop) {}

    void accept(int descriptor);
    /// Closes the connection that has been idle for longest; returns whether there was one.
    bool make_room();
    void received(inbound_connection& from, std::string_view bytes);
    void ended(inbound_connection& from);
    void check(inbound_connection& from, message_fault fault);
    /// Counts a body that is being read, and refuses the longest one if all take too much.
    void bound_requests(inbound_connection& from);
    void head_came(inbound_connection& from, request_line_and_headers&& head);
    void complete(inbound_connection& from);
    void reject(inbound_connection& from, int status);
    void bury(inbound_connection& from);
    void forget_ended();
    [[nodiscard]] static bool is_unfinished(const inbound_connection& each);
    void report(const inbound_connection& closed, closing_reason why) const;
    void finish(inbound_connection& of);
    void write(inbound_connection& of, std::string_view bytes);
    void sweep();
    void become_idle(inbound_connection& each) const;
    /// Whether the connection may be closed without harm to a request.
    [[nodiscard]] static bool is_unused(const inbound_connection& each);
    void close(inbound_connection& unused);
    /// Takes that bytes were written; cuts clients off before too many wait.
    void on_written(std::size_t bytes);
    [[nodiscard]] std::vector<std::shared_ptr<inbound_connection>> find_clogged();
    void cut_off_clogged();
    [[nodiscard]] std::size_t unsent_bytes() const;
    [[nodiscard]] bool is_slow(const inbound_connection& each) const;
    [[nodiscard]] bool is_clogged(inbound_connection& each) const;
    [[nodiscard]] inbound_connection* find(inbound_exchange exchange);
    void send_head(inbound_connection& of, inbound_response&& head);
};

} // namespace ragwortcove::http
