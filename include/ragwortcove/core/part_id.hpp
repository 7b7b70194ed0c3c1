/// \file
/// Ids of the parts of prompts.
#pragma once

#include "ragwortcove/core/types.hpp"

#include <string>

namespace ragwortcove::core {

/// Id of a part of a prompt, which requests share.
using part_id = basic_number<struct part_tag>;

/// Text form of a part's id, in hexadecimal, as callers and operators write it.
[[nodiscard]] std::string to_text(part_id part);

} // namespace ragwortcove::core
