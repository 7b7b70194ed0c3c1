#include "commands.hpp"
#include "object_commands.hpp"
#include "ragwortcove/cli/part_session.hpp"
#include "ragwortcove/cli/table.hpp"

#include <charconv>
#include <iostream>

namespace ragwortcove::tool {

using cli::exit_code;

static void print_parts(const std::vector<core::part_record>& parts)
{
    cli::table table{{"PART", "TRIALS", "ENDS", "UPSTREAMS"}, {}};
    for (const core::part_record& record : parts)
        table.rows.push_back({core::to_text(record.part),
                              std::to_string(core::count_failed_trials(record)),
                              std::to_string(record.ends.size()), core::list_upstreams(record)});
    cli::print(std::cout, table);
}

static void print_json(const std::vector<core::part_record>& parts)
{
    for (const core::part_record& record : parts)
        std::cout << boost::json::object{{"part", core::to_text(record.part)},
                                         {"generation", record.generation},
                                         {"trials", core::count_failed_trials(record)},
                                         {"ends", record.ends.size()},
                                         {"upstreams", core::list_upstreams(record)}}
                  << '\n';
}

exit_code run_parts(const words& arguments)
{
    cli::command_line line("parts",
                           "Lists the parts of prompts that requests are held back for, since "
                           "upstreams have ended on them.",
                           "ragwortcove parts -p 127.0.0.1:7000");
    const cli::platform_option platform(line);
    line.parse(arguments);

    cli::part_session session(platform.address(), platform_patience);
    const auto stored = session.list();
    if (!stored)
        return report_unreachable();
    for (const std::string& name : stored->unreadable)
        std::cerr << "ragwortcove: " << name << ": an entry that cannot be read; it is ignored\n";
    if (line.output() == cli::output_format::json)
        print_json(stored->parts);
    else
        print_parts(stored->parts);
    return exit_code::ok;
}

/// Throws `invalid_arguments`.
static core::part_id parse_part(const std::string& text)
{
    constexpr int base = 16;
    core::part_id part;
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, part.value, base);
    if (read.ec != std::errc{} || read.ptr != end)
        throw cli::invalid_arguments(text + ": expected a part's id in hexadecimal, as `parts` "
                                            "lists it");
    return part;
}

exit_code run_release(const words& arguments)
{
    cli::command_line line("release",
                           "Lets requests with a part of prompts through again that are held back "
                           "for it, at all daemons.",
                           "ragwortcove release 91bd3f06 -p 127.0.0.1:7000");
    TCLAP::UnlabeledValueArg<std::string> text("part", "id of the part, as `parts` lists it", true,
                                               "", "PART", line.arguments());
    const cli::platform_option platform(line);
    line.parse(arguments);
    const core::part_id part = parse_part(text.getValue());

    cli::part_session session(platform.address(), platform_patience);
    switch (session.release(part)) {
    case cli::release_result::released:
        std::cout << "released\n";
        return exit_code::ok;
    case cli::release_result::not_held_back:
        std::cerr << "ragwortcove: part " << core::to_text(part) << ": not held back\n";
        return exit_code::failed;
    case cli::release_result::unreachable:
        return report_unreachable();
    }
    return exit_code::failed;
}

} // namespace ragwortcove::tool
