/// \file
/// Exit codes of the command-line tool; docs/CLI.md lists them for scripts.
#pragma once

namespace ragwortcove::cli {

enum class exit_code {
    ok = 0,
    /// The command was understood and carried out, and did not succeed.
    failed = 1,
    /// Wrong arguments, or a file with mistakes; nothing was sent.
    invalid_input = 2,
    /// Somebody else changed the object first.
    conflict = 3,
    /// The platform or the daemon gave no usable answer.
    unreachable = 4,
    /// A call was refused and did not run.
    not_run = 5,
    /// A call has no whole answer and may have run.
    may_have_run = 6,
};

} // namespace ragwortcove::cli
