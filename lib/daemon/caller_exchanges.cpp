#include "ragwortcove/daemon/caller_exchanges.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/core/request.hpp"
#include "ragwortcove/daemon/daemon_settings.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace ragwortcove::daemon {

static constexpr std::string_view json_content_type = "application/json";
static constexpr std::string_view event_stream_content_type = "text/event-stream";
/// Closed exchanges that are kept before those are dropped whose bytes are written.
static constexpr std::size_t most_finishing_kept = 1024;
/// Request ids of calls that the core never sees; the core counts from one and stays below.
static constexpr std::uint64_t first_local_request = 1ULL << 63U;

std::string_view kind_name(const caller_reply& reply)
{
    if (std::holds_alternative<chat_reply>(reply))
        return "chat";
    if (std::holds_alternative<service_reply>(reply))
        return "service";
    return "addresses";
}

caller_exchanges::caller_exchanges(http::server& callers, metrics& counted,
                                   core::incarnation incarnation)
    : server(callers), figures(counted), run(incarnation), last_local_request(first_local_request)
{
}

void caller_exchanges::open(core::exchange_id id, caller_exchange&& exchange)
{
    const auto [opened, created] = this->exchanges.emplace(id, std::move(exchange));
    assert(created && "the server numbers each exchange once");
    this->figures.count_request(kind_name(opened->second.reply));
}

void caller_exchanges::close(core::exchange_id id)
{
    this->exchanges.erase(id);
    if (this->server.unsent_bytes(id.value) == 0)
        return;
    this->finishing.push_back(id);
    if (this->finishing.size() >= most_finishing_kept)
        (void)this->has_unsent_answers();
}

bool caller_exchanges::has_unsent_answers()
{
    std::erase_if(this->finishing, [this](core::exchange_id id) {
        return this->server.unsent_bytes(id.value) == 0;
    });
    return !this->finishing.empty();
}

const caller_exchange* caller_exchanges::find(core::exchange_id id) const
{
    const auto found = this->exchanges.find(id);
    return found == this->exchanges.end() ? nullptr : &found->second;
}

caller_exchange* caller_exchanges::find(core::exchange_id id)
{
    const auto found = this->exchanges.find(id);
    return found == this->exchanges.end() ? nullptr : &found->second;
}

void caller_exchanges::identify(core::exchange_id id, const core::request_id& request)
{
    caller_exchange* exchange = this->find(id);
    // The core counts from one; zero stands for a request that it has not numbered.
    if (exchange != nullptr && request.sequence != 0)
        exchange->request = request;
}

/// Drops what an attempt before brought of an answer that the caller has had no byte of.
static void start_over(caller_reply& reply)
{
    if (auto* chat = std::get_if<chat_reply>(&reply)) {
        chat->content.clear();
        chat->completion_tokens = 0;
    }
    if (auto* service = std::get_if<service_reply>(&reply))
        service->body.clear();
}

void caller_exchanges::note_attempt(const core::open_attempt& opened)
{
    this->identify(opened.exchange, opened.request);
    caller_exchange* exchange = this->find(opened.exchange);
    if (exchange == nullptr)
        return;
    exchange->attempt = opened.attempt;
    if (opened.mode == core::attempt_mode::fresh)
        start_over(exchange->reply);
}

std::string caller_exchanges::next_local_request_id()
{
    return core::format_request_id({this->run, this->last_local_request++});
}

std::string caller_exchanges::request_text(const caller_exchange& exchange)
{
    if (exchange.request)
        return core::format_request_id(*exchange.request);
    return this->next_local_request_id();
}

static chat_answer_head make_head(const caller_exchange& exchange, const chat_reply& reply,
                                  std::string_view request_id)
{
    return {request_id, reply.model, exchange.arrived_at};
}

void caller_exchanges::write_chat_tokens(core::exchange_id id, const caller_exchange& exchange,
                                         chat_reply& reply, std::string_view text)
{
    if (!reply.stream) {
        reply.content += text;
        return;
    }
    if (!reply.chunks)
        this->start_chat_stream(id, exchange, reply);
    this->server.write(id.value, http::format_event(reply.chunks->write(text)));
}

