/// \file
/// Text form of each type that a field's value can have.
#pragma once

#include "ragwortcove/core/object.hpp"

#include <charconv>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace ragwortcove::core {

/// Minimum and maximum of a field's value.
template <class T> struct value_range {
    T min;
    T max;
    [[nodiscard]] bool contains(const T& value) const
    {
        return !(value < this->min) && !(this->max < value);
    }
};

/// Range of a field whose type alone limits it.
template <class T> struct any_value {
    [[nodiscard]] bool contains(const T&) const { return true; }
};

[[nodiscard]] bool is_name(std::string_view text);
[[nodiscard]] bool is_plain_text(std::string_view text);

bool read_value(std::string_view text, std::string& value);
bool read_value(std::string_view text, bool& value);
bool read_value(std::string_view text, double& value);
bool read_value(std::string_view text, std::uint32_t& value);
bool read_value(std::string_view text, duration& value);
bool read_value(std::string_view text, unix_millis& value);
bool read_value(std::string_view text, endpoint& value);
bool read_value(std::string_view text, upstream_kind& value);
bool read_value(std::string_view text, move_phase& value);
bool read_number(std::string_view text, std::uint64_t& value);

template <class Tag> bool read_value(std::string_view text, basic_name<Tag>& value)
{
    value.value = text;
    return is_name(text);
}
template <class Tag> bool read_value(std::string_view text, basic_number<Tag>& value)
{
    return read_number(text, value.value);
}

std::string write_value(const std::string& value);
std::string write_value(bool value);
std::string write_value(double value);
std::string write_value(std::uint32_t value);
std::string write_value(duration value);
std::string write_value(unix_millis value);
std::string write_value(const endpoint& value);
std::string write_value(upstream_kind value);
std::string write_value(move_phase value);

template <class Tag> std::string write_value(const basic_name<Tag>& value)
{
    return value.value;
}
template <class Tag> std::string write_value(basic_number<Tag> value)
{
    return std::to_string(value.value);
}

std::string describe_value(const std::string& value);
std::string describe_value(bool value);
std::string describe_value(double value);
std::string describe_value(std::uint32_t value);
std::string describe_value(duration value);
std::string describe_value(unix_millis value);
std::string describe_value(const endpoint& value);
std::string describe_value(upstream_kind value);
std::string describe_value(move_phase value);

template <class Tag> std::string describe_value(const basic_name<Tag>&)
{
    return "a name of letters, digits, '.', '_' and '-'";
}
template <class Tag> std::string describe_value(basic_number<Tag>)
{
    return "a whole number";
}

} // namespace ragwortcove::core
