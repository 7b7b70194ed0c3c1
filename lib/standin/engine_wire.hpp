/// \file
/// The engine's requests, reports and faults as JSON.
#pragma once

#include "ragwortcove/standin/engine_model.hpp"

#include <boost/json.hpp>

#include <optional>
#include <span>

namespace ragwortcove::standin {

/// Reads prompt, prefix and output length of a chat request; the id and route are headers.
[[nodiscard]] std::optional<engine_request> read_chat_request(const boost::json::object& body);
[[nodiscard]] boost::json::object write_snapshot(const kv_snapshot& snapshot);
/// Reads all of a snapshot but its request's id.
[[nodiscard]] kv_snapshot read_snapshot(const boost::json::object& body);
[[nodiscard]] boost::json::object write_load(const engine_load& load, const engine_settings& engine,
                                             const core::version_name& serving);
[[nodiscard]] boost::json::object
write_cache_events(std::span<const engine_cache_event> cache_events);
[[nodiscard]] std::string_view to_string(engine_request_state state);
/// Reads a fault of the kinds `slow` and `failing`; it begins at `now`.
[[nodiscard]] engine_fault read_fault(const boost::json::object& body, core::time_point now);

/// One server-sent event for each of `count` tokens.
void append_token_chunks(std::string& text, std::uint32_t offset, std::uint32_t count);
/// The last chunk, with the usage, and the end marker.
[[nodiscard]] std::string write_end_chunk(std::uint32_t prompt_tokens, const engine_finished& end);

} // namespace ragwortcove::standin