void caller_exchanges::start_chat_stream(core::exchange_id id, const caller_exchange& exchange,
                                         chat_reply& reply)
{
    const std::string request_id = this->request_text(exchange);
    http::response_head head;
    head.headers = {{"content-type", std::string{event_stream_content_type}},
                    {"cache-control", "no-store"},
                    {"x-request-id", request_id}};
    this->server.start_response(id.value, std::move(head));
    reply.chunks.emplace(make_head(exchange, reply, request_id));
}

/// Drops the first `skip` tokens; nothing when a piece would have to be split.
static std::optional<std::size_t> find_first_piece(const std::vector<answer_piece>& pieces,
                                                   std::uint32_t skip)
{
    std::size_t index = 0;
    while (skip > 0 && index < pieces.size()) {
        if (pieces[index].count > skip)
            return std::nullopt;
        skip -= pieces[index].count;
        ++index;
    }
    return index;
}

forward_outcome caller_exchanges::forward(core::exchange_id id, const upstream_answer& answer,
                                          std::uint32_t skip)
{
    caller_exchange* exchange = this->find(id);
    if (exchange == nullptr)
        return forward_outcome::nothing_open;
    if (const auto* service = std::get_if<service_answer>(&answer)) {
        // A service's answer comes whole, so its progress is the whole of it.
        auto& reply = std::get<service_reply>(exchange->reply);
        reply.body += std::string_view{service->body}.substr(
            std::min<std::size_t>(skip, service->body.size()));
        return forward_outcome::forwarded;
    }
    const auto* engine = std::get_if<engine_answer>(&answer);
    auto* reply = std::get_if<chat_reply>(&exchange->reply);
    if (engine == nullptr || reply == nullptr)
        return forward_outcome::nothing_open;
    const std::optional<std::size_t> first = find_first_piece(engine->pieces, skip);
    if (!first)
        return forward_outcome::not_aligned;
    std::string text;
    for (std::size_t index = *first; index < engine->pieces.size(); ++index) {
        text += engine->pieces[index].text;
        reply->completion_tokens += engine->pieces[index].count;
        this->figures.count_tokens(engine->pieces[index].count);
    }
    this->write_chat_tokens(id, *exchange, *reply, text);
    const bool too_slow = this->server.unsent_bytes(id.value) > most_unsent_bytes;
    return too_slow ? forward_outcome::caller_too_slow : forward_outcome::forwarded;
}

void caller_exchanges::observe_first_byte(core::exchange_id id, core::time_point now)
{
    caller_exchange* exchange = this->find(id);
    if (exchange == nullptr || exchange->answered_first_byte)
        return;
    exchange->answered_first_byte = true;
    this->figures.observe_first_byte(kind_name(exchange->reply), now - exchange->arrived);
}

void caller_exchanges::write_chat_end(core::exchange_id id, caller_exchange& exchange,
                                      chat_reply& reply, const engine_answer& answer)
{
    const std::string request_id = this->request_text(exchange);
    const chat_answer_head head = make_head(exchange, reply, request_id);
    chat_answer_end end{reply.prompt_tokens, reply.completion_tokens, 0, answer.finish_reason};
    if (answer.usage)
        end.cached_tokens = answer.usage->cached_tokens;
    if (!reply.stream) {
        this->server.respond(id.value, 200, json_content_type,
                             render_chat_answer(head, reply.content, end),
                             {{"x-request-id", request_id}});
        return;
    }
    // An answer without tokens still needs its head.
    if (!reply.chunks)
        this->start_chat_stream(id, exchange, reply);
    this->server.write(id.value, http::format_event(render_chat_end(head, end)));
    this->server.write(id.value, http::format_event(http::stream_end_marker));
    this->server.finish(id.value);
}

