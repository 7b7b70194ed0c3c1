/// \file
/// Idempotency keys built on this incarnation's tickets, and keys handed over by other entries.
#pragma once

#include "ragwortcove/core/request.hpp"
#include "ragwortcove/core/types.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace ragwortcove::core {

/// State of the single right to dispatch a request with a key, at this incarnation.
enum class key_status {
    /// This incarnation has the right, and it is unused.
    free,
    /// A request with this key is open.
    in_progress,
    /// A request with this key may have run or got its response.
    used,
    /// The right was given to another incarnation.
    handed_over,
};

/// Dispatch rights of keys, kept as long as a ticket can be used. A right is handed over at most
/// once.
class key_registry {
public:
    /// Longest time from the minting of a ticket to the first use of a key built on it.
    static constexpr duration ticket_lifetime = std::chrono::minutes{10};
    /// Bits of a ticket's nonce below the wall-clock time of its minting, in milliseconds.
    static constexpr unsigned nonce_random_bits = 20;

    [[nodiscard]] bool contains(const std::string& key) const { return this->keys.contains(key); }
    [[nodiscard]] key_status status(const std::string& key) const;
    /// Marks a free key as in progress.
    void begin(const std::string& key, time_point now);
    /// Ends the key's request; the key is free again if the request did not run.
    void end(const std::string& key, bool may_have_run);
    /// Hands the right over; true if it was free or had been handed over to the same incarnation.
    bool hand_over(const std::string& key, incarnation to, time_point now);
    /// Removes keys whose tickets can no longer be used.
    void expire(time_point now);
    [[nodiscard]] std::size_t size() const { return this->keys.size(); }

private:
    struct key_record {
        key_status status = key_status::free;
        incarnation holder;
    };
    key_record& find_or_add(const std::string& key, time_point now);

    std::map<std::string, key_record> keys;
    std::deque<std::pair<time_point, std::string>> by_age;
};

} // namespace ragwortcove::core
