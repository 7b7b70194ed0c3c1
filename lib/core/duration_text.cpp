#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>

namespace ragwortcove::core {

namespace {

struct duration_unit {
    std::string_view suffix;
    duration length;
};

} // namespace

/// From the longest to the shortest.
static constexpr std::array duration_units = {
    duration_unit{"h", std::chrono::hours{1}}, duration_unit{"m", std::chrono::minutes{1}},
    duration_unit{"s", std::chrono::seconds{1}}, duration_unit{"ms", std::chrono::milliseconds{1}},
    duration_unit{"us", std::chrono::microseconds{1}}};

std::optional<duration> parse_duration(std::string_view text)
{
    std::uint64_t count = 0;
    const auto* const end = text.data() + text.size();
    const auto [stopped, code] = std::from_chars(text.data(), end, count);
    if (code != std::errc())
        return std::nullopt;
    const auto suffix = text.substr(static_cast<std::size_t>(stopped - text.data()));
    const auto* const unit =
        std::find_if(duration_units.begin(), duration_units.end(),
                     [&](const duration_unit& each) { return each.suffix == suffix; });
    if (unit == duration_units.end())
        return std::nullopt;
    const auto length = static_cast<std::uint64_t>(unit->length.count());
    if (count > static_cast<std::uint64_t>(std::numeric_limits<duration::rep>::max()) / length)
        return std::nullopt;
    return duration{static_cast<duration::rep>(count * length)};
}

std::string format_duration(duration value)
{
    if (value == duration{0})
        return "0s";
    const auto* const unit =
        std::find_if(duration_units.begin(), duration_units.end(),
                     [&](const duration_unit& each) { return value % each.length == duration{0}; });
    return std::to_string(value / unit->length) + std::string(unit->suffix);
}

} // namespace ragwortcove::core
