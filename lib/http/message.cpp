#include "ragwortcove/http/message.hpp"

#include "ragwortcove/http/percent_encoding.hpp"

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

std::optional<std::string> find_query_value(std::string_view query, std::string_view key)
{
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (query_decoded(pair.substr(0, equals)) != key)
            continue;
        return query_decoded(pair.substr(std::min(equals + 1, pair.size())));
    }
    return std::nullopt;
}

} // namespace ragwortcove::http
