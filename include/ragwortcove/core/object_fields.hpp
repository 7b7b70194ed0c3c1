/// \file
/// The text form of an object: ordered key-value pairs, as in an INI section. The platform's
/// values, the peers' feed and the operators' files all use it.
#pragma once

#include "ragwortcove/core/object.hpp"

#include <boost/leaf.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::core {

struct field {
    std::string key;
    std::string value;
    bool operator==(const field&) const = default;
};

/// A field that is not valid: its key, the value found and what was expected.
struct field_error {
    std::string key;
    std::string value;
    std::string expected;
};

/// Reads an object from its fields; fails with one `field_error`, the first in the fields' order.
[[nodiscard]] boost::leaf::result<object> parse_object(const object_key& key,
                                                       std::span<const field> fields);
/// Reads an object from its fields and returns every `field_error`, in the fields' order.
[[nodiscard]] std::vector<field_error> check_object(const object_key& key,
                                                    std::span<const field> fields);
[[nodiscard]] std::vector<field> to_fields(const object& value);
[[nodiscard]] std::optional<object_kind> parse_object_kind(std::string_view text);

/// Reads a duration with its unit: `250ms`, `3s`, `5m`, `2h`, `40us`.
[[nodiscard]] std::optional<duration> parse_duration(std::string_view text);
[[nodiscard]] std::string format_duration(duration value);

/// Reads an IP address and port: `10.0.0.7:8000`, `[::1]:8000`.
[[nodiscard]] std::optional<endpoint> parse_endpoint(std::string_view text);
[[nodiscard]] std::string format_endpoint(const endpoint& value);

} // namespace ragwortcove::core
