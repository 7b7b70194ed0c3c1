#include "ragwortcove/core/request.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace ragwortcove::core {

// A ticket has the form t1-<address>-<port>-<incarnation>-<nonce>, the last two in hexadecimal. A
// colon would need escaping in a URL, so an IPv6 address has '_' in its place.

static constexpr std::string_view ticket_format_tag = "t1";
static constexpr std::size_t ticket_parts = 5;

static std::string to_hex(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const auto [end, code] = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return {digits.data(), end};
}

template <class Number> static std::optional<Number> read_number(std::string_view text, int base)
{
    Number value = 0;
    const auto* const end = text.data() + text.size();
    const auto [parse_end, code] = std::from_chars(text.data(), end, value, base);
    if (code != std::errc() || parse_end != end)
        return std::nullopt;
    return value;
}

std::string format_ticket(const ticket& value)
{
    auto address = value.entry.address;
    std::replace(address.begin(), address.end(), ':', '_');
    return std::string(ticket_format_tag) + "-" + address + "-" + std::to_string(value.entry.port) +
           "-" + to_hex(value.minted_by.value) + "-" + to_hex(value.nonce);
}

/// Splits a text at its dashes into the parts of a ticket; empty when there are too few dashes.
static std::optional<std::array<std::string_view, ticket_parts>> split_ticket(std::string_view text)
{
    std::array<std::string_view, ticket_parts> parts;
    for (std::size_t i = 0; i + 1 != ticket_parts; ++i) {
        const auto dash = text.find('-');
        if (dash == std::string_view::npos)
            return std::nullopt;
        parts[i] = text.substr(0, dash);
        text.remove_prefix(dash + 1);
    }
    parts.back() = text;
    return parts;
}

static std::optional<ticket> parse_ticket(std::string_view text)
{
    const auto parts = split_ticket(text);
    if (!parts || parts->front() != ticket_format_tag || (*parts)[1].empty())
        return std::nullopt;
    const auto port = read_number<std::uint16_t>((*parts)[2], 10);
    const auto minted_by = read_number<std::uint64_t>((*parts)[3], 16);
    const auto nonce = read_number<std::uint64_t>((*parts)[4], 16);
    if (!port || !minted_by || !nonce)
        return std::nullopt;
    auto address = std::string((*parts)[1]);
    std::replace(address.begin(), address.end(), '_', ':');
    ticket value{{std::move(address), *port}, {*minted_by}, *nonce};
    // Only the canonical form is a ticket; any other text is part of a key without a ticket.
    if (format_ticket(value) != text)
        return std::nullopt;
    return value;
}

idempotency_key parse_idempotency_key(std::string_view text)
{
    idempotency_key key{std::string(text), std::nullopt};
    // An IPv4 address holds dots, so the ticket ends at the first dot after its fourth dash.
    std::size_t position = 0;
    for (std::size_t dashes = 0; dashes + 1 != ticket_parts; ++dashes) {
        position = text.find('-', position);
        if (position == std::string_view::npos)
            return key;
        ++position;
    }
    const auto end = text.find('.', position);
    if (end == std::string_view::npos || end + 1 == text.size())
        return key;
    key.on_ticket = parse_ticket(text.substr(0, end));
    return key;
}

std::string format_request_id(const request_id& value)
{
    return to_hex(value.entry.value) + "-" + std::to_string(value.sequence);
}

} // namespace ragwortcove::core
