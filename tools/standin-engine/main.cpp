// Serves a model engine for tests and demonstrations.
#include "ragwortcove/standin/engine_server.hpp"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace ragwortcove;

static standin::engine_server_settings parse_arguments(int count, char** arguments)
{
    TCLAP::CmdLine line("Stand-in for a model engine with continuous batching", ' ', "0.1.0");
    std::vector<std::string> names{"fast", "middle", "slow"};
    TCLAP::ValuesConstraint<std::string> speeds(names);
    TCLAP::ValueArg<std::string> address("a", "address", "address to listen on", false, "127.0.0.1",
                                         "ip", line);
    TCLAP::ValueArg<std::uint16_t> port("p", "port", "port to listen on; 0 takes any", false, 0,
                                        "port", line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "seed of all randomness", false, 1, "number",
                                        line);
    TCLAP::ValueArg<std::string> speed("", "speed", "speed of the engine", false, "middle", &speeds,
                                       line);
    TCLAP::ValueArg<std::uint32_t> slots("", "slots", "sequences side by side", false, 16, "count",
                                         line);
    TCLAP::ValueArg<std::uint32_t> cache("", "cache-tokens", "size of the prefix cache", false,
                                         200'000, "tokens", line);
    TCLAP::ValueArg<std::string> target("", "target", "model served", false, "model", "name", line);
    TCLAP::ValueArg<std::string> version("", "serves", "version served at start", false, "v1",
                                         "name", line);
    TCLAP::SwitchArg ignores("", "ignore-fencing", "carry out orders with an old fencing number",
                             line);
    TCLAP::ValueArg<std::uint32_t> lag("", "report-lag", "age of load reports", false, 2000,
                                       "milliseconds", line);
    line.parse(count, arguments);

    standin::engine_server_settings settings;
    settings.engine.speed = standin::find_engine_speed(speed.getValue()).value();
    settings.engine.slots = slots.getValue();
    settings.engine.cache_tokens = cache.getValue();
    settings.engine.target = {target.getValue()};
    settings.engine.version = {version.getValue()};
    settings.engine.checks_fencing = !ignores.getValue();
    settings.engine.report_lag = std::chrono::milliseconds{lag.getValue()};
    settings.seed = seed.getValue();
    settings.listen.address = address.getValue();
    settings.listen.port = port.getValue();
    return settings;
}

int main(int count, char** arguments)
{
    const standin::engine_server_settings settings = parse_arguments(count, arguments);
    http::loop loop;
    standin::engine_server server(loop, settings);
    if (!server.listening()) {
        std::cerr << "cannot listen on " << settings.listen.address << ':' << settings.listen.port
                  << '\n';
        return 1;
    }
    std::cout << "listening on " << settings.listen.address << ':' << server.port() << std::endl;
    loop.run();
    return 0;
}
