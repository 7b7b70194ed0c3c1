#include "ragwortcove/daemon/upstream_client.hpp"

#include <boost/json.hpp>

#include <cassert>
#include <utility>

namespace ragwortcove::daemon {

static constexpr int status_ok = 200;
static constexpr int status_not_found = 404;
static constexpr int status_too_many_requests = 429;
static constexpr int status_internal_error = 500;
static constexpr int status_unavailable = 503;
/// Longest answer of a plain service.
static constexpr std::size_t most_service_bytes = 8U << 20U;
/// Longest silence of an upstream that is told to stop; its answer is not needed.
static constexpr std::chrono::seconds cancel_idle_limit{2};

static http::request make_engine_request(const core::open_attempt& wanted,
                                         const upstream_message& message)
{
    const std::string id = core::format_request_id(wanted.request);
    http::request made;
    made.headers = {{"x-request-id", id}, {"x-route", message.route.value}};
    switch (wanted.mode) {
    case core::attempt_mode::fresh:
        made.method = "POST";
        made.path = "/v1/chat/completions";
        made.body = message.body;
        break;
    case core::attempt_mode::resume:
        made.method = "POST";
        made.path = "/v1/resume";
        made.body = boost::json::serialize(
            boost::json::object{{"request_id", id}, {"offset", wanted.offset}});
        break;
    case core::attempt_mode::status:
        made.method = "GET";
        made.path = "/v1/requests/" + id;
        return made;
    }
    made.headers.push_back({"content-type", "application/json"});
    made.headers.push_back({"accept", "text/event-stream"});
    return made;
}

static http::request make_service_request(const core::open_attempt& wanted,
                                          const upstream_message& message)
{
    http::request made;
    const std::size_t question = message.target.find('?');
    made.method = message.method;
    made.path = message.target.substr(0, question);
    if (question != std::string::npos)
        made.query = message.target.substr(question + 1);
    made.headers = {{"x-request-id", core::format_request_id(wanted.request)},
                    {"x-route", message.route.value}};
    if (!message.content_type.empty())
        made.headers.push_back({"content-type", message.content_type});
    if (!message.idempotency_key.empty())
        made.headers.push_back({"idempotency-key", message.idempotency_key});
    made.body = message.body;
    return made;
}

static http::request make_request(const core::open_attempt& wanted, const upstream_message& message)
{
    const bool to_service = wanted.kind == core::upstream_kind::service;
    if (to_service && wanted.mode == core::attempt_mode::fresh)
        return make_service_request(wanted, message);
    return make_engine_request(wanted, message);
}

static upstream_answer make_answer(const core::open_attempt& wanted)
{
    if (wanted.mode == core::attempt_mode::status)
        return status_answer{};
    if (wanted.kind == core::upstream_kind::service)
        return service_answer{};
    engine_answer answer;
    answer.next_offset = wanted.offset;
    return answer;
}

/// How an upstream's status line fails an attempt; nothing when it is an answer.
static std::optional<core::upstream_failure> find_failure(const core::open_attempt& wanted,
                                                          const http::response_head& head)
{
    const bool busy = head.status == status_too_many_requests || head.status == status_unavailable;
    const bool says_not_run = http::find_header(head.headers, "x-not-run") == "true";
    if (busy && says_not_run)
        return core::upstream_failure::refused;
    const bool asks_for_known = wanted.mode != core::attempt_mode::fresh;
    if (asks_for_known && head.status == status_not_found)
        return core::upstream_failure::unknown_request;
    if (head.status >= status_internal_error)
        return core::upstream_failure::error_answer;
    const bool is_service_answer =
        wanted.kind == core::upstream_kind::service && wanted.mode == core::attempt_mode::fresh;
    if (!is_service_answer && head.status != status_ok)
        return core::upstream_failure::error_answer;
    return std::nullopt;
}

static core::upstream_failure to_failure(http::client_error error)
{
    switch (error) {
    case http::client_error::not_sent:
        return core::upstream_failure::not_sent;
    case http::client_error::connection_lost:
        return core::upstream_failure::connection_lost;
    case http::client_error::silent:
        return core::upstream_failure::silent;
    case http::client_error::malformed:
        return core::upstream_failure::error_answer;
    }
    return core::upstream_failure::connection_lost;
}

upstream_client::upstream_client(http::loop& loop, http::client& pool, reporter reports)
    : on(loop), client(pool), report(std::move(reports))
{
}

upstream_client::attempt* upstream_client::find(core::attempt_id id)
{
    const auto found = this->attempts.find(id);
    return found == this->attempts.end() ? nullptr : &found->second;
}

const upstream_answer* upstream_client::find_answer(core::attempt_id id) const
{
    const auto found = this->attempts.find(id);
    return found == this->attempts.end() ? nullptr : &found->second.answer;
}

void upstream_client::open(const core::open_attempt& wanted, const upstream_message& message)
{
    const core::attempt_id id = wanted.attempt;
    http::client_request request;
    request.address = wanted.address.address;
    request.port = wanted.address.port;
    request.message = make_request(wanted, message);
    request.idle_limit = wanted.idle_limit;
    request.fresh_connection = wanted.fresh_connection;
    http::client_handlers handlers;
    handlers.headed = [this, id](const http::response_head& head) { this->take_head(id, head); };
    handlers.body = [this, id](std::string_view bytes) { this->take_body(id, bytes); };
    handlers.ended = [this, id] { this->take_end(id); };
    handlers.failed = [this, id](http::client_error error) { this->take_failure(id, error); };
    attempt& opened = this->attempts[id];
    opened.wanted = wanted;
    opened.answer = make_answer(wanted);
    opened.exchange = this->client.start(std::move(request), std::move(handlers));
}

void upstream_client::cancel(core::attempt_id id)
{
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end())
        return;
    if (found->second.ended) {
        this->attempts.erase(found);
        return;
    }
    const core::open_attempt wanted = found->second.wanted;
    this->client.cancel(found->second.exchange);
    this->attempts.erase(found);
    if (wanted.kind != core::upstream_kind::engine)
        return;
    // The closed connection alone would leave the sequence running until it can't be resumed.
    const std::string request_id = core::format_request_id(wanted.request);
    http::client_request request;
    request.address = wanted.address.address;
    request.port = wanted.address.port;
    request.message.method = "POST";
    request.message.path = "/v1/cancel";
    request.message.headers = {{"content-type", "application/json"}};
    request.message.body = boost::json::serialize(boost::json::object{{"request_id", request_id}});
    request.idle_limit = cancel_idle_limit;
    this->client.start(std::move(request), {});
}

