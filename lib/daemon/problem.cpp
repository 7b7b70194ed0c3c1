#include "ragwortcove/daemon/problem.hpp"

#include <boost/json.hpp>

#include <chrono>

namespace ragwortcove::daemon {

int status_of(core::refusal_reason reason)
{
    using core::refusal_reason;
    switch (reason) {
    case refusal_reason::bad_request:
    case refusal_reason::unknown_team:
    case refusal_reason::caller_gone:
        return 400;
    case refusal_reason::unknown_route:
        return 404;
    case refusal_reason::key_in_progress:
    case refusal_reason::key_already_used:
    case refusal_reason::key_owner_gone:
    case refusal_reason::key_expired:
        return 409;
    case refusal_reason::overloaded:
    case refusal_reason::displaced:
        return 429;
    case refusal_reason::upstream_failed:
    case refusal_reason::answer_cut:
        return 502;
    case refusal_reason::no_upstream:
    case refusal_reason::deadline_unreachable:
    case refusal_reason::platform_unavailable:
    case refusal_reason::shutting_down:
        return 503;
    case refusal_reason::deadline_passed:
    case refusal_reason::upstream_silent:
        return 504;
    }
    return 500;
}

static std::string_view describe(core::refusal_reason reason)
{
    using core::refusal_reason;
    switch (reason) {
    case refusal_reason::bad_request:
        return "the request is malformed";
    case refusal_reason::unknown_route:
        return "no route of that name is declared";
    case refusal_reason::unknown_team:
        return "no team of that name is declared";
    case refusal_reason::overloaded:
        return "no upstream has room for the request in time";
    case refusal_reason::displaced:
        return "the request gave way to one of a higher tier";
    case refusal_reason::deadline_unreachable:
        return "the request could not be answered before its deadline";
    case refusal_reason::deadline_passed:
        return "the request's deadline has passed";
    case refusal_reason::no_upstream:
        return "no upstream serves the route now";
    case refusal_reason::upstream_failed:
        return "the upstream failed while it had the request";
    case refusal_reason::upstream_silent:
        return "the upstream fell silent while it had the request";
    case refusal_reason::answer_cut:
        return "the answer broke off and could not be resumed";
    case refusal_reason::key_in_progress:
        return "a request with this idempotency key is still open";
    case refusal_reason::key_already_used:
        return "a request with this idempotency key has been dispatched before";
    case refusal_reason::key_owner_gone:
        return "the entry that knows what became of this idempotency key is gone";
    case refusal_reason::key_expired:
        return "the ticket that this idempotency key is built on is too old";
    case refusal_reason::platform_unavailable:
        return "the key could not be claimed because the platform does not answer";
    case refusal_reason::shutting_down:
        return "this entry is shutting down; ask for another address";
    case refusal_reason::caller_gone:
        return "the caller closed its connection";
    }
    return "";
}

problem make_problem(const core::refusal& refusal)
{
    return {status_of(refusal.reason), refusal, std::string{describe(refusal.reason)}, {}};
}

problem make_bad_request(int status, std::string_view detail)
{
    const core::refusal refusal{core::verdict::not_run, core::refusal_reason::bad_request, {}};
    return {status, refusal, std::string{detail}, {}};
}

static std::int64_t to_whole_seconds(core::duration value)
{
    return std::chrono::ceil<std::chrono::seconds>(value).count();
}

std::string render_problem(const problem& value, std::string_view request_id)
{
    boost::json::object body;
    body["type"] = "about:blank";
    body["title"] = core::to_string(value.refusal.reason);
    body["status"] = value.status;
    body["detail"] = value.detail;
    body["verdict"] = core::to_string(value.refusal.outcome);
    body["reason"] = core::to_string(value.refusal.reason);
    body["request_id"] = request_id;
    if (value.refusal.retry_after > core::duration::zero()) {
        using std::chrono::milliseconds;
        body["retry_after_ms"] = std::chrono::ceil<milliseconds>(value.refusal.retry_after).count();
    }
    return boost::json::serialize(body);
}

std::vector<http::header> problem_headers(const problem& value, std::string_view request_id)
{
    std::vector<http::header> headers{{"x-request-id", std::string{request_id}}};
    if (value.refusal.retry_after > core::duration::zero()) {
        const std::int64_t seconds = to_whole_seconds(value.refusal.retry_after);
        headers.push_back({"retry-after", std::to_string(seconds)});
    }
    if (!value.allowed_methods.empty())
        headers.push_back({"allow", value.allowed_methods});
    return headers;
}

} // namespace ragwortcove::daemon
