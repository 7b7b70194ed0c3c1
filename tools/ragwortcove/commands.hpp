/// \file
/// The subcommands of `ragwortcove`, one file each.
#pragma once

#include "ragwortcove/cli/exit_code.hpp"

#include <string>
#include <vector>

namespace ragwortcove::tool {

/// Words after the subcommand's name.
using words = std::vector<std::string>;

cli::exit_code run_apply(const words& arguments);
cli::exit_code run_diff(const words& arguments);
cli::exit_code run_validate(const words& arguments);
cli::exit_code run_get(const words& arguments);
cli::exit_code run_describe(const words& arguments);
cli::exit_code run_delete(const words& arguments);
cli::exit_code run_watch(const words& arguments);
cli::exit_code run_status(const words& arguments);
cli::exit_code run_top(const words& arguments);
cli::exit_code run_drain(const words& arguments);
cli::exit_code run_drain_domain(const words& arguments);
cli::exit_code run_drained_domains(const words& arguments);
cli::exit_code run_move(const words& arguments);
cli::exit_code run_parts(const words& arguments);
cli::exit_code run_release(const words& arguments);
cli::exit_code run_explain(const words& arguments);
cli::exit_code run_call(const words& arguments);

} // namespace ragwortcove::tool