void caller_exchanges::finish(const core::finish_exchange& done, const upstream_answer* answer,
                              core::time_point now)
{
    caller_exchange* exchange = this->find(done.exchange);
    if (exchange == nullptr)
        return;
    this->identify(done.exchange, done.request);
    this->observe_first_byte(done.exchange, now);
    if (auto* reply = std::get_if<chat_reply>(&exchange->reply)) {
        static const engine_answer no_answer;
        const auto* engine = answer == nullptr ? nullptr : std::get_if<engine_answer>(answer);
        this->write_chat_end(done.exchange, *exchange, *reply,
                             engine == nullptr ? no_answer : *engine);
    }
    if (auto* reply = std::get_if<service_reply>(&exchange->reply)) {
        if (const auto* service =
                answer == nullptr ? nullptr : std::get_if<service_answer>(answer)) {
            reply->status = service->status;
            reply->content_type = service->content_type;
        }
        this->server.respond(done.exchange.value, reply->status, reply->content_type, reply->body,
                             {{"x-request-id", this->request_text(*exchange)}});
    }
    this->figures.count_answer(kind_name(exchange->reply), now - exchange->arrived);
    this->close(done.exchange);
}

void caller_exchanges::write_problem(core::exchange_id id, const problem& value,
                                     std::string_view request_id)
{
    this->server.respond(id.value, value.status, problem_content_type,
                         render_problem(value, request_id), problem_headers(value, request_id));
}

void caller_exchanges::refuse(const core::refuse_exchange& refused)
{
    caller_exchange* exchange = this->find(refused.exchange);
    if (exchange == nullptr)
        return;
    this->identify(refused.exchange, refused.request);
    this->figures.count_refusal(refused.answer);
    this->write_problem(refused.exchange, make_problem(refused.answer),
                        this->request_text(*exchange));
    this->close(refused.exchange);
}

/// A streamed answer ends with an error event and without its end marker; an answer of which the
/// caller has had nothing is refused in full.
void caller_exchanges::cut(const core::abort_exchange& broken)
{
    caller_exchange* exchange = this->find(broken.exchange);
    if (exchange == nullptr)
        return;
    this->identify(broken.exchange, broken.request);
    this->figures.count_cut(broken.answer);
    const problem value = make_problem(broken.answer);
    const std::string request_id = this->request_text(*exchange);
    const auto* reply = std::get_if<chat_reply>(&exchange->reply);
    if (reply == nullptr || !reply->chunks) {
        this->write_problem(broken.exchange, value, request_id);
        this->close(broken.exchange);
        return;
    }
    const std::string data = "{\"error\":" + render_problem(value, request_id) + "}";
    this->server.write(broken.exchange.value, "event: error\n" + http::format_event(data));
    this->server.finish(broken.exchange.value);
    this->close(broken.exchange);
}

void caller_exchanges::answer_addresses(const core::address_response& answer)
{
    const caller_exchange* exchange = this->find(answer.exchange);
    if (exchange == nullptr)
        return;
    const auto* reply = std::get_if<addresses_reply>(&exchange->reply);
    assert(reply != nullptr && "only an address question gets an address answer");
    boost::json::array offered;
    for (const core::offered_address& each : answer.addresses) {
        boost::json::object address;
        address["address"] = format_endpoint(each.address);
        address["weight"] = each.weight;
        address["failure_domain"] = each.failure_domain.value;
        address["ticket"] = core::format_ticket(each.proof);
        offered.push_back(std::move(address));
    }
    using std::chrono::milliseconds;
    boost::json::object body;
    body["route"] = reply->route.value;
    body["addresses"] = std::move(offered);
    body["time_to_live_ms"] = std::chrono::duration_cast<milliseconds>(answer.time_to_live).count();
    this->respond(answer.exchange, 200, json_content_type, boost::json::serialize(body));
    this->close(answer.exchange);
}

void caller_exchanges::reject(core::exchange_id id, const problem& value)
{
    this->figures.count_refusal(value.refusal);
    this->write_problem(id, value, this->next_local_request_id());
}

void caller_exchanges::respond(core::exchange_id id, int status, std::string_view content_type,
                               std::string_view body)
{
    this->server.respond(id.value, status, content_type, body,
                         {{"x-request-id", this->next_local_request_id()}});
}

void caller_exchanges::abort(core::exchange_id id)
{
    this->server.abort(id.value);
    this->close(id);
}

} // namespace ragwortcove::daemon
