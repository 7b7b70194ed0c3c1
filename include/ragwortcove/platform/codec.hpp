/// \file
/// The object API's messages as JSON text, for both of its ends.
///
/// An object reads `{"kind", "name", "revision", "change", "fields": {KEY: VALUE, ...}}`; a watch
/// is one JSON value a line.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/platform_call.hpp"

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ragwortcove::platform {

/// A text that is not the message it should be.
struct codec_error {
    std::string message;
};

/// An object and the change that wrote it.
struct stored_object {
    core::object value;
    std::string change_id;
    bool operator==(const stored_object&) const = default;
};

struct object_list {
    core::store_id store;
    core::revision at;
    std::vector<stored_object> objects;
    bool operator==(const object_list&) const = default;
};

/// What the platform holds instead of what a conditional write expected; unset when nothing.
struct write_conflict {
    std::optional<stored_object> current;
};

/// A change that a watch reports, or a heartbeat when nothing has changed.
struct watch_line {
    struct heartbeat {
        bool operator==(const heartbeat&) const = default;
    };
    core::store_id store;
    core::revision at;
    std::variant<heartbeat, core::object, core::object_key> change;
    bool operator==(const watch_line&) const = default;
};

[[nodiscard]] std::string encode_object(const core::object& value, std::string_view change_id);
[[nodiscard]] boost::leaf::result<stored_object> decode_object(std::string_view text);

[[nodiscard]] std::string encode_list(const object_list& list);
[[nodiscard]] boost::leaf::result<object_list> decode_list(std::string_view text);

[[nodiscard]] std::string encode_written(core::revision at);
[[nodiscard]] boost::leaf::result<core::revision> decode_written(std::string_view text);

[[nodiscard]] std::string encode_conflict(const write_conflict& conflict);
[[nodiscard]] boost::leaf::result<write_conflict> decode_conflict(std::string_view text);

/// Without the line's end.
[[nodiscard]] std::string encode_watch_line(const watch_line& line);
[[nodiscard]] boost::leaf::result<watch_line> decode_watch_line(std::string_view text);

/// A refusal's message for people.
[[nodiscard]] std::string encode_problem(std::string_view message);
/// The message of a refusal; the whole text when it is not one.
[[nodiscard]] std::string decode_problem(std::string_view text);

} // namespace ragwortcove::platform
