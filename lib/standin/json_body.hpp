/// \file
/// JSON bodies of the stand-in servers.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/http/server.hpp"

#include <boost/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace ragwortcove::standin {

/// The body as a JSON object, or nothing.
[[nodiscard]] std::optional<boost::json::object> parse_json_object(std::string_view body);
/// A member's text; empty when it is missing or no string.
[[nodiscard]] std::string get_text(const boost::json::object& from, std::string_view name);
/// A member's number; `otherwise` when it is missing or no number.
[[nodiscard]] double get_number(const boost::json::object& from, std::string_view name,
                                double otherwise);
/// A member's whole number, not below zero; `otherwise` when it is missing or none.
[[nodiscard]] std::uint64_t get_count(const boost::json::object& from, std::string_view name,
                                      std::uint64_t otherwise);
[[nodiscard]] bool get_flag(const boost::json::object& from, std::string_view name, bool otherwise);
[[nodiscard]] core::duration get_millis(const boost::json::object& from, std::string_view name,
                                        core::duration otherwise);

void respond_json(http::server& on, http::server_exchange exchange, int status,
                  const boost::json::value& body, std::vector<http::header> headers = {});
void respond_error(http::server& on, http::server_exchange exchange, int status,
                   std::string_view message, std::vector<http::header> headers = {});

} // namespace ragwortcove::standin
