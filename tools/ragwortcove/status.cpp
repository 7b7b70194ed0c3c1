#include "commands.hpp"
#include "ragwortcove/cli/common_options.hpp"
#include "ragwortcove/cli/daemon_status.hpp"
#include "ragwortcove/cli/table.hpp"
#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <iostream>

namespace ragwortcove::tool {

using cli::daemon_status;
using cli::exit_code;

static std::string state_of(const daemon_status& status)
{
    if (!status.answered)
        return "no answer";
    if (status.draining)
        return "draining";
    return status.ready ? "ready" : "not ready";
}

static std::string failure_domain_of(const daemon_status& status)
{
    const auto self = std::find_if(status.members.begin(), status.members.end(),
                                   [&](const auto& member) { return member.name == status.name; });
    return self == status.members.end() ? "-" : self->failure_domain;
}

static std::size_t live_members(const daemon_status& status)
{
    return static_cast<std::size_t>(
        std::count_if(status.members.begin(), status.members.end(),
                      [](const auto& member) { return member.state == "live"; }));
}

static std::vector<std::string> row_of(const daemon_status& status)
{
    const auto address = core::format_endpoint(status.address);
    if (!status.answered)
        return {"?", state_of(status), "-", address, "-", "-", "-", "-"};
    return {status.name,
            state_of(status),
            failure_domain_of(status),
            address,
            std::to_string(status.revision),
            core::format_duration(std::chrono::floor<std::chrono::seconds>(status.revision_age)),
            std::to_string(live_members(status)),
            std::to_string(status.open_requests)};
}

static void print_table(const std::vector<daemon_status>& all)
{
    cli::table table{
        {"NODE", "STATE", "DOMAIN", "CALLERS", "REVISION", "FOR", "LIVE MEMBERS", "OPEN"}, {}};
    for (const auto& each : all)
        table.rows.push_back(row_of(each));
    cli::print(std::cout, table);
}

static void print_json(const std::vector<daemon_status>& all)
{
    boost::json::array rendered;
    for (const auto& each : all)
        rendered.push_back(boost::json::object{{"address", core::format_endpoint(each.address)},
                                               {"answered", each.answered},
                                               {"status", each.text}});
    std::cout << rendered << '\n';
}

exit_code run_status(const words& arguments)
{
    cli::command_line line("status",
                           "Shows every daemon that can be found: its state, the configuration "
                           "revision in force there and for how long it has been. Ends with 0 when "
                           "all answered, 1 when some did and 4 when none did.",
                           "ragwortcove status -d 127.0.0.1:8080");
    const cli::daemon_option daemons(line);
    line.parse(arguments);

    cli::http_session session(daemons.connection());
    const auto all = cli::gather_status(session, daemons.addresses(), daemons.token());
    if (line.output() == cli::output_format::json)
        print_json(all);
    else
        print_table(all);
    const auto answered = [](const daemon_status& each) { return each.answered; };
    if (std::none_of(all.begin(), all.end(), answered))
        return exit_code::unreachable;
    return std::all_of(all.begin(), all.end(), answered) ? exit_code::ok : exit_code::failed;
}

} // namespace ragwortcove::tool
