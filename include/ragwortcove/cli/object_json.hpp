/// \file
/// Objects as the commands print them with `--output json`.
///
/// An object reads `{"kind", "name", "revision", "change", "fields": {KEY: VALUE, ...}}`.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/platform_call.hpp"

#include <string>
#include <string_view>

namespace ragwortcove::cli {

[[nodiscard]] std::string write_json(const core::object& value, std::string_view change_id);
[[nodiscard]] std::string write_json(const core::platform_listed& list);
/// A change as `watch` prints it, without the line's end.
[[nodiscard]] std::string write_change(const core::store_id& store, core::revision at,
                                       const core::object& changed);
[[nodiscard]] std::string write_change(const core::store_id& store, core::revision at,
                                       const core::object_key& deleted);

} // namespace ragwortcove::cli
