#include "ragwortcove/settings/ini_document.hpp"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <iterator>

namespace ragwortcove::settings {

// inih neither numbers lines nor tells of sections without entries. Both come from the reader
// below: it hands inih one line at a time and counts, and after each header it slips in one
// entry, `section_marker`, whose handler call opens the section.

/// A key that no file can hold: the reader refuses control characters.
static constexpr const char* section_marker = "\x01=\n";
static constexpr std::string_view marker_key = "\x01";
/// inih cuts section names to one character less than its buffer of 50.
static constexpr std::size_t longest_section_name = 49;

namespace {

struct ini_reading {
    std::string_view rest;
    ini_document document;
    std::size_t line = 0;
    /// Text of the line that inih is looking at, when it should give an entry.
    std::string_view awaited;
    bool marker_due = false;
};

} // namespace

static std::string_view trim(std::string_view text)
{
    constexpr std::string_view blank = " \t\r\n\v\f";
    const auto first = text.find_first_not_of(blank);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blank) - first + 1);
}

static void report(ini_reading& reading, std::string_view expected, std::string_view found)
{
    reading.document.errors.push_back(
        {reading.document.file, reading.line, "", std::string(expected), std::string(found)});
}

static std::string_view take_line(ini_reading& reading)
{
    const auto end = reading.rest.find('\n');
    const auto line = reading.rest.substr(0, end);
    reading.rest = end == std::string_view::npos ? "" : reading.rest.substr(end + 1);
    ++reading.line;
    return line;
}

static bool has_control_character(std::string_view line)
{
    return std::any_of(line.begin(), line.end(), [](unsigned char c) { return c < ' '; });
}

/// Says what is wrong with a line that inih would misread without a word; empty when nothing is.
static std::string_view line_fault(std::string_view line, std::size_t capacity)
{
    if (line.size() + 2 > capacity)
        return "a shorter line";
    auto printable = std::string(line);
    std::replace(printable.begin(), printable.end(), '\t', ' ');
    if (has_control_character(printable))
        return "text without control characters";
    if (!line.starts_with('['))
        return "";
    const auto close = line.find(']');
    if (close == std::string_view::npos)
        return "a section header such as [tier gold]";
    if (close - 1 > longest_section_name)
        return "a section header of at most 49 characters";
    return "";
}

static void check_awaited(ini_reading& reading)
{
    if (!reading.awaited.empty())
        report(reading, "a line such as key = value", reading.awaited);
    reading.awaited = {};
}

static char* hand_over(std::string_view line, char* buffer)
{
    std::memcpy(buffer, line.data(), line.size());
    buffer[line.size()] = '\0';
    return buffer;
}

static char* read_line(char* buffer, int capacity, void* stream)
{
    auto& reading = *static_cast<ini_reading*>(stream);
    if (reading.marker_due) {
        reading.marker_due = false;
        return hand_over(section_marker, buffer);
    }
    check_awaited(reading);
    while (!reading.rest.empty()) {
        const auto line = trim(take_line(reading));
        if (line.empty() || line.starts_with(';') || line.starts_with('#'))
            continue;
        if (const auto fault = line_fault(line, static_cast<std::size_t>(capacity));
            !fault.empty()) {
            report(reading, fault, line.substr(0, 60));
            continue;
        }
        reading.marker_due = line.starts_with('[');
        reading.awaited = reading.marker_due ? "" : line;
        return hand_over(line, buffer);
    }
    return nullptr;
}

static int take_entry(void* user, const char* section, const char* name, const char* value)
{
    auto& reading = *static_cast<ini_reading*>(user);
    auto& sections = reading.document.sections;
    reading.awaited = {};
    if (name == marker_key) {
        sections.push_back({section, reading.line, {}});
        return 1;
    }
    if (sections.empty())
        sections.push_back({"", reading.line, {}});
    if (*name == '\0') {
        report(reading, "a key before the equals sign", value);
        return 1;
    }
    sections.back().entries.push_back({name, value, reading.line});
    return 1;
}

ini_document parse_ini(std::string_view file, std::string_view text)
{
    constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";
    ini_reading reading;
    reading.document.file = file;
    reading.rest = text.starts_with(byte_order_mark) ? text.substr(3) : text;
    // Every line is an entry of its own: an indented one continues nothing.
    ini_allow_multiline = false;
    // The reader reports every bad line itself, so inih's first error line adds nothing.
    (void)ini_parse_stream(&read_line, &reading, &take_entry, &reading);
    return std::move(reading.document);
}

ini_document load_ini(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    if (!stream.is_open() || stream.bad())
        return {path, {}, {{path, 0, "", "a file that can be read", ""}}};
    return parse_ini(path, text);
}

const ini_section* find_section(const ini_document& document, std::string_view name)
{
    const auto found =
        std::find_if(document.sections.begin(), document.sections.end(),
                     [&](const ini_section& section) { return section.name == name; });
    return found == document.sections.end() ? nullptr : &*found;
}

const ini_entry* find_entry(const ini_section& section, std::string_view key)
{
    const auto found = std::find_if(section.entries.begin(), section.entries.end(),
                                    [&](const ini_entry& entry) { return entry.key == key; });
    return found == section.entries.end() ? nullptr : &*found;
}

} // namespace ragwortcove::settings
