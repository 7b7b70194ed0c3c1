#include "json_body.hpp"

#include <cmath>

namespace ragwortcove::standin {

namespace json = boost::json;

std::optional<json::object> parse_json_object(std::string_view body)
{
    boost::system::error_code error;
    json::value parsed = json::parse({body.data(), body.size()}, error);
    if (error || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.as_object());
}

static const json::value* find_member(const json::object& from, std::string_view name)
{
    return from.if_contains({name.data(), name.size()});
}

std::string get_text(const json::object& from, std::string_view name)
{
    const json::value* member = find_member(from, name);
    if (member == nullptr || !member->is_string()) {
        return {};
    }
    return {member->as_string().data(), member->as_string().size()};
}

double get_number(const json::object& from, std::string_view name, double otherwise)
{
    const json::value* member = find_member(from, name);
    if (member == nullptr || !member->is_number()) {
        return otherwise;
    }
    return member->to_number<double>();
}

std::uint64_t get_count(const json::object& from, std::string_view name, std::uint64_t otherwise)
{
    const json::value* member = find_member(from, name);
    if (member == nullptr || !member->is_number()) {
        return otherwise;
    }
    boost::system::error_code error;
    const auto count = member->to_number<std::uint64_t>(error);
    return error ? otherwise : count;
}

bool get_flag(const json::object& from, std::string_view name, bool otherwise)
{
    const json::value* member = find_member(from, name);
    return member != nullptr && member->is_bool() ? member->as_bool() : otherwise;
}

core::duration get_millis(const json::object& from, std::string_view name, core::duration otherwise)
{
    constexpr double microseconds_per_millisecond = 1000.0;
    const json::value* member = find_member(from, name);
    if (member == nullptr || !member->is_number()) {
        return otherwise;
    }
    return core::duration{std::llround(member->to_number<double>() * microseconds_per_millisecond)};
}

void respond_json(http::server& on, http::server_exchange exchange, int status,
                  const json::value& body, std::vector<http::header> headers)
{
    on.respond(exchange, status, "application/json", json::serialize(body) + "\n",
               std::move(headers));
}

void respond_error(http::server& on, http::server_exchange exchange, int status,
                   std::string_view message, std::vector<http::header> headers)
{
    const json::object body{{"error", json::object{{"message", std::string(message)}}}};
    respond_json(on, exchange, status, body, std::move(headers));
}

} // namespace ragwortcove::standin
