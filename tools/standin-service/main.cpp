// Serves a plain application service for tests and demonstrations.
#include "ragwortcove/standin/service_server.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace ragwortcove;

static standin::service_server_settings parse_arguments(int count, char** arguments)
{
    TCLAP::CmdLine line("Stand-in for a plain application service", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> address("a", "address", "address to listen on", false, "127.0.0.1",
                                         "ip", line);
    TCLAP::ValueArg<std::uint16_t> port("p", "port", "port to listen on; 0 takes any", false, 0,
                                        "port", line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of all randomness", false, 1, "number",
                                        line);
    TCLAP::ValueArg<std::uint32_t> slots("", "slots", "calls side by side", false, 16, "count",
                                         line);
    TCLAP::ValueArg<std::uint32_t> least("", "least-time", "shortest service time", false, 2000,
                                         "microseconds", line);
    TCLAP::ValueArg<std::uint32_t> most("", "most-time", "longest service time", false, 10000,
                                        "microseconds", line);
    line.parse(count, arguments);

    standin::service_server_settings settings;
    settings.service.slots = slots.getValue();
    settings.service.least_service_time = std::chrono::microseconds{least.getValue()};
    settings.service.most_service_time = std::chrono::microseconds{most.getValue()};
    settings.seed = seed.getValue();
    settings.listen.address = address.getValue();
    settings.listen.port = port.getValue();
    return settings;
}

int main(int count, char** arguments)
{
    const standin::service_server_settings settings = parse_arguments(count, arguments);
    http::loop loop;
    standin::service_server server(loop, settings);
    if (!server.listening()) {
        std::cerr << "cannot listen on " << settings.listen.address << ':' << settings.listen.port
                  << '\n';
        return 1;
    }
    std::cout << "listening on " << settings.listen.address << ':' << server.port() << std::endl;
    loop.run();
    return 0;
}
