/// \file
/// Measures what an idle transport costs: threads, memory, processor time and bytes with streams
/// open to every other process of the run. scripts/measure-peer-idle starts the processes.

#include "ragwortcove/peer/transport.hpp"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <string>
#include <sys/resource.h>

using namespace ragwortcove;
using namespace std::chrono_literals;

namespace {

struct run_options {
    std::uint16_t first_port = 0;
    int processes = 0;
    int index = 0;
    int seconds = 0;
};

/// One process of the run.
struct idle_process {
    http::loop loop;
    run_options options;
    peer::transport link;
    double processor_before = 0;

    explicit idle_process(const run_options& given)
        : options(given), link(loop, settings_of(given), [](core::event&&) {})
    {
    }

    static core::node_name name_of(int index) { return {"node-" + std::to_string(index)}; }
    static peer::transport_settings settings_of(const run_options& given)
    {
        peer::transport_settings result;
        result.name = name_of(given.index);
        result.run = {1};
        result.listen = {"127.0.0.1", static_cast<std::uint16_t>(given.first_port + given.index)};
        result.idle_limit = 1h;
        return result;
    }
    void send_to_all(const core::peer_message& message)
    {
        for (int to = 0; to != this->options.processes; ++to) {
            const auto port = static_cast<std::uint16_t>(this->options.first_port + to);
            if (to != this->options.index)
                this->link.send({name_of(to), {"127.0.0.1", port}, message});
        }
    }
    /// One heartbeat a second to each peer, as a node without work sends them.
    void beat()
    {
        core::heartbeat message;
        message.sender.name = name_of(this->options.index);
        message.sender.run = {1};
        this->send_to_all(message);
        this->loop.after(1s, [this] { this->beat(); });
    }
};

} // namespace

static double processor_seconds()
{
    rusage used{};
    ::getrusage(RUSAGE_SELF, &used);
    const auto seconds = [](const timeval& value) {
        return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) / 1e6;
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

static std::string status_field(const std::string& field)
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field + ":"))
            return line.substr(line.find_first_not_of(" \t", field.size() + 1));
    }
    return "unknown";
}

static void report(const idle_process& process, double processor_used)
{
    const auto& counters = process.link.counters();
    const double seconds = process.options.seconds;
    std::cout << "streams " << process.link.open_streams() << ", streams broken "
              << counters.streams_broken << ", threads " << status_field("Threads") << ", memory "
              << status_field("VmRSS") << ", processor " << 100.0 * processor_used / seconds
              << "% of a core over " << seconds << " s\n";
}

static run_options parse_options(int count, char** arguments)
{
    TCLAP::CmdLine line("Measures an idle transport; start it with scripts/measure-peer-idle");
    TCLAP::ValueArg<int> port("", "first-port", "port of process 0", false, 25100, "PORT", line);
    TCLAP::ValueArg<int> processes("", "processes", "processes of the run", false, 10, "N", line);
    TCLAP::ValueArg<int> index("", "index", "number of this process", false, 0, "N", line);
    TCLAP::ValueArg<int> seconds("", "seconds", "length of the run", false, 20, "SECONDS", line);
    line.parse(count, arguments);
    return {static_cast<std::uint16_t>(port.getValue()), processes.getValue(), index.getValue(),
            seconds.getValue()};
}

int main(int count, char** arguments)
{
    idle_process process(parse_options(count, arguments));
    if (!process.link.listening()) {
        std::cerr << "peer-idle: cannot listen on port "
                  << process.options.first_port + process.options.index << "\n";
        return 1;
    }
    // The first seconds open the streams; what comes after is counted.
    constexpr auto warm_up = 5s;
    process.loop.after(2s, [&] { process.send_to_all(core::key_query{{{1}, 1}, "open"}); });
    process.beat();
    process.loop.after(warm_up, [&] { process.processor_before = processor_seconds(); });
    process.loop.after(warm_up + std::chrono::seconds{process.options.seconds},
                       [&] { report(process, processor_seconds() - process.processor_before); });
    // Stays until the others have reported too.
    process.loop.after(2 * warm_up + std::chrono::seconds{process.options.seconds},
                       [&] { process.loop.stop(); });
    process.loop.run();
    return 0;
}
