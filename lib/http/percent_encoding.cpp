#include "ragwortcove/http/percent_encoding.hpp"

// The library is used as headers alone; this is the one source that holds its definitions.
#include <boost/url/src.hpp>

namespace ragwortcove::http {

namespace urls = boost::urls;

std::string percent_encoded(std::string_view text)
{
    return urls::encode({text.data(), text.size()}, urls::unreserved_chars);
}

std::string path_encoded(std::string_view path)
{
    return urls::encode({path.data(), path.size()}, urls::pchars + '/');
}

static std::string decoded(std::string_view text, bool plus_is_space)
{
    const auto escaped = urls::make_pct_string_view({text.data(), text.size()});
    if (!escaped)
        return std::string(text);
    urls::encoding_opts options;
    options.space_as_plus = plus_is_space;
    return escaped->decode(options);
}

std::string percent_decoded(std::string_view segment)
{
    return decoded(segment, false);
}

std::string query_decoded(std::string_view text)
{
    return decoded(text, true);
}

} // namespace ragwortcove::http