void upstream_client::abandon(core::attempt_id id, core::upstream_failure failure)
{
    const attempt* opened = this->find(id);
    if (opened == nullptr)
        return;
    this->client.cancel(opened->exchange);
    this->fail(id, failure);
}

void upstream_client::fail(core::attempt_id id, core::upstream_failure failure)
{
    // The exchange goes on to its end, so that its connection can be kept.
    this->attempts.erase(id);
    this->report(core::upstream_failed{id, failure});
}

void upstream_client::take_head(core::attempt_id id, const http::response_head& head)
{
    attempt* opened = this->find(id);
    if (opened == nullptr)
        return;
    if (const auto failure = find_failure(opened->wanted, head)) {
        this->fail(id, *failure);
        return;
    }
    if (auto* answer = std::get_if<service_answer>(&opened->answer)) {
        answer->status = head.status;
        answer->content_type =
            std::string{http::find_header(head.headers, "content-type").value_or("")};
    }
    if (!std::holds_alternative<status_answer>(opened->answer))
        this->report(core::upstream_accepted{id});
}

void upstream_client::take_body(core::attempt_id id, std::string_view bytes)
{
    attempt* opened = this->find(id);
    if (opened == nullptr)
        return;
    if (std::holds_alternative<engine_answer>(opened->answer)) {
        this->take_engine_bytes(id, bytes);
        return;
    }
    auto* service = std::get_if<service_answer>(&opened->answer);
    auto* status = std::get_if<status_answer>(&opened->answer);
    assert((service != nullptr || status != nullptr) && "an answer is one of three kinds");
    std::string& body = service != nullptr ? service->body : status->body;
    body += bytes;
    if (body.size() <= most_service_bytes)
        return;
    this->client.cancel(opened->exchange);
    this->fail(id, core::upstream_failure::error_answer);
}

