#include "commands.hpp"
#include "ragwortcove/cli/common_options.hpp"
#include "ragwortcove/cli/daemon_status.hpp"
#include "ragwortcove/cli/table.hpp"
#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <iostream>
#include <unistd.h>

namespace ragwortcove::tool {

using cli::daemon_status;
using cli::exit_code;

static constexpr std::string_view clear_screen = "\x1b[H\x1b[2J";

static void print_cells(const std::vector<daemon_status>& all)
{
    cli::table table{{"TARGET", "DOMAIN", "CELL", "OWNER", "FREE", "QUEUED", "QUEUED TOKENS"}, {}};
    for (const auto& status : all) {
        for (const auto& cell : status.cells)
            table.rows.push_back({cell.target, cell.failure_domain, std::to_string(cell.index),
                                  status.name, std::to_string(cell.free_permits),
                                  std::to_string(cell.queued), std::to_string(cell.queued_tokens)});
    }
    std::sort(table.rows.begin(), table.rows.end());
    cli::print(std::cout, table);
}

static void print_json(const std::vector<daemon_status>& all)
{
    for (const auto& status : all) {
        for (const auto& cell : status.cells)
            std::cout << boost::json::object{{"target", cell.target},
                                             {"failure_domain", cell.failure_domain},
                                             {"index", cell.index},
                                             {"owner", status.name},
                                             {"free_permits", cell.free_permits},
                                             {"queued", cell.queued},
                                             {"queued_tokens", cell.queued_tokens}}
                      << '\n';
    }
}

exit_code run_top(const words& arguments)
{
    cli::command_line line("top",
                           "Shows for each cell of upstreams its owner, free permits and queue, "
                           "again and again until interrupted.",
                           "ragwortcove top -d 127.0.0.1:8080 --interval 1s");
    TCLAP::ValueArg<std::string> interval("i", "interval", "time between two looks", false, "2s",
                                          "duration", line.arguments());
    TCLAP::ValueArg<std::uint32_t> count("n", "count", "how often to look; 0 has no end", false, 0,
                                         "count", line.arguments());
    const cli::daemon_option daemons(line);
    line.parse(arguments);
    const auto pause = core::parse_duration(interval.getValue());
    if (!pause)
        throw cli::invalid_arguments("--interval: expected a duration such as 2s");
    const auto first = daemons.addresses();

    cli::http_session session(daemons.connection());
    for (std::uint32_t looks = 1;; ++looks) {
        const auto all = cli::gather_status(session, first, daemons.token());
        if (std::none_of(all.begin(), all.end(), [](const auto& each) { return each.answered; })) {
            std::cerr << "ragwortcove: no daemon gave a usable answer\n";
            return exit_code::unreachable;
        }
        if (::isatty(STDOUT_FILENO) == 1)
            std::cout << clear_screen;
        if (line.output() == cli::output_format::json)
            print_json(all);
        else
            print_cells(all);
        std::cout.flush();
        if (looks == count.getValue())
            return exit_code::ok;
        session.wait(*pause);
    }
}

} // namespace ragwortcove::tool
