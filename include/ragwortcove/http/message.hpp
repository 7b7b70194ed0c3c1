/// \file
/// HTTP requests and responses, as the server and the client share them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::http {

/// Besides the common headers of HTTP, only those of the list in lib/http/known_headers.cpp are
/// read from a request; all are read from a response.
struct header {
    /// Lower-case name without a colon.
    std::string name;
    std::string value;
};

struct request {
    std::string method;
    /// Path without the query.
    std::string path;
    std::string query;
    std::vector<header> headers;
    std::string body;
    /// Subject common name of the client's certificate; empty without TLS or certificate.
    std::string peer_common_name;
};

struct response_head {
    int status = 200;
    std::vector<header> headers;
    /// Length of the body; unset sends the body in chunks.
    std::optional<std::uint64_t> content_length;
};

/// First header of that name, or nothing.
[[nodiscard]] std::optional<std::string_view> find_header(const std::vector<header>& headers,
                                                          std::string_view name);
/// Value of one key of a query string, percent-decoded.
[[nodiscard]] std::optional<std::string> find_query_value(std::string_view query,
                                                          std::string_view key);

} // namespace ragwortcove::http
