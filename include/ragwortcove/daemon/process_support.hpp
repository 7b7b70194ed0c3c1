/// \file
/// What every daemon's process does at its start and its end.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace ragwortcove::daemon {

/// A number that no two runs share; a later run has a greater one unless the clock was set back.
[[nodiscard]] core::incarnation make_incarnation();
/// Text of one of the system's error numbers.
[[nodiscard]] std::string describe_error(int error);
/// An address of the settings that cannot be listened on.
struct unavailable_address {
    /// Key of the address in the settings.
    std::string_view key;
    core::endpoint address;
    /// The system's error number; zero when it is not known.
    int error = 0;
};

void log_unavailable(const unavailable_address& address);
/// Number of descriptors that this process may have open.
[[nodiscard]] std::size_t descriptor_limit();
/// Keeps the signals that a daemon handles until they are read. They end a process that has not
/// done so, and threads that start before leave them to no loop.
void block_signals();
/// Gives a descriptor to read the signals from that are blocked.
[[nodiscard]] int open_signals();
/// From now on an exception that nothing handles is logged before it ends the process.
void log_unhandled_exceptions();
/// Writes what the log still holds, and ends the process without the destructors of static objects.
[[noreturn]] void end_process(int exit_code);

} // namespace ragwortcove::daemon
