/// \file
/// What applying declared objects would change.
#pragma once

#include "ragwortcove/core/object.hpp"
#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/settings/object_file.hpp"

#include <optional>
#include <ostream>
#include <span>
#include <vector>

namespace ragwortcove::cli {

enum class change_action { create, update, keep };

struct planned_change {
    change_action action = change_action::keep;
    core::object wanted;
    /// What is in force now; unset when nothing is.
    std::optional<core::object> current;
};

/// Changes in the order of writing: an object comes after those that it names.
[[nodiscard]] std::vector<planned_change>
plan_changes(std::span<const settings::declared_object> declared,
             std::span<const core::object> in_force);

[[nodiscard]] std::string_view to_string(change_action action);
/// Prints the fields that a change takes away and brings.
void print_difference(std::ostream& to, const planned_change& change);

} // namespace ragwortcove::cli
