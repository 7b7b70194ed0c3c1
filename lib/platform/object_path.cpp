#include "ragwortcove/platform/object_path.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/http/message.hpp"

#include <libwebsockets.h>

#include <vector>

namespace ragwortcove::platform {

// HTTP servers decode a path and tidy it ("a//b", ".."), so only a name that survives this goes
// into the path. Keys of claims are callers' own texts and may hold anything.

static constexpr std::string_view name_key = "name";

static bool is_path_safe(std::string_view name)
{
    constexpr std::string_view safe = "abcdefghijklmnopqrstuvwxyz"
                                      "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !name.empty() && name.front() != '.' &&
           name.find_first_not_of(safe) == std::string_view::npos;
}

static std::string percent_encoded(std::string_view text)
{
    constexpr std::size_t longest_escape = 3;
    const std::string plain(text);
    std::vector<char> escaped(plain.size() * longest_escape + 1);
    lws_urlencode(escaped.data(), plain.c_str(), static_cast<int>(escaped.size()));
    return escaped.data();
}

void append_query(std::string& query, std::string_view key, std::string_view value)
{
    if (!query.empty())
        query += '&';
    query += percent_encoded(key) + "=" + percent_encoded(value);
}

object_path path_of(const core::object_key& key)
{
    object_path target;
    target.path = std::string(objects_path) + "/" + std::string(to_string(key.kind));
    if (is_path_safe(key.name))
        target.path += "/" + key.name;
    else
        append_query(target.query, name_key, key.name);
    return target;
}

std::optional<core::object_key> parse_object_path(std::string_view path, std::string_view query)
{
    if (!path.starts_with(objects_path) || !path.substr(objects_path.size()).starts_with('/'))
        return std::nullopt;
    path.remove_prefix(objects_path.size() + 1);
    const auto slash = path.find('/');
    const auto kind = core::parse_object_kind(path.substr(0, slash));
    if (!kind)
        return std::nullopt;
    if (slash != std::string_view::npos && slash + 1 != path.size())
        return core::object_key{*kind, std::string(path.substr(slash + 1))};
    auto name = http::find_query_value(query, name_key);
    if (!name || name->empty())
        return std::nullopt;
    return core::object_key{*kind, std::move(*name)};
}

} // namespace ragwortcove::platform
