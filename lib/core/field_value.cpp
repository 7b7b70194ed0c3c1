#include "field_value.hpp"

#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <chrono>
#include <cmath>
#include <cstdio>

namespace ragwortcove::core {

static constexpr std::size_t max_name_length = 63;

static bool is_name_character(char c)
{
    return (std::isalnum(static_cast<unsigned char>(c)) != 0) || c == '.' || c == '_' || c == '-';
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_plain_text(std::string_view text)
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return std::iscntrl(static_cast<unsigned char>(c)) != 0; });
}

template <class Number> static bool parse_entire(std::string_view text, Number& value)
{
    const auto* const end = text.data() + text.size();
    const auto [stopped, code] = std::from_chars(text.data(), end, value);
    return code == std::errc() && stopped == end && !text.empty();
}

bool read_value(std::string_view text, std::string& value)
{
    value = text;
    return !text.empty() && is_plain_text(text);
}

bool read_value(std::string_view text, bool& value)
{
    value = text == "true";
    return value || text == "false";
}

bool read_value(std::string_view text, double& value)
{
    return parse_entire(text, value) && std::isfinite(value);
}

bool read_value(std::string_view text, std::uint32_t& value)
{
    return parse_entire(text, value);
}
bool read_number(std::string_view text, std::uint64_t& value)
{
    return parse_entire(text, value);
}

bool read_value(std::string_view text, duration& value)
{
    const auto parsed = parse_duration(text);
    value = parsed.value_or(duration{0});
    return parsed.has_value();
}

bool read_value(std::string_view text, upstream_kind& value)
{
    value =
        text == to_string(upstream_kind::service) ? upstream_kind::service : upstream_kind::engine;
    return text == to_string(value);
}

static constexpr std::array all_move_phases = {move_phase::pending,  move_phase::preparing,
                                               move_phase::shifting, move_phase::soaking,
                                               move_phase::done,     move_phase::reverted};

bool read_value(std::string_view text, move_phase& value)
{
    const auto* const found =
        std::find_if(all_move_phases.begin(), all_move_phases.end(),
                     [&](move_phase phase) { return text == to_string(phase); });
    if (found == all_move_phases.end())
        return false;
    value = *found;
    return true;
}

static bool is_ip_address(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

bool read_value(std::string_view text, endpoint& value)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    auto host = text.substr(0, colon);
    const bool bracketed = host.starts_with('[') && host.ends_with(']');
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    if (bracketed != (host.find(':') != std::string_view::npos))
        return false;
    value.address = host;
    return is_ip_address(value.address) && parse_entire(text.substr(colon + 1), value.port) &&
           value.port != 0;
}

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    endpoint value;
    if (!read_value(text, value))
        return std::nullopt;
    return value;
}

/// Reads `count` digits at the front of a text and removes them from it.
static std::optional<int> consume_digits(std::string_view& text, std::size_t count)
{
    int value = 0;
    if (text.size() < count || !parse_entire(text.substr(0, count), value) || value < 0)
        return std::nullopt;
    text.remove_prefix(count);
    return value;
}

static bool consume_character(std::string_view& text, char wanted)
{
    if (!text.starts_with(wanted))
        return false;
    text.remove_prefix(1);
    return true;
}

namespace {

/// Parts of a date and time in UTC.
struct utc_parts {
    std::array<int, 6> numbers{};
    int milliseconds = 0;
};

} // namespace

/// Splits `2026-12-03T23:00:00Z`, with up to three digits of fraction, into its numbers.
static std::optional<utc_parts> split_utc(std::string_view text)
{
    constexpr std::array<std::size_t, 6> digits = {4, 2, 2, 2, 2, 2};
    constexpr std::string_view separators = "-"
                                            "-"
                                            "T"
                                            "::";
    utc_parts parts;
    for (std::size_t i = 0; i != digits.size(); ++i) {
        if (i != 0 && !consume_character(text, separators[i - 1]))
            return std::nullopt;
        const auto number = consume_digits(text, digits[i]);
        if (!number)
            return std::nullopt;
        parts.numbers[i] = *number;
    }
    if (consume_character(text, '.')) {
        const auto fraction = consume_digits(text, 3);
        if (!fraction)
            return std::nullopt;
        parts.milliseconds = *fraction;
    }
    if (text != "Z")
        return std::nullopt;
    return parts;
}

bool read_value(std::string_view text, unix_millis& value)
{
    using namespace std::chrono;
    const auto parts = split_utc(text);
    if (!parts)
        return false;
    const auto [years, months, days_of_month, hour, minute, second] = parts->numbers;
    const auto date = year{years} / month{static_cast<unsigned>(months)} /
                      day{static_cast<unsigned>(days_of_month)};
    if (!date.ok() || hour > 23 || minute > 59 || second > 59)
        return false;
    const auto at = sys_days{date} + hours{hour} + minutes{minute} + seconds{second} +
                    milliseconds{parts->milliseconds};
    value.value = duration_cast<milliseconds>(at.time_since_epoch()).count();
    return true;
}

std::string write_value(const std::string& value)
{
    return value;
}
std::string write_value(bool value)
{
    return value ? "true" : "false";
}
std::string write_value(std::uint32_t value)
{
    return std::to_string(value);
}
std::string write_value(duration value)
{
    return format_duration(value);
}
std::string write_value(upstream_kind value)
{
    return std::string(to_string(value));
}
std::string write_value(move_phase value)
{
    return std::string(to_string(value));
}

std::string write_value(double value)
{
    std::array<char, 32> buffer{};
    const auto [end, code] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return code == std::errc() ? std::string(buffer.data(), end) : std::string();
}

std::string write_value(const endpoint& value)
{
    return format_endpoint(value);
}

std::string format_endpoint(const endpoint& value)
{
    const bool is_ipv6 = value.address.find(':') != std::string::npos;
    const auto host = is_ipv6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

std::string write_value(unix_millis value)
{
    using namespace std::chrono;
    const sys_time<milliseconds> at{milliseconds{value.value}};
    const auto midnight = floor<days>(at);
    const year_month_day date{midnight};
    const hh_mm_ss time{at - midnight};
    std::array<char, 80> buffer{};
    (void)std::snprintf(buffer.data(), buffer.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                        static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                        static_cast<unsigned>(date.day()), static_cast<int>(time.hours().count()),
                        static_cast<int>(time.minutes().count()),
                        static_cast<int>(time.seconds().count()),
                        static_cast<int>(time.subseconds().count()));
    return buffer.data();
}

std::string describe_value(const std::string&)
{
    return "text without control characters";
}
std::string describe_value(bool)
{
    return "true or false";
}
std::string describe_value(double)
{
    return "a number";
}
std::string describe_value(std::uint32_t)
{
    return "a whole number";
}
std::string describe_value(duration)
{
    return "a duration with its unit, such as 250ms, 3s or 5m";
}
std::string describe_value(unix_millis)
{
    return "a time in UTC such as 2026-12-03T23:00:00Z";
}
std::string describe_value(const endpoint&)
{
    return "an IP address and port such as 10.0.0.7:8000 or [::1]:8000";
}
std::string describe_value(upstream_kind)
{
    return "engine or service";
}
std::string describe_value(move_phase)
{
    return "pending, preparing, shifting, soaking, done or reverted";
}

} // namespace ragwortcove::core
