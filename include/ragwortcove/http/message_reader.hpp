/// \file
/// Readers of HTTP/1.1 messages that arrive in pieces of any size; every header is kept.
#pragma once

#include "ragwortcove/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ragwortcove::http {

/// Head of a request as it was sent.
struct request_line_and_headers {
    std::string method;
    /// Path and query, unchanged.
    std::string target;
    /// Names in the case in which they came.
    std::vector<header> headers;
    /// Whether the connection may carry another request.
    bool keep_alive = true;
    /// Whether the client speaks HTTP/1.1, and so takes chunks.
    bool version_1_1 = true;
};

/// Head of a response as it was sent.
struct status_line_and_headers {
    int status = 0;
    std::vector<header> headers;
    bool keep_alive = true;
    /// Length of the body, if the response states it.
    std::optional<std::uint64_t> content_length;
    /// Whether the body ends with the connection.
    bool ends_with_connection = false;
};

enum class message_fault {
    none,
    malformed,
    header_too_long,
    body_too_long,
    /// The connection ended inside the message.
    truncated,
};

struct message_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 8U << 20U;
};

/// Reads one request after another.
class request_reader {
public:
    struct handlers {
        std::function<void(request_line_and_headers&&)> head;
        std::function<void(std::string_view)> body;
        /// The request is complete; reading stops until `next()`.
        std::function<void()> complete;
    };
    request_reader(const message_limits& limits, handlers&& given);
    ~request_reader();

    /// Takes bytes; what follows a complete request is kept for the next one.
    [[nodiscard]] message_fault take(std::string_view bytes);
    /// Goes on with the next request, with the bytes kept.
    [[nodiscard]] message_fault next();
    /// Whether any byte of a request that is not complete has come.
    [[nodiscard]] bool inside_message() const;
    void set_limits(const message_limits& limits);

    struct state;

private:
    std::unique_ptr<state> self;
};

/// Reads one response.
class response_reader {
public:
    struct handlers {
        std::function<void(status_line_and_headers&&)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> complete;
    };
    /// `no_body` is set for answers to HEAD.
    response_reader(bool no_body, handlers&& given);
    ~response_reader();

    [[nodiscard]] message_fault take(std::string_view bytes);
    /// Drops the response whose head has just come, since it is not the awaited one, and reads the
    /// next one instead. Only to be called by the `head` handler; a bounded number is dropped.
    void skip();
    /// The connection was closed in order by the other end.
    [[nodiscard]] message_fault finish();
    [[nodiscard]] bool is_complete() const;
    /// Whether bytes came that belong to no response.
    [[nodiscard]] bool has_surplus() const;
    [[nodiscard]] bool has_started() const;

    struct state;

private:
    std::unique_ptr<state> self;
};

/// Whether two header names are the same; case does not matter.
[[nodiscard]] bool same_header_name(std::string_view one, std::string_view other);
/// First header of that name in any case, or nothing.
[[nodiscard]] std::optional<std::string_view> find_any_case(const std::vector<header>& headers,
                                                            std::string_view name);
/// Whether a header concerns one connection only: the hop-by-hop ones, and those that
/// `Connection` names.
[[nodiscard]] bool is_hop_by_hop(const std::vector<header>& all, std::string_view name);

} // namespace ragwortcove::http
