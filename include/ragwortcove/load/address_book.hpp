/// \file
/// Addresses of entries by route, kept for the time that the system states.
#pragma once

#include "ragwortcove/core/types.hpp"
#include "ragwortcove/http/client.hpp"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ragwortcove::load {

/// An entry to send to, and the ticket that keys for it are built on.
struct entry_address {
    core::endpoint address;
    double weight = 1.0;
    std::string ticket;
};

/// Asks entries for the addresses of a route, once at a time, and hands them out by weight.
class address_book {
public:
    /// Gets an address, or nothing when no entry could be asked.
    using address_handler = std::function<void(std::optional<entry_address>)>;

    address_book(http::loop& loop, http::client& client, std::vector<core::endpoint> entries,
                 std::uint64_t seed);

    void find(const std::string& route, address_handler found);
    /// Drops an entry that could not be reached.
    void forget(const std::string& route, const core::endpoint& address);

private:
    struct route_addresses {
        std::vector<entry_address> addresses;
        std::chrono::microseconds keep_until{0};
        std::vector<address_handler> waiting;
        std::size_t asked = 0;
        std::string answer;
        int status = 0;
    };
    void ask_next(const std::string& route);
    void take_answer(const std::string& route);
    void hand_out(const std::string& route);
    entry_address choose(const route_addresses& from);

    http::loop& on;
    http::client& client;
    std::vector<core::endpoint> entries;
    std::mt19937_64 random;
    std::map<std::string, route_addresses> routes;
};

} // namespace ragwortcove::load
