#include "ragwortcove/cli/caller.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/http/event_stream.hpp"
#include "ragwortcove/http/percent_encoding.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace ragwortcove::cli {

namespace json = boost::json;

static constexpr std::chrono::seconds answer_idle_limit{10};

static std::optional<json::object> parse_json_object(std::string_view text)
{
    json::error_code code;
    auto value = json::parse(text, code);
    if (code || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

static std::string text_of(const json::object& from, std::string_view key)
{
    const auto* member = from.if_contains(key);
    if (member == nullptr || !member->is_string())
        return {};
    return std::string(member->get_string().begin(), member->get_string().end());
}

static double number_of(const json::object& from, std::string_view key, double otherwise)
{
    const auto* member = from.if_contains(key);
    json::error_code code;
    const auto value = member == nullptr ? otherwise : member->to_number<double>(code);
    return code ? otherwise : value;
}

caller::caller(std::vector<core::endpoint> first_entries, std::uint64_t seed,
               const http::client_settings& connection)
    : session(connection), seeds(std::move(first_entries)), random(seed)
{
}

bool caller::ask_for_addresses(const core::endpoint& entry, const std::string& route)
{
    const auto answer =
        this->session.get(entry, "/v1/addresses", "route=" + http::percent_encoded(route));
    const auto body = answer.ok() ? parse_json_object(answer.body) : std::nullopt;
    const auto* listed = body ? body->if_contains("addresses") : nullptr;
    if (listed == nullptr || !listed->is_array())
        return false;
    known_addresses fresh;
    fresh.route = route;
    for (const auto& each : listed->get_array()) {
        const auto* object = each.if_object();
        const auto address =
            object == nullptr ? std::nullopt : core::parse_endpoint(text_of(*object, "address"));
        if (address)
            fresh.addresses.push_back(
                {*address, number_of(*object, "weight", 1.0), text_of(*object, "ticket")});
    }
    const auto keep = std::chrono::milliseconds{
        static_cast<std::int64_t>(number_of(*body, "time_to_live_ms", 0.0))};
    fresh.keep_until = this->session.loop().now() + keep;
    const bool any = !fresh.addresses.empty();
    if (any)
        this->known = std::move(fresh);
    return any;
}

/// Makes sure that addresses of a route are known and not older than their time to live. The
/// entries known so far are asked as well as the first ones, which may be gone by now.
bool caller::find_addresses(const std::string& route)
{
    const bool kept = this->known.route == route && !this->known.addresses.empty() &&
                      this->session.loop().now() < this->known.keep_until;
    if (kept)
        return true;
    std::vector<core::endpoint> candidates = this->seeds;
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    for (const auto& each : this->known.addresses)
        candidates.push_back(each.address);
    return std::any_of(candidates.begin(), candidates.end(), [&](const core::endpoint& entry) {
        return this->ask_for_addresses(entry, route);
    });
}

std::size_t caller::choose_address()
{
    std::vector<double> weights;
    for (const auto& each : this->known.addresses)
        weights.push_back(std::max(each.weight, 0.001));
    return std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(this->random);
}

void caller::forget_address(std::size_t position)
{
    this->known.addresses.erase(this->known.addresses.begin() +
                                static_cast<std::ptrdiff_t>(position));
}

namespace {

/// Follows the body of a chat answer that comes as a stream.
class stream_follower {
public:
    explicit stream_follower(const text_handler& handler) : on_text(handler) {}

    void take(const http::response_head& head, std::string_view part)
    {
        const auto type = http::find_header(head.headers, "content-type").value_or("");
        if (!type.starts_with("text/event-stream"))
            return;
        this->is_stream = true;
        for (const auto& data : this->events.take(part))
            this->take_event(data);
    }

    bool is_stream = false;
    /// Whether the end marker came.
    bool is_whole = false;
    /// The refusal that ends a cut stream.
    std::optional<json::object> problem;
    std::string text;

private:
    void take_event(const std::string& data)
    {
        if (data == http::stream_end_marker) {
            this->is_whole = true;
            return;
        }
        const auto event = parse_json_object(data);
        if (!event)
            return;
        if (const auto* error = event->if_contains("error"); error != nullptr) {
            this->problem = error->is_object() ? error->get_object() : json::object{};
            return;
        }
        this->take_content(*event);
    }

    void take_content(const json::object& event)
    {
        json::error_code code;
        const json::value value(event);
        const auto* content = value.find_pointer("/choices/0/delta/content", code);
        if (content == nullptr || !content->is_string())
            return;
        const std::string_view piece(content->get_string().data(), content->get_string().size());
        this->text += piece;
        if (this->on_text)
            this->on_text(piece);
    }

    const text_handler& on_text;
    http::event_stream_reader events;
};

} // namespace

static http::client_request message_for(const caller_request& request,
                                        const core::endpoint& address, const std::string& ticket,
                                        std::chrono::milliseconds time_left)
{
    http::client_request sent;
    sent.address = address.address;
    sent.port = address.port;
    sent.message.method = request.method;
    sent.message.path = request.path;
    sent.message.query = request.query;
    sent.message.body = request.body;
    sent.message.headers = {{"content-type", request.content_type},
                            {"x-timeout-ms", std::to_string(time_left.count())}};
    if (!request.team.empty())
        sent.message.headers.push_back({"x-team", request.team});
    if (!request.key_suffix.empty())
        sent.message.headers.push_back({"idempotency-key", ticket + "." + request.key_suffix});
    sent.idle_limit = std::max<std::chrono::microseconds>(answer_idle_limit, time_left);
    return sent;
}

/// Takes a refusal as the entry stated it; one that states nothing may have run.
static void take_problem(const json::object& problem, caller_outcome& outcome,
                         std::chrono::milliseconds& retry_after)
{
    const auto verdict = text_of(problem, "verdict");
    outcome.verdict = verdict == to_string(core::verdict::not_run) ? core::verdict::not_run
                                                                   : core::verdict::may_have_run;
    outcome.reason = text_of(problem, "reason");
    retry_after = std::chrono::milliseconds{
        static_cast<std::int64_t>(number_of(problem, "retry_after_ms", 0.0))};
}

static void take_transport_error(http::client_error error, caller_outcome& outcome)
{
    outcome.verdict = error == http::client_error::not_sent ? core::verdict::not_run
                                                            : core::verdict::may_have_run;
    outcome.reason = error == http::client_error::not_sent ? "entry_unreachable" : "entry_lost";
}

caller_outcome caller::try_once(const caller_request& request, const entry_address& entry,
                                std::chrono::milliseconds time_left, const text_handler& on_text,
                                std::chrono::milliseconds& retry_after)
{
    stream_follower stream(on_text);
    auto answer = this->session.exchange(
        message_for(request, entry.address, entry.ticket, time_left),
        [&](const auto& head, std::string_view part) { stream.take(head, part); });
    caller_outcome outcome;
    outcome.status = answer.head.status;
    outcome.request_id = http::find_header(answer.head.headers, "x-request-id").value_or("");
    outcome.body = stream.is_stream ? std::move(stream.text) : std::move(answer.body);
    if (answer.error) {
        outcome.status = 0;
        take_transport_error(*answer.error, outcome);
        return outcome;
    }
    const auto type = http::find_header(answer.head.headers, "content-type").value_or("");
    const bool refused = type.starts_with("application/problem+json");
    const auto problem = refused ? parse_json_object(outcome.body) : std::move(stream.problem);
    if (refused || problem) {
        take_problem(problem.value_or(json::object{}), outcome, retry_after);
        return outcome;
    }
    const bool whole = !stream.is_stream || stream.is_whole;
    outcome.verdict = whole ? core::verdict::answered : core::verdict::may_have_run;
    outcome.reason = whole ? "" : "answer_cut";
    return outcome;
}

static std::chrono::milliseconds to_millis(std::chrono::microseconds time)
{
    return std::chrono::ceil<std::chrono::milliseconds>(time);
}

/// Whether the entry is gone or going, so that another may serve the request.
static bool should_try_elsewhere(const caller_outcome& outcome)
{
    return outcome.status == 0 || outcome.reason == to_string(core::refusal_reason::shutting_down);
}

caller_outcome caller::call(const caller_request& request, const text_handler& on_text)
{
    auto& loop = this->session.loop();
    const auto deadline = loop.now() + request.timeout;
    backoff delays(this->random());
    caller_outcome outcome;
    outcome.reason = "no_entry";
    for (std::uint32_t tries = 1;; ++tries) {
        std::chrono::milliseconds retry_after{0};
        if (this->find_addresses(request.route)) {
            const auto position = this->choose_address();
            const auto entry = this->known.addresses[position];
            outcome = this->try_once(request, entry, to_millis(deadline - loop.now()), on_text,
                                     retry_after);
            outcome.reached = true;
            if (should_try_elsewhere(outcome))
                this->forget_address(position);
        }
        outcome.tries = tries;
        // A refusal without Retry-After will not change by asking the same again.
        const bool helps =
            !outcome.reached || should_try_elsewhere(outcome) || retry_after.count() > 0;
        const auto delay = retry_after + delays.next();
        if (outcome.verdict != core::verdict::not_run || !helps || loop.now() + delay >= deadline)
            return outcome;
        this->session.wait(delay);
    }
}

} // namespace ragwortcove::cli
