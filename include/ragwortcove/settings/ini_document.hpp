/// \file
/// An INI file as sections and entries that know their lines; read by inih.
#pragma once

#include "ragwortcove/settings/located_error.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::settings {

struct ini_entry {
    std::string key;
    std::string value;
    std::size_t line = 0;
};

struct ini_section {
    /// Text between the brackets; empty for entries before the first header.
    std::string name;
    std::size_t line = 0;
    std::vector<ini_entry> entries;
};

/// Sections in the file's order; a header that stands twice gives two sections.
struct ini_document {
    std::string file;
    std::vector<ini_section> sections;
    /// Lines that are not INI, in the file's order.
    std::vector<located_error> errors;
};

/// Reads INI text; `file` only names it in errors.
[[nodiscard]] ini_document parse_ini(std::string_view file, std::string_view text);
/// Reads an INI file; one that cannot be opened gives a document with one error.
[[nodiscard]] ini_document load_ini(const std::string& path);

/// First section of that name, or nothing.
[[nodiscard]] const ini_section* find_section(const ini_document& document, std::string_view name);
/// First entry of that key, or nothing.
[[nodiscard]] const ini_entry* find_entry(const ini_section& section, std::string_view key);

} // namespace ragwortcove::settings
