/// \file
/// A mistake in a settings file, with the place where it stands.
#pragma once

#include <compare>
#include <cstddef>
#include <string>

namespace ragwortcove::settings {

/// What is wrong at which line of which file, and what was expected instead.
struct located_error {
    std::string file;
    /// Counted from one; zero speaks of the whole file.
    std::size_t line = 0;
    /// Key or section at fault; empty speaks of the whole line.
    std::string key;
    std::string expected;
    /// What stands there; empty when nothing does.
    std::string found;
    auto operator<=>(const located_error&) const = default;
    bool operator==(const located_error&) const = default;
};

/// One line for people: `tiers.ini:4: rank = "first": expected a whole number`.
[[nodiscard]] std::string format_error(const located_error& error);

} // namespace ragwortcove::settings
