/// \file
/// The daemon as a process: signals, the loop, and one runtime on it.
#pragma once

#include "ragwortcove/daemon/daemon_settings.hpp"

#include <string>

namespace ragwortcove::daemon {

/// Runs until a graceful shutdown is complete; returns the process's exit code. The settings file
/// is read again on SIGHUP.
[[nodiscard]] int run_process(const std::string& settings_path, const daemon_settings& settings);

} // namespace ragwortcove::daemon
