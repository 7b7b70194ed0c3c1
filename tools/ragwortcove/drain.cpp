#include "commands.hpp"
#include "ragwortcove/cli/common_options.hpp"
#include "ragwortcove/cli/daemon_status.hpp"
#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <iostream>
#include <optional>

namespace ragwortcove::tool {

using cli::exit_code;

static constexpr std::chrono::seconds poll_interval{1};

static std::optional<core::endpoint> find_node(cli::http_session& session,
                                               const std::vector<core::endpoint>& first,
                                               const std::string& token, const std::string& name)
{
    const auto all = cli::gather_status(session, first, token);
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& each) { return each.name == name; });
    if (found == all.end())
        return std::nullopt;
    return found->address;
}

/// Waits until the daemon has closed its callers' address, which it does last.
static exit_code wait_for_end(cli::http_session& session, const core::endpoint& node,
                              core::duration limit)
{
    const auto give_up_at = session.loop().now() + limit;
    while (session.loop().now() < give_up_at) {
        if (session.get(node, "/healthz").error == http::client_error::not_sent) {
            std::cout << "ended\n";
            return exit_code::ok;
        }
        session.wait(poll_interval);
    }
    std::cerr << "ragwortcove: the daemon is still finishing requests\n";
    return exit_code::failed;
}

exit_code run_drain(const words& arguments)
{
    cli::command_line line("drain",
                           "Asks a daemon to shut down: it leaves the address answers, finishes "
                           "its requests and ends. No request is cut.",
                           "ragwortcove drain node-a --wait 5m -d 127.0.0.1:8080");
    TCLAP::UnlabeledValueArg<std::string> name("node", "name of the daemon's node", true, "",
                                               "NODE", line.arguments());
    TCLAP::ValueArg<std::string> wait("w", "wait", "how long to wait for its end", false, "0s",
                                      "duration", line.arguments());
    const cli::daemon_option daemons(line);
    line.parse(arguments);
    const auto limit = core::parse_duration(wait.getValue());
    if (!limit)
        throw cli::invalid_arguments("--wait: expected a duration such as 5m");

    cli::http_session session(daemons.connection());
    const auto token = daemons.token();
    const auto node = find_node(session, daemons.addresses(), token, name.getValue());
    if (!node) {
        std::cerr << "ragwortcove: " << name.getValue() << ": no daemon of that name answered\n";
        return exit_code::unreachable;
    }
    const auto answer = cli::ask_daemon(session, *node, "POST", "/v1/drain", token);
    if (answer.error || answer.head.status >= 300) {
        std::cerr << "ragwortcove: the daemon refused: " << answer.body << '\n';
        return answer.error ? exit_code::unreachable : exit_code::failed;
    }
    std::cout << "draining " << name.getValue() << " at " << core::format_endpoint(*node)
              << std::endl;
    return *limit > core::duration{0} ? wait_for_end(session, *node, *limit) : exit_code::ok;
}

} // namespace ragwortcove::tool
