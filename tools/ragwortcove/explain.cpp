#include "commands.hpp"
#include "ragwortcove/cli/common_options.hpp"
#include "ragwortcove/cli/explanation.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace ragwortcove::tool {

using cli::exit_code;

/// Whether a log line, as text or as JSON, speaks of a request.
static bool speaks_of(const std::string& line, const std::string& request)
{
    if (line.find("\"request\":\"" + request + "\"") != std::string::npos)
        return true;
    const auto field = " request=" + request;
    const auto found = line.find(field);
    if (found == std::string::npos)
        return false;
    const auto end = found + field.size();
    return end == line.size() || line[end] == ' ';
}

static bool collect_lines(const std::string& path, const std::string& request,
                          std::vector<std::string>& lines)
{
    std::ifstream log(path);
    if (!log.is_open())
        return false;
    for (std::string line; std::getline(log, line);) {
        if (speaks_of(line, request))
            lines.push_back(line);
    }
    return true;
}

exit_code run_explain(const words& arguments)
{
    cli::command_line line("explain",
                           "Tells what was decided about a request, in the order of time, from "
                           "the logs of one or more daemons. docs/EVENTS.md explains each event.",
                           "ragwortcove explain 1a2b3c-17 -l node-a.log -l node-b.log");
    TCLAP::UnlabeledValueArg<std::string> request("request",
                                                  "request id, as in the X-Request-Id header", true,
                                                  "", "REQUEST_ID", line.arguments());
    TCLAP::MultiArg<std::string> logs("l", "log", "log file of a daemon; may be repeated", true,
                                      "path", line.arguments());
    line.parse(arguments);

    std::vector<std::string> lines;
    for (const auto& path : logs.getValue()) {
        if (!collect_lines(path, request.getValue(), lines))
            throw cli::invalid_arguments(path + ": expected a log file that can be read");
    }
    // Every line starts with its time, so the order of texts is the order of times.
    std::stable_sort(lines.begin(), lines.end());
    for (const auto& each : lines)
        std::cout << each << '\n';
    if (!lines.empty()) {
        // Apart from the lines themselves, which other programs may read.
        const std::string conclusion = cli::conclude(lines);
        if (!conclusion.empty())
            std::cerr << "conclusion: " << conclusion << '\n';
        return exit_code::ok;
    }
    std::cerr << "ragwortcove: no line speaks of " << request.getValue() << '\n';
    return exit_code::failed;
}

} // namespace ragwortcove::tool
