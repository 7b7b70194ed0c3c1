#include "platform/headers.hpp"
#include "platform/part_document.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace ragwortcove::adapter {

using namespace std::chrono_literals;

static core::part_record make_record()
{
    core::part_record record;
    record.part.value = 0xbad0;
    record.generation = 3;
    for (int count = 1; count <= 3; ++count)
        record.ends.push_back({{{"i-" + std::to_string(count)}, 17}, {}, count > 1});
    return record;
}

TEST_CASE("a part that is held back is known again from its document")
{
    const core::time_point now{1h};
    const store_document document = write_part_document(make_record());
    CHECK(document.name == "bad0");
    const auto parsed = read_part_document(document, now);
    REQUIRE(std::holds_alternative<core::part_record>(parsed));
    const auto& record = std::get<core::part_record>(parsed);
    CHECK(record.part == make_record().part);
    CHECK(record.generation == 3);
    CHECK(core::count_failed_trials(record) == 2);
    REQUIRE(record.ends.size() == 3);
    CHECK(record.ends[2].process == make_record().ends[2].process);
    SUBCASE("and is held back at once, until its next trial is due")
    {
        core::part_quarantine parts;
        parts.merge(record, now);
        const std::vector<core::part_id> wanted{record.part};
        CHECK(parts.decide(wanted, now).admission == core::part_admission::waits);
        CHECK(parts.decide(wanted, now).retry_after > 1min);
        // What the store says once more changes nothing.
        const auto again = read_part_document(document, now + 10s);
        CHECK_FALSE(parts.merge(std::get<core::part_record>(again), now + 10s));
    }
}

TEST_CASE("a document that does not say which ends were those of trials is read as well")
{
    store_document document = write_part_document(make_record());
    for (boost::json::value& end : document.content.as_object()["ends"].as_array())
        end.as_object().erase("during_trial");
    const auto parsed = read_part_document(document, core::time_point{1h});
    REQUIRE(std::holds_alternative<core::part_record>(parsed));
    const auto& ends = std::get<core::part_record>(parsed).ends;
    REQUIRE(ends.size() == 3);
    CHECK_FALSE(ends[0].during_trial);
    CHECK(ends[1].during_trial);
    CHECK(ends[2].during_trial);
}

TEST_CASE("a document of a part that another writer has spoilt is rejected")
{
    store_document document = write_part_document(make_record());
    boost::json::object& content = document.content.as_object();
    SUBCASE("a name that is no id")
    {
        for (const std::string name : {"", "xyz", "BAD0", "0bad0", "10000000000000000", "bad0 "}) {
            document.name = name;
            CHECK(std::holds_alternative<document_error>(read_part_document(document, {})));
        }
        return;
    }
    SUBCASE("a generation that cannot be reached")
    {
        content["generation"] = 4'000'000'000;
    }
    SUBCASE("trials beyond the last one")
    {
        content["trials"] = 1e300;
    }
    SUBCASE("more ends than are kept")
    {
        boost::json::array ends(50, boost::json::object{{"upstream", "i"}});
        content["ends"] = std::move(ends);
    }
    SUBCASE("an upstream whose name ends a line")
    {
        content["ends"].as_array()[0].as_object()["upstream"] = "i\r\nX: y";
    }
    SUBCASE("no object")
    {
        document.content = "nonsense";
    }
    CHECK(std::holds_alternative<document_error>(read_part_document(document, {})));
}

TEST_CASE("parts of a prompt are known by their ids, however these are written")
{
    const auto parts_of = [](const std::string& list) {
        http::request_line_and_headers head;
        head.headers = {{"X-Prefix-Hash", list}};
        return read_call(head).parts;
    };
    CHECK(parts_of("AB:1,ab:2,00ab:3")[0].id == 0xab);
    CHECK(parts_of("AB:1,ab:2,00ab:3")[2].id == 0xab);
    SUBCASE("an id of more digits than fit is told from others")
    {
        const auto parts = parts_of("1234567890abcdef0:1,1234567890abcdef1:1,1234567890abcdef0:2");
        REQUIRE(parts.size() == 3);
        CHECK(parts[0].id == parts[2].id);
        CHECK(parts[0].id != parts[1].id);
    }
    SUBCASE("a part without a count, or with an odd one, keeps its place")
    {
        const auto parts = parts_of("a1:40,bad:x9,7");
        REQUIRE(parts.size() == 3);
        CHECK(parts[1] == core::prompt_part{0xbad, 0});
        CHECK(parts[2] == core::prompt_part{0x7, 0});
    }
    SUBCASE("empty items are none")
    {
        CHECK(parts_of(",,:5, ,a:1").size() == 1);
    }
}

} // namespace ragwortcove::adapter
