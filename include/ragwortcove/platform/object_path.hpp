/// \file
/// Where the object API keeps an object: `/objects/KIND/NAME`.
#pragma once

#include "ragwortcove/core/object.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace ragwortcove::platform {

inline constexpr std::string_view objects_path = "/objects";
inline constexpr std::string_view watch_path = "/watch";

/// Path and query of one object. A name that a path cannot carry whole goes into the query.
struct object_path {
    std::string path;
    std::string query;
};

[[nodiscard]] object_path path_of(const core::object_key& key);
/// Reads a path and query as a server receives them; nothing when they name no object.
[[nodiscard]] std::optional<core::object_key> parse_object_path(std::string_view path,
                                                                std::string_view query);
/// Appends `key=value` to a query, percent-encoded.
void append_query(std::string& query, std::string_view key, std::string_view value);

} // namespace ragwortcove::platform
