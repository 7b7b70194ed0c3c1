#include "ragwortcove/http/message.hpp"

#include <libwebsockets.h>

#include <algorithm>
#include <vector>

namespace ragwortcove::http {

std::optional<std::string_view> find_header(const std::vector<header>& headers,
                                            std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [name](const header& each) { return each.name == name; });
    if (found == headers.end())
        return std::nullopt;
    return found->value;
}

static std::string percent_decoded(std::string_view text)
{
    std::string escaped(text);
    std::vector<char> plain(escaped.size() + 1);
    if (lws_urldecode(plain.data(), escaped.c_str(), static_cast<int>(plain.size())) < 0)
        return escaped;
    return plain.data();
}

std::optional<std::string> find_query_value(std::string_view query, std::string_view key)
{
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (percent_decoded(pair.substr(0, equals)) != key)
            continue;
        return percent_decoded(pair.substr(std::min(equals + 1, pair.size())));
    }
    return std::nullopt;
}

} // namespace ragwortcove::http
