#include "ragwortcove/daemon/caller_call.hpp"

#include "ragwortcove/core/prompt.hpp"
#include "ragwortcove/http/percent_encoding.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

namespace ragwortcove::daemon {

static constexpr std::string_view services_prefix = "/v1/services/";
static constexpr std::size_t longest_key = 256;
/// Team of a request that names none.
static constexpr std::string_view default_team = "default";

namespace {

/// A fixed path, the one method it takes, and what reads it.
struct fixed_path {
    std::string_view path;
    std::string_view method;
    caller_call (*parse)(http::request&& message);
};

} // namespace

static std::string header_or_empty(const http::request& message, std::string_view name)
{
    return std::string{http::find_header(message.headers, name).value_or("")};
}

static bool read_timeout(const http::request& message, core::caller_request& into)
{
    static constexpr std::int64_t most_millis = 24LL * 60 * 60 * 1000;
    const std::optional<std::string_view> text = http::find_header(message.headers, "x-timeout-ms");
    if (!text)
        return true;
    std::int64_t millis = 0;
    const char* end = text->data() + text->size();
    const std::from_chars_result read = std::from_chars(text->data(), end, millis);
    if (read.ec != std::errc{} || read.ptr != end || millis < 1 || millis > most_millis)
        return false;
    into.timeout = std::chrono::milliseconds{millis};
    return true;
}

static bool read_key(const http::request& message, core::caller_request& into)
{
    const std::string text = header_or_empty(message, "idempotency-key");
    if (text.size() > longest_key)
        return false;
    if (!text.empty())
        into.key = core::parse_idempotency_key(text);
    return true;
}

/// Reads what every request may state in its headers; gives a problem when it cannot.
static std::optional<problem> read_common(const http::request& message, core::caller_request& into)
{
    const std::string team = header_or_empty(message, "x-team");
    into.team.value = team.empty() ? std::string{default_team} : team;
    into.safe_method = message.method == "GET";
    if (!read_timeout(message, into))
        return make_bad_request(400, "X-Timeout-Ms: expected a whole number from 1 to 86400000");
    if (!read_key(message, into))
        return make_bad_request(400, "Idempotency-Key: expected at most 256 characters");
    return std::nullopt;
}

static caller_call parse_chat(http::request&& message)
{
    chat_call call;
    if (std::optional<problem> wrong = read_common(message, call.request))
        return *std::move(wrong);
    std::string detail;
    const bool parsed = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(call.chat, parse_chat_request(message.body));
            return true;
        },
        [&](const chat_error& error) {
            detail = error.detail;
            return false;
        },
        [] { return false; });
    if (!parsed)
        return make_bad_request(400, detail);
    call.request.route.value = call.chat.model;
    call.request.prompt_tokens = core::estimate_tokens(call.chat.prompt);
    call.request.max_output_tokens = call.chat.max_tokens;
    call.request.streaming = call.chat.stream;
    call.request.prefix = core::prefix_hashes(call.chat.prompt);
    return call;
}

static caller_call parse_service(http::request&& message)
{
    if (message.method != "GET" && message.method != "POST") {
        problem wrong = make_bad_request(405, message.method + ": expected GET or POST");
        wrong.allowed_methods = "GET, POST";
        return wrong;
    }
    service_call call;
    if (std::optional<problem> wrong = read_common(message, call.request))
        return *std::move(wrong);
    const std::string rest = message.path.substr(services_prefix.size());
    const std::size_t slash = rest.find('/');
    if (slash == 0 || slash == std::string::npos)
        return make_bad_request(404, "path: expected /v1/services/<service>/<path>");
    call.request.route.value = rest.substr(0, slash);
    call.method = message.method;
    // libwebsockets hands out the path decoded.
    call.target = http::path_encoded(rest.substr(slash));
    if (!message.query.empty())
        call.target += "?" + message.query;
    call.content_type = header_or_empty(message, "content-type");
    call.body = std::move(message.body);
    return call;
}

static caller_call parse_addresses(http::request&& message)
{
    std::optional<std::string> route = http::find_query_value(message.query, "route");
    if (!route || route->empty())
        return make_bad_request(400, "route: expected ?route=<name of a route>");
    return addresses_call{core::route_name{*std::move(route)}};
}

template <class Call> static caller_call parse_bare(http::request&&)
{
    return Call{};
}

static constexpr std::array fixed_paths{
    fixed_path{"/v1/chat/completions", "POST", parse_chat},
    fixed_path{"/v1/addresses", "GET", parse_addresses},
    fixed_path{"/v1/status", "GET", parse_bare<status_call>},
    fixed_path{"/v1/drain", "POST", parse_bare<drain_call>},
    fixed_path{"/healthz", "GET", parse_bare<health_call>},
    fixed_path{"/readyz", "GET", parse_bare<ready_call>},
    fixed_path{"/metrics", "GET", parse_bare<metrics_call>},
};

caller_call parse_caller_call(http::request&& message)
{
    if (message.path.starts_with(services_prefix))
        return parse_service(std::move(message));
    const auto* found = std::ranges::find(fixed_paths, message.path, &fixed_path::path);
    if (found == fixed_paths.end())
        return make_bad_request(404, message.path + ": no such path");
    if (message.method != found->method) {
        const std::string allowed{found->method};
        problem wrong = make_bad_request(405, message.method + ": expected " + allowed);
        wrong.allowed_methods = allowed;
        return wrong;
    }
    return found->parse(std::move(message));
}

} // namespace ragwortcove::daemon
