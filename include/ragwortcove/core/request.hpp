/// \file
/// The core's description of a caller's request: everything but its bytes.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <optional>
#include <string>
#include <vector>

namespace ragwortcove::core {

/// Names the entry whose address a caller was given; part of an idempotency key.
struct ticket {
    endpoint entry;
    incarnation minted_by;
    std::uint64_t nonce = 0;
    bool operator==(const ticket&) const = default;
};

/// An idempotency key as the caller sent it, and the ticket that it starts with, if any.
struct idempotency_key {
    std::string text;
    std::optional<ticket> on_ticket;
};

/// A request as described by the shell around the core.
struct caller_request {
    route_name route;
    team_name team;
    std::optional<idempotency_key> key;
    /// Time that the caller allows from arrival to the last byte; the route's when unset.
    std::optional<duration> timeout;
    std::uint32_t prompt_tokens = 0;
    /// Maximum output tokens that the caller requested; zero when not stated or for a service.
    std::uint32_t max_output_tokens = 0;
    /// Chained hashes of the prompt's blocks, in order.
    std::vector<prefix_hash> prefix;
    /// Whether the method itself is safe to repeat (GET); such a request is idempotent on any
    /// route.
    bool safe_method = false;
    /// Whether the caller gets the response in parts; if not, the shell buffers the parts until
    /// `finish_exchange` and discards them when a fresh attempt is opened.
    bool streaming = false;
};

/// Tokens in one block of a prompt that a prefix hash covers.
inline constexpr std::uint32_t prefix_block_tokens = 64;

[[nodiscard]] std::string format_ticket(const ticket& value);
/// Parses a key; a text that does not start with a well-formed ticket is a key without a ticket.
[[nodiscard]] idempotency_key parse_idempotency_key(std::string_view text);
[[nodiscard]] std::string format_request_id(const request_id& value);

} // namespace ragwortcove::core
