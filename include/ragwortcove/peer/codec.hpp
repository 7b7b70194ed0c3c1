/// \file
/// Translates the core's peer messages to and from their protobuf form (generated/peer.proto).
#pragma once

#include "ragwortcove/core/peer_message.hpp"
#include "ragwortcove/core/types.hpp"

#include <boost/leaf.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::wire {
class Envelope;
} // namespace ragwortcove::wire

namespace ragwortcove::peer {

/// Who sends on a stream; the first thing on it.
struct greeting {
    core::node_name name;
    core::incarnation run;
    bool operator==(const greeting&) const = default;
};

/// Messages that travel together.
struct envelope {
    std::optional<greeting> hello;
    std::vector<core::peer_message> messages;
    /// Whether the sender sends nothing more on this stream.
    bool last = false;
};

/// Why an envelope cannot be read.
struct codec_error {
    /// Message and field at fault.
    std::string place;
    std::string expected;
};

/// Longest duration that travels; longer ones are sent as this, negative ones as zero.
inline constexpr core::duration most_duration = std::chrono::hours{24 * 400};
/// Entries of a stream's table at which its sender begins a new table.
inline constexpr std::size_t table_entries_before_restart = 16U << 10U;
/// Entries of a stream's table that a receiver accepts.
inline constexpr std::size_t most_table_entries = 64U << 10U;
/// Longest name, in bytes.
inline constexpr std::size_t most_name_bytes = 1024;

/// Sender's end of one stream: numbers the names and incarnations that it has sent.
class encoder {
public:
    void encode(const envelope& value, wire::Envelope& out);

private:
    std::map<std::string, std::uint32_t, std::less<>> names;
    std::map<core::incarnation, std::uint32_t> runs;
};

/// Receiver's end of one stream. After a failure the stream cannot be read on.
class decoder {
public:
    /// Fails with a `codec_error`.
    [[nodiscard]] boost::leaf::result<envelope> decode(const wire::Envelope& value);

private:
    std::vector<std::string> names;
    std::vector<core::incarnation> runs;
};

/// One message as a datagram with tables of its own.
[[nodiscard]] std::string encode_datagram(const core::peer_message& message);
/// Fails with a `codec_error`.
[[nodiscard]] boost::leaf::result<core::peer_message> decode_datagram(std::string_view bytes);

/// Number of kinds of message.
inline constexpr std::size_t message_kinds = std::variant_size_v<core::peer_message>;
/// Name of a kind of message by the variant's index; for metrics.
[[nodiscard]] std::string_view message_kind_name(std::size_t index);

} // namespace ragwortcove::peer
