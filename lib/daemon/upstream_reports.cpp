#include "ragwortcove/daemon/upstream_reports.hpp"

#include "ragwortcove/daemon/event_log.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <chrono>
#include <utility>

namespace ragwortcove::daemon {

namespace json = boost::json;

static constexpr int status_ok = 200;
static constexpr int status_conflict = 409;
/// Longest silence of an upstream that is asked for a report.
static constexpr std::chrono::seconds report_idle_limit{2};

namespace {

/// What has come of an answer so far.
struct partial_answer {
    int status = 0;
    std::string body;
};

} // namespace

upstream_reports::upstream_reports(http::client& pool, reporter reports)
    : client(pool), report(std::move(reports))
{
}

static http::request make_get(std::string path, std::string query = {})
{
    http::request message;
    message.method = "GET";
    message.path = std::move(path);
    message.query = std::move(query);
    return message;
}

void upstream_reports::ask(const core::endpoint& address, http::request&& message,
                           const answer_handler& answered)
{
    auto answer = std::make_shared<partial_answer>();
    http::client_request request;
    request.address = address.address;
    request.port = address.port;
    request.message = std::move(message);
    request.idle_limit = report_idle_limit;
    http::client_handlers handlers;
    handlers.headed = [answer](const http::response_head& head) { answer->status = head.status; };
    handlers.body = [answer](std::string_view bytes) { answer->body += bytes; };
    handlers.ended = [answer, answered] {
        const bool usable = answer->status == status_ok || answer->status == status_conflict;
        answered(usable ? std::optional{answer->body} : std::nullopt);
    };
    handlers.failed = [answered](http::client_error) { answered(std::nullopt); };
    this->client.start(std::move(request), std::move(handlers));
}

void upstream_reports::probe(const core::probe_upstream& wanted)
{
    this->ask(wanted.address, make_get("/healthz"),
              [this, upstream = wanted.upstream](const std::optional<std::string>& body) {
                  this->report(core::probe_answered{upstream, body.has_value()});
              });
}

static void log_unreadable(const core::upstream_name& upstream, std::string_view what)
{
    write_log(log_event::report_unreadable, {{"upstream", upstream.value}, {"report", what}});
}

void upstream_reports::poll(const core::poll_upstream& wanted)
{
    const core::upstream_name upstream = wanted.upstream;
    this->ask(wanted.address, make_get("/v1/load"),
              [this, upstream](const std::optional<std::string>& body) {
                  if (!body)
                      return;
                  const std::optional<core::load_reported> load = parse_load(upstream, *body);
                  if (!load) {
                      log_unreadable(upstream, "load");
                      return;
                  }
                  this->report(*load);
              });
    const std::string after = "after=" + std::to_string(wanted.cache_events_after);
    this->ask(wanted.address, make_get("/v1/cache/events", after),
              [this, upstream](const std::optional<std::string>& body) {
                  if (!body)
                      return;
                  const auto events = parse_cache_events(upstream, *body);
                  if (!events) {
                      log_unreadable(upstream, "cache events");
                      return;
                  }
                  for (const core::cache_reported& event : *events)
                      this->report(event);
              });
}

static std::optional<json::object> read_object(std::string_view text)
{
    boost::system::error_code failed;
    json::value parsed = json::parse(text, failed);
    if (failed || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.get_object());
}

/// Reads a number that is not negative, or nothing.
static std::optional<std::uint64_t> read_number(const json::object& from, std::string_view key)
{
    const json::value* found = from.if_contains(key);
    if (found == nullptr || !found->is_number())
        return std::nullopt;
    boost::system::error_code failed;
    const auto number = found->to_number<std::uint64_t>(failed);
    if (failed)
        return std::nullopt;
    return number;
}

static std::string read_text(const json::object& from, std::string_view key)
{
    const json::value* found = from.if_contains(key);
    if (found == nullptr || !found->is_string())
        return {};
    return std::string{found->get_string()};
}

void upstream_reports::order(const core::order_upstream& wanted)
{
    json::object body;
    body["kind"] = "load";
    body["model"] = wanted.target.value;
    body["version"] = wanted.version.value;
    body["fencing"] = wanted.fencing.value;
    http::request message;
    message.method = "POST";
    message.path = "/v1/orders";
    message.headers = {{"content-type", "application/json"}};
    message.body = json::serialize(body);
    this->ask(wanted.address, std::move(message),
              [this, wanted](const std::optional<std::string>& answer) {
                  core::order_answered answered{wanted.upstream, wanted.order, false, false, {}};
                  const std::optional<json::object> read =
                      answer ? read_object(*answer) : std::nullopt;
                  if (!read) {
                      write_log(log_event::order_failed, {{"upstream", wanted.upstream.value}});
                      this->report(answered);
                      return;
                  }
                  const json::value* stale = read->if_contains("refused_as_stale");
                  answered.answered = true;
                  answered.refused_as_stale =
                      stale != nullptr && stale->is_bool() && stale->get_bool();
                  answered.serving.value = read_text(*read, "serving");
                  this->report(answered);
              });
}

std::optional<core::load_reported> parse_load(const core::upstream_name& upstream,
                                              std::string_view body)
{
    const std::optional<json::object> read = read_object(body);
    if (!read)
        return std::nullopt;
    const auto running = read_number(*read, "running");
    const auto waiting = read_number(*read, "waiting");
    if (!running || !waiting)
        return std::nullopt;
    core::load_reported load;
    load.upstream = upstream;
    load.running = static_cast<std::uint32_t>(*running);
    load.waiting = static_cast<std::uint32_t>(*waiting);
    load.age = std::chrono::milliseconds{read_number(*read, "age_ms").value_or(0)};
    return load;
}

/// Reads hashes, which stand as hexadecimal text since JSON numbers lose their low digits.
static bool read_hashes(const json::object& from, std::string_view key,
                        std::vector<core::prefix_hash>& into)
{
    const json::value* found = from.if_contains(key);
    if (found == nullptr)
        return true;
    if (!found->is_array())
        return false;
    for (const json::value& each : found->get_array()) {
        if (!each.is_string())
            return false;
        const std::string_view text = each.get_string();
        core::prefix_hash hash;
        const char* end = text.data() + text.size();
        const std::from_chars_result read = std::from_chars(text.data(), end, hash.value, 16);
        if (read.ec != std::errc{} || read.ptr != end)
            return false;
        into.push_back(hash);
    }
    return true;
}

std::optional<std::vector<core::cache_reported>>
parse_cache_events(const core::upstream_name& upstream, std::string_view body)
{
    const std::optional<json::object> read = read_object(body);
    const json::value* listed = read ? read->if_contains("events") : nullptr;
    if (listed == nullptr || !listed->is_array())
        return std::nullopt;
    std::vector<core::cache_reported> events;
    for (const json::value& each : listed->get_array()) {
        const json::object* stated = each.if_object();
        const auto sequence = stated == nullptr ? std::nullopt : read_number(*stated, "sequence");
        if (!sequence)
            return std::nullopt;
        core::cache_reported event{upstream, *sequence, {}, {}};
        if (!read_hashes(*stated, "added", event.added) ||
            !read_hashes(*stated, "removed", event.removed))
            return std::nullopt;
        events.push_back(std::move(event));
    }
    return events;
}

} // namespace ragwortcove::daemon
