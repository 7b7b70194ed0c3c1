#include "ragwortcove/daemon/event_log.hpp"
#include "ragwortcove/daemon/log_event.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace ragwortcove;
using namespace ragwortcove::daemon;

static std::string read_page()
{
    std::ifstream file{RAGWORTCOVE_SOURCE_DIR "/docs/EVENTS.md"};
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST_CASE("the log's events are a catalogue")
{
    SUBCASE("docs/EVENTS.md is the catalogue")
    {
        CHECK(read_page() == render_event_page());
    }

    SUBCASE("numbers go up and names are unique")
    {
        std::set<std::string_view> names;
        unsigned before = 0;
        for (const log_event_entry& entry : log_event_catalogue()) {
            CHECK(static_cast<unsigned>(entry.event) > before);
            before = static_cast<unsigned>(entry.event);
            CHECK(names.insert(entry.name).second);
        }
    }
    SUBCASE("each decision of the core has a row of the same meaning")
    {
        CHECK(describe(event_of(core::decision_kind::placed)).name == "request_placed");
        CHECK(describe(event_of(core::decision_kind::brake_set)).name == "brake_set");
        CHECK(describe(event_of(core::decision_kind::drained)).name == "drain_finished");
    }
}

TEST_CASE("an event is one line in the log")
{
    const log_field quoted{"detail", "two words\nand a line"};

    SUBCASE("as text, values that need it are quoted")
    {
        const std::string line =
            render_log_line(log_format::text, log_event::answer_cut, {{"request", "a-1"}, quoted});
        CHECK(line == "level=warning event=209 name=answer_cut request=a-1 "
                      "detail=\"two words\\nand a line\"");
    }
    SUBCASE("as JSON, without the braces that the time stands in")
    {
        const std::string line = render_log_line(log_format::json, log_event::answer_cut, {quoted});
        CHECK(line == R"("level":"warning","event":209,"name":"answer_cut",)"
                      R"("detail":"two words\nand a line")");
    }
}
