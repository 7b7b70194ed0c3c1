/// \file
/// What the subcommands on objects share.
#pragma once

#include "ragwortcove/cli/common_options.hpp"
#include "ragwortcove/cli/exit_code.hpp"
#include "ragwortcove/cli/platform_session.hpp"
#include "ragwortcove/core/object.hpp"
#include "ragwortcove/settings/object_file.hpp"

#include <chrono>
#include <ostream>
#include <string>
#include <vector>

namespace ragwortcove::tool {

/// How long a command tries to reach the platform.
inline constexpr std::chrono::seconds platform_patience{15};

/// Objects of all files, and every mistake in them.
[[nodiscard]] settings::object_file read_files(const std::vector<std::string>& paths);
void print_errors(std::ostream& to, const std::vector<settings::located_error>& errors);

/// Reads a kind in the singular or plural; throws `invalid_arguments`.
[[nodiscard]] core::object_kind parse_kind(const std::string& text);
[[nodiscard]] core::unix_millis wall_clock();
[[nodiscard]] cli::exit_code report_unreachable();

} // namespace ragwortcove::tool
