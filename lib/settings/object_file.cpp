#include "ragwortcove/settings/object_file.hpp"

#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <optional>

namespace ragwortcove::settings {

using core::object_kind;

static constexpr std::string_view expected_header =
    "a section [KIND NAME] of the kinds tier, team, version, upstream, route or move";

/// Whether operators declare objects of that kind; the system writes the others.
static bool is_operators_kind(object_kind kind)
{
    switch (kind) {
    case object_kind::tier:
    case object_kind::team:
    case object_kind::version:
    case object_kind::upstream:
    case object_kind::route:
    case object_kind::move:
        return true;
    case object_kind::move_status:
    case object_kind::lease:
    case object_kind::claim:
        return false;
    }
    return false;
}

static std::optional<core::object_key> parse_header(std::string_view header)
{
    const auto space = header.find(' ');
    if (space == std::string_view::npos)
        return std::nullopt;
    const auto kind = core::parse_object_kind(header.substr(0, space));
    if (!kind || !is_operators_kind(*kind))
        return std::nullopt;
    const auto name = header.find_first_not_of(' ', space);
    if (name == std::string_view::npos)
        return std::nullopt;
    return core::object_key{*kind, std::string(header.substr(name))};
}

static std::vector<core::field> fields_of(const ini_section& section)
{
    std::vector<core::field> fields;
    for (const auto& entry : section.entries)
        fields.push_back({entry.key, entry.value});
    return fields;
}

/// Line of the entry that an error speaks of, or of the header when the entry is missing.
static std::size_t line_of(const ini_section& section, const core::field_error& error)
{
    const auto found =
        std::find_if(section.entries.rbegin(), section.entries.rend(), [&](const ini_entry& entry) {
            return entry.key == error.key && entry.value == error.value;
        });
    return found == section.entries.rend() ? section.line : found->line;
}

static void read_section(const ini_document& document, const ini_section& section,
                         object_file& target)
{
    const auto key = parse_header(section.name);
    if (!key) {
        target.errors.push_back(
            {document.file, section.line, "", std::string(expected_header), section.name});
        return;
    }
    const auto fields = fields_of(section);
    const auto faults = core::check_object(*key, fields);
    for (const auto& fault : faults)
        target.errors.push_back(
            {document.file, line_of(section, fault), fault.key, fault.expected, fault.value});
    if (!faults.empty())
        return;
    auto parsed = core::parse_object(*key, fields);
    if (parsed)
        target.objects.push_back({std::move(*parsed), document.file, section});
}

object_file read_objects(const ini_document& document)
{
    object_file target;
    target.errors = document.errors;
    for (const auto& section : document.sections)
        read_section(document, section, target);
    std::stable_sort(target.errors.begin(), target.errors.end(),
                     [](const auto& a, const auto& b) { return a.line < b.line; });
    return target;
}

} // namespace ragwortcove::settings
