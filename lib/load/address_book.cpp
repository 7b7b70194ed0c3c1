#include "ragwortcove/load/address_book.hpp"

#include "ragwortcove/core/object_fields.hpp"
#include "ragwortcove/http/percent_encoding.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace ragwortcove::load {

namespace json = boost::json;

static constexpr std::chrono::seconds ask_idle_limit{2};
static constexpr double least_weight = 0.001;

address_book::address_book(http::loop& loop, http::client& asking,
                           std::vector<core::endpoint> asked, std::uint64_t seed)
    : on(loop), client(asking), entries(std::move(asked)), random(seed)
{
}

entry_address address_book::choose(const route_addresses& from)
{
    std::vector<double> weights;
    weights.reserve(from.addresses.size());
    for (const entry_address& each : from.addresses)
        weights.push_back(std::max(each.weight, least_weight));
    std::discrete_distribution<std::size_t> drawn(weights.begin(), weights.end());
    return from.addresses[drawn(this->random)];
}

void address_book::find(const std::string& route, address_handler found)
{
    route_addresses& kept = this->routes[route];
    if (!kept.addresses.empty() && this->on.now() < kept.keep_until) {
        found(this->choose(kept));
        return;
    }
    kept.waiting.push_back(std::move(found));
    if (kept.waiting.size() > 1)
        return;
    kept.asked = 0;
    this->ask_next(route);
}

void address_book::forget(const std::string& route, const core::endpoint& address)
{
    std::erase_if(this->routes[route].addresses,
                  [&](const entry_address& each) { return each.address == address; });
}

/// Asks the next entry that has not been asked since the answer ran out; gives up after the last.
void address_book::ask_next(const std::string& route)
{
    route_addresses& kept = this->routes[route];
    if (kept.asked == this->entries.size()) {
        kept.addresses.clear();
        this->hand_out(route);
        return;
    }
    const core::endpoint& entry = this->entries[kept.asked++];
    kept.answer.clear();
    http::client_request request;
    request.address = entry.address;
    request.port = entry.port;
    request.message.method = "GET";
    request.message.path = "/v1/addresses";
    request.message.query = "route=" + http::percent_encoded(route);
    request.idle_limit = ask_idle_limit;
    http::client_handlers handlers;
    handlers.headed = [&kept](const http::response_head& head) { kept.status = head.status; };
    handlers.body = [&kept](std::string_view part) { kept.answer += part; };
    handlers.ended = [this, route] { this->take_answer(route); };
    handlers.failed = [this, route](http::client_error) { this->ask_next(route); };
    this->client.start(std::move(request), std::move(handlers));
}

static std::optional<entry_address> read_address(const json::value& listed)
{
    json::error_code code;
    const auto* text = listed.find_pointer("/address", code);
    if (text == nullptr || !text->is_string())
        return std::nullopt;
    const auto parsed = core::parse_endpoint(text->get_string());
    if (!parsed)
        return std::nullopt;
    entry_address read{*parsed, 1.0, {}};
    if (const auto* weight = listed.find_pointer("/weight", code); weight != nullptr)
        read.weight = weight->to_number<double>(code);
    if (const auto* ticket = listed.find_pointer("/ticket", code);
        ticket != nullptr && ticket->is_string())
        read.ticket = ticket->get_string().c_str();
    return read;
}

void address_book::take_answer(const std::string& route)
{
    route_addresses& kept = this->routes[route];
    json::error_code code;
    const json::value body = json::parse(kept.answer, code);
    const auto* listed = code ? nullptr : body.find_pointer("/addresses", code);
    const auto* lifetime = code ? nullptr : body.find_pointer("/time_to_live_ms", code);
    if (kept.status != 200 || listed == nullptr || !listed->is_array() || lifetime == nullptr) {
        this->ask_next(route);
        return;
    }
    kept.addresses.clear();
    for (const json::value& each : listed->get_array()) {
        if (auto address = read_address(each))
            kept.addresses.push_back(*std::move(address));
    }
    kept.keep_until =
        this->on.now() + std::chrono::milliseconds{lifetime->to_number<std::int64_t>(code)};
    if (kept.addresses.empty()) {
        this->ask_next(route);
        return;
    }
    this->hand_out(route);
}

void address_book::hand_out(const std::string& route)
{
    route_addresses& kept = this->routes[route];
    const std::vector<address_handler> waiting = std::exchange(kept.waiting, {});
    for (const address_handler& each : waiting) {
        if (kept.addresses.empty())
            each(std::nullopt);
        if (!kept.addresses.empty())
            each(this->choose(kept));
    }
}

} // namespace ragwortcove::load
