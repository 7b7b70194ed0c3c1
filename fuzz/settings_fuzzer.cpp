// Any text is read as a settings file without a fault, and every mistake found has its place.
#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/settings/object_file.hpp"

#include <cstdlib>

using namespace ragwortcove;

static void require(bool holds)
{
    if (!holds)
        std::abort();
}

static void check_error(const settings::located_error& error)
{
    require(error.file == "fuzz.ini");
    require(!error.expected.empty());
    require(!settings::format_error(error).empty());
}

/// What was read is written and read again without a change.
static void check_round_trip(const core::object& value)
{
    const auto again = core::parse_object(value.key, core::to_fields(value));
    require(again.has_value());
    require(*again == value);
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const settings::ini_document document = settings::parse_ini("fuzz.ini", text);
    const settings::object_file file = settings::read_objects(document);
    for (const settings::located_error& error : file.errors)
        check_error(error);
    for (const settings::declared_object& declared : file.objects)
        check_round_trip(declared.value);
    for (const auto& error : settings::check_references(file.objects, {}, {1'700'000'000'000}))
        check_error(error);
    return 0;
}
