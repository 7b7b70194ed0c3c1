/// \file
/// What a caller or an operator asks of the daemon over HTTP, read from one HTTP request.
#pragma once

#include "ragwortcove/core/request.hpp"
#include "ragwortcove/daemon/chat.hpp"
#include "ragwortcove/daemon/problem.hpp"
#include "ragwortcove/http/message.hpp"

#include <string>
#include <variant>

namespace ragwortcove::daemon {

/// `POST /v1/chat/completions`
struct chat_call {
    core::caller_request request;
    chat_request chat;
};

/// `POST|GET /v1/services/<service>/<path>`
struct service_call {
    core::caller_request request;
    std::string method;
    /// Path and query at the service.
    std::string target;
    std::string content_type;
    std::string body;
};

/// `GET /v1/addresses?route=R`
struct addresses_call {
    core::route_name route;
};

struct health_call {};
struct ready_call {};
struct metrics_call {};
/// `GET /v1/status`; operators only.
struct status_call {};
/// `POST /v1/drain`; operators only.
struct drain_call {};

using caller_call = std::variant<chat_call, service_call, addresses_call, health_call, ready_call,
                                 metrics_call, status_call, drain_call, problem>;

/// Reads a request; one that cannot be served gives the problem to answer with.
[[nodiscard]] caller_call parse_caller_call(http::request&& message);

} // namespace ragwortcove::daemon
