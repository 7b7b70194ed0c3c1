#include "object_commands.hpp"

#include "ragwortcove/core/object_fields.hpp"

#include <iostream>
#include <iterator>

namespace ragwortcove::tool {

settings::object_file read_files(const std::vector<std::string>& paths)
{
    settings::object_file all;
    for (const auto& path : paths) {
        auto one = settings::read_objects(settings::load_ini(path));
        std::move(one.objects.begin(), one.objects.end(), std::back_inserter(all.objects));
        std::move(one.errors.begin(), one.errors.end(), std::back_inserter(all.errors));
    }
    return all;
}

void print_errors(std::ostream& to, const std::vector<settings::located_error>& errors)
{
    for (const auto& error : errors)
        to << settings::format_error(error) << '\n';
}

core::object_kind parse_kind(const std::string& text)
{
    auto kind = core::parse_object_kind(text);
    if (!kind && text.ends_with('s'))
        kind = core::parse_object_kind(text.substr(0, text.size() - 1));
    if (!kind)
        throw cli::invalid_arguments(text + ": expected a kind: tier, team, version, upstream, "
                                            "route, move, move_status, lease or claim");
    return *kind;
}

core::unix_millis wall_clock()
{
    using namespace std::chrono;
    const auto now = system_clock::now().time_since_epoch();
    return {duration_cast<milliseconds>(now).count()};
}

cli::exit_code report_unreachable()
{
    std::cerr << "ragwortcove: the platform gave no usable answer\n";
    return cli::exit_code::unreachable;
}

} // namespace ragwortcove::tool
