/// \file
/// What the log lines of one request say of its end, in a sentence.
#pragma once

#include <span>
#include <string>
#include <string_view>

namespace ragwortcove::cli {

/// Value of a field of a text log line, without quotes; empty when the line has none.
[[nodiscard]] std::string field_of(std::string_view line, std::string_view key);

/// Why a request ended as it did; `lines` are its lines in the order of time. Says so when they do
/// not tell its end; empty when none of them is an event of a gateway.
[[nodiscard]] std::string conclude(std::span<const std::string> lines);

} // namespace ragwortcove::cli
