/// \file
/// Carries the core's peer messages between nodes: heartbeats in UDP datagrams, everything else on
/// one gRPC stream a pair of nodes. All of it happens on the loop's thread.
#pragma once

#include "ragwortcove/core/effect.hpp"
#include "ragwortcove/core/event.hpp"
#include "ragwortcove/core/types.hpp"
#include "ragwortcove/http/loop.hpp"
#include "ragwortcove/peer/codec.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace ragwortcove::peer {

/// Certificates of the streams; unset paths mean plain TCP. A node's certificate names its IP
/// number, and both ends show theirs.
struct tls_files {
    std::string certificate_file;
    std::string private_key_file;
    std::string authority_file;
    [[nodiscard]] bool enabled() const { return !this->certificate_file.empty(); }
};

struct transport_settings {
    core::node_name name;
    core::incarnation run;
    /// TCP for streams and UDP for heartbeats; port zero takes any free one.
    core::endpoint listen;
    tls_files tls;
    /// What has waited this long is dropped and reported as `core::peer_disconnected`.
    std::chrono::milliseconds send_limit{1000};
    /// Longest silence of a connection before a ping, and then before the pong.
    std::chrono::milliseconds ping_after{1000};
    std::chrono::milliseconds pong_within{800};
    /// A stream without messages for this long is closed by the node that opened it.
    std::chrono::milliseconds idle_limit{30'000};
};

/// Messages and their bytes of one kind.
struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Counts since the start; for metrics.
struct transport_counters {
    /// By kind of message, in the order of `core::peer_message`; see `message_kind_name`.
    std::array<traffic, message_kinds> sent;
    std::array<traffic, message_kinds> received;
    /// Envelopes on streams with their names and greetings, before gRPC's framing.
    traffic envelopes_sent;
    traffic envelopes_received;
    std::uint64_t streams_opened = 0;
    std::uint64_t streams_broken = 0;
    std::uint64_t messages_dropped = 0;
    std::uint64_t datagrams_not_sent = 0;
    /// Envelopes and datagrams that could not be read.
    std::uint64_t malformed = 0;
};

class transport {
public:
    using event_handler = std::function<void(core::event&&)>;

    transport(http::loop& on, const transport_settings& settings, event_handler happened);
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;

    /// Whether both TCP and UDP are bound.
    [[nodiscard]] bool listening() const;
    [[nodiscard]] std::uint16_t port() const;
    void send(core::send_peer&& what);
    [[nodiscard]] const transport_counters& counters() const;
    /// Open streams, both ways.
    [[nodiscard]] std::size_t open_streams() const;

    struct state;

private:
    std::unique_ptr<state> self;
};

} // namespace ragwortcove::peer
