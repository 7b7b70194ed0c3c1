/// \file
/// Texts of any bytes as parts of a target: a segment of the path, a key or a value of the query.
#pragma once

#include <string>
#include <string_view>

namespace ragwortcove::http {

/// The text with every byte escaped that may have a meaning of its own in a path or a query.
[[nodiscard]] std::string percent_encoded(std::string_view text);
/// A decoded path as part of a target: slashes and what has no meaning in a path stay.
[[nodiscard]] std::string path_encoded(std::string_view path);
/// The bytes that a segment of a path stands for; a text with an invalid escape stands for itself.
[[nodiscard]] std::string percent_decoded(std::string_view segment);
/// As `percent_decoded`, for a key or a value of a query, in which `+` stands for a space.
[[nodiscard]] std::string query_decoded(std::string_view text);

} // namespace ragwortcove::http
