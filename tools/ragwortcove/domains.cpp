#include "commands.hpp"
#include "object_commands.hpp"
#include "ragwortcove/cli/drain_session.hpp"
#include "ragwortcove/cli/table.hpp"

#include <iostream>

namespace ragwortcove::tool {

using cli::exit_code;

static void print_drains(const std::vector<cli::stored_drain>& drains)
{
    cli::table table{{"DOMAIN", "UPSTREAMS", "REVISION"}, {}};
    for (const cli::stored_drain& each : drains)
        table.rows.push_back(
            {each.domain.value, std::to_string(each.upstreams), std::to_string(each.at.value)});
    cli::print(std::cout, table);
}

static void print_json(const std::vector<cli::stored_drain>& drains)
{
    for (const cli::stored_drain& each : drains)
        std::cout << boost::json::object{{"domain", each.domain.value},
                                         {"upstreams", each.upstreams},
                                         {"revision", each.at.value}}
                  << '\n';
}

exit_code run_drained_domains(const words& arguments)
{
    cli::command_line line("drained-domains",
                           "Lists the failure domains whose upstreams get no requests, by order.",
                           "ragwortcove drained-domains -p 127.0.0.1:7000");
    const cli::platform_option platform(line);
    line.parse(arguments);

    cli::drain_session session(platform.address(), platform_patience);
    const auto stored = session.list();
    if (!stored)
        return report_unreachable();
    for (const std::string& name : stored->unreadable)
        std::cerr << "ragwortcove: \"" << name << "\": an entry that cannot be read; it is "
                  << "ignored\n";
    if (line.output() == cli::output_format::json)
        print_json(stored->drains);
    else
        print_drains(stored->drains);
    return exit_code::ok;
}

exit_code run_drain_domain(const words& arguments)
{
    cli::command_line line("drain-domain",
                           "Orders that upstreams of a failure domain get no more requests, at all "
                           "daemons; those in flight there end as usual.",
                           "ragwortcove drain-domain domain-a -p 127.0.0.1:7000");
    TCLAP::UnlabeledValueArg<std::string> name("domain", "name of the failure domain", true, "",
                                               "DOMAIN", line.arguments());
    TCLAP::SwitchArg undo("", "undo", "take the order back: the upstreams are used again",
                          line.arguments());
    const cli::platform_option platform(line);
    line.parse(arguments);

    const core::failure_domain_name domain{name.getValue()};
    cli::drain_session session(platform.address(), platform_patience);
    switch (undo.getValue() ? session.undo(domain) : session.drain(domain)) {
    case cli::drain_result::done:
        std::cout << (undo.getValue() ? "taken back\n" : "ordered\n");
        return exit_code::ok;
    case cli::drain_result::unchanged:
        std::cerr << "ragwortcove: " << domain.value
                  << (undo.getValue() ? ": not drained\n" : ": drained already\n");
        return exit_code::failed;
    case cli::drain_result::invalid_name:
        throw cli::invalid_arguments("domain: expected the name of a failure domain");
    case cli::drain_result::rejected:
        std::cerr << "ragwortcove: " << domain.value << ": the store does not take the order\n";
        return exit_code::failed;
    case cli::drain_result::unreachable:
        return report_unreachable();
    }
    return exit_code::failed;
}

} // namespace ragwortcove::tool
