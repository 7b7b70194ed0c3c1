// Any text is read as a script or refused with its place.
#include "ragwortcove/bench/scenario.hpp"

#include <cstdlib>

using namespace ragwortcove;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(script, bench::parse_scenario("fuzz.scenario", text));
            return script.statements.empty() ? 1 : 0;
        },
        [](const bench::scenario_error& error) {
            if (error.file != "fuzz.scenario" || error.line == 0 || error.expected.empty())
                std::abort();
            return 0;
        },
        []() -> int { std::abort(); });
}
