#include "commands.hpp"
#include "object_commands.hpp"
#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <iostream>

namespace ragwortcove::tool {

using cli::exit_code;

/// An object in force, in the form in which files declare it.
static settings::declared_object as_declared(const core::object& value)
{
    settings::ini_section section;
    section.name = std::string(to_string(value.key.kind)) + " " + value.key.name;
    for (const auto& field : core::to_fields(value))
        section.entries.push_back({field.key, field.value, 0});
    return {value, "[" + section.name + "]", section};
}

/// Mistakes that the objects in force would have without one of them, and do not have with it.
static std::vector<settings::located_error> faults_without(const std::vector<core::object>& objects,
                                                           const core::object_key& removed)
{
    std::vector<core::object> rest;
    std::vector<settings::declared_object> declared;
    for (const auto& each : objects) {
        if (each.key == removed)
            continue;
        rest.push_back(each);
        declared.push_back(as_declared(each));
    }
    const auto before = settings::check_references(declared, objects, wall_clock());
    auto after = settings::check_references(declared, rest, wall_clock());
    std::erase_if(after, [&](const auto& error) {
        return std::find(before.begin(), before.end(), error) != before.end();
    });
    return after;
}

namespace {

struct removal_report {
    exit_code operator()(const core::platform_written&) const
    {
        std::cout << "deleted\n";
        return exit_code::ok;
    }
    exit_code operator()(const core::platform_conflict& conflict) const
    {
        const auto at = conflict.current ? conflict.current->written_at.value : 0;
        std::cerr << "ragwortcove: conflict: the object now stands at revision " << at << '\n';
        return exit_code::conflict;
    }
    exit_code operator()(const core::platform_rejected& rejected) const
    {
        std::cerr << "ragwortcove: the platform rejected it: " << rejected.message << '\n';
        return exit_code::failed;
    }
    exit_code operator()(const core::platform_unreachable&) const { return report_unreachable(); }
};

} // namespace

exit_code run_delete(const words& arguments)
{
    cli::command_line line("delete", "Removes an object that no other names.",
                           "ragwortcove delete route briefings -p 127.0.0.1:7000");
    TCLAP::UnlabeledValueArg<std::string> kind("kind", "kind of object", true, "", "KIND",
                                               line.arguments());
    TCLAP::UnlabeledValueArg<std::string> name("name", "its name", true, "", "NAME",
                                               line.arguments());
    const cli::platform_option platform(line);
    line.parse(arguments);
    const core::object_key key{parse_kind(kind.getValue()), name.getValue()};

    cli::platform_session session(platform.address(), platform_patience);
    const auto listed = session.list();
    if (!listed)
        return report_unreachable();
    const auto found = std::find_if(listed->objects.begin(), listed->objects.end(),
                                    [&](const core::object& each) { return each.key == key; });
    if (found == listed->objects.end()) {
        std::cerr << "ragwortcove: " << to_string(key.kind) << ' ' << key.name
                  << ": no such object\n";
        return exit_code::failed;
    }
    const auto faults = faults_without(listed->objects, key);
    print_errors(std::cerr, faults);
    if (!faults.empty())
        return exit_code::invalid_input;
    return std::visit(removal_report{}, session.remove(key, found->written_at));
}

} // namespace ragwortcove::tool
