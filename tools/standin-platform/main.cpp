// Serves a stand-in of the platform's object store for tests and demonstrations.
#include "ragwortcove/standin/platform_server.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace ragwortcove;

static standin::platform_server_settings parse_arguments(int count, char** arguments)
{
    TCLAP::CmdLine line("Stand-in for the platform's object service", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> address("a", "address", "address to listen on", false, "127.0.0.1",
                                         "ip", line);
    TCLAP::ValueArg<std::uint16_t> port("p", "port", "port to listen on; 0 takes any", false, 0,
                                        "port", line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of all randomness", false, 1, "number",
                                        line);
    TCLAP::ValueArg<double> reads("", "reads", "most reads a second", false, 2000.0, "rate", line);
    TCLAP::ValueArg<double> writes("", "writes", "most writes a second", false, 400.0, "rate",
                                   line);
    line.parse(count, arguments);

    standin::platform_server_settings settings;
    settings.store.reads_per_second = reads.getValue();
    settings.store.writes_per_second = writes.getValue();
    settings.seed = seed.getValue();
    settings.listen.address = address.getValue();
    settings.listen.port = port.getValue();
    return settings;
}

int main(int count, char** arguments)
{
    const standin::platform_server_settings settings = parse_arguments(count, arguments);
    http::loop loop;
    standin::platform_server server(loop, settings);
    if (!server.listening()) {
        std::cerr << "cannot listen on " << settings.listen.address << ':' << settings.listen.port
                  << '\n';
        return 1;
    }
    std::cout << "listening on " << settings.listen.address << ':' << server.port() << std::endl;
    loop.run();
    return 0;
}
