#include "ragwortcove/cli/daemon_status.hpp"

#include "ragwortcove/core/object_fields.hpp"

#include <algorithm>
#include <set>

namespace ragwortcove::cli {

namespace json = boost::json;

static constexpr std::chrono::seconds answer_limit{2};

static std::string text_of(const json::object& from, std::string_view key)
{
    const auto* member = from.if_contains(key);
    if (member == nullptr || !member->is_string())
        return {};
    return std::string(member->get_string().begin(), member->get_string().end());
}

static std::uint64_t count_of(const json::object& from, std::string_view key)
{
    const auto* member = from.if_contains(key);
    json::error_code code;
    const auto value = member == nullptr ? 0 : member->to_number<std::uint64_t>(code);
    return code ? 0 : value;
}

static bool flag_of(const json::object& from, std::string_view key)
{
    const auto* member = from.if_contains(key);
    return member != nullptr && member->is_bool() && member->get_bool();
}

/// Calls `take` with each object of an array member.
template <class Take>
static void for_each_object(const json::object& from, std::string_view key, Take take)
{
    const auto* member = from.if_contains(key);
    if (member == nullptr || !member->is_array())
        return;
    for (const auto& each : member->get_array()) {
        if (each.is_object())
            take(each.get_object());
    }
}

static member_status read_member(const json::object& from)
{
    return {text_of(from, "name"), text_of(from, "state"), text_of(from, "failure_domain"),
            core::parse_endpoint(text_of(from, "callers")).value_or(core::endpoint{})};
}

static cell_status read_cell(const json::object& from)
{
    return {text_of(from, "target"),  text_of(from, "failure_domain"),
            count_of(from, "index"),  count_of(from, "free_permits"),
            count_of(from, "queued"), count_of(from, "queued_tokens")};
}

static void read_status(const json::object& from, daemon_status& status)
{
    status.answered = true;
    status.name = text_of(from, "name");
    status.revision = count_of(from, "configuration_revision");
    status.revision_age = std::chrono::milliseconds{count_of(from, "configuration_age_ms")};
    status.ready = flag_of(from, "ready");
    status.draining = flag_of(from, "draining");
    status.open_requests = count_of(from, "open_requests");
    for_each_object(from, "members", [&](const json::object& member) {
        status.members.push_back(read_member(member));
    });
    for_each_object(from, "owned_cells",
                    [&](const json::object& cell) { status.cells.push_back(read_cell(cell)); });
}

http_answer ask_daemon(http_session& session, const core::endpoint& daemon,
                       const std::string& method, const std::string& path, const std::string& token)
{
    http::client_request request;
    request.address = daemon.address;
    request.port = daemon.port;
    request.message.method = method;
    request.message.path = path;
    request.idle_limit = answer_limit;
    if (!token.empty())
        request.message.headers.push_back({"authorization", "Bearer " + token});
    return session.exchange(std::move(request));
}

static daemon_status ask_status(http_session& session, const core::endpoint& daemon,
                                const std::string& token)
{
    daemon_status status;
    status.address = daemon;
    const auto answer = ask_daemon(session, daemon, "GET", "/v1/status", token);
    if (!answer.ok())
        return status;
    json::error_code code;
    status.text = json::parse(answer.body, code);
    if (!code && status.text.is_object())
        read_status(status.text.get_object(), status);
    return status;
}

std::vector<daemon_status> gather_status(http_session& session, std::vector<core::endpoint> first,
                                         const std::string& token)
{
    std::vector<daemon_status> all;
    std::set<core::endpoint> asked;
    std::vector<core::endpoint> waiting = std::move(first);
    while (!waiting.empty()) {
        const auto daemon = waiting.front();
        waiting.erase(waiting.begin());
        if (!asked.insert(daemon).second)
            continue;
        all.push_back(ask_status(session, daemon, token));
        for (const auto& member : all.back().members) {
            const bool worth_asking = member.state == "live" || member.state == "leaving";
            if (worth_asking && member.callers.port != 0)
                waiting.push_back(member.callers);
        }
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return std::tie(a.name, a.address) < std::tie(b.name, b.address);
    });
    return all;
}

} // namespace ragwortcove::cli
