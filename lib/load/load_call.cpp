#include "load_call.hpp"

#include "ragwortcove/http/percent_encoding.hpp"

#include <boost/json.hpp>

namespace ragwortcove::load {

namespace json = boost::json;

static constexpr int status_ok = 200;
/// Text of about one token.
static constexpr std::string_view token_text = "word";
/// Idle time beyond the request's own time, so that the entry's refusal comes first.
static constexpr std::chrono::seconds idle_slack{2};

static std::string make_prompt(const load_call& call)
{
    // A number first, so that prompts of different requests share no prefix.
    std::string text = std::to_string(call.number) + " ";
    for (std::uint32_t index = 0; index < call.prompt_tokens; ++index)
        text += token_text;
    return text;
}

static std::string make_chat_body(const load_call& call)
{
    json::object message{{"role", "user"}, {"content", make_prompt(call)}};
    json::object body;
    body["model"] = call.kind->route;
    body["messages"] = json::array{std::move(message)};
    body["max_tokens"] = call.output_tokens;
    body["stream"] = call.kind->stream;
    return json::serialize(body);
}

http::client_request make_request(const load_call& call, bool direct,
                                  std::chrono::microseconds time_left, const std::string& run_name)
{
    const load_class& kind = *call.kind;
    http::client_request request;
    request.address = call.entry.address.address;
    request.port = call.entry.address.port;
    request.idle_limit = time_left + idle_slack;
    http::request& message = request.message;
    message.method = kind.kind == request_kind::chat ? "POST" : kind.method;
    message.path =
        direct ? kind.path : "/v1/services/" + http::percent_encoded(kind.route) + kind.path;
    if (kind.kind == request_kind::chat) {
        message.path = "/v1/chat/completions";
        message.body = make_chat_body(call);
        message.headers.push_back({"content-type", "application/json"});
    }
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(time_left);
    message.headers.push_back({"x-timeout-ms", std::to_string(millis.count())});
    if (!kind.team.empty())
        message.headers.push_back({"x-team", kind.team});
    if (kind.keyed) {
        const std::string suffix = run_name + "-" + std::to_string(call.number);
        const std::string& ticket = call.entry.ticket;
        message.headers.push_back(
            {"idempotency-key", ticket.empty() ? suffix : ticket + "." + suffix});
    }
    return request;
}

static bool is_stream(const load_call& call)
{
    return http::find_header(call.head.headers, "content-type")
        .value_or("")
        .starts_with("text/event-stream");
}

static void take_event(load_call& call, const std::string& data, std::chrono::microseconds now)
{
    if (data == http::stream_end_marker) {
        call.stream_whole = true;
        return;
    }
    if (data.starts_with("{\"error\"")) {
        call.stream_broken = true;
        return;
    }
    if (data.find("\"content\"") == std::string::npos || !call.counted)
        return;
    ++call.result->tokens;
    const bool first = call.last_token == std::chrono::microseconds::zero();
    if (first)
        call.result->first_tokens.push_back(now - call.intended);
    if (!first)
        call.result->token_gaps.push_back(now - call.last_token);
    call.last_token = now;
}

void take_body(load_call& call, std::string_view part, std::chrono::microseconds now)
{
    if (!is_stream(call)) {
        call.body += part;
        return;
    }
    for (const std::string& data : call.events.take(part))
        take_event(call, data, now);
}

/// A refusal in the form of a problem; one that states no verdict may have run.
static try_outcome judge_problem(const load_call& call)
{
    json::error_code code;
    const json::value problem = json::parse(call.body, code);
    const auto* verdict = code ? nullptr : problem.find_pointer("/verdict", code);
    if (verdict == nullptr || *verdict != "not_run")
        return {try_outcome::kind::may_have_run, {}};
    const auto* retry_after = problem.find_pointer("/retry_after_ms", code);
    if (retry_after == nullptr)
        return {try_outcome::kind::not_run, {}};
    return {try_outcome::kind::not_run,
            std::chrono::milliseconds{retry_after->to_number<std::int64_t>(code)}};
}

try_outcome judge_answer(const load_call& call)
{
    if (call.head.status != status_ok)
        return judge_problem(call);
    if (is_stream(call) && (!call.stream_whole || call.stream_broken))
        return {try_outcome::kind::cut, {}};
    return {try_outcome::kind::answered, {}};
}

try_outcome judge_failure(const load_call& call, http::client_error error)
{
    if (error == http::client_error::not_sent)
        return {try_outcome::kind::not_run, std::chrono::milliseconds{0}};
    const bool begun = call.head.status == status_ok && call.last_token.count() != 0;
    return {begun ? try_outcome::kind::cut : try_outcome::kind::may_have_run, {}};
}

} // namespace ragwortcove::load