/// Passes on all tokens of these bytes as one progress, then the end marker if it is among them.
void upstream_client::take_engine_bytes(core::attempt_id id, std::string_view bytes)
{
    auto& answer = std::get<engine_answer>(this->find(id)->answer);
    answer.pieces.clear();
    std::uint32_t count = 0;
    bool ended = false;
    bool readable = true;
    for (const std::string& data : answer.events.take(bytes)) {
        ended = data == http::stream_end_marker;
        if (ended)
            break;
        std::optional<chat_chunk> chunk = parse_chat_chunk(data);
        readable = chunk.has_value();
        if (!readable)
            break;
        if (chunk->usage)
            answer.usage = chunk->usage;
        if (!chunk->finish_reason.empty())
            answer.finish_reason = chunk->finish_reason;
        if (chunk->count > 0)
            answer.pieces.push_back({chunk->count, std::move(chunk->content)});
        count += chunk->count;
    }
    readable = readable && !answer.events.overflowed();
    if (count > 0)
        this->report_engine_progress(id, count);
    if (!readable && this->find(id) != nullptr)
        this->fail(id, core::upstream_failure::error_answer);
    if (ended)
        this->end_engine(id);
}

void upstream_client::report_engine_progress(core::attempt_id id, std::uint32_t count)
{
    auto& answer = std::get<engine_answer>(this->find(id)->answer);
    const std::uint32_t offset = answer.next_offset;
    answer.next_offset += count;
    this->report(core::upstream_progress{id, offset, count});
}

void upstream_client::end_engine(core::attempt_id id)
{
    attempt* opened = this->find(id);
    if (opened == nullptr)
        return;
    const auto& answer = std::get<engine_answer>(opened->answer);
    if (!answer.usage) {
        this->fail(id, core::upstream_failure::incomplete);
        return;
    }
    this->finish(id, answer.usage->completion_tokens, answer.usage->cached_tokens);
}

void upstream_client::finish(core::attempt_id id, std::uint32_t total, std::uint32_t cached_tokens)
{
    // The answer stays readable while the core decides what to do with it.
    this->find(id)->ended = true;
    this->report(core::upstream_finished{id, total, cached_tokens});
    this->attempts.erase(id);
}

void upstream_client::end_service(core::attempt_id id)
{
    const auto& answer = std::get<service_answer>(this->find(id)->answer);
    const auto total = static_cast<std::uint32_t>(answer.body.size());
    if (total > 0)
        this->report(core::upstream_progress{id, 0, total});
    if (this->find(id) != nullptr)
        this->finish(id, total, 0);
}

/// A finished request is told with its count, so that the core can ask for what is missing.
void upstream_client::end_status(core::attempt_id id)
{
    const auto& answer = std::get<status_answer>(this->find(id)->answer);
    boost::system::error_code failed;
    const boost::json::value parsed = boost::json::parse(answer.body, failed);
    const boost::json::object* body = failed ? nullptr : parsed.if_object();
    const boost::json::value* state = body == nullptr ? nullptr : body->if_contains("state");
    if (state == nullptr || !state->is_string()) {
        this->fail(id, core::upstream_failure::error_answer);
        return;
    }
    if (state->get_string() == "unknown") {
        this->fail(id, core::upstream_failure::unknown_request);
        return;
    }
    this->report(core::upstream_accepted{id});
    const boost::json::value* produced = body->if_contains("produced");
    const bool finished = state->get_string() == "finished";
    if (!finished || produced == nullptr || !produced->is_int64()) {
        this->attempts.erase(id);
        return;
    }
    if (this->find(id) != nullptr)
        this->finish(id, static_cast<std::uint32_t>(produced->get_int64()), 0);
}

void upstream_client::take_end(core::attempt_id id)
{
    const attempt* opened = this->find(id);
    if (opened == nullptr)
        return;
    if (std::holds_alternative<service_answer>(opened->answer)) {
        this->end_service(id);
        return;
    }
    if (std::holds_alternative<status_answer>(opened->answer)) {
        this->end_status(id);
        return;
    }
    // A stream that ends without its end marker is not whole.
    this->fail(id, core::upstream_failure::connection_lost);
}

void upstream_client::take_failure(core::attempt_id id, http::client_error error)
{
    if (this->find(id) != nullptr)
        this->fail(id, to_failure(error));
}

} // namespace ragwortcove::daemon
