#include "known_headers.hpp"

#include <array>
#include <string_view>

namespace ragwortcove::http {

namespace {

struct standard_header {
    lws_token_indexes token;
    std::string_view name;
};

} // namespace

static constexpr std::array standard_headers{
    standard_header{WSI_TOKEN_HOST, "host"},
    standard_header{WSI_TOKEN_CONNECTION, "connection"},
    standard_header{WSI_TOKEN_HTTP_ACCEPT, "accept"},
    standard_header{WSI_TOKEN_HTTP_ALLOW, "allow"},
    standard_header{WSI_TOKEN_HTTP_AUTHORIZATION, "authorization"},
    standard_header{WSI_TOKEN_HTTP_CACHE_CONTROL, "cache-control"},
    standard_header{WSI_TOKEN_HTTP_CONTENT_LENGTH, "content-length"},
    standard_header{WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type"},
    standard_header{WSI_TOKEN_HTTP_DATE, "date"},
    standard_header{WSI_TOKEN_HTTP_ETAG, "etag"},
    standard_header{WSI_TOKEN_HTTP_EXPECT, "expect"},
    standard_header{WSI_TOKEN_HTTP_IF_MATCH, "if-match"},
    standard_header{WSI_TOKEN_HTTP_IF_NONE_MATCH, "if-none-match"},
    standard_header{WSI_TOKEN_HTTP_LOCATION, "location"},
    standard_header{WSI_TOKEN_HTTP_RETRY_AFTER, "retry-after"},
    standard_header{WSI_TOKEN_HTTP_SERVER, "server"},
    standard_header{WSI_TOKEN_HTTP_TRANSFER_ENCODING, "transfer-encoding"},
    standard_header{WSI_TOKEN_HTTP_USER_AGENT, "user-agent"},
};

/// libwebsockets 4.1 can't list the headers that it has no token for, only look one up by name.
static constexpr std::array<std::string_view, 7> custom_headers{
    "idempotency-key:", "x-not-run:", "x-output-tokens:", "x-request-id:",
    "x-route:",         "x-team:",    "x-timeout-ms:",
};

std::vector<header> read_headers(lws* wsi)
{
    std::vector<header> headers;
    for (const standard_header& each : standard_headers) {
        const int length = lws_hdr_total_length(wsi, each.token);
        if (length <= 0)
            continue;
        std::string value(static_cast<std::size_t>(length) + 1, '\0');
        const int copied = lws_hdr_copy(wsi, value.data(), length + 1, each.token);
        if (copied < 0)
            continue;
        value.resize(static_cast<std::size_t>(copied));
        headers.push_back({std::string(each.name), std::move(value)});
    }
    for (const std::string_view name : custom_headers) {
        const int name_length = static_cast<int>(name.size());
        const int length = lws_hdr_custom_length(wsi, name.data(), name_length);
        if (length < 0)
            continue;
        std::string value(static_cast<std::size_t>(length) + 1, '\0');
        if (lws_hdr_custom_copy(wsi, value.data(), length + 1, name.data(), name_length) < 0)
            continue;
        value.resize(static_cast<std::size_t>(length));
        headers.push_back({std::string(name.substr(0, name.size() - 1)), std::move(value)});
    }
    return headers;
}

} // namespace ragwortcove::http
