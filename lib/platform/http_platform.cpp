#include "ragwortcove/platform/http_platform.hpp"

#include "ragwortcove/platform/codec.hpp"
#include "ragwortcove/platform/object_path.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

namespace ragwortcove::platform {

namespace leaf = boost::leaf;

static constexpr int status_ok = 200;
static constexpr int status_not_found = 404;
static constexpr int status_conflict = 409;
static constexpr int status_gone = 410;
static constexpr int status_too_many_requests = 429;
static constexpr int first_server_error = 500;
/// What to wait when the platform throttles and does not say for how long.
static constexpr core::duration default_retry_after = std::chrono::seconds{1};

namespace {

enum class call_kind { get, list, put, remove };

/// One call under way.
struct open_call {
    call_kind kind = call_kind::get;
    http::client_exchange exchange = 0;
    http::timer_id limit = 0;
    http::response_head head;
    std::string body;
};

/// The watch under way.
struct open_feed {
    http::client_exchange exchange = 0;
    int status = 0;
    core::revision seen;
    /// Part of a line that has not ended yet.
    std::string rest;
};

/// Builds the HTTP request of a platform request.
struct request_builder {
    http::request operator()(const core::platform_get& get) const
    {
        return request_for("GET", get.key);
    }
    http::request operator()(const core::platform_list&) const
    {
        http::request message;
        message.method = "GET";
        message.path = objects_path;
        return message;
    }
    http::request operator()(const core::platform_put& put) const
    {
        auto message = request_for("PUT", put.value.key);
        add_condition(message, put.expected, put.change_id);
        message.headers.push_back({"content-type", "application/json"});
        message.body = encode_object(put.value, put.change_id);
        return message;
    }
    http::request operator()(const core::platform_delete& remove) const
    {
        auto message = request_for("DELETE", remove.key);
        add_condition(message, remove.expected, remove.change_id);
        return message;
    }

private:
    static http::request request_for(std::string_view method, const core::object_key& key)
    {
        auto target = path_of(key);
        http::request message;
        message.method = method;
        message.path = std::move(target.path);
        message.query = std::move(target.query);
        return message;
    }
    static void add_condition(http::request& message, core::revision expected,
                              std::string_view change_id)
    {
        append_query(message.query, "expected", std::to_string(expected.value));
        append_query(message.query, "change", change_id);
    }
};

struct call_kind_of {
    call_kind operator()(const core::platform_get&) const { return call_kind::get; }
    call_kind operator()(const core::platform_list&) const { return call_kind::list; }
    call_kind operator()(const core::platform_put&) const { return call_kind::put; }
    call_kind operator()(const core::platform_delete&) const { return call_kind::remove; }
};

} // namespace

static core::duration retry_after(const http::response_head& head)
{
    const auto text = http::find_header(head.headers, "retry-after").value_or("");
    std::uint32_t seconds = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (code != std::errc() || end != text.data() + text.size())
        return default_retry_after;
    return std::chrono::seconds{seconds};
}

/// Gives what a decoder read, or nothing when the text was not what it should be.
template <class T> static std::optional<T> value_of(leaf::result<T> decoded)
{
    if (!decoded)
        return std::nullopt;
    return std::move(*decoded);
}

static core::platform_result read_found(std::string_view body)
{
    auto stored = value_of(decode_object(body));
    if (!stored)
        return core::platform_unreachable{};
    return core::platform_found{std::move(stored->value), std::move(stored->change_id)};
}

static core::platform_result read_listed(std::string_view body)
{
    auto list = value_of(decode_list(body));
    if (!list)
        return core::platform_unreachable{};
    core::platform_listed listed{std::move(list->store), list->at, {}};
    for (auto& each : list->objects)
        listed.objects.push_back(std::move(each.value));
    return listed;
}

static core::platform_result read_written(std::string_view body)
{
    const auto at = value_of(decode_written(body));
    if (!at)
        return core::platform_unreachable{};
    return core::platform_written{*at};
}

static core::platform_result read_conflict(std::string_view body)
{
    auto conflict = value_of(decode_conflict(body));
    if (!conflict)
        return core::platform_unreachable{};
    if (!conflict->current)
        return core::platform_conflict{};
    return core::platform_conflict{std::move(conflict->current->value),
                                   std::move(conflict->current->change_id)};
}

static core::platform_result read_success(const open_call& call)
{
    switch (call.kind) {
    case call_kind::get:
        return read_found(call.body);
    case call_kind::list:
        return read_listed(call.body);
    case call_kind::put:
    case call_kind::remove:
        return read_written(call.body);
    }
    return core::platform_unreachable{};
}

static core::platform_result read_result(const open_call& call)
{
    const auto status = call.head.status;
    if (status == status_ok)
        return read_success(call);
    if (status == status_not_found && call.kind == call_kind::get)
        return core::platform_missing{};
    if (status == status_conflict)
        return read_conflict(call.body);
    if (status == status_too_many_requests)
        return core::platform_throttled{retry_after(call.head)};
    if (status >= first_server_error)
        return core::platform_unreachable{};
    return core::platform_rejected{decode_problem(call.body)};
}

namespace {

/// Adds a watch line's change to a delta.
struct delta_builder {
    core::feed_delta& delta;
    core::revision at;
    void operator()(const watch_line::heartbeat&) const {}
    void operator()(core::object& changed) const
    {
        this->delta.changed.push_back(std::move(changed));
    }
    void operator()(core::object_key& deleted) const
    {
        this->delta.removed.push_back({std::move(deleted), this->at});
    }
};

} // namespace

struct http_platform::state {
    state(http::loop& on, const http_platform_settings& wanted, event_handler handler)
        : loop(on), settings(wanted), happened(std::move(handler)),
          client(on, http::client_settings{.pool_size = wanted.pool_size})
    {
    }
    ~state()
    {
        for (const auto& [call, open] : this->calls)
            this->loop.cancel(open.limit);
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    http::client_request addressed(http::request&& message, std::chrono::microseconds idle_limit)
    {
        return {this->settings.address.address, this->settings.address.port, std::move(message),
                idle_limit, false};
    }

    void start_call(const core::call_platform& wanted)
    {
        const auto id = wanted.call;
        auto& open = this->calls[id];
        open.kind = std::visit(call_kind_of{}, wanted.request);
        open.limit = this->loop.after(this->settings.call_limit, [this, id] {
            this->client.cancel(this->calls.at(id).exchange);
            this->end_call(id, core::platform_unreachable{});
        });
        http::client_handlers handlers;
        handlers.headed = [this, id](const auto& head) { this->calls.at(id).head = head; };
        handlers.body = [this, id](std::string_view part) { this->calls.at(id).body += part; };
        handlers.ended = [this, id] { this->end_call(id, read_result(this->calls.at(id))); };
        handlers.failed = [this, id](http::client_error) {
            this->end_call(id, core::platform_unreachable{});
        };
        open.exchange =
            this->client.start(this->addressed(std::visit(request_builder{}, wanted.request),
                                               this->settings.call_limit),
                               std::move(handlers));
    }

    void end_call(core::call_id id, core::platform_result result)
    {
        const auto found = this->calls.find(id);
        this->loop.cancel(found->second.limit);
        this->calls.erase(found);
        this->happened(core::platform_answered{id, std::move(result)});
    }

    void close_feed()
    {
        if (this->feed)
            this->client.cancel(this->feed->exchange);
        this->feed.reset();
    }

    void open_feed_after(core::revision after)
    {
        this->close_feed();
        this->feed.emplace();
        this->feed->seen = after;
        http::request message;
        message.method = "GET";
        message.path = watch_path;
        append_query(message.query, "after", std::to_string(after.value));
        http::client_handlers handlers;
        handlers.headed = [this](const auto& head) { this->feed->status = head.status; };
        handlers.body = [this](std::string_view part) { this->take_lines(part); };
        handlers.ended = [this] { this->end_feed(); };
        handlers.failed = [this](http::client_error) { this->end_feed(); };
        this->feed->exchange =
            this->client.start(this->addressed(std::move(message), this->settings.watch_idle_limit),
                               std::move(handlers));
    }

    void end_feed()
    {
        const bool gone = this->feed->status == status_gone;
        this->feed.reset();
        this->happened(core::watch_ended{gone});
    }

    /// Hands on all lines that one part of the body completes, as one delta.
    void take_lines(std::string_view part)
    {
        if (this->feed->status != status_ok)
            return;
        this->feed->rest += part;
        core::feed_delta delta;
        delta.after = this->feed->seen;
        delta.upto = delta.after;
        bool any = false;
        std::size_t start = 0;
        for (std::size_t end = 0; (end = this->feed->rest.find('\n', start)) != std::string::npos;
             start = end + 1)
            any |= add_line(delta, std::string_view(this->feed->rest).substr(start, end - start));
        this->feed->rest.erase(0, start);
        this->feed->seen = delta.upto;
        if (any)
            this->happened(core::watch_changed{std::move(delta)});
    }

    /// An object that this version cannot read is passed over: the last good one stays in force.
    static bool add_line(core::feed_delta& delta, std::string_view text)
    {
        auto line = value_of(decode_watch_line(text));
        if (!line)
            return false;
        delta.store = std::move(line->store);
        delta.upto = std::max(delta.upto, line->at);
        std::visit(delta_builder{delta, line->at}, line->change);
        return true;
    }

    http::loop& loop;
    http_platform_settings settings;
    event_handler happened;
    http::client client;
    std::map<core::call_id, open_call> calls;
    std::optional<open_feed> feed;
};

http_platform::http_platform(http::loop& on, const http_platform_settings& settings,
                             event_handler happened)
    : self(std::make_unique<state>(on, settings, std::move(happened)))
{
}

http_platform::~http_platform() = default;

void http_platform::start(const core::call_platform& call)
{
    this->self->start_call(call);
}
void http_platform::start(const core::open_watch& watch)
{
    this->self->open_feed_after(watch.after);
}
void http_platform::start(const core::close_watch&)
{
    this->self->close_feed();
}

} // namespace ragwortcove::platform
