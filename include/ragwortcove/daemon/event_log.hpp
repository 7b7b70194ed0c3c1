/// \file
/// The daemon's log: one line an event, as `key=value` text or as JSON.
#pragma once

#include "ragwortcove/daemon/log_event.hpp"

#include <initializer_list>

#include <string>
#include <string_view>

namespace ragwortcove::daemon {

enum class log_format { text, json };

/// Name of standard output among the files that a log can go to.
inline constexpr std::string_view standard_output = "stdout";

struct log_settings {
    log_level level = log_level::info;
    /// Path of the log file; empty writes to standard error. `standard_output` writes there through
    /// a bounded buffer that never blocks; `flush_log` must then be called now and then.
    std::string file;
    log_format format = log_format::text;
    bool operator==(const log_settings&) const = default;
};

struct log_field {
    std::string_view key;
    std::string_view value;
};

/// Replaces where and how the process logs; call once before the first event, and on a reload.
void configure_log(const log_settings& settings);
void write_log(log_event event, std::initializer_list<log_field> fields);
/// Hands on what waits for standard output, without blocking.
void flush_log();
/// Renders an event's fields in a format; no time, no line end.
[[nodiscard]] std::string render_log_line(log_format format, log_event event,
                                          std::initializer_list<log_field> fields);

} // namespace ragwortcove::daemon
