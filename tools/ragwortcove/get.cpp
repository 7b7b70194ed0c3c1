#include "commands.hpp"
#include "object_commands.hpp"
#include "ragwortcove/cli/object_json.hpp"
#include "ragwortcove/cli/table.hpp"
#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <iostream>
#include <iterator>

namespace ragwortcove::tool {

using cli::exit_code;

static std::string value_of(const std::vector<core::field>& fields, std::string_view key)
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const core::field& each) { return each.key == key; });
    return found == fields.end() ? "-" : found->value;
}

/// Every key that an object has, in the order in which the fields stand.
static std::vector<std::string> column_keys(const std::vector<core::object>& objects)
{
    std::vector<std::string> keys;
    for (const auto& each : objects) {
        for (const auto& field : core::to_fields(each)) {
            if (std::find(keys.begin(), keys.end(), field.key) == keys.end())
                keys.push_back(field.key);
        }
    }
    return keys;
}

static void print_objects(const std::vector<core::object>& objects)
{
    const auto keys = column_keys(objects);
    cli::table table{{"NAME", "REVISION"}, {}};
    table.headings.insert(table.headings.end(), keys.begin(), keys.end());
    for (const auto& each : objects) {
        const auto fields = core::to_fields(each);
        std::vector<std::string> row{each.key.name, std::to_string(each.written_at.value)};
        for (const auto& key : keys)
            row.push_back(value_of(fields, key));
        table.rows.push_back(std::move(row));
    }
    cli::print(std::cout, table);
}

exit_code run_get(const words& arguments)
{
    cli::command_line line("get", "Lists the objects of a kind, or one of them.",
                           "ragwortcove get upstreams -p 127.0.0.1:7000");
    TCLAP::UnlabeledValueArg<std::string> kind_text("kind", "kind of object", true, "", "KIND",
                                                    line.arguments());
    TCLAP::UnlabeledValueArg<std::string> name("name", "name of one object", false, "", "NAME",
                                               line.arguments());
    const cli::platform_option platform(line);
    line.parse(arguments);
    const auto kind = parse_kind(kind_text.getValue());

    cli::platform_session session(platform.address(), platform_patience);
    const auto listed = session.list();
    if (!listed)
        return report_unreachable();
    std::vector<core::object> wanted;
    std::copy_if(listed->objects.begin(), listed->objects.end(), std::back_inserter(wanted),
                 [&](const core::object& each) {
                     return each.key.kind == kind &&
                            (!name.isSet() || each.key.name == name.getValue());
                 });
    if (wanted.empty() && name.isSet()) {
        std::cerr << "ragwortcove: " << to_string(kind) << ' ' << name.getValue()
                  << ": no such object\n";
        return exit_code::failed;
    }
    if (line.output() == cli::output_format::json)
        std::cout << cli::write_json({listed->store, listed->at, wanted}) << '\n';
    else
        print_objects(wanted);
    return exit_code::ok;
}

} // namespace ragwortcove::tool
